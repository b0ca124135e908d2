#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include "lab/runners.h"

namespace nettlestand::lab {
namespace {

namespace si = standins;

constexpr double kForeverSeconds = 1e6;   // s
constexpr double kRestartSeconds = 0.05;  // downtime of a node that is killed and restarted at once
// A server that gets more than this multiple of its present capacity over 2 s fails, as at the site.
constexpr double kOverloadMultiple = 3;

fleet::FaultKind emulator_fault_kind(const si::Fault& fault) {
  switch (fault.kind) {
    case si::FaultKind::kRefuse:
    case si::FaultKind::kReject:
      return fleet::FaultKind::kRefuse;
    case si::FaultKind::kHang:
      return fleet::FaultKind::kHangConnect;
    case si::FaultKind::kSilent:
      return fleet::FaultKind::kSilent;
    case si::FaultKind::kResetAfterRequest:
      return fleet::FaultKind::kReset;
    case si::FaultKind::kError:
      return fleet::FaultKind::kError;
    case si::FaultKind::kSlower:
      return fleet::FaultKind::kSlow;
    case si::FaultKind::kCrash:
      return fleet::FaultKind::kCrash;
    default:
      throw UnsupportedSetup("the emulator does not support '" + si::to_text(fault) + "'");
  }
}

// Collects the cut links between nodes and servers. Nodes that lose the same servers over the same interval
// form one fault.
class PartitionCollector {
 public:
  void add(double from, double until, std::size_t copy, std::size_t server) {
    copies_by_interval_[{from, until}][copy].insert(server);
  }
  void append_to(fleet::Spec& spec) const {
    for (const auto& [when, copies] : copies_by_interval_) {
      std::map<std::set<std::size_t>, std::vector<std::size_t>> copies_by_servers;
      for (const auto& [copy, servers] : copies) copies_by_servers[servers].push_back(copy);
      for (const auto& [servers, together] : copies_by_servers) {
        fleet::Fault fault;
        fault.kind = fleet::FaultKind::kCut;
        fault.from = when.first;
        fault.until = when.second;
        fault.affected_servers.resize(spec.servers);
        fault.affected_balancers.resize(spec.balancers);
        for (const std::size_t s : servers) fault.affected_servers[s] = 1;
        for (const std::size_t c : together) fault.affected_balancers[c] = 1;
        spec.faults.push_back(fault);
      }
    }
  }

