// Tests each rule of the checker with violations and with near misses.
#include "standins/checker/checker.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace nettlestand::standins::testing {
namespace {

using Effect = CheckedClass::Effect;
using Group = CheckedClass::Group;

constexpr double kStart = 100;  // time at which the request was sent
constexpr std::uint64_t kBody = 77;

// One request of the class `name` and its attempts; times are s after it was sent.
struct RequestCase {
  CheckerSettings settings;
  Evidence e;

  explicit RequestCase(const std::string& name = "unsafe") {
    settings.classes = {{"safe", Effect::kSafe, Group::kAll, 0},
                        {"unsafe", Effect::kUnsafe, Group::kAll, 0},
                        {"cell", Effect::kKeyed, Group::kCell, 4},
                        {"zone", Effect::kKeyed, Group::kZone, 4},
                        {"all", Effect::kKeyed, Group::kAll, 4}};
    settings.servers = {{"a1", "a", 1}, {"a1b", "a", 1}, {"a2", "a", 2}, {"b3", "b", 3}};
    CallRecord call;
    call.node = "n1";
    call.id = "r";
    call.request_class = name;
    call.timeout = 2;
    call.first_byte_at = call.sent_at = kStart;
    e.calls.push_back(call);
    answered(502, 1);
  }
  CallRecord& call() { return e.calls.back(); }

  RequestCase& ended(CallEnd end, double at, int status = 0) {
    call().end = end;
    call().status = status;
    call().answered_at = kStart + at;
    return *this;
  }
  RequestCase& answered(int status, double at = 1) {
    call().answer_digest = status == 200 ? kBody : 0;
    return ended(CallEnd::kAnswered, at, status);
  }
  // An attempt that arrived whole; following calls set its answer.
  RequestCase& sent(const std::string& server, double at = 0.1) {
    AttemptRecord a;
    a.server = server;
    a.id = "r";
    a.first_byte_at = a.last_byte_at = kStart + at;
    a.executed = true;
    e.attempts.push_back(a);
    return *this;
  }
  RequestCase& broke(double at) {
    e.attempts.back().connection_lost_at = kStart + at;
    return *this;
  }
  RequestCase& partly() {
    e.attempts.back().last_byte_at = 0;
    e.attempts.back().executed = false;
    return *this;
  }
  RequestCase& ok(double at = 0.2) {
    e.attempts.back().status = 200;
    e.attempts.back().answer_digest = kBody;
    e.attempts.back().answered_at = kStart + at;
    return *this;
  }
  RequestCase& error(double at = 0.2) {
    e.attempts.back().status = 500;
    e.attempts.back().answered_at = kStart + at;
    return *this;
  }
  // Rejected; at 0: the answer was never written.
  RequestCase& not_started(double at = 0.2) {
    AttemptRecord& a = e.attempts.back();
    a.executed = false;
    a.not_started = true;
    a.status = 503;
    a.answered_at = at > 0 ? kStart + at : 0;
    return *this;
  }
  RequestCase& told(const std::string& server, const std::string& state, double at,
                    const std::string& node = "n1") {
    e.list_changes.push_back({node, server, state, kStart + at, kStart + at});
    return *this;
  }
  RequestCase& ended_node(double at, bool killed, double term = 0) {
    ProcessLifetime lifetime;
    lifetime.node = "n1";
    lifetime.started_at = 1;
    lifetime.sigterm_at = term == 0 ? 0 : kStart + term;
    lifetime.ended_at = kStart + at;
    lifetime.killed = killed;
    e.lifetimes.push_back(lifetime);
    return *this;
  }

