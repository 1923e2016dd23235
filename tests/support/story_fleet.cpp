#include "support/story_fleet.h"

#define CATCH_CONFIG_EXTERNAL_INTERFACES
#include <catch2/catch.hpp>
#include <exception>
#include <iostream>

namespace bitternmux::lab::fleet {
namespace {

// Whether a check of the test case that runs has failed.
bool check_failed = false;

class FailureListener : public Catch::TestEventListenerBase {
 public:
  using TestEventListenerBase::TestEventListenerBase;

  // A test case begins once for each of its sections.
  void sectionStarting(const Catch::SectionInfo& section) override {
    const bool is_test_case = m_sectionStack.empty();
    TestEventListenerBase::sectionStarting(section);
    if (is_test_case) check_failed = false;
  }
  bool assertionEnded(const Catch::AssertionStats& stats) override {
    check_failed |= !stats.assertionResult.isOk();
    return false;
  }
};

CATCH_REGISTER_LISTENER(FailureListener)

Programs Built() { return {BITTERNMUX_ROUTER, BITTERNMUX_AGENT, BITTERNMUX_CONTROL}; }

}  // namespace

StoryFleet::StoryFleet(Ways ways) : FleetStand(Built(), ways) {}

StoryFleet::~StoryFleet() {
  if (!check_failed && std::uncaught_exceptions() == 0) return;
  std::cout << "The story failed. " << lacking() << "\nThe programs' logs:\n" << Logs() << std::flush;
}

}  // namespace bitternmux::lab::fleet
