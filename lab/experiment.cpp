#include "lab/experiment.h"

#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace nettlestand::lab {
namespace {

[[noreturn]] void fail_at(const toml::node* where, const std::string& what) {
  const auto at = where != nullptr ? where->source().begin : toml::source_position{};
  throw BadExperiment((at.line > 0 ? std::to_string(at.line) + ":" + std::to_string(at.column) + ": " : "") +
                      what);
}

// A typed reader of one table; finish() rejects every key that was not read.
class Section {
 public:
  Section(const toml::table* table, std::string name) : table_(table), name_(std::move(name)) {}

  const toml::node* find(const char* key) {
    known_.insert(key);
    return table_ != nullptr ? table_->get(key) : nullptr;
  }
  double number(const char* key, double fallback, double minimum, double maximum) {
    const toml::node* node = find(key);
    if (node == nullptr) return fallback;
    const auto value = node->value<double>();
    if (!node->is_number() || !value) fail_at(node, name_ + key + " is no number");
    if (!(*value >= minimum && *value <= maximum)) {
      fail_at(node,
              name_ + key + " is not from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return *value;
  }
  template <class Integer>
  Integer integer(const char* key, Integer fallback, double minimum, double maximum) {
    const double value = number(key, static_cast<double>(fallback), minimum, maximum);
    if (value != std::floor(value)) fail_at(find(key), name_ + key + " is no whole number");
    return static_cast<Integer>(value);
  }
  double ms(const char* key, double fallback, double minimum, double maximum) {
    return number(key, fallback * 1000, minimum, maximum) / 1000;
  }
  std::string text(const char* key, std::string fallback, const std::set<std::string>& allowed = {}) {
    const toml::node* node = find(key);
    if (node == nullptr) return fallback;
    const auto value = node->value<std::string>();
    if (!value) fail_at(node, name_ + key + " is no text");
    if (!allowed.empty() && !allowed.contains(*value)) fail_at(node, name_ + key + ": no '" + *value + "'");
    return *value;
  }
  Section section(const char* key) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_table()) fail_at(node, name_ + key + " is no table");
    return {node != nullptr ? node->as_table() : nullptr, name_ + key + "."};
  }
  void finish() const {
    if (table_ == nullptr) return;
    for (const auto& [key, node] : *table_) {
      if (!known_.contains(std::string(key.str())))
        fail_at(&node, "unknown key '" + name_ + std::string(key.str()) + "'");
    }
  }