  // The violated rules, one entry per violation.
  std::vector<Rule> broken() const {
    std::vector<Rule> out;
    for (const Violation& v : Checker(settings).check(e)) out.push_back(v.rule);
    return out;
  }
  std::string first() const {
    const auto found = Checker(settings).check(e);
    return found.empty() ? "" : found.front().what.substr(0, found.front().what.find(':'));
  }
};

const std::vector<Rule> kNoViolation;
const std::vector<Rule> kLost = {Rule::kLostRequest};
const std::vector<Rule> kTwice = {Rule::kDuplicateEffect};
const std::vector<Rule> kDrain = {Rule::kDrainIgnored};

// ------------------------------------------------------------ no request is lost

TEST(CheckerLost, AnyAnswerInTimeIsFine) {
  EXPECT_EQ(RequestCase().sent("a1").ok().answered(200).broken(), kNoViolation);
  EXPECT_EQ(RequestCase().answered(503).broken(), kNoViolation);
  EXPECT_EQ(RequestCase().answered(429).broken(), kNoViolation);
  EXPECT_EQ(RequestCase().answered(502).broken(), kNoViolation);
  EXPECT_EQ(RequestCase().answered(400).broken(), kNoViolation);
  EXPECT_EQ(RequestCase().answered(502, 2.04).broken(), kNoViolation) << "50 ms longer on sockets";
}

TEST(CheckerLost, NoWholeAnswerIsALoss) {
  for (const CallEnd end : {CallEnd::kTimedOut, CallEnd::kCut, CallEnd::kClosed, CallEnd::kOpen}) {
    EXPECT_EQ(RequestCase().sent("a1").ended(end, 1).broken(), kLost) << static_cast<int>(end);
    EXPECT_EQ(RequestCase("safe").ended(end, 1).broken(), kLost) << static_cast<int>(end);
  }
}

TEST(CheckerLost, WhatTheNodeNeverTookIsNot) {
  RequestCase s;
  s.ended(CallEnd::kNoConnect, 1).call().sent_at = 0;
  EXPECT_EQ(s.broken(), kNoViolation);
  s.ended(CallEnd::kTimedOut, 1);  // its bytes did not all go
  EXPECT_EQ(s.broken(), kNoViolation);
}

TEST(CheckerLost, LateAnswers) {
  RequestCase s;
  s.answered(502, 2.06);
  EXPECT_EQ(s.broken(), kLost);
  EXPECT_EQ(s.first(), "answered after the caller's time");
  s.settings.late_slack = 0.1;
  EXPECT_EQ(s.broken(), kNoViolation);
  s.answered(502, 2.16);
  EXPECT_EQ(s.broken(), kLost);
  s.settings.socket_slack = 0.1;
  EXPECT_EQ(s.broken(), kNoViolation);
}

TEST(CheckerLost, CutAnswersWhereTheNodePassesThemOnAsTheyCome) {
  RequestCase s;
  s.sent("a1").ended(CallEnd::kCut, 1);
  EXPECT_EQ(s.broken(), kLost);
  s.settings.cut_is_failure = true;
  EXPECT_EQ(s.broken(), kNoViolation);
  s.ended(CallEnd::kClosed, 1);
  EXPECT_EQ(s.broken(), kLost) << "that is none";
}

TEST(CheckerLost, OneAnswerOnly) {
  RequestCase s;
  s.call().has_extra_bytes = true;
  EXPECT_EQ(s.broken(), kLost);
  EXPECT_EQ(s.first(), "more than one answer");
}

TEST(CheckerLost, ServedWithItsOwnBodyAlone) {
  EXPECT_EQ(RequestCase().answered(200).broken(), kLost) << "no server made it";
  RequestCase other;
  other.sent("a1").ok().answered(200);
  other.e.attempts.back().answer_digest = kBody + 1;
  EXPECT_EQ(other.broken(), kLost) << "part of it, or another's";
  EXPECT_EQ(other.first(), "served with what no server made for it");
  EXPECT_EQ(RequestCase().sent("a1").error().answered(200).broken(), kLost);
  RequestCase foreign;  // made for another request
  foreign.sent("a1").ok().answered(200);
  foreign.e.attempts.back().id = "q";
  CallRecord q = foreign.call();
  q.id = "q";
  foreign.e.calls.push_back(q);
  EXPECT_EQ(foreign.broken(), kLost);
  // The one that was delivered, of several.
  RequestCase two("safe");
  two.sent("a1").sent("a2", 0.3).ok(0.4).answered(200);
  EXPECT_EQ(two.broken(), kNoViolation);
}

TEST(CheckerLost, NothingIsSentAfterTheFinalAnswer) {
  EXPECT_EQ(RequestCase("safe").sent("a1", 1.04).answered(502, 1).broken(), kNoViolation)
      << "it may cross the answer";
  RequestCase s("safe");
  s.sent("a1", 0.5).ok(0.6).answered(200).sent("a2", 1.06);
  EXPECT_EQ(s.broken(), kLost);
  EXPECT_EQ(s.first(), "sent to a2 after its final answer");
  s.settings.answer_race_slack = 0.1;
  EXPECT_EQ(s.broken(), kNoViolation);
  RequestCase begun("safe");
  begun.sent("a1", 0.5).answered(502);
  begun.e.attempts.back().last_byte_at = kStart + 1.2;  // the rest of it came later
  EXPECT_EQ(begun.broken(), kLost);
  RequestCase part("safe");
  part.answered(502).sent("a1", 1.2).partly();
  EXPECT_EQ(part.broken(), kLost);
}

TEST(CheckerLost, ACloseMayCrossARequest) {
  RequestCase s("safe");
  s.sent("a1", 0.5).ok(0.6).answered(200).call().resent_at = kStart + 0.3;
  EXPECT_EQ(s.broken(), kNoViolation);
  s.call().resent_at = kStart + 0.55;
  EXPECT_EQ(s.broken(), kLost) << "it had been taken";
  EXPECT_EQ(s.first(), "its connection was closed after it had been sent on");
  RequestCase second("safe");
  second.ended(CallEnd::kNoConnect, 0.4).call().resent_at = kStart + 0.3;
  EXPECT_EQ(second.broken(), kNoViolation) << "there was no node any more";
  second.sent("a1", 0.1);
  EXPECT_EQ(second.broken(), kLost) << "but it had been taken";
  RequestCase closed("safe");
  closed.ended(CallEnd::kClosed, 0.4).call().resent_at = kStart + 0.3;
  EXPECT_EQ(closed.broken(), kLost) << "a new connection is not closed between requests";
}

TEST(CheckerLost, NothingComesThatNoCallerSent) {
  RequestCase s;
  s.sent("a1").e.attempts.back().id = "made up";
  EXPECT_EQ(s.broken(), kLost);
}

TEST(CheckerLost, WhatAKilledNodeHeldIsForgiven) {
  EXPECT_EQ(RequestCase().sent("a1").ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).broken(),
            kNoViolation);
  EXPECT_EQ(RequestCase().ended(CallEnd::kCut, 0.5).ended_node(0.5, true).broken(), kNoViolation);
  RequestCase again;
  again.sent("a1").ended(CallEnd::kNoConnect, 0.5).ended_node(0.5, true).call().resent_at = kStart + 0.5;
  EXPECT_EQ(again.broken(), kNoViolation);
  EXPECT_EQ(RequestCase().ended(CallEnd::kTimedOut, 2).ended_node(5, true).broken(), kLost) << "long before";
  EXPECT_EQ(RequestCase().ended(CallEnd::kClosed, 0.5).ended_node(-1, true).broken(), kLost)
      << "sent to the next one";
  RequestCase other;
  other.ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).e.lifetimes.back().node = "n2";
  EXPECT_EQ(other.broken(), kLost);
  RequestCase strict;
  strict.ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).settings.forgive_killed = false;
  EXPECT_EQ(strict.broken(), kLost);
  EXPECT_EQ(
      RequestCase().sent("a1").sent("a2", 0.2).ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).broken(),
      kTwice)
      << "effects are not";
}

