#include "standins/world/world.h"

#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <thread>

namespace nettlestand::standins {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(2);
constexpr double kOverloadFactor = 4;          // times the capacity of a cold server beyond which it fails
constexpr double kStarvePeriodSeconds = 0.02;  // cycle of running and stopping a starved process
constexpr double kStarvationCheckIntervalSeconds = 1;
constexpr double kExitPollIntervalSeconds = 0.02;  // s
constexpr double kMaxLoopDelaySeconds = 0.1;       // a greater delay makes a run invalid
constexpr double kMaxDiskDelaySeconds = 1;         // the shortest lease that a test waits out
// Per check interval; a longer wait for a core makes a run invalid.
constexpr double kMaxCpuWaitSeconds = 0.25;

}  // namespace

ProcessWorld::ProcessWorld(WorldSettings settings) : settings_(std::move(settings)) {
  if (settings_.zones.empty() || settings_.nodes == 0)
    throw std::invalid_argument("a world needs zones and nodes");
  // Each call uses five descriptors in this process: the client's, two for each link, and the server's.
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < files.rlim_max) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  network_ = std::make_unique<Network>(thread_.loop(), settings_.seed);
  discovery_ = std::make_unique<ScriptedDiscovery>(thread_.loop(), &recorder_);
  const auto add = [&](std::string name, Role role, const WorldZone& zone, std::size_t place) {
    members_.push_back({std::move(name), role, zone.name, zone.region});
    machines_.push_back(network_->add_machine());
    role_index_.push_back(place);
    return members_.size() - 1;
  };
  for (std::size_t i = 0; i < settings_.nodes; ++i) {
    node_members_.push_back(
        add("n" + std::to_string(i), Role::kNode, settings_.zones[i % settings_.zones.size()], i));
  }
  for (std::size_t i = 0; i < settings_.servers; ++i) {
    server_members_.push_back(
        add("s" + std::to_string(i), Role::kServer, settings_.zones[i % settings_.zones.size()], i));
  }
  for (std::size_t i = 0; i < settings_.zones.size(); ++i) {
    caller_members_.push_back(
        add("callers-" + settings_.zones[i].name, Role::kCallers, settings_.zones[i], i));
  }
  discovery_member_ = add("discovery", Role::kDiscovery, settings_.zones[0], 0);
  // Belongs to no zone, so that no zone fault includes it.
  members_.back().zone = members_.back().region = "";
  for (std::size_t a = 0; a < members_.size(); ++a) {
    for (std::size_t b = 0; b < members_.size(); ++b) {
      if (a == b || members_[a].zone.empty() || members_[b].zone.empty()) continue;
      LinkFaults far;
      if (members_[a].region != members_[b].region) {
        far.delay = settings_.cross_region_delay;
      } else if (members_[a].zone != members_[b].zone) {
        far.delay = settings_.cross_zone_delay;
      }
      if (far.delay > 0) network_->begin(machines_[a], machines_[b], far);
    }
  }
  if (settings_.peers) {
    peer_port_ = address_of(bind_udp({network_->ip(machines_[node_members_[0]]), 0}).get()).port;
    for (std::size_t i = 0; i < settings_.nodes; ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        network_->udp(machines_[node_members_[i]], peer_port_, machines_[node_members_[j]], peer_port_);
      }
    }
  }
  if (settings_.voters > 0) {
    // The ports stay reserved for the lifetime of the world: otherwise the kernel might assign one to a
    // node's own listener, which asks for any port.
    for (std::size_t j = 0; j < settings_.voters; ++j) {
      voter_ports_.push_back(listen_on(Address{network_->ip(machines_[node_members_[j]]), voter_port_}, -1));
      voter_port_ = port_of(voter_ports_.back().get());
    }
    for (std::size_t i = 0; i < settings_.nodes; ++i) {
      for (std::size_t j = 0; j < settings_.voters; ++j) {
        if (i != j) network_->tcp(machines_[node_members_[i]], machines_[node_members_[j]], voter_port_);
      }
    }
  }
  nodes_.resize(settings_.nodes);
  node_ports_.resize(settings_.nodes);
  logs_.resize(settings_.nodes);
  stalled_on_purpose_.resize(settings_.nodes);
  last_times_.resize(settings_.nodes);
  for (std::size_t i = 0; i < settings_.nodes; ++i) {
    states_.push_back(std::make_unique<StateFolder>());
    interposed_faults_.push_back(settings_.interpose_environment.empty()
                                     ? nullptr
                                     : std::make_unique<InterposedFaults>(states_[i]->path()));
  }
}

