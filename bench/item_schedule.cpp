// Benchmark of one round of the item schedule, by the number of open jobs: no item has capacity, or every
// item runs already.
#include "batch/item_schedule.h"

#include <benchmark/benchmark.h>

#include <string>
#include <utility>

#include "batch/item_digest.h"

namespace {

using namespace nettlestand::tier;

constexpr std::size_t kItemsPerJob = 60;
constexpr std::size_t kTenantCount = 8;
constexpr Millis kTickIntervalMs = 40;

// An item host whose runs never end.
class BenchmarkItemHost : public ItemHost {
 public:
  bool has_free_capacity = false;

  bool may_run(Millis, const JobKey&) override { return true; }
  ItemLimits limits_for(Millis, const std::string&) override {
    ItemLimits out;
    out.state = ItemLimits::RouteState::kPresent;
    return out;
  }
  bool is_routed(const Job&, std::uint32_t) const override { return true; }
  bool can_start() const override { return true; }
  bool has_capacity(Millis, const std::string&) override { return has_free_capacity; }
  void start(Millis, const ItemRun&) override {}
  void on_corrupted_item(const JobKey&, std::uint32_t, StartReason) override {}
  void on_result(Millis, const JobKey&, JobResult) override {}
  void abandon(RunId) override {}
};

void add_jobs(JobTable& table, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) {
    JobChange change{};
    change.tenant = "tenant-" + std::to_string(i % kTenantCount);
    change.job = "job-" + std::to_string(i);
    JobSpec spec{};
    spec.route = "jobs";
    for (std::size_t n = 0; n < kItemsPerJob; ++n) {
      JobItem item{};
      item.id = change.job + "-" + std::to_string(n);
      set_digest(item);
      spec.items.push_back(std::move(item));
    }
    change.spec.push_back(std::move(spec));
    table.apply(static_cast<Millis>(i), change);
  }
}

// `has_free_capacity`: all items are started before the measurement.
void pump(benchmark::State& state, bool has_free_capacity) {
  JobTable table;
  add_jobs(table, static_cast<std::size_t>(state.range(0)));
  BenchmarkItemHost host;
  ItemSchedule schedule(table, host);
  Millis now = 1;
  host.has_free_capacity = has_free_capacity;
  schedule.pump(now);
  for (auto _ : state) {
    now += kTickIntervalMs;
    schedule.pump(now);
  }
}

void pump_without_capacity(benchmark::State& state) { pump(state, false); }
void pump_with_all_running(benchmark::State& state) { pump(state, true); }

BENCHMARK(pump_without_capacity)->Arg(10)->Arg(100)->Arg(1000);
BENCHMARK(pump_with_all_running)->Arg(10)->Arg(100)->Arg(1000);

}  // namespace

BENCHMARK_MAIN();
