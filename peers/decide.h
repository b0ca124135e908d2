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

#include "peers/member.h"
#include "peers/news.h"
#include "peers/table.h"

namespace nettlestand::peers {

// What of it is in use: the first two are for measurements beside the third.
enum class Style {
  kSwim,       // random probes, one ping each, a suspicion of fixed length, whoever's time is up declares
  kLifeguard,  // the same, with self-awareness, shorter suspicions as others confirm, and telling the suspect
  kShipped
};

constexpr double kPeriodTimeouts = 6;  // timeouts that a period holds at the least,
constexpr double kDoubtTimeouts = 4;   // and a doubt

struct Settings {
  Identity self;
  Address address = 0;
  std::uint64_t life = 1;  // larger than any before under this name, where that is known: else it is told so
  std::uint64_t seed = 1;
  Style style = Style::kShipped;
  double period = 1;      // s in which each observed member is probed once
  double timeout = 0.15;  // s until an unanswered ping is sent again
  int rings = 2;          // members that a node observes, and nodes that observe it
  int indirect = 3;       // others that are asked to try
  int accusers =
      3;  // that have failed to reach a member themselves, before it is dead; fewer in small fleets
  double least_doubt = 1.2;   // s from suspicion to death at the least,
  double most_doubt = 6;      // s where too few confirm it
  double news_per_s = 8;      // datagrams that spread news, a second
  double replies_per_s = 50;  // datagrams that answer others, a second
  double seek_period = 3;     // s between looks for the dead
  double sync_period = 2;     // s between parts of the table that go to somebody at random
  double forget_after = 600;  // s after which the dead and the left are forgotten, but for their lives
  double patience = 10;       // s for which a process waits for its name to be free
  int most_health = 4;        // Lifeguard: times grow up to so many times more
  std::size_t most_members = 16384;
};

class Membership {
 public:
  struct Out {
    Address to = 0;
    Message message;
  };

  // Throws std::invalid_argument for settings that can't be used.
  explicit Membership(Settings settings);

  // Begins, with addresses to ask first; its own among them does no harm.
  void start(double now, const std::vector<Address>& join, std::vector<Out>& out);
  // Other addresses to ask, from now on.
  void join(const std::vector<Address>& addresses);
  // A datagram from an address. What is not for this cluster or does not verify never comes here.
  void message(double now, Address from, const Message& message, std::vector<Out>& out);
  // Time has come to next().
  void tick(double now, std::vector<Out>& out);
  // When tick() wants to be called. Called later, by more than a period, it takes itself to have stood.
  double next() const { return next_; }
  // Says that it is about to go: it still answers, and nobody need count on it.
  void leaving(double now, std::vector<Out>& out);
  // Says goodbye to some: the rest hears it from these. Nothing is sent or answered after it.
  void leave(double now, std::vector<Out>& out);
  // Takes members for known and alive that were not heard of: what a former life knew, or a measurement
  // wants.
  void adopt(double now, const std::vector<Member>& members);

  // What has changed since it was asked last, in order.
  std::vector<Change> changes();
  // All that are known, this node too, by name's key.
  std::vector<Member> members() const;
  std::optional<Member> find(Key key) const;
  std::uint64_t life() const { return life_; }
  Key key() const { return key_; }
  // Alive, suspected and leaving, this node too.
  std::size_t living() const { return living_; }
  // 0: well; more: this node is slow, or hears little.
  int health() const { return health_; }
  // What this node says of itself: a host that can reach all at once sends it to them at its start.
  Message hello(Kind kind = Kind::kNews) const;

  struct Counters {
    std::uint64_t probes = 0, failed_probes = 0;
    std::uint64_t accusations = 0;  // of its own
    std::uint64_t refuted = 0, deaths_declared = 0, rebirths = 0;
    std::uint64_t stood = 0;       // times that this process noticed that it had stood
    std::uint64_t namesakes = 0;   // times that it was told of another process under its own name
    std::uint64_t contested = 0;   // names of others that were found to be used by two
    std::uint64_t overflow = 0;    // members that there was no room for
    std::uint64_t unsent = 0;      // replies that the bound on them held back
    std::uint64_t incredible = 0;  // lives far beyond those that are known
  };
  const Counters& counters() const { return counters_; }
  // Another process holds this name: this one has to stay out, and says nothing any more.
  bool refused() const { return refused_; }

