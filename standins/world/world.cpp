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

constexpr auto kStep = std::chrono::milliseconds(2);
constexpr double kTipMultiple = 4;    // of what a cold server can do; beyond it, it falls over
constexpr double kTurn = 0.02;        // s; of a process that is starved
constexpr double kLookEvery = 1;      // s between looks at who waited for a core
constexpr double kLookForEnd = 0.02;  // s
constexpr double kMostLate = 0.1;     // s; later than that, and a run is void
constexpr double kMostWaited = 0.25;  // s of that, beyond which a run is void

}  // namespace

ProcessWorld::ProcessWorld(WorldSettings settings) : s_(std::move(settings)) {
  if (s_.zones.empty() || s_.nodes == 0) throw std::invalid_argument("a world needs zones and nodes");
  // Each call holds five descriptors here: its caller's, two of each link, its server's.
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur < files.rlim_max) {
    files.rlim_cur = files.rlim_max;
    setrlimit(RLIMIT_NOFILE, &files);
  }
  network_ = std::make_unique<Network>(thread_.loop(), s_.seed);
  discovery_ = std::make_unique<ScriptedDiscovery>(thread_.loop(), &recorder_);
  const auto add = [&](std::string name, Role role, const WorldZone& zone, std::size_t place) {
    members_.push_back({std::move(name), role, zone.name, zone.region});
    machines_.push_back(network_->add_machine());
    place_.push_back(place);
    return members_.size() - 1;
  };
  for (std::size_t i = 0; i < s_.nodes; ++i) {
    node_members_.push_back(add("n" + std::to_string(i), Role::kNode, s_.zones[i % s_.zones.size()], i));
  }
  for (std::size_t i = 0; i < s_.servers; ++i) {
    server_members_.push_back(add("s" + std::to_string(i), Role::kServer, s_.zones[i % s_.zones.size()], i));
  }
  for (std::size_t i = 0; i < s_.zones.size(); ++i) {
    caller_members_.push_back(add("callers-" + s_.zones[i].name, Role::kCallers, s_.zones[i], i));
  }
  discovery_member_ = add("discovery", Role::kDiscovery, s_.zones[0], 0);
  members_.back().zone = members_.back().region = "";  // of no zone: lost with none
  for (std::size_t a = 0; a < members_.size(); ++a) {
    for (std::size_t b = 0; b < members_.size(); ++b) {
      if (a == b || members_[a].zone.empty() || members_[b].zone.empty()) continue;
      LinkFaults far;
      if (members_[a].region != members_[b].region) {
        far.delay = s_.between_regions;
      } else if (members_[a].zone != members_[b].zone) {
        far.delay = s_.between_zones;
      }
      if (far.delay > 0) network_->begin(machines_[a], machines_[b], far);
    }
  }
  if (s_.peers) {
    peer_port_ = address_of(datagrams_at({network_->ip(machines_[node_members_[0]]), 0}).get()).port;
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      for (std::size_t j = 0; j < i; ++j) {
        network_->udp(machines_[node_members_[i]], peer_port_, machines_[node_members_[j]], peer_port_);
      }
    }
  }
  if (s_.voters > 0) {
    // Held while the world lives: the kernel would give it to a node's own listener, which asks for any port.
    for (std::size_t j = 0; j < s_.voters; ++j) {
      voter_ports_.push_back(listen_on(Address{network_->ip(machines_[node_members_[j]]), voter_port_}, -1));
      voter_port_ = port_of(voter_ports_.back().get());
    }
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      for (std::size_t j = 0; j < s_.voters; ++j) {
        if (i != j) network_->tcp(machines_[node_members_[i]], machines_[node_members_[j]], voter_port_);
      }
    }
  }
  nodes_.resize(s_.nodes);
  node_ports_.resize(s_.nodes);
  logs_.resize(s_.nodes);
  meant_.resize(s_.nodes);
  seen_.resize(s_.nodes);
  for (std::size_t i = 0; i < s_.nodes; ++i) {
    states_.push_back(std::make_unique<StateFolder>());
    seams_.push_back(s_.seams.empty() ? nullptr : std::make_unique<Seams>(states_[i]->path()));
  }
}

