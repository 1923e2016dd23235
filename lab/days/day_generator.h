// Days of our own for the users' bench, drawn from a seed: troubles of the control side, beside releases and
// crashes of servers, that come close together, overlap and repeat, of all kinds that a deployment may meet
// and not only of those that its own list names. Each form of the closing fault comes in turn.
#ifndef BITTERNMUX_LAB_DAYS_DAY_GENERATOR_H_
#define BITTERNMUX_LAB_DAYS_DAY_GENERATOR_H_

#include <cstdint>
#include <stdexcept>
#include <string>

namespace bitternmux::lab::days {

// The site's file is not one, or has no day.
class SiteError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The day of that seed on the deployment of that site file, as TOML for the bench. The traffic is that of one
// of the site's own days. Throws SiteError.
std::string MakeDay(const std::string& site_path, std::uint64_t seed);

}  // namespace bitternmux::lab::days

#endif  // BITTERNMUX_LAB_DAYS_DAY_GENERATOR_H_
