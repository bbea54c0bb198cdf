// Rolling upgrades: records and messages of version 1, nodes of both versions side by side, and the
// smaller limits of the store afterwards.
#include <gtest/gtest.h>

#include "test_support.h"
#include "world.h"

namespace troutlink::test {
namespace {

// --- output of version 1, recorded from that release ------------------------------------------

constexpr char kOpenJob[] =
    "85a56d6f76657301a47061727402a473706563de0014aa626f6f6b6d61726b5f73ca41f00000a66275696c64"
    "7391a26738a662756e646c65a6696d672d3037a56361726473ca3f800000a463707573ca41000000a6646f63"
    "6b6574a5747261696ea56475655f73ca44610000a86578706563745f73ca43700000a4666f726da561727261"
    "79a76c6f616e657273c3a96d656d6f72795f6762ca42800000a76e616d655f6964aa6a6f622d303030343132"
    "a56f776e6572a6766973696f6ea670696563657310a472616e6ba6757267656e74a4726f6f6da161a773697a"
    "655f6762cb4018cccccccccccda6737072656164c2a773746173685f73ca40800000a8746f676574686572c3"
    "a5737461746500a97375626d6974746564cf00060a2418202240";
constexpr char kDoneJob[] =
    "83a3656e6499aa6a6f622d3030303431321000a6766973696f6ecd1f40cd03e8cdfa00ce003d0900ce01c9c3"
    "80a47061727402a5737461746501";
constexpr char kCancelledJob[] =
    "83a3656e6499aa6a6f622d3030303431321000a6766973696f6ecd1f40cd03e8cdfa00ce003d0900ce01c9c3"
    "80a47061727402a5737461746502";
constexpr char kLeadership[] = "82a4626f6f744da56f776e6572a8776f726b65722d31";
constexpr char kHeader[] =
    "86a568656c707381aa6a6f622d303030343132ca3e800000a568697265739196ae74726f75746c696e6b2d32"
    "2d3137a26738a161c30caa6a6f622d303030343132a16dd93043436738426143496e2d3030303233324e3130"
    "2e312e302e323a3930303041424341496e2d3030303233334141424241a16e02a46e65787429a67368617265"
    "7381a6766973696f6e92cd0fa000";
constexpr char kSecondChunk[] =
    "81a16dd96c43436738426143496e2d3030303233304e31302e312e302e303a39303030414241434730303033"
    "393842444547303030343132424148496e2d3030303233314e31302e312e302e313a39303030414246473030"
    "30343132434730303033393842444547303030343132424248";
constexpr char kProgress[] = "81aa6a6f622d303030343132a6414445424242";
constexpr char kPing[] =
    "420609dc0b01019c0308776f726b65722d31010a6a6f622d30303033393807af03010201086e2d3030303233"
    "310106696d672d303701086e2d303030323332a0cb9801";
constexpr char kPong[] =
    "420709dc0b01019c0308776f726b65722d31010a6a6f622d30303033393807af03010201086e2d3030303233"
    "310106696d672d303701086e2d303030323332a0cb9801";
constexpr char kRelay[] = "07020504626f6479";
constexpr char kForward[] = "170406034745540f2f6170692f6a6f62732f6a6f622d3100";

std::string FromHex(std::string_view hex) {
  std::string bytes;
  for (size_t i = 0; i + 1 < hex.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16)));
  }
  return bytes;
}

TEST(StoredForms, RecordsOfVersion1KeepTheirBytes) {
  for (const char* golden : {kOpenJob, kDoneJob, kCancelledJob}) {
    std::optional<JobRecord> job = DecodeJob(FromHex(golden));
    ASSERT_TRUE(job);
    EXPECT_EQ(job->spec.id, "job-000412");
    EXPECT_EQ(job->shard_id, 2);
    EXPECT_EQ(job->finished, 0);
    EXPECT_EQ(EncodeJob(*job), FromHex(golden));
  }
  std::optional<Leadership> leadership = DecodeLeadership(FromHex(kLeadership));
  ASSERT_TRUE(leadership);
  EXPECT_EQ(leadership->leader, "worker-1");
  EXPECT_EQ(leadership->boot, 77u);
  EXPECT_EQ(EncodeLeadership(*leadership), FromHex(kLeadership));
  AssignmentTable table;
  ASSERT_TRUE(DecodeChunk(FromHex(kHeader), 0, &table));
  ASSERT_TRUE(DecodeChunk(FromHex(kSecondChunk), 1, &table));
  EXPECT_EQ(table.machines.size(), 4u);
  EXPECT_EQ(table.next_number, 41u);
  EXPECT_EQ(table.form, TableForm::kOriginal);
  EXPECT_EQ(EncodeChunk(table, 0), FromHex(kHeader));
  EXPECT_EQ(EncodeChunk(table, 1), FromHex(kSecondChunk));
  std::optional<Progress> progress = DecodeProgress(FromHex(kProgress));
  ASSERT_TRUE(progress);
  EXPECT_EQ(EncodeProgress(*progress), FromHex(kProgress));
}