ProcessWorld::~ProcessWorld() {
  loads_.clear();
  for (auto& node : nodes_) {
    if (node) node->resume();
    node.reset();
  }
}

bool ProcessWorld::until(const std::function<bool()>& holds, double patience) {
  for (const double from = now(); !holds();) {
    if (now() - from > patience) return false;
    std::this_thread::sleep_for(kStep);
  }
  return true;
}

void ProcessWorld::start() {
  const double from = began_ = now();
  std::vector<ServerEntry> listings;
  for (std::size_t i = 0; i < s_.servers; ++i) {
    const std::size_t member = server_members_[i];
    ServerSettings settings = s_.server;
    settings.name = members_[member].name;
    settings.ip = network_->ip(machines_[member]);
    settings.seed = s_.seed * 1000 + i;
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
  for (std::size_t i = 0; i < s_.voters && s_.before_voting; ++i) s_.before_voting(i, states_[i]->path());
  for (std::size_t i = 0; i < s_.nodes; ++i) start_node(i);
  for (std::size_t i = 0; i < s_.nodes; ++i) node_ports_[i] = nodes_[i]->port();
  for (const auto& node : nodes_) node->await_ready();
  start_took_ = now() - from;
}

NodeConfig ProcessWorld::config_of(std::size_t i) {
  const std::size_t member = node_members_[i];
  NodeConfig config = s_.node;
  config.name = members_[member].name;
  config.ip = network_->ip(machines_[member]);
  config.listen = node_ports_[i];
  const std::string at = network_->ip(machines_[discovery_member_]);
  const Address discovery = network_->tcp(machines_[member], machines_[discovery_member_],
                                          discovery_->endpoint(config.name, 0, at));
  network_->refresh_listeners();
  config.discovery_ip = discovery.ip;
  config.discovery = discovery.port;
  config.peers = static_cast<int>(s_.nodes);
  config.position = static_cast<int>(i);
  config.zones.clear();
  for (const WorldZone& zone : s_.zones) config.zones.push_back(zone.name);
  config.zone = static_cast<int>(i % s_.zones.size());
  char seed[17];
  std::snprintf(seed, sizeof seed, "%016llx",
                static_cast<unsigned long long>(s_.seed * 7919 + i + lives_.size() * 104729));
  config.seed = seed;
  if (s_.peers) {
    const std::string port = ":" + std::to_string(peer_port_);
    config.peer_listen = config.ip + port;
    for (std::size_t j = 0; j < s_.nodes; ++j) {
      config.others.push_back(
          (j == i ? config.ip : network_->link_ip(machines_[member], machines_[node_members_[j]])) + port);
    }
  }
  return config;
}

ProcessOptions ProcessWorld::options_of(std::size_t i) {
  ProcessOptions options = s_.process;
  options.environment.push_back("NETTLESTAND_STATE=" + states_[i]->path());
  if (seams_[i]) {
    options.environment.push_back(s_.seams);
    options.environment.push_back(seams_[i]->environment());
  }
  if (s_.logs) options.arguments = {"run", "--log-format", "json"};
  if (s_.voters > 0) options.operator_file += duties_of(i);
  const std::string here = "{state}";
  for (std::size_t at = 0; (at = options.operator_file.find(here, at)) != std::string::npos;) {
    options.operator_file.replace(at, here.size(), states_[i]->path());
  }
  return options;
}

// A node's [duties] and the voters as it reaches them.
std::string ProcessWorld::duties_of(std::size_t i) {
  const auto own = [&](std::size_t j) { return network_->ip(machines_[node_members_[j]]); };
  const std::string port = ":" + std::to_string(voter_port_) + "\"\n";
  std::string out = "[duties]\n";
  if (i < s_.voters) out += "listen = \"" + own(i) + port + "folder = \"{state}\"\n";
  out += s_.duties;
  for (std::size_t j = 0; j < s_.voters; ++j) {
    out += "[[voter]]\nname = \"" + members_[node_members_[j]].name + "\"\naddress = \"" +
           (i == j ? own(j) : network_->link_ip(machines_[node_members_[i]], machines_[node_members_[j]])) +
           port;
  }
  return out;
}

// A node that two faults have killed is back with the first of their ends. Guards the verdict: in its place
// another process would start, and this one would be gone with no word of its death in the records.
void ProcessWorld::start_node(std::size_t i) {
  if (nodes_[i]) return;
  nodes_[i] = std::make_unique<NodeProcess>(s_.binary, config_of(i), options_of(i));
  seen_[i] = {};
}

void ProcessWorld::end_node(std::size_t i, int signal) {
  if (!nodes_[i]) return;
  nodes_[i]->resume();
  nodes_[i]->signal(signal);
  nodes_[i]->exit_code();
  lives_.push_back(nodes_[i]->life());
  logs_[i] += nodes_[i]->log();
  nodes_[i].reset();
  network_->refresh_listeners();
}

CheckerSettings ProcessWorld::checked() const {
  CheckerSettings out;
  for (const NodeClass& c : s_.node.classes) out.classes.push_back(standins::checked(c));
  for (std::size_t i = 0; i < s_.servers; ++i) {
    out.servers.push_back(
        {"s" + std::to_string(i), members_[server_members_[i]].zone, static_cast<int>(i / 2)});
  }
  // The verdict must not hang on how busy the machine is.
  out.late_slack = 2.5;
  out.crossing = 0.5;
  out.drain_slack = 0.5;
  out.window_slack = 0.5;
  return out;
}

void ProcessWorld::after(double seconds, std::function<void()> f) {
  due_.emplace(now() + seconds, std::move(f));
}

void ProcessWorld::play(const std::string& script, double seconds) {
  const std::vector<WorldFault> faults = read_world_script(script, members_);
  for (const WorldFault& fault : faults) {
    if (needs_seams(fault) && s_.seams.empty()) {
      throw ScriptError("line " + std::to_string(fault.line) + ": '" + fault.verb +
                        "' needs a world with seams");
    }
  }
  const double from = now();
  double traffic = 0;
  for (const WorldZone& zone : s_.zones) traffic += zone.traffic;
  loads_.clear();
  for (std::size_t z = 0; z < s_.zones.size(); ++z) {
    LoadSettings settings = s_.load;
    settings.seconds = seconds;
    settings.recorder = &recorder_;
    settings.seed = s_.seed * 100 + z;
    settings.extra_wait = std::max(settings.extra_wait, 2.7);
    settings.rate *= s_.zones[z].traffic / traffic;
    settings.targets.clear();
    for (std::size_t i = 0; i < s_.nodes; ++i) {
      if (s_.nodes >= s_.zones.size() && i % s_.zones.size() != z) continue;
      const Address at =
          network_->tcp(machines_[caller_members_[z]], machines_[node_members_[i]], node_ports_[i]);
      settings.targets.push_back({"n" + std::to_string(i), at.port, at.ip});
    }
    loads_.push_back(std::make_unique<LoadClient>(thread_.loop(), settings));
  }
  network_->refresh_listeners();
  due_.clear();
  for (const WorldFault& fault : faults) {
    due_.emplace(from + fault.at, [this, fault] { begin(fault); });
  }
  std::atomic<std::size_t> ended = 0;
  for (const auto& load : loads_) load->start([&ended] { ++ended; });
  next_look_ = now() + kLookEvery;
  const LoopBeat beat(thread_.loop());
  const MachineWaits before = MachineWaits::now();
  while (ended < loads_.size() || (!due_.empty() && due_.begin()->first < from + seconds + 1)) {
    while (!due_.empty() && due_.begin()->first <= now()) {
      const auto f = std::move(due_.begin()->second);
      due_.erase(due_.begin());
      f();
    }
    if (now() >= next_look_) watch_starvation();
    std::this_thread::sleep_for(kStep);
  }
  // What was to end later ends now: the world is well again.
  ending_ = true;
  while (!due_.empty()) {
    const auto f = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    f();
  }
  ending_ = false;
  starvation_.count_loop(beat.most_late());
  starvation_.machine = MachineWaits::now().since(before);
}

void ProcessWorld::watch_starvation() {
  next_look_ = now() + kLookEvery;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i]) continue;
    const ProcessTimes times = nodes_[i]->times();
    const double waited = times.waited - seen_[i].waited;
    seen_[i] = times;
    if (meant_[i] || waited <= starvation_.most) continue;
    starvation_.most = waited;
    starvation_.whose = "n" + std::to_string(i);
    starvation_.is_void = starvation_.is_void || waited > kMostWaited;
  }
}

