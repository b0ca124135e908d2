// The servers that a balancer knows, and what it measured of each. A list costs time by its changes.
#pragma once

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "outlier_detector.h"
#include "quinceusher/balancer.h"
#include "ring.h"
#include "support.h"

namespace quinceusher {

constexpr double kLatencyMemory = 8;  // seconds in which an answer fades to 1/e: slow servers are tried again
constexpr double kMaxAnswers = 4;  // answers in a server's mean latency: more would hide change at high rates

// One server as listed and as measured.
struct ServerRecord {
  Server info;
  double started = 0;  // start time, capped by this balancer's clock: clocks may differ
  std::uint64_t ring_key = 0;
  int in_flight = 0;    // at the present process
  int outstanding = 0;  // in flight there and at earlier processes
  double cold_tokens = 0, cold_tokens_at = 0;
  ThroughputMeter meter;
  DecayingMean latency{kLatencyMemory, kMaxAnswers};  // relative to the tier's
  ServerHealth health;
  double send_time_sum = 0;  // sum over the calls in flight
  double rounding = 0;       // random part of a call, so that balancers with equal estimates differ
  std::uint64_t last_list = 0, listed_in_batch = 0;
  bool listed = false;  // ready, and so in the rings
  std::size_t healthy_index = static_cast<std::size_t>(-1);
};

// Each server has a slot while it is listed or has calls in flight. Slots are reused: where servers are
// replaced all day, the table would otherwise grow without end.
class ServerTable {
 public:
  explicit ServerTable(int own_zone) : own_zone_(own_zone) {}

  std::size_t size() const { return slots_.size(); }
  ServerRecord& operator[](std::size_t slot) { return slots_[slot]; }
  const ServerRecord& operator[](std::size_t slot) const { return slots_[slot]; }

  const Ring& ready_ring() const { return ready_; }
  const Ring& own_ring() const { return own_ring_; }  // ready servers in the own zone
  const Ring& remote_ring() const { return remote_ring_; }
  const std::vector<std::size_t>& healthy() const { return healthy_; }  // ready and not ejected, in no order
  double ready_weight() const { return ready_weight_; }

  // Takes over one entry of a list; takes effect with commit().
  void apply(const Server& server, double now, Random& random) {
    const auto [it, is_new] = by_address_.try_emplace(server.address, next_slot());
    if (is_new) {
      if (it->second == slots_.size()) {
        slots_.emplace_back();
      } else {
        free_.pop_back();
      }
    }
    const std::size_t slot = it->second;
    const bool ready = server.state == ServerState::kReady;
    ServerRecord& s = slots_[slot];
    // A new process, a new zone or the end of a drain starts the server anew.
    if (s.listed && (!ready || server.zone != s.info.zone || server.started != s.info.started))
      remove_from_rings(slot);
    if (is_new || server.started != s.info.started) {
      ServerRecord fresh;  // a new process: measurements of the last one do not apply
      fresh.ring_key = hash_of(server.address);
      fresh.outstanding = s.outstanding;
      fresh.started = std::min(server.started, now);
      fresh.cold_tokens_at = now;
      fresh.rounding = random.unit();
      fresh.cold_tokens = random.unit();  // balancers hear of a start together but must not send together
      s = fresh;
    }
    if (s.listed) ready_weight_ -= s.info.weight;
    s.info = server;
    if (!(s.info.weight > 0)) s.info.weight = 1;
    if (s.listed) ready_weight_ += s.info.weight;
    s.last_list = full_list_;
    if (ready && !s.listed) add_to_rings(slot);
    if (server.state == ServerState::kGone) gone_.push_back(slot);
  }

  // Between these two calls all servers of a full list are applied; the others are gone.
  void begin_full_list() { ++full_list_; }
  void end_full_list() {
    for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
      ServerRecord& s = slots_[slot];
      if (s.last_list == full_list_ || s.info.address.empty() || s.info.state == ServerState::kGone) continue;
      remove_from_rings(slot);
      s.info.state = ServerState::kGone;
      gone_.push_back(slot);
    }
  }

  // Applies gathered changes, and frees the slots of servers that are gone with nothing in flight.
  void commit() {
    commit_rings();
    std::erase_if(gone_, [this](std::size_t slot) {
      ServerRecord& s = slots_[slot];
      if (s.info.state != ServerState::kGone || s.info.address.empty()) return true;
      if (s.outstanding > 0) return false;
      by_address_.erase(s.info.address);
      s = ServerRecord();
      s.info.state = ServerState::kGone;
      free_.push_back(slot);
      return true;
    });
  }

  // Updates healthy() after a change of a server's health.
  void update_health(std::size_t slot) {
    ServerRecord& s = slots_[slot];
    const bool is_healthy = s.listed && !s.health.ejected;
    if (is_healthy == (s.healthy_index != kNoIndex)) return;
    if (is_healthy) {
      s.healthy_index = healthy_.size();
      healthy_.push_back(slot);
    } else {
      slots_[healthy_.back()].healthy_index = s.healthy_index;
      healthy_[s.healthy_index] = healthy_.back();
      healthy_.pop_back();
      s.healthy_index = kNoIndex;
    }
  }

 private:
  static constexpr std::size_t kMaxExactSum = 64;  // servers: the weight of up to so many is summed anew
  static constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

  void commit_rings() {
    ++batch_;
    ready_.commit();
    own_ring_.commit();
    remote_ring_.commit();
    if (ready_.size() <= kMaxExactSum) {  // adding and subtracting leaves a rounding error
      ready_weight_ = 0;
      for (std::size_t i = 0; i < ready_.size(); ++i) ready_weight_ += slots_[ready_.at(i)].info.weight;
    }
  }

  std::size_t next_slot() const { return free_.empty() ? slots_.size() : free_.back(); }

  Ring& zone_ring(const ServerRecord& s) { return s.info.zone == own_zone_ ? own_ring_ : remote_ring_; }

  void add_to_rings(std::size_t slot) {
    ServerRecord& s = slots_[slot];
    s.listed = true;
    s.listed_in_batch = batch_;
    s.health = ServerHealth();
    ready_.insert(s.ring_key, slot);
    zone_ring(s).insert(s.ring_key, slot);
    ready_weight_ += s.info.weight;
    update_health(slot);
  }

  void remove_from_rings(std::size_t slot) {
    ServerRecord& s = slots_[slot];
    if (!s.listed) return;
    if (s.listed_in_batch == batch_) commit_rings();  // the list names the server twice
    s.listed = false;
    ready_.erase(s.ring_key, slot);
    zone_ring(s).erase(s.ring_key, slot);
    ready_weight_ -= s.info.weight;
    update_health(slot);
  }

  int own_zone_;
  std::uint64_t full_list_ = 0, batch_ = 1;
  double ready_weight_ = 0;
  Ring ready_, own_ring_, remote_ring_;
  std::vector<ServerRecord> slots_;
  std::vector<std::size_t> free_, gone_, healthy_;
  std::unordered_map<std::string, std::size_t> by_address_;
};

}  // namespace quinceusher
