// Who is there: membership among the nodes, decided. Datagrams and time in, datagrams and events out; no
// sockets, no clock, no files. Spreading after SWIM (Das, Gupta, Motivala 2002), self-awareness after
// Lifeguard (Dadgar, Phillips, Currey 2017), observers on rings after Rapid (Suresh et al. 2018). What is
// added to them, and why, stands in docs/design/peers.md:
//   - a life number with each start, and a new one for who learns that it was thought dead: no life comes
//     back
//   - each member is observed by the same few others in every period, so that a death is noticed in the first
//   - a death is declared by somebody who has failed to reach the member itself, once enough others have too
//   - who hears of a doubt tells the doubted one: one-sided cuts do not make it dead
//   - a process that notices that it stood forgets what it was about to say of others
//   - what is sent is bounded, whatever the fleet's size and whatever comes in
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

// What of it is in use: the first two are for measurements beside the third.
enum class Protocol {
  kSwim,       // random probes, one ping each, a suspicion of fixed length, whoever's time is up declares
  kLifeguard,  // the same, with self-awareness, shorter suspicions as others confirm, and telling the suspect
  kDefault
};

constexpr double kMinIntervalTimeouts = 6;   // timeouts that a period holds at the least,
constexpr double kMinSuspicionTimeouts = 4;  // and a doubt

struct MembershipSettings {
  Identity self;
  Address address = 0;
  std::uint64_t generation =
      1;  // larger than any before under this name, where that is known: else it is told so
  std::uint64_t seed = 1;
  Protocol protocol = Protocol::kDefault;
  double probe_interval = 1;  // s in which each observed member is probed once
  double ack_timeout = 0.15;  // s until an unanswered ping is sent again
  int rings = 2;              // members that a node observes, and nodes that observe it
  int indirect_probes = 3;    // others that are asked to try
  int confirmations =
      3;  // that have failed to reach a member themselves, before it is dead; fewer in small fleets
  double min_suspicion = 1.2;       // s from suspicion to death at the least,
  double max_suspicion = 6;         // s where too few confirm it
  double gossip_per_s = 8;          // datagrams that spread news, a second
  double replies_per_s = 50;        // datagrams that answer others, a second
  double rediscovery_interval = 3;  // s between looks for the dead
  double sync_interval = 2;         // s between parts of the table that go to somebody at random
  double forget_after = 600;        // s after which the dead and the left are forgotten, but for their lives
  double name_conflict_timeout = 10;  // s for which a process waits for its name to be free
  int max_health = 4;                 // Lifeguard: times grow up to so many times more
  std::size_t max_members = 16384;
};

class Membership {
 public:
  struct Outgoing {
    Address to = 0;
    Message message;
  };

  // Throws std::invalid_argument for settings that can't be used.
  explicit Membership(MembershipSettings settings);

  // Begins, with addresses to ask first; its own among them does no harm.
  void start(double now, const std::vector<Address>& join, std::vector<Outgoing>& out);
  // Other addresses to ask, from now on.
  void set_seed_addresses(const std::vector<Address>& addresses);
  // A datagram from an address. What is not for this cluster or does not verify never comes here.
  void on_message(double now, Address from, const Message& message, std::vector<Outgoing>& out);
  // Time has come to next().
  void tick(double now, std::vector<Outgoing>& out);
  // When tick() wants to be called. Called later, by more than a period, it takes itself to have stood.
  double next_tick() const { return next_tick_; }
  // Says that it is about to go: it still answers, and nobody need count on it.
  void announce_leaving(double now, std::vector<Outgoing>& out);
  // Says goodbye to some: the rest hears it from these. Nothing is sent or answered after it.
  void leave(double now, std::vector<Outgoing>& out);
  // Takes members for known and alive that were not heard of: what a former life knew, or a measurement
  // wants.
  void preload(double now, const std::vector<Member>& members);

  // What has changed since it was asked last, in order.
  std::vector<Change> changes();
  // All that are known, this node too, by name's key.
  std::vector<Member> members() const;
  std::optional<Member> find(MemberKey key) const;
  std::uint64_t generation() const { return generation_; }
  MemberKey key() const { return key_; }
  // Alive, suspected and leaving, this node too.
  std::size_t live_count() const { return live_count_; }
  // 0: well; more: this node is slow, or hears little.
  int health() const { return health_; }
  // What this node says of itself: a host that can reach all at once sends it to them at its start.
  Message hello(MessageKind kind = MessageKind::kGossip) const;

  struct Counters {
    std::uint64_t probes = 0, failed_probes = 0;
    std::uint64_t suspicions = 0;  // of its own
    std::uint64_t refuted = 0, deaths_declared = 0, rejoins = 0;
    std::uint64_t stalls = 0;                // times that this process noticed that it had stood
    std::uint64_t name_conflicts = 0;        // times that it was told of another process under its own name
    std::uint64_t contested_names = 0;       // names of others that were found to be used by two
    std::uint64_t overflow = 0;              // members that there was no room for
    std::uint64_t rate_limited_replies = 0;  // replies that the bound on them held back
    std::uint64_t implausible_generations = 0;  // lives far beyond those that are known
  };
  const Counters& counters() const { return counters_; }
  // Another process holds this name: this one has to stay out, and says nothing any more.
  bool refused() const { return refused_; }

 private:
  struct Suspicion {
    double since = 0, until = 0;
    double probe_at = 0;  // s; who has not looked itself does so then
    std::vector<MemberKey> reporters;
    bool own_failure = false;       // this node has failed to reach it itself
    bool final_probe_sent = false;  // and tries once more before it says so
  };
  struct SuspicionBackoff {  // after a refutation while this node still can't reach it
    double length = 0, until = 0;
  };
  enum class ProbeReason : std::uint8_t {
    kObserved,       // its turn
    kVerify,         // a second look, or one at whom others doubt
    kAddressChange,  // it was heard from another address
    kNameClaim       // somebody else uses its name
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
  struct RelayedProbe {  // a ping that was asked for
    std::uint32_t seq = 0, requester_seq = 0;
    Address requester = 0;
    double until = 0;
  };
  struct NameClaim {  // a name that is held, and that a process elsewhere uses
    Update update;
    bool rejected = false;
    double until = 0;  // s; then it is looked at anew
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
  MemberState state_ = MemberState::kAlive;  // this node's own
  pcg64 random_;
  double now_ = 0;
  std::vector<Outgoing>* out_ = nullptr;

  MemberTable table_;  // all but this node
  std::unordered_map<MemberKey, std::pair<std::uint64_t, double>>
      ended_generations_;  // lives that have ended, and when
  std::map<MemberKey, Suspicion> suspicions_;
  std::map<MemberKey, SuspicionBackoff> suspicion_backoffs_;
  std::map<MemberKey, NameClaim> name_claims_;
  std::map<MemberKey, std::vector<std::pair<MemberKey, double>>> indirect_contacts_;  // by whom, when
  std::vector<MemberKey> dead_, identity_missing_;
  std::vector<MemberKey> observed_;  // by ring; 0: nobody
  std::size_t next_ring_ = 0;
  std::vector<MemberKey> probe_round_;  // of the styles that probe at random
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
