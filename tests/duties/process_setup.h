// Settings for tests in which real processes hold duties, with short timeouts so that the tests end soon, and
// the checks on what happened in them.
#pragma once

#include <algorithm>
#include <filesystem>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "daemon/control_socket.h"
#include "duties/raft_replica.h"
#include "duties/sqlite_fencing_checker.h"
#include "duties/store.h"
#include "json/reader.h"
#include "report/report_store.h"
#include "tests/process_worlds.h"

namespace nettlestand::standins::testing {

inline constexpr double kLeaseSeconds = 1;  // lease_ms of the duties in DutiesSetup

// The settings of a process world with duties.
struct DutiesSetup {
  // The directory outside the nodes' own state in which effects are recorded.
  struct SharedDirectory {
    SharedDirectory() {
      std::string name = ::testing::TempDir() + "nettlestand_place_XXXXXX";
      if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
      path = name;
    }
    ~SharedDirectory() {
      std::error_code ignored;
      std::filesystem::remove_all(path, ignored);
    }
    std::string path;
  } shared_directory;
  WorldSettings settings;

  // `count` duties that run the effect writer, in `program_mode` if that is given. `extra_sections` is
  // appended to the duties configuration, `extra_duty_settings` to each duty.
  DutiesSetup(std::size_t nodes, std::size_t voters, std::size_t count, const std::string& program_mode = "",
              const std::string& extra_sections = "", const std::string& extra_duty_settings = "") {
    settings = small_world(nodes, 2);
    settings.peers = true;
    settings.voters = voters;
    settings.node.stage = 0;
    settings.load.classes = {{"safe", CallEffect::kSafe, 1, 1, 0, 0}};
    settings.load.rate = 5.0 * static_cast<double>(nodes);
    settings.process.operator_file =
        "[log]\nformat = \"json\"\nrepeats = 0\n[control]\nsocket = \"{state}/control\"\n";
    settings.duties =
        "election_ms = 300\nheartbeat_ms = 50\nask_ms = 200\nanswer_ms = 200\npatience_ms = 400\ntake_ms = "
        "500\n"
        "programs = true\n";
    for (std::size_t i = 0; i < count; ++i) {
      settings.duties +=
          "[[duty]]\nname = \"d" + std::to_string(i) + "\"\nlease_ms = 1000\nstop_ms = 300\ncommand = [\"" +
          std::string(EFFECT_WRITER) + "\", \"" + shared_directory.path + "/place.db\", \"20\"" +
          (program_mode.empty() ? "" : ", \"" + program_mode + "\"") + "]\n" + extra_duty_settings;
    }
    settings.duties += extra_sections;
    settings.prepare_voter = [](std::size_t i, const std::string& folder) {
      duties::SqliteStore::create(folder);
      if (i != 0) return;
      duties::SqliteStore store(folder);
      duties::RaftReplica::bootstrap(store, "n0");
    };
  }
};

// The reply of a node's control socket, or a text that starts with "error".
inline std::string run_control_command(ProcessWorld& world, std::size_t i, const std::string& command) {
  try {
    return send_control_command(world.state(i).path() + "/control", command);
  } catch (const std::exception& problem) {
    return std::string("error: ") + problem.what();
  }
}

// Adds the voters after the first one. Throws if that fails.
inline void add_voters(ProcessWorld& world, std::size_t voters) {
  for (std::size_t i = 1; i < voters; ++i) {
    std::string reply;
    const auto added = [&] {
      reply = run_control_command(world, 0, "duties voters add n" + std::to_string(i));
      return reply.rfind("error", 0) != 0;
    };
    if (!ProcessWorld::until(added, 20))
      throw std::runtime_error("cannot add a voter: " + reply + world.node(0).log() + world.node(i).log());
  }
}

// The holder of each duty as the leader reports it through the node `asked`. A holder is empty if there is
// none; the map is empty if no leader answered.
inline std::map<std::string, std::string> duty_holders(ProcessWorld& world, std::size_t asked) {
  std::map<std::string, std::string> out;
  const std::string reply = run_control_command(world, asked, "duties");
  if (reply.rfind("error", 0) == 0) return out;
  const rapidjson::Document document = quinceusher::json::parse(reply);
  for (const auto& duty : document["duties"].GetArray())
    out[duty["duty"].GetString()] = duty["holder"].GetString();
  return out;
}

// The duties that a node believes it holds, with their tokens.
inline std::map<std::string, std::uint64_t> held_tokens(ProcessWorld& world, std::size_t i) {
  std::map<std::string, std::uint64_t> out;
  const std::string reply = run_control_command(world, i, "duties own");
  if (reply.rfind("error", 0) == 0) return out;
  const rapidjson::Document document = quinceusher::json::parse(reply);
  for (const auto& duty : document["duties"].GetArray()) {
    if (duty["held"].GetBool()) out[duty["duty"].GetString()] = duty["token"].GetUint64();
  }
  return out;
}

// An effect as the effect writer recorded it; `at` in seconds of the monotonic clock.
struct EffectRecord {
  std::string duty;
  std::uint64_t token = 0, pid = 0;
  double at = 0;
};
// The admitted effects (table "effect") or the rejected ones (table "away"), in the order of recording.
inline std::vector<EffectRecord> read_effects(const DutiesSetup& setup, const char* table = "effect") {
  std::vector<EffectRecord> out;
  const std::string path = setup.shared_directory.path + "/place.db";
  if (!std::filesystem::exists(path)) return out;
  duties::Sqlite sql(path, false, 10000);
  const bool rejected = std::string(table) == "away";
  try {
    duties::Sqlite::Statement all(sql, rejected ? "SELECT duty, token, 0, at FROM away ORDER BY n"
                                                : "SELECT duty, token, pid, at FROM effect ORDER BY n");
    while (all.step())
      out.push_back({all.column_bytes(0), all.column_uint64(1), all.column_uint64(2), all.column_double(3)});
  } catch (const duties::StoreError&) {  // the tables do not exist yet
  }
  return out;
}

// Checks the recorded effects and all logs; empty if no rule is violated. The tokens of a duty's effects
// never decrease, each token is used by one process and gained by one node, and between `from` and `until` no
// duty is without an effect for longer than `max_gap_seconds` (0: not checked).
inline std::string duty_violations(const DutiesSetup& setup, const Timeline& timeline,
                                   double max_gap_seconds = 0, double from = 0, double until = 0) {
  std::string out;
  std::map<std::string, std::uint64_t> last;
  std::map<std::uint64_t, std::uint64_t> pid;
  std::map<std::string, double> last_effect_at;
  for (const EffectRecord& e : read_effects(setup)) {
    if (e.token < last[e.duty])
      out += "an effect of " + e.duty + " by token " + std::to_string(e.token) + " came after one by " +
             std::to_string(last[e.duty]) + "\n";
    last[e.duty] = std::max(last[e.duty], e.token);
    const auto [it, fresh] = pid.try_emplace(e.token, e.pid);
    if (!fresh && it->second != e.pid)
      out += "token " + std::to_string(e.token) + " was used by two processes\n";
    if (max_gap_seconds > 0 && e.at > from && e.at < until) {
      const double before = std::max(from, last_effect_at.contains(e.duty) ? last_effect_at[e.duty] : from);
      if (e.at - before > max_gap_seconds)
        out += e.duty + " was without an effect for " + std::to_string(e.at - before) + " s\n";
    }
    last_effect_at[e.duty] = e.at;
  }
  std::map<std::string, std::string> gained;  // token to node
  for (const TimelineEntry& e : timeline.entries) {
    if (e.kind != "log" || e.what != "duties.gained") continue;
    const auto token = e.fields.find("token");
    if (token == e.fields.end()) continue;
    const auto [it, fresh] = gained.try_emplace(token->second, e.who);
    if (!fresh && it->second != e.who) out += "token " + token->second + " was gained by two nodes\n";
  }
  return out;
}

}  // namespace nettlestand::standins::testing
