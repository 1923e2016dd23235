// The simulator's wire protocol and SimHost: parsing, writing, skipped messages and malformed input.
#include "simhost/wire.h"

#include <gtest/gtest.h>

#include <random>
#include <sstream>

#include "simhost/simhost.h"

namespace cartspring {
namespace {

const char kSpawn[] =
    "SPAWN\tproxy=proxy-3\trandomSeed=5138197539985895\taz=1\tbalancers=3\tbounds.mayCancel=true\t"
    "bounds.probes=true\tbounds.sendCap=3\tbounds.unheardOf=7\tcontract.askWithinMs=10000.0\t"
    "contract.coldFrom=0.31\tcontract.warmWithinMs=8500.0\tdiscovery=subscribe\tfeedback.via=answers\t"
    "feedback.columns=waiting,active\tprices.probe=0.004\tservices.count=2\tservices.0.deadlineMs=500.0\t"
    "services.0.effect=free\tservices.0.promiseMs=250.0\tservices.0.worth=3.0\tservices.1.deadlineMs=2500.0\t"
    "services.1.effect=guarded\tservices.1.group=cell\tservices.1.promiseMs=500.0\tservices.1.windowMs=12000."
    "0\t"
    "tenants.count=1\ttenants.0.name=one\ttenants.0.portion=0.4\ttenants.0.quotaRps=90.5\ttickMs=5.0\t"
    "weights=nominal\tworthBy=work";
const char kHosts[] =
    "INVENTORY\tsheet=2\trows=2\n"
    "ROW\thost=10.0.0.1:80\tarea=0\tfamilyType=0\tcluster=0\tstate=live\tweight=1\n"
    "ROW\thost=10.0.0.2:80\tarea=1\tfamilyType=1\tcluster=3\tstate=live\tweight=1.5\tcameUpMs=6100.0\n"
    "SYNC\tproxy=proxy-3\tkind=remembered\tsheet=2\trevision=41\n";

std::string Batch(double at, const std::string& events) {
  std::ostringstream out;
  out << "ROUND\tclockMs=" << at << "\tturn=" << at << "\n" << events << "OVER_TO_YOU\n";
  return out.str();
}

struct RunResult {
  int status;
  std::string out, errors;
};

RunResult RunHost(const std::string& input) {
  std::istringstream in(input);
  std::ostringstream out, errors;
  SimHost host;
  const int status = host.Run(in, out, errors);
  return {status, out.str(), errors.str()};
}

std::string StartBatch() { return Batch(100, std::string(kSpawn) + "\n" + kHosts); }
std::string RequestMessage(int id) {
  return "WORK_ITEM\tproxy=proxy-3\tcorr=" + std::to_string(id) + "\tnotAfterMs=700\ttype=0\towner=0\n";
}

TEST(Wire, SettingsAreReadAndUnknownKeysSkipped) {
  const Settings s = wire::ReadSettings(wire::Line(kSpawn));
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_EQ(s.classes[0].aim_ms, 250);
  EXPECT_EQ(s.classes[1].effect, Effect::kKeyed);
  EXPECT_EQ(s.classes[1].group, RepeatGroup::kCell);
  EXPECT_EQ(s.classes[1].repeat_window_ms, 12000);
  EXPECT_EQ(s.classes[1].worth, 1);
  EXPECT_EQ(s.own_zone, 1);
  EXPECT_EQ(s.max_attempts, 3);
  EXPECT_TRUE(s.must_subscribe && s.may_cancel && s.may_probe && s.weights_known && s.worth_by_work);
  EXPECT_FALSE(s.may_duplicate);
  EXPECT_EQ(s.reporting, Reporting::kAnswers);
  EXPECT_EQ(s.cold_from, 0.31);
}

TEST(Wire, EventsAreRead) {
  const wire::AttemptOutcome ended =
      wire::ReadOutcome(wire::Line("RESPONSE\tproxy=p\tcorr=12\tterminal=1\toutcome=no_connection\ttookMs=18."
                                   "5\tseqNo=2\treport=waiting:3,active:7,cpu:0.5"));
  EXPECT_EQ(ended.id, 12u);
  EXPECT_EQ(ended.attempt, 2);
  EXPECT_EQ(ended.outcome, Outcome::kConnectFailed);
  EXPECT_TRUE(ended.request_over);
  ASSERT_TRUE(ended.report);
  EXPECT_EQ(ended.report->queue, 3);
  EXPECT_EQ(ended.report->in_flight, 7);
  const wire::ProbeResult probed =
      wire::ReadProbeResult(wire::Line("PROBE_RESULT\tproxy=p\thost=h:1\toutcome=no_answer\ttookMs=9"));
  EXPECT_FALSE(probed.answered || probed.report);
  const Request request =
      wire::ReadRequest(wire::Line("WORK_ITEM\tproxy=p\tcorr=4503599627370495\tresent=1\tworkHintMs=12."
                                   "5\tnotAfterMs=8652.25\ttype=1\towner=4"));
  EXPECT_EQ(request.id, 4503599627370495u);
  EXPECT_EQ(request.work_hint_ms, 12.5);
  const HostEntry host = wire::ReadHostEntry(
      wire::Line("ROW\thost=h:1\tarea=2\tfamilyType=1\tcluster=9\tstate=quiescing\tweight=1.5"));
  EXPECT_EQ(host.zone, 2);
  EXPECT_EQ(host.cell, 9);
  EXPECT_EQ(host.state, HostState::kDraining);
  EXPECT_EQ(host.started_ms, 0);
}

TEST(Wire, ActionsAreWritten) {
  std::string reply;
  wire::ReplyWriter writer("proxy-9", &reply);
  writer.Send(7, "h:1", 8492.25, 9000);
  writer.Cancel(7, 1);
  writer.Refuse(7, 0);
  writer.Refuse(7, 250);
  writer.Fail(7);
  writer.Probe("h:1");
  writer.Subscribe();
  writer.SetTimer(390089774.02, 77);
  writer.Log("two servers");
  EXPECT_EQ(reply,
            "PLACE\tproxy=proxy-9\tcorr=7\tuntilMs=8492.250\thost=h:1\n"
            "ABANDON\tproxy=proxy-9\tcorr=7\tseqNo=1\n"
            "REFUSE\tproxy=proxy-9\tcorr=7\n"
            "REFUSE\tproxy=proxy-9\tcorr=7\tnotBeforeForMs=250.000\n"
            "SURRENDER\tproxy=proxy-9\tcorr=7\n"
            "INSPECT\tproxy=proxy-9\thost=h:1\n"
            "LISTEN\tproxy=proxy-9\tactive=1\n"
            "DEFER\tproxy=proxy-9\talarmTimeMs=390089774.020\tctx=77\n"
            "JOURNAL_LINE\tproxy=proxy-9\ttext=two servers\n");
}

TEST(SimHostRun, AnswersEachBatchAndEndsCleanly) {
  const RunResult ran = RunHost(StartBatch() + Batch(105, RequestMessage(5)) + Batch(110, ""));
  EXPECT_EQ(ran.status, 0) << ran.errors;
  EXPECT_NE(ran.out.find("LISTEN\tproxy=proxy-3\tactive=1\n"), std::string::npos);
  EXPECT_NE(ran.out.find("END\tturn=100\n"), std::string::npos);
  EXPECT_NE(ran.out.find("PLACE\tproxy=proxy-3\tcorr=5\t"), std::string::npos);
  EXPECT_EQ(ran.out.substr(ran.out.size() - 13), "END\tturn=110\n");
}

TEST(SimHostRun, UnknownMessagesAndFieldsAreSkipped) {
  const RunResult ran =
      RunHost(StartBatch() + Batch(105, "NEWS\tproxy=proxy-3\tanything\n" + RequestMessage(5) +
                                            "INBOX\tproxy=proxy-3\toriginPeer=1\tcontent=aGk=\n"));
  EXPECT_EQ(ran.status, 0) << ran.errors;
  EXPECT_NE(ran.out.find("PLACE"), std::string::npos);
}

TEST(SimHostRun, AnEventForAnInstanceThatIsNotAliveIsLoggedAndSkipped) {
  const RunResult ran = RunHost(StartBatch() + Batch(105, "POWER_OFF\tproxy=proxy-3\n" + RequestMessage(5)));
  EXPECT_EQ(ran.status, 0);
  EXPECT_NE(ran.errors.find("proxy-3, which is not alive"), std::string::npos);
  EXPECT_EQ(ran.out.find("PLACE"), std::string::npos);
}

TEST(SimHostRun, AnExceptionInABalancerIsReportedForItsInstance) {
  const RunResult classless = RunHost(Batch(
      100, "SPAWN\tproxy=proxy-1\trandomSeed=1\tservices.count=0\tbounds.sendCap=1\tfeedback.via=none\n"));
  EXPECT_EQ(classless.status, 0);
  EXPECT_NE(classless.out.find("BROKEN\tproxy=proxy-1\ttext=settings without classes\n"), std::string::npos);
  const RunResult unknown = RunHost(
      StartBatch() + Batch(105, "PROBE_RESULT\tproxy=proxy-3\thost=nowhere\toutcome=served\ttookMs=1\n"));
  EXPECT_NE(unknown.out.find("BROKEN\tproxy=proxy-3\ttext=a host that no list has named\n"),
            std::string::npos);
}

TEST(SimHostRun, MalformedInputEndsWithItsLineAndReason) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"ROUND\tclockMs=1\tturn=1\n\tproxy=x\nOVER_TO_YOU\n", "line 2: a line without a message name"},
      {"ROUND\tclockMs=one\tturn=1\n", "line 1: clockMs is no number: 'one'"},
      {"ROUND\tclockMs=nan\tturn=1\n", "line 1: clockMs is no number: 'nan'"},
      {"ROUND\tturn=1\n", "line 1: no clockMs"},
      {"ROUND\tclockMs=1\tturn=1\nRING\tproxy=p\tctx\n", "line 2: a part without a name and a value: 'ctx'"},
      {"ROUND\tclockMs=1\tturn=1\n", "line 1: the input ends within a batch"},
      {"ROUND\tclockMs=1\tturn=1\nOVER_TO_YOU", "line 2: the input ends within a line"},
      {"RING\tproxy=p\tctx=1\n", "line 1: outside a batch: RING"},
      {"ROUND\tclockMs=1\tturn=1\nROUND\tclockMs=1\tturn=1\n", "line 2: a batch opens within a batch"},
      {"ROUND\tclockMs=1\tturn=1\nROW\thost=h\tstate=live\n", "line 2: a row that belongs to no list"},
      {"ROUND\tclockMs=1\tturn=1\nINVENTORY\tsheet=0\trows=1\nOVER_TO_YOU\n",
       "line 3: a list is short of rows"},
      {"ROUND\tclockMs=1\tturn=1\nINVENTORY\tsheet=16\trows=1\n", "line 2: list number 16 is too large"},
      {StartBatch() + Batch(105, "SYNC\tproxy=proxy-3\tkind=all\tsheet=9\n"),
       "line 9: list number 9 was never sent"},
      {StartBatch() + Batch(105, "RESPONSE\tproxy=proxy-3\tcorr=1\tseqNo=0\toutcome=lost\n"),
       "line 9: unknown outcome 'lost'"},
      {StartBatch() + Batch(105, "WORK_ITEM\tproxy=proxy-3\tcorr=-4\ttype=0\tnotAfterMs=9\n"),
       "line 9: corr is no whole number: '-4'"},
  };
  for (const auto& [input, message] : cases) {
    const RunResult ran = RunHost(input);
    EXPECT_EQ(ran.status, 1) << message;
    EXPECT_EQ(ran.errors, message + "\n");
  }
}