 private:
  const toml::table* table_;
  const std::string name_;
  std::set<std::string> known_;
};

// Merges `over` into `base`; values of `over` win.
void merge_tables(toml::table& base, const toml::table& over) {
  for (const auto& [key, node] : over) {
    toml::node* old = base.get(key);
    if (node.is_table() && old != nullptr && old->is_table()) {
      merge_tables(*old->as_table(), *node.as_table());
    } else {
      node.visit([&](const auto& value) { base.insert_or_assign(key, value); });
    }
  }
}

Setup read_setup(const toml::table& table) {
  Setup out;
  Section root(&table, "");
  for (const char* key : {"name", "about", "seeds", "variant"}) root.find(key);
  out.seconds = root.number("seconds", out.seconds, 1, 600);
  out.count_from = root.number("count_from", out.count_from, 0, out.seconds);
  out.fault_script = root.text("faults", "");
  Section fleet = root.section("fleet");
  out.nodes = fleet.integer("nodes", out.nodes, 1, 400);
  out.servers = fleet.integer("servers", out.servers, 1, 10000);
  out.cores = fleet.integer("cores", out.cores, 1, 64);
  out.service_time = fleet.ms("work_ms", out.service_time, 0.01, 10000);
  out.work_distribution = fleet.text("work", out.work_distribution, {"exponential", "uniform", "fixed"});
  out.cross_zone_delay = fleet.ms("between_zones_ms", 0, 0, 10000);
  if (fleet.find("follow_ms") != nullptr) out.membership_delay = fleet.ms("follow_ms", 0, 0, 600'000);
  out.max_attempts = fleet.integer("max_attempts", out.max_attempts, 1, 100);
  if (const toml::node* zones = fleet.find("zones")) {
    out.zones.clear();
    if (!zones->is_array()) fail_at(zones, "fleet.zones is no list");
    for (const toml::node& zone : *zones->as_array()) {
      const auto name = zone.value<std::string>();
      if (!name || name->empty()) fail_at(&zone, "fleet.zones: a name is wanted");
      out.zones.push_back(*name);
    }
    if (out.zones.empty()) fail_at(zones, "fleet.zones is empty");
  }
  fleet.finish();
  Section traffic = root.section("traffic");
  out.load = traffic.number("load", out.load, 0.001, 20);
  out.latency_target = traffic.ms("aim_ms", out.latency_target, 1, 600'000);
  out.deadline = traffic.ms("deadline_ms", std::max(out.deadline, 2 * out.latency_target), 1, 600'000);
  if (out.deadline < out.latency_target)
    fail_at(traffic.find("deadline_ms"), "traffic.deadline_ms is under traffic.aim_ms");
  out.effect = traffic.text("effect", out.effect, {"safe", "unsafe"});
  out.tries = traffic.integer("tries", out.tries, 1, 100);
  out.mean_retry_delay = traffic.ms("retry_pause_ms", out.mean_retry_delay, 1, 600'000);
  out.traffic_skew = traffic.number("uneven", 0, 0, 5);
  out.tenants = traffic.integer("tenants", out.tenants, 1, 100);
  if (const toml::node* steps = traffic.find("step")) {
    if (!steps->is_array()) fail_at(steps, "traffic.step is no list of tables");
    for (const toml::node& step : *steps->as_array()) {
      if (!step.is_table()) fail_at(&step, "traffic.step is no list of tables");
      Section s(step.as_table(), "traffic.step.");
      const double at = s.number("at", 0, 0, 600);
      out.steps.emplace_back(at, s.number("factor", 1, 0, 100));
      s.finish();
    }
  }
  traffic.finish();
  Section warm_up = root.section("warm_up");
  out.start_capacity = warm_up.number("start_capacity", 1, 0, 1);
  out.ramp_time = warm_up.ms("ramp_ms", 0, 0, 600'000);
  warm_up.finish();
  root.finish();
  try {
    out.faults();
  } catch (const standins::ScriptError& problem) {
    throw BadExperiment(std::string("faults: ") + problem.what());
  }
  return out;
}

}  // namespace

std::vector<standins::Member> Setup::members() const {
  using standins::Role;
  std::vector<standins::Member> out;
  for (std::size_t i = 0; i < nodes; ++i) {
    out.push_back({"n" + std::to_string(i), Role::kNode, zones[i % zones.size()], "r"});
  }
  for (std::size_t i = 0; i < servers; ++i) {
    out.push_back({"s" + std::to_string(i), Role::kServer, zones[i % zones.size()], "r"});
  }
  for (const std::string& zone : zones) out.push_back({"callers-" + zone, Role::kCallers, zone, "r"});
  out.push_back({"discovery", Role::kDiscovery, "", ""});
  return out;
}

std::pair<double, double> Setup::fault_window() const {
  double from = 0, until = 0;
  bool any = false;
  for (const standins::WorldFault& fault : faults()) {
    from = any ? std::min(from, fault.at) : fault.at;
    until = std::max(until, fault.duration == standins::kForever ? fault.at : fault.at + fault.duration);
    any = true;
  }
  return {from, until};
}

Experiment read_experiment(std::string_view text) {
  toml::table root;
  try {
    root = toml::parse(text);
  } catch (const toml::parse_error& error) {
    const auto at = error.source().begin;
    throw BadExperiment(std::to_string(at.line) + ":" + std::to_string(at.column) +
                        ": not valid TOML: " + std::string(error.description()));
  }
  Experiment out;
  out.name = root["name"].value_or(std::string("unnamed"));
  out.about = root["about"].value_or(std::string());
  if (const toml::node* seeds = root.get("seeds")) {
    if (const auto count = seeds->value<std::int64_t>(); count && *count >= 1 && *count <= 10'000) {
      for (std::int64_t i = 1; i <= *count; ++i) out.seeds.push_back(static_cast<std::uint64_t>(i));
    } else if (seeds->is_array()) {
      for (const toml::node& seed : *seeds->as_array()) {
        const auto value = seed.value<std::int64_t>();
        if (!value || *value < 0) fail_at(&seed, "seeds: whole numbers are wanted");
        out.seeds.push_back(static_cast<std::uint64_t>(*value));
      }
    } else {
      fail_at(seeds, "seeds is a count from 1 to 10000 or a list");
    }
  }
  if (out.seeds.empty()) out.seeds = {1, 2, 3, 4, 5};
  const toml::node* variants = root.get("variant");
  if (variants == nullptr) {
    out.variants.push_back(read_setup(root));
    return out;
  }
  if (!variants->is_array() || variants->as_array()->empty())
    fail_at(variants, "variant is no list of tables");
  std::set<std::string> names;
  for (const toml::node& variant : *variants->as_array()) {
    if (!variant.is_table()) fail_at(&variant, "variant is no list of tables");
    toml::table own = *variant.as_table();
    const auto name = own["name"].value<std::string>();
    if (!name || name->empty()) fail_at(&variant, "variant.name is missing");
    if (!names.insert(*name).second) fail_at(&variant, "variant '" + *name + "' stands there twice");
    for (const char* key : {"seeds", "about", "variant"}) {
      if (own.contains(key))
        fail_at(variant.as_table()->get(key), std::string("variant.") + key + " belongs to the experiment");
    }
    toml::table whole = root;
    whole.erase("variant");
    merge_tables(whole, own);
    try {
      out.variants.push_back(read_setup(whole));
    } catch (const BadExperiment& problem) {
      throw BadExperiment("variant '" + *name + "': " + problem.what());
    }
    out.variants.back().variant = *name;
  }
  return out;
}

}  // namespace nettlestand::lab