TEST(StoredForms, MessagesOfVersion1KeepTheirBytes) {
  for (const char* golden : {kPing, kPong, kRelay, kForward}) {
    const std::string frame = FromHex(golden);
    std::string_view content = frame;
    uint64_t length = 0;
    ASSERT_TRUE(mesh::GetVarint(&content, &length));
    std::optional<mesh::Message> message = mesh::Decode(content);
    ASSERT_TRUE(message);
    EXPECT_EQ(mesh::Encode(*message), frame);
  }
}

// New forms have keys that version 1 skips.
TEST(StoredForms, NewFormsHaveTheirOwnKeys) {
  EXPECT_EQ(ParseKey(NodeVersionKey("node-1")).kind, Key::Kind::kNodeVersion);
  EXPECT_EQ(ParseKey(NodeVersionKey("node-1")).id, "node-1");
  const Key chunk = ParseKey(AssignmentKey(2, 7, TableForm::kCompact));
  EXPECT_EQ(chunk.kind, Key::Kind::kAssignments);
  EXPECT_EQ(chunk.form, TableForm::kCompact);
  EXPECT_EQ(chunk.chunk, 7);
  const Key page = ParseKey(ProgressKey(1, 3));
  EXPECT_EQ(page.kind, Key::Kind::kProgress);
  EXPECT_EQ(page.shard_id, 1);
  EXPECT_EQ(page.chunk, 3);
  EXPECT_EQ(ParseKey(ProgressKey(1)).chunk, 0);
  EXPECT_EQ(ParseKey("troutlink/progress/1/x").kind, Key::Kind::kOther);
}

// --- simulated upgrades -------------------------------------------------------------------

// Announces the smallest limits that settings allow.
void AnnounceSmallLimits(Json* facts) {
  (*facts)["state"]["next"] = {{"write_rps", 40.0}, {"value_kb", 2.0}, {"txn_ops", 4}};
}

class Upgrade : public ::testing::Test {
 protected:
  Upgrade() : world_(3, AnnounceSmallLimits) {
    world_.cloud.capacity = 200;
    world_.version_1_nodes = {0, 1, 2};
  }

  // Submits arrays of all sizes and a service until enough tasks are on machines.
  void Fill(int arrays) {
    for (int i = 0; i < arrays; ++i) {
      const std::string id = "job-" + std::to_string(100 + i);
      world_.SetRunTime(id, (20 + i) * kSecond);
      ids_.push_back(id);
      SubmitUntilAccepted(world_, static_cast<size_t>(i % 3), World::Array(id, 10 + i % 7));
    }
    SubmitUntilAccepted(world_, 0, World::Service("job-5", 4));
    EXPECT_TRUE(world_.RunUntil([&] { return world_.CountTasks("job-5") == 4; }, 60 * kSecond));
  }
  // Restarts one node with the new version.
  void UpgradeNode(size_t node) {
    world_.Kill(node);
    world_.Run(3 * kSecond);
    world_.version_1_nodes.erase(node);
    world_.Start(node);
    world_.Run(5 * kSecond);
  }
  bool AllCompact() {
    for (int shard_id = 0; shard_id < 3; ++shard_id) {
      for (size_t node = 0; node < 3; ++node) {
        if (!world_.alive(node)) continue;
        const AssignmentTable& table = world_.core(node).AssignmentsOf(shard_id);
        if (table.form != TableForm::kCompact || table.Migrating()) return false;
      }
    }
    return true;
  }
  size_t OriginalChunksStored() const {
    size_t count = 0;
    for (const auto& [key, item] : world_.state.items) {
      const Key parsed = ParseKey(key);
      if (parsed.kind == Key::Kind::kAssignments && parsed.form == TableForm::kOriginal) ++count;
    }
    return count;
  }
  size_t Machines() {
    size_t count = 0;
    for (int shard_id = 0; shard_id < 3; ++shard_id) {
      count += world_.core(0).AssignmentsOf(shard_id).machines.size();
    }
    return count;
  }
  void ExpectAllDone(Micros most) {
    for (const std::string& id : ids_) EXPECT_TRUE(RunsToCompletion(world_, id, most)) << id;
    EXPECT_EQ(world_.CountTasks("job-5"), 4);
    EXPECT_NO_VIOLATIONS(world_);
  }

  World world_;
  std::vector<std::string> ids_;
};

