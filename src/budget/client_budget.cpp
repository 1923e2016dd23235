#include "budget/client_budget.h"

#include <algorithm>
#include <utility>

namespace bitternmux::budget {
namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
// Shares of memory_mb. The rest is for the process's own work, and for what the allocator keeps.
constexpr double kClientShare = 0.4;
constexpr double kUnreadShare = 1.0 / 24;
// Of max_fds: files outside the disk folder, and the process's own listeners, links and files.
constexpr std::size_t kKeptForFiles = 200;
constexpr std::size_t kOwnDescriptors = 48;

// In work at once, of the bytes and of the connections: each request in work takes a connection to a server.
constexpr double kWorkingShare = 0.75;
constexpr std::size_t kConnectionsEachRequest = 2;

// Accounts are asked to give way until this share of a budget is free, so that they are ranked seldom.
constexpr std::size_t kFreedPart = 16;
constexpr std::size_t kAskedAtOnce = 64;  // of the connections, one in so many

constexpr std::size_t kFewConnections = 64;  // up to which each has the same receive buffer
constexpr std::size_t kMinReceiveBuffer = 2 * 1024, kMaxReceiveBuffer = 64 * 1024;

}  // namespace

ClientBudget::Bounds ClientBudget::BoundsFor(std::size_t memory_mb, std::size_t max_fds) {
  const auto memory = static_cast<double>(memory_mb * kMegabyte);
  const std::size_t kept = kKeptForFiles + kOwnDescriptors;
  Bounds bounds;
  bounds.bytes = static_cast<std::size_t>(memory * kClientShare);
  bounds.unread_bytes = static_cast<std::size_t>(memory * kUnreadShare);
  bounds.connections = max_fds > 2 * kept ? max_fds - kept : std::max<std::size_t>(max_fds / 2, 1);
  return bounds;
}

// ---- Accounts ----

ClientBudget::Account::Account(ClientBudget& budget, double now_ms, GiveWay give_way)
    : budget_(budget), give_way_(std::move(give_way)), since_ms_(now_ms) {}

ClientBudget::Account::~Account() { budget_.Close(*this); }

void ClientBudget::Account::Update(double now_ms, Standing standing, std::size_t bytes) {
  const std::lock_guard lock(budget_.mutex_);
  if (standing != standing_) since_ms_ = now_ms;
  budget_.Recount(*this, standing, bytes);
  budget_.Relieve(now_ms);
}

void ClientBudget::Account::Moved(double now_ms) {
  const std::lock_guard lock(budget_.mutex_);
  since_ms_ = now_ms;
}

bool ClientBudget::Account::asked_to_leave() const {
  const std::lock_guard lock(budget_.mutex_);
  return asked_to_leave_;
}

void ClientBudget::Account::EndBy(double ms) {
  const std::lock_guard lock(budget_.mutex_);
  end_by_ms_ = ms;
}

void ClientBudget::Account::Stay(double now_ms) {
  const std::lock_guard lock(budget_.mutex_);
  since_ms_ = now_ms;
  if (!asked_to_leave_) return;
  asked_to_leave_ = false;
  --budget_.leaving_;
  budget_.bytes_ += bytes_;
}

std::unique_ptr<ClientBudget::Account> ClientBudget::Open(double now_ms, GiveWay give_way) {
  auto account = std::make_unique<Account>(*this, now_ms, std::move(give_way));
  std::unique_lock lock(mutex_);
  const std::size_t open = OpenConnections();
  if (open >= bounds_.connections) {
    // A few at once, so that they are ranked seldom.
    RelieveConnections(now_ms, open - bounds_.connections + 1 + bounds_.connections / kAskedAtOnce);
  }
  const bool has_place = OpenConnections() < bounds_.connections;
  if (has_place) accounts_.insert(account.get());
  if (!has_place) ++relieved_.turned_away;
  lock.unlock();  // an account that ends locks the budget too
  if (!has_place) account.reset();
  return account;
}

void ClientBudget::Close(Account& account) {
  const std::lock_guard lock(mutex_);
  if (accounts_.erase(&account) == 0) return;
  Recount(account, Standing::kLeaving, 0);
  if (account.asked_to_leave_) --leaving_;
}

void ClientBudget::Recount(Account& account, Standing standing, std::size_t bytes) {
  if (!account.asked_to_leave_) bytes_ = bytes_ - account.bytes_ + bytes;
  if (account.standing_ == Standing::kWorking) {
    --working_;
    working_bytes_ -= account.bytes_;
  }
  if (standing == Standing::kWorking) {
    ++working_;
    working_bytes_ += bytes;
  }
  account.standing_ = standing;
  account.bytes_ = bytes;
}

// ---- The process ----

