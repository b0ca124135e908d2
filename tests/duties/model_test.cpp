// Model checks of leases: an exhaustive search to a bounded depth, long random walks, and injected faults
// that the walks must find.
#include "model.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <unordered_map>

namespace nettlestand::duties::testing {
namespace {

// The first violation, if any, with the steps that lead to it.
struct SearchResult {
  std::string violation;
  std::vector<std::string> trace;
  std::size_t states = 0;
};

// Depth-first search over all orders of steps to a bounded depth. States that were visited before with at
// least as many steps left are skipped, and beyond max_states no state is expanded.
class Explorer {
 public:
  explicit Explorer(std::size_t max_states) : max_states_(max_states) {}
  SearchResult run(const Model& from, int depth) {
    visit(from, depth);
    found_.states = seen_.size();
    return found_;
  }

 private:
  void visit(const Model& model, int steps_left) {
    if (!found_.violation.empty()) return;
    if (!model.violation().empty()) {
      found_.violation = model.violation();
      found_.trace = trace_;
      return;
    }
    if (steps_left == 0) return;
    int& before = seen_[std::hash<std::string>()(model.state_key())];
    if (before >= steps_left || seen_.size() > max_states_) return;
    before = steps_left;
    const std::size_t steps = model.step_count();
    for (std::size_t i = 0; i < steps && found_.violation.empty(); ++i) {
      Model next = model;
      trace_.push_back(next.step(i));
      visit(next, steps_left - 1);
      trace_.pop_back();
    }
  }

