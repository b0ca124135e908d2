// Simulation of consensus groups from seeds, with lost and delayed messages, one-way and full partitions,
// restarts and wiped disks. Checks the safety and liveness properties of a group.
#include "consensus/replica.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "control/member_repair.h"

using namespace nettlestand::tier;
using namespace nettlestand::tier::consensus;

namespace {

// Faults of the implementation that are injected to show that the checks detect them.
enum class InjectedFault { kNone, kVoteAfterAmnesia, kSendBeforeSync, kLeaseWithoutQuorum };

struct Result {
  std::string violation;  // the violated property; empty if none
  std::size_t acknowledged = 0;
  std::size_t leaders = 0;
};

// Machines with one replica each, in simulated time.
class SimulatedGroup {
 public:
  SimulatedGroup(std::uint64_t seed, std::size_t size, InjectedFault fault)
      : random_(seed), injected_fault_(fault), machines_(size) {
    std::vector<Member> members;
    for (std::size_t i = 0; i < size; ++i) {
      machines_[i].id = next_id_++;
      members.push_back(member(i));
      start(i);
    }
    machines_[0].replica->bootstrap(members);
    drive(0);
  }

  Result play(Millis length) {
    for (; now_ < length && result_.violation.empty(); now_ += kStep) step(true);
    clear_faults();
    const Millis settled = now_ + 12000;
    for (; now_ < settled && result_.violation.empty(); now_ += kStep) step(false);
    check_end();
    return result_;
  }

 private:
  static constexpr Millis kStep = 10;
  struct Machine {
    ReplicaId id = 0;
    std::unique_ptr<Replica> replica;  // null while the machine is down
    StoredState disk;
    std::vector<std::string> applied;  // commands applied since the last start
    LogIndex applied_from = 0;
    Millis back_at = 0, paused_until = 0;
  };
  struct InFlight {
    Millis at;
    std::size_t from, to;
    Message message{};
  };

  Member member(std::size_t i) const {
    Member out{};
    out.id = machines_[i].id;
    out.node = "machine-" + std::to_string(i);
    return out;
  }
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  bool up(std::size_t i) const { return machines_[i].replica != nullptr; }

  void start(std::size_t i) {
    Machine& m = machines_[i];
    m.applied.clear();
    m.replica = std::make_unique<Replica>(m.id, m.disk, Timing{}, random_(), now_);
  }
  void stop(std::size_t i, Millis for_ms) {
    machines_[i].replica.reset();
    machines_[i].back_at = now_ + for_ms;
  }

  void step(bool faults) {
    faults_enabled_ = faults;
    if (faults) inject_fault();
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      Machine& m = machines_[i];
      if (!m.replica && now_ >= m.back_at) start(i);
      if (!m.replica || now_ < m.paused_until) continue;
      m.replica->tick(now_);
      drive(i);
    }
    deliver();
    propose_and_repair();
    check_leases();
  }

  void inject_fault() {
    const std::size_t i = random_() % machines_.size();
    const double what = uniform();
    if (what < 0.002)
      stop(i, 100 + static_cast<Millis>(random_() % 1500));
    else if (what < 0.0026)
      for (std::size_t j = 0; j < machines_.size(); ++j) stop(j, 50 + static_cast<Millis>(random_() % 600));
    else if (what < 0.004)
      machines_[i].paused_until = now_ + static_cast<Millis>(random_() % 2500);
    else if (what < 0.006)
      blocked_links_.emplace(i, random_() % machines_.size());
    else if (what < 0.009)
      blocked_links_.clear();
    else if (what < 0.0105 && may_wipe(i))
      wipe(i);
    loss_ = now_ / 3000 % 3 == 1 ? 0.3 : 0.02;
  }

  // A disk may be wiped only while all machines are up and agree on the full membership, so that the others
  // hold what was committed.
  bool may_wipe(std::size_t i) const {
    if (!up(i)) return false;
    std::set<ReplicaId> ids;
    for (const Machine& m : machines_) ids.insert(m.id);
    std::size_t whole = 0;
    for (const Machine& m : machines_) {
      if (!m.replica || is_joint(m.replica->member_list())) continue;
      if (m.replica->members().size() != machines_.size()) continue;
      bool all = true;
      for (const Member& other : m.replica->members()) all = all && ids.contains(other.id);
      whole += all ? 1 : 0;
    }
    return whole == machines_.size();
  }
  void wipe(std::size_t i) {
    Machine& m = machines_[i];
    m.disk = StoredState{};
    if (injected_fault_ != InjectedFault::kVoteAfterAmnesia) m.id = next_id_++;
    stop(i, 200 + static_cast<Millis>(random_() % 800));
  }

