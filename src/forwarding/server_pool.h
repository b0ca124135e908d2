// Chooses the server for a call: deterministic subsetting, then the power of two choices by this node's own
// calls in flight. Does no I/O; the caller reports what became of each call.
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

// How one call to a server ended.
enum class CallOutcome : std::uint8_t {
  kCompleted,       // a complete response was received
  kNotExecuted,     // rejected by the server: it did not run
  kMisdirected,     // the address belongs to another server now: it did not run
  kNotSent,         // no connection, or it broke before any byte was sent: it did not run
  kWithdrawn,       // not sent, for no reason of the server's: it did not run
  kServerError,     // the server responded with an error
  kConnectionLost,  // the connection broke or the response was invalid: it may have run
  kTimedOut,        // no response in time: it may have run
  kClientGone       // the client has gone
};

// Whether a call with this outcome is known not to have run.
inline bool never_ran(CallOutcome outcome) {
  return outcome == CallOutcome::kNotExecuted || outcome == CallOutcome::kMisdirected ||
         outcome == CallOutcome::kNotSent || outcome == CallOutcome::kWithdrawn;
}

// The name of an outcome in logs.
const char* name_of(CallOutcome outcome);

// A server that was chosen for a call.
struct ChosenServer {
  std::string id, address;
};

// The servers of all services, with their load, health and this node's calls to them.
class ServerPool {
 public:
  explicit ServerPool(std::uint64_t seed) : random_(seed) {}

  // Replaces the list of servers by the platform's current one.
  void set_servers(const std::vector<ListedServer>& servers);
  // A node's index among the nodes that send to the same servers.
  struct Position {
    std::size_t index = 0, count = 1;
    auto operator<=>(const Position&) const = default;
  };
  // Sets this node's position among all nodes of its class, and among those of them in its zone.
  void set_position(Position overall, Position in_zone);
  // Sets the number of nodes that share the item capacity of servers without a fresh load report.
  void set_item_node_count(std::size_t count) { item_node_count_ = std::max<std::size_t>(count, 1); }
  // Sets the zone whose servers are preferred as long as they have capacity. Empty: zones are ignored.
  void set_zone(std::string zone) { zone_ = std::move(zone); }

  // Chooses a server that is not in `tried`; nothing if none is eligible. Batch items leave a part of a
  // server's slots to live calls, and only a few of them may await their first byte at the same time.
  std::optional<ChosenServer> pick(Millis now, const std::string& service,
                                   const std::vector<std::string>& tried, bool is_item);
  // Number of batch items that this node may send to a service now.
  std::size_t item_capacity(Millis now, const std::string& service) const;
  // Whether a server may have stopped responding. The next call then opens a new connection first: if that
  // fails, nothing was sent, so the request did not run and may go to another server.
  bool is_suspect(Millis now, const std::string& id) const;
  // Whether the server still belongs to the service and is not draining. Checked right before a send.
  bool is_usable(const std::string& service, const std::string& id) const;

  // A call was given to a server. on_call_ended follows exactly once.
  void on_sent(Millis now, const std::string& id, bool is_item);
  // The first byte of a response arrived `elapsed` ms after the call was sent.
  void on_first_byte(Millis now, const std::string& id, Millis elapsed, bool is_item);
  // A call ended. `had_first_byte`: on_first_byte was called for it.
  void on_call_ended(Millis now, const std::string& id, CallOutcome outcome, bool is_item,
                     bool had_first_byte);
  // A response carried the server's load: calls running, calls waiting, and slots (0: unknown).
  void on_load_report(Millis now, const std::string& id, int running, int waiting, int slots);

  // Time without a first byte after which a call is worth retrying at another server.
  Millis first_byte_timeout(const std::string& service) const;
  // Batch items of this node in flight at the service's servers.
  int items_in_flight(const std::string& service) const;
  std::size_t server_count(const std::string& service) const;

 private:
  static constexpr Millis kNever = -(Millis{1} << 40);
  struct Server {
    ListedServer listing{};
    int in_flight = 0, items_in_flight = 0;
    int awaiting_first_byte = 0;        // calls in flight without a byte of response
    int items_awaiting_first_byte = 0;  // those of them that are batch items
    int sent_since_load_report = 0;     // calls sent since the last load report
    Millis last_byte_at = 0;            // of any response, or when the first call awaiting a byte was sent
    int consecutive_failures = 0;       // since the last success
    Millis ejected_until = 0;
    int running = 0, waiting = 0, slots = 0;
    Millis load_reported_at = kNever;

    // Calls that process their prompt at the server or wait to, as far as this node knows: those reported as
    // waiting and those sent since the report.
    int queue_length() const { return waiting + sent_since_load_report; }
  };
  // The servers of one service.
  struct ServiceView {
    std::vector<std::string> own_zone, all;  // ids in the same order at all nodes
    std::vector<std::string> own_zone_subset, subset;
    double first_byte_ms = 0;  // smoothed
    bool has_sample = false;
  };
  // Recomputes the order and the subsets of a service's servers.
  void rebuild(ServiceView& view);
  std::vector<std::string> subset_of_ring(const std::vector<std::string>& ring, Position position) const;
  enum class CallKind : std::uint8_t {
    kLive,
    kItem,
    kOnlyItem  // an item of a node that has no other item in flight at the service
  };
  // Picks two of the eligible servers at random and returns the one with fewer calls in flight; null if there
  // is none.
  const Server* choose(Millis now, const std::vector<std::string>& ids, const std::vector<std::string>& tried,
                       CallKind kind, bool skip_busy);
  // Whether a server is so full that others are preferred, also those of other zones.
  bool is_busy(Millis now, const Server& server) const;
  bool is_eligible(Millis now, const Server& server, CallKind kind) const;
  // Whether the server's last load report is recent enough to be used.
  bool has_fresh_load(Millis now, const Server& server) const;
  // Number of batch items that this node may send to a server now.
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

// Admits, suppresses or denies the calls of one tenant at one service, depending on how far their rate is
// over a learned limit.
class TenantAdmission {
 public:
  enum class Decision { kSend, kSuppress, kDeny };
  TenantAdmission();
  // Decides on one call, which counts towards the rate in any case.
  Decision admit(Millis now, quinceusher::Random& random);
  // Adjusts the limit by the outcome of an admitted call.
  void on_call_ended(Millis now, CallOutcome outcome);
  // Calls per second.
  double limit() const { return limit_.limit; }

 private:
  quinceusher::TenantWindow window_;
  quinceusher::LearnedLimit limit_;
};

}  // namespace nettlestand::tier
