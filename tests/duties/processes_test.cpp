// Duties by processes of the program: voters and clients, links between them, and faults on all of it.
#include <gtest/gtest.h>

#include <atomic>
#include <csignal>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "../faults/parallel.h"
#include "duties/wire.h"
#include "standins/common/loop.h"
#include "world.h"

namespace nettlestand::standins::testing {
namespace {

std::string n(std::size_t i) { return "n" + std::to_string(i); }
std::size_t number_of(const std::string& name) { return std::stoul(name.substr(1)); }

#define UNTIL(condition) ASSERT_TRUE(ProcessWorld::until([&] { return condition; })) << #condition

// Started, its voters added, and all its duties with effects.
struct Running {
  Running(std::size_t nodes, std::size_t voters, std::size_t count, const std::string& step = "",
          const std::string& more = "", const std::string& of_duty = "", bool seams = false)
      : d(nodes, voters, count, step, more, of_duty), count(count), voters(voters) {
#ifdef SEAMS
    if (seams) d.settings.seams = std::string("LD_PRELOAD=") + SEAMS;
#else
    static_cast<void>(seams);
#endif
    w = std::make_unique<ProcessWorld>(d.settings);
    w->start();
    add_voters(*w, voters);
    if (!ProcessWorld::until([&] { return all_done(); })) throw std::runtime_error("not all duties are held");
  }
  // Every duty has had an effect since `from`.
  bool all_done(double from = 0) {
    std::set<std::string> seen;
    for (const Effect& e : effects(d)) {
      if (e.at > from) seen.insert(e.duty);
    }
    return seen.size() == count;
  }
  // Who holds a duty, by its own belief.
  std::size_t holder(const std::string& duty) {
    for (std::size_t i = 0; i < d.settings.nodes; ++i) {
      if (w->runs(i) && held_by(*w, i).contains(duty)) return i;
    }
    return ~std::size_t{0};
  }
  std::string leader(std::size_t asked) {
    const std::string said = control(*w, asked, "duties voters");
    if (said.rfind("error", 0) == 0) return "";
    return quinceusher::json::parse(said)["leader"].GetString();
  }
  std::uint64_t highest() {
    std::uint64_t out = 0;
    for (const Effect& e : effects(d)) out = std::max(out, e.token);
    return out;
  }
  DutiesWorld d;
  const std::size_t count, voters;
  std::unique_ptr<ProcessWorld> w;
};

TEST(DutiesProcesses, EachDutyHasOneHolderAndIsHandedOverAtOnceOnSigterm) {
  Running r(4, 3, 2);
  const std::size_t before = r.holder("d0");
  ASSERT_LT(before, 4U);
  const std::uint64_t token = held_by(*r.w, before)["d0"];
  r.w->node(before).signal(SIGTERM);
  // Another one has it while the former holder still drains.
  const std::size_t asked = (before + 1) % 4;
  UNTIL(holders(*r.w, asked)["d0"] != n(before) && !holders(*r.w, asked)["d0"].empty());
  EXPECT_TRUE(r.w->node(before).running());
  UNTIL(r.highest() > token);
  const Timeline t = r.w->finish();
  EXPECT_EQ(broken_duties(r.d, t), "");
}

TEST(DutiesProcesses, AKilledHolderIsFollowedAndItsProgramEnds) {
  Running r(4, 3, 1);
  const std::size_t before = r.holder("d0");
  const std::uint64_t token = held_by(*r.w, before)["d0"];
  const std::uint64_t pid = effects(r.d).back().pid;
  r.w->end_node(before, SIGKILL);
  UNTIL(r.highest() > token);
  UNTIL(kill(static_cast<pid_t>(pid), 0) != 0);  // the guardian saw to it
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, AStoppedHoldersProgramEndsWithTheLeaseAndTheNodeNoticesBeforeItsNextEffect) {
  Running r(4, 3, 1);
  const std::size_t before = r.holder("d0");
  const std::uint64_t token = held_by(*r.w, before)["d0"];
  const std::uint64_t pid = effects(r.d).back().pid;
  r.w->node(before).pause();
  UNTIL(r.highest() > token);
  EXPECT_NE(kill(static_cast<pid_t>(pid), 0), 0) << "the program outlived its node's lease";
  r.w->node(before).resume();
  UNTIL(r.w->node(before).log().find("\"event\":\"lost\"") != std::string::npos);
  EXPECT_FALSE(held_by(*r.w, before).contains("d0"));
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, AnEffectThatIsHalfDoneIsTurnedAwayWhereItLands) {
  Running r(4, 3, 1, "slow");
  const std::size_t before = r.holder("d0");
  const std::uint64_t token = held_by(*r.w, before)["d0"];
  const auto program = static_cast<pid_t>(effects(r.d).back().pid);
  // The node, its guardian and its program all stand: nothing is left that could stop in time.
  std::ifstream status("/proc/" + std::to_string(program) + "/status");
  pid_t guardian = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("PPid:", 0) == 0) guardian = static_cast<pid_t>(std::stol(line.substr(5)));
  }
  ASSERT_GT(guardian, 1);
  kill(program, SIGSTOP);
  kill(guardian, SIGSTOP);
  r.w->node(before).pause();
  UNTIL(r.highest() > token);
  kill(program, SIGCONT);  // the guardian still stands: the program goes on with what it was about
  UNTIL(!effects(r.d, "away").empty());
  EXPECT_EQ(effects(r.d, "away").front().token, token);
  kill(guardian, SIGCONT);
  r.w->node(before).resume();
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

// A cut of the holder, whatever its kind, ends in another holder, and the cut one's own belief ends first.
TEST(DutiesProcesses, AHolderThatIsCutOffIsFollowed) {
  const std::vector<std::pair<const char*, std::string>> cuts = {
      {"fully", "% <-> nodes: cut for 3"},
      {"it can send and not receive", "nodes -> %: cut for 3"},
      {"it can receive and not send", "% -> nodes: cut for 3"}};
  EXPECT_EQ(each(static_cast<int>(cuts.size()), 3,
                 [&](int i) -> std::string {
                   Running r(5, 3, 1);
                   // A client holds it, so that the voters stay what they are.
                   std::size_t before = r.holder("d0");
                   if (before < 3) {
                     control(*r.w, 4, "duties pass d0 n3");
                     if (!ProcessWorld::until([&] { return r.holder("d0") == 3; }))
                       return "it is not handed over\n";
                     before = 3;
                   }
                   const std::uint64_t token = held_by(*r.w, before)["d0"];
                   std::string script = "at 0.1 " + cuts[static_cast<std::size_t>(i)].second;
                   script.replace(script.find('%'), 1, n(before));
                   r.w->play(script, 4);
                   if (r.highest() <= token)
                     return std::string(cuts[static_cast<std::size_t>(i)].first) + ": nobody followed\n";
                   std::string out = broken_duties(r.d, r.w->finish());
                   return out.empty() ? ""
                                      : std::string(cuts[static_cast<std::size_t>(i)].first) + ": " + out;
                 }),
            "");
}

TEST(DutiesProcesses, ANodeThatReachesNoLeaderIsServedThroughAnotherVoter) {
  Running r(4, 3, 1);
  const std::size_t lead = number_of(r.leader(0));
  control(*r.w, 0, "duties pass d0 n3");
  UNTIL(r.holder("d0") == 3);
  const std::uint64_t token = held_by(*r.w, 3)["d0"];
  r.w->play("at 0 n3 <-> " + n(lead) + ": cut for 3", 3.5);
  EXPECT_EQ(held_by(*r.w, 3)["d0"], token) << "it never lost it";
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, LeaderAndHolderDieTogether) {
  Running r(5, 5, 1);
  const std::size_t lead = number_of(r.leader(0));
  const std::size_t before = r.holder("d0");
  const std::uint64_t token = held_by(*r.w, before)["d0"];
  r.w->end_node(lead, SIGKILL);
  if (before != lead) r.w->end_node(before, SIGKILL);
  UNTIL(r.highest() > token);
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, WithoutAMajorityDutiesStopAndRoutingGoesOn) {
  Running r(5, 3, 1);
  r.w->play("at 0.5 n1, n2: kill for 3", 4);
  // Held by nobody in the last second of that, and again afterwards.
  UNTIL(r.all_done(now() - 0.3));
  const auto all = effects(r.d);
  const Timeline t = r.w->finish();
  EXPECT_EQ(broken_duties(r.d, t), "");
  double pause = 0;
  for (std::size_t i = 1; i < all.size(); ++i) pause = std::max(pause, all[i].at - all[i - 1].at);
  EXPECT_GT(pause, 0.5) << "duties went on without a majority";
  // What the nodes that lived were asked, they answered; a killed node's own calls are its own.
  std::size_t served = 0, asked = 0;
  for (const CallRecord& c : t.evidence.calls) {
    ++asked;
    served += c.status == 200 ? 1 : 0;
  }
  EXPECT_GT(served, asked * 6 / 10);
  EXPECT_EQ(broken_rules(four_rules(r.w->checked()), t), "");
}

TEST(DutiesProcesses, AVoterThatSeesNobodyDeposesNobody) {
  Running r(5, 5, 1);
  const std::size_t lead = number_of(r.leader(0));
  const std::string before = control(*r.w, lead, "duties voters");
  const std::size_t alone = (lead + 1) % 5;
  r.w->play("at 0 " + n(alone) + " <-> nodes: cut for 2", 3.5);
  EXPECT_EQ(r.leader(lead), n(lead));
  const auto term = [](const std::string& said) {
    return quinceusher::json::parse(said)["term"].GetUint64();
  };
  EXPECT_EQ(term(control(*r.w, lead, "duties voters")), term(before));
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, AVoterThatHasLostItsDiskVotesOnlyUnderANewIdentity) {
  Running r(4, 3, 1);
  const std::size_t lost = (number_of(r.leader(0)) + 1) % 3, asked = (lost + 1) % 3;
  r.w->end_node(lost, SIGKILL);
  r.w->state(lost).lose();
  r.w->start_node(lost);
  r.w->node(lost).await_ready();  // it serves, and does not vote
  UNTIL(r.w->node(lost).log().find("voter_off") != std::string::npos);
  duties::SqliteStore::create(r.w->state(lost).path());
  UNTIL(r.w->node(lost).log().find("voter_started") != std::string::npos);
  const std::string refused = control(*r.w, asked, "duties voters add " + n(lost));
  EXPECT_NE(refused.find("another identity"), std::string::npos) << refused;
  EXPECT_EQ(control(*r.w, asked, "duties voters remove " + n(lost)).rfind("error", 0), std::string::npos);
  UNTIL(control(*r.w, asked, "duties voters add " + n(lost)).rfind("error", 0) == std::string::npos);
  // It counts: without the other follower there is a majority.
  const std::size_t third = 3 - lost - number_of(r.leader(asked));
  r.w->end_node(third, SIGKILL);
  const double from = now();
  UNTIL(r.all_done(from + 1.5));
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, AVoterWithYesterdaysStateIsNotListenedTo) {
  Running r(4, 3, 1);
  const std::size_t lead = number_of(r.leader(0)), old = (lead + 1) % 3;
  r.w->state(old).save();
  for (int i = 0; i < 2; ++i) {
    r.w->end_node(old, SIGKILL);
    r.w->start_node(old);
    r.w->node(old).await_ready();
    UNTIL(r.leader(old) == n(lead));
  }
  r.w->end_node(old, SIGKILL);
  r.w->state(old).roll_back();
  r.w->start_node(old);
  UNTIL(r.w->node(lead).log().find("voter_refused") != std::string::npos);
  EXPECT_NE(control(*r.w, lead, "duties voters").find("\"state_of_former_days\":true"), std::string::npos);
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, HandedOverByAnOperatorToANamedNodeAndToAnyOther) {
  Running r(4, 3, 1);
  const std::size_t before = r.holder("d0"), to = (before + 1) % 4;
  EXPECT_EQ(control(*r.w, 0, "duties pass d0 " + n(to)), "\n");
  UNTIL(r.holder("d0") == to);
  EXPECT_EQ(control(*r.w, 0, "duties pass d0"), "\n");
  UNTIL(r.holder("d0") != to && r.holder("d0") < 4);
  EXPECT_NE(control(*r.w, 0, "duties pass d7").find("unknown"), std::string::npos);
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, TwoDutiesThatMustBeApartAreNeverOnOneNode) {
  Running r(3, 3, 2, "", "", "apart = [\"d0\", \"d1\"]\n");
  for (int i = 0; i < 4; ++i) {
    const std::size_t a = r.holder("d0"), b = r.holder("d1");
    EXPECT_NE(a, b);
    control(*r.w, 0, i % 2 == 0 ? "duties pass d0" : "duties pass d1");
    const double from = now();
    UNTIL(r.all_done(from));
  }
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

TEST(DutiesProcesses, AHolderThatKeepsFailingGivesWayAndPauses) {
  // The probe ends with 3 at once, on every node: the duty goes round, with pauses that grow.
  DutiesWorld d(3, 3, 1, "fail");
  ProcessWorld w(d.settings);
  w.start();
  add_voters(w, 3);
  const auto starts = [&] {
    std::size_t out = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const std::string log = w.node(i).log();
      for (std::size_t at = 0; (at = log.find("program_started", at)) != std::string::npos; ++at) ++out;
    }
    return out;
  };
  UNTIL(starts() >= 5);
  std::size_t who = 0;
  for (std::size_t i = 0; i < 3; ++i)
    who += w.node(i).log().find("program_started") != std::string::npos ? 1 : 0;
  EXPECT_GE(who, 2U) << "it was tried by others, too";
  EXPECT_NE(control(w, 0, "duties").find("failed"), std::string::npos);
  w.finish();
}

TEST(DutiesProcesses, ARollingRestartOfAllVotersAndNodesLosesNoDuty) {
  Running r(5, 3, 2);
  const double from = now();
  for (std::size_t i = 0; i < 5; ++i) {
    r.w->node(i).signal(SIGTERM);
    EXPECT_EQ(r.w->node(i).exit_code(), 0);
    r.w->end_node(i, SIGKILL);
    r.w->start_node(i);
    r.w->node(i).await_ready();
    if (i < 3) {
      UNTIL(!r.leader(i).empty());
    }
  }
  const double until = now();
  UNTIL(r.all_done(until));
  // Handed over at once, but where a leader's end comes between: an election, and no lease in any case.
  EXPECT_EQ(broken_duties(r.d, r.w->finish(), kLease + 1, from, until), "");
}

TEST(DutiesProcesses, ANodeThatComesBackUnderItsNameWithinItsLeaseDoesNotHoldIt) {
  Running r(4, 3, 1);
  control(*r.w, 0, "duties pass d0 n3");
  UNTIL(r.holder("d0") == 3);
  const std::uint64_t token = held_by(*r.w, 3)["d0"];
  r.w->end_node(3, SIGKILL);
  r.w->start_node(3);
  r.w->node(3).await_ready();
  UNTIL(r.highest() > token);
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");  // one process a token
}

TEST(DutiesProcesses, StrangersAndOtherClustersAreHeardByNobody) {
  Running r(3, 3, 1);
  std::mt19937_64 random(7);
  const std::string to = r.w->network().ip(r.w->machine(0));
  duties::Frame hello;
  hello.kind = duties::Frame::Kind::kHello;
  hello.cluster = "another";
  hello.nonce = std::string(duties::kNonceBytes, 'x');
  hello.sender = {"stranger", 1, "", ""};
  hello.voter_id = 77;
  for (int i = 0; i < 60; ++i) {
    Fd fd = connect_to(Address{to, r.w->voter_port()});
    ASSERT_TRUE(fd);
    duties::Channel channel({}, std::string(duties::kNonceBytes, 'x'), 1 << 20);
    std::string bytes = channel.seal(hello);
    if (i % 3 == 1) bytes = std::string(1 + random() % 300, static_cast<char>(random()));
    if (i % 3 == 2) bytes[random() % bytes.size()] ^= 1;
    static_cast<void>(!::send(fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  const double from = now();
  UNTIL(r.all_done(from));
  EXPECT_EQ(r.w->node(0).health(), 200);
  EXPECT_EQ(broken_duties(r.d, r.w->finish()), "");
}

#ifdef SEAMS
TEST(DutiesProcesses, SlowSyncsOfAVoterHoldUpNeitherDutiesNorItsOwnRouting) {
  Running r(4, 3, 1, "", "", "", true);
  const std::size_t slow = number_of(r.leader(0));
  const double from = now();
  r.w->play("at 0 " + n(slow) + ": disk-slow 3 for 4", 5);
  UNTIL(r.all_done(now() - 0.5));
  const Timeline t = r.w->finish();
  EXPECT_EQ(broken_duties(r.d, t, 2 * kLease + 2, from, now()), "");
  EXPECT_EQ(broken_rules(four_rules(r.w->checked()), t), "");
  std::size_t served = 0;
  for (const CallRecord& c : t.evidence.calls) served += c.status == 200 ? 1 : 0;
  EXPECT_GT(served, t.evidence.calls.size() * 95 / 100);
}

TEST(DutiesProcesses, AFullDiskATornWriteAndASteppingClock) {
  Running r(5, 3, 1, "", "", "", true);
  const std::size_t lead = number_of(r.leader(0));
  const double from = now();
  r.w->play(
      "at 0 " + n(lead) +
          ": disk-full 0 for 2\nat 2.5 n1: clock 3600 for 1\nat 2.5 n4: clock -3600\nat 3 n2: disk-torn\n"
          "at 4 n2: kill for 0.1",
      6);
  UNTIL(r.all_done(now() - 0.5));
  EXPECT_EQ(broken_duties(r.d, r.w->finish(), 2 * kLease + 2, from, now()), "");
}
#endif

// ------------------------------------------------------------ the fleet report

TEST(DutiesReport, EachPeriodIsWrittenOnceAndTheSumIsWhatCallersSaw) {
  DutiesWorld d(4, 3, 0);
  d.settings.duties += "[report]\nbook = \"" + d.shared.path +
                       "/report.db\"\nperiod_ms = 400\ntell_ms = 100\nlease_ms = 1000\n";
  ProcessWorld w(d.settings);
  w.start();
  add_voters(w, 3);
  const std::string path = d.shared.path + "/report.db";
  const auto periods = [&] {
    if (!std::filesystem::exists(path)) return std::vector<report::Period>();
    try {
      return report::Book(path).periods(1000000);
    } catch (const duties::StoreError&) {
      return std::vector<report::Period>();
    }
  };
  UNTIL(periods().size() >= 2);
  // The writer changes hands, by word, by signal and by force; a client that is killed has told all but its
  // last 100 ms, so it is one that gets no calls.
  const auto writer = [&] { return holders(w, 0)[report::kDuty]; };
  w.play("", 1);
  control(w, 0, "duties pass fleet-report");
  w.play("", 1);
  const std::string stopped = writer();
  if (!stopped.empty() && stopped != "n0") {
    w.node(number_of(stopped)).pause();
    const auto had = periods().size();
    UNTIL(periods().size() > had + 1);
    w.node(number_of(stopped)).resume();
  }
  w.play("", 1);
  // Once all have told their last counts, and one more period is closed.
  std::uint64_t served = 0, asked = 0;
  const auto sum = [&] {
    report::Counts all;
    for (const report::Period& p : periods()) {
      for (const auto& [key, c] : p.counts) all += c;
    }
    return all;
  };
  const auto last = periods().size();
  UNTIL(periods().size() > last + 3);
  const report::Counts all = sum();
  const auto done = periods();
  const Timeline t = w.finish();
  for (const CallRecord& c : t.evidence.calls) {
    ++asked;
    served += c.status == 200 ? 1 : 0;
  }
  EXPECT_GT(asked, 40U);
  EXPECT_EQ(all.served, served);
  std::uint64_t token = 0;
  for (std::size_t i = 0; i < done.size(); ++i) {
    EXPECT_EQ(done[i].number, i + 1);
    EXPECT_GE(done[i].token, token);
    token = done[i].token;
  }
  EXPECT_NE(report::table(done).find("acme"), std::string::npos);
}

// ------------------------------------------------------------ many worlds under seeded scripts

std::string random_script(std::uint64_t seed, std::size_t nodes, std::size_t voters) {
  std::mt19937_64 random(seed);
  std::ostringstream out;
  const int lines = 2 + static_cast<int>(random() % 4);
  for (int i = 0; i < lines; ++i) {
    const double at = 0.1 * static_cast<double>(2 + random() % 25),
                 lasts = 0.1 * static_cast<double>(3 + random() % 25);
    const std::size_t a = random() % nodes;
    std::size_t b = random() % nodes;
    while (b == a) b = random() % nodes;
    const std::size_t v = random() % voters;
    out << "at " << at << " ";
    switch (random() % 10) {
      case 0:
        out << n(a) << ": kill for " << lasts;
        break;
      case 1:
        out << n(v) << ": restart";
        break;
      case 2:
        out << n(a) << ": pause for " << lasts;
        break;
      case 3:
        out << n(v) << ": pause for " << lasts;
        break;
      case 4:
        out << n(a) << " -> " << n(b) << ": cut for " << lasts;
        break;
      case 5:
        out << n(a) << " <-> " << n(v == a ? b : v) << ": cut for " << lasts;
        break;
      case 6:
        out << n(a) << " -> nodes: cut for " << lasts;
        break;
      case 7:
        out << "nodes -> " << n(a) << ": cut for " << lasts;
        break;
      case 8:
        out << "nodes -> nodes: delay 0.01 jitter 0.05 for " << lasts;
        break;
      default:
        out << n(v) << ": starve 0.3 for " << lasts;
        break;
    }
    out << "\n";
  }
  return out.str();
}

std::string play_script(std::uint64_t seed, std::atomic<int>& voids) {
  bool is_void = false;
  const std::size_t nodes = seed % 4 == 0 ? 15 : 7, voters = seed % 4 == 0 ? 5 : 3;
  const std::string script = random_script(seed, nodes, voters);
  const std::string out = play_unstarved(3, is_void, [&](Starvation& starvation) -> std::string {
    Running r(nodes, voters, 2);
    r.w->play(script, 6);
    const double well = now();
    const bool again = ProcessWorld::until([&] { return r.all_done(well); }, 6);
    std::string said;
    for (std::size_t i = 0; i < voters && !again; ++i) said += control(*r.w, i, "duties voters");
    const Timeline t = r.w->finish();
    starvation = r.w->starvation();
    std::string found = broken_duties(r.d, t) + broken_rules(four_rules(r.w->checked()), t);
    if (!again) found += "not all duties have an effect 6 s after all is well\n" + said;
    if (found.empty()) return "";
    const auto of_duties = [](const TimelineEntry& e) {
      return e.kind.rfind("fault", 0) == 0 || e.what.rfind("duties.", 0) == 0;
    };
    return "seed " + std::to_string(seed) + ", " + std::to_string(nodes) + " nodes\n" +
           found.substr(0, 2000) + script +
           t.text(of_duties).substr(0, std::getenv("NETTLESTAND_LONG") != nullptr ? 1000000 : 3000) + "\n";
  });
  if (is_void) ++voids;
  return is_void ? "" : out;
}

class DutiesScripts : public ::testing::TestWithParam<int> {};
// Ten scripts each here, NETTLESTAND_SCRIPTS of them in a long run; one, again and again, where
// NETTLESTAND_SEED names it.
TEST_P(DutiesScripts, BreakNoRule) {
  const char *more = std::getenv("NETTLESTAND_SCRIPTS"), *one = std::getenv("NETTLESTAND_SEED");
  const int worlds = more != nullptr ? std::atoi(more) : 10;
  std::atomic<int> voids = 0;
  const auto seed = [&](int i) {
    return one != nullptr ? std::stoull(one) : static_cast<std::uint64_t>(GetParam() * worlds + i + 1);
  };
  EXPECT_EQ(each(worlds, 5, [&](int i) { return play_script(seed(i), voids); }), "");
  if (voids == worlds) GTEST_SKIP() << "each of them void three times: the machine is too busy for a verdict";
}
INSTANTIATE_TEST_SUITE_P(Duties, DutiesScripts, ::testing::Range(0, 4));

}  // namespace
}  // namespace nettlestand::standins::testing
