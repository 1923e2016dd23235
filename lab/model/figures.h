// The figures of one day, all of them exact: what the scenario's ranges were drawn into.
//
// Every part of the model is built from a piece of this and from the day's seed, and is told nothing else.
// Times are milliseconds since the day began, work is milliseconds on a standard core, rates are per second,
// shares are of one. The scenario package is the only one that fills these in, and has checked them: the
// model does not do so again.
#ifndef BITTERNMUX_LAB_MODEL_FIGURES_H_
#define BITTERNMUX_LAB_MODEL_FIGURES_H_

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace bitternmux::lab::model {

// No such time: what is due then never happens.
inline constexpr double kNever = std::numeric_limits<double>::infinity();

// ---- Execute nodes ----

enum class WarmBy { kTime, kWork };
// How far work stops when its sidecar closes the connection.
enum class StopsOnClose { kNothing, kWaiting, kAll };
// What a node does with a connection that has idled too long.
enum class IdleEnd {
  kClose,   // closes it in order; the sidecar learns of it one way later
  kReset,   // resets it, likewise
  kForget,  // says nothing, and resets it when the next request comes
};

// One process of an execute node. See execute_node.h for what each figure does.
struct NodeFigures {
  double cores = 1;
  double speed = 1;  // of a core, in standard cores
  int slots = 4;     // claims in work at a time; those share the cores
  int room = 20;     // claims that may wait for a slot; the next is declined unseen

  double cold_from = 0.2;  // share of its capacity that a started process has
  double warm_ms = 15000;
  WarmBy warm_by = WarmBy::kWork;
  double warm_within_ms = 24000;  // never slower than evenly over this, whatever it is warmed by
  double fall_multiple = 2.5;     // sent more than this multiple of its present capacity
  double fall_ms = 3000;          // in a window of this length, a cold process falls over
  double fall_slack = 0.1;        // share by which chance may go beyond that

  double thrash = 0;      // loss of efficiency for each claim held per core beyond `thrash_at`
  double thrash_at = 10;  // claims held per core

  bool tips = false;             // a crowd slows it down
  double crowd_at = 5;           // waiting claims per core that are a crowd
  double crowd_ms = 2000;        // for so long without a break
  double crowd_slower = 3;       // then slower by this factor
  double rest_below = 0.3;       // until less than this share of its cores was busy
  double rest_ms = 3000;         // over so long
  double crowd_most_ms = 27000;  // or this has passed

  int connections = 600;         // that it holds open; the next is turned away
  double full_tax = 0;           // share of its capacity that a full table takes
  double handshake_work_ms = 4;  // of each new connection
  double idle_ms = 60000;        // after which it ends an idle connection
  IdleEnd idle_end = IdleEnd::kClose;

  double probe_work_ms = 0.15;
  double probes_per_s = 1e9;  // beyond that a probe is answered 503
  bool deep_probes = false;   // a probe waits and is served like a claim

  bool reports = true;
  double report_period_ms = 700;  // a report is taken this often
  double report_delay_ms = 150;   // and given out this much later
  double report_noise = 0.05;     // deviation, as a share

  double error_rate = 0;  // share answered with an error after their work
  StopsOnClose stops_on_close = StopsOnClose::kAll;
  bool drops_overdue = true;  // work stops when the sidecar has said that it waits no longer
};

// One machine's process. A machine that is replaced, or whose process restarts, is the next one in the list:
// each process has a number of its own, its index.
struct MachineFigures {
  std::string id;  // in discovery's list; the same for all processes of one machine
  int place = 0;   // processes of the same place listen at the same address, one after another
  int zone = 0;
  int kind = 0;
  int cell = 0;
  double size = 1;         // as the list words it
  bool from_start = true;  // up, and warm, when the day begins; else a step starts it, cold
  NodeFigures node;
};

// ---- Network ----

enum class LinkFault {
  kCut,        // both ways: what is sent is lost, and dials never come up; connections reset when it ends
  kCutTo,      // the same of what sidecars send
  kCutFrom,    // the same of what is sent to sidecars
  kStallTo,    // what sidecars send is held until it ends
  kStallFrom,  // what is sent to sidecars is held until it ends
  kNoDial,     // dials never come up; what stands goes on
  kDelay,      // each way takes `amount` milliseconds more, and of these a share of `share`, exponentially
  kDrop,       // this share of the new connections is reset at once
  // On sockets only, each of what is sent to sidecars:
  kSlowBytes,  // `amount` bytes a second on each connection
  kCutShort,   // of this share of the messages `amount` bytes pass, and the connection ends
  kDouble,     // this share of the messages passes twice
};
constexpr bool Cuts(LinkFault fault) { return fault <= LinkFault::kCutFrom; }

// Between some sidecars and some machines, or discovery. Empty lists mean all.
struct LinkTrouble {
  double from_ms = 0, until_ms = 0;
  LinkFault fault = LinkFault::kCut;
  std::vector<int> sidecars;
  std::vector<int> machines;
  bool discovery = false;  // the way to discovery, and `machines` counts for nothing
  double amount = 0;
  double share = 1;
};

struct NetworkFigures {
  std::vector<std::string> zones;
  double same_ms = 0.2;       // one way, within a zone
  double cross_ms = 2;        // and between zones
  double client_ms = 0.06;    // between a client and its sidecar
  double jitter = 0.2;        // a way takes this share longer, exponentially
  double handshake_rtts = 2;  // of a new connection, its first included
  std::vector<LinkTrouble> troubles;
};

// ---- Discovery ----

enum class DiscoveryFault {
  kRefuses,   // fails this share of the calls at once
  kIgnores,   // leaves this share of the calls without an answer for good
  kForgets,   // begins anew, at `revision`, with `share` of its list; calls end, and what was left out comes
              // back when it ends
  kStale,     // answers what it knew `age_ms` ago
  kDoubles,   // tells watches everything twice
  kReorders,  // tells a list's entries in another order each time
};

struct DiscoveryTrouble {
  double from_ms = 0, until_ms = 0;
  DiscoveryFault fault = DiscoveryFault::kRefuses;
  std::vector<int> sidecars;  // whose calls; none: all
  double share = 1;
  double age_ms = 0;
  std::int64_t revision = 1;
};

struct DiscoveryFigures {
  double notice_ms = 2000;         // from a drain or a stop that was announced to its being known
  double silent_notice_ms = 8000;  // from a death that nobody announced
  double add_ms = 1000;            // from a start
  double period_ms = 700;          // what is known is published this often
  double spread_ms = 60;           // and told to each watch within this
  double lines_per_s = 2000;       // capacity, in list lines
  double call_lines = 40;          // what a call costs beside the lines of its answer
  double timeout_ms = 3000;        // a call that waits longer fails
  double line_ms = 2000;           // a watch on which nothing is told gets an empty line this often
  int history = 256;               // changes kept; a watch from before these gets the whole list
  double told_within_ms = 6000;    // what is published counts as told this much later
  double old_open_ms = 1500;       // after a move, until the old one closes what is open
  std::vector<DiscoveryTrouble> troubles;
};

// ---- Clients ----

enum class Repeat { kSafe, kForbidden };

struct ClassFigures {
  std::string name;
  double share = 1;  // of the wishes
  Repeat repeat = Repeat::kSafe;
  double work_ms = 10;
  double work_cv = 0.5;
  double attempt_cv = 0.2;  // by which attempts of one wish differ in work
  double aim_ms = 100;
  double deadline_ms = 400;
  double try_share = 1;  // of the deadline that a client waits for one try
  double worth = 1;
  double late_worth = 0;
};

// Arrivals are `factor` times as many between the two times; the change takes `rise_ms` and `fall_ms`.
struct Burst {
  double from_ms = 0, until_ms = 0;
  double factor = 1;
  double rise_ms = 0, fall_ms = 0;
};

struct ClientFigures {
  double rate = 300;       // wishes a second over all sidecars, on the mean
  double swing = 0;        // a wave: the rate goes up and down by this share
  double wave_ms = 20000;  // in this time
  double wave_phase = 0;   // of one turn
  std::vector<Burst> bursts;
  int retries = 2;              // that a client makes of a wish, at most
  double backoff_ms = 100;      // before the first; twice as long before each further one
  double backoff_jitter = 0.5;  // share of it that is drawn
  double honour = 0.8;          // share of the wishes whose client heeds Retry-After
  double impatient = 0.01;      // share of the tries that the client leaves early
  bool marks_retry = false;
  bool hints = true;
  double hint_cv = 0.3;  // by which a hint is off
};

// ---- Sidecars ----

struct SidecarFigures {
  std::string name;
  int zone = 0;
  double share = 1;     // of all arrivals
  double start_ms = 0;  // when its process first starts
  double boot_ms = 60;  // from the start of the process to its first answer
};

// ---- What goes wrong ----

// One elementary step. What a scenario calls a trouble is drawn into a few of these.
struct Step {
  enum class What {
    // Machines; `target` is the machine's number.
    kStart,     // its process starts, cold
    kDrain,     // it is told to finish what it has and take nothing new; discovery is told so
    kStop,      // its process ends in order: discovery is told, connections are reset
    kKill,      // its process dies: connections are reset, and discovery finds out
    kVanish,    // it is gone without a word: connections stay silent, dials never come up
    kSlow,      // slower by the factor `amount`; 1 ends it
    kHang,      // takes requests, does nothing and answers none; 0 ends it
    kMute,      // does the work and answers none; 0 ends it
    kFail,      // answers this share with an error, at once and before its work; 0 ends it
    kReset,     // resets the connection of this share of the claims in the middle of them; 0 ends it
    kSpoil,     // spoils this share of its answers; 0 ends it
    kIdleKeep,  // ends idle connections after so many milliseconds; 0: as by its figures
    // Sidecars; `target` is the sidecar's number. `amount`: after so many milliseconds from its end, it
    // starts again.
    kTerm,         // SIGTERM, and SIGKILL `kill_after_ms` later if it still runs then
    kSidecarKill,  // SIGKILL
    kHup,          // the configuration is read again
    kFreeze,       // its process stands still; `amount` numbers what holds it, and so in kLetGo
    kLetGo,        // and goes on, once nothing holds it any more
    kDescriptors,  // it may hold so many descriptors; 0: as many as it may by its rules
    kShortLife,    // the process that is started next, or behind those of such a word before, is killed so
                   // many milliseconds after its start
    // Discovery.
    kDiscoveryDown,
    kDiscoveryUp,
    kDiscoveryMove,
    // Marks in the record; `target` is the trouble's index.
    kTroubleBegins,
    kTroubleEnds,
  };
  double at_ms = 0;
  What what = What::kStart;
  int target = -1;
  double amount = 0;
};

// For the record: which trouble it is that some of the steps make up.
struct TroubleFigures {
  std::string name;
  double from_ms = 0, until_ms = 0;
  std::vector<int> machines;
  std::vector<int> sidecars;
  std::string detail;
  bool of_load = false;       // arrivals alone, and nothing that goes wrong
  bool hides_list = false;    // what discovery has to tell may not come to the sidecars; none named: to any
  bool sockets_only = false;  // virtual time has no such thing
};

// ---- Rules and bounds ----

struct RuleFigures {
  double drain_grace_ms = 1500;
  double answer_slack_ms = 70;  // beyond a try's time
  int max_attempts = 3;
  bool may_duplicate = false;
  bool may_cancel = true;
  bool may_probe = true;
  bool may_advise_retry = true;
  double max_retry_after_ms = 2000;
  double ask_within_ms = 10000;
  double dial_timeout_ms = 250;
  double idle_ms = 60000;  // that execute nodes are said to keep idle connections
  double cold_from = 0.16;
  double warm_within_ms = 24000;
  double fall_multiple = 2.5;
  double fall_ms = 3000;
  bool worth_by_work = true;
  bool weights_known = true;
  double kill_after_ms = 3700;  // from SIGTERM to SIGKILL
  int memory_mb = 128;          // of a sidecar
  int descriptors = 1024;
  double goal_whole = 0.3, goal_worst_window = 0.5, goal_worst_class = 0.2;
  double probe_price = 0.0093, cross_zone_price = 0.03, handshake_price = 0.069, connection_price = 0.069;
};

// What the sidecars are told otherwise than the day would have it: a name in their settings, dotted, and the
// JSON of its value.
struct SettingFigure {
  std::string name, json;
};

// ---- The day ----

struct Figures {
  std::string name;
  std::uint64_t seed = 0;
  double first_ms = 1000;          // when the arrivals begin: by then all sidecars are up
  double length_ms = 60000;        // of the arrivals; a run goes on until all is answered
  std::vector<std::string> kinds;  // of machines
  std::vector<MachineFigures> machines;
  NetworkFigures network;
  DiscoveryFigures discovery;
  std::vector<ClassFigures> classes;
  ClientFigures clients;
  std::vector<SidecarFigures> sidecars;
  std::vector<TroubleFigures> troubles;
  std::vector<Step> steps;  // by time; those of one time in the order in which they are carried out
  RuleFigures rules;
  std::vector<SettingFigure> settings;
};

// The same day, and nothing goes wrong in it. Load that rises and falls stays as it is.
Figures WithoutTroubles(Figures figures);

}  // namespace bitternmux::lab::model

#endif  // BITTERNMUX_LAB_MODEL_FIGURES_H_
