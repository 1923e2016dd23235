// The operator's side of the API of control machines (libcurl): from one machine to the next until one gives
// a clear answer.
#ifndef BITTERNMUX_SRC_CTL_CONTROL_CLIENT_H_
#define BITTERNMUX_SRC_CTL_CONTROL_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bitternmux::ctl {

// What came of a call. `status` 0: no answer, and `body` says why.
struct CallResult {
  int status = 0;
  std::string body;

  // Is it an answer that trying elsewhere would not change?
  bool Clear() const { return status != 0 && status < 500 && status != 408 && status != 429; }
};

class ControlClient {
 public:
  // Addresses of control machines, ip:port.
  explicit ControlClient(std::vector<std::string> controls);
  ~ControlClient();
  ControlClient(const ControlClient&) = delete;
  ControlClient& operator=(const ControlClient&) = delete;

  const std::vector<std::string>& controls() const { return controls_; }
  // Of that machine alone.
  CallResult Status(const std::string& control);
  CallResult GetConfiguration();
  // A call without a clear answer may have been taken: the same goes to the next machine.
  CallResult PutConfiguration(const std::string& text, std::uint64_t builds_on);
  // Of the first machine that answers reads of tallies.
  CallResult GetTally(const std::string& tally);
  // The id counts once, however many machines the call went to. Throws std::invalid_argument if it is no
  // UTF-8.
  CallResult AddToTally(const std::string& tally, const std::string& id, std::int64_t amount);
  // The zones whose servers get nothing.
  CallResult GetEvacuations();
  // Begins the evacuation of a zone, or takes the zone back. Sent again as a configuration is.
  CallResult Evacuate(const std::string& zone);
  CallResult TakeBack(const std::string& zone);

 private:
  CallResult Call(const std::string& method, const std::string& url, const std::string& body,
                  const std::vector<std::string>& headers);
  CallResult Anywhere(const std::string& method, const std::string& path, const std::string& body,
                      const std::vector<std::string>& headers);

  const std::vector<std::string> controls_;
};

}  // namespace bitternmux::ctl

#endif  // BITTERNMUX_SRC_CTL_CONTROL_CLIENT_H_
