// Which server gets a call: fixed subsets, two random members, judged by the node's own calls in flight.
// Decides only; the host tells what became of each call.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/random.h"
#include "admission/tenant_limit.h"
#include "base/time.h"
#include "messaging/messages.h"

namespace nettlestand::tier {

// What became of one call to a server.
enum class CallOutcome : std::uint8_t {
  kCompleted,       // whole
  kNotExecuted,     // turned away: it did not run
  kMisdirected,     // another server has the address: it did not run
  kNotSent,         // no connection came about, or it broke before anything was sent
  kServerError,     // answered with an error of the server's own
  kConnectionLost,  // the connection ended, or what came was no answer: it may have run
  kTimedOut,        // no answer in time
  kClientGone       // the client left
};

// Whether a call that ended so is known not to have run.
inline bool never_ran(CallOutcome outcome) {
  return outcome == CallOutcome::kNotExecuted || outcome == CallOutcome::kMisdirected ||
         outcome == CallOutcome::kNotSent;
}

struct ChosenServer {
  std::string id, address;
};

class ServerPool {
 public:
  explicit ServerPool(std::uint64_t seed) : random_(seed) {}

  // The whole list, as the platform shows it.
  void set_servers(const std::vector<ListedServer>& servers);
  // A node's place among those that send to the same servers.
  struct Position {
    std::size_t index = 0, count = 1;
    auto operator<=>(const Position&) const = default;
  };
  // This node's place among all of its class, and among those of its zone.
  void set_position(Position overall, Position in_zone);
  // Among how many nodes the room for items is shared out where servers have not told their load just now.
  void set_item_node_count(std::size_t count) { item_node_count_ = std::max<std::size_t>(count, 1); }
  // Calls stay in this zone as long as its servers have room. Empty: zones make no difference.
  void set_zone(std::string zone) { zone_ = std::move(zone); }

  // A server for a call that has been at `tried`; nothing where none may be used. Items of batch jobs leave a
  // part of a server's slots to live calls, and few of them wait for their first byte at a time.
  std::optional<ChosenServer> pick(Millis now, const std::string& service,
                                   const std::vector<std::string>& tried, bool is_item);
  // How many items this node may send to a service now.
  std::size_t item_capacity(Millis now, const std::string& service) const;
  // Whether a server may have fallen silent: the next call should first see whether a connection comes up,
  // since what is not sent has not run and may go elsewhere.
  bool is_suspect(Millis now, const std::string& id) const;
  // Whether the server still serves the service and is not draining: asked right before a send.
  bool is_usable(const std::string& service, const std::string& id) const;

  void on_sent(Millis now, const std::string& id, bool is_item);
  // The first byte of an answer has come `elapsed` after the send.
  void on_first_byte(Millis now, const std::string& id, Millis elapsed, bool is_item);
  void on_call_ended(Millis now, const std::string& id, CallOutcome outcome, bool is_item,
                     bool had_first_byte);
  // What the server tells of itself: calls running, waiting, and its slots.
  void on_load_report(Millis now, const std::string& id, int running, int waiting, int slots);

  // How long a call may be silent before it is worth asking another server.
  Millis first_byte_timeout(const std::string& service) const;
  // Batch items that this node has out at the service's servers.
  int items_in_flight(const std::string& service) const;
  std::size_t server_count(const std::string& service) const;

 private:
  static constexpr Millis kNever = -(Millis{1} << 40);
  struct Server {
    ListedServer listing{};
    int in_flight = 0, items_in_flight = 0;
    int awaiting_first_byte = 0;        // calls out that no byte has come of
    int items_awaiting_first_byte = 0;  // of these, items of batch jobs
    int sent_since_load_report = 0;     // calls sent since it told its load
    Millis last_byte_at = 0;            // of any answer, or when the first of the silent calls was sent
    int consecutive_failures = 0;       // in a row
    Millis ejected_until = 0;
    int running = 0, waiting = 0, slots = 0;
    Millis load_reported_at = kNever;

    // Calls that read their prompts there, or wait to, as far as this node knows.
    int queue_length() const { return waiting + sent_since_load_report; }
  };
  struct ServiceView {
    std::vector<std::string> own_zone, all;  // ids in the order that all nodes agree on
    std::vector<std::string> own_zone_subset, subset;
    double first_byte_ms = 0;  // smoothed
    bool has_sample = false;
  };
  void rebuild(ServiceView& view);
  std::vector<std::string> subset_of_ring(const std::vector<std::string>& ring, Position position) const;
  enum class CallKind : std::uint8_t {
    kLive,
    kItem,
    kOnlyItem  // of a node that has no other out at the service
  };
  // The less busy of two random ones out of those that may be used; null where there are none.
  const Server* choose(Millis now, const std::vector<std::string>& ids, const std::vector<std::string>& tried,
                       CallKind kind, bool skip_busy);
  // Whether a server of this zone is so full that one elsewhere is worth the way.
  bool is_busy(Millis now, const Server& server) const;
  bool is_eligible(Millis now, const Server& server, CallKind kind) const;
  // Whether what a server told of its load still counts.
  bool has_fresh_load(Millis now, const Server& server) const;
  // Items that this node may send to a server now.
  std::size_t item_capacity_of(Millis now, const Server& server) const;
  bool is_unavailable(Millis now, const Server& server) const;
  static double item_slot_limit(const Server& server);
  int item_limit_without_load(const Server& server) const;
  bool is_unresponsive(Millis now, const Server& server) const;

  quinceusher::Random random_;
  std::unordered_map<std::string, Server> servers_;
  std::map<std::string, ServiceView> services_;
  Position overall_position_, zone_position_;
  std::size_t item_node_count_ = 1;
  std::string zone_;
};

// Admission of one client's calls at one service, by the three regimes over a learned limit.
class TenantAdmission {
 public:
  enum class Decision { kSend, kSuppress, kDeny };
  TenantAdmission();
  Decision admit(Millis now, quinceusher::Random& random);
  void on_call_ended(Millis now, CallOutcome outcome);
  double limit() const { return limit_.limit; }

 private:
  quinceusher::TenantWindow window_;
  quinceusher::LearnedLimit limit_;
};

}  // namespace nettlestand::tier
