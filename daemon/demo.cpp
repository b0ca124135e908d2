#include "daemon/demo.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "standins/standins.h"

namespace nettlestand {
namespace {

namespace si = standins;

constexpr double kRate = 300;  // calls/s
constexpr double kAimSeconds = 0.25, kTimeoutSeconds = 1;
constexpr double kServiceSeconds = 0.01;                  // mean s of a server's core per call
constexpr double kRampSeconds = 4, kStartCapacity = 0.3;  // capacity of a cold server, as a share

const std::vector<si::CheckedClass>& checked_classes() {
  using Effect = si::CheckedClass::Effect;
  static const std::vector<si::CheckedClass> all = {
      {"lookup", Effect::kSafe, si::CheckedClass::Group::kAll, 0},
      {"submit", Effect::kKeyed, si::CheckedClass::Group::kAll, 4},
      {"test-close", Effect::kUnsafe, si::CheckedClass::Group::kAll, 0}};
  return all;
}

// Calls and attempts that ended within one second.
struct SecondCounts {
  int served = 0, refused = 0, failed = 0, attempts = 0;
  std::vector<double> times;  // latencies of served calls, s
};

double quantile(std::vector<double>& times, double fraction) {
  if (times.empty()) return 0;
  const auto at =
      times.begin() + static_cast<std::ptrdiff_t>(fraction * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), at, times.end());
  return *at;
}

// The processes of the demo, its script and its checks.
class Demo {
 public:
  Demo(const std::string& binary, double seconds) : seconds_(seconds) {
    si::NodeConfig config;
    config.discovery = discovery_.endpoint(config.name);
    config.classes = {{"lookup", "safe", "all", 0, kAimSeconds, kTimeoutSeconds, 0.5},
                      {"submit", "keyed", "all", 4, kAimSeconds, kTimeoutSeconds, 0.5},
                      {"test-close", "unsafe", "all", 0, kAimSeconds, kTimeoutSeconds, 0.5}};
    config.tenants = {{"centre", 1000}};
    config.start_capacity = kStartCapacity;
    config.ramp_time = kRampSeconds;
    for (int i = 0; i < 3; ++i) {
      si::ServerSettings settings;
      settings.name = "s" + std::to_string(i);
      settings.cores = 4;
      settings.service_time = kServiceSeconds;
      settings.exponential = true;
      settings.seed = static_cast<std::uint64_t>(i) + 1;
      settings.recorder = &recorder_;
      servers_.push_back(std::make_unique<si::ScriptedServer>(thread_.loop(), settings));
      listings_.push_back({});
      listings_.back().host = settings.name;
      listings_.back().port = servers_.back()->port();
    }
    discovery_.update(listings_);
    node_ = std::make_unique<si::NodeProcess>(binary, config);
    node_->await_ready();
  }

  int run() {
    std::printf(
        "node on 127.0.0.1:%d before servers s0, s1 and s2; %.0f calls/s of three classes for %.0f s\n",
        node_->port(), kRate, seconds_);
    std::printf("%4s %7s %8s %7s %9s %9s %9s  %s\n", "s", "served", "refused", "failed", "p50 ms", "p99 ms",
                "attempts", "what happens");
    si::LoadSettings load;
    load.targets = {{"n1", node_->port()}};
    load.classes = {{"lookup", si::CallEffect::kSafe, 2, kTimeoutSeconds, kAimSeconds, 0},
                    {"submit", si::CallEffect::kKeyed, 1, kTimeoutSeconds, kAimSeconds, 200},
                    {"test-close", si::CallEffect::kUnsafe, 1, kTimeoutSeconds, kAimSeconds, 200}};
    load.tenants = {{"centre", 1}};
    load.rate = kRate;
    load.seconds = seconds_;
    load.extra_wait = 0.5;
    load.recorder = &recorder_;
    si::LoadClient client(thread_.loop(), load);
    client.start();
    started_at_ = si::now();
    const std::vector<Step> steps = plan();
    std::size_t next = 0;
    for (double second = 1; second <= seconds_; ++second) {
      std::string events;
      while (next < steps.size() && steps[next].at < second) {
        wait_until(steps[next].at);
        steps[next].act();
        if (!events.empty()) events += "; ";
        events += steps[next].description;
        ++next;
      }
      wait_until(second);
      print(second, events);
    }
    client.wait();
    node_->signal(SIGTERM);
    const int code = node_->exit_code();
    return summary(client.result(), code);
  }

