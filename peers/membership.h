// Group membership among the nodes: a state machine that takes datagrams and the time and produces datagrams
// and membership changes. It has no sockets, clock or files. Dissemination follows SWIM (Das, Gupta, Motivala
// 2002), local health follows Lifeguard (Dadgar, Phillips, Currey 2017), observers on rings follow Rapid
// (Suresh et al. 2018). Additions, explained in docs/design/peers.md:
//   - Each process start has a new generation number, and so has a node that learns that it was declared
//     dead. An ended generation never becomes alive again.
//   - Each member is probed by the same few observers in every interval, so that a death is noticed in the
//     first.
//   - Only a node that failed to reach the member itself declares it dead, once enough others failed as well.
//   - Whoever hears of a suspicion notifies the suspect, so that one-way partitions don't make it dead.
//   - A process that notices that it was stalled discards its pending findings about others.
//   - The number of datagrams sent is bounded, whatever the size of the fleet and whatever is received.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

#include "peers/gossip_queue.h"
#include "peers/member.h"
#include "peers/member_table.h"

namespace nettlestand::peers {

// Which failure detector runs. The first two are baselines for measurements.
enum class Protocol {
  // Random probes with one ping each, suspicions of fixed length; the node whose suspicion expires declares
  // the death.
  kSwim,
  // SWIM with local health, suspicions that shorten as others confirm, and notification of the suspect.
  kLifeguard,
  // SWIM and Lifeguard with the additions listed above.
  kDefault
};

constexpr double kMinIntervalTimeouts = 6;   // a probe interval is at least so many ack timeouts
constexpr double kMinSuspicionTimeouts = 4;  // a suspicion is at least so many ack timeouts

// Settings of one node.
struct MembershipSettings {
  Identity self;
  Address address = 0;
  // Larger than any earlier generation under this name, if that is known; otherwise the others tell the node.
  std::uint64_t generation = 1;
  std::uint64_t seed = 1;
  Protocol protocol = Protocol::kDefault;
  double probe_interval = 1;  // s; each observed member is probed once in it
  double ack_timeout = 0.15;  // s until an unanswered ping is sent again
  int rings = 2;              // members that a node observes, and nodes that observe each member
  int indirect_probes = 3;    // other members that are asked to ping
  // Members that must have failed to reach a member themselves before it is dead; fewer in small fleets.
  int confirmations = 3;
  double min_suspicion = 1.2;       // s from suspicion to death at least, when enough members confirm it
  double max_suspicion = 6;         // s when too few confirm it
  double gossip_per_s = 8;          // gossip datagrams a second
  double replies_per_s = 50;        // datagrams in answer to others, a second
  double rediscovery_interval = 3;  // s between attempts to contact dead members
  double sync_interval = 2;         // s between digests, each sent to a random member
  // Seconds after which members that died or left are forgotten, except for their generations.
  double forget_after = 600;
  double name_conflict_timeout = 10;  // s for which a process waits for its name to become free
  int max_health = 4;  // largest local health score (Lifeguard): timeouts grow up to (1 + this) times
  std::size_t max_members = 16384;  // in the table
};

// One node's view of the group. Each call appends the datagrams to send to `out`. Not thread-safe.
class Membership {
 public:
  // A message to send.
  struct Outgoing {
    Address to = 0;
    Message message;
  };

  // Throws std::invalid_argument for unusable settings.
  explicit Membership(MembershipSettings settings);

  // Starts with the addresses of some members to contact; the node's own address among them is ignored.
  void start(double now, const std::vector<Address>& join, std::vector<Outgoing>& out);
  // Replaces the addresses of members to contact.
  void set_seed_addresses(const std::vector<Address>& addresses);
  // Handles a datagram. The caller drops datagrams of other clusters and those that fail authentication.
  void on_message(double now, Address from, const Message& message, std::vector<Outgoing>& out);
  // Called when the time next_tick() has come.
  void tick(double now, std::vector<Outgoing>& out);
  // When tick() should be called. If it is called later by more than a probe interval, the node takes its
  // process to have been stalled.
  double next_tick() const { return next_tick_; }
  // Announces that this node is about to leave: it still answers, but others should not rely on it.
  void announce_leaving(double now, std::vector<Outgoing>& out);
  // Says goodbye to some members, who tell the rest. Nothing is sent or answered afterwards.
  void leave(double now, std::vector<Outgoing>& out);
  // Takes members as known and alive without having heard from them: those that an earlier process knew, or
  // those that a measurement starts with.
  void add_known_members(double now, const std::vector<Member>& members);