bool ClientBudget::MayWork(std::size_t bytes) {
  const std::lock_guard lock(mutex_);
  const auto most_bytes = static_cast<std::size_t>(static_cast<double>(bounds_.bytes) * kWorkingShare);
  // The first one always may: a budget that is less than one request is no reason to serve none.
  if (working_ == 0) return true;
  const bool may =
      working_bytes_ + bytes <= most_bytes && working_ < bounds_.connections / kConnectionsEachRequest;
  if (!may) ++relieved_.refused_work;
  return may;
}

void ClientBudget::UseOwn(double now_ms, int change) {
  const std::lock_guard lock(mutex_);
  own_ += static_cast<std::size_t>(change);
  if (change > 0) Relieve(now_ms);
}

void ClientBudget::EndOverdue(double now_ms) {
  const std::lock_guard lock(mutex_);
  for (Account* account : accounts_) {
    if (!account->asked_to_leave_ && account->end_by_ms_ <= now_ms) AskToLeave(*account, Shortage::kTime);
  }
}

bool ClientBudget::Full() const {
  const std::lock_guard lock(mutex_);
  return OpenConnections() >= bounds_.connections;
}

int ClientBudget::ReceiveBufferBytes() const {
  const std::lock_guard lock(mutex_);
  // The kernel doubles what it is told.
  const std::size_t each = bounds_.unread_bytes / std::max(kFewConnections, accounts_.size()) / 2;
  return static_cast<int>(std::clamp(each, kMinReceiveBuffer, kMaxReceiveBuffer));
}

std::size_t ClientBudget::bytes() const {
  const std::lock_guard lock(mutex_);
  return bytes_;
}

std::size_t ClientBudget::connections() const {
  const std::lock_guard lock(mutex_);
  return OpenConnections();
}

ClientBudget::Relieved ClientBudget::relieved() const {
  const std::lock_guard lock(mutex_);
  return relieved_;
}

// ---- Who gives way ----

void ClientBudget::Relieve(double now_ms) {
  if (bytes_ > bounds_.bytes) RelieveMemory(now_ms);
  const std::size_t open = OpenConnections();
  if (open > bounds_.connections) RelieveConnections(now_ms, open - bounds_.connections);
}

void ClientBudget::RelieveMemory(double now_ms) {
  std::vector<std::pair<double, Account*>> ranked;
  ranked.reserve(accounts_.size());
  for (Account* account : accounts_) {
    if (account->asked_to_leave_ || account->standing_ == Standing::kWorking) continue;
    const double still_ms = now_ms - account->since_ms_ + 1;
    ranked.emplace_back(still_ms * static_cast<double>(account->bytes_), account);
  }
  std::ranges::sort(ranked, [](const auto& one, const auto& other) { return one.first > other.first; });
  const std::size_t target = bounds_.bytes - bounds_.bytes / kFreedPart;
  for (const auto& [weight, account] : ranked) {
    if (bytes_ <= target) return;
    AskToLeave(*account, Shortage::kMemory);
  }
}

// How soon one that stands there goes, against one that rests between two requests.
double ClientBudget::ConnectionWeight(Standing standing) {
  switch (standing) {
    case Standing::kLeaving:
      return 8;
    case Standing::kNew:
    case Standing::kReceiving:
      return 4;
    case Standing::kSending:
      return 2;
    case Standing::kResting:
      return 1;
    case Standing::kWorking:
      return 0;
  }
  return 0;
}

bool ClientBudget::RelieveConnections(double now_ms, std::size_t count) {
  std::vector<std::pair<double, Account*>> ranked;
  ranked.reserve(accounts_.size());
  for (Account* account : accounts_) {
    const double weight = ConnectionWeight(account->standing_);
    if (account->asked_to_leave_ || weight == 0) continue;
    ranked.emplace_back(weight * (now_ms - account->since_ms_ + 1), account);
  }
  const std::size_t asked = std::min(count, ranked.size());
  std::ranges::partial_sort(ranked, ranked.begin() + static_cast<std::ptrdiff_t>(asked),
                            [](const auto& one, const auto& other) { return one.first > other.first; });
  for (std::size_t i = 0; i < asked; ++i) AskToLeave(*ranked[i].second, Shortage::kConnections);
  return asked == count;
}

void ClientBudget::AskToLeave(Account& account, Shortage shortage) {
  account.asked_to_leave_ = true;
  ++leaving_;
  bytes_ -= account.bytes_;
  if (shortage == Shortage::kMemory) ++relieved_.for_memory;
  if (shortage == Shortage::kConnections) ++relieved_.for_connections;
  if (shortage == Shortage::kTime) ++relieved_.overdue;
  account.give_way_(shortage);
}

}  // namespace bitternmux::budget
