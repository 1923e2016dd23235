// The execute nodes of a run on sockets, each at an address of its own for each sidecar: by the address that
// was dialed a connection's sidecar is known.
//
// Delays of the network are added here, on the way to a node and back. A dial comes up at once, as the kernel
// has it; what the handshake would have taken is added to the way of the connection's first request.
//
// State: the connections that are open.
#ifndef BITTERNMUX_LAB_STANDS_QUOTE_SERVERS_H_
#define BITTERNMUX_LAB_STANDS_QUOTE_SERVERS_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "lab/stands/door.h"
#include "lab/stands/link.h"
#include "lab/stands/stage.h"

namespace bitternmux::lab {

// What a request that came to an execute node is.
struct Order {
  model::TryId attempt = 0;  // 0: nobody's that the run knows
  double work_ms = 0;
};
// None: no client sent it. Called once for each request that is whole, and counts it as an attempt.
using FindOrder = std::function<std::optional<Order>(const http::Message& request)>;

class QuoteServers : private Link::Owner {
 public:
  // `at`, where given, is the address of place 0; else all are on loopback, with ephemeral ports. `stage`
  // must outlive it. Throws std::runtime_error that names an address that it cannot have.
  QuoteServers(Stage& stage, FindOrder find_order,
               std::optional<boost::asio::ip::tcp::endpoint> at = std::nullopt);
  ~QuoteServers() override;

  void Begin();
  // Where the sidecar reaches the machine.
  std::string AddressOf(int sidecar, int machine) const;
  std::size_t claims_out() const { return claims_out_; }
  // The run is over: what is still out ends as silent.
  void End();

 private:
  struct Row {
    std::shared_ptr<Link> link;
    int sidecar = 0;
    int machine = 0;
    double there = 0, back = 0;  // when the last message each way arrives
    std::uint64_t messages = 0;
    model::ClaimId claim = 0;  // out on it
    std::string request_id;
    bool turned_away = false;
    bool node_closed = false;  // as the record has it
    bool spent = false;        // by an answer that leaves it of no use
  };
  using Rows = std::map<model::ConnectionId, Row>;

  void Came(std::uint64_t link, const http::Message& request) override;
  void Unreadable(std::uint64_t link) override;
  void Left(std::uint64_t link) override;
  void Accept(int sidecar, int place, boost::asio::ip::tcp::socket socket);
  void Probe(Rows::iterator found, const http::Message& request);
  void Claim(Rows::iterator found, const http::Message& request, const Order& order);
  void Carry(int machine, const model::NodeAction& action);
  void Heard(model::ConnectionId id, const model::NodeAction& action);
  void EndClaim(Row& row, record::ClaimEnded::How how, double worked_ms);
  void NodeCloses(Row& row);
  void Reset(Rows::iterator found);
  void EndCut(const model::LinkTrouble& trouble);
  void SetDoors();
  double There(Row& row, model::ConnectionId id);

  Stage& stage_;
  const FindOrder find_order_;
  std::vector<std::vector<std::unique_ptr<Door>>> doors_;  // by sidecar and place
  Rows rows_;
  model::ConnectionId last_connection_ = 0;
  model::ClaimId last_claim_ = 0;
  std::size_t claims_out_ = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_QUOTE_SERVERS_H_