ProcessWorld::~ProcessWorld() {
  loads_.clear();
  for (auto& node : nodes_) {
    if (node) node->resume();
    node.reset();
  }
}

bool ProcessWorld::until(const std::function<bool()>& condition, double timeout) {
  for (const double from = now(); !condition();) {
    if (now() - from > timeout) return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

void ProcessWorld::start() {
  const double from = started_at_ = now();
  std::vector<ServerEntry> listings;
  for (std::size_t i = 0; i < settings_.servers; ++i) {
    const std::size_t member = server_members_[i];
    ServerSettings settings = settings_.server;
    settings.name = members_[member].name;
    settings.ip = network_->ip(machines_[member]);
    settings.seed = settings_.seed * 1000 + i;
    settings.recorder = &recorder_;
    servers_.push_back(std::make_unique<ScriptedServer>(thread_.loop(), settings));
    ServerEntry listing;
    listing.host = settings.name;
    listing.port = servers_.back()->port();
    listing.site = members_[member].zone;
    listing.block = static_cast<int>(i / 2);
    listings.push_back(listing);
  }
  discovery_->set_address_mapping([this](const std::string& node, const ServerEntry& server) {
    const std::size_t n = node_members_[std::stoul(node.substr(1))];
    const std::size_t s = server_members_[std::stoul(server.host.substr(1))];
    return network_->tcp(machines_[n], machines_[s], server.port).text();
  });
  discovery_->update(listings);
  network_->refresh_listeners();
  for (std::size_t i = 0; i < settings_.voters && settings_.prepare_voter; ++i)
    settings_.prepare_voter(i, states_[i]->path());
  for (std::size_t i = 0; i < settings_.nodes; ++i) start_node(i);
  for (std::size_t i = 0; i < settings_.nodes; ++i) node_ports_[i] = nodes_[i]->port();
  for (const auto& node : nodes_) node->await_ready();
  start_duration_ = now() - from;
}

NodeConfig ProcessWorld::config_of(std::size_t i) {
  const std::size_t member = node_members_[i];
  NodeConfig config = settings_.node;
  config.name = members_[member].name;
  config.ip = network_->ip(machines_[member]);
  config.listen = node_ports_[i];
  const std::string at = network_->ip(machines_[discovery_member_]);
  const Address discovery = network_->tcp(machines_[member], machines_[discovery_member_],
                                          discovery_->endpoint(config.name, 0, at));
  network_->refresh_listeners();
  config.discovery_ip = discovery.ip;
  config.discovery = discovery.port;
  config.peers = static_cast<int>(settings_.nodes);
  config.position = static_cast<int>(i);
  config.zones.clear();
  for (const WorldZone& zone : settings_.zones) config.zones.push_back(zone.name);
  config.zone = static_cast<int>(i % settings_.zones.size());
  char seed[17];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(settings_.seed * 7919 + i + lifetimes_.size() * 104729));
  config.seed = seed;
  if (settings_.peers) {
    const std::string port = ":" + std::to_string(peer_port_);
    config.peer_listen = config.ip + port;
    for (std::size_t j = 0; j < settings_.nodes; ++j) {
      config.peer_addresses.push_back(
          (j == i ? config.ip : network_->link_ip(machines_[member], machines_[node_members_[j]])) + port);
    }
  }
  return config;
}

ProcessOptions ProcessWorld::options_of(std::size_t i) {
  ProcessOptions options = settings_.process;
  options.environment.push_back("NETTLESTAND_STATE=" + states_[i]->path());
  if (interposed_faults_[i]) {
    options.environment.push_back(settings_.interpose_environment);
    options.environment.push_back(interposed_faults_[i]->environment());
  }
  if (settings_.logs) options.arguments = {"run", "--log-format", "json"};
  if (settings_.voters > 0) options.operator_file += duties_of(i);
  const std::string here = "{state}";
  for (std::size_t at = 0; (at = options.operator_file.find(here, at)) != std::string::npos;) {
    options.operator_file.replace(at, here.size(), states_[i]->path());
  }
  return options;
}

// The [duties] section of a node, with the voters' addresses as this node reaches them.
std::string ProcessWorld::duties_of(std::size_t i) {
  const auto own = [&](std::size_t j) { return network_->ip(machines_[node_members_[j]]); };
  const std::string port = ":" + std::to_string(voter_port_) + "\"\n";
  std::string out = "[duties]\n";
  if (i < settings_.voters) out += "listen = \"" + own(i) + port + "folder = \"{state}\"\n";
  out += settings_.duties;
  for (std::size_t j = 0; j < settings_.voters; ++j) {
    out += "[[voter]]\nname = \"" + members_[node_members_[j]].name + "\"\naddress = \"" +
           (i == j ? own(j) : network_->link_ip(machines_[node_members_[i]], machines_[node_members_[j]])) +
           port;
  }
  return out;
}

// Does nothing for a running node: a node killed by two overlapping faults restarts when the first of them
// ends. Otherwise a second process would replace the first one without a record of its death, and the checker
// would report false violations.
void ProcessWorld::start_node(std::size_t i) {
  if (nodes_[i]) return;
  nodes_[i] = std::make_unique<NodeProcess>(settings_.binary, config_of(i), options_of(i));
  last_times_[i] = {};
}

void ProcessWorld::end_node(std::size_t i, int signal) {
  if (!nodes_[i]) return;
  nodes_[i]->resume();
  nodes_[i]->signal(signal);
  nodes_[i]->exit_code();
  lifetimes_.push_back(nodes_[i]->lifetime());
  logs_[i] += nodes_[i]->log();
  nodes_[i].reset();
  network_->refresh_listeners();
}

CheckerSettings ProcessWorld::checker_settings() const {
  CheckerSettings out;
  for (const NodeRequestClass& c : settings_.node.classes) out.classes.push_back(standins::checked_class(c));
  for (std::size_t i = 0; i < settings_.servers; ++i) {
    out.servers.push_back(
        {"s" + std::to_string(i), members_[server_members_[i]].zone, static_cast<int>(i / 2)});
  }
  // Generous slack, so that the result does not depend on how busy the machine is.
  out.late_slack = 2.5;
  out.answer_race_slack = 0.5;
  out.drain_slack = 0.5;
  out.window_slack = 0.5;
  return out;
}

void ProcessWorld::after(double seconds, std::function<void()> f) {
  scheduled_.emplace(now() + seconds, std::move(f));
}

void ProcessWorld::play(const std::string& script, double seconds) {
  const std::vector<WorldFault> faults = parse_world_script(script, members_);
  for (const WorldFault& fault : faults) {
    if (needs_interposed_faults(fault) && settings_.interpose_environment.empty()) {
      throw ScriptError("line " + std::to_string(fault.line) + ": '" + fault.verb +
                        "' needs a world with seams");
    }
  }
  const double from = now();
  double traffic = 0;
  for (const WorldZone& zone : settings_.zones) traffic += zone.traffic;
  loads_.clear();
  for (std::size_t z = 0; z < settings_.zones.size(); ++z) {
    LoadSettings settings = settings_.load;
    settings.seconds = seconds;
    settings.recorder = &recorder_;
    settings.seed = settings_.seed * 100 + z;
    settings.extra_wait = std::max(settings.extra_wait, 2.7);
    settings.rate *= settings_.zones[z].traffic / traffic;
    settings.targets.clear();
    for (std::size_t i = 0; i < settings_.nodes; ++i) {
      if (settings_.nodes >= settings_.zones.size() && i % settings_.zones.size() != z) continue;
      const Address at =
          network_->tcp(machines_[caller_members_[z]], machines_[node_members_[i]], node_ports_[i]);
      settings.targets.push_back({"n" + std::to_string(i), at.port, at.ip});
    }
    loads_.push_back(std::make_unique<LoadClient>(thread_.loop(), settings));
  }
  network_->refresh_listeners();
  scheduled_.clear();
  for (const WorldFault& fault : faults) {
    scheduled_.emplace(from + fault.at, [this, fault] { begin(fault); });
  }
  std::atomic<std::size_t> ended = 0;
  for (const auto& load : loads_) load->start([&ended] { ++ended; });
  next_starvation_check_ = now() + kStarvationCheckIntervalSeconds;
  const LoopDelayMonitor delay_monitor(thread_.loop());
  const HostStalls before = HostStalls::now();
  while (ended < loads_.size() || (!scheduled_.empty() && scheduled_.begin()->first < from + seconds + 1)) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now()) {
      const auto f = std::move(scheduled_.begin()->second);
      scheduled_.erase(scheduled_.begin());
      f();
    }
    if (now() >= next_starvation_check_) check_starvation();
    std::this_thread::sleep_for(kPollInterval);
  }
  // Ends all remaining faults now, so that the world is healthy again.
  ending_faults_ = true;
  while (!scheduled_.empty()) {
    const auto f = std::move(scheduled_.begin()->second);
    scheduled_.erase(scheduled_.begin());
    f();
  }
  ending_faults_ = false;
  starvation_.record_loop_delay(delay_monitor.max_delay());
  starvation_.machine = HostStalls::now().since(before);
}

