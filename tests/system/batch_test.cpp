// Batch jobs: the job table, the journal, replication and the placement of shards. Simulated worlds with
// faults check that nothing acknowledged is lost.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "batch/item_digest.h"
#include "batch/job_journal.h"
#include "batch/job_table.h"
#include "batch/shard_primary.h"
#include "control/placement.h"
#include "temp_directory.h"

using namespace nettlestand::tier;

namespace {

JobChange new_job(const std::string& id, std::size_t items, const std::string& tenant = "t") {
  JobChange out{};
  out.tenant = tenant;
  out.job = id;
  JobSpec spec{};
  spec.id = id;
  spec.tenant = tenant;
  spec.route = "r";
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item{};
    item.id = id + "-" + std::to_string(i);
    item.body = "body of " + item.id;
    item.tokens = 10;
    set_digest(item);
    spec.items.push_back(item);
  }
  out.spec.push_back(spec);
  return out;
}

JobChange result_of(const std::string& id, std::uint32_t position, std::uint32_t item,
                    const std::string& text) {
  JobChange out{};
  out.tenant = "t";
  out.job = id;
  out.first_position = position;
  JobResult result{};
  result.item = item;
  result.text = text;
  out.results.push_back(result);
  return out;
}

const JobKey kKey{"t", "j"};

}  // namespace

TEST_CASE("a position is decided once, in order, and an item has one result") {
  JobTable table;
  table.apply(5, new_job("j", 3));
  table.apply(5, result_of("j", 1, 1, "too early"));
  CHECK(table.find(kKey)->results.empty());
  table.apply(5, result_of("j", 0, 2, "first"));
  table.apply(5, result_of("j", 0, 1, "another at the same position"));
  table.apply(5, result_of("j", 1, 2, "the same item again"));
  table.apply(5, result_of("j", 1, 9, "no such item"));
  REQUIRE(table.find(kKey)->results.size() == 1);
  CHECK(table.find(kKey)->results[0].text == "first");
  CHECK(table.waiting_tokens("t", "r") == 20);
  CHECK(table.waiting_tokens("t", "other") == 0);
  table.apply(5, new_job("j", 5));  // the same job again changes nothing
  CHECK(table.find(kKey)->spec.items.size() == 3);
  JobChange ended{};
  ended.tenant = "t";
  ended.job = "j";
  ended.ended = true;
  table.apply(5, ended);
  CHECK(table.waiting_tokens("t", "r") == 0);
}

TEST_CASE("a copy of a job makes any other copy equal to it") {
  JobTable table, other;
  table.apply(5, new_job("j", 3));
  table.apply(5, result_of("j", 0, 2, "right"));
  other.apply(5, new_job("j", 3));
  other.apply(5, result_of("j", 0, 1, "never acknowledged"));
  other.apply(5, result_of("j", 1, 0, "never acknowledged"));
  CHECK(encode(other.digest(kKey)) != encode(table.digest(kKey)));
  other.apply(6, *decode<JobChange>(encode(table.snapshot_of(kKey))));
  CHECK(encode(other.digest(kKey)) == encode(table.digest(kKey)));
  CHECK(other.find(kKey)->results[0].text == "right");
  CHECK(other.find(kKey)->spec.items[1].body == "body of j-1");
  table.apply(7, table.snapshot_of({"t", "unknown"}));
  other.apply(7, other.snapshot_of({"t", "unknown"}));
  CHECK(table.jobs().size() == 1);
}