  // Returns and clears the changes since the last call, in order.
  std::vector<Change> changes();
  // All known members and this node, ordered by key.
  std::vector<Member> members() const;
  std::optional<Member> find(MemberKey key) const;
  std::uint64_t generation() const { return generation_; }
  MemberKey key() const { return key_; }
  // Members that are alive, suspected or leaving, including this node.
  std::size_t live_count() const { return live_count_; }
  // Lifeguard's local health score. 0 is healthy; more means that this node is slow or misses messages.
  int health() const { return health_; }
  // A message in which this node describes itself; a host with a broadcast address sends it there at its
  // start.
  Message hello(MessageKind kind = MessageKind::kGossip) const;

  struct Counters {
    std::uint64_t probes = 0, failed_probes = 0;
    std::uint64_t suspicions = 0;  // raised by this node
    std::uint64_t refuted = 0, deaths_declared = 0, rejoins = 0;
    std::uint64_t stalls = 0;           // times that this process noticed that it had been stalled
    std::uint64_t name_conflicts = 0;   // times that this node was told of another process under its own name
    std::uint64_t contested_names = 0;  // names of other members that two processes were found to use
    std::uint64_t overflow = 0;         // members that didn't fit into the table
    std::uint64_t rate_limited_replies = 0;     // replies that the rate limit suppressed
    std::uint64_t implausible_generations = 0;  // generations far beyond the known ones
  };
  const Counters& counters() const { return counters_; }
  // Whether another process holds this node's name; this node then stays out of the cluster and sends
  // nothing.
  bool refused() const { return refused_; }

 private:
  struct Suspicion {
    double since = 0, until = 0;
    double probe_at = 0;  // s; a node that has not probed the suspect itself does so then
    std::vector<MemberKey> reporters;
    bool own_failure = false;       // this node failed to reach the suspect itself
    bool final_probe_sent = false;  // the last probe before the death is declared
  };
  // After a refutation by a member that this node still can't reach: no new suspicion for a while.
  struct SuspicionBackoff {
    double length = 0, until = 0;
  };
  enum class ProbeReason : std::uint8_t {
    kObserved,  // periodic probe
    // Second probe before a suspicion is raised, or a check of a suspicion that others raised.
    kVerify,
    kAddressChange,  // the member was heard from another address
    kNameClaim       // another process uses the member's name
  };
  struct Probe {
    MemberKey key = 0;
    std::uint64_t generation = 0;
    Address to = 0;
    ProbeReason reason = ProbeReason::kObserved;
    std::uint32_t seq = 0;
    double started_at = 0, next_at = 0, ends_at = 0;
    int sent = 0;
    bool helpers_asked = false, helper_heard = false;
  };
  struct RelayedProbe {  // a ping on behalf of another member
    std::uint32_t seq = 0, requester_seq = 0;
    Address requester = 0;
    double until = 0;
  };
  struct NameClaim {  // a name that has a holder and is used by a process elsewhere
    Update update;
    bool rejected = false;
    double until = 0;  // s; the claim is checked again afterwards
  };
  class TokenBucket {
   public:
    TokenBucket(double rate, double capacity) : rate_(rate), capacity_(capacity), tokens_(capacity) {}
    bool take(double now) {
      tokens_ = std::min(capacity_, tokens_ + (now - refilled_at_) * rate_);
      refilled_at_ = now;
      if (tokens_ < 1) return false;
      tokens_ -= 1;
      return true;
    }
    void start(double now) { refilled_at_ = now; }

   private:
    double rate_, capacity_, tokens_, refilled_at_ = 0;
  };

  bool is_default() const { return settings_.protocol == Protocol::kDefault; }
  bool is_swim() const { return settings_.protocol == Protocol::kSwim; }
  void begin_event(double now, std::vector<Outgoing>& out);
  void end_event();

  Message make_message(MessageKind kind) const;
  void send(Address to, Message message, const MemberEntry* about = nullptr);
  bool reply(Address to, Message message, const MemberEntry* about = nullptr);
  Update update_of(const MemberEntry& e, bool with_identity = false) const;
  Update self_update(bool with_identity) const;
  Member member_of(const MemberEntry& e) const;
  void gossip(const Update& update, bool urgent = true);
  void push_gossip();
  const MemberEntry* random_live_member();