void ProcessWorld::check_starvation() {
  next_starvation_check_ = now() + kStarvationCheckIntervalSeconds;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]) continue;
    const ProcessTimes times = nodes_[i]->times();
    const double waited = times.cpu_wait_seconds - last_times_[i].cpu_wait_seconds;
    last_times_[i] = times;
    if (stalled_on_purpose_[i] || waited <= starvation_.max_cpu_wait) continue;
    starvation_.max_cpu_wait = waited;
    starvation_.process = "n" + std::to_string(i);
    starvation_.is_invalid = starvation_.is_invalid || waited > kMaxCpuWaitSeconds;
  }
}

void Starvation::record_loop_delay(double late) {
  record_delay(late, kMaxLoopDelaySeconds, max_loop_delay, "the test doubles' loop");
}

void Starvation::record_disk_delay(double delay) {
  record_delay(delay, kMaxDiskDelaySeconds, max_disk_delay, "the disk");
}

void Starvation::record_delay(double delay, double bound, double& longest, const char* what) {
  if (delay <= bound || delay <= longest) return;
  longest = delay;
  is_invalid = true;
  if (process.empty()) process = what;
}

void ProcessWorld::note(const WorldFault& fault, const char* kind) {
  std::string what = fault.verb == "server" ? to_text(fault.server) : fault.verb;
  for (const double argument : fault.arguments) what += " " + std::to_string(argument).substr(0, 6);
  std::string who = members_[fault.who].name;
  if (fault.to != WorldFault::kNoMember) who += " -> " + members_[fault.to].name;
  events_.push_back({now(), who, kind, what, {{"line", std::to_string(fault.line)}}});
}

