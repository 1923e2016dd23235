// What servers made and what clients got of some requests, as each side recorded it: plain data. The checker
// (history_checker.h) holds one beside the other.
#ifndef BITTERNMUX_LAB_WIRE_HISTORY_H_
#define BITTERNMUX_LAB_WIRE_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace bitternmux::lab::wire {

// What a router may do with the requests of a route.
struct RouteRules {
  bool streaming = false;
  bool repeatable = false;  // a request may run more than once; a stream may be resumed
  int max_attempts = 1;     // servers that may run one request
};

// One arrival of a request at a server.
struct Run {
  std::string request_id, server;
  std::string path, body;           // as they arrived
  bool executed = true;             // false: the server has answered that it did not run it
  int status = 200;                 // that it answered with
  std::string seal;                 // the stamp of its answer; empty: none
  std::uint64_t first_event = 0;    // of a stream: the number of the first event
  std::vector<std::string> events;  // of a stream: as they were made, each whole
  std::string answer;               // the body of any other answer
  bool sound = true;                // the server sent its answer whole
};

// One request as its client sent it, and what the client got.
struct Received {
  std::string request_id;
  std::string path, body;  // as they were sent
  RouteRules rules;
  std::uint64_t first_event = 0;  // of a stream: the client has all before it
  std::uint64_t event_count = 0;  // of a stream: how many there are in all
  int status = 0;                 // 0: no head came
  std::string seal;
  std::string bytes;               // of the body, as far as it came
  bool complete = false;           // the answer has ended as its framing says
  bool left = false;               // the client gave it up
  bool out_of_time = false;        // it ended when its deadline was reached
  bool router_in_trouble = false;  // its router was killed or stood still while it was open
  std::string surplus;             // bytes behind a complete answer, with no request open
};

struct History {
  std::vector<Run> runs;  // those of one request in the order of their arrival
  std::vector<Received> received;
};

}  // namespace bitternmux::lab::wire

#endif  // BITTERNMUX_LAB_WIRE_HISTORY_H_
