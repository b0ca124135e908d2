// Random walks that check the guarantees of the item schedule: results are uncommitted while their job is
// ended, moves to another primary or gets results there, and runs end after they were abandoned.
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "batch/item_digest.h"
#include "batch/item_schedule.h"

using namespace nettlestand::tier;

namespace {

constexpr std::size_t kMaxRuns = 5;
constexpr int kSteps = 1500;
constexpr std::uint64_t kWalks = 60;
constexpr int kMaxAttempts = 3;
constexpr Millis kMaxConfigLagMs = 400;

JobChange change_of(const JobKey& key) {
  JobChange out{};
  out.tenant = key.tenant;
  out.job = key.id;
  return out;
}

// A host that keeps its side of the contract: it applies results in order, some time after they were
// reported.
class Walk : public ItemHost {
 public:
  explicit Walk(std::uint64_t seed) : random_(seed), schedule_(table_, *this) {}

  void run() {
    for (int step = 0; step < kSteps; ++step) {
      now_ += static_cast<Millis>(below(60));
      random_action();
      schedule_.pump(now_);
    }
  }
  std::size_t starts() const { return starts_; }
  std::size_t results() const { return results_; }

 private:
  bool may_run(Millis, const JobKey&) override { return is_primary_; }
  ItemLimits limits_for(Millis, const std::string&) override {
    ItemLimits out;
    out.state = below(20) == 0 ? ItemLimits::RouteState::kUnknown : ItemLimits::RouteState::kPresent;
    out.max_wait_s = 6;
    out.max_attempts = kMaxAttempts;
    out.generation = generation_;
    out.max_config_lag_ms = kMaxConfigLagMs;
    return out;
  }
  // Some configurations have no route for items with odd numbers.
  bool is_routed(const Job&, std::uint32_t item) const override { return has_odd_route_ || item % 2 == 0; }
  bool can_start() const override { return runs_.size() < kMaxRuns; }
  bool has_capacity(Millis, const std::string&) override { return below(4) != 0; }
  void start(Millis, const ItemRun& run) override {
    ++starts_;
    const Job* job = table_.find(run.key);
    REQUIRE(job != nullptr);
    CHECK(is_primary_);
    CHECK_FALSE(job->ended);
    CHECK(is_routed(*job, run.item));
    CHECK_FALSE(job->has_result[run.item]);
    CHECK(job->spec.items[run.item].body == body_of(run.key, run.item));
    CHECK_FALSE(stopped_.contains(run.key));
    CHECK_FALSE(decided_.contains({run.key, run.item}));
    CHECK(ids_.insert(run.id).second);
    for (const auto& [id, other] : runs_) {
      const bool same = other.run.key == run.key && other.run.item == run.item;
      CHECK_FALSE((same && other.counts));
    }
    runs_.emplace(run.id, Running{run, true});
  }
  void on_corrupted_item(const JobKey& key, std::uint32_t item, StartReason) override {
    FAIL_CHECK("no item is corrupted here, but one was reported: " << key.id << " " << item);
  }
  void on_result(Millis, const JobKey& key, JobResult result) override {
    CHECK(decided_.insert({key, result.item}).second);
    uncommitted_results_.emplace_back(key, std::move(result));
  }
  void abandon(RunId run) override { runs_.at(run).counts = false; }

  static std::string body_of(const JobKey& key, std::uint32_t item) {
    return "body of " + key.id + "-" + std::to_string(item);
  }
  std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
  JobKey any_job() {
    auto at = table_.jobs().begin();
    std::advance(at, static_cast<std::ptrdiff_t>(below(table_.jobs().size())));
    return at->first;
  }