TEST(SimHostRun, InstancesDoNotAffectEachOther) {
  std::string other_spawn = kSpawn;
  other_spawn.replace(other_spawn.find("proxy-3"), 7, "proxy-4");
  std::string alone = StartBatch(),
              together = Batch(100, std::string(kSpawn) + "\n" + kHosts + other_spawn +
                                        "\nSYNC\tproxy=proxy-4\tkind=remembered\tsheet=2\n");
  for (int i = 1; i < 40; ++i) {
    std::string other = RequestMessage(1000 + i);
    other.replace(other.find("proxy-3"), 7, "proxy-4");
    alone += Batch(100 + i, RequestMessage(i));
    together += Batch(100 + i, other + RequestMessage(i));
  }
  const auto lines_of_3 = [](const std::string& text) {
    std::istringstream in(text);
    std::string line, kept;
    while (std::getline(in, line)) {
      if (line.find("proxy=proxy-3\t") != std::string::npos) kept += line + "\n";
    }
    return kept;
  };
  EXPECT_EQ(lines_of_3(RunHost(alone).out), lines_of_3(RunHost(together).out));
  EXPECT_GT(lines_of_3(RunHost(alone).out).size(), 1000u);
}

TEST(SimHostRun, MutatedBatchesEndInAMessageOrACleanExit) {
  std::string valid = StartBatch();
  for (int i = 1; i < 12; ++i) {
    valid += Batch(100 + 5 * i, RequestMessage(i) + "RESPONSE\tproxy=proxy-3\tcorr=" + std::to_string(i) +
                                    "\toutcome=served\tterminal=1\tseqNo=0\ttookMs=4\treport=active:2\n");
  }
  std::mt19937 draw(20260);
  int failed = 0, clean = 0;
  for (int round = 0; round < 4000; ++round) {
    std::string text = valid;
    for (int edits = 1 + static_cast<int>(draw() % 4); edits > 0; --edits) {
      const std::size_t at = draw() % text.size();
      switch (draw() % 4) {
        case 0:
          text[at] = static_cast<char>(draw() % 256);
          break;
        case 1:
          text.erase(at, 1 + draw() % 30);
          break;
        case 2:
          text.insert(at, text.substr(draw() % text.size(), draw() % 40));
          break;
        default:
          text.resize(at + 1);
      }
      if (text.empty()) text = "x";
    }
    const RunResult ran = RunHost(text);
    ASSERT_TRUE(ran.status == 0 || (ran.status == 1 && ran.errors.find("line ") != std::string::npos));
    (ran.status == 0 ? clean : failed)++;
  }
  EXPECT_GT(failed, 500);
  EXPECT_GT(clean, 100);
}

}  // namespace
}  // namespace cartspring
