#include "lab/stands/client_stand.h"

#include <algorithm>
#include <boost/asio/coroutine.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "http/writer.h"
#include "lab/stands/answer.h"
// Last: defines reenter and yield.
#include <boost/asio/yield.hpp>

namespace bitternmux::lab {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using record::TryEnded;

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kBodyBytes = 200;
constexpr double kKeepMs =
    60'000;  // beyond the longest deadline: what a claim may yet name, at a node that hung

std::string IdOf(model::TryId id) {
  char digits[24];
  std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(id));
  return digits;
}

double RetryAfterMs(const http::Message& answer) {
  const auto text = answer.Find("retry-after");
  double seconds = 0;
  if (text) std::from_chars(text->data(), text->data() + text->size(), seconds);
  return std::isfinite(seconds) && seconds > 0 ? seconds * 1000 : 0;
}

model::TryEnd EndOf(TryEnded::How how) {
  switch (how) {
    case TryEnded::SERVED:
    case TryEnded::WRONG:  // its client does not know
      return model::TryEnd::kServed;
    case TryEnded::REFUSED:
      return model::TryEnd::kRefused;
    case TryEnded::LOST:
      return model::TryEnd::kLost;
    case TryEnded::NOT_TAKEN:
      return model::TryEnd::kNotTaken;
    default:
      return model::TryEnd::kFailed;
  }
}

}  // namespace

// One connection to a sidecar.
class ClientStand::Line : public std::enable_shared_from_this<Line>, private asio::coroutine {
 public:
  Line(ClientStand& owner, int sidecar)
      : owner_(owner), sidecar_(sidecar), socket_(owner.stage_.io), parser_(http::Role::kResponse) {}

  int sidecar() const { return sidecar_; }

  void Take(model::TryId id) {
    id_ = id;
    if (connected_) return Write();
    socket_.async_connect(owner_.sidecars_.address(sidecar_),
                          [self = shared_from_this()](const error_code& error) { self->Connected(error); });
  }

  void Close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    socket_.close(ignored);
    owner_.Closed(shared_from_this());
  }

 private:
  void Connected(const error_code& error) {
    if (closed_) return;
    if (error == asio::error::no_descriptors) owner_.stage_.OutOfDescriptors();
    if (error) return Fail(false);
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    connected_ = true;
    Write();
    if (!closed_) Read();
  }

  // In one piece and at once: that it is out is known before anything that comes of it can be seen.
  void Write() {
    const std::string out = owner_.TextOf(owner_.rows_.at(id_));
    error_code error;
    const std::size_t count = socket_.write_some(asio::buffer(out), error);
    if (error || count < out.size()) return Fail(true);
    owner_.Written(id_);
  }

  void Read(const error_code& error = {}, std::size_t count = 0) {
    reenter(this) {
      for (;;) {
        yield socket_.async_read_some(
            asio::buffer(buffer_.Prepare(kReadSize), kReadSize),
            [self = shared_from_this()](const error_code& e, std::size_t size) { self->Read(e, size); });
        if (closed_) return;
        if (error) return id_ == 0 ? Close() : Fail(true);
        buffer_.Commit(count);
        if (id_ == 0) return Close();  // it says what nobody asked for
        switch (parser_.Parse(buffer_)) {
          case http::Progress::kMore:
            break;
          case http::Progress::kBad:
            Finish(false);
            return;
          case http::Progress::kDone:
            Finish(true);
            if (closed_) return;
            break;
        }
      }
    }
  }

  void Fail(bool connected) {
    const auto id = std::exchange(id_, 0);
    const bool begun = parser_.started() || buffer_.size() > 0;
    const auto self = shared_from_this();
    Close();
    owner_.Broken(id, connected, begun);
  }

  void Finish(bool whole) {
    const auto id = std::exchange(id_, 0);
    const http::Message answer = parser_.Take();
    parser_.Reset();
    const auto self = shared_from_this();
    if (whole && answer.keep_alive && buffer_.size() == 0) {
      owner_.Idle(self);
    } else {
      Close();
    }
    owner_.Answered(id, answer, whole);
  }

  ClientStand& owner_;
  const int sidecar_;
  tcp::socket socket_;
  http::Parser parser_;
  http::Buffer buffer_;
  model::TryId id_ = 0;  // out on it; 0: none
  bool connected_ = false, closed_ = false;
};