  void random_action() {
    const std::uint64_t drawn = below(100);
    if (table_.jobs().empty() || drawn < 6) return submit();
    if (drawn < 50) return end_run();
    if (drawn < 85) return commit();
    if (drawn < 88) return request_end();
    if (drawn < 91) return step_down();
    if (drawn < 94) return apply_result_elsewhere();
    if (drawn < 97) return become_primary();
    if (drawn < 99) return change_routes();
    remove();
  }
  void submit() {
    if (!is_primary_) return;
    const JobKey key{"t" + std::to_string(below(3)), "j" + std::to_string(++jobs_)};
    JobChange job = change_of(key);
    JobSpec spec{};
    spec.id = key.id;
    for (std::uint32_t i = 0; i < 1 + below(6); ++i) {
      JobItem item{};
      item.id = key.id + "-" + std::to_string(i);
      item.body = body_of(key, i);
      set_digest(item);
      spec.items.push_back(item);
    }
    job.spec.push_back(spec);
    table_.apply(now_, job);
  }
  void change_routes() {
    ++generation_;
    has_odd_route_ = below(3) != 0;
  }
  void end_run() {
    if (runs_.empty()) return;
    auto at = runs_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(below(runs_.size())));
    const Running running = at->second;
    CHECK((running.counts || !schedule_.may_send(running.run.id)));
    runs_.erase(at);
    RunOutcome outcome;
    outcome.end = static_cast<RunEnd>(below(5));
    if (outcome.end == RunEnd::kCompleted) outcome.text = PartialText{"text", 4, true};
    const std::size_t before = uncommitted_results_.size();
    schedule_.on_run_ended(now_, running.run.id, std::move(outcome));
    if (!running.counts) CHECK(uncommitted_results_.size() == before);
  }
  void commit() {
    if (uncommitted_results_.empty()) return;
    const auto [key, result] = uncommitted_results_.front();
    uncommitted_results_.erase(uncommitted_results_.begin());
    apply_result(key, result);
  }
  void apply_result(const JobKey& key, const JobResult& result) {
    const Job* job = table_.find(key);
    if (job == nullptr) return;
    ++results_;
    JobChange change = change_of(key);
    change.first_position = static_cast<std::uint32_t>(job->results.size());
    change.results.push_back(result);
    table_.apply(now_, change);
  }
  // Requests the end of a job; it commits after the uncommitted results.
  void request_end() {
    const JobKey key = any_job();
    if (!is_primary_) return;
    schedule_.stop(key);
    stopped_.insert(key);
    if (below(2) == 0) return;
    while (!uncommitted_results_.empty()) commit();
    JobChange change = change_of(key);
    change.ended = true;
    table_.apply(now_, change);
    schedule_.forget(key);
  }
  // Uncommitted results may be on disk or lost.
  void step_down() {
    is_primary_ = false;
    while (!uncommitted_results_.empty()) {
      if (below(2) == 0) break;
      commit();
    }
    uncommitted_results_.clear();
    for (const auto& [key, job] : table_.jobs()) schedule_.forget(key);
    for (auto& [id, running] : runs_) CHECK_FALSE(running.counts);
    decided_.clear();
    stopped_.clear();
  }
  void apply_result_elsewhere() {
    if (is_primary_) return;
    const JobKey key = any_job();
    JobResult result{};
    result.item = static_cast<std::uint32_t>(below(table_.find(key)->spec.items.size()));
    if (!table_.find(key)->has_result[result.item]) apply_result(key, result);
  }
  void become_primary() { is_primary_ = true; }
  void remove() {
    const JobKey key = any_job();
    if (!is_primary_ || !(table_.find(key)->complete() || table_.find(key)->ended)) return;
    JobChange change = change_of(key);
    change.removed = true;
    table_.apply(now_, change);
    schedule_.forget(key);
  }

  struct Running {
    ItemRun run;
    bool counts = false;
  };
  std::mt19937_64 random_;
  JobTable table_;
  ItemSchedule schedule_;
  Millis now_ = 1000;
  bool is_primary_ = true;
  std::uint64_t generation_ = 1;  // of the configuration
  bool has_odd_route_ = true;
  std::uint64_t jobs_ = 0;
  std::map<RunId, Running> runs_;
  std::set<RunId> ids_;
  std::set<std::pair<JobKey, std::uint32_t>> decided_;
  std::set<JobKey> stopped_;
  std::vector<std::pair<JobKey, JobResult>> uncommitted_results_;
  std::size_t starts_ = 0, results_ = 0;
};

}  // namespace

TEST_CASE("over random walks an item starts only where it has its body and nothing else decides it") {
  std::size_t starts = 0, results = 0;
  for (std::uint64_t seed = 1; seed <= kWalks; ++seed) {
    INFO("seed " << seed);
    Walk walk(seed);
    walk.run();
    starts += walk.starts();
    results += walk.results();
  }
  CHECK(starts > 200 * kWalks);
  CHECK(results > 50 * kWalks);
}
