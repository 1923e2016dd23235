// One connection that a stand-in has taken: reads one request at a time, and notices meanwhile when the other
// side leaves.
#ifndef BITTERNMUX_LAB_STANDS_LINK_H_
#define BITTERNMUX_LAB_STANDS_LINK_H_

#include <boost/asio/coroutine.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/buffer.h"
#include "http/parser.h"
#include "lab/stands/relay.h"

namespace bitternmux::lab {

class Link : public std::enable_shared_from_this<Link>, private boost::asio::coroutine {
 public:
  // All that is told of a link names it by its number.
  class Owner {
   public:
    virtual ~Owner() = default;
    // A request is whole. The next one is read when Next has been called.
    virtual void Came(std::uint64_t link, const http::Message& request) = 0;
    // What came cannot be read as a request.
    virtual void Unreadable(std::uint64_t link) = 0;
    // The other side has closed, or ended its sending, or the way has cut it off (cut()). Not told of what
    // Finish and Reset have ended.
    virtual void Left(std::uint64_t link) = 0;
  };

  // `owner` must outlive it or call Reset. `how`: how what is written passes.
  Link(boost::asio::ip::tcp::socket socket, Owner& owner, std::uint64_t number, Relay::How how);
  void Start();
  void Next();
  // Bytes that cannot go out yet wait, up to Relay's bound. `passed`: as Relay has it.
  void Write(std::string bytes, std::function<void()> passed = {});
  // Ends its own sending once all is written, and goes on reading.
  void Finish();
  // Closes with a reset, whatever was not written.
  void Reset();
  void Close();
  bool cut() const { return relay_->cut(); }

 private:
  void Read(const boost::system::error_code& error = {}, std::size_t count = 0);
  void Process();

  const std::shared_ptr<Relay> relay_;
  Owner& owner_;
  const std::uint64_t number_;
  http::Parser parser_{http::Role::kRequest};
  http::Buffer buffer_;
  bool busy_ = false, finishing_ = false, closed_ = false;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_LINK_H_
