// How long answers that are arriving may take.
#include <gtest/gtest.h>

#include "../src/answer_progress.h"
#include "balancer_harness.h"

namespace quinceusher {
namespace {

AnswerProgress arriving(double since, double received, double expected, double quiet = 0) {
  return {"r", 0, since, quiet, received, expected};
}

constexpr double kFirstByteLimit = 0.05;

TEST(Progress, WhatArrivesInTimeGoesOnUntilItIsThere) {
  // 1 MB at 20 KB/s takes 50 s of the remaining 60; it is checked again and again.
  double at = 0;
  int checks = 0;
  while (at < 49.9) {
    const double extension = extension_for(arriving(at, at * 20e3, 1e6), 60 - at, kFirstByteLimit, true);
    ASSERT_GT(extension, 0) << at;
    ASSERT_LE(extension, 60 - at);
    at += extension;
    ASSERT_LT(++checks, 100);
  }
}

TEST(Progress, AStopOfASecondIsTaken) {
  EXPECT_GT(extension_for(arriving(10, 200e3, 1e6, 1), 45, kFirstByteLimit, true), 0);
  EXPECT_GT(extension_for(arriving(1.2, 200e3, 400e3, 1), 5, kFirstByteLimit, true), 0);
}

TEST(Progress, AnAnswerThatHasStoppedIsGivenUpForAnotherTry) {
  EXPECT_EQ(extension_for(arriving(3, 200e3, 400e3, 2), 3, kFirstByteLimit, true), 0);
  EXPECT_GT(extension_for(arriving(3, 200e3, 400e3, 2), 3, kFirstByteLimit, false), 0)
      << "there is no other try";
}

TEST(Progress, AByteASecondHoldsNoPlace) {
  EXPECT_EQ(extension_for(arriving(2, 2, 1000, 0.5), 5, kFirstByteLimit, true), 0);
  EXPECT_EQ(extension_for(arriving(2, 2, 1000, 0.5), 5, kFirstByteLimit, false), 0)
      << "it can't arrive by far";
  EXPECT_EQ(extension_for(arriving(2, 2, 0, 0.5), 5, kFirstByteLimit, true), 0)
      << "nor where its length is not told";
  EXPECT_GT(extension_for(arriving(0.2, 1, 1000, 0.1), 5, kFirstByteLimit, true), 0) << "it has just begun";
}

TEST(Progress, WhatWouldBeALittleLateMayStillCatchUp) {
  EXPECT_GT(extension_for(arriving(2, 100e3, 400e3), 5, kFirstByteLimit, true), 0);
  EXPECT_EQ(extension_for(arriving(2, 40e3, 400e3), 5, kFirstByteLimit, true), 0);
  EXPECT_GT(extension_for(arriving(2, 40e3, 400e3), 5, kFirstByteLimit, false), 0);
}

// A crowd of answers that began late spent all retries, and the rest was refused with seconds to go.
TEST(Progress, NothingIsGivenUpEarlyWhereNoOtherTryCanFollow) {
  EXPECT_EQ(extension_for(arriving(-1, 0, 0), 5, kFirstByteLimit, true), 0);
  EXPECT_EQ(extension_for(arriving(-1, 0, 0), 5, kFirstByteLimit, false), 5);
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(4));
  for (int i = 0; i < 200; ++i) {
    balancer.now = i * 0.01;
    balancer.request(std::to_string(i));
    balancer.end(std::to_string(i), Outcome::kDelivered, 0, 0.002);
  }
  for (int i = 0; i < 30; ++i) ASSERT_EQ(all<Send>(balancer.request("late" + std::to_string(i))).size(), 1U);
  balancer.now += 0.2;
  int again = 0, waits = 0;
  for (int i = 0; i < 30; ++i) {
    const std::string id = "late" + std::to_string(i);
    if (!all<Extend>(balancer.at(balancer.now, AnswerProgress{id, 0, -1, 0, 0, 0})).empty()) {
      ++waits;
      continue;
    }
    const auto after = balancer.end(id, Outcome::kTimedOut, 0, 0.2);
    again += static_cast<int>(all<Send>(after).size());
    EXPECT_TRUE(all<Refuse>(after).empty());
  }
  EXPECT_GT(again, 0);
  EXPECT_EQ(again + waits, 30);
}

TEST(Progress, NothingGoesOnPastItsUse) {
  EXPECT_EQ(extension_for(arriving(1, 1e5, 2e5), 0, kFirstByteLimit, false), 0);
  EXPECT_EQ(extension_for(arriving(1, 1e5, 2e5), -1, kFirstByteLimit, true), 0);
}

// Timeouts learned from small answers cut large ones off in the middle.
TEST(Progress, ALargeAnswerAfterSmallOnesIsExtended) {
  Settings settings = basic_settings();
  TestBalancer balancer(settings);
  balancer.at(0, members(4));
  for (int i = 0; i < 200; ++i) {
    balancer.now = i * 0.01;
    balancer.request(std::to_string(i));
    balancer.end(std::to_string(i), Outcome::kDelivered, 0, 0.002);
  }
  const auto sends = all<Send>(balancer.request("large"));
  ASSERT_EQ(sends.size(), 1U);
  EXPECT_LT(sends[0].timeout, 0.5);
  balancer.now += 0.002;
  const auto extended = all<Extend>(balancer.at(balancer.now, AnswerProgress{"large", 0, 0, 0, 1000, 390e3}));
  ASSERT_EQ(extended.size(), 1U);
  EXPECT_GT(extended[0].timeout, sends[0].timeout);
  EXPECT_LE(extended[0].timeout, 6);
}

TEST(Progress, OnlyOpenAttemptsOfOpenRequestsAreExtended) {
  TestBalancer balancer(basic_settings());
  balancer.at(0, members(4));
  balancer.request("r");
  EXPECT_TRUE(balancer.at(0, AnswerProgress{"r", 1, 0, 0, 10, 100}).empty());
  EXPECT_TRUE(balancer.at(0, AnswerProgress{"r", -1, 0, 0, 10, 100}).empty());
  EXPECT_TRUE(balancer.at(0, AnswerProgress{"other", 0, 0, 0, 10, 100}).empty());
  balancer.at(0, RequestGone{"r"});
  EXPECT_TRUE(balancer.at(0, AnswerProgress{"r", 0, 0, 0, 10, 100}).empty());
}

// Whatever an answer's progress, an unsafe request is not sent twice, and none beyond its time.
TEST(Progress, AnUnsafeRequestThatStopsArrivingIsNotSentAgain) {
  TestBalancer balancer(basic_settings(class_of(Effect::kUnsafe)));
  balancer.at(0, members(4));
  ASSERT_EQ(all<Send>(balancer.request("r")).size(), 1U);
  balancer.at(1, AnswerProgress{"r", 0, 0, 0, 10, 1e6});
  const auto after = balancer.at(5.9, AttemptResult{"r", 0, Outcome::kTimedOut, 5.9, false});
  EXPECT_TRUE(all<Send>(after).empty());
  EXPECT_EQ(all<Fail>(after).size(), 1U);
}

}  // namespace
}  // namespace quinceusher