  void drive(std::size_t i) {
    Machine& m = machines_[i];
    while (m.replica && m.replica->has_ready()) {
      Ready ready = m.replica->take_ready();
      const bool durable = ready.hard || ready.snapshot || !ready.entries.empty();
      // Power may fail before the data is on disk; nothing may have been sent by then.
      const bool power_lost = durable && faults_enabled_ && now_ > 0 && uniform() < 0.001;
      if (injected_fault_ == InjectedFault::kSendBeforeSync) send(i, ready);
      if (power_lost) return stop(i, 300);
      persist(m.disk, ready);
      if (injected_fault_ != InjectedFault::kSendBeforeSync) send(i, ready);
      apply(i, ready);
      if (m.replica->log_size() > 40) {
        m.replica->compact("state");
        m.disk = m.replica->stored();
      }
      m.replica->persisted(now_);
    }
  }

  static void persist(StoredState& disk, const Ready& ready) {
    if (ready.hard) disk.hard = *ready.hard;
    if (ready.snapshot) disk.add(*ready.snapshot);
    for (const LogEntry& entry : ready.entries) disk.add(entry);
  }

  void send(std::size_t i, Ready& ready) {
    for (Message& message : ready.messages) {
      for (std::size_t to = 0; to < machines_.size(); ++to) {
        if (machines_[to].id != message.to || to == i) continue;
        if (blocked_links_.contains({i, to}) || uniform() < loss_) continue;
        in_flight_.push_back({now_ + 1 + static_cast<Millis>(random_() % 30), i, to, message});
      }
    }
    ready.messages.clear();
  }

  void deliver() {
    std::vector<InFlight> due;
    std::erase_if(in_flight_, [&](const InFlight& f) {
      if (f.at > now_ || now_ < machines_[f.to].paused_until) return false;
      due.push_back(f);
      return true;
    });
    for (const InFlight& f : due) {
      if (!up(f.to)) continue;
      machines_[f.to].replica->step(now_, f.message);
      drive(f.to);
    }
  }

  void apply(std::size_t i, const Ready& ready) {
    for (const LogEntry& entry : ready.committed) {
      const auto [known, added] = committed_.emplace(entry.index, entry.data);
      if (!added && known->second != entry.data)
        result_.violation = "two commands were committed at one index";
      if (entry.kind == EntryKind::kCommand && machines_[i].replica->role() == Role::kLeader) {
        acknowledged_.emplace(entry.index, entry.data);
      }
    }
  }

  void propose_and_repair() {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      if (!up(i) || now_ < machines_[i].paused_until) continue;
      Replica& replica = *machines_[i].replica;
      if (replica.role() != Role::kLeader) continue;
      leaders_.emplace(replica.term(), machines_[i].id);
      if (leaders_.at(replica.term()) != machines_[i].id) result_.violation = "a term has two leaders";
      if (now_ % 50 == 0) replica.propose(now_, "command " + std::to_string(commands_++));
      std::vector<Member> live;
      for (std::size_t j = 0; j < machines_.size(); ++j) {
        if (up(j) && now_ >= machines_[j].paused_until && !blocked_links_.contains({j, i}))
          live.push_back(member(j));
      }
      MemberRepair repair = plan_member_repair(replica, live, machines_.size(), now_);
      replica.set_learners(repair.learners);
      if (repair.new_members && replica.has_lease(now_)) replica.propose_members(now_, *repair.new_members);
      drive(i);
    }
  }

  void check_leases() {
    std::size_t holders = 0;
    for (const Machine& m : machines_) {
      if (!m.replica) continue;
      const bool ignores_quorum =
          injected_fault_ == InjectedFault::kLeaseWithoutQuorum && m.replica->role() == Role::kLeader;
      if (m.replica->has_lease(now_) || ignores_quorum) ++holders;
    }
    if (holders > 1) result_.violation = "two leaders hold the lease";
  }

  void clear_faults() {
    blocked_links_.clear();
    loss_ = 0;
    for (Machine& m : machines_) m.paused_until = 0;
  }

  void check_end() {
    result_.acknowledged = acknowledged_.size();
    result_.leaders = leaders_.size();
    if (!result_.violation.empty()) return;
    std::size_t led = 0;
    for (const Machine& m : machines_) {
      if (!m.replica || m.replica->role() != Role::kLeader) continue;
      ++led;
      if (acknowledged_.empty()) continue;
      if (m.replica->commit_index() < acknowledged_.rbegin()->first)
        result_.violation = "an acknowledged command is lost";
    }
    if (led != 1) result_.violation = "no leader after all faults are over";
  }

  std::mt19937_64 random_;
  InjectedFault injected_fault_;
  std::vector<Machine> machines_;
  Millis now_ = 0;
  ReplicaId next_id_ = 1;
  double loss_ = 0.02;
  std::set<std::pair<std::size_t, std::size_t>> blocked_links_;
  std::vector<InFlight> in_flight_;
  std::map<LogIndex, std::string> committed_, acknowledged_;
  std::map<Term, ReplicaId> leaders_;
  int commands_ = 0;
  bool faults_enabled_ = false;
  Result result_;
};

