#include "forwarding/server_pool.h"

#include <algorithm>
#include <cmath>

#include "quinceusher/balancer.h"

namespace nettlestand::tier {
namespace {

constexpr std::size_t kSubset = 8;  // servers at least: enough spread, few connections
constexpr std::size_t kCover = 2;   // nodes that use each server, at least
constexpr Millis kLeastPatienceMs = 300;
constexpr double kPatienceTimes = 6;   // x the usual time to the first byte
constexpr double kSuspectTimes = 2.5;  // the same, before a silent server is looked at again
constexpr Millis kLeastSuspectMs = 80;
constexpr double kFirstByteGain = 0.05;
constexpr int kFailuresToShun = 2;  // in a row
constexpr Millis kShunMs = 700;     // doubled with each further failure
constexpr Millis kMostShunMs = 3000;
constexpr double kItemShare = 0.8;  // of a server's slots that calls may fill before items stay away
// Calls that may run at a server before items stay away, however many slots it has: each one makes the events
// of all others come more slowly, until the pauses of live streams are beyond their aim.
constexpr double kMostBesideItems = 48;
constexpr int kItemQueue = 1;          // calls that wait at a server, beyond which items stay away
constexpr int kCrowdedQueue = 4;       // from so many on live calls look for another server
constexpr double kOpenTimes = 2;       // x the nodes that a server has room for may send it an item untold:
                                       // most have none at a time
constexpr Millis kLoadFreshMs = 400;   // what a server told of its load counts for so long
constexpr int kSilentItems = 2;        // items at a server that wait for their first byte, from one node
constexpr double kCrowdedShare = 0.7;  // of a server's slots

// Admission: a project's defaults round the source's design.
constexpr double kBucketSeconds = 0.1;
constexpr int kBuckets = 20;
constexpr int kLastSecondBuckets = 10;
constexpr double kStartLimit = 400;  // calls per second: generous
constexpr double kFloorLimit = 20;
// Denied calls count too: with a lower factor a client that keeps asking would be denied whole for ever.
constexpr double kHardLimitFactor = 20;
constexpr quinceusher::SuppressionParameters kSuppression{
    kBuckets * kBucketSeconds, kLastSecondBuckets* kBucketSeconds, 10, kHardLimitFactor, 0.1};

}  // namespace

void ServerPool::set_servers(const std::vector<ListedServer>& servers) {
  std::map<std::string, ServiceView> services;
  std::unordered_map<std::string, Server> kept;
  for (const ListedServer& told : servers) {
    Server& server = kept[told.id];
    if (const auto known = servers_.find(told.id); known != servers_.end()) server = known->second;
    server.told = told;
    if (server.slots == 0) server.slots = static_cast<int>(told.slots);
    services[told.service].all.push_back(told.id);
  }
  // Calls that are out at a server that is gone are still to be told of.
  for (auto& [id, server] : servers_) {
    if (kept.contains(id) || server.in_flight == 0) continue;
    server.told.draining = true;
    kept.emplace(id, server);
  }
  servers_ = std::move(kept);
  for (auto& [name, view] : services) {
    if (const auto known = services_.find(name); known != services_.end()) {
      view.first_byte_ms = known->second.first_byte_ms;
      view.measured = known->second.measured;
    }
  }
  services_ = std::move(services);
  for (auto& [name, view] : services_) rebuild(view);
}

void ServerPool::set_position(Position overall, Position in_zone) {
  if (overall == overall_ && in_zone == in_zone_) return;
  overall_ = overall;
  in_zone_ = in_zone;
  for (auto& [name, view] : services_) rebuild(view);
}

void ServerPool::rebuild(ServiceView& view) {
  std::erase_if(view.all, [this](const std::string& id) { return servers_.at(id).told.draining; });
  std::sort(view.all.begin(), view.all.end(), [](const std::string& a, const std::string& b) {
    return std::make_pair(quinceusher::hash_of(a), a) < std::make_pair(quinceusher::hash_of(b), b);
  });
  view.near.clear();
  for (const std::string& id : view.all) {
    if (!zone_.empty() && servers_.at(id).told.zone == zone_) view.near.push_back(id);
  }
  view.subset = subset_of_ring(view.all, overall_);
  view.near_subset = subset_of_ring(view.near, in_zone_);
}

std::vector<std::string> ServerPool::subset_of_ring(const std::vector<std::string>& ring,
                                                    Position position) const {
  const std::size_t count = std::max<std::size_t>(position.count, 1);
  const std::size_t cover = (kCover * ring.size() + count - 1) / count;
  std::vector<std::string> out;
  for (const std::size_t at :
       quinceusher::subset_of(position.index % count, count, ring.size(), std::max(kSubset, cover))) {
    out.push_back(ring[at]);
  }
  return out;
}

bool ServerPool::looks_dead(Millis now, const Server& server) const {
  return server.silent > 0 && server.last_byte + patience(server.told.service) < now;
}

bool ServerPool::has_told(Millis now, const Server& server) const {
  return server.load_at + kLoadFreshMs >= now;
}

bool ServerPool::is_out_of_use(Millis now, const Server& server) const {
  return server.told.draining || now < server.shunned_until || looks_dead(now, server);
}

bool ServerPool::may_use(Millis now, const Server& server, CallKind kind) const {
  if (kind == CallKind::kItem) return item_room_of(now, server) > 0;
  if (is_out_of_use(now, server)) return false;
  if (kind == CallKind::kOnlyItem) return server.items == 0;
  return server.slots <= 0 || server.in_flight < server.slots;
}

// Slots of a server that may be taken before items stay away.
double ServerPool::item_share_of(const Server& server) {
  return std::min(kItemShare * server.slots, kMostBesideItems);
}

std::size_t ServerPool::item_room_of(Millis now, const Server& server) const {
  if (is_out_of_use(now, server) || server.silent_items >= kSilentItems) return 0;
  const auto silent = static_cast<std::size_t>(kSilentItems - server.silent_items);
  if (server.slots <= 0) return silent;
  const bool told = has_told(now, server);
  if (told && server.queue() > kItemQueue) return 0;
  const int most = static_cast<int>(std::ceil(item_share_of(server)));
  const int free = told ? most - server.running - server.queue() : untold_items(server) - server.items;
  return std::min(silent, static_cast<std::size_t>(std::max(free, 0)));
}

std::size_t ServerPool::item_room(Millis now, const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  std::size_t room = 0;
  const std::vector<std::string>& all = found->second.all;
  for (const std::string& id : all) room += item_room_of(now, servers_.at(id));
  if (room > 0 || items_in_flight(service) > 0) return room;
  const bool any = std::any_of(all.begin(), all.end(), [&](const std::string& id) {
    return may_use(now, servers_.at(id), CallKind::kOnlyItem);
  });
  return any ? 1 : 0;
}

// Items that this node may have at a server that has not told its load just now: its share of the room. Where
// there is less room than nodes, a server is open to some of the nodes for one item each, and each server to
// others.
int ServerPool::untold_items(const Server& server) const {
  const double share = item_share_of(server) / static_cast<double>(item_nodes_);
  if (share >= 1) return static_cast<int>(share);
  const std::size_t nodes = std::max<std::size_t>(overall_.count, 1);
  const std::size_t turn = (quinceusher::hash_of(server.told.id) + overall_.index) % nodes;
  return static_cast<double>(turn) < kOpenTimes * share * static_cast<double>(nodes) ? 1 : 0;
}

bool ServerPool::is_crowded(Millis now, const Server& server) const {
  if (server.slots <= 0 || !has_told(now, server)) return false;
  return server.queue() >= kCrowdedQueue || server.running + server.queue() > kCrowdedShare * server.slots;
}

const ServerPool::Server* ServerPool::choose(Millis now, const std::vector<std::string>& ids,
                                             const std::vector<std::string>& tried, CallKind kind,
                                             bool skip_crowded) {
  std::vector<const Server*> choice;
  for (const std::string& id : ids) {
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    const Server& server = servers_.at(id);
    if (skip_crowded && is_crowded(now, server)) continue;
    if (may_use(now, server, kind)) choice.push_back(&server);
  }
  if (choice.empty()) return nullptr;
  const Server* a = choice[random_.below(choice.size())];
  const Server* b = choice[random_.below(choice.size())];
  return b->in_flight < a->in_flight ? b : a;
}

std::optional<ChosenServer> ServerPool::pick(Millis now, const std::string& service,
                                             const std::vector<std::string>& tried, bool is_item) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const ServiceView& view = found->second;
  const CallKind kind = is_item ? CallKind::kItem : CallKind::kLive;
  const Server* chosen = choose(now, view.near_subset, tried, kind, true);
  if (chosen == nullptr) chosen = choose(now, view.subset, tried, kind, true);
  if (chosen == nullptr) chosen = choose(now, view.all, tried, kind, false);  // before a call is refused
  // Whoever is open nowhere would never hear of any room.
  if (chosen == nullptr && is_item && items_in_flight(service) == 0)
    chosen = choose(now, view.all, tried, CallKind::kOnlyItem, false);
  if (chosen == nullptr) return std::nullopt;
  return ChosenServer{chosen->told.id, chosen->told.address};
}

