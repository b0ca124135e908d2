#include "forwarding/server_pool.h"

#include <algorithm>
#include <cmath>

#include "quinceusher/balancer.h"

namespace nettlestand::tier {
namespace {

constexpr std::size_t kMinSubsetSize = 8;  // servers; spreads the calls while connections stay few
constexpr std::size_t kMinNodesPerServer = 2;
constexpr Millis kMinFirstByteTimeoutMs = 300;
constexpr double kFirstByteTimeoutFactor = 6;  // x the service's mean time to the first byte
constexpr double kSuspectFactor = 2.5;         // x the same, until a server without a response is suspect
constexpr Millis kMinSuspectMs = 80;
constexpr double kFirstByteGain = 0.05;  // weight of a new sample in that mean
constexpr int kFailuresToEject = 2;      // consecutive
constexpr Millis kMinEjectionMs = 700;   // doubled with each further failure
constexpr Millis kMaxEjectionMs = 3000;
constexpr double kItemSlotShare = 0.8;  // of a server's slots; with more of them taken it gets no items
// Calls that may run at a server that gets items, however many slots it has: each call slows down the events
// of all others, until the gaps between the events of live streams exceed their target.
constexpr double kMaxCallsBesideItems = 48;
constexpr int kMaxQueueForItems = 1;  // waiting calls; a server with more of them gets no items
constexpr int kBusyQueueLength = 4;   // waiting calls from which live calls prefer another server
// Without a fresh load report, so many times the nodes that a server has capacity for may send it an item:
// most of them have none to send at a given time.
constexpr double kItemOversubscription = 2;
constexpr Millis kLoadReportTtlMs = 400;
constexpr int kMaxItemsAwaitingFirstByte = 2;  // of one node at one server
constexpr double kBusySlotShare = 0.7;  // of a server's slots, from which live calls prefer another server

// Parameters of the tenants' admission; the project's defaults around the published design.
constexpr double kBucketSeconds = 0.1;
constexpr int kBuckets = 20;
constexpr int kLastSecondBuckets = 10;
constexpr double kInitialCallsPerSecond = 400;  // of a tenant's limit; generous
constexpr double kMinCallsPerSecond = 20;
// Denied calls count towards the rate too: with a lower factor a tenant that keeps calling would be denied
// every call for ever.
constexpr double kHardLimitFactor = 20;
constexpr quinceusher::SuppressionParameters kSuppression{
    kBuckets * kBucketSeconds, kLastSecondBuckets* kBucketSeconds, 10, kHardLimitFactor, 0.1};

}  // namespace

const char* name_of(CallOutcome outcome) {
  switch (outcome) {
    case CallOutcome::kCompleted:
      return "completed";
    case CallOutcome::kNotExecuted:
      return "not_executed";
    case CallOutcome::kMisdirected:
      return "misdirected";
    case CallOutcome::kNotSent:
      return "not_sent";
    case CallOutcome::kWithdrawn:
      return "withdrawn";
    case CallOutcome::kServerError:
      return "server_error";
    case CallOutcome::kConnectionLost:
      return "connection_lost";
    case CallOutcome::kTimedOut:
      return "timed_out";
    case CallOutcome::kClientGone:
      return "client_gone";
  }
  return "unknown";
}

void ServerPool::set_servers(const std::vector<ListedServer>& servers) {
  std::map<std::string, ServiceView> services;
  std::unordered_map<std::string, Server> kept;
  for (const ListedServer& listed : servers) {
    Server& server = kept[listed.id];
    if (const auto known = servers_.find(listed.id); known != servers_.end()) server = known->second;
    server.listing = listed;
    if (server.slots == 0) server.slots = static_cast<int>(listed.slots);
    services[listed.service].all.push_back(listed.id);
  }
  // Servers that left the list are kept while calls to them are in flight, since their ends are still
  // reported.
  for (auto& [id, server] : servers_) {
    if (kept.contains(id) || server.in_flight == 0) continue;
    server.listing.draining = true;
    kept.emplace(id, server);
  }
  servers_ = std::move(kept);
  for (auto& [name, view] : services) {
    if (const auto known = services_.find(name); known != services_.end()) {
      view.first_byte_ms = known->second.first_byte_ms;
      view.has_sample = known->second.has_sample;
    }
  }
  services_ = std::move(services);
  for (auto& [name, view] : services_) rebuild(view);
}

void ServerPool::set_position(Position overall, Position in_zone) {
  if (overall == overall_position_ && in_zone == zone_position_) return;
  overall_position_ = overall;
  zone_position_ = in_zone;
  for (auto& [name, view] : services_) rebuild(view);
}

void ServerPool::rebuild(ServiceView& view) {
  std::erase_if(view.all, [this](const std::string& id) { return servers_.at(id).listing.draining; });
  std::sort(view.all.begin(), view.all.end(), [](const std::string& a, const std::string& b) {
    return std::make_pair(quinceusher::hash_of(a), a) < std::make_pair(quinceusher::hash_of(b), b);
  });
  view.own_zone.clear();
  for (const std::string& id : view.all) {
    if (!zone_.empty() && servers_.at(id).listing.zone == zone_) view.own_zone.push_back(id);
  }
  view.subset = subset_of_ring(view.all, overall_position_);
  view.own_zone_subset = subset_of_ring(view.own_zone, zone_position_);
}

std::vector<std::string> ServerPool::subset_of_ring(const std::vector<std::string>& ring,
                                                    Position position) const {
  const std::size_t count = std::max<std::size_t>(position.count, 1);
  const std::size_t covering_size = (kMinNodesPerServer * ring.size() + count - 1) / count;
  std::vector<std::string> out;
  for (const std::size_t at : quinceusher::subset_of(position.index % count, count, ring.size(),
                                                     std::max(kMinSubsetSize, covering_size))) {
    out.push_back(ring[at]);
  }
  return out;
}

bool ServerPool::is_unresponsive(Millis now, const Server& server) const {
  return server.awaiting_first_byte > 0 &&
         server.last_byte_at + first_byte_timeout(server.listing.service) < now;
}

bool ServerPool::has_fresh_load(Millis now, const Server& server) const {
  return server.load_reported_at + kLoadReportTtlMs >= now;
}

bool ServerPool::is_unavailable(Millis now, const Server& server) const {
  return server.listing.draining || now < server.ejected_until || is_unresponsive(now, server);
}

bool ServerPool::is_eligible(Millis now, const Server& server, CallKind kind) const {
  if (kind == CallKind::kItem) return item_capacity_of(now, server) > 0;
  if (is_unavailable(now, server)) return false;
  if (kind == CallKind::kOnlyItem) return server.items_in_flight == 0;
  return server.slots <= 0 || server.in_flight < server.slots;
}

// Number of a server's slots from which, once taken, it gets no further items.
double ServerPool::item_slot_limit(const Server& server) {
  return std::min(kItemSlotShare * server.slots, kMaxCallsBesideItems);
}

std::size_t ServerPool::item_capacity_of(Millis now, const Server& server) const {
  if (is_unavailable(now, server) || server.items_awaiting_first_byte >= kMaxItemsAwaitingFirstByte) return 0;
  const auto first_byte_capacity =
      static_cast<std::size_t>(kMaxItemsAwaitingFirstByte - server.items_awaiting_first_byte);
  if (server.slots <= 0) return first_byte_capacity;
  const bool fresh_load = has_fresh_load(now, server);
  if (fresh_load && server.queue_length() > kMaxQueueForItems) return 0;
  const int limit = static_cast<int>(std::ceil(item_slot_limit(server)));
  const int free_slots = fresh_load ? limit - server.running - server.queue_length()
                                    : item_limit_without_load(server) - server.items_in_flight;
  return std::min(first_byte_capacity, static_cast<std::size_t>(std::max(free_slots, 0)));
}

std::size_t ServerPool::item_capacity(Millis now, const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return 0;
  std::size_t capacity = 0;
  const std::vector<std::string>& all = found->second.all;
  for (const std::string& id : all) capacity += item_capacity_of(now, servers_.at(id));
  if (capacity > 0 || items_in_flight(service) > 0) return capacity;
  const bool any = std::any_of(all.begin(), all.end(), [&](const std::string& id) {
    return is_eligible(now, servers_.at(id), CallKind::kOnlyItem);
  });
  return any ? 1 : 0;
}

// Number of items that this node may have at a server without a fresh load report: its share of the server's
// capacity for items. If that is less than one, some of the nodes may send one item each, and which nodes
// these are differs from server to server.
int ServerPool::item_limit_without_load(const Server& server) const {
  const double share = item_slot_limit(server) / static_cast<double>(item_node_count_);
  if (share >= 1) return static_cast<int>(share);
  const std::size_t nodes = std::max<std::size_t>(overall_position_.count, 1);
  const std::size_t turn = (quinceusher::hash_of(server.listing.id) + overall_position_.index) % nodes;
  return static_cast<double>(turn) < kItemOversubscription * share * static_cast<double>(nodes) ? 1 : 0;
}

bool ServerPool::is_busy(Millis now, const Server& server) const {
  if (server.slots <= 0 || !has_fresh_load(now, server)) return false;
  return server.queue_length() >= kBusyQueueLength ||
         server.running + server.queue_length() > kBusySlotShare * server.slots;
}

const ServerPool::Server* ServerPool::choose(Millis now, const std::vector<std::string>& ids,
                                             const std::vector<std::string>& tried, CallKind kind,
                                             bool skip_busy) {
  std::vector<const Server*> candidates;
  for (const std::string& id : ids) {
    if (std::find(tried.begin(), tried.end(), id) != tried.end()) continue;
    const Server& server = servers_.at(id);
    if (skip_busy && is_busy(now, server)) continue;
    if (is_eligible(now, server, kind)) candidates.push_back(&server);
  }
  if (candidates.empty()) return nullptr;
  const Server* a = candidates[random_.below(candidates.size())];
  const Server* b = candidates[random_.below(candidates.size())];
  return b->in_flight < a->in_flight ? b : a;
}

std::optional<ChosenServer> ServerPool::pick(Millis now, const std::string& service,
                                             const std::vector<std::string>& tried, bool is_item) {
  const auto found = services_.find(service);
  if (found == services_.end()) return std::nullopt;
  const ServiceView& view = found->second;
  const CallKind kind = is_item ? CallKind::kItem : CallKind::kLive;
  const Server* chosen = choose(now, view.own_zone_subset, tried, kind, true);
  if (chosen == nullptr) chosen = choose(now, view.subset, tried, kind, true);
  if (chosen == nullptr) chosen = choose(now, view.all, tried, kind, false);  // rather than refuse the call
  // A node that may use no server would never receive a load report, and so never learn of capacity.
  if (chosen == nullptr && is_item && items_in_flight(service) == 0)
    chosen = choose(now, view.all, tried, CallKind::kOnlyItem, false);
  if (chosen == nullptr) return std::nullopt;
  return ChosenServer{chosen->listing.id, chosen->listing.address};
}

bool ServerPool::is_suspect(Millis now, const std::string& id) const {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return false;
  const Server& server = found->second;
  if (server.consecutive_failures > 0) return true;
  const auto view = services_.find(server.listing.service);
  if (server.awaiting_first_byte == 0 || view == services_.end() || !view->second.has_sample) return false;
  const auto usual = static_cast<Millis>(kSuspectFactor * view->second.first_byte_ms);
  return server.last_byte_at + std::max(kMinSuspectMs, usual) < now;
}

bool ServerPool::is_usable(const std::string& service, const std::string& id) const {
  const auto found = servers_.find(id);
  return found != servers_.end() && !found->second.listing.draining &&
         found->second.listing.service == service;
}

void ServerPool::on_sent(Millis now, const std::string& id, bool is_item) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  if (server.awaiting_first_byte++ == 0) server.last_byte_at = now;
  ++server.in_flight;
  ++server.sent_since_load_report;
  if (!is_item) return;
  ++server.items_in_flight;
  ++server.items_awaiting_first_byte;
}

