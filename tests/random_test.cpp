// The four rules under random legal orders of events with fixed seeds: restarts of balancers and servers,
// drains, stale, partial, failed, empty and full lists, clients that leave early, late and duplicate
// outcomes.
#include <gtest/gtest.h>

#include <map>
#include <optional>
#include <set>

#include "balancer_harness.h"

namespace quinceusher {
namespace {

class RandomRun {
 public:
  RandomRun(std::uint64_t seed, Effect effect, DedupScope scope, bool must_watch)
      : state_(seed), effect_(effect), scope_(scope) {
    settings_ = basic_settings(class_of(effect, scope));
    settings_.classes[0].dedup_window = 0.8;
    settings_.classes[0].late_worth = seed % 2 == 0 ? 0.3 : 0;
    settings_.copy_count = 1 + static_cast<int>(below(300));
    settings_.tier = static_cast<int>(below(2));
    settings_.tenants = {{40.0}, {0.0}, {}};
    settings_.must_watch = must_watch;
    settings_.ask_within = 10;
    settings_.start_capacity = 0.2;
    settings_.ramp_time = 8;
    settings_.cross_zone_price = seed % 3 == 0 ? 0.02 : 0;
    restart();
  }

  void step() {
    now_ += 0.001 * static_cast<double>(below(120));
    check_deadlines();
    const std::size_t kind = below(100);
    if (kind < 45) {
      request();
    } else if (kind < 85) {
      outcome();
    } else if (kind < 93) {
      list();
    } else if (kind < 98) {
      leave();
    } else if (below(12) == 0) {
      restart();
    }
  }

  int sends() const { return sends_; }
  int finals() const { return finals_; }

 private:
  struct SentAttempt {
    std::string server;
    double at = 0, timeout = 0;
    bool open = true, ran = true;
  };
  struct OpenRequest {
    double until = 0;
    bool finished = false;
    std::vector<SentAttempt> sent;
  };

  std::uint64_t next() {
    state_ = state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return state_ >> 33;
  }
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(next() % n); }

  void restart() {
    balancer_.emplace(settings_, next());
    requests_.clear();
    listed_.clear();
    apply(Started{});
    list();
  }

  void apply(const Event& event) {
    for (const Action& action : balancer_->at(now_, event)) {
      if (const auto* send = std::get_if<Send>(&action)) sent(*send);
      if (const auto* refuse = std::get_if<Refuse>(&action)) answered(refuse->id, true);
      if (const auto* fail = std::get_if<Fail>(&action)) answered(fail->id, false);
      if (const auto* cancel = std::get_if<Cancel>(&action)) {
        ASSERT_LT(static_cast<std::size_t>(cancel->attempt), requests_.at(cancel->id).sent.size());
      }
    }
  }

  void sent(const Send& send) {
    ++sends_;
    ASSERT_TRUE(requests_.contains(send.id));
    OpenRequest& r = requests_.at(send.id);
    EXPECT_FALSE(r.finished) << "nothing is sent for what is finished";
    ASSERT_TRUE(listed_.contains(send.server));
    const Server& to = listed_.at(send.server);
    EXPECT_EQ(to.state, ServerState::kReady) << "drains are kept";
    EXPECT_GT(send.timeout, 0);
    EXPECT_LE(now_ + send.timeout, r.until + 1e-9);
    EXPECT_LT(r.sent.size(), static_cast<std::size_t>(settings_.max_attempts));
    for (const SentAttempt& s : r.sent) {
      EXPECT_FALSE(s.open) << "two attempts at once";
      if (!s.ran || effect_ == Effect::kSafe) continue;
      EXPECT_NE(effect_, Effect::kUnsafe) << "an unsafe request that may have run was sent again";
      EXPECT_LE(now_, s.at + settings_.classes[0].dedup_window);
      EXPECT_LT(now_ + send.within, s.at + settings_.classes[0].dedup_window) << "nor written after it";
      const Server& before = known_.at(s.server);
      if (scope_ == DedupScope::kZone) {
        EXPECT_EQ(before.zone, to.zone);
      }
      if (scope_ == DedupScope::kCell) {
        EXPECT_EQ(before.cell, to.cell);
      }
    }
    r.sent.push_back({send.server, now_, send.timeout, true, true});
  }

  void answered(const std::string& id, bool refused) {
    ++finals_;
    ASSERT_TRUE(requests_.contains(id));
    OpenRequest& r = requests_.at(id);
    EXPECT_FALSE(r.finished) << "a second final answer";
    r.finished = true;
    bool ran = false;
    for (const SentAttempt& s : r.sent) ran = ran || s.ran;
    if (!refused || !ran || effect_ == Effect::kSafe) return;
    EXPECT_TRUE(effect_ == Effect::kKeyed && scope_ == DedupScope::kAll) << "refused though it may have run";
  }

  void request() {
    Request r;
    r.id = "r" + std::to_string(++ids_);
    r.tenant = below(4);
    const double lefts[] = {6, 2, 0.05, 0, -1};
    r.time_left = lefts[below(20) == 0 ? below(5) : below(2)];
    requests_[r.id].until = now_ + r.time_left;
    apply(r);
    OpenRequest& after = requests_.at(r.id);
    EXPECT_TRUE(after.finished || !after.sent.empty()) << "a request neither sent nor answered";
    if (!after.finished && below(30) == 0) {
      EXPECT_TRUE(balancer_->at(now_, r).empty()) << "an id that comes twice";
    }
  }