TEST_CASE("the journal brings jobs back after each start, and gives their space back when they are gone") {
  TempDirectory folder;
  const std::string body(200000, 'b');
  int next = 0;
  StoreId identity = 0;
  for (int start = 0; start < 4; ++start) {
    JobTable table;
    JobJournal::Options options;
    options.directory = folder.path();
    options.disk_mb = 84;
    auto journal = JobJournal::open(options, 55 + static_cast<StoreId>(start), table, 5);
    REQUIRE(journal.ok());
    if (start == 0) identity = (*journal)->disk_id();
    CHECK((*journal)->disk_id() == identity);
    CHECK(table.jobs().size() == (start == 0 ? 0 : 2));
    const auto change = [&](const JobChange& c) {
      const absl::Status status = (*journal)->append(c);
      INFO(status.message());
      REQUIRE(status.ok());
      REQUIRE((*journal)->sync().ok());
      table.apply(5, c);
      while (const auto plan = (*journal)->plan_reclaim(table, {})) {
        if (!(*journal)->reclaim(*plan).ok()) break;
      }
    };
    if (start == 0) change(new_job("stays", 1));
    // Writes far more than fits: 40 jobs of 8 MB after each start, on 84 MB of disk.
    for (int i = 0; i < 40; ++i, ++next) {
      JobChange job = new_job("job" + std::to_string(next), 40);
      for (JobItem& item : job.spec.front().items) item.body = body;
      change(job);
      if (next == 0) continue;
      JobChange removed{};
      removed.tenant = "t";
      removed.job = "job" + std::to_string(next - 1);
      removed.removed = true;
      change(removed);
    }
    CHECK(table.jobs().size() == 2);
    CHECK(table.find({"t", "stays"}) != nullptr);
    CHECK((*journal)->free_segments() >= 1);
  }
}

TEST_CASE("space that is given back takes nothing along that is on disk and not in the table") {
  TempDirectory folder;
  JobJournal::Options options;
  options.directory = folder.path();
  options.disk_mb = 84;
  JobTable table;
  auto journal = JobJournal::open(options, 55, table, 5);
  REQUIRE(journal.ok());
  const auto write = [&](const JobChange& change) {
    REQUIRE((*journal)->append(change).ok());
    REQUIRE((*journal)->sync().ok());
  };
  const auto commit = [&](const JobChange& change) {
    write(change);
    table.apply(5, change);
  };
  commit(new_job("j", 2));
  // A result and a job that the primary has written and that wait for another replica.
  const JobChange result = result_of("j", 0, 1, "read by a client"), job = new_job("new", 1);
  write(result);
  write(job);
  for (int i = 0; (*journal)->free_segments() > 1; ++i) {
    JobChange filler = new_job("filler" + std::to_string(i), 40);
    for (JobItem& item : filler.spec.front().items) item.body = std::string(200000, 'b');
    commit(filler);
  }
  const auto plan = (*journal)->plan_reclaim(table, {result, job});
  REQUIRE(plan);
  REQUIRE((*journal)->reclaim(*plan).ok());
  journal->reset();
  JobTable after;
  REQUIRE(JobJournal::open(options, 56, after, 6).ok());
  REQUIRE(after.find(kKey) != nullptr);
  REQUIRE(after.find(kKey)->results.size() == 1);
  CHECK(after.find(kKey)->results[0].text == "read by a client");
  CHECK(after.find({"t", "new"}) != nullptr);
}

namespace {

// Stores, one shard and a placement planner in simulated time. Messages are delayed and lost; stores are
// killed, frozen and wiped.
class World {
 public:
  explicit World(std::uint64_t seed, bool acknowledges_unwritten = false)
      : random_(seed), planner_(1, 0), acknowledges_unwritten_(acknowledges_unwritten) {
    for (std::size_t i = 0; i < kStores; ++i) stores_[i].id = next_id_++;
  }

  std::string play() {
    for (; now_ < 30000 && violation_.empty(); now_ += 10) step(true);
    for (; now_ < 42000 && violation_.empty(); now_ += 10) step(false);
    if (!violation_.empty()) return violation_;
    return check_end();
  }
  std::size_t acknowledged() const { return acknowledged_.size(); }
  std::size_t moves() const { return row().epoch; }
  std::size_t read_results() const {
    std::size_t sum = 0;
    for (const auto& [job, results] : read_) sum += results.size();
    return sum;
  }

 private:
  static constexpr std::size_t kStores = 3;
  static constexpr Millis kPlannerIntervalMs = 50, kReadMs = 50;
  struct Store {
    StoreId id = 0;
    std::vector<JobChange> disk;
    JobTable table;
    std::unique_ptr<ShardPrimary> primary;
    PlacementTable placement{};
    bool up = true;
    Millis back_at = 0, frozen_until = 0, poll_at = 0, lease_until = -1;
    std::map<std::string, std::uint32_t> positions;
  };
  struct InFlight {
    Millis at = 0;
    std::size_t to = 0;
    std::vector<Replicate> message;
    std::vector<ReplicateReply> reply;
  };