// Guards against: a call that is lost around a kill counts as a fault of the node where the kill was noticed
// late, or where a relay accepted the call for a node that was not there any more.
TEST(CheckerLost, AKillThatIsNoticedLateIsOneOfItsTime) {
  const auto killed = [](double sent_kill, double noticed, double next_listening) {
    RequestCase s;
    s.ended(CallEnd::kClosed, 0.1).ended_node(noticed, true);
    s.e.lifetimes.back().killed_at = kStart + sent_kill;
    if (next_listening == 0) return s.broken();
    s.ended_node(0, false);
    s.e.lifetimes.back().started_at = kStart + next_listening - 0.05;
    s.e.lifetimes.back().listening_at = kStart + next_listening;
    s.e.lifetimes.back().ended_at = 0;
    return s.broken();
  };
  EXPECT_EQ(killed(0.05, 0.4, 0), kNoViolation) << "it died before its end was noticed";
  EXPECT_EQ(killed(0.2, 0.4, 0), kLost) << "it was killed after the call was lost";
  EXPECT_EQ(killed(-0.2, -0.1, 0), kLost) << "nothing tells that no process was there";
  EXPECT_EQ(killed(-0.2, -0.1, 0.3), kNoViolation) << "sent when no process was there";
  EXPECT_EQ(killed(-0.2, -0.1, -0.01), kLost) << "sent to the next process";
}