bool ServerPool::is_suspect(Millis now, const std::string& id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return false;
  const Server& server = found->second;
  if (server.failures > 0) return true;
  const auto view = services_.find(server.told.service);
  if (server.silent == 0 || view == services_.end() || !view->second.measured) return false;
  const auto usual = static_cast<Millis>(kSuspectTimes * view->second.first_byte_ms);
  return server.last_byte + std::max(kLeastSuspectMs, usual) < now;
}

bool ServerPool::is_usable(const std::string& service, const std::string& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && !found->second.told.draining && found->second.told.service == service;
}

void ServerPool::on_sent(Millis now, const std::string& id, bool is_item) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  if (server.silent++ == 0) server.last_byte = now;
  ++server.in_flight;
  ++server.sent_since_load;
  if (!is_item) return;
  ++server.items;
  ++server.silent_items;
}

void ServerPool::on_first_byte(Millis now, const std::string& id, Millis elapsed, bool is_item) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  --server.silent;
  if (is_item) --server.silent_items;
  server.last_byte = now;
  server.failures = 0;
  const auto view = services_.find(server.told.service);
  if (view == services_.end()) return;
  ServiceView& service = view->second;
  const double sample = static_cast<double>(elapsed);
  service.first_byte_ms += (service.measured ? kFirstByteGain : 1) * (sample - service.first_byte_ms);
  service.measured = true;
}