TEST_F(Upgrade, NewFormsAreNotWrittenBeforeAllNodesAreUpgraded) {
  world_.Run(kStartupTime);
  Fill(6);
  UpgradeNode(0);
  UpgradeNode(1);
  JobSpec waits = World::Array("job-90", 1);
  waits.dependencies = {"job-100"};
  auto answer = world_.Submit(0, waits);
  ASSERT_TRUE(world_.RunUntil([&] { return answer->status != -100; }, 5 * kSecond));
  EXPECT_EQ(answer->status, 503);
  EXPECT_GT(answer->retry_after, 0);
  for (const auto& [key, item] : world_.state.items) {
    const Key parsed = ParseKey(key);
    EXPECT_EQ(parsed.form, TableForm::kOriginal) << key;
    EXPECT_FALSE(parsed.kind == Key::Kind::kProgress && parsed.chunk != 0) << key;
    if (parsed.kind == Key::Kind::kJob) {
      EXPECT_FALSE(item.value.contains("finished")) << key;
    }
  }
  UpgradeNode(2);
  world_.SetRunTime("job-90", kSecond);
  EXPECT_EQ(world_.SendUntilFinal(2, "POST", "/api/jobs", wire::EncodeSubmission(waits)).status,
            201);
  EXPECT_TRUE(RunsToCompletion(world_, "job-90", 120 * kSecond));
  ExpectAllDone(120 * kSecond);
}

TEST_F(Upgrade, TablesAreMigratedBeforeSmallerLimitsApply) {
  world_.Run(kStartupTime);
  Fill(9);
  for (size_t node = 0; node < 3; ++node) UpgradeNode(node);
  ASSERT_TRUE(world_.RunUntil([&] { return AllCompact(); }, 20 * kSecond));
  const int too_large = world_.state.too_large;
  world_.ApplyAnnouncedLimits();
  ExpectAllDone(180 * kSecond);
  EXPECT_EQ(world_.state.too_large, too_large);
  EXPECT_EQ(OriginalChunksStored(), 0u);
}

// The limits apply at the moment at which the last node is back: from then on the original chunks
// exceed the value limit.
TEST_F(Upgrade, TablesWithOversizedChunksAreMigrated) {
  Fill(40);
  world_.Run(10 * kSecond);
  for (size_t node = 0; node < 2; ++node) UpgradeNode(node);
  const size_t machines = Machines();
  EXPECT_GT(machines, 100u);
  size_t largest = 0;
  for (const auto& [key, item] : world_.state.items) {
    if (ParseKey(key).kind != Key::Kind::kAssignments) continue;
    largest = std::max(largest, item.value.dump().size());
  }
  EXPECT_GT(largest, 2 * 1024u);
  world_.ApplyAnnouncedLimits();
  UpgradeNode(2);
  ASSERT_TRUE(world_.RunUntil([&] { return AllCompact(); }, 30 * kSecond));
  EXPECT_GT(Machines(), machines / 2);
  ExpectAllDone(240 * kSecond);
}

TEST_F(Upgrade, LeaderCrashesDuringAMigrationLoseNoData) {
  Fill(40);
  world_.Run(10 * kSecond);
  for (size_t node = 0; node < 2; ++node) UpgradeNode(node);
  world_.ApplyAnnouncedLimits();
  world_.Kill(2);
  world_.Run(4 * kSecond);
  world_.version_1_nodes.clear();
  world_.Start(2);
  auto migrating = [&] {
    for (int shard_id = 0; shard_id < 3; ++shard_id) {
      if (world_.core(0).AssignmentsOf(shard_id).Migrating()) return true;
    }
    return false;
  };
  ASSERT_TRUE(world_.RunUntil(migrating, 20 * kSecond));
  for (size_t node = 0; node < 3; ++node) world_.Kill(node);
  world_.Run(kSecond);
  for (size_t node = 0; node < 3; ++node) world_.Start(node);
  ASSERT_TRUE(world_.RunUntil([&] { return AllCompact(); }, 40 * kSecond));
  ExpectAllDone(240 * kSecond);
}

// Commits without answers that are applied late, during the migration.
TEST_F(Upgrade, DelayedCommitsFromBeforeTheMigrationFail) {
  Fill(40);
  world_.Run(10 * kSecond);
  int count = 0;
  world_.drop_call = [&](size_t node, const Call& call) {
    if (call.dest != Dest::kState || call.target != "/commit" || ++count % 4 != 0) return false;
    world_.DeliverCallLater(node, call, (count % 3 == 0 ? 3 : 9) * kSecond);
    return true;
  };
  for (size_t node = 0; node < 3; ++node) UpgradeNode(node);
  world_.ApplyAnnouncedLimits();
  world_.Run(20 * kSecond);
  world_.drop_call = nullptr;
  ASSERT_TRUE(world_.RunUntil([&] { return AllCompact(); }, 40 * kSecond));
  ExpectAllDone(240 * kSecond);
}