TEST(CheckerLost, ANodeThatIsToldToEndAnswersFirst) {
  RequestCase s;
  s.ended(CallEnd::kClosed, 0.5).ended_node(0.5, false, 0.2);
  EXPECT_EQ(s.broken(), kLost);
  s.settings.forgive_terminated = true;
  EXPECT_EQ(s.broken(), kNoViolation);
  EXPECT_EQ(RequestCase().ended(CallEnd::kClosed, 0.5).ended_node(0.5, true, 0.2).broken(), kNoViolation)
      << "killed at once";
  EXPECT_EQ(RequestCase().ended(CallEnd::kClosed, 1.5).ended_node(1.5, true, 0.2).broken(), kLost)
      << "it had its time";
  RequestCase crash;
  crash.ended(CallEnd::kClosed, 0.5).ended_node(0.5, false).settings.forgive_terminated = true;
  EXPECT_EQ(crash.broken(), kLost) << "it ended by itself";
}

// ------------------------------------------------------------ no effect happens twice

TEST(CheckerTwice, UnsafeRunsOnce) {
  EXPECT_EQ(RequestCase().sent("a1").ok().answered(200).broken(), kNoViolation);
  EXPECT_EQ(RequestCase().sent("a1").not_started().sent("a2", 0.3).ok(0.4).answered(200).broken(),
            kNoViolation);
  EXPECT_EQ(RequestCase().sent("a1").partly().broke(0.2).sent("a2", 0.3).ok(0.4).answered(200).broken(),
            kNoViolation);
  EXPECT_EQ(RequestCase().sent("a1").error().broken(), kNoViolation);
  EXPECT_EQ(RequestCase().sent("a1").broke(0.2).broken(), kNoViolation);
}

TEST(CheckerTwice, UnsafeIsNotSentAgainOnceItMayHaveRun) {
  EXPECT_EQ(RequestCase().sent("a1").sent("a2", 0.3).ok(0.4).answered(200).broken(), kTwice);
  EXPECT_EQ(RequestCase().sent("a1").error().sent("a2", 0.3).broken(), kTwice);
  EXPECT_EQ(RequestCase().sent("a1").broke(0.2).sent("a1", 0.3).broken(), kTwice) << "nor to the same server";
  EXPECT_EQ(RequestCase().sent("a1").broke(0.2).sent("a2", 0.3).partly().broken(), kTwice)
      << "not even in part";
  EXPECT_EQ(RequestCase().sent("a1").sent("a2", 0.3).not_started(0.4).broken(), kTwice);
  EXPECT_EQ(RequestCase().sent("a1").not_started(0).broke(0.2).sent("a2", 0.3).broken(), kTwice)
      << "the server's word never left it";
  RequestCase early;
  early.sent("a1").not_started(0.5).sent("a2", 0.3);
  EXPECT_EQ(early.broken(), kTwice) << "before the server had said so";
  EXPECT_EQ(early.first(), "sent to a2 before a1 had turned it away");
  early.settings.order_slack = 0.3;
  EXPECT_EQ(early.broken(), kNoViolation);
}

TEST(CheckerTwice, OrderIsThatOfTimeNotOfRecords) {
  RequestCase s;
  s.sent("a2", 0.3).ok(0.4).sent("a1", 0.1).not_started(0.2).answered(200);
  EXPECT_EQ(s.broken(), kNoViolation);
}

// Arrival times of data that was not read at once are accurate to a few ms only.
TEST(CheckerTwice, OrderIsNotJudgedByMilliseconds) {
  RequestCase s;
  s.sent("a1", 0.1).ok(0.4).sent("a2", 0.101).not_started(0.102).answered(200);
  EXPECT_EQ(s.broken(), kNoViolation) << "it may have come to a2 first";
  s.settings.order_slack = 0;
  EXPECT_EQ(s.broken(), kTwice);
  RequestCase both;
  both.sent("a1", 0.1).ok(0.4).sent("a2", 0.101).ok(0.2).answered(200);
  EXPECT_EQ(both.broken(), kTwice) << "twice is twice in any order";
  RequestCase keyed("cell");
  keyed.sent("a1", 0.1).ok(0.4).sent("a2", 0.101).not_started(0.102).answered(200);
  EXPECT_EQ(keyed.broken(), kNoViolation);
}

