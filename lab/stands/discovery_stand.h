// Discovery on sockets: the whole list and watches, over the model's discovery, at an address of its own for
// each sidecar. When it moves it has new addresses, and the old ones refuse.
#ifndef BITTERNMUX_LAB_STANDS_DISCOVERY_STAND_H_
#define BITTERNMUX_LAB_STANDS_DISCOVERY_STAND_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/model/told_list.h"
#include "lab/stands/door.h"
#include "lab/stands/link.h"
#include "lab/stands/stage.h"

namespace bitternmux::lab {

class DiscoveryStand : private Link::Owner {
 public:
  // Where a sidecar reaches a machine, ip:port.
  using MachineAddress = std::function<std::string(int sidecar, int machine)>;

  // `at`, where given, is the address; else all are on loopback, with ephemeral ports. `stage` must outlive
  // it. Throws std::runtime_error that names an address that it cannot have.
  DiscoveryStand(Stage& stage, MachineAddress address_of,
                 std::optional<boost::asio::ip::tcp::endpoint> at = std::nullopt);
  ~DiscoveryStand() override;

  void Begin();
  // Where the sidecar reaches discovery now.
  std::string AddressOf(int sidecar) const;
  // The list as the sidecar last had it, in discovery's form.
  nlohmann::json KnownTo(int sidecar) const;

 private:
  struct Row {
    std::shared_ptr<Link> link;
    int sidecar = 0;
    int place = 0;
    model::CallId call = 0;  // 0: none is open
    bool watch = false;
    bool answered = false;  // the watch's head is out
    double back = 0;
    std::uint64_t messages = 0;
  };

  void Came(std::uint64_t link, const http::Message& request) override;
  void Unreadable(std::uint64_t link) override;
  void Left(std::uint64_t link) override;
  void Accept(int sidecar, int place, boost::asio::ip::tcp::socket socket);
  void Ask(std::uint64_t link, model::CallId call, std::int64_t since);
  void Carry(const model::DiscoveryAction& action);
  void Heard(std::uint64_t link, const model::DiscoveryAction& action);
  void Break(std::uint64_t link);
  void EndCut(const model::LinkTrouble& trouble);
  void Open();
  void SetDoors();
  nlohmann::json JsonOf(int sidecar, const model::Listing& listing) const;

  Stage& stage_;
  const MachineAddress address_of_;
  const std::optional<boost::asio::ip::tcp::endpoint> at_;
  std::vector<std::vector<std::unique_ptr<Door>>> doors_;  // by place and sidecar
  std::vector<model::ToldList> told_;                      // by sidecar
  std::map<std::uint64_t, Row> rows_;
  std::map<model::CallId, std::uint64_t> links_;
  std::uint64_t last_link_ = 0;
  model::CallId last_call_ = 0;
};

}  // namespace bitternmux::lab

#endif  // BITTERNMUX_LAB_STANDS_DISCOVERY_STAND_H_
