// The checker: each rule with what breaks it and with what comes near.
#include "standins/checker/checker.h"

#include <gtest/gtest.h>

#include <stdexcept>

namespace nettlestand::standins::testing {
namespace {

using Effect = CheckedClass::Effect;
using Group = CheckedClass::Group;

constexpr double kStart = 100;  // when the one request was sent
constexpr std::uint64_t kBody = 77;

// One request of the class `name` with what came of it; times are s after it was sent.
struct Story {
  CheckerSettings settings;
  Evidence e;

  explicit Story(const std::string& name = "unsafe") {
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

  Story& ended(CallEnd end, double at, int status = 0) {
    call().end = end;
    call().status = status;
    call().answered_at = kStart + at;
    return *this;
  }
  Story& answered(int status, double at = 1) {
    call().answer_digest = status == 200 ? kBody : 0;
    return ended(CallEnd::kAnswered, at, status);
  }
  // An attempt that came whole; what it was answered follows.
  Story& sent(const std::string& server, double at = 0.1) {
    AttemptRecord a;
    a.server = server;
    a.id = "r";
    a.first_byte_at = a.last_byte_at = kStart + at;
    a.executed = true;
    e.attempts.push_back(a);
    return *this;
  }
  Story& broke(double at) {
    e.attempts.back().broke_at = kStart + at;
    return *this;
  }
  Story& partly() {
    e.attempts.back().last_byte_at = 0;
    e.attempts.back().executed = false;
    return *this;
  }
  Story& ok(double at = 0.2) {
    e.attempts.back().status = 200;
    e.attempts.back().answer_digest = kBody;
    e.attempts.back().answered_at = kStart + at;
    return *this;
  }
  Story& error(double at = 0.2) {
    e.attempts.back().status = 500;
    e.attempts.back().answered_at = kStart + at;
    return *this;
  }
  // Turned away; at 0: the answer was never written.
  Story& not_started(double at = 0.2) {
    AttemptRecord& a = e.attempts.back();
    a.executed = false;
    a.not_started = true;
    a.status = 503;
    a.answered_at = at > 0 ? kStart + at : 0;
    return *this;
  }
  Story& told(const std::string& server, const std::string& state, double at,
              const std::string& node = "n1") {
    e.told.push_back({node, server, state, kStart + at, kStart + at});
    return *this;
  }
  Story& ended_node(double at, bool killed, double term = 0) {
    NodeLife life;
    life.node = "n1";
    life.started_at = 1;
    life.term_at = term == 0 ? 0 : kStart + term;
    life.ended_at = kStart + at;
    life.killed = killed;
    e.lives.push_back(life);
    return *this;
  }

  // The rules that are broken, each as often as it is.
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

const std::vector<Rule> kFine;
const std::vector<Rule> kIsLost = {Rule::kLost};
const std::vector<Rule> kIsTwice = {Rule::kTwice};
const std::vector<Rule> kIsDrain = {Rule::kDrain};

// ------------------------------------------------------------ no request is lost

TEST(CheckerLost, AnyAnswerInTimeIsFine) {
  EXPECT_EQ(Story().sent("a1").ok().answered(200).broken(), kFine);
  EXPECT_EQ(Story().answered(503).broken(), kFine);
  EXPECT_EQ(Story().answered(429).broken(), kFine);
  EXPECT_EQ(Story().answered(502).broken(), kFine);
  EXPECT_EQ(Story().answered(400).broken(), kFine);
  EXPECT_EQ(Story().answered(502, 2.04).broken(), kFine) << "50 ms longer on sockets";
}

TEST(CheckerLost, NoWholeAnswerIsALoss) {
  for (const CallEnd end : {CallEnd::kTimedOut, CallEnd::kCut, CallEnd::kClosed, CallEnd::kOpen}) {
    EXPECT_EQ(Story().sent("a1").ended(end, 1).broken(), kIsLost) << static_cast<int>(end);
    EXPECT_EQ(Story("safe").ended(end, 1).broken(), kIsLost) << static_cast<int>(end);
  }
}

TEST(CheckerLost, WhatTheNodeNeverTookIsNot) {
  Story s;
  s.ended(CallEnd::kNoConnect, 1).call().sent_at = 0;
  EXPECT_EQ(s.broken(), kFine);
  s.ended(CallEnd::kTimedOut, 1);  // its bytes did not all go
  EXPECT_EQ(s.broken(), kFine);
}

TEST(CheckerLost, LateAnswers) {
  Story s;
  s.answered(502, 2.06);
  EXPECT_EQ(s.broken(), kIsLost);
  EXPECT_EQ(s.first(), "answered after the caller's time");
  s.settings.late_slack = 0.1;
  EXPECT_EQ(s.broken(), kFine);
  s.answered(502, 2.16);
  EXPECT_EQ(s.broken(), kIsLost);
  s.settings.socket_slack = 0.1;
  EXPECT_EQ(s.broken(), kFine);
}

TEST(CheckerLost, CutAnswersWhereTheNodePassesThemOnAsTheyCome) {
  Story s;
  s.sent("a1").ended(CallEnd::kCut, 1);
  EXPECT_EQ(s.broken(), kIsLost);
  s.settings.cut_is_failure = true;
  EXPECT_EQ(s.broken(), kFine);
  s.ended(CallEnd::kClosed, 1);
  EXPECT_EQ(s.broken(), kIsLost) << "that is none";
}

TEST(CheckerLost, OneAnswerOnly) {
  Story s;
  s.call().more = true;
  EXPECT_EQ(s.broken(), kIsLost);
  EXPECT_EQ(s.first(), "more than one answer");
}

TEST(CheckerLost, ServedWithItsOwnBodyAlone) {
  EXPECT_EQ(Story().answered(200).broken(), kIsLost) << "no server made it";
  Story other;
  other.sent("a1").ok().answered(200);
  other.e.attempts.back().answer_digest = kBody + 1;
  EXPECT_EQ(other.broken(), kIsLost) << "part of it, or another's";
  EXPECT_EQ(other.first(), "served with what no server made for it");
  EXPECT_EQ(Story().sent("a1").error().answered(200).broken(), kIsLost);
  Story foreign;  // made for another request
  foreign.sent("a1").ok().answered(200);
  foreign.e.attempts.back().id = "q";
  CallRecord q = foreign.call();
  q.id = "q";
  foreign.e.calls.push_back(q);
  EXPECT_EQ(foreign.broken(), kIsLost);
  // The one that was delivered, of several.
  Story two("safe");
  two.sent("a1").sent("a2", 0.3).ok(0.4).answered(200);
  EXPECT_EQ(two.broken(), kFine);
}

TEST(CheckerLost, NothingIsSentAfterTheFinalAnswer) {
  EXPECT_EQ(Story("safe").sent("a1", 1.04).answered(502, 1).broken(), kFine) << "it may cross the answer";
  Story s("safe");
  s.sent("a1", 0.5).ok(0.6).answered(200).sent("a2", 1.06);
  EXPECT_EQ(s.broken(), kIsLost);
  EXPECT_EQ(s.first(), "sent to a2 after its final answer");
  s.settings.crossing = 0.1;
  EXPECT_EQ(s.broken(), kFine);
  Story begun("safe");
  begun.sent("a1", 0.5).answered(502);
  begun.e.attempts.back().last_byte_at = kStart + 1.2;  // the rest of it came later
  EXPECT_EQ(begun.broken(), kIsLost);
  Story part("safe");
  part.answered(502).sent("a1", 1.2).partly();
  EXPECT_EQ(part.broken(), kIsLost);
}

TEST(CheckerLost, ACloseMayCrossARequest) {
  Story s("safe");
  s.sent("a1", 0.5).ok(0.6).answered(200).call().again_at = kStart + 0.3;
  EXPECT_EQ(s.broken(), kFine);
  s.call().again_at = kStart + 0.55;
  EXPECT_EQ(s.broken(), kIsLost) << "it had been taken";
  EXPECT_EQ(s.first(), "its connection was closed after it had been sent on");
  Story second("safe");
  second.ended(CallEnd::kNoConnect, 0.4).call().again_at = kStart + 0.3;
  EXPECT_EQ(second.broken(), kFine) << "there was no node any more";
  second.sent("a1", 0.1);
  EXPECT_EQ(second.broken(), kIsLost) << "but it had been taken";
  Story closed("safe");
  closed.ended(CallEnd::kClosed, 0.4).call().again_at = kStart + 0.3;
  EXPECT_EQ(closed.broken(), kIsLost) << "a new connection is not closed between requests";
}

TEST(CheckerLost, NothingComesThatNoCallerSent) {
  Story s;
  s.sent("a1").e.attempts.back().id = "made up";
  EXPECT_EQ(s.broken(), kIsLost);
}

TEST(CheckerLost, WhatAKilledNodeHeldIsForgiven) {
  EXPECT_EQ(Story().sent("a1").ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).broken(), kFine);
  EXPECT_EQ(Story().ended(CallEnd::kCut, 0.5).ended_node(0.5, true).broken(), kFine);
  Story again;
  again.sent("a1").ended(CallEnd::kNoConnect, 0.5).ended_node(0.5, true).call().again_at = kStart + 0.5;
  EXPECT_EQ(again.broken(), kFine);
  EXPECT_EQ(Story().ended(CallEnd::kTimedOut, 2).ended_node(5, true).broken(), kIsLost) << "long before";
  EXPECT_EQ(Story().ended(CallEnd::kClosed, 0.5).ended_node(-1, true).broken(), kIsLost)
      << "sent to the next one";
  Story other;
  other.ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).e.lives.back().node = "n2";
  EXPECT_EQ(other.broken(), kIsLost);
  Story strict;
  strict.ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).settings.forgive_killed = false;
  EXPECT_EQ(strict.broken(), kIsLost);
  EXPECT_EQ(Story().sent("a1").sent("a2", 0.2).ended(CallEnd::kClosed, 0.5).ended_node(0.5, true).broken(),
            kIsTwice)
      << "effects are not";
}

TEST(CheckerLost, ANodeThatIsToldToEndAnswersFirst) {
  Story s;
  s.ended(CallEnd::kClosed, 0.5).ended_node(0.5, false, 0.2);
  EXPECT_EQ(s.broken(), kIsLost);
  s.settings.forgive_terminated = true;
  EXPECT_EQ(s.broken(), kFine);
  EXPECT_EQ(Story().ended(CallEnd::kClosed, 0.5).ended_node(0.5, true, 0.2).broken(), kFine)
      << "killed at once";
  EXPECT_EQ(Story().ended(CallEnd::kClosed, 1.5).ended_node(1.5, true, 0.2).broken(), kIsLost)
      << "it had its time";
  Story crash;
  crash.ended(CallEnd::kClosed, 0.5).ended_node(0.5, false).settings.forgive_terminated = true;
  EXPECT_EQ(crash.broken(), kIsLost) << "it ended by itself";
}

// ------------------------------------------------------------ no effect happens twice

TEST(CheckerTwice, UnsafeRunsOnce) {
  EXPECT_EQ(Story().sent("a1").ok().answered(200).broken(), kFine);
  EXPECT_EQ(Story().sent("a1").not_started().sent("a2", 0.3).ok(0.4).answered(200).broken(), kFine);
  EXPECT_EQ(Story().sent("a1").partly().broke(0.2).sent("a2", 0.3).ok(0.4).answered(200).broken(), kFine);
  EXPECT_EQ(Story().sent("a1").error().broken(), kFine);
  EXPECT_EQ(Story().sent("a1").broke(0.2).broken(), kFine);
}

TEST(CheckerTwice, UnsafeIsNotSentAgainOnceItMayHaveRun) {
  EXPECT_EQ(Story().sent("a1").sent("a2", 0.3).ok(0.4).answered(200).broken(), kIsTwice);
  EXPECT_EQ(Story().sent("a1").error().sent("a2", 0.3).broken(), kIsTwice);
  EXPECT_EQ(Story().sent("a1").broke(0.2).sent("a1", 0.3).broken(), kIsTwice) << "nor to the same server";
  EXPECT_EQ(Story().sent("a1").broke(0.2).sent("a2", 0.3).partly().broken(), kIsTwice) << "not even in part";
  EXPECT_EQ(Story().sent("a1").sent("a2", 0.3).not_started(0.4).broken(), kIsTwice);
  EXPECT_EQ(Story().sent("a1").not_started(0).broke(0.2).sent("a2", 0.3).broken(), kIsTwice)
      << "the server's word never left it";
  Story early;
  early.sent("a1").not_started(0.5).sent("a2", 0.3);
  EXPECT_EQ(early.broken(), kIsTwice) << "before the server had said so";
  EXPECT_EQ(early.first(), "sent to a2 before a1 had turned it away");
  early.settings.order_slack = 0.3;
  EXPECT_EQ(early.broken(), kFine);
}

TEST(CheckerTwice, OrderIsThatOfTimeNotOfRecords) {
  Story s;
  s.sent("a2", 0.3).ok(0.4).sent("a1", 0.1).not_started(0.2).answered(200);
  EXPECT_EQ(s.broken(), kFine);
}

// Arrivals that were not read at once are known to some ms only.
TEST(CheckerTwice, OrderIsNotJudgedByMilliseconds) {
  Story s;
  s.sent("a1", 0.1).ok(0.4).sent("a2", 0.101).not_started(0.102).answered(200);
  EXPECT_EQ(s.broken(), kFine) << "it may have come to a2 first";
  s.settings.order_slack = 0;
  EXPECT_EQ(s.broken(), kIsTwice);
  Story both;
  both.sent("a1", 0.1).ok(0.4).sent("a2", 0.101).ok(0.2).answered(200);
  EXPECT_EQ(both.broken(), kIsTwice) << "twice is twice in any order";
  Story keyed("cell");
  keyed.sent("a1", 0.1).ok(0.4).sent("a2", 0.101).not_started(0.102).answered(200);
  EXPECT_EQ(keyed.broken(), kFine);
}

TEST(CheckerTwice, RefusedOnlyWhenNothingCanHaveRun) {
  for (const int status : {429, 503}) {
    EXPECT_EQ(Story().answered(status).broken(), kFine);
    EXPECT_EQ(Story().sent("a1").not_started().answered(status).broken(), kFine);
    EXPECT_EQ(Story().sent("a1").partly().broke(0.2).answered(status).broken(), kFine);
    EXPECT_EQ(Story().sent("a1").broke(0.2).answered(status).broken(), kIsTwice) << status;
    EXPECT_EQ(Story().sent("a1").error().answered(status).broken(), kIsTwice) << status;
    EXPECT_EQ(Story().sent("a1").not_started(0).answered(status).broken(), kIsTwice) << status;
    for (const char* keyed : {"cell", "zone"}) {
      EXPECT_EQ(Story(keyed).sent("a1").broke(0.2).answered(status).broken(), kIsTwice) << keyed;
      EXPECT_EQ(Story(keyed).sent("a1").not_started().answered(status).broken(), kFine) << keyed;
      EXPECT_EQ(Story(keyed).answered(status).broken(), kFine) << keyed;
    }
    EXPECT_EQ(Story("all").sent("a1").broke(0.2).answered(status).broken(), kFine) << "all drop repeats";
    EXPECT_EQ(Story("safe").sent("a1").broke(0.2).answered(status).broken(), kFine);
  }
  EXPECT_EQ(Story().sent("a1").broke(0.2).answered(500).broken(), kFine) << "a failure promises nothing";
  EXPECT_EQ(Story().sent("a1").broke(0.2).answered(504).broken(), kFine);
}

TEST(CheckerTwice, SafeMayRunOften) {
  EXPECT_EQ(Story("safe").sent("a1").sent("b3", 0.2).sent("a1", 0.3).broken(), kFine);
}

TEST(CheckerTwice, KeyedStaysInItsGroup) {
  EXPECT_EQ(Story("cell").sent("a1").broke(0.2).sent("a1b", 0.3).broken(), kFine);
  EXPECT_EQ(Story("cell").sent("a1").broke(0.2).sent("a1", 0.3).broken(), kFine);
  EXPECT_EQ(Story("cell").sent("a1").broke(0.2).sent("a2", 0.3).broken(), kIsTwice);
  EXPECT_EQ(Story("cell").sent("a1").sent("a2", 0.3).not_started(0.4).broken(), kIsTwice)
      << "though turned away";
  EXPECT_EQ(Story("cell").sent("a1").not_started().sent("a2", 0.3).broken(), kFine);
  EXPECT_EQ(Story("cell").sent("a1").partly().sent("a2", 0.3).broken(), kFine);
  EXPECT_EQ(Story("cell").sent("a1").sent("a2", 0.3).partly().broken(), kFine) << "it never came whole";
  EXPECT_EQ(Story("cell").sent("a1").not_started().sent("a2", 0.3).sent("a1", 0.4).broken(), kIsTwice);
  EXPECT_EQ(Story("zone").sent("a1").sent("a2", 0.3).broken(), kFine);
  EXPECT_EQ(Story("zone").sent("a1").sent("b3", 0.3).broken(), kIsTwice);
  EXPECT_EQ(Story("all").sent("a1").sent("b3", 0.3).broken(), kFine);
  EXPECT_EQ(Story("cell").sent("x").sent("y", 0.3).broken(), kIsTwice)
      << "nobody says that they are one group";
  EXPECT_EQ(Story("cell").sent("x").sent("x", 0.3).broken(), kFine);
}

TEST(CheckerTwice, KeyedStaysInItsWindow) {
  for (const char* keyed : {"cell", "zone", "all"}) {
    Story s(keyed);
    s.call().timeout = 10;
    s.sent("a1").sent("a1b", 4.05).answered(502, 5);
    EXPECT_EQ(s.broken(), kFine) << keyed;
    s.sent("a1", 4.2);
    EXPECT_EQ(s.broken(), kIsTwice) << keyed << ": from the first that may have run";
    EXPECT_EQ(s.first(), "sent again to a1 when its key was forgotten");
    s.settings.window_slack = 0.2;
    EXPECT_EQ(s.broken(), kFine) << keyed;
  }
  Story turned_away("cell");
  turned_away.call().timeout = 10;
  turned_away.sent("a1").not_started().sent("a1", 3).sent("a1", 6.9).answered(502, 8);
  EXPECT_EQ(turned_away.broken(), kFine) << "the first never ran";
}

TEST(CheckerTwice, ClassesMustBeKnown) {
  EXPECT_THROW(Story("other").broken(), std::invalid_argument);
  Story s;
  s.settings.classes.push_back(s.settings.classes.front());
  EXPECT_THROW(s.broken(), std::invalid_argument);
}

// ------------------------------------------------------------ drains are kept

TEST(CheckerDrain, NothingIsSentAfterTheGrace) {
  for (const char* state : {"leaving", "left"}) {
    EXPECT_EQ(Story().sent("a1", 0.5).told("a1", state, 0.6).broken(), kFine) << "before";
    EXPECT_EQ(Story().sent("a1", 0.5).told("a1", state, -0.4).broken(), kFine) << "in the grace";
    EXPECT_EQ(Story().sent("a1", 0.5).told("a1", state, -0.6).broken(), kIsDrain) << state;
    EXPECT_EQ(Story().sent("a1", 0.5).partly().told("a1", state, -0.6).broken(), kIsDrain)
        << "the first byte counts";
    EXPECT_EQ(Story().sent("a1", 0.5).told("a2", state, -0.6).broken(), kFine) << "another server";
    EXPECT_EQ(Story().sent("a1", 0.5).told("a1", state, -0.6, "n2").broken(), kFine)
        << "another node was told";
  }
  Story begun;  // in time, but its last byte came later
  begun.sent("a1", 0.5).told("a1", "leaving", -0.4).e.attempts.back().last_byte_at = kStart + 0.9;
  EXPECT_EQ(begun.broken(), kFine);
}

TEST(CheckerDrain, TheFirstWordOfADrainCounts) {
  Story s;
  s.sent("a1", 0.5).told("a1", "left", 0.4).told("a1", "leaving", -1);
  EXPECT_EQ(s.broken(), kIsDrain);
  Story back;
  back.sent("a1", 0.5).told("a1", "leaving", -3).told("a1", "active", -0.1);
  EXPECT_EQ(back.broken(), kFine) << "it is there again";
  back.told("a1", "leaving", 0.2);
  EXPECT_EQ(back.broken(), kFine) << "a new grace";
  Story later;
  later.sent("a1", 0.5).told("a1", "leaving", -3).told("a1", "active", 0.6);
  EXPECT_EQ(later.broken(), kIsDrain) << "not yet";
}

TEST(CheckerDrain, Slack) {
  Story s;
  s.sent("a1", 0.5).told("a1", "leaving", -0.6).settings.drain_slack = 0.2;
  EXPECT_EQ(s.broken(), kFine);
  s.settings.grace = 0.5;
  EXPECT_EQ(s.broken(), kIsDrain);
}

TEST(CheckerDrain, WhatIsNotToldInTimeCountsAsTold) {
  Story s;
  s.sent("a1", 0.5).told("a1", "leaving", -8).e.told.back().told_at = 0;
  EXPECT_EQ(s.broken(), kFine) << "it was never told";
  s.settings.told_within = 6;
  EXPECT_EQ(s.broken(), kIsDrain);
  s.settings.told_within = 8;
  EXPECT_EQ(s.broken(), kFine) << "in the grace";
}

// ------------------------------------------------------------ a cold server is not pushed over

TEST(CheckerCold, AServerThatFellOver) {
  Story s;
  s.e.fallen.push_back({"a1", kStart, 4, 1});
  const auto found = Checker(s.settings).check(s.e);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].rule, Rule::kColdServer);
  EXPECT_EQ(found[0].subject, "a1");
}

TEST(Checker, TellsWhichRequestAndWhat) {
  Story s;
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
