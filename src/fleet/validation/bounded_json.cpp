#include "fleet/validation/bounded_json.h"

#include <nlohmann/json.hpp>
#include <string>

#include "fleet/configuration/configuration.h"

namespace bitternmux::fleet {
namespace {

using Json = nlohmann::json;

// What a part of a document takes in memory, about, in bytes.
constexpr std::size_t kMemberBytes = 96;  // of an object, with its key
constexpr std::size_t kContainerBytes = 48;
constexpr std::size_t kValueBytes = 24;
constexpr std::size_t kStringBytes = 32;  // beside its letters

// Reads a text without keeping it, and adds up what its document would take.
class DocumentMeter : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return Add(kValueBytes); }
  bool boolean(bool) override { return Add(kValueBytes); }
  bool number_integer(number_integer_t) override { return Add(kValueBytes); }
  bool number_unsigned(number_unsigned_t) override { return Add(kValueBytes); }
  bool number_float(number_float_t, const string_t&) override { return Add(kValueBytes); }
  bool string(string_t& text) override { return Add(kValueBytes + kStringBytes + text.size()); }
  bool binary(binary_t& bytes) override { return Add(kValueBytes + kStringBytes + bytes.size()); }
  bool key(string_t& text) override { return Add(kMemberBytes + text.size()); }
  bool start_object(std::size_t) override { return Enter(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool end_array() override { return Leave(); }
  // The same text is read again behind this, which tells what is wrong with it.
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Add(std::size_t bytes) {
    bytes_ += bytes;
    if (bytes_ <= kMaxDocumentBytes) return true;
    throw ConfigurationError("the configuration has too many values: they would take over " +
                             std::to_string(kMaxDocumentBytes) + " bytes of memory");
  }
  bool Enter() {
    if (++depth_ > kMaxJsonDepth) {
      throw ConfigurationError("the configuration has values in each other beyond a depth of " +
                               std::to_string(kMaxJsonDepth));
    }
    return Add(kContainerBytes);
  }
  bool Leave() {
    --depth_;
    return true;
  }

  std::size_t bytes_ = 0, depth_ = 0;
};

}  // namespace

Json ParseBounded(std::string_view text) {
  DocumentMeter meter;
  Json::sax_parse(text, &meter);
  return Json::parse(text);
}

}  // namespace bitternmux::fleet