void ServerPool::on_first_byte(Millis now, const std::string& id, Millis elapsed, bool is_item) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  --server.awaiting_first_byte;
  if (is_item) --server.items_awaiting_first_byte;
  server.last_byte_at = now;
  server.consecutive_failures = 0;
  const auto view = services_.find(server.listing.service);
  if (view == services_.end()) return;
  ServiceView& service = view->second;
  const double sample = static_cast<double>(elapsed);
  service.first_byte_ms += (service.has_sample ? kFirstByteGain : 1) * (sample - service.first_byte_ms);
  service.has_sample = true;
}

void ServerPool::on_call_ended(Millis now, const std::string& id, CallOutcome outcome, bool is_item,
                               bool had_first_byte) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  --server.in_flight;
  if (is_item) --server.items_in_flight;
  if (!had_first_byte) --server.awaiting_first_byte;
  if (!had_first_byte && is_item) --server.items_awaiting_first_byte;
  switch (outcome) {
    case CallOutcome::kCompleted:
      server.consecutive_failures = 0;
      return;
    case CallOutcome::kClientGone:
    case CallOutcome::kWithdrawn:
    case CallOutcome::kServerError:
    case CallOutcome::kNotExecuted:
      return;
    case CallOutcome::kMisdirected:
      server.listing.draining = true;  // until the list shows it again
      return;
    case CallOutcome::kNotSent:
    case CallOutcome::kConnectionLost:
    case CallOutcome::kTimedOut: {
      if (++server.consecutive_failures < kFailuresToEject) return;
      const int doublings = std::min(server.consecutive_failures - kFailuresToEject, 4);
      server.ejected_until = now + std::min(kMinEjectionMs << doublings, kMaxEjectionMs);
      return;
    }
  }
}