void Starvation::count_loop(double late) {
  if (late <= kMostLate || late <= loop_late) return;
  loop_late = late;
  is_void = true;
  if (whose.empty()) whose = "the stand-ins' loop";
}

void ProcessWorld::note(const WorldFault& fault, const char* kind) {
  std::string what = fault.verb == "server" ? to_text(fault.server) : fault.verb;
  for (const double figure : fault.figures) what += " " + std::to_string(figure).substr(0, 6);
  std::string who = members_[fault.who].name;
  if (fault.to != WorldFault::kNobody) who += " -> " + members_[fault.to].name;
  happened_.push_back({now(), who, kind, what, {{"line", std::to_string(fault.line)}}});
}

void ProcessWorld::begin(const WorldFault& fault) {
  note(fault, "fault");
  if (fault.to != WorldFault::kNobody) return begin_way(fault);
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
  const std::size_t i = place_[fault.who];
  const auto end = [this, fault](std::function<void()> f) {
    if (fault.lasts == kForever) return;
    after(fault.lasts, [this, fault, f = std::move(f)] {
      note(fault, "fault-end");
      f();
    });
  };
  if (fault.verb == "pause") {
    if (!nodes_[i]) return;
    meant_[i] = true;
    nodes_[i]->pause();
    end([this, i] {
      if (nodes_[i]) nodes_[i]->resume();
      meant_[i] = false;
    });
  } else if (fault.verb == "starve") {
    meant_[i] = true;
    end([] {});
    const double until = now() + fault.lasts, share = fault.figures[0];
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
    fault.verb == "forget" ? states_[i]->lose() : states_[i]->roll_back();
    start_node(i);
  } else if (needs_seams(fault)) {
    SeamSettings& seam = seams_[i]->settings();
    if (fault.verb == "clock") seam.wall_offset = fault.figures[0];
    if (fault.verb == "disk-slow") seam.disk_delay_us = static_cast<std::int64_t>(fault.figures[0] * 1e6);
    if (fault.verb == "disk-full") seam.disk_left = static_cast<std::int64_t>(fault.figures[0]);
    if (fault.verb == "disk-torn") seam.torn = true;
    end([this, i, verb = fault.verb] {
      SeamSettings& well = seams_[i]->settings();
      if (verb == "clock") well.wall_offset = 0;
      if (verb == "disk-slow") well.disk_delay_us = 0;
      if (verb == "disk-full") well.disk_left = -1;
      if (verb == "disk-torn") well.torn = false;
    });
  } else if (fault.verb == "term") {
    if (!nodes_[i]) return;
    nodes_[i]->signal(SIGTERM);
    after(kLookForEnd, [this, i, back_at = now() + fault.lasts] { await_end(i, back_at); });
  }
}