TEST(CheckerTwice, RefusedOnlyWhenNothingCanHaveRun) {
  for (const int status : {429, 503}) {
    EXPECT_EQ(RequestCase().answered(status).broken(), kNoViolation);
    EXPECT_EQ(RequestCase().sent("a1").not_started().answered(status).broken(), kNoViolation);
    EXPECT_EQ(RequestCase().sent("a1").partly().broke(0.2).answered(status).broken(), kNoViolation);
    EXPECT_EQ(RequestCase().sent("a1").broke(0.2).answered(status).broken(), kTwice) << status;
    EXPECT_EQ(RequestCase().sent("a1").error().answered(status).broken(), kTwice) << status;
    EXPECT_EQ(RequestCase().sent("a1").not_started(0).answered(status).broken(), kTwice) << status;
    for (const char* keyed : {"cell", "zone"}) {
      EXPECT_EQ(RequestCase(keyed).sent("a1").broke(0.2).answered(status).broken(), kTwice) << keyed;
      EXPECT_EQ(RequestCase(keyed).sent("a1").not_started().answered(status).broken(), kNoViolation) << keyed;
      EXPECT_EQ(RequestCase(keyed).answered(status).broken(), kNoViolation) << keyed;
    }
    EXPECT_EQ(RequestCase("all").sent("a1").broke(0.2).answered(status).broken(), kNoViolation)
        << "all drop repeats";
    EXPECT_EQ(RequestCase("safe").sent("a1").broke(0.2).answered(status).broken(), kNoViolation);
  }
  EXPECT_EQ(RequestCase().sent("a1").broke(0.2).answered(500).broken(), kNoViolation)
      << "a failure promises nothing";
  EXPECT_EQ(RequestCase().sent("a1").broke(0.2).answered(504).broken(), kNoViolation);
}

TEST(CheckerTwice, SafeMayRunOften) {
  EXPECT_EQ(RequestCase("safe").sent("a1").sent("b3", 0.2).sent("a1", 0.3).broken(), kNoViolation);
}

TEST(CheckerTwice, KeyedStaysInItsGroup) {
  EXPECT_EQ(RequestCase("cell").sent("a1").broke(0.2).sent("a1b", 0.3).broken(), kNoViolation);
  EXPECT_EQ(RequestCase("cell").sent("a1").broke(0.2).sent("a1", 0.3).broken(), kNoViolation);
  EXPECT_EQ(RequestCase("cell").sent("a1").broke(0.2).sent("a2", 0.3).broken(), kTwice);
  EXPECT_EQ(RequestCase("cell").sent("a1").sent("a2", 0.3).not_started(0.4).broken(), kTwice)
      << "though turned away";
  EXPECT_EQ(RequestCase("cell").sent("a1").not_started().sent("a2", 0.3).broken(), kNoViolation);
  EXPECT_EQ(RequestCase("cell").sent("a1").partly().sent("a2", 0.3).broken(), kNoViolation);
  EXPECT_EQ(RequestCase("cell").sent("a1").sent("a2", 0.3).partly().broken(), kNoViolation)
      << "it never came whole";
  EXPECT_EQ(RequestCase("cell").sent("a1").not_started().sent("a2", 0.3).sent("a1", 0.4).broken(), kTwice);
  EXPECT_EQ(RequestCase("zone").sent("a1").sent("a2", 0.3).broken(), kNoViolation);
  EXPECT_EQ(RequestCase("zone").sent("a1").sent("b3", 0.3).broken(), kTwice);
  EXPECT_EQ(RequestCase("all").sent("a1").sent("b3", 0.3).broken(), kNoViolation);
  EXPECT_EQ(RequestCase("cell").sent("x").sent("y", 0.3).broken(), kTwice)
      << "nobody says that they are one group";
  EXPECT_EQ(RequestCase("cell").sent("x").sent("x", 0.3).broken(), kNoViolation);
}

TEST(CheckerTwice, KeyedStaysInItsWindow) {
  for (const char* keyed : {"cell", "zone", "all"}) {
    RequestCase s(keyed);
    s.call().timeout = 10;
    s.sent("a1").sent("a1b", 4.05).answered(502, 5);
    EXPECT_EQ(s.broken(), kNoViolation) << keyed;
    s.sent("a1", 4.2);
    EXPECT_EQ(s.broken(), kTwice) << keyed << ": from the first that may have run";
    EXPECT_EQ(s.first(), "sent again to a1 when its key was forgotten");
    s.settings.window_slack = 0.2;
    EXPECT_EQ(s.broken(), kNoViolation) << keyed;
  }
  RequestCase turned_away("cell");
  turned_away.call().timeout = 10;
  turned_away.sent("a1").not_started().sent("a1", 3).sent("a1", 6.9).answered(502, 8);
  EXPECT_EQ(turned_away.broken(), kNoViolation) << "the first never ran";
}