 private:
  struct Step {
    double at;
    std::string description;
    std::function<void()> act;
  };

  std::vector<Step> plan() {
    const double d = seconds_ / 20;
    return {{3 * d, "s0 is killed", [this] { servers_[0]->run("crash"); }},
            {6 * d, "s0 is back, cold", [this] { restart_server(0); }},
            {9 * d, "s1 drains", [this] { discovery_.set_health("s1", "leaving"); }},
            {12 * d, "s1 is gone", [this] { discovery_.set_health("s1", "left"); }},
            {14 * d, "s1 is back, cold", [this] { restart_server(1); }},
            {17 * d, "s2 stops answering for a second", [this] { servers_[2]->run("silent for 1"); }}};
  }

  void restart_server(std::size_t i) {
    servers_[i]->clear_faults();
    char cold[64];
    std::snprintf(cold, sizeof cold, "cold %.2f %.0f 4", kStartCapacity, kRampSeconds);
    servers_[i]->run(cold);
    listings_[i].born_ms = si::unix_ms();
    discovery_.update(listings_[i]);
  }

  void wait_until(double second) const {
    const double left = started_at_ + second - si::now();
    if (left > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left));
  }

  void print(double second, const std::string& events) {
    const double to = started_at_ + second, since = to - 1;
    SecondCounts s;
    for (const si::CallRecord& call : recorder_.calls()) {
      if (call.end == si::CallEnd::kOpen || call.answered_at <= since || call.answered_at > to) continue;
      if (call.end == si::CallEnd::kAnswered && call.status == 200) {
        ++s.served;
        s.times.push_back(call.answered_at - call.sent_at);
      } else if (call.status == 503 || call.status == 429) {
        ++s.refused;
      } else {
        ++s.failed;
      }
    }
    for (const si::AttemptRecord& attempt : recorder_.attempts()) {
      s.attempts += attempt.last_byte_at > since && attempt.last_byte_at <= to;
    }
    std::printf("%4.0f %7d %8d %7d %9.1f %9.1f %9d  %s\n", second, s.served, s.refused, s.failed,
                quantile(s.times, 0.5) * 1000, quantile(s.times, 0.99) * 1000, s.attempts, events.c_str());
    std::fflush(stdout);
  }

  int summary(const si::LoadResult& result, int code) {
    si::CheckerSettings settings;
    settings.classes = checked_classes();
    settings.late_slack = 0.5;
    settings.answer_race_slack = 0.5;
    for (const si::ServerEntry& server : listings_)
      settings.servers.push_back({server.host, server.site, server.block});
    const auto violations = si::Checker(settings).check({recorder_.calls(),
                                                         recorder_.attempts(),
                                                         recorder_.list_changes(),
                                                         recorder_.overloads(),
                                                         {node_->lifetime()}});
    const si::LoadCounts& all = result.all;
    std::printf(
        "\n%llu calls: %llu served, %llu refused, %llu failed or timed out; %zu attempts at servers\n",
        static_cast<unsigned long long>(all.calls), static_cast<unsigned long long>(all.served),
        static_cast<unsigned long long>(all.refused),
        static_cast<unsigned long long>(all.failed + all.timed_out + all.unsent),
        recorder_.attempts().size());
    if (violations.empty() && code == 0) {
      std::printf("kept: no request lost, no effect twice, drains obeyed, no cold server pushed over\n");
      return 0;
    }
    std::printf("%sthe node ended with %d; its log:\n%s", si::to_text(violations).c_str(), code,
                node_->log().c_str());
    return 1;
  }

  const double seconds_;
  si::LoopThread thread_;
  si::Recorder recorder_;
  si::ScriptedDiscovery discovery_{thread_.loop(), &recorder_};
  std::vector<std::unique_ptr<si::ScriptedServer>> servers_;
  std::vector<si::ServerEntry> listings_;
  std::unique_ptr<si::NodeProcess> node_;
  double started_at_ = 0;
};

}  // namespace

int run_demo(const std::string& binary, double seconds) {
  try {
    return Demo(binary, seconds).run();
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand: %s\n", problem.what());
    return 1;
  }
}

}  // namespace nettlestand