void ProcessWorld::begin(const WorldFault& fault) {
  note(fault, "fault");
  if (fault.to != WorldFault::kNoMember) return begin_way(fault);
  switch (members_[fault.who].role) {
    case Role::kNode:
      return begin_node(fault);
    case Role::kServer:
      return begin_server(fault);
    case Role::kDiscovery:
      return begin_discovery(fault);
    case Role::kCallers:
      return;
  }
}

void ProcessWorld::begin_node(const WorldFault& fault) {
  const std::size_t i = role_index_[fault.who];
  const auto end = [this, fault](std::function<void()> f) {
    if (fault.duration == kForever) return;
    after(fault.duration, [this, fault, f = std::move(f)] {
      note(fault, "fault-end");
      f();
    });
  };
  if (fault.verb == "pause") {
    if (!nodes_[i]) return;
    stalled_on_purpose_[i] = true;
    nodes_[i]->pause();
    end([this, i] {
      if (nodes_[i]) nodes_[i]->resume();
      stalled_on_purpose_[i] = false;
    });
  } else if (fault.verb == "starve") {
    stalled_on_purpose_[i] = true;
    end([] {});
    const double until = now() + fault.duration, share = fault.arguments[0];
    starve(i, until, share);
  } else if (fault.verb == "kill" || fault.verb == "restart") {
    end_node(i, SIGKILL);
    if (fault.verb == "restart") {
      start_node(i);
    } else {
      end([this, i] { start_node(i); });
    }
  } else if (fault.verb == "save") {
    states_[i]->save();
  } else if (fault.verb == "forget" || fault.verb == "roll-back") {
    end_node(i, SIGKILL);
    fault.verb == "forget" ? states_[i]->clear() : states_[i]->roll_back();
    start_node(i);
  } else if (needs_interposed_faults(fault)) {
    InterposedFaultSettings& faults = interposed_faults_[i]->settings();
    if (fault.verb == "clock") faults.wall_clock_offset = fault.arguments[0];
    if (fault.verb == "disk-slow") faults.disk_delay_us = static_cast<std::int64_t>(fault.arguments[0] * 1e6);
    if (fault.verb == "disk-full") faults.disk_bytes_left = static_cast<std::int64_t>(fault.arguments[0]);
    if (fault.verb == "disk-torn") faults.torn_write = true;
    end([this, i, verb = fault.verb] {
      InterposedFaultSettings& restored = interposed_faults_[i]->settings();
      if (verb == "clock") restored.wall_clock_offset = 0;
      if (verb == "disk-slow") restored.disk_delay_us = 0;
      if (verb == "disk-full") restored.disk_bytes_left = -1;
      if (verb == "disk-torn") restored.torn_write = false;
    });
  } else if (fault.verb == "term") {
    if (!nodes_[i]) return;
    nodes_[i]->signal(SIGTERM);
    after(kExitPollIntervalSeconds, [this, i, back_at = now() + fault.duration] { poll_exit(i, back_at); });
  }
}

