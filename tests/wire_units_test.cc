// Unit tests of src/wire.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "damage.h"
#include "result_matchers.h"
#include "wire/messages.h"
#include "wire/pack.h"

namespace troutlink::wire {
namespace {

using testing::AllOf;
using testing::ElementsAre;
using testing::Eq;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;
using testing::Optional;

JobSpec Spec() {
  JobSpec spec;
  spec.id = "job-1";
  spec.job_class = "c";
  spec.team = "t";
  spec.tasks = 3;
  spec.task_resources = {8000, 0, 1000};
  spec.image = "i";
  spec.image_gb = 2;
  return spec;
}

Json Submission() { return *Unpack(EncodeSubmission(Spec())); }

// The valid submission with `key` set to `value`.
Json SubmissionWith(const char* key, const Json& value) {
  Json map = Submission();
  map[key] = value;
  return map;
}

SpecResult Decoded(const Json& map) { return DecodeSubmission(Pack(map)); }

auto BadField(const std::string& text) { return HoldsError(SubmissionFault::kBadField, Eq(text)); }

TEST(Submissions, RoundTrip) {
  JobSpec spec = Spec();
  spec.kind = JobKind::kGang;
  spec.priority = Priority::kProduction;
  spec.types = {"small", "large"};
  spec.zone = "z1";
  spec.deadline = 5 * kSecond;
  spec.dependencies = {"job-2", "job-3"};
  spec.spot = true;
  const SpecResult decoded = DecodeSubmission(EncodeSubmission(spec));
  ASSERT_THAT(decoded, HoldsValue());
  EXPECT_THAT(*decoded,
              AllOf(Field(&JobSpec::id, "job-1"), Field(&JobSpec::kind, JobKind::kGang),
                    Field(&JobSpec::priority, Priority::kProduction), Field(&JobSpec::tasks, 3),
                    Field(&JobSpec::task_resources, spec.task_resources),
                    Field(&JobSpec::types, ElementsAre("small", "large")),
                    Field(&JobSpec::zone, "z1"), Field(&JobSpec::deadline, 5 * kSecond),
                    Field(&JobSpec::dependencies, ElementsAre("job-2", "job-3")),
                    Field(&JobSpec::spot, true), Field(&JobSpec::spread, false)));
}

TEST(Submissions, KeepTheirNamesOnTheWire) {
  const Json map = Submission();
  EXPECT_EQ(map["form"], "array");
  EXPECT_EQ(map["rank"], "standard");
  EXPECT_EQ(map["pieces"], 3);
  EXPECT_EQ(map["cpus"], 8.0);
  for (const char* form : {"array", "service", "gang"}) {
    EXPECT_EQ(EncodeSpec(*Decoded(SubmissionWith("form", form)))["form"], form);
  }
  for (const char* rank : {"low", "standard", "urgent", "critical"}) {
    EXPECT_EQ(EncodeSpec(*Decoded(SubmissionWith("rank", rank)))["rank"], rank);
  }
}

TEST(Submissions, RefuseAMissingField) {
  const Json good = Submission();
  for (const auto& [key, value] : good.items()) {
    Json map = good;
    map.erase(key);
    EXPECT_THAT(Decoded(map), HoldsError(SubmissionFault::kBadField, HasSubstr(key))) << key;
  }
}

TEST(Submissions, RefuseAFieldOfTheWrongType) {
  const Json good = Submission();
  for (const auto& [key, value] : good.items()) {
    EXPECT_THAT(Decoded(SubmissionWith(key.c_str(), Json::array({1}))),
                HoldsError(SubmissionFault::kBadField, HasSubstr(key)))
        << key;
  }
}

TEST(Submissions, NameTheRangeOfAFieldOutOfRange) {
  for (const Json& tasks : {Json(0), Json(100001), Json(-1), Json(1.5)}) {
    EXPECT_THAT(Decoded(SubmissionWith("pieces", tasks)),
                BadField("pieces must be an integer from 1 to 100000"))
        << tasks;
  }
  for (const double cpus : {std::nan(""), -1.0, 1e6 + 1}) {
    EXPECT_THAT(Decoded(SubmissionWith("cpus", cpus)),
                BadField("cpus must be a number from 0 to 1000000.000000"));
  }
  EXPECT_THAT(Decoded(SubmissionWith("due_s", -1)),
              BadField("due_s must be a number from 0 to 100000000.000000"));
  for (const std::string& text : {std::string(), std::string(201, 'x')}) {
    EXPECT_THAT(Decoded(SubmissionWith("owner", text)),
                BadField("owner must be a text of 1 to 200 bytes"));
    EXPECT_THAT(Decoded(SubmissionWith("room", text)),
                BadField("room must be a text of 1 to 200 bytes"));
  }
  EXPECT_THAT(Decoded(SubmissionWith("spread", 1)), BadField("spread must be a boolean"));
}

TEST(Submissions, NameTheKnownValuesOfAnEnum) {
  EXPECT_THAT(Decoded(SubmissionWith("form", "batch")),
              BadField("form must be array, gang or service"));
  EXPECT_THAT(Decoded(SubmissionWith("rank", "top")),
              BadField("rank must be critical, urgent, standard or low"));
  EXPECT_THAT(Decoded(SubmissionWith("name_id", "task-1")),
              BadField("name_id must be job- and up to 32 digits"));
}

TEST(Submissions, ReportTheFirstOfSeveralErrors) {
  Json map = SubmissionWith("form", "batch");
  map["pieces"] = 0;
  map["spread"] = 1;
  EXPECT_THAT(Decoded(map), BadField("spread must be a boolean"));
  map["spread"] = true;
  EXPECT_THAT(Decoded(map), BadField("form must be array, gang or service"));
}

TEST(Submissions, AcceptListsOfStringsOrNull) {
  for (const char* key : {"builds", "awaits"}) {
    const std::string text = std::string(key) + " must be a list of texts or null";
    EXPECT_THAT(Decoded(SubmissionWith(key, nullptr)), HoldsValue());
    EXPECT_THAT(Decoded(SubmissionWith(key, "x")), BadField(text));
    EXPECT_THAT(Decoded(SubmissionWith(key, Json::array({"x", 1}))), BadField(text));
    EXPECT_THAT(Decoded(SubmissionWith(key, Json::array({std::string(201, 'x')}))), BadField(text));
  }
  EXPECT_THAT(Decoded(SubmissionWith("builds", Json(std::vector<std::string>(65, "x")))),
              BadField("builds must be a list of texts or null"));
}

TEST(Submissions, EmptyMachineTypeListDiffersFromNull) {
  EXPECT_THAT(Decoded(SubmissionWith("builds", nullptr))->types, IsEmpty());
  EXPECT_THAT(Decoded(SubmissionWith("builds", Json::array()))->types, ElementsAre(""));
}

TEST(Submissions, RemoveDuplicateDependencies) {
  EXPECT_THAT(Decoded(SubmissionWith("awaits", {"job-3", "job-2", "job-3"}))->dependencies,
              ElementsAre("job-2", "job-3"));
}

TEST(Submissions, DeadlineOfZeroIsADeadline) {
  EXPECT_EQ(Decoded(SubmissionWith("due_s", 0))->deadline, 1);
}

TEST(Submissions, RoundAmountsUpToThousandths) {
  EXPECT_EQ(Decoded(SubmissionWith("cpus", 0.0011))->task_resources.cpus, 2);
  EXPECT_EQ(Decoded(SubmissionWith("cpus", 0.3))->task_resources.cpus, 300);
}

TEST(Submissions, IgnoreUnknownFields) {
  EXPECT_THAT(Decoded(SubmissionWith("surprise", 1)), HoldsValue());
}

TEST(Submissions, RefuseABodyThatIsNotAMapWithStringKeys) {
  const std::string packed = Pack(Submission());
  const std::vector<std::string> bodies = {
      packed + "x",                                     // trailing bytes
      Pack(Json(3)),                                    // not a map
      std::string("\x82\xa1") + "a\x01\xa1" + "a\x02",  // a repeated key
      std::string("\x81\x01\x02"),                      // a key that is not a string
      Pack(SubmissionWith("extra", Json::binary({1, 2}))),
      "",
  };
  for (const std::string& body : bodies) {
    EXPECT_THAT(
        DecodeSubmission(body),
        HoldsError(SubmissionFault::kNotAMap, Eq("body must be one MessagePack map keyed by text")))
        << testing::PrintToString(body);
  }
}

TEST(Submissions, DoNotCrashTheDecoderWhenDamaged) {
  ASSERT_THAT(DecodeSubmission(EncodeSubmission(Spec())), HoldsValue());
  Damage(EncodeSubmission(Spec()),
         [](const std::string& damaged) { (void)DecodeSubmission(damaged); });
}

TEST(JobAnswers, RoundTrip) {
  const JobStatus status{"job-1", JobPhase::kCancelled, 3, 4};
  EXPECT_THAT(
      DecodeJobStatus(EncodeJobStatus(status)),
      Optional(AllOf(Field(&JobStatus::id, "job-1"), Field(&JobStatus::state, JobPhase::kCancelled),
                     Field(&JobStatus::done, 3), Field(&JobStatus::running, 4))));
  EXPECT_THAT(DecodeJobStatus(EncodeJobState("job-1", JobPhase::kQueued)),
              Optional(AllOf(Field(&JobStatus::state, JobPhase::kQueued),
                             Field(&JobStatus::done, 0), Field(&JobStatus::running, 0))));
}

TEST(JobAnswers, RefuseAMissingIdOrAnUnknownState) {
  EXPECT_THAT(DecodeJobStatus(Pack({{"status", "done"}})), Eq(std::nullopt));
  EXPECT_THAT(DecodeJobStatus(Pack({{"name_id", "job-1"}, {"status", "lost"}})), Eq(std::nullopt));
  EXPECT_THAT(DecodeJobStatus(Pack(Json::array())), Eq(std::nullopt));
  EXPECT_THAT(DecodeJobStatus("\xc1"), Eq(std::nullopt));
}

TEST(JobAnswers, RefusalContainsTheReason) {
  EXPECT_EQ(*Unpack(EncodeError("no such job")), Json({{"error", "no such job"}}));
}

TEST(JobPaths, ParseAJobOrItsAbort) {
  EXPECT_THAT(ParseJobPath("/api/jobs/job-1"),
              Optional(AllOf(Field(&JobPath::id, "job-1"), Field(&JobPath::abort, false))));
  EXPECT_THAT(ParseJobPath("/api/jobs/job-1/abort"),
              Optional(AllOf(Field(&JobPath::id, "job-1"), Field(&JobPath::abort, true))));
}

TEST(JobPaths, RefuseOtherPaths) {
  for (const char* target : {"", "/api/jobs", "/api/jobsx/1", "/api/job/1", "/api/jobs/1/stop",
                             "/api/jobs/1/abort/", "/api/jobs/1/"}) {
    EXPECT_THAT(ParseJobPath(target), Eq(std::nullopt)) << target;
  }
}

AgentHeartbeat FullReport() {
  AgentHeartbeat report;
  report.machine = "n-1";
  report.addr = "10.0.0.9:1";
  report.type = "small";
  report.zone = "z1";
  report.spot = true;
  report.incarnation = 1;
  report.seq = 2;
  report.token = 3;
  report.notice = 30 * kSecond;
  report.tasks.push_back({"job-1", 2, 3, TaskState::kExited, ExitReason::kDone, true});
  return report;
}

Json ReportDocument() { return *Unpack(EncodeAgentHeartbeat(FullReport())); }

// The valid heartbeat with `key` of its task set to `value`.
std::string ReportWithTask(const char* key, const Json& value) {
  Json map = ReportDocument();
  map["pieces"][0][key] = value;
  return Pack(map);
}

TEST(Reports, RoundTrip) {
  const std::optional<AgentHeartbeat> report =
      DecodeAgentHeartbeat(EncodeAgentHeartbeat(FullReport()));
  EXPECT_THAT(
      report,
      Optional(AllOf(
          Field(&AgentHeartbeat::machine, "n-1"), Field(&AgentHeartbeat::addr, "10.0.0.9:1"),
          Field(&AgentHeartbeat::type, "small"), Field(&AgentHeartbeat::zone, "z1"),
          Field(&AgentHeartbeat::spot, true), Field(&AgentHeartbeat::incarnation, 1U),
          Field(&AgentHeartbeat::seq, 2U), Field(&AgentHeartbeat::token, 3U),
          Field(&AgentHeartbeat::notice, Optional(30 * kSecond)),
          Field(
              &AgentHeartbeat::tasks,
              ElementsAre(AllOf(
                  Field(&TaskStatus::job, "job-1"), Field(&TaskStatus::task, 2),
                  Field(&TaskStatus::attempt, 3U), Field(&TaskStatus::state, TaskState::kExited),
                  Field(&TaskStatus::why, ExitReason::kDone), Field(&TaskStatus::saved, true)))))));
}

TEST(Reports, DecodeAllStates) {
  const auto state = [](const char* word) {
    return DecodeAgentHeartbeat(ReportWithTask("status", word))->tasks[0].state;
  };
  EXPECT_EQ(state("pulling"), TaskState::kFetching);
  EXPECT_EQ(state("gathering"), TaskState::kFetching);
  EXPECT_EQ(state("running"), TaskState::kRunning);
  EXPECT_EQ(state("flushing"), TaskState::kSaving);
  EXPECT_EQ(state("ended"), TaskState::kExited);
}

TEST(Reports, DecodeAllExitReasons) {
  const auto reason = [](const char* word) {
    return DecodeAgentHeartbeat(ReportWithTask("cause", word))->tasks[0].why;
  };
  EXPECT_EQ(reason("done"), ExitReason::kDone);
  EXPECT_EQ(reason("halted"), ExitReason::kStopped);
  EXPECT_EQ(reason("error"), ExitReason::kError);
  EXPECT_EQ(reason("no_room"), ExitReason::kNoRoom);
  EXPECT_EQ(reason("in_use"), ExitReason::kBusy);
  EXPECT_EQ(reason("no_such"), ExitReason::kUnknown);
  EXPECT_EQ(reason("mates_gone"), ExitReason::kPeers);
  EXPECT_EQ(reason("alone"), ExitReason::kPeers);
  EXPECT_EQ(reason("a new one"), ExitReason::kError);
}

TEST(Reports, AcceptTheAlternativeNameOfTheReason) {
  Json map = ReportDocument();
  map["pieces"][0].erase("cause");
  EXPECT_EQ(DecodeAgentHeartbeat(Pack(map))->tasks[0].why, ExitReason::kError);
  map["pieces"][0]["why"] = "halted";
  EXPECT_EQ(DecodeAgentHeartbeat(Pack(map))->tasks[0].why, ExitReason::kStopped);
}

TEST(Reports, RefusePartlyReadableDocuments) {
  EXPECT_THAT(DecodeAgentHeartbeat(ReportWithTask("status", "dreaming")), Eq(std::nullopt));
  EXPECT_THAT(DecodeAgentHeartbeat(ReportWithTask("try", -1)), Eq(std::nullopt));
  for (const char* name :
       {"job-1", "job-1/", "job-1/x", "job-1/-1", "job-1/1x", "job-1/ 1", "job-1/99999999999"}) {
    EXPECT_THAT(DecodeAgentHeartbeat(ReportWithTask("piece", name)), Eq(std::nullopt)) << name;
  }
  for (const char* key : {"host", "shift", "tally"}) {
    Json map = ReportDocument();
    map.erase(key);
    EXPECT_THAT(DecodeAgentHeartbeat(Pack(map)), Eq(std::nullopt)) << key;
  }
  Json map = ReportDocument();
  map["pieces"] = 1;
  EXPECT_THAT(DecodeAgentHeartbeat(Pack(map)), Eq(std::nullopt));
  EXPECT_THAT(DecodeAgentHeartbeat(Pack(Json::array())), Eq(std::nullopt));
}

TEST(Reports, AcceptMissingTasks) {
  Json map = ReportDocument();
  map.erase("pieces");
  EXPECT_THAT(DecodeAgentHeartbeat(Pack(map)), Optional(Field(&AgentHeartbeat::tasks, IsEmpty())));
}

TEST(Reports, DoNotCrashTheDecoderWhenDamaged) {
  AgentHeartbeat report;
  report.machine = "n-1";
  report.incarnation = report.seq = 1;
  report.tasks.push_back({"job-1", 2, 3, TaskState::kExited, ExitReason::kDone, true});
  for (const AgentHeartbeat& good : {report, FullReport()}) {
    Damage(EncodeAgentHeartbeat(good),
           [](const std::string& damaged) { (void)DecodeAgentHeartbeat(damaged); });
  }
}

std::vector<Command> AllCommands() {
  return {{Command::Op::kStart, "job-1", 2, 3, 0},
          {Command::Op::kStop, "job-1", 3, 4, 5 * kSecond},
          {Command::Op::kForget, "job-1", 4, 5, 0}};
}

Json AllOrders() {
  return Json::array({{{"verb", "start"}, {"piece", "job-1/2"}, {"try", 3}},
                      {{"verb", "stop"}, {"piece", "job-1/3"}, {"try", 4}, {"wind_down_s", 5.0}},
                      {{"verb", "reap"}, {"piece", "job-1/4"}, {"try", 5}}});
}

TEST(Commands, KeepTheirNamesOnTheWire) {
  EXPECT_EQ(*Unpack(EncodeHeartbeatReply(7, AllCommands())),
            Json({{"baton", 7}, {"orders", AllOrders()}}));
  EXPECT_EQ(*Unpack(EncodeCommands(7, 8, AllCommands())),
            Json({{"baton", 7}, {"shift", 8}, {"orders", AllOrders()}}));
}

TEST(Commands, RedirectAnAgentToAnotherController) {
  EXPECT_EQ(*Unpack(EncodeRedirect("node-2")), Json({{"foreman", "node-2"}}));
  EXPECT_EQ(*Unpack(EncodeRedirect("")), Json::object());
}

TEST(Cloud, PathsAreStable) {
  EXPECT_EQ(MachineTypesTarget(), "/flavors");
  EXPECT_EQ(RentTarget(), "/rentals");
  EXPECT_EQ(ReturnTarget(), "/rentals/return");
  EXPECT_EQ(MachinesTarget("", 10), "/rentals?limit=10");
  EXPECT_EQ(MachinesTarget("n-1", 10), "/rentals?limit=10&from=n-1");
}

TEST(Cloud, MachineTypesWithoutANameAreDropped) {
  const Json type = {{"sku", "small"},  {"cpus", 4},
                     {"cards", 0.5},    {"memory_gb", 16},
                     {"local_gb", 100}, {"fetch_gb_per_s", 0.2},
                     {"price", 1.5},    {"spot_price", 0.5},
                     {"ready_s", 45},   {"rooms", {"z1", 2, "z2"}}};
  const auto types =
      DecodeMachineTypes(Pack({{"builds", {type, {{"cpus", 1}}, {{"sku", "bare"}}}}}));
  ASSERT_THAT(types, Optional(testing::SizeIs(2)));
  EXPECT_THAT(types->at(0),
              AllOf(Field(&MachineType::name, "small"),
                    Field(&MachineType::size, Resources{4000, 500, 16000}),
                    Field(&MachineType::cache_gb, 100), Field(&MachineType::fetch_gb_per_s, 0.2),
                    Field(&MachineType::price, 1.5), Field(&MachineType::spot_price, 0.5),
                    Field(&MachineType::boot, 45 * kSecond),
                    Field(&MachineType::zones, ElementsAre("z1", "z2"))));
  EXPECT_THAT(types->at(1),
              AllOf(Field(&MachineType::name, "bare"), Field(&MachineType::boot, 60 * kSecond)));
}

TEST(Cloud, MachinesWithoutANameAreDropped) {
  const Json machine = {{"name_id", "n-1"}, {"address", "10.0.0.9:1"}, {"build", "small"},
                        {"room", "z1"},     {"loaners", true},         {"status", "booting"},
                        {"age_s", 2.5}};
  const auto page = DecodeMachines(Pack({{"truncated", true},
                                         {"hosts",
                                          {machine,
                                           Json::object(),
                                           {{"name_id", "n-2"}, {"status", "failed"}},
                                           {{"name_id", "n-3"}}}}}));
  using State = ListedMachine::State;
  ASSERT_THAT(page, Optional(Field(&MachinePage::more, true)));
  EXPECT_THAT(
      page->machines,
      ElementsAre(
          AllOf(Field(&ListedMachine::name, "n-1"), Field(&ListedMachine::addr, "10.0.0.9:1"),
                Field(&ListedMachine::type, "small"), Field(&ListedMachine::zone, "z1"),
                Field(&ListedMachine::spot, true), Field(&ListedMachine::state, State::kBooting),
                Field(&ListedMachine::age, 2500 * kMillisecond)),
          AllOf(Field(&ListedMachine::name, "n-2"), Field(&ListedMachine::state, State::kFailed)),
          AllOf(Field(&ListedMachine::name, "n-3"),
                Field(&ListedMachine::state, State::kRunning))));
}

TEST(Cloud, RequestsKeepTheirNamesOnTheWire) {
  EXPECT_EQ(
      *Unpack(EncodeRent({"r-1", "small", "z1", true, 3})),
      Json(
          {{"hire", "r-1"}, {"build", "small"}, {"room", "z1"}, {"loaners", true}, {"number", 3}}));
  EXPECT_EQ(*Unpack(EncodeReturn({"n-1", "n-2"})), Json({{"hosts", {"n-1", "n-2"}}}));
}

TEST(Cloud, RentedMachineNamesMustBeStrings) {
  EXPECT_THAT(DecodeRented(Pack({{"hosts", {"n-1", "n-2"}}})), Optional(ElementsAre("n-1", "n-2")));
  EXPECT_THAT(DecodeRented(Pack({{"hosts", {"n-1", 2}}})), Eq(std::nullopt));
}

TEST(Cloud, DocumentsWithoutTheirListAreMalformed) {
  for (const std::string& body : {Pack(Json::object()), Pack({{"hosts", 1}, {"builds", 1}}),
                                  Pack(Json::array()), std::string("\xc1")}) {
    EXPECT_THAT(DecodeMachineTypes(body), Eq(std::nullopt));
    EXPECT_THAT(DecodeRented(body), Eq(std::nullopt));
    EXPECT_THAT(DecodeMachines(body).has_value(), Eq(false));
  }
}

TEST(StateService, PathsAreStable) {
  EXPECT_EQ(ListTarget("a/", "", 5), "/store?under=a/&limit=5");
  EXPECT_EQ(ListTarget("a/", "a/b", 5), "/store?under=a/&limit=5&from=a/b");
  EXPECT_EQ(WatchTarget("a/", 9, 1500 * kMillisecond), "/follow?under=a/&from=9&hold_ms=1500");
  EXPECT_EQ(CommitTarget(), "/commit");
  EXPECT_EQ(GrantTarget(), "/grants");
  EXPECT_EQ(RenewTarget(4), "/grants/4/renew");
}

TEST(StateService, DecodesAPageWithItsRevision) {
  const Json item = {{"key", "a/b"}, {"stamp", 3}, {"v", nullptr}};
  const auto page = DecodeList(Pack({{"ledger", 9}, {"truncated", true}, {"items", {item}}}));
  ASSERT_THAT(page,
              Optional(AllOf(Field(&StatePage::revision, 9U), Field(&StatePage::more, true))));
  EXPECT_THAT(page->items, ElementsAre(AllOf(Field(&StateItem::key, "a/b"),
                                             Field(&StateItem::value, Pack(nullptr)),
                                             Field(&StateItem::version, 3U))));
}

TEST(StateService, RefusesAPartlyReadablePage) {
  const Json good = {{"key", "a/b"}, {"stamp", 3}, {"v", 1}};
  for (const char* key : {"key", "stamp", "v"}) {
    Json item = good;
    item.erase(key);
    EXPECT_FALSE(DecodeList(Pack({{"ledger", 9}, {"items", {good, item}}})).has_value()) << key;
  }
  EXPECT_FALSE(DecodeList(Pack({{"items", {good}}})).has_value());
  EXPECT_FALSE(DecodeList(Pack({{"ledger", 9}})).has_value());
}

TEST(StateService, TransactionKeepsItsNamesOnTheWire) {
  StateTxn txn;
  txn.conditions = {{"a", 1}, {"b", 0}};
  txn.writes = {{"a", Pack("x"), 0, false}, {"b", Pack(2), 7, false}, {"c", "", 0, true}};
  EXPECT_EQ(*Unpack(EncodeTxn(txn)),
            Json({{"if", {{{"key", "a"}, {"stamp", 1}}, {{"key", "b"}, {"stamp", 0}}}},
                  {"writes",
                   {{{"put", "a"}, {"v", "x"}},
                    {{"put", "b"}, {"v", 2}, {"permit", 7}},
                    {{"delete", "c"}}}}}));
}

TEST(StateService, ReplyNamesTheFailedKeys) {
  EXPECT_THAT(DecodeTxnReply(Pack({{"ledger", 9}})),
              Optional(AllOf(Field(&TxnReply::revision, 9U), Field(&TxnReply::failed, IsEmpty()))));
  EXPECT_THAT(DecodeTxnReply(Pack({{"ledger", 9}, {"failed", {"a", 1, "b"}}})),
              Optional(Field(&TxnReply::failed, ElementsAre("a", "b"))));
  EXPECT_FALSE(DecodeTxnReply(Pack({{"failed", {"a"}}})).has_value());
}

TEST(StateService, ChangesArePutsAndDeletes) {
  const auto reply = DecodeWatch(Pack(
      {{"ledger", 9},
       {"events", {{{"put", "a"}, {"v", 1}, {"stamp", 8}}, {{"delete", "b"}, {"stamp", 9}}}}}));
  ASSERT_THAT(reply, Optional(Field(&WatchReply::revision, 9U)));
  EXPECT_THAT(reply->events,
              ElementsAre(AllOf(Field(&StateEvent::key, "a"), Field(&StateEvent::value, Pack(1)),
                                Field(&StateEvent::version, 8U), Field(&StateEvent::erase, false)),
                          AllOf(Field(&StateEvent::key, "b"), Field(&StateEvent::value, IsEmpty()),
                                Field(&StateEvent::version, 9U), Field(&StateEvent::erase, true))));
}

TEST(StateService, RefusesPartlyReadableChanges) {
  const std::vector<Json> bad = {
      {{"put", "a"}, {"v", 1}}, {{"put", "a"}, {"stamp", 8}}, {{"stamp", 8}}, Json(1)};
  for (const Json& event : bad) {
    EXPECT_FALSE(DecodeWatch(Pack({{"ledger", 9}, {"events", Json::array({event})}})).has_value())
        << event;
  }
}

TEST(StateService, LeaseTtlIsSentInMilliseconds) {
  EXPECT_EQ(*Unpack(EncodeGrant(3 * kSecond)), Json({{"life_ms", 3000}}));
  EXPECT_THAT(DecodeGrant(Pack({{"permit", 4}})), Optional(4U));
  EXPECT_THAT(DecodeGrant(Pack(Json::object())), Eq(std::nullopt));
}

TEST(Documents, AllowUpTo16NestingLevels) {
  std::string body = Pack(1);
  for (int depth = 0; depth < 16; ++depth) body.insert(0, 1, '\x91');
  EXPECT_THAT(UnpackStrict(body), Not(Eq(std::nullopt)));
  body.insert(0, 1, '\x91');
  EXPECT_THAT(UnpackStrict(body), Eq(std::nullopt));
}

TEST(Documents, ReturnOnlyFieldsOfTheRightType) {
  const Json map = {{"text", "x"},   {"count", 1},   {"negative", -1},
                    {"number", 0.5}, {"flag", true}, {"null", nullptr}};
  EXPECT_THAT(Text(map, "text"), Optional(Eq("x")));
  EXPECT_THAT(Text(map, "count"), Eq(std::nullopt));
  EXPECT_THAT(Count(map, "count"), Optional(1U));
  EXPECT_THAT(Count(map, "negative"), Eq(std::nullopt));
  EXPECT_THAT(Count(map, "number"), Eq(std::nullopt));
  EXPECT_THAT(Integer(map, "negative"), Optional(-1));
  EXPECT_THAT(Integer(map, "number"), Eq(std::nullopt));
  EXPECT_THAT(Number(map, "number"), Optional(0.5));
  EXPECT_THAT(Number(map, "count"), Optional(1.0));
  EXPECT_THAT(Number(map, "text"), Eq(std::nullopt));
  EXPECT_THAT(Flag(map, "flag"), Optional(true));
  EXPECT_THAT(Flag(map, "count"), Eq(std::nullopt));
  EXPECT_EQ(Find(map, "null"), nullptr);
  EXPECT_EQ(Find(map, "missing"), nullptr);
  EXPECT_EQ(Find(Json::array(), "text"), nullptr);
}

}  // namespace
}  // namespace troutlink::wire
