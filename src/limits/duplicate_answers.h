// Which answer on a connection is a duplicate of an earlier one, and how long a connection has to rest for
// it: a decider. It does no I/O and reads no clock; whoever owns the sockets tells it what comes.
//
// A node, or the network, may write an answer a second time, alike to the last byte and some milliseconds
// behind the first (0.9 to 3.9 ms were seen, docs/review-of-parts.md). Nothing in an answer ties it to its
// request, so the duplicate would be read as the answer to the next request on the connection. Either of two
// things keeps it from that:
//
//  - The connection rests: nothing is written until `kRestMs` after the answer, by when the duplicate has
//  come.
//  - The node's answers are told apart: no two are alike. The next request is then written at once, and what
//    comes for it that is alike to an answer of the last `kRestMs` before it is the duplicate, and is
//    dropped.
//
// Whether a node's answers are ever alike is learned from requests before which the connection had rested:
// their answers are their own. It takes `kProof` in a row, none alike to one of the kept ones; then the
// chance that the next one is alike is one in kProof + 2 (Laplace's rule of succession). A node that has not
// shown an alike one goes by the fleet's after `kOwnProof` of its own. An alike one makes the node rest for
// twice as many answers as it took before, `kMostProof` at the most (exponential back-off).
//
// Where two answers are alike after all, the second is dropped, and its request ends by its time. From the
// drop on until a request's own answer has come its node rests, so that in the long run what a node has out
// at one moment can be lost so, once in kMostProof of its answers.
//
// Bounds: 16 bytes for each of the last `kMostKept` answers on a connection, which rests where as many came
// within `kRestMs`; a row for each node that `Serving` named last or that answered since. Calls cost O(kept)
// and O(log nodes). Not thread-safe. Times are in milliseconds on one clock that does not go back.
#ifndef BITTERNMUX_SRC_LIMITS_DUPLICATE_ANSWERS_H_
#define BITTERNMUX_SRC_LIMITS_DUPLICATE_ANSWERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bitternmux::limits {

// By the protocol: nothing that was answered is answered again later than that.
constexpr double kRestMs = 6;

// 64-bit FNV-1a over parts, each with its length.
class Digest {
 public:
  Digest& Add(std::string_view part);
  std::uint64_t value() const { return value_; }

 private:
  void AddByte(unsigned char byte);
  std::uint64_t value_ = 0xcbf29ce484222325u;
};

// Of each node, and of the fleet, whether its answers are told apart.
class AnswersAlike {
 public:
  static constexpr unsigned kProof = 254, kOwnProof = 2, kMostProof = 16 * kProof;

  // An answer of the node was alike to an earlier one, or to none.
  void Seen(const std::string& node, bool alike);
  // A duplicate was dropped, whose request waits on; and that has ended, `answered` or not. Each doubt is to
  // be settled once.
  void Doubt(const std::string& node);
  void Settle(const std::string& node, bool answered);
  bool TellsApart(const std::string& node) const;
  // The nodes in service, all of them: what is known of others is dropped.
  void Serving(std::vector<std::string> nodes);
  std::size_t rows() const { return nodes_.size(); }
  // For people: a line for the fleet, and one for each node that has shown an alike one.
  std::string Describe() const;

 private:
  struct Row {
    unsigned proof = kProof;  // answers that it takes
    unsigned left = kProof;   // of these, still to come
    unsigned doubts = 0;      // that are not settled
    void Seen(bool alike);
    bool ever_alike() const { return proof > kProof; }
  };
  Row fleet_;
  std::map<std::string, Row> nodes_;
};

// The answers that ended on one connection lately.
class RecentAnswers {
 public:
  static constexpr std::size_t kMostKept = 128, kCompared = 8;

  // Until when nothing may be written.
  double RestsUntilMs(bool tells_apart) const;
  // A request is about to be written.
  void Begun(double now_ms);
  // Is what came for it the duplicate of an earlier answer? Counted from when the request was begun and not
  // from when it is read, which may be long after it came.
  bool IsDuplicate(std::uint64_t digest);
  // The request's own answer has ended; no digest: it cannot be told from others, and has to be rested for.
  // Whether it was alike to an earlier one, if it is known to be the request's own.
  std::optional<bool> Answered(double now_ms, std::optional<std::uint64_t> digest);
  // A duplicate has come for the request that is out, and no answer yet.
  bool dropped() const { return dropped_; }
  std::size_t kept() const { return kept_.size(); }

 private:
  struct Answer {
    double ended_ms;
    std::uint64_t digest;
  };
  std::vector<Answer> kept_;  // oldest first
  std::size_t suspects_ = 0;  // the last so many of them may be written again while the request is out
  bool rested_ = true;        // before the request
  bool dropped_ = false;
  double ended_ms_ = -kRestMs;   // the last answer
  double untold_ms_ = -kRestMs;  // the last one without a digest
};

}  // namespace bitternmux::limits

#endif  // BITTERNMUX_SRC_LIMITS_DUPLICATE_ANSWERS_H_