TEST_F(Upgrade, CrashBeforeTheUpgradeAndCancellationsOfBothVersionsBreakNoRule) {
  world_.Run(kStartupTime);
  Fill(9);
  EXPECT_EQ(world_.SendUntilFinal(2, "POST", "/api/jobs/job-100/abort").status, 200);
  UpgradeNode(0);
  world_.Kill(1);
  world_.Run(kSecond);
  world_.Start(1);  // still of the old version
  world_.Run(2 * kSecond);
  EXPECT_EQ(world_.SendUntilFinal(0, "POST", "/api/jobs/job-101/abort").status, 200);
  EXPECT_EQ(world_.SendUntilFinal(1, "POST", "/api/jobs/job-102/abort").status, 200);
  world_.store_down = true;
  world_.Run(6 * kSecond);
  world_.store_down = false;
  world_.state.Refresh(world_.now);
  UpgradeNode(1);
  for (size_t node = 0; node < 3; ++node) world_.Kill(node);  // all nodes, half-way
  world_.Run(2 * kSecond);
  for (size_t node = 0; node < 3; ++node) world_.Start(node);
  world_.Run(5 * kSecond);
  UpgradeNode(2);
  world_.ApplyAnnouncedLimits();
  ids_.erase(ids_.begin(), ids_.begin() + 3);
  ExpectAllDone(240 * kSecond);
  for (const char* id : {"job-100", "job-101", "job-102"}) EXPECT_EQ(world_.CountTasks(id), 0);
}

// A pipeline, many finished jobs, and progress of more than one page.
TEST_F(Upgrade, JobsAreServedAndProgressSurvivesAFailoverUnderSmallerLimits) {
  world_.version_1_nodes.clear();
  world_.Run(kStartupTime);
  world_.ApplyAnnouncedLimits();
  for (int i = 0; i < 20; ++i) {
    JobSpec spec = World::Array("job-" + std::to_string(200 + i), 60);
    spec.task_resources = {100, 0, 100};
    ids_.push_back(spec.id);
    world_.SetRunTime(spec.id, (10 + 2 * i) * kSecond);
    SubmitUntilAccepted(world_, static_cast<size_t>(i % 3), spec);
  }
  SubmitUntilAccepted(world_, 0, World::Service("job-5", 4));
  JobSpec last = World::Array("job-300", 2);
  last.dependencies = ids_;
  world_.SetRunTime("job-300", kSecond);
  SubmitUntilAccepted(world_, 1, last);
  world_.Run(40 * kSecond);
  for (size_t node = 0; node < 3; ++node) world_.Kill(node);
  world_.Run(kSecond);
  for (size_t node = 0; node < 3; ++node) world_.Start(node);
  ExpectAllDone(180 * kSecond);
  EXPECT_TRUE(RunsToCompletion(world_, "job-300", 60 * kSecond));
  EXPECT_EQ(world_.state.too_large, 0);
  EXPECT_NO_VIOLATIONS(world_);
}

// Only the number of writes is small, and the value limit shrinks slightly.
TEST(UpgradeToOtherLimits, RespectsFewWritesOfLargeValuesAndSlightlySmallerValues) {
  for (double value_kb : {16.0, 10.0}) {
    World world(3, [value_kb](Json* facts) {
      (*facts)["state"]["next"] = {{"value_kb", value_kb}, {"txn_ops", 4}};
    });
    world.cloud.capacity = 200;
    world.version_1_nodes = {0, 1, 2};
    world.Run(kStartupTime);
    for (int i = 0; i < 40; ++i) {
      const std::string id = "job-" + std::to_string(100 + i);
      world.SetRunTime(id, (20 + i) * kSecond);
      SubmitUntilAccepted(world, static_cast<size_t>(i % 3), World::Array(id, 10 + i % 7));
    }
    world.Run(15 * kSecond);
    world.ApplyAnnouncedLimits();
    world.version_1_nodes.clear();
    for (int i = 0; i < 40; ++i) {
      EXPECT_TRUE(RunsToCompletion(world, "job-" + std::to_string(100 + i), 240 * kSecond)) << i;
    }
    EXPECT_NO_VIOLATIONS(world);
  }
}

TEST_F(Upgrade, JobAboveTheValueLimitIsRefused) {
  world_.version_1_nodes.clear();
  world_.Run(kStartupTime);
  SubmitUntilAccepted(world_, 0, World::Array("job-1", 1));
  JobSpec large = World::Array("job-2", 1);
  for (int i = 0; i < 20; ++i) large.types.push_back("small" + std::string(100, 'x'));
  large.types.push_back("small");
  EXPECT_EQ(world_.SendUntilFinal(0, "POST", "/api/jobs", wire::EncodeSubmission(large)).status,
            422);
}

}  // namespace
}  // namespace troutlink::test