ClientStand::ClientStand(Stage& stage, const Sidecars& sidecars)
    : stage_(stage),
      sidecars_(sidecars),
      clients_(stage.figures, stage.seeds),
      lines_(stage.figures.sidecars.size()),
      idle_(stage.figures.sidecars.size()) {
  for (const model::ClassFigures& klass : stage.figures.classes) {
    keep_ms_ = std::max(keep_ms_, kKeepMs + klass.deadline_ms);
  }
  stage.pace.Add([this] { return clients_.NextMs(); },
                 [this] {
                   clients_.Advance(stage_.pace.NowMs(), actions_);
                   Carry();
                   Forget();
                 });
}

ClientStand::~ClientStand() {
  for (auto& lines : lines_) {
    const auto all = lines;
    for (const auto& line : all) line->Close();
  }
}

std::optional<Order> ClientStand::Find(const http::Message& request) {
  const auto text = request.Find("req-id").value_or("");
  model::TryId id = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  const auto found = rows_.find(id);
  if (error != std::errc() || found == rows_.end() || text != IdOf(id)) return std::nullopt;
  Row& row = found->second;
  return Order{id, clients_.AttemptWork(row.attempt, row.claims++)};
}

void ClientStand::Carry() {
  model::ClientActions todo;
  todo.swap(actions_);
  for (const model::ClientAction& action : todo) {
    switch (action.what) {
      case model::ClientAction::What::kSend:
        ++sent_;
        sent_late_ += stage_.pace.NowMs() - action.attempt.due_ms > Pace::kLateMs;
        rows_[action.attempt.id].attempt = action.attempt;
        Send(action.attempt.id);
        break;
      case model::ClientAction::What::kLeave:
        Leave(action.attempt, TryEnded::LEFT);
        break;
      case model::ClientAction::What::kLost:
        Leave(action.attempt, TryEnded::LOST);
        break;
    }
  }
}

void ClientStand::Send(model::TryId id) {
  Row& row = rows_.at(id);
  const auto sidecar = static_cast<std::size_t>(row.attempt.sidecar);
  std::shared_ptr<Line> line;
  if (!row.again && !idle_[sidecar].empty()) {
    line = idle_[sidecar].back();
    idle_[sidecar].pop_back();
  } else if (lines_[sidecar].size() < kMostConnections) {
    line = *lines_[sidecar].insert(std::make_shared<Line>(*this, row.attempt.sidecar)).first;
  } else {
    stage_.Void("the clients of one sidecar ran out of connections");
    return Broken(id, false, false);
  }
  row.line = line;
  line->Take(id);
}

std::string ClientStand::TextOf(const Row& row) const {
  const model::ClassFigures& klass = stage_.figures.classes[static_cast<std::size_t>(row.attempt.klass)];
  const bool safe = klass.repeat == model::Repeat::kSafe;
  const double left = row.attempt.due_ms + row.attempt.patience_ms - stage_.pace.NowMs();
  http::Headers headers = {{"Host", "app.svc"},
                           {"Req-Id", IdOf(row.attempt.id)},
                           {"Req-Kind", klass.name},
                           {"Req-Deadline-Ms", std::to_string(std::max(1L, std::lround(std::floor(left))))}};
  if (row.attempt.hint_ms > 0) {
    headers.emplace_back("Req-Cost", std::to_string(std::lround(row.attempt.hint_ms * 1000)));
  }
  if (stage_.figures.clients.marks_retry && row.attempt.number > 0) headers.emplace_back("Req-Retry", "1");
  const std::string target = "/" + klass.name + "/" + std::to_string(row.attempt.first);
  return http::WriteRequest(safe ? "GET" : "POST", target, headers,
                            safe ? std::string() : std::string(kBodyBytes, 'x'));
}