  bool chance(double p) { return static_cast<double>(random_() >> 11) * 0x1.0p-53 < p; }
  const ShardPlacement& row() const {
    static const ShardPlacement none{};
    const std::uint32_t shard = batch_shard_of("t");
    for (const ShardPlacement& r : table_.shards) {
      if (r.shard == shard) return r;
    }
    return none;
  }
  bool runs(const Store& s) const { return s.up && now_ >= s.frozen_until; }

  void step(bool faults) {
    if (faults) inject_fault();
    if (now_ % kPlannerIntervalMs == 0) run_planner();
    for (std::size_t i = 0; i < kStores; ++i) {
      Store& s = stores_[i];
      if (!s.up && now_ >= s.back_at) restart(s);
      if (!runs(s)) continue;
      poll(s, i);
      advance(s, i);
    }
    deliver();
    client();
  }

  void inject_fault() {
    Store& s = stores_[random_() % kStores];
    if (chance(0.001)) {
      stop(s, 200 + static_cast<Millis>(random_() % 2500));
    } else if (chance(0.0004)) {
      for (Store& each : stores_) stop(each, 300);
    } else if (chance(0.001)) {
      s.frozen_until = now_ + static_cast<Millis>(random_() % 3000);
    } else if (chance(0.0012) && all_members_healthy()) {
      s.disk.clear();
      s.id = next_id_++;
      stop(s, 500);
    }
  }
  // A disk may be lost only while all members are in sync.
  bool all_members_healthy() const {
    if (row().members.size() < 2 || !row().joining.empty()) return false;
    for (const StoreId id : row().members) {
      bool live = false;
      for (const Store& s : stores_)
        live = live || (s.id == id && runs(s) && s.placement.sequence == table_.sequence);
      if (!live) return false;
    }
    return true;
  }
  void stop(Store& s, Millis for_ms) {
    s.up = false;
    s.back_at = now_ + for_ms;
  }
  void restart(Store& s) {
    s.up = true;
    s.table = JobTable();
    for (const JobChange& change : s.disk) s.table.apply(now_, change);
    s.primary.reset();
    s.placement = PlacementTable{};
    s.positions.clear();
    s.lease_until = -1;
  }

  void run_planner() {
    if (const auto change = planner_.plan(now_, table_)) {
      ControlState state;
      state.set_placement(table_);
      state.apply(*change);
      table_ = state.placement();
    }
  }
  void poll(Store& s, std::size_t i) {
    if (now_ < s.poll_at) return;
    s.poll_at = now_ + 200;
    if (chance(0.03)) return;
    Poll poll{};
    poll.node.is_store = true;
    poll.node.disk_id = s.id;
    poll.node.name = "store-" + std::to_string(i);
    poll.node.address = "10.0.0.1:" + std::to_string(i);
    poll.node.zone = std::string(1, static_cast<char>('a' + i));
    if (s.primary) poll.in_sync = s.primary->in_sync_reports();
    planner_.on_poll(now_, poll);
    s.lease_until = now_ + kPrimaryLeaseMs;
    if (s.placement.sequence == table_.sequence) return;
    s.placement = table_;
    place(s);
  }
  void place(Store& s) {
    const ShardPlacement& r = row();
    if (r.members.empty() || r.members.front() != s.id) {
      if (s.primary) {
        for (const JobChange& change : s.primary->take_durable_uncommitted()) s.table.apply(now_, change);
      }
      s.primary.reset();
      s.positions.clear();
      return;
    }
    if (!s.primary) s.primary = std::make_unique<ShardPrimary>(r.shard, s.id, 2, s.table);
    s.primary->set_placement(r);
  }

