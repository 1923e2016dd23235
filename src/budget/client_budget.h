// One budget of memory and one of connections for all that a process holds for its clients, over all of its
// listeners. docs/design/client-budgets.md has the table of what is charged.
//
// Each connection has an account: what is held for it in bytes, and where it stands. When the process holds
// more than it may, accounts are asked to give way. Of memory, the connection that holds most and moves least
// goes first: by the product of what it holds and how long it has stood still. Of connections, the one that
// has stood still longest goes, weighed by where it stands. A connection whose request is in work is never
// asked; so that those alone cannot take all, MayWork says whether one more may begin.
//
// No I/O and no clock: the caller tells the time in milliseconds, which never goes back. It may be called
// from several threads; `give_way` is called on the thread whose call found the budget spent, with the budget
// locked, so it must not call the budget back but leave that for later.
#ifndef BITTERNMUX_SRC_BUDGET_CLIENT_BUDGET_H_
#define BITTERNMUX_SRC_BUDGET_CLIENT_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <vector>

namespace bitternmux::budget {

// Where a connection stands.
enum class Standing {
  kNew,        // no whole request has come on it yet
  kReceiving,  // a further request is on its way
  kResting,    // between two requests
  kWorking,    // its request is in work
  kSending,    // what it was answered waits for it to read
  kLeaving,    // only its end is left
};

// Why a connection has to give way.
enum class Shortage { kMemory, kConnections, kTime };

class ClientBudget {
 public:
  struct Bounds {
    std::size_t bytes = std::numeric_limits<std::size_t>::max();         // held for clients
    std::size_t connections = std::numeric_limits<std::size_t>::max();   // of clients, and the process's own
    std::size_t unread_bytes = std::numeric_limits<std::size_t>::max();  // in the kernel, about
  };
  // The clients' part of a process's limits: `memory_mb` (MB) and `max_fds` of its settings.
  static Bounds BoundsFor(std::size_t memory_mb, std::size_t max_fds);

  // Connections that had to go since the start.
  struct Relieved {
    std::uint64_t for_memory = 0, for_connections = 0, overdue = 0;  // gave way
    std::uint64_t turned_away = 0;                                   // found no place
    std::uint64_t refused_work = 0;                                  // whose request might not go to work

    bool operator==(const Relieved&) const = default;
  };

  static constexpr double kNever = std::numeric_limits<double>::infinity();

  using GiveWay = std::function<void(Shortage)>;

  // One connection. Its end gives back all that it held. The budget outlives it.
  class Account {
   public:
    Account(ClientBudget& budget, double now_ms, GiveWay give_way);
    ~Account();
    Account(const Account&) = delete;
    Account& operator=(const Account&) = delete;

    // What is held for it now, in all, and where it stands. It has stood still since it came to that
    // standing.
    void Update(double now_ms, Standing standing, std::size_t bytes);
    // It has moved: a whole request came, or it has read of its answer.
    void Moved(double now_ms);
    // It has to give way at that time; kNever: at none.
    void EndBy(double ms);
    // It was asked to give way and cannot: a request has come on it. It counts again.
    void Stay(double now_ms);
    // Its `give_way` was called; nothing more needs to be taken for it.
    bool asked_to_leave() const;

   private:
    friend class ClientBudget;
    ClientBudget& budget_;
    const GiveWay give_way_;
    Standing standing_ = Standing::kNew;
    double since_ms_;
    std::size_t bytes_ = 0;
    double end_by_ms_ = kNever;
    bool asked_to_leave_ = false;
  };

  explicit ClientBudget(const Bounds& bounds) : bounds_(bounds) {}
  ClientBudget() : ClientBudget(Bounds()) {}  // without bounds

  // An account for a connection that was accepted; null: there is no place and none that may give way.
  std::unique_ptr<Account> Open(double now_ms, GiveWay give_way);
  // Whether a request for which so many bytes are held may go to work.
  bool MayWork(std::size_t bytes);
  // Connections of the process's own, as to servers, that share the descriptors; `change`: how many more.
  void UseOwn(double now_ms, int change);
  // Asks the accounts whose time is over to give way. To be called now and then.
  void EndOverdue(double now_ms);
  // Whether there is no place for one more.
  bool Full() const;
  // What the kernel may keep unread of a connection that is accepted from now on, in bytes as SO_RCVBUF takes
  // them: less the more connections there are.
  int ReceiveBufferBytes() const;

  std::size_t bytes() const;
  std::size_t connections() const;
  Relieved relieved() const;

 private:
  static double ConnectionWeight(Standing standing);
  std::size_t OpenConnections() const { return accounts_.size() - leaving_ + own_; }
  void Relieve(double now_ms);
  void RelieveMemory(double now_ms);
  // False: fewer than `count` could be asked.
  bool RelieveConnections(double now_ms, std::size_t count);
  void AskToLeave(Account& account, Shortage shortage);
  void Close(Account& account);
  void Recount(Account& account, Standing standing, std::size_t bytes);

  const Bounds bounds_;
  mutable std::mutex mutex_;  // guards what follows
  std::unordered_set<Account*> accounts_;
  std::size_t leaving_ = 0;  // accounts that were asked to give way
  std::size_t bytes_ = 0;    // of the others
  std::size_t working_ = 0, working_bytes_ = 0;
  std::size_t own_ = 0;
  Relieved relieved_;
};

}  // namespace bitternmux::budget

#endif  // BITTERNMUX_SRC_BUDGET_CLIENT_BUDGET_H_