  // Ends an open attempt: a random one, or one whose time is up.
  void end(const std::string& id, std::size_t at, Outcome outcome) {
    OpenRequest& r = requests_.at(id);
    SentAttempt& s = r.sent[at];
    s.open = false;
    s.ran = outcome != Outcome::kRejected && outcome != Outcome::kDialFailed && outcome != Outcome::kNotSent;
    const bool done = r.finished || outcome == Outcome::kDelivered;
    r.finished = done;
    const AttemptResult result{id, static_cast<int>(at), outcome, now_ - s.at, done};
    apply(result);
    const OpenRequest& after = requests_.at(id);
    bool open = false;
    for (const SentAttempt& each : after.sent) open = open || each.open;
    EXPECT_TRUE(after.finished || open) << "a request left without an answer or an attempt";
    if (below(20) == 0) {
      EXPECT_TRUE(balancer_->at(now_, result).empty()) << "an outcome that comes twice";
    }
  }

  void outcome() {
    if (requests_.empty()) return;
    auto it = requests_.begin();
    std::advance(it, static_cast<std::ptrdiff_t>(below(requests_.size())));
    const auto [id, r] = *it;
    for (std::size_t i = 0; i < r.sent.size(); ++i) {
      if (!r.sent[i].open) continue;
      const std::size_t draw = below(16);
      end(id, i, draw < 9 ? static_cast<Outcome>(draw) : Outcome::kDelivered);
      return;
    }
    if (r.finished) requests_.erase(it);
  }

  // Ends attempts at their timeouts; after the client's time none may be in flight and no request unanswered.
  void check_deadlines() {
    std::vector<std::pair<std::string, std::size_t>> due;
    for (const auto& [id, r] : requests_) {
      for (std::size_t i = 0; i < r.sent.size(); ++i) {
        if (r.sent[i].open && r.sent[i].at + r.sent[i].timeout <= now_) due.emplace_back(id, i);
      }
    }
    const double later = now_;
    for (const auto& [id, i] : due) {
      const SentAttempt& s = requests_.at(id).sent[i];
      now_ = std::max(balancer_->now, s.at + s.timeout);
      end(id, i, Outcome::kTimedOut);
    }
    now_ = later;
    for (const auto& [id, r] : requests_)
      EXPECT_TRUE(r.finished || r.until + 0.15 >= now_) << id << " is overdue";
  }

  void leave() {
    const std::string id = "r" + std::to_string(1 + below(ids_ + 1));
    const auto it = requests_.find(id);
    if (it != requests_.end()) it->second.finished = true;
    apply(RequestGone{id});
  }

  void list() {
    MembershipUpdate update;
    const std::size_t draw = below(12);
    update.form = draw == 0  ? MembershipUpdate::Form::kFailed
                  : draw < 4 ? MembershipUpdate::Form::kFull
                             : MembershipUpdate::Form::kChanges;
    const std::size_t count = draw == 0 || below(25) == 0 ? 0 : 1 + below(draw < 4 ? 14 : 3);
    for (std::size_t i = 0; i < count; ++i) {
      const int n = static_cast<int>(below(14));
      Server s = server(n, n % 2, n / 3);
      s.weight = below(10) == 0 ? 0 : 0.5 + static_cast<double>(below(4));
      s.started = below(3) == 0 ? now_ - 0.1 : 0;
      const std::size_t state = below(10);
      s.state = state == 0 ? ServerState::kDraining : state == 1 ? ServerState::kGone : ServerState::kReady;
      update.servers.push_back(s);
    }
    if (update.form == MembershipUpdate::Form::kFull) {
      for (auto& [address, s] : listed_) s.state = ServerState::kGone;
    }
    for (const Server& s : update.servers) known_[s.address] = listed_[s.address] = s;
    apply(update);
  }

  std::uint64_t state_;
  Effect effect_;
  DedupScope scope_;
  Settings settings_;
  std::optional<TestBalancer> balancer_;
  double now_ = 1000;
  std::size_t ids_ = 0;
  std::map<std::string, OpenRequest> requests_;
  std::map<std::string, Server> listed_, known_;
  int sends_ = 0, finals_ = 0;
};

TEST(RandomWalk, KeepsTheFourRules) {
  const std::pair<Effect, DedupScope> kinds[] = {{Effect::kSafe, DedupScope::kAll},
                                                 {Effect::kKeyed, DedupScope::kAll},
                                                 {Effect::kKeyed, DedupScope::kZone},
                                                 {Effect::kKeyed, DedupScope::kCell},
                                                 {Effect::kUnsafe, DedupScope::kAll}};
  for (const auto& [effect, scope] : kinds) {
    int sends = 0;
    int finals = 0;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
      RandomRun run(seed, effect, scope, seed % 2 == 0);
      for (int i = 0; i < 2000; ++i) run.step();
      sends += run.sends();
      finals += run.finals();
      if (HasFailure())
        FAIL() << "seed " << seed << ", kind " << static_cast<int>(effect) << "/" << static_cast<int>(scope);
    }
    EXPECT_GT(sends, 5000);
    EXPECT_GT(finals, 1000);
  }
}

}  // namespace
}  // namespace quinceusher