TEST(CheckerTwice, ClassesMustBeKnown) {
  EXPECT_THROW(RequestCase("other").broken(), std::invalid_argument);
  RequestCase s;
  s.settings.classes.push_back(s.settings.classes.front());
  EXPECT_THROW(s.broken(), std::invalid_argument);
}

// ------------------------------------------------------------ drains are kept

TEST(CheckerDrain, NothingIsSentAfterTheGrace) {
  for (const char* state : {"leaving", "left"}) {
    EXPECT_EQ(RequestCase().sent("a1", 0.5).told("a1", state, 0.6).broken(), kNoViolation) << "before";
    EXPECT_EQ(RequestCase().sent("a1", 0.5).told("a1", state, -0.4).broken(), kNoViolation) << "in the grace";
    EXPECT_EQ(RequestCase().sent("a1", 0.5).told("a1", state, -0.6).broken(), kDrain) << state;
    EXPECT_EQ(RequestCase().sent("a1", 0.5).partly().told("a1", state, -0.6).broken(), kDrain)
        << "the first byte counts";
    EXPECT_EQ(RequestCase().sent("a1", 0.5).told("a2", state, -0.6).broken(), kNoViolation)
        << "another server";
    EXPECT_EQ(RequestCase().sent("a1", 0.5).told("a1", state, -0.6, "n2").broken(), kNoViolation)
        << "another node was told";
  }
  RequestCase begun;  // in time, but its last byte came later
  begun.sent("a1", 0.5).told("a1", "leaving", -0.4).e.attempts.back().last_byte_at = kStart + 0.9;
  EXPECT_EQ(begun.broken(), kNoViolation);
}

TEST(CheckerDrain, TheFirstWordOfADrainCounts) {
  RequestCase s;
  s.sent("a1", 0.5).told("a1", "left", 0.4).told("a1", "leaving", -1);
  EXPECT_EQ(s.broken(), kDrain);
  RequestCase back;
  back.sent("a1", 0.5).told("a1", "leaving", -3).told("a1", "active", -0.1);
  EXPECT_EQ(back.broken(), kNoViolation) << "it is there again";
  back.told("a1", "leaving", 0.2);
  EXPECT_EQ(back.broken(), kNoViolation) << "a new grace";
  RequestCase later;
  later.sent("a1", 0.5).told("a1", "leaving", -3).told("a1", "active", 0.6);
  EXPECT_EQ(later.broken(), kDrain) << "not yet";
}

TEST(CheckerDrain, Slack) {
  RequestCase s;
  s.sent("a1", 0.5).told("a1", "leaving", -0.6).settings.drain_slack = 0.2;
  EXPECT_EQ(s.broken(), kNoViolation);
  s.settings.grace = 0.5;
  EXPECT_EQ(s.broken(), kDrain);
}

TEST(CheckerDrain, WhatIsNotToldInTimeCountsAsTold) {
  RequestCase s;
  s.sent("a1", 0.5).told("a1", "leaving", -8).e.list_changes.back().delivered_at = 0;
  EXPECT_EQ(s.broken(), kNoViolation) << "it was never told";
  s.settings.notification_limit = 6;
  EXPECT_EQ(s.broken(), kDrain);
  s.settings.notification_limit = 8;
  EXPECT_EQ(s.broken(), kNoViolation) << "in the grace";
}

// ------------------------------------------------------------ a cold server is not pushed over

TEST(CheckerCold, AServerThatFellOver) {
  RequestCase s;
  s.e.overloads.push_back({"a1", kStart, 4, 1});
  const auto found = Checker(s.settings).check(s.e);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].rule, Rule::kColdServerOverloaded);
  EXPECT_EQ(found[0].subject, "a1");
}

TEST(Checker, TellsWhichRequestAndWhat) {
  RequestCase s;
  s.sent("a1").broke(0.2).sent("a2", 0.3).answered(503);
  const auto found = Checker(s.settings).check(s.e);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found[0].subject, "r");
  const std::string text = to_text(found);
  for (const char* part :
       {"no effect happens twice: r: refused, and it may have run at a1", "a1 first byte +0.100",
        "broke +0.200", "a2 first byte +0.300", "answered 503 +1.000"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << " in " << text;
  }
  EXPECT_EQ(to_text({}), "");
  EXPECT_TRUE(Checker(s.settings).check(Evidence{}).empty());
}

}  // namespace
}  // namespace nettlestand::standins::testing