  void advance(Store& s, std::size_t) {
    if (!s.primary) return;
    for (const JobChange& change : s.primary->next_batch()) s.disk.push_back(change);
    s.primary->on_batch_durable();
    for (Replicate& message : s.primary->outgoing(now_)) {
      for (std::size_t to = 0; to < kStores; ++to) {
        if (stores_[to].id != message.to || chance(0.1)) continue;
        InFlight flight;
        flight.at = now_ + 5 + static_cast<Millis>(random_() % 40);
        flight.to = to;
        flight.message.push_back(message);
        in_flight_.push_back(std::move(flight));
      }
    }
    for (const JobChange& change : s.primary->take_committed()) {
      s.table.apply(now_, change);
      if (!change.spec.empty()) acknowledged_.insert(change.job);
    }
  }

  void deliver() {
    std::vector<InFlight> due;
    std::erase_if(in_flight_, [&](InFlight& f) {
      if (f.at > now_ || now_ < stores_[f.to].frozen_until) return false;
      due.push_back(std::move(f));
      return true;
    });
    for (InFlight& f : due) {
      Store& s = stores_[f.to];
      if (!s.up) continue;
      for (const Replicate& message : f.message) replicate(s, message);
      for (const ReplicateReply& reply : f.reply) {
        if (s.primary) s.primary->on_reply(reply);
      }
    }
  }
  void replicate(Store& s, const Replicate& message) {
    if (message.to != s.id) return;
    const ShardPlacement* known = nullptr;
    for (const ShardPlacement& r : s.placement.shards) {
      if (r.shard == message.shard) known = &r;
    }
    if (known == nullptr || known->epoch != message.epoch) return;
    for (const JobChange& change : message.changes) {
      if (!acknowledges_unwritten_) s.disk.push_back(change);
      s.table.apply(now_, change);
    }
    ReplicateReply reply{};
    reply.shard = message.shard;
    reply.epoch = message.epoch;
    reply.number = message.number;
    reply.from = s.id;
    reply.accepted = true;
    reply.has_digest = message.digest_wanted;
    if (message.digest_wanted) {
      for (const JobKey& key : s.table.keys_in_shard(message.shard))
        reply.digest.push_back(s.table.digest(key));
    }
    for (std::size_t to = 0; to < kStores; ++to) {
      if (known->members.empty() || stores_[to].id != known->members.front() || chance(0.1)) continue;
      InFlight flight;
      flight.at = now_ + 5 + static_cast<Millis>(random_() % 40);
      flight.to = to;
      flight.reply.push_back(reply);
      in_flight_.push_back(std::move(flight));
    }
  }

  // Submits jobs, adds results and reads them, at each store that considers itself the primary and holds a
  // lease. Only one may.
  void client() {
    std::size_t certain = 0;
    for (Store& s : stores_) {
      if (!runs(s) || !s.primary || !s.primary->ready() || now_ >= s.lease_until) continue;
      ++certain;
      if (now_ % kReadMs != 0) continue;
      for (const std::string& job : acknowledged_) {
        const Job* held = s.table.find({"t", job});
        if (held == nullptr) {
          violation_ = "an acknowledged job is not there";
          return;
        }
        std::vector<std::string>& seen = read_[job];
        for (std::size_t i = 0; i < seen.size(); ++i) {
          if (i >= held->results.size())
            violation_ = "a result that was read is gone";
          else if (held->results[i].text != seen[i])
            violation_ = "a position holds another result";
        }
        for (std::size_t i = seen.size(); i < held->results.size(); ++i)
          seen.push_back(held->results[i].text);
      }
      if (s.primary->busy() || !s.primary->has_enough_replicas()) continue;
      if (chance(0.25)) s.primary->add(new_job("job-" + std::to_string(jobs_++), 4));
      for (const auto& [key, job] : s.table.jobs()) {
        if (job.complete() || !chance(0.5)) continue;
        const auto at = static_cast<std::uint32_t>(job.results.size());
        std::uint32_t item = 0;
        while (job.has_result[item]) ++item;
        s.primary->add(result_of(key.id, at, item, "run " + std::to_string(runs_++)));
        break;
      }
    }
    if (certain > 1) violation_ = "two stores answer for one shard";
  }