void ServerPool::on_end(Millis now, const std::string& id, CallEnd end, bool is_item, bool had_first_byte) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  --server.in_flight;
  if (is_item) --server.items;
  if (!had_first_byte) --server.silent;
  if (!had_first_byte && is_item) --server.silent_items;
  switch (end) {
    case CallEnd::kAnswered:
      server.failures = 0;
      return;
    case CallEnd::kAbandoned:
    case CallEnd::kFailed:
    case CallEnd::kNotExecuted:
      return;
    case CallEnd::kGone:
      server.told.draining = true;  // until a list shows it again
      return;
    case CallEnd::kNotSent:
    case CallEnd::kBroken:
    case CallEnd::kTimedOut: {
      if (++server.failures < kFailuresToShun) return;
      const int doublings = std::min(server.failures - kFailuresToShun, 4);
      server.shunned_until = now + std::min(kShunMs << doublings, kMostShunMs);
      return;
    }
  }
}

void ServerPool::on_load(Millis now, const std::string& id, int running, int waiting, int slots) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  server.running = running;
  server.waiting = waiting;
  if (slots > 0) server.slots = slots;
  server.load_at = now;
  server.sent_since_load = 0;
}

Millis ServerPool::patience(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return kLeastPatienceMs;
  return std::max(kLeastPatienceMs, static_cast<Millis>(kPatienceTimes * found->second.first_byte_ms));
}

int ServerPool::items_in_flight(const std::string& service) const {
  int sum = 0;
  for (const auto& [id, server] : servers_) sum += server.told.service == service ? server.items : 0;
  return sum;
}

std::size_t ServerPool::size_of(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.all.size();
}

ClientAdmission::ClientAdmission() : window_(kBucketSeconds, kBuckets, kLastSecondBuckets) {
  limit_.limit = kStartLimit;
  limit_.floor = kFloorLimit;
}

ClientAdmission::Decision ClientAdmission::admit(Millis now, quinceusher::Random& random) {
  const double seconds = static_cast<double>(now) / 1000;
  if (window_.admit(seconds, kSuppression, limit_.limit, random)) return Decision::kSend;
  const auto sums = window_.sums(seconds);
  const bool denied = quinceusher::TenantWindow::suppression(kSuppression, limit_.limit, sums) >= 1;
  return denied ? Decision::kDeny : Decision::kSuppress;
}

void ClientAdmission::on_end(Millis now, CallEnd end) {
  if (end == CallEnd::kAbandoned || end == CallEnd::kGone) return;
  const double seconds = static_cast<double>(now) / 1000;
  const bool bad = end != CallEnd::kAnswered && end != CallEnd::kFailed;
  if (!limit_.count_ended(seconds, bad, false)) return;
  const auto sums = window_.sums(seconds);
  limit_.review(seconds, (sums.total - sums.declined) / kSuppression.window_s, limit_.floor, 1);
}

}  // namespace nettlestand::tier