void ServerPool::on_load_report(Millis now, const std::string& id, int running, int waiting, int slots) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) return;
  Server& server = found->second;
  server.running = running;
  server.waiting = waiting;
  if (slots > 0) server.slots = slots;
  server.load_reported_at = now;
  server.sent_since_load_report = 0;
}

Millis ServerPool::first_byte_timeout(const std::string& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) return kMinFirstByteTimeoutMs;
  return std::max(kMinFirstByteTimeoutMs,
                  static_cast<Millis>(kFirstByteTimeoutFactor * found->second.first_byte_ms));
}

int ServerPool::items_in_flight(const std::string& service) const {
  int sum = 0;
  for (const auto& [id, server] : servers_)
    sum += server.listing.service == service ? server.items_in_flight : 0;
  return sum;
}

std::size_t ServerPool::server_count(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? 0 : found->second.all.size();
}

TenantAdmission::TenantAdmission() : window_(kBucketSeconds, kBuckets, kLastSecondBuckets) {
  limit_.limit = kInitialCallsPerSecond;
  limit_.floor = kMinCallsPerSecond;
}

TenantAdmission::Decision TenantAdmission::admit(Millis now, quinceusher::Random& random) {
  const double seconds = static_cast<double>(now) / 1000;
  if (window_.admit(seconds, kSuppression, limit_.limit, random)) return Decision::kSend;
  const auto sums = window_.sums(seconds);
  const bool denied = quinceusher::TenantWindow::suppression(kSuppression, limit_.limit, sums) >= 1;
  return denied ? Decision::kDeny : Decision::kSuppress;
}

void TenantAdmission::on_call_ended(Millis now, CallOutcome outcome) {
  if (outcome == CallOutcome::kClientGone || outcome == CallOutcome::kMisdirected ||
      outcome == CallOutcome::kWithdrawn)
    return;
  const double seconds = static_cast<double>(now) / 1000;
  const bool failed = outcome != CallOutcome::kCompleted && outcome != CallOutcome::kServerError;
  if (!limit_.count_ended(seconds, failed, false)) return;
  const auto sums = window_.sums(seconds);
  limit_.review(seconds, (sums.total - sums.declined) / kSuppression.window_s, limit_.floor, 1);
}

}  // namespace nettlestand::tier