  std::string check_end() const {
    for (const Store& s : stores_) {
      if (!s.primary || !s.primary->ready() || now_ >= s.lease_until) continue;
      return "";
    }
    return "no store answers after all faults are over";
  }

  std::mt19937_64 random_;
  PlacementPlanner planner_;
  bool acknowledges_unwritten_;
  PlacementTable table_{};
  Store stores_[kStores];
  std::vector<InFlight> in_flight_;
  Millis now_ = 0;
  StoreId next_id_ = 1;
  int jobs_ = 0, runs_ = 0;
  std::set<std::string> acknowledged_;
  std::map<std::string, std::vector<std::string>> read_;
  std::string violation_;
};

}  // namespace

TEST_CASE("no acknowledged job and no result that was read is lost or changed, over many worlds") {
  std::size_t jobs = 0, results = 0, moves = 0;
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    World world(seed);
    INFO("seed " << seed);
    CHECK(world.play() == "");
    jobs += world.acknowledged();
    results += world.read_results();
    moves += world.moves();
  }
  CHECK(jobs > 150 * 20);
  CHECK(results > 150 * 40);
  CHECK(moves > 150 * 3);
}

TEST_CASE("a copy that is acknowledged before it is on disk is found") {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 60 && !found; ++seed) found = !World(seed, true).play().empty();
  CHECK(found);
}

namespace {

Poll store_poll(StoreId id, const std::string& name) {
  Poll poll{};
  poll.node.is_store = true;
  poll.node.disk_id = id;
  poll.node.name = name;
  poll.node.address = "10.0.0.1:" + std::to_string(id);
  poll.node.zone = name;
  return poll;
}

// Runs a planner for a given time, with some stores alive.
class PlannerHarness {
 public:
  void settle(const std::vector<StoreId>& alive, Millis for_ms) {
    for (const Millis until = now + for_ms; now < until; now += 100) {
      for (const StoreId id : alive) {
        Poll poll = store_poll(id, "store-" + std::to_string(id));
        for (const ShardPlacement& row : state.placement().shards) {
          if (row.members.front() != id) continue;
          for (const StoreId joining : row.joining) {
            InSyncReport report{};
            report.shard = row.shard;
            report.epoch = row.epoch;
            report.store = joining;
            poll.in_sync.push_back(report);
          }
        }
        planner.on_poll(now, poll);
      }
      if (const auto change = planner.plan(now, state.placement())) state.apply(*change);
    }
  }
  std::map<StoreId, int> loads() const {
    std::map<StoreId, int> out;
    for (const ShardPlacement& row : state.placement().shards) {
      for (const StoreId id : row.members) ++out[id];
    }
    return out;
  }
  Millis now = 0;
  PlacementPlanner planner{1, 0};
  ControlState state;
};

}  // namespace

TEST_CASE("shards are spread over the stores, and a dead store's are taken over by all others") {
  PlannerHarness harness;
  harness.settle({1, 2, 3, 4}, 4000);
  REQUIRE(harness.state.placement().shards.size() == kBatchShards);
  for (const auto& [id, load] : harness.loads()) CHECK(load == kBatchShards * 2 / 4);
  harness.settle({1, 2, 3}, 5000);
  const auto loads = harness.loads();
  CHECK(loads.size() == 3);
  for (const auto& [id, load] : loads) CHECK(load >= 12);
  for (const ShardPlacement& row : harness.state.placement().shards) {
    CHECK(row.members.size() == 2);
    CHECK(row.members[0] != row.members[1]);
  }
}

TEST_CASE("a machine is emptied before it is told to be, and refused where too few would be left") {
  PlannerHarness harness;
  harness.settle({1, 2, 3}, 4000);
  bool refused = false;
  CHECK_FALSE(harness.planner.retire(harness.now, harness.state.placement(), "unknown", refused));
  CHECK_FALSE(refused);
  const auto change = harness.planner.retire(harness.now, harness.state.placement(), "store-2", refused);
  REQUIRE(change);
  harness.state.apply(*change);
  CHECK_FALSE(harness.state.placement().store(2)->retired);
  CHECK_FALSE(PlacementPlanner::is_empty(harness.state.placement(), "store-2"));
  harness.settle({1, 2, 3}, 3000);
  CHECK(harness.state.placement().store(2)->retired);
  CHECK(PlacementPlanner::is_empty(harness.state.placement(), "store-2"));
  CHECK(harness.loads().count(2) == 0);
  CHECK_FALSE(harness.planner.retire(harness.now, harness.state.placement(), "store-1", refused));
  CHECK(refused);
}

