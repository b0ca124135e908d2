// Who is there: membership among the nodes, decided. Datagrams and time in, datagrams and events out; no
// sockets, no clock, no files. Probing and spreading after SWIM (Das, Gupta, Motivala 2002), self-awareness
// after Lifeguard (Dadgar, Phillips, Currey 2017). What is added to them, and why, stands in
// docs/design/peers.md:
//   - a life number with each start, and a new one for who learns that it was thought dead: no life comes
//   back
//   - a death is declared by somebody who has failed to reach the member itself, once enough others have too
//   - who still hears a member says so and tells it that it is doubted: one-sided cuts do not make it dead
//   - a process that notices that it stood forgets what it was about to say of others
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <unordered_map>
#include <vector>

namespace nettlestand::peers {

// Where datagrams go: the host's own numbering, such as IPv4 address and port in 48 bits. 0: nowhere.
using Address = std::uint64_t;
// A name's digest: what datagrams carry of it.
using Key = std::uint64_t;
Key key_of(const std::string& name);

enum class State : std::uint8_t { kAlive, kSuspect, kDead, kLeaving, kLeft };
const char* name_of(State state);

struct Identity {
  std::string name;          // 1 to 32 bytes, unique in the cluster
  std::string zone, region;  // 0 to 12 bytes
  std::string version;       // 0 to 12 bytes
  std::uint8_t tier = 0;
};

// One member as this node holds it.
struct Member {
  Identity id;
  bool described = false;  // id is known beyond the key
  Key key = 0;
  Address address = 0;
  std::uint64_t life = 0;  // larger with each life of this name
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  double since = 0;            // s by this node's clock, in this state
  double reached_at = -1e18;   // s; this node had an answer from it last
  std::size_t reached_by = 0;  // others that have said within some periods that they reach it
};

// A change of one member, told in order and exactly once.
struct Change {
  Member member;
  State before = State::kDead;
  bool first = false;  // it was not known before
};

// What one node says of another, or of itself.
struct Update {
  Key key = 0;
  std::uint64_t life = 0;
  std::uint32_t incarnation = 0;
  State state = State::kAlive;
  Address address = 0;
  Key accuser = 0;                   // of a suspicion: who failed to reach it
  std::optional<Identity> identity;  // the first times that a life is told of
};

enum class Kind : std::uint8_t {
  kPing,     // answer with an ack
  kAck,      // to a ping, or to a ping that was asked for
  kPingReq,  // ping `target` for me
  kNews,     // updates alone
  kSync,     // a page of the sender's table; is answered with what the receiver knows better
  kWhoIs,    // describe yourself
  kHeard     // a request to ping was heard: who asked is not deaf (Lifeguard's nack)
};

struct Message {
  Kind kind = Kind::kNews;
  std::uint32_t seq = 0;  // of a ping, and of its ack
  Key from = 0;
  std::uint64_t life = 0;  // of the sender
  Key target = 0;  // whom a ping is for: it may be somebody else's address by now; of whom an ack tells
  std::uint64_t target_life = 0;
  bool reaches = false;  // of an ack: the sender has answered itself
  std::vector<Update> updates;
};

struct Settings {
  Identity self;
  Address address = 0;
  std::uint64_t life = 1;  // larger than any before under this name: from a clock or by chance; see design
  std::uint64_t seed = 1;
  double period = 1;      // s between probes
  double timeout = 0.25;  // s until an unanswered ping is sent again; three times within a probe
  int indirect = 3;       // others that are asked to try
  int accusers =
      3;  // that have failed to reach a member themselves, before it is dead; fewer in small fleets
  double least_doubt = 1.5;   // s from suspicion to death at the least,
  double most_doubt = 8;      // s where too few confirm it
  double news_per_s = 2;      // datagrams of news alone, a second
  double seek_period = 5;     // s between looks for the dead
  double sync_period = 2;     // s between pages,
  double learn_period = 0.1;  // and while they tell of members that were not known
  double forget_after = 600;  // s after which the dead and the left are forgotten, but for their lives
  int most_health = 8;        // Lifeguard: timeouts grow up to so many times
  bool plain_swim = false;    // for measurements: no self-awareness, no vouching, one accuser is enough
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
  // A datagram from an address. What is not for this cluster or does not verify never comes here.
  void message(double now, Address from, const Message& message, std::vector<Out>& out);
  // Time has come to next().
  void tick(double now, std::vector<Out>& out);
  // When tick() wants to be called. Called later, by more than a period, it takes itself to have stood.
  double next() const { return next_; }
  // Says goodbye to some: the rest hears it from these. Nothing is sent or answered after it.
  void leave(double now, std::vector<Out>& out);