  std::uint64_t ended_generation(MemberKey key) const;
  void set_state(MemberEntry& e, MemberState state, MemberKey by);
  void update_observed(const MemberEntry& e);
  void select_observed();
  void apply_update(const Update& update, MemberKey from);
  void add_member(const Update& update, MemberKey from);
  void queue_identity_request(MemberKey key);
  void start_generation(MemberEntry& e, const Update& update, MemberKey from);
  void apply_update_about_self(const Update& update, MemberKey from, std::uint64_t floor);
  void rejoin(std::uint64_t floor);
  void refute(const Update& update, MemberKey from);
  void answer_ended_member(const Message& m, Address from);
  bool is_name_claim(const Message& m, Address from);
  void verify_name_holder(MemberEntry& e, const Update& update);
  void record_contact(MemberEntry& e, Address from);
  void on_ack(const Message& m, Address from);
  void add_suspicion(MemberEntry& e, MemberKey reporter, MemberKey by);
  void notify_suspect(const MemberEntry& e);
  void declare_dead(MemberEntry& e);
  int needed_confirmations() const;

  void start_probe(MemberEntry& e, ProbeReason reason, Address to = 0);
  void advance_probe(Probe& probe);
  void request_indirect_probes(Probe& probe, const MemberEntry& e);
  void on_probe_failed(const Probe& probe);
  void check_suspicions();
  double suspicion_due(const Suspicion& suspicion) const;
  void probe_next_observed();
  void probe_next_in_round();
  void recover_from_stall(double gap);
  void send_page(const Message& m, Address from);
  void answer_digest(const Message& m, Address from);
  void on_page(const Message& m);
  void request_page();
  void send_greeting();
  void rediscover();
  void send_digest();
  void request_identities();
  void remove_expired();
  void schedule();
  void adjust_health(int by);
  double scale_by_health(double seconds) const { return seconds * (1 + health_); }
  double random_unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  std::size_t random_below(std::size_t n) {
    return static_cast<std::size_t>(random_unit() * static_cast<double>(n));
  }

  MembershipSettings settings_;
  const MemberKey key_;
  const std::shared_ptr<const Identity> self_;
  std::uint64_t generation_ = 0;
  std::uint32_t incarnation_ = 0;
  MemberState state_ = MemberState::kAlive;  // of this node
  pcg64 random_;
  double now_ = 0;
  std::vector<Outgoing>* out_ = nullptr;

  MemberTable table_;  // all members except this node
  // The latest ended generation of each forgotten member, and when it was recorded.
  std::unordered_map<MemberKey, std::pair<std::uint64_t, double>> ended_generations_;
  std::map<MemberKey, Suspicion> suspicions_;
  std::map<MemberKey, SuspicionBackoff> suspicion_backoffs_;
  std::map<MemberKey, NameClaim> name_claims_;
  std::map<MemberKey, std::vector<std::pair<MemberKey, double>>> indirect_contacts_;  // by whom, when
  std::vector<MemberKey> dead_, identity_missing_;
  std::vector<MemberKey> observed_;  // one for each ring; 0: none
  std::size_t next_ring_ = 0;
  std::vector<MemberKey> probe_round_;  // for the baselines, which probe in random order
  std::size_t probe_round_index_ = 0;
  std::vector<Probe> probes_;
  std::vector<RelayedProbe> relayed_probes_;
  GossipQueue gossip_queue_;
  std::vector<Change> changes_;
  std::vector<Address> seed_addresses_, greetings_;
  TokenBucket gossip_limit_, reply_limit_;

  std::uint32_t seq_ = 0, page_seq_ = 0;
  std::size_t live_count_ = 1;
  int health_ = 0;
  double next_tick_ = 0, next_probe_ = 0, next_gossip_ = 0, next_rediscovery_ = 0, next_sync_ = 0,
         next_page_request_ = 0, next_greeting_ = 0, next_cleanup_ = 0;
  double no_suspicion_until_ = 0, rejoined_at_ = -1e18;
  int quick_rediscoveries_ = 0;
  MemberKey digest_cursor_ = 0, page_cursor_ = 1;
  bool page_pending_ = false, found_new_member_ = false, fetching_table_ = true;
  bool gossip_urgent_ = false, left_ = false, refused_ = false, started_ = false, established_ = false;
  double name_taken_since_ = -1e18, name_taken_at_ = -1e18, acked_at_ = -1e18;
  Counters counters_;
};

}  // namespace nettlestand::peers