TEST_CASE("the stores that may have jobs are the primaries of the tenants' shards") {
  PlacementTable table{};
  for (std::uint32_t shard = 0; shard < kBatchShards; ++shard) {
    ShardPlacement row{};
    row.shard = shard;
    row.members = {100 + shard % 14};
    table.shards.push_back(row);
  }
  const auto stores_for = [&](const std::string& tenants) {
    const auto parsed = Configuration::parse("{\"generation\":1,\"routes\":[],\"services\":[],\"tenants\":[" +
                                             tenants + "]}");
    REQUIRE(parsed.ok());
    return count_stores_with_jobs(table, **parsed);
  };
  CHECK(stores_for("") == 1);
  CHECK(stores_for("{\"name\":\"a\",\"api_keys\":[\"k\"]}") == 1);
  std::string many;
  for (int i = 0; i < 200; ++i) {
    const std::string n = std::to_string(i);
    many += std::string(i > 0 ? "," : "") + "{\"name\":\"t" + n + "\",\"api_keys\":[\"k" + n + "\"]}";
  }
  CHECK(stores_for(many) == 14);
}

TEST_CASE("with no member alive nobody takes over") {
  PlannerHarness harness;
  harness.settle({1, 2, 3}, 4000);
  const std::string before = encode(harness.state.placement().shards.front());
  std::set<StoreId> members(harness.state.placement().shards.front().members.begin(),
                            harness.state.placement().shards.front().members.end());
  std::vector<StoreId> others;
  for (const StoreId id : {1, 2, 3}) {
    if (!members.contains(id)) others.push_back(id);
  }
  harness.settle(others, 5000);
  CHECK(encode(harness.state.placement().shards.front()) == before);
}

namespace {

// A planner with three stores, where stores 1 and 2 are the members of all shards.
struct Placement {
  PlacementPlanner planner{1, 0};
  PlacementTable table{};
  std::map<StoreId, bool> alive = {{1, true}, {2, true}, {3, true}};
  Millis now = 0;

  Placement() {
    run(3000);
    for (ShardPlacement& row : table.shards) {
      row.members = {1, 2};
      row.joining.clear();
    }
  }
  void run(Millis span) {
    for (const Millis until = now + span; now < until; now += 50) {
      for (const auto& [id, lives] : alive) {
        Poll poll{};
        poll.node.is_store = true;
        poll.node.disk_id = id;
        poll.node.name = "store-" + std::to_string(id);
        poll.node.address = "10.0.0.1:" + std::to_string(id);
        if (lives) planner.on_poll(now, poll);
      }
      const auto change = planner.plan(now, table);
      if (!change) continue;
      ControlState state;
      state.set_placement(table);
      state.apply(*change);
      table = state.placement();
    }
  }
  void report_in_sync(StoreId primary, StoreId store) {
    Poll poll{};
    poll.node.is_store = true;
    poll.node.disk_id = primary;
    poll.node.name = "store-" + std::to_string(primary);
    poll.node.address = "10.0.0.1:" + std::to_string(primary);
    for (const ShardPlacement& row : table.shards) {
      InSyncReport report{};
      report.shard = row.shard;
      report.epoch = row.epoch;
      report.store = store;
      poll.in_sync.push_back(report);
    }
    planner.on_poll(now, poll);
  }
  const ShardPlacement& row() const { return table.shards.front(); }
};

}  // namespace