  // What has changed since it was asked last, in order.
  std::vector<Change> changes();
  // All that are known, this node too, by name's key.
  std::vector<Member> members() const;
  const Member* find(Key key) const;
  std::uint64_t life() const { return life_; }
  Key key() const { return key_; }
  // Alive and suspected, this node too.
  std::size_t living() const { return living_; }
  // 0: well; more: this node is slow, or hears little.
  int health() const { return health_; }

  struct Counters {
    std::uint64_t probes = 0, failed_probes = 0, suspicions = 0, refuted = 0, deaths_declared = 0,
                  rebirths = 0;
    std::uint64_t stood = 0;  // times that this process noticed that it had stood
    std::uint64_t twins = 0;  // messages of another process under this name
  };
  const Counters& counters() const { return counters_; }
  // Another process under this name has been here longer: this one has to go. Told once to the host.
  bool refused() const { return refused_; }

 private:
  struct Doubt {
    double since = 0, until = 0;
    std::uint32_t incarnation = 0;
    std::vector<Key> accusers;
    bool own = false;        // this node has failed to reach it itself
    bool last_look = false;  // and tries once more before it says so
  };
  struct Entry {
    Member member;
    std::optional<Doubt> doubt;
    std::vector<std::pair<Key, double>> reached;  // by whom, when
    double hold_off = 0, next_accusation = 0;  // s; after a refutation while this node still can't reach it
    double asked_at = -1e18;
  };
  struct Probe {
    Key key = 0;
    std::uint64_t life = 0;
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
  struct News {
    Update update;
    int sent = 0;
  };

  Entry* entry(Key key);
  Message make(Kind kind) const;
  void send(double now, Address to, Message message, std::vector<Out>& out, Key about = 0);
  void apply(double now, const Update& update, Key from, std::vector<Out>& out);
  void accuse(double now, Entry& e, Key accuser, std::vector<Out>& out);
  void vouch(double now, Entry& e, std::vector<Out>& out);
  void declare(double now, Entry& e, State state);
  void reborn(double now, std::vector<Out>& out);
  void set_state(double now, Entry& e, State state);
  void heard(double now, Key from, std::uint64_t life, Address address);
  void tell(const Update& update);
  Update update_of(const Entry& e) const;
  Update self_update() const;
  void probe_next(double now, std::vector<Out>& out);
  void begin_probe(double now, Entry& e, std::vector<Out>& out);
  void step(double now, Probe& probe, std::vector<Out>& out);
  void failed(double now, const Probe& probe, std::vector<Out>& out);
  void doubts(double now, std::vector<Out>& out);
  void page(double now, Address to, std::vector<Out>& out);
  void plan(double now);
  int needed_accusers() const;
  double scaled(double seconds) const { return seconds * (1 + (s_.plain_swim ? 0 : health_)); }
  void health(int by);
  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)); }

  Settings s_;
  Key key_ = 0;
  std::uint64_t life_ = 0;
  std::uint32_t incarnation_ = 0;
  pcg64 random_;
  std::map<Key, Entry> entries_;  // all but this node
  std::unordered_map<Key, std::uint64_t>
      last_life_;           // the latest that has ended, by key: it does not come back
  std::vector<Key> round_;  // whom to probe next
  std::size_t round_at_ = 0;
  std::vector<Probe> probes_;
  std::vector<Relay> relays_;
  std::vector<News> news_;
  std::vector<Change> changes_;
  std::vector<Address> join_;
  std::uint32_t seq_ = 0;
  std::size_t living_ = 1;
  int health_ = 0;
  double next_ = 0, next_probe_ = 0, next_news_ = 0, next_seek_ = 0, next_sync_ = 0, next_join_ = 0,
         last_tick_ = 0;
  double quiet_until_ = 0;  // nobody is accused before
  Key page_at_ = 0;
  bool left_ = false, refused_ = false, started_ = false;
  bool learning_ = false;  // the last page told of somebody new
  Counters counters_;
};

}  // namespace nettlestand::peers