  const std::size_t max_states_;
  std::unordered_map<std::size_t, int> seen_;
  std::vector<std::string> trace_;
  SearchResult found_;
};

std::string describe(const SearchResult& f) {
  std::string out = f.violation + "\n";
  for (const std::string& step : f.trace) out += "  " + step + "\n";
  return out;
}

// Takes the most direct steps (deliver, commit, drop, advance time) until a node holds a duty.
void run_until_held(Model& model, const std::string& duty, int who) {
  const std::string n = std::to_string(who) + ".";
  for (int i = 0; i < 60 && model.holder(duty) != who; ++i) {
    const auto names = model.step_names();
    const auto is = [&](const std::string& name) {
      return (name.rfind("deliver " + n, 0) == 0 && name.find(duty) != std::string::npos) &&
             name.find("to v1") == std::string::npos;
    };
    auto it = std::find_if(names.begin(), names.end(), is);
    if (it == names.end()) it = std::find(names.begin(), names.end(), "commit");
    if (it == names.end())
      it = std::find_if(names.begin(), names.end(),
                        [](const auto& name) { return name.rfind("drop", 0) == 0; });
    if (it == names.end()) it = std::find(names.begin(), names.end(), "advance time");
    model.step(static_cast<std::size_t>(it - names.begin()));
  }
  ASSERT_EQ(model.holder(duty), who);
}

// The relative probability of a step. With equal weights, time and message losses would outrun everything
// that takes several steps.
double step_weight(const std::string& step) {
  static const std::vector<std::pair<const char*, double>> kWeights = {
      {"deliver and keep", 1}, {"deliver", 8},     {"drop", 0.3},  {"commit", 8},
      {"elect", 0.15},         {"step down", 1},   {"pause", 0.4}, {"resume", 0.3},
      {"crash", 0.1},          {"check", 3},       {"apply", 0.7}, {"advance time", 1.5},
      {"set clock back", 0.5}, {"lose table", 0.1}};
  for (const auto& [words, w] : kWeights) {
    if (step.rfind(words, 0) == 0) return w;
  }
  return 1;
}

// Random walks from the initial state; `effects` counts the effects applied.
SearchResult random_walks(const ModelSettings& settings, std::uint64_t seed, int walks, int length,
                          std::size_t* effects = nullptr) {
  std::mt19937_64 random(seed);
  SearchResult out;
  for (int w = 0; w < walks && out.violation.empty(); ++w) {
    Model model(settings);
    out.trace.clear();
    for (int i = 0; i < length; ++i) {
      std::vector<double> weights;
      for (const std::string& name : model.step_names()) weights.push_back(step_weight(name));
      const std::size_t which =
          std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
      out.trace.push_back(model.step(which));
      ++out.states;
      if (!model.violation().empty()) {
        out.violation = model.violation();
        break;
      }
    }
    if (effects != nullptr) *effects += model.effects();
  }
  return out;
}

ModelSettings model_settings(int nodes, std::vector<std::string> duties) {
  ModelSettings out;
  out.nodes = nodes;
  out.duties = std::move(duties);
  return out;
}

TEST(DutiesModel, GrantsRenewsAndHandsOn) {
  Model model(model_settings(3, {"a", "b"}));
  run_until_held(model, "a", 0);
  run_until_held(model, "b", 1);
  EXPECT_EQ(model.table().find("a")->holder->name, "n0");
  ASSERT_TRUE(model.step("check n0 a"));
  ASSERT_TRUE(model.step("apply n0"));
  EXPECT_EQ(model.effects(), 1U);
  EXPECT_EQ(model.violation(), "");
}

TEST(DutiesModel, EveryOrderOfStepsFromTheStart) {
  const SearchResult found = Explorer(4'000'000).run(Model(model_settings(3, {"a", "b"})), 6);
  EXPECT_EQ(found.violation, "") << describe(found);
  EXPECT_GT(found.states, 10'000U);
  RecordProperty("states", static_cast<int>(found.states));
}

TEST(DutiesModel, EveryOrderOfStepsFromWhereADutyIsHeld) {
  ModelSettings s = model_settings(2, {"a"});
  s.max_messages = 2;
  Model model(s);
  run_until_held(model, "a", 0);
  const SearchResult found = Explorer(4'000'000).run(model, 9);
  EXPECT_EQ(found.violation, "") << describe(found);
  EXPECT_GT(found.states, 50'000U);
}

TEST(DutiesModel, EveryOrderOfStepsFromAnEffectHalfDone) {
  Model model(model_settings(3, {"a", "b"}));
  run_until_held(model, "a", 0);
  run_until_held(model, "b", 1);
  ASSERT_TRUE(model.step("check n0 a"));
  ASSERT_TRUE(model.step("pause n0"));
  const SearchResult found = Explorer(4'000'000).run(model, 6);
  EXPECT_EQ(found.violation, "") << describe(found);
}

TEST(DutiesModel, LongWalksKeepTheRules) {
  std::size_t effects = 0;
  const SearchResult found = random_walks(model_settings(3, {"a", "b"}), 7, 400, 400, &effects);
  EXPECT_EQ(found.violation, "") << describe(found);
  EXPECT_GT(effects, 500U) << "the walks applied too few effects to check anything";
}

// Each fault must be found by the same kind of walks that find nothing in the production code.
TEST(DutiesModel, PlantedFaultsAreFound) {
  const std::vector<std::pair<const char*, void (*)(InjectedFaults&)>> injected = {
      {"no fencing", [](InjectedFaults& f) { f.no_fencing = true; }},
      {"lease by wall clock", [](InjectedFaults& f) { f.wall_clock = true; }},
      {"lease table lost", [](InjectedFaults& f) { f.table_loss = true; }},
      {"renewals confirmed without a quorum", [](InjectedFaults& f) { f.no_barrier = true; }},
      {"a new leader does not wait", [](InjectedFaults& f) { f.no_leader_wait = true; }},
      {"clock drift ignored", [](InjectedFaults& f) { f.drift_ignored = true; }}};
  for (const auto& [name, inject] : injected) {
    ModelSettings s = model_settings(3, {"a"});
    inject(s.faults);
    const SearchResult found = random_walks(s, 11, 6000, 300);
    EXPECT_NE(found.violation, "") << name;
  }
  EXPECT_EQ(random_walks(model_settings(3, {"a"}), 11, 400, 300).violation, "");
}

}  // namespace
}  // namespace nettlestand::duties::testing