TEST_CASE("a copy that left while members were too few takes over when the last member loses its disk") {
  Placement world;
  world.alive[2] = false;  // for example frozen
  world.run(1500);
  REQUIRE(world.row().members == std::vector<StoreId>{1});
  CHECK(world.row().eligible == std::vector<StoreId>{2});
  CHECK(world.row().joining == std::vector<StoreId>{3});
  world.alive[2] = true;
  world.alive[1] = false;  // its disk is lost before store 3 was reported as in sync
  world.run(1500);
  CHECK(world.row().members == std::vector<StoreId>{2});
}

TEST_CASE("a copy that left is not eligible once its successor is a recorded member") {
  Placement world;
  world.alive[2] = false;
  world.run(1500);
  world.report_in_sync(1, 3);
  world.run(50);
  REQUIRE(world.row().members == std::vector<StoreId>{1, 3});
  CHECK(world.row().eligible.empty());
  world.alive[2] = true;
  world.alive[1] = world.alive[3] = false;
  world.run(3000);
  CHECK(world.row().members == std::vector<StoreId>{1, 3});  // nobody else may take over
}

TEST_CASE("a copy that lags behind a commit is never told to forget the job that was committed") {
  constexpr StoreId kSelf = 1, kMember = 2, kJoining = 3;
  JobTable table;
  ShardPrimary primary(0, kSelf, 2, table);
  ShardPlacement row{};
  row.epoch = 1;
  row.members = {kSelf, kMember};
  row.joining = {kJoining};
  primary.set_placement(row);
  const auto reply_from = [&](StoreId store, MessageNumber number) {
    ReplicateReply reply{};
    reply.epoch = 1;
    reply.from = store;
    reply.accepted = true;
    reply.number = number;
    reply.has_digest = !primary.ready();
    primary.on_reply(reply);
  };
  for (const Replicate& ask : primary.outgoing(0)) reply_from(ask.to, ask.number);
  REQUIRE(primary.ready());
  primary.add(new_job("j", 2));
  REQUIRE(primary.next_batch().size() == 1);
  const std::vector<Replicate> sent = primary.outgoing(10);
  REQUIRE(sent.size() == 2);
  primary.on_batch_durable();
  reply_from(kMember, sent.front().number);  // the joining one has not answered yet

  // Whatever the host calls before it has applied the commit, and after that.
  const auto told_to_forget = [&](Millis now) {
    for (const Replicate& message : primary.outgoing(now)) {
      for (const JobChange& change : message.changes) {
        if (change.removed) return true;
      }
    }
    return false;
  };
  CHECK_FALSE(told_to_forget(20));
  CHECK(primary.next_batch().empty());
  const std::vector<JobChange> committed = primary.take_committed();
  REQUIRE(committed.size() == 1);
  table.apply(20, committed.front());
  CHECK_FALSE(told_to_forget(30));
  CHECK(primary.in_sync_reports().empty());
}

TEST_CASE("nothing is acknowledged or read anew while the recorded members are too few") {
  JobTable table;
  const std::uint32_t shard = batch_shard_of("t");
  ShardPrimary primary(shard, 1, 2, table);
  ShardPlacement row{};
  row.shard = shard;
  row.epoch = 5;
  row.members = {1};
  row.joining = {3};
  row.eligible = {2};
  primary.set_placement(row);
  CHECK_FALSE(primary.ready());  // promoted: what it holds may be on its disk alone
  primary.add(new_job("job", 1));
  CHECK(primary.next_batch().empty());
  ReplicateReply digest{};
  digest.shard = shard;
  digest.epoch = 5;
  digest.from = 3;
  digest.accepted = digest.has_digest = true;
  primary.on_reply(digest);
  CHECK(primary.in_sync_reports().empty());  // its digests were not requested yet
  digest.number = primary.outgoing(0).front().number;
  primary.on_reply(digest);
  CHECK(primary.in_sync_reports().size() == 1);
  CHECK(primary.next_batch().empty());
  row.epoch = 6;
  row.members = {1, 3};
  row.joining.clear();
  row.eligible.clear();
  primary.set_placement(row);
  digest.epoch = 6;
  digest.number = primary.outgoing(1).front().number;
  primary.on_reply(digest);
  CHECK(primary.ready());
  CHECK(primary.next_batch().size() == 1);
}