// One stop-and-run cycle of a starved process; schedules the next.
void ProcessWorld::starve(std::size_t i, double until, double share) {
  if (!nodes_[i]) return;
  if (ending_faults_ || now() >= until) {
    stalled_on_purpose_[i] = false;
    return;
  }
  nodes_[i]->pause();
  after(kStarvePeriodSeconds * (1 - share), [this, i, until, share] {
    if (nodes_[i]) nodes_[i]->resume();
    after(kStarvePeriodSeconds * share, [this, i, until, share] { starve(i, until, share); });
  });
}

// Polls for the exit of a node after SIGTERM, so that the script continues meanwhile.
void ProcessWorld::poll_exit(std::size_t i, double back_at) {
  if (nodes_[i] && ending_faults_) nodes_[i]->exit_code();
  if (nodes_[i] && nodes_[i]->running()) {
    return after(kExitPollIntervalSeconds, [this, i, back_at] { poll_exit(i, back_at); });
  }
  end_node(i, SIGKILL);
  if (back_at < kForever) after(std::max(0.0, back_at - now()), [this, i] { start_node(i); });
}

void ProcessWorld::begin_server(const WorldFault& fault) {
  ScriptedServer& server = *servers_[role_index_[fault.who]];
  if (fault.verb == "server") {
    Fault one = fault.server;
    one.at = 0;
    server.begin(one);
    network_->refresh_listeners();
    if (fault.duration != kForever) after(fault.duration, [this, fault] { note(fault, "fault-end"); });
    return;
  }
  const auto list = [this, name = members_[fault.who].name, &server](const std::string& health, bool cold) {
    for (ServerEntry listing : discovery_->list()) {
      if (listing.host != name) continue;
      listing.health = health;
      if (cold) listing.born_ms = unix_ms();
      return discovery_->update(listing);
    }
    ServerEntry listing;
    listing.host = name;
    listing.port = server.port();
    for (std::size_t m : server_members_) {
      if (members_[m].name == name) {
        listing.site = members_[m].zone;
        listing.block = static_cast<int>(role_index_[m] / 2);
      }
    }
    listing.health = health;
    if (cold) listing.born_ms = unix_ms();
    discovery_->update(listing);
  };
  if (fault.verb == "back") {
    server.clear_faults();
    if (settings_.node.ramp_time > 0) {
      Fault cold;
      cold.kind = FaultKind::kCold;
      cold.arg1 = settings_.node.start_capacity;
      cold.arg2 = settings_.node.ramp_time;
      cold.arg3 = kOverloadFactor;
      server.begin(cold);
    }
    network_->refresh_listeners();
    return list("active", true);
  }
  list(fault.verb == "leaving" ? "leaving" : "left", false);
  if (fault.duration != kForever) {
    WorldFault back = fault;
    back.verb = "back";
    back.duration = kForever;
    after(fault.duration, [this, back] { begin(back); });
  }
}