Result play(std::uint64_t seed, std::size_t size, InjectedFault fault = InjectedFault::kNone,
            Millis length = 20000) {
  return SimulatedGroup(seed, size, fault).play(length);
}

std::size_t first_failing_seed(InjectedFault fault, std::size_t most) {
  for (std::size_t seed = 1; seed <= most; ++seed) {
    if (!play(seed, 3, fault).violation.empty()) return seed;
  }
  return 0;
}

}  // namespace

TEST_CASE("groups of three and five keep their promises over many worlds") {
  std::size_t acknowledged = 0, leaders = 0;
  for (std::uint64_t seed = 1; seed <= 160; ++seed) {
    const std::size_t size = seed % 4 == 0 ? 5 : 3;
    const Result result = play(seed, size);
    INFO("seed " << seed << " size " << size);
    CHECK(result.violation == "");
    acknowledged += result.acknowledged;
    leaders += result.leaders;
  }
  // The simulated groups made progress and changed leaders.
  CHECK(acknowledged > 160 * 100);
  CHECK(leaders > 160 * 3);
}

TEST_CASE("a world plays the same way again") {
  const Result first = play(42, 3), second = play(42, 3);
  CHECK(first.acknowledged == second.acknowledged);
  CHECK(first.leaders == second.leaders);
}

TEST_CASE("planted faults are found") {
  CHECK(first_failing_seed(InjectedFault::kSendBeforeSync, 300) > 0);
  CHECK(first_failing_seed(InjectedFault::kVoteAfterAmnesia, 300) > 0);
  CHECK(first_failing_seed(InjectedFault::kLeaseWithoutQuorum, 50) > 0);
}

TEST_CASE("a leader hands over to a member that has the whole log, and its lease ends first") {
  std::vector<Member> members(2);
  members[0].id = 1;
  members[1].id = 2;
  Replica a(1, {}, Timing{}, 1, 0), b(2, {}, Timing{}, 2, 0);
  std::map<ReplicaId, Replica*> all = {{1, &a}, {2, &b}};
  Millis now = 1000;
  const auto run = [&] {
    for (bool moved = true; moved;) {
      moved = false;
      for (auto& [id, replica] : all) {
        if (!replica->has_ready()) continue;
        Ready ready = replica->take_ready();
        replica->persisted(now);
        for (const Message& message : ready.messages) all.at(message.to)->step(now, message);
        moved = true;
      }
    }
  };
  a.bootstrap(members);
  a.tick(now);
  run();
  REQUIRE(a.role() == Role::kLeader);
  REQUIRE(a.has_lease(now));
  CHECK_FALSE(a.transfer_leadership(now, 1));
  REQUIRE(a.transfer_leadership(now, 2));
  CHECK_FALSE(a.has_lease(now));
  run();
  CHECK(b.role() == Role::kLeader);
  CHECK(a.role() == Role::kFollower);
}

TEST_CASE("a replica with an empty disk neither votes for a group nor counts in it before it is taken in") {
  std::vector<Member> members(3);
  for (std::size_t i = 0; i < 3; ++i) members[i].id = i + 1;
  Replica blank(99, {}, Timing{}, 5, 0);
  Message request{};
  request.kind = MessageKind::kVote;
  request.from = 1;
  request.to = 3;  // the replica on the disk that was here before
  request.term = 5;
  blank.step(5000, request);
  CHECK_FALSE(blank.has_ready());
  blank.tick(60000);
  CHECK_FALSE(blank.has_ready());
  CHECK(blank.role() == Role::kFollower);
}

TEST_CASE("a replica whose log is behind does not raise its term by asking in vain") {
  std::vector<Member> members(3);
  for (std::size_t i = 0; i < 3; ++i) members[i].id = i + 1;
  StoredState behind;
  behind.hard.term = 4;
  behind.snapshot = Snapshot{};
  behind.snapshot->index = 1;
  behind.snapshot->term = 1;
  behind.snapshot->members.members = members;
  StoredState ahead = behind;
  LogEntry entry{};
  entry.index = 2;
  entry.term = 3;
  ahead.add(entry);
  Replica a(1, behind, Timing{}, 1, 0), b(2, ahead, Timing{}, 2, 0);
  for (Millis now = 1000; now < 20000; now += 1000) {
    a.tick(now);
    const Ready asked = a.take_ready();
    for (const Message& message : asked.messages) {
      if (message.to == 2) b.step(now, message);
    }
    const Ready answered = b.take_ready();
    for (const Message& message : answered.messages) a.step(now, message);
  }
  CHECK(a.term() == 4);
  CHECK(b.term() == 4);
}