void ClientStand::Written(model::TryId id) {
  Row& row = rows_.at(id);
  if (row.sent_ms >= 0) return;
  row.sent_ms = stage_.pace.NowMs();
  // What is left of its time from here on, as the request says it.
  model::Try attempt = row.attempt;
  attempt.patience_ms = std::max(1.0, attempt.due_ms + attempt.patience_ms - row.sent_ms);
  stage_.Tell(&Observer::TrySent, attempt);
}

void ClientStand::Leave(const model::Try& attempt, TryEnded::How how) {
  Row& row = rows_.at(attempt.id);
  // Never written: no sidecar can be said to have had it.
  const bool written = row.sent_ms >= 0;
  if (!written) Written(attempt.id);
  if (const auto line = row.line) line->Close();
  End(attempt.id, {written ? how : TryEnded::NOT_TAKEN, 0, 0, 0});
}

void ClientStand::Answered(model::TryId id, const http::Message& answer, bool whole) {
  TryOutcome outcome;
  outcome.status = answer.status;
  outcome.how = TryEnded::FAILED;
  if (whole && answer.status == 200) {
    const Made made = ReadMade(answer.body);
    outcome.how = made.claim > 0 && made.request == IdOf(id) ? TryEnded::SERVED : TryEnded::WRONG;
    outcome.claim = made.claim;
  } else if (whole && (answer.status == 429 || answer.status == 503)) {
    outcome.how = TryEnded::REFUSED;
    outcome.retry_after_ms = RetryAfterMs(answer);
  }
  End(id, outcome);
}

void ClientStand::Broken(model::TryId id, bool connected, bool answer_begun) {
  Row& row = rows_.at(id);
  if (row.over) return;
  const bool written = row.sent_ms >= 0;
  if (!written) Written(id);
  TryOutcome outcome;
  if (answer_begun) {
    outcome.how = TryEnded::FAILED;
  } else if (row.claims > 0 || (written && sidecars_.killed_ms(row.attempt.sidecar) >= row.sent_ms)) {
    outcome.how = TryEnded::LOST;
  } else if (!connected) {
    outcome.how = TryEnded::NOT_TAKEN;
  } else if (!row.again) {
    row.again = true;
    return Send(id);
  } else {
    outcome.how = TryEnded::LOST;
  }
  End(id, outcome);
}

void ClientStand::End(model::TryId id, const TryOutcome& outcome) {
  Row& row = rows_.at(id);
  if (std::exchange(row.over, true)) return;
  row.line.reset();
  over_.emplace_back(stage_.pace.NowMs(), id);
  stage_.Tell(&Observer::TryEnded, row.attempt, outcome);
  if (clients_.Find(id) != nullptr) {
    clients_.Ended(stage_.pace.NowMs(), id, EndOf(outcome.how), outcome.retry_after_ms);
    stage_.pace.Arm();
  }
}

void ClientStand::Idle(const std::shared_ptr<Line>& line) {
  idle_[static_cast<std::size_t>(line->sidecar())].push_back(line);
}

void ClientStand::Closed(const std::shared_ptr<Line>& line) {
  const auto sidecar = static_cast<std::size_t>(line->sidecar());
  std::erase(idle_[sidecar], line);
  lines_[sidecar].erase(line);
}

void ClientStand::Forget() {
  while (!over_.empty() && over_.front().first + keep_ms_ < stage_.pace.NowMs()) {
    rows_.erase(over_.front().second);
    over_.pop_front();
  }
}

}  // namespace bitternmux::lab

#include <boost/asio/unyield.hpp>