void ProcessWorld::begin_discovery(const WorldFault& fault) {
  using Mode = ScriptedDiscovery::Mode;
  if (fault.verb == "lag") {
    discovery_->set_delay(fault.arguments[0]);
  } else {
    discovery_->set_mode(fault.verb == "refuse"        ? Mode::kRefuse
                         : fault.verb == "unavailable" ? Mode::kUnavailable
                                                       : Mode::kSilent);
  }
  network_->refresh_listeners();
  if (fault.duration == kForever) return;
  after(fault.duration, [this, fault] {
    note(fault, "fault-end");
    if (fault.verb == "lag") {
      discovery_->set_delay(0);
    } else {
      discovery_->set_mode(Mode::kUp);
    }
    network_->refresh_listeners();
  });
}

void ProcessWorld::begin_way(const WorldFault& fault) {
  const int from = machines_[fault.who], to = machines_[fault.to];
  if (fault.verb == "reset") return network_->reset(from, to);
  if (fault.verb == "half-open") return network_->half_open(from, to);
  LinkFaults f;
  const auto argument = [&](std::size_t i) { return i < fault.arguments.size() ? fault.arguments[i] : 0; };
  if (fault.verb == "cut") f.cut = true;
  if (fault.verb == "loss") {
    f.loss = argument(0);
    f.burst = std::max(1.0, argument(1));
  }
  if (fault.verb == "delay") {
    f.delay = argument(0);
    f.jitter = argument(1);
  }
  if (fault.verb == "reorder") f.reorder = argument(0);
  if (fault.verb == "duplicate") f.duplicate = argument(0);
  if (fault.verb == "corrupt") f.corrupt = argument(0);
  if (fault.verb == "band") f.bandwidth = argument(0);
  const std::uint64_t id = network_->begin(from, to, f);
  if (fault.duration == kForever) return;
  after(fault.duration, [this, id, fault] {
    note(fault, "fault-end");
    network_->end(id);
  });
}

Timeline ProcessWorld::finish(bool graceful) {
  loads_.clear();
  if (graceful) {
    for (const auto& node : nodes_) {
      if (node) node->signal(SIGTERM);
    }
  }
  Timeline out;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (graceful && nodes_[i]) nodes_[i]->exit_code();
    end_node(i, SIGKILL);
  }
  out.began = started_at_;
  out.ended = now();
  out.members = members_;
  out.evidence = {recorder_.calls(), recorder_.attempts(), recorder_.list_changes(), recorder_.overloads(),
                  lifetimes_};
  // Uses the time at which a node sent a request, not the time at which a partitioned link delivered it.
  std::map<int, std::vector<Network::DelayedBytes>> held;  // by source port
  for (const Network::DelayedBytes& one : network_->delayed_bytes()) held[one.source_port].push_back(one);
  const std::vector<ConnectionRecord> connections = recorder_.connections();
  for (AttemptRecord& attempt : out.evidence.attempts) {
    const auto it = held.find(connections[attempt.connection].peer_port);
    if (it == held.end()) continue;
    for (const Network::DelayedBytes& one : it->second) {
      if (std::abs(one.delivered - attempt.first_byte_at) < 0.1) {
        attempt.first_byte_at = std::min(attempt.first_byte_at, one.sent);
      }
      if (attempt.last_byte_at > 0 && std::abs(one.delivered - attempt.last_byte_at) < 0.1) {
        attempt.last_byte_at = std::max(attempt.first_byte_at, std::min(attempt.last_byte_at, one.sent));
      }
    }
  }
  out.entries = events_;
  for (std::size_t i = 0; i < logs_.size(); ++i) add_log(out, "n" + std::to_string(i), logs_[i]);
  add_records(out);
  sort(out);
  return out;
}

std::string run_until_valid(int tries, bool& is_invalid,
                            const std::function<std::string(Starvation&)>& play) {
  std::string complaint;
  for (int i = 0; i < tries; ++i) {
    Starvation starvation;
    complaint = play(starvation);
    is_invalid = starvation.is_invalid;
    if (!is_invalid) return complaint;
    std::fprintf(stderr,
                 "void: %s; waited %.2f s of a second for a core, the test doubles' loop late by %.2f s, the "
                 "disk by %.2f s; %s\n",
                 starvation.process.c_str(), starvation.max_cpu_wait, starvation.max_loop_delay,
                 starvation.max_disk_delay, starvation.machine.text().c_str());
  }
  return complaint;
}

}  // namespace nettlestand::standins