// One turn of a process that runs for a part of the time, and then the next.
void ProcessWorld::starve(std::size_t i, double until, double share) {
  if (!nodes_[i]) return;
  if (ending_ || now() >= until) {
    meant_[i] = false;
    return;
  }
  nodes_[i]->pause();
  after(kTurn * (1 - share), [this, i, until, share] {
    if (nodes_[i]) nodes_[i]->resume();
    after(kTurn * share, [this, i, until, share] { starve(i, until, share); });
  });
}

// A node's end after SIGTERM is awaited in looks, so that the script goes on meanwhile.
void ProcessWorld::await_end(std::size_t i, double back_at) {
  if (nodes_[i] && ending_) nodes_[i]->exit_code();
  if (nodes_[i] && nodes_[i]->running()) {
    return after(kLookForEnd, [this, i, back_at] { await_end(i, back_at); });
  }
  end_node(i, SIGKILL);
  if (back_at < kForever) after(std::max(0.0, back_at - now()), [this, i] { start_node(i); });
}

void ProcessWorld::begin_server(const WorldFault& fault) {
  ScriptedServer& server = *servers_[place_[fault.who]];
  if (fault.verb == "server") {
    Fault one = fault.server;
    one.at = 0;
    server.begin(one);
    network_->refresh_listeners();
    if (fault.lasts != kForever) after(fault.lasts, [this, fault] { note(fault, "fault-end"); });
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
        listing.block = static_cast<int>(place_[m] / 2);
      }
    }
    listing.health = health;
    if (cold) listing.born_ms = unix_ms();
    discovery_->update(listing);
  };
  if (fault.verb == "back") {
    server.clear_faults();
    if (s_.node.ramp_time > 0) {
      Fault cold;
      cold.kind = FaultKind::kCold;
      cold.arg1 = s_.node.start_capacity;
      cold.arg2 = s_.node.ramp_time;
      cold.arg3 = kTipMultiple;
      server.begin(cold);
    }
    network_->refresh_listeners();
    return list("active", true);
  }
  list(fault.verb == "leaving" ? "leaving" : "left", false);
  if (fault.lasts != kForever) {
    WorldFault back = fault;
    back.verb = "back";
    back.lasts = kForever;
    after(fault.lasts, [this, back] { begin(back); });
  }
}