 private:
  std::map<std::pair<double, double>, std::map<std::size_t, std::set<std::size_t>>> copies_by_interval_;
};

}  // namespace

fleet::Spec emulator_spec(const Setup& setup, std::uint64_t seed) {
  fleet::Spec out;
  out.servers = setup.servers;
  out.balancers = setup.nodes;
  out.cores = setup.cores;
  out.work = setup.service_time;
  out.draw = setup.work_distribution == "fixed"     ? fleet::WorkDraw::kFixed
             : setup.work_distribution == "uniform" ? fleet::WorkDraw::kUniform
                                                    : fleet::WorkDraw::kExponential;
  out.aim = setup.latency_target;
  out.give_up = setup.deadline;
  out.effect = setup.effect == "safe" ? quinceusher::Effect::kSafe : quinceusher::Effect::kUnsafe;
  const double each = 1.0 / setup.tenants;
  for (int i = 0; i < setup.tenants; ++i) {
    out.tenants.push_back({setup.capacity() * each, setup.capacity() * setup.load * each});
  }
  for (const auto& [at, factor] : setup.steps) out.steps.push_back({at, factor});
  out.seconds = setup.seconds;
  out.count_from = setup.count_from;
  out.max_attempts = setup.max_attempts;
  out.follow_after = setup.membership_delay;
  out.start_capacity = setup.start_capacity;
  out.ramp_time = setup.ramp_time;
  out.tip_multiple = kOverloadMultiple;
  out.tip_after = 2;
  out.zones = setup.zones.size();
  out.between_zones = setup.cross_zone_delay;
  out.uneven = setup.traffic_skew;
  out.tries = setup.tries;
  out.retry_pause = setup.mean_retry_delay;
  out.seed = seed;

  const std::vector<si::Member> members = setup.members();
  const auto server = [&](std::size_t member) { return member - setup.nodes; };
  PartitionCollector partitions;
  for (const si::WorldFault& f : setup.faults()) {
    const si::Member& who = members[f.who];
    const double until = f.duration == si::kForever ? kForeverSeconds : f.at + f.duration;
    if (f.to != si::WorldFault::kNoMember) {
      const si::Member& to = members[f.to];
      if (f.verb != "cut")
        throw UnsupportedSetup("the emulator does not support '" + f.verb + "' on links; only 'cut'");
      if (who.role == si::Role::kNode && to.role == si::Role::kServer)
        partitions.add(f.at, until, f.who, server(f.to));
      if (who.role == si::Role::kServer && to.role == si::Role::kNode)
        partitions.add(f.at, until, f.to, server(f.who));
      const bool callers = who.role == si::Role::kCallers || to.role == si::Role::kCallers;
      const bool node = who.role == si::Role::kNode || to.role == si::Role::kNode;
      if (callers && node && who.zone == to.zone)
        throw UnsupportedSetup("the emulator does not support links cut between callers and nodes");
      continue;  // other links carry only discovery updates, which the emulator delivers at once
    }
    switch (who.role) {
      case si::Role::kNode: {
        fleet::BalancerFault fault;
        fault.from = f.at;
        fault.until = f.verb == "restart" ? f.at + kRestartSeconds : until;
        fault.balancer = f.who;
        if (f.verb == "pause") {
          fault.kind = fleet::BalancerFault::Kind::kPause;
        } else if (f.verb == "kill" || f.verb == "restart") {
          fault.kind = fleet::BalancerFault::Kind::kKill;
        } else {
          throw UnsupportedSetup("the emulator does not support '" + f.verb + "' for nodes");
        }
        out.balancer_faults.push_back(fault);
        break;
      }
      case si::Role::kServer: {
        const std::size_t place = server(f.who);
        if (f.verb == "server") {
          fleet::Fault fault;
          fault.kind = emulator_fault_kind(f.server);
          fault.from = f.at;
          fault.until = until;
          fault.first = place;
          fault.count = 1;
          fault.factor = f.server.arg1 > 0 ? f.server.arg1 : 1;
          fault.every = static_cast<std::size_t>(std::max(1, f.server.every));
          out.faults.push_back(fault);
          break;
        }
        fleet::ListChange change;
        change.at = f.at;
        change.first = place;
        change.state = f.verb == "leaving" ? quinceusher::ServerState::kDraining
                       : f.verb == "gone"  ? quinceusher::ServerState::kGone
                                           : quinceusher::ServerState::kReady;
        change.restarted = f.verb == "back";
        out.changes.push_back(change);
        if (f.verb != "back" && f.duration != si::kForever) {
          change.at = until;
          change.state = quinceusher::ServerState::kReady;
          change.restarted = true;
          out.changes.push_back(change);
        }
        break;
      }
      default:
        throw UnsupportedSetup("the emulator does not support discovery faults: it delivers updates at once");
    }
  }
  partitions.append_to(out);
  // Changes at the same time are delivered together, as one discovery list.
  std::stable_sort(out.changes.begin(), out.changes.end(),
                   [](const fleet::ListChange& a, const fleet::ListChange& b) { return a.at < b.at; });
  std::vector<fleet::ListChange> together;
  for (const fleet::ListChange& change : out.changes) {
    fleet::ListChange* last = together.empty() ? nullptr : &together.back();
    if (last == nullptr || last->at != change.at || last->state != change.state ||
        last->restarted != change.restarted) {
      together.push_back(change);
      together.back().servers.assign(out.servers, 0);
      last = &together.back();
    }
    last->servers[change.first] = 1;
  }
  out.changes = std::move(together);
  return out;
}

void check_emulator_support(const Setup& setup) { emulator_spec(setup, 1); }

Run run_emulated(const Setup& setup, std::uint64_t seed) {
  fleet::Result played = fleet::play(emulator_spec(setup, seed));
  Run out;
  out.variant = setup.variant;
  out.seed = seed;
  std::vector<float> all;
  for (std::size_t second = 0; second < static_cast<std::size_t>(std::ceil(setup.seconds)); ++second) {
    for (std::size_t zone = 0; zone < setup.zones.size(); ++zone) {
      fleet::RequestOutcomes& a = played.requests[second][zone];
      out.series.push_back({static_cast<int>(second), setup.zones[zone], a.asked, a.in_aim, a.refused,
                            a.failed, 1000 * quantile(a.latencies, 0.99)});
      if (static_cast<double>(second) < setup.count_from) continue;
      out.asked += a.asked;
      out.in_aim += a.in_aim;
      out.served += a.served;
      out.refused += a.refused;
      out.failed += a.failed;
      out.tries += a.tries;
      out.attempts += a.attempts;
      all.insert(all.end(), a.latencies.begin(), a.latencies.end());
    }
  }
  out.p50_ms = 1000 * quantile(all, 0.5);
  out.p99_ms = 1000 * quantile(all, 0.99);
  const auto [from, until] = setup.fault_window();
  out.recovery_s = recovery_time(out.series, setup.count_from, from, until, setup.seconds);
  out.rules_broken = played.repeats_run + played.unanswered + played.answered_twice +
                     played.sent_after_drain + played.fallen_over;
  return out;
}

}  // namespace nettlestand::lab