 private:
  struct Doubt {
    double since = 0, until = 0;
    double look_at = 0;  // s; who has not looked itself does so then
    std::vector<Key> accusers;
    bool own = false;        // this node has failed to reach it itself
    bool last_look = false;  // and tries once more before it says so
  };
  struct Hold {  // after a refutation while this node still can't reach it
    double length = 0, until = 0;
  };
  enum class Why : std::uint8_t {
    kObserved,  // its turn
    kLook,      // a second look, or one at whom others doubt
    kMoved,     // it was heard from another address
    kClaim      // somebody else uses its name
  };
  struct Probe {
    Key key = 0;
    std::uint64_t life = 0;
    Address to = 0;
    Why why = Why::kObserved;
    std::uint32_t seq = 0;
    double began = 0, next = 0, ends = 0;
    int sent = 0;
    bool asked_others = false, heard_others = false;
  };
  struct Relay {  // a ping that was asked for
    std::uint32_t seq = 0, their_seq = 0;
    Address for_whom = 0;
    double until = 0;
  };
  struct Claim {  // a name that is held, and that a process elsewhere uses
    Update update;
    bool refused = false;
    double until = 0;  // s; then it is looked at anew
  };
  class Bucket {
   public:
    Bucket(double rate, double most) : rate_(rate), most_(most), held_(most) {}
    bool take(double now) {
      held_ = std::min(most_, held_ + (now - at_) * rate_);
      at_ = now;
      if (held_ < 1) return false;
      held_ -= 1;
      return true;
    }
    void start(double now) { at_ = now; }

   private:
    double rate_, most_, held_, at_ = 0;
  };

  bool shipped() const { return s_.style == Style::kShipped; }
  bool swim() const { return s_.style == Style::kSwim; }
  void begin(double now, std::vector<Out>& out);
  void end();

  Message make(Kind kind) const;
  void send(Address to, Message message, const Entry* about = nullptr);
  bool reply(Address to, Message message, const Entry* about = nullptr);
  Update update_of(const Entry& e, bool with_identity = false) const;
  Update self_update(bool with_identity) const;
  Member member_of(const Entry& e) const;
  void tell(const Update& update, bool urgent = true);
  void push();
  const Entry* random_living();

  std::uint64_t ended_life(Key key) const;
  void set_state(Entry& e, State state, Key by);
  void follow(const Entry& e);
  void observe_anew();
  void learn(const Update& update, Key from);
  void learn_first(const Update& update, Key from);
  void want_identity(Key key);
  void later_life(Entry& e, const Update& update, Key from);
  void about_me(const Update& update, Key from, std::uint64_t floor);
  void reborn(std::uint64_t floor);
  void refute(const Update& update, Key from);
  void answer_the_ended(const Message& m, Address from);
  bool claimed(const Message& m, Address from);
  void contest(Entry& e, const Update& update);
  void heard(Entry& e, Address from);
  void answered(const Message& m, Address from);
  void accuse(Entry& e, Key accuser, Key by);
  void vouch(const Entry& e);
  void declare(Entry& e);
  int needed_accusers() const;

  void probe(Entry& e, Why why, Address to = 0);
  void step(Probe& probe);
  void ask_others(Probe& probe, const Entry& e);
  void failed(const Probe& probe);
  void doubts();
  double due(const Doubt& doubt) const;
  void next_observed();
  void next_in_round();
  void wake(double gap);
  void serve_page(const Message& m, Address from);
  void serve_digest(const Message& m, Address from);
  void take_page(const Message& m);
  void ask_page();
  void greet();
  void seek();
  void digest();
  void describe();
  void sweep();
  void plan();
  void health(int by);
  double scaled(double seconds) const { return seconds * (1 + health_); }
  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

  Settings s_;
  const Key key_;
  const std::shared_ptr<const Identity> self_;
  std::uint64_t life_ = 0;
  std::uint32_t incarnation_ = 0;
  State state_ = State::kAlive;  // this node's own
  pcg64 random_;
  double now_ = 0;
  std::vector<Out>* out_ = nullptr;

  Table table_;                                                          // all but this node
  std::unordered_map<Key, std::pair<std::uint64_t, double>> forgotten_;  // lives that have ended, and when
  std::map<Key, Doubt> doubts_;
  std::map<Key, Hold> holds_;
  std::map<Key, Claim> claims_;
  std::map<Key, std::vector<std::pair<Key, double>>> reached_;  // by whom, when
  std::vector<Key> dead_, undescribed_;
  std::vector<Key> observed_;  // by ring; 0: nobody
  std::size_t observed_at_ = 0;
  std::vector<Key> round_;  // of the styles that probe at random
  std::size_t round_at_ = 0;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  News news_;
  std::vector<Change> changes_;
  std::vector<Address> join_, greet_;
  Bucket spread_, replies_;

  std::uint32_t seq_ = 0, seq_at_page_ = 0;
  std::size_t living_ = 1;
  int health_ = 0;
  double next_ = 0, next_probe_ = 0, next_news_ = 0, next_seek_ = 0, next_sync_ = 0, next_ask_ = 0,
         next_greet_ = 0, next_sweep_ = 0;
  double quiet_until_ = 0, reborn_at_ = -1e18;
  int quick_seeks_ = 0;
  Key digest_at_ = 0, page_at_ = 1;
  bool page_out_ = false, learned_ = false, learning_ = true;
  bool urgent_ = false, left_ = false, refused_ = false, started_ = false, established_ = false;
  double taken_since_ = -1e18, taken_at_ = -1e18, answered_at_ = -1e18;
  Counters counters_;
};

}  // namespace nettlestand::peers