void ProcessWorld::begin_discovery(const WorldFault& fault) {
  using Mode = ScriptedDiscovery::Mode;
  if (fault.verb == "lag") {
    discovery_->set_delay(fault.figures[0]);
  } else {
    discovery_->set_mode(fault.verb == "refuse"        ? Mode::kRefuse
                         : fault.verb == "unavailable" ? Mode::kUnavailable
                                                       : Mode::kSilent);
  }
  network_->refresh_listeners();
  if (fault.lasts == kForever) return;
  after(fault.lasts, [this, fault] {
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
  const auto figure = [&](std::size_t i) { return i < fault.figures.size() ? fault.figures[i] : 0; };
  if (fault.verb == "cut") f.cut = true;
  if (fault.verb == "loss") {
    f.loss = figure(0);
    f.burst = std::max(1.0, figure(1));
  }
  if (fault.verb == "delay") {
    f.delay = figure(0);
    f.jitter = figure(1);
  }
  if (fault.verb == "reorder") f.reorder = figure(0);
  if (fault.verb == "duplicate") f.duplicate = figure(0);
  if (fault.verb == "corrupt") f.corrupt = figure(0);
  if (fault.verb == "band") f.bandwidth = figure(0);
  const std::uint64_t id = network_->begin(from, to, f);
  if (fault.lasts == kForever) return;
  after(fault.lasts, [this, id, fault] {
    note(fault, "fault-end");
    network_->end(id);
  });
}

Timeline ProcessWorld::finish(bool gently) {
  loads_.clear();
  if (gently) {
    for (const auto& node : nodes_) {
      if (node) node->signal(SIGTERM);
    }
  }
  Timeline out;
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (gently && nodes_[i]) nodes_[i]->exit_code();
    end_node(i, SIGKILL);
  }
  out.began = began_;
  out.ended = now();
  out.members = members_;
  out.evidence = {recorder_.calls(), recorder_.attempts(), recorder_.told(), recorder_.fallen(), lives_};
  // When a node sent it, and not when a way that was cut let it through.
  std::map<int, std::vector<Network::DelayedBytes>> held;  // by port
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
  out.entries = happened_;
  for (std::size_t i = 0; i < logs_.size(); ++i) add_log(out, "n" + std::to_string(i), logs_[i]);
  add_records(out);
  sort(out);
  return out;
}

std::string play_unstarved(int tries, bool& is_void, const std::function<std::string(Starvation&)>& play) {
  std::string complaint;
  for (int i = 0; i < tries; ++i) {
    Starvation starvation;
    complaint = play(starvation);
    is_void = starvation.is_void;
    if (!is_void) return complaint;
    std::fprintf(
        stderr, "void: %s; waited %.2f s of a second for a core, the stand-ins' loop late by %.2f s; %s\n",
        starvation.whose.c_str(), starvation.most, starvation.loop_late, starvation.machine.text().c_str());
  }
  return complaint;
}

}  // namespace nettlestand::standins
