// Links between the fleet's programs: TCP connections that carry frames of the internal protocol.
//
// All handlers run on the io_context's one thread. A peer behind a cut says nothing, so that each connection
// has a user timeout for what it does not acknowledge, and each dial a time within which it has to come up.
#ifndef BITTERNMUX_SRC_FLEET_TRANSPORT_LINK_H_
#define BITTERNMUX_SRC_FLEET_TRANSPORT_LINK_H_

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "budget/client_budget.h"
#include "fleet/messages/codec.h"
#include "fleet/messages/messages.h"
#include "fleet/transport/receive_buffer.h"

namespace bitternmux::fleet {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// The endpoint of an ip:port; none if the text is something else. For addresses that other programs have
// told.
std::optional<tcp::endpoint> ParseEndpoint(std::string_view address);

// The same for addresses of this process's own settings. Throws std::invalid_argument if the text is no
// ip:port.
tcp::endpoint EndpointFromText(const std::string& address);

// The port of an ip:port replaced.
std::string WithPort(const std::string& address, std::uint16_t port);

// One connection. One that was accepted may come from anybody: what it holds is charged to the process's
// budget, its first frame is small and comes soon, and it is not read while its peer does not read.
class Link : public std::enable_shared_from_this<Link> {
 public:
  using Received = std::function<void(const std::shared_ptr<Link>&, Message)>;
  using Closed = std::function<void(const std::shared_ptr<Link>&)>;

  Link(tcp::socket socket, Received received, Closed closed);

  // Of an accepted link, before Start. False: the process has no place for it.
  bool FindsPlace(std::shared_ptr<budget::ClientBudget> budget);
  void Start();
  void Send(const Message& message) { SendFrame(std::make_shared<const std::string>(EncodeFrame(message))); }
  // The same frame may be sent on several links, `sharers` in all, which share its charge. A peer that does
  // not take kMaxQueuedBytes loses its link.
  void SendFrame(std::shared_ptr<const std::string> frame, std::size_t sharers = 1);
  // Without a call of `closed`.
  void Close();
  bool open() const { return open_; }

 private:
  struct QueuedFrame {
    std::shared_ptr<const std::string> bytes;
    std::size_t charged_bytes = 0;
  };

  void Read();
  bool MayRead() const;
  void TakeFrames();
  std::size_t MaxFrameBytes() const;
  bool FrameOverdue();
  void AwaitFirstMessage();
  void Recount();
  void Write();
  void Fail();

  tcp::socket socket_;
  Received received_;
  Closed closed_;
  bool open_ = true;
  std::string in_;
  std::array<char, 16 * 1024> piece_;
  std::deque<QueuedFrame> queue_;
  std::size_t queued_bytes_ = 0, charged_bytes_ = 0;
  bool writing_ = false, reading_ = false;
  bool proven_ = false;        // a whole message has come
  double frame_began_ms_ = 0;  // of a frame that is not whole yet; 0: there is none
  asio::steady_timer first_message_timer_;
  std::shared_ptr<budget::ClientBudget> budget_;  // null: a link that this process has dialed
  std::unique_ptr<budget::ClientBudget::Account> account_;
};

// Accepts links at an address.
class LinkListener {
 public:
  // `budget`: of the process. Throws boost::system::system_error if it cannot listen.
  LinkListener(asio::io_context& io, const tcp::endpoint& at, std::shared_ptr<budget::ClientBudget> budget,
               std::function<void(tcp::socket)> accepted);

 private:
  void Accept();

  tcp::acceptor acceptor_;
  const std::shared_ptr<budget::ClientBudget> budget_;
  ReceiveBuffer receive_buffer_;
  std::function<void(tcp::socket)> accepted_;
  asio::steady_timer pause_;
};

// Keeps a link to one address: dials, and dials again when it breaks. A dial of what is no ip:port fails.
class Dialer : public std::enable_shared_from_this<Dialer> {
 public:
  struct Handlers {
    std::function<void(const std::shared_ptr<Link>&)> connected;
    Link::Received received;
    std::function<void()> lost;    // the link has broken; it is dialed again
    std::function<void()> failed;  // a dial has; may be null
  };

  Dialer(asio::io_context& io, std::string address, Handlers handlers);

  void Start();
  void Stop();
  // Null while there is none.
  const std::shared_ptr<Link>& link() const { return link_; }
  const std::string& address() const { return address_; }

 private:
  void Dial();
  void Connected(const ErrorCode& error);
  void Retry();

  asio::io_context& io_;
  const std::string address_;
  Handlers handlers_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::shared_ptr<Link> link_;
  std::uint64_t attempt_ = 0;
  bool stopped_ = false;
};

}  // namespace bitternmux::fleet

#endif  // BITTERNMUX_SRC_FLEET_TRANSPORT_LINK_H_
