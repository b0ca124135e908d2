// Converts the platform's configuration to gateway Options, so that the test applications are configured the
// same way as the daemon.
#pragma once

#include <string>

#include "daemon/config.h"
#include "nettlestand/gateway.h"

namespace nettlestand::testing {

inline std::string text_of(const boost::asio::ip::tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Divides sockets and memory as daemon/node.cpp does.
inline Options options_of(const Config& config) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto ms = [](double seconds) {
    return duration_cast<milliseconds>(std::chrono::duration<double>(seconds));
  };
  Options out;
  const quinceusher::Settings& s = config.settings;
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const quinceusher::RequestClass& from = s.classes[i];
    ClassOptions to;
    to.name = config.classes[i];
    to.effect = from.effect == quinceusher::Effect::kSafe    ? Effect::kSafe
                : from.effect == quinceusher::Effect::kKeyed ? Effect::kKeyed
                                                             : Effect::kUnsafe;
    to.aim = ms(from.aim);
    to.deadline = ms(from.give_up);
    to.late_worth = from.late_worth;
    to.dedup = from.dedup_scope == quinceusher::DedupScope::kAll    ? Dedup::kAll
               : from.dedup_scope == quinceusher::DedupScope::kZone ? Dedup::kZone
                                                                    : Dedup::kCell;
    to.dedup_window = ms(from.dedup_window);
    out.classes.push_back(to);
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i)
    out.tenants.push_back({config.tenants[i], s.tenants[i].allowance});
  out.zones = config.zones;
  if (static_cast<std::size_t>(s.zone) < out.zones.size())
    out.zone = out.zones[static_cast<std::size_t>(s.zone)];
  if (config.last_known_servers) {
    for (const ListedServer& from : config.last_known_servers->servers) {
      ServerOptions to;
      to.name = from.info.address;
      to.address = text_of(from.endpoint);
      to.cell = from.info.cell;
      to.weight = from.info.weight;
      out.servers.push_back(to);
    }
    out.servers_version = config.last_known_servers->seq;
  }
  out.discovery = text_of(*config.discovery);
  out.position = s.copy_index;
  out.peers = s.copy_count;
  out.tier = s.tier;
  out.seed = config.seed;
  out.max_attempts = s.max_attempts;
  out.max_retry_after = ms(s.max_retry_after);
  out.start_capacity = s.start_capacity;
  out.ramp_time = ms(s.ramp_time);
  out.connect_timeout = ms(config.connect_timeout);
  out.idle_close = ms(config.server_idle_timeout);
  out.sockets = (config.sockets - 40) * 9 / 20;
  out.memory = config.memory_mb * 1024 * 1024;
  return out;
}

}  // namespace nettlestand::testing
