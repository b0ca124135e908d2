// The operator's file: its keys, and the reported problems of invalid files with their lines and columns.
#include "daemon/operator_file.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace nettlestand {
namespace {

// A valid file. Lines 1 to 13 of most files below.
const std::string kValidFile = R"([node]
listen = "127.0.0.1:8080"
zones = ["a", "b"]
zone = "a"
[[class]]
name = "look"
effect = "safe"
deadline_ms = 1000
[[tenant]]
name = "acme"
[[server]]
name = "s0"
address = "127.0.0.1:9001"
)";

std::string problems_of(const std::string& text, bool standalone = true) {
  std::vector<Problem> problems;
  const bool good = parse_operator_file(text, standalone, problems).has_value();
  EXPECT_EQ(good, problems.empty());
  return to_text(problems, "f");
}

std::string replaced(const std::string& in, const std::string& out) {
  std::string text = kValidFile;
  EXPECT_NE(text.find(in), std::string::npos) << in;
  return text.replace(text.find(in), in.size(), out);
}

TEST(OperatorFile, SaysWhatANodeNeeds) {
  std::vector<Problem> problems;
  const auto got = parse_operator_file(kValidFile + R"(
zone = "b"
cell = 3
weight = 2.5
state = "draining"
[[class]]
name = "mark"
effect = "keyed"
deadline_ms = 3000
aim_ms = 400
late_worth = 0.25
dedup = "cell"
dedup_window_ms = 4000
[limits]
sockets = 100
memory_mb = 32
max_attempts = 7
max_retry_after_ms = 1500
connect_timeout_ms = 300
server_idle_close_ms = 700
[warm_up]
start_capacity = 0.5
ramp_ms = 6000
[listener]
idle_ms = 9000
read_ms = 1100
write_ms = 2200
)",
                                       true, problems);
  ASSERT_TRUE(got) << to_text(problems, "f");
  EXPECT_EQ(got->listen.port(), 8080);
  EXPECT_FALSE(got->discovery);
  EXPECT_EQ(got->settings.zone, 0);
  EXPECT_EQ(got->classes, (std::vector<std::string>{"look", "mark"}));
  EXPECT_EQ(got->settings.classes[0].effect, quinceusher::Effect::kSafe);
  EXPECT_DOUBLE_EQ(got->settings.classes[0].aim, 0.5) << "half of the deadline";
  EXPECT_DOUBLE_EQ(got->settings.classes[0].give_up, 1);
  EXPECT_EQ(got->settings.classes[1].effect, quinceusher::Effect::kKeyed);
  EXPECT_EQ(got->settings.classes[1].dedup_scope, quinceusher::DedupScope::kCell);
  EXPECT_DOUBLE_EQ(got->settings.classes[1].dedup_window, 4);
  EXPECT_DOUBLE_EQ(got->settings.classes[1].aim, 0.4);
  EXPECT_DOUBLE_EQ(got->settings.classes[1].late_worth, 0.25);
  EXPECT_EQ(got->tenants, std::vector<std::string>{"acme"});
  EXPECT_FALSE(got->settings.tenants[0].allowance);
  ASSERT_TRUE(got->static_servers);
  EXPECT_TRUE(got->static_servers->is_full);
  const ListedServer& server = got->static_servers->servers.at(0);
  EXPECT_EQ(server.info.address, "s0");
  EXPECT_EQ(server.endpoint.port(), 9001);
  EXPECT_EQ(server.info.zone, 1);
  EXPECT_EQ(server.info.cell, 3);
  EXPECT_DOUBLE_EQ(server.info.weight, 2.5);
  EXPECT_EQ(server.info.state, quinceusher::ServerState::kDraining);
  EXPECT_EQ(got->sockets, 100U);
  EXPECT_EQ(got->memory_mb, 32U);
  EXPECT_EQ(got->settings.max_attempts, 7);
  EXPECT_DOUBLE_EQ(got->settings.max_retry_after, 1.5);
  EXPECT_DOUBLE_EQ(got->connect_timeout, 0.3);
  EXPECT_DOUBLE_EQ(got->server_idle_timeout, 0.7);
  EXPECT_DOUBLE_EQ(got->settings.start_capacity, 0.5);
  EXPECT_DOUBLE_EQ(got->settings.ramp_time, 6);
  EXPECT_DOUBLE_EQ(got->listener.idle, 9);
  EXPECT_DOUBLE_EQ(got->listener.read, 1.1);
  EXPECT_DOUBLE_EQ(got->listener.write, 2.2);
}

TEST(OperatorFile, TakesADiscoveryInPlaceOfServers) {
  std::vector<Problem> problems;
  const auto got = parse_operator_file(replaced("[[server]]\nname = \"s0\"\naddress = \"127.0.0.1:9001\"\n",
                                                "[discovery]\naddress = \"[::1]:8500\"\n"),
                                       true, problems);
  ASSERT_TRUE(got) << to_text(problems, "f");
  EXPECT_EQ(got->discovery->port(), 8500);
  EXPECT_TRUE(got->settings.must_watch);
  EXPECT_FALSE(got->static_servers);
}

TEST(OperatorFile, TheOneThatIsShippedIsGoodWithEveryKeySet) {
  std::ifstream in(std::string(DEPLOY) + "/nettlestand.toml");
  std::string text{std::istreambuf_iterator<char>(in), {}}, all;
  EXPECT_EQ(problems_of(text), "");
  // Also with the keys that are commented out, except for the second source of servers and the empty zones.
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    const bool key =
        line.starts_with("# ") && (line.find(" = ") != std::string::npos || line.starts_with("# ["));
    if (line.starts_with("# [discovery]")) break;
    if (line.find("zone = \"\"") == std::string::npos) all += (key ? line.substr(2) : line) + "\n";
  }
  EXPECT_EQ(problems_of(all), "");
}

TEST(OperatorFile, BesideThePlatformNeedsNothingButAddsItsListener) {
  EXPECT_EQ(problems_of("[listener]\nread_ms = 900\n", false), "");
  EXPECT_EQ(problems_of("", false), "");
  EXPECT_EQ(problems_of("[listener]\nread = 900\n", false),
            "f:2:1: unknown key 'read' in listener; did you mean 'read_ms'?\n");
  std::vector<Problem> problems;
  Config platform;
  platform.name = "n3";
  merge_operator_file(
      platform, *parse_operator_file("[node]\nname = \"x\"\n[listener]\nread_ms = 900\n", false, problems));
  EXPECT_EQ(platform.name, "n3") << "the platform takes precedence";
  EXPECT_DOUBLE_EQ(platform.listener.read, 0.9);
}

TEST(OperatorFile, MembershipIsOffUntilItIsSaid) {
  std::vector<Problem> problems;
  EXPECT_FALSE(parse_operator_file(kValidFile, true, problems)->peers);
  const auto got = parse_operator_file(kValidFile + R"(
[peers]
listen = "127.0.0.1:7946"
join = ["127.0.0.1:7947", "127.0.0.1:7948"]
cluster = "marks"
key_file = "keys"
region = "kr"
follow = false
period_ms = 500
timeout_ms = 80
accusers = 2
least_doubt_ms = 400
most_doubt_ms = 3000
seek_period_ms = 1000
patience_ms = 4000
hold_new_ms = 10
hold_lost_ms = 20
[control]
socket = "/run/x"
)",
                                       true, problems);
  ASSERT_TRUE(got) << to_text(problems, "f");
  ASSERT_TRUE(got->peers);
  const peers::ServiceOptions& o = *got->peers;
  EXPECT_EQ(o.listen.port(), 7946);
  ASSERT_EQ(o.join.size(), 2U);
  EXPECT_EQ(o.join[1].port(), 7948);
  EXPECT_EQ(o.cluster.name, "marks");
  EXPECT_EQ(got->peers_key_file, "keys");
  EXPECT_EQ(o.settings.self.region, "kr");
  EXPECT_EQ(o.settings.self.zone, "a");
  EXPECT_FALSE(o.follow_balancers);
  EXPECT_DOUBLE_EQ(o.settings.probe_interval, 0.5);
  EXPECT_DOUBLE_EQ(o.settings.ack_timeout, 0.08);
  EXPECT_EQ(o.settings.confirmations, 2);
  EXPECT_DOUBLE_EQ(o.settings.min_suspicion, 0.4);
  EXPECT_DOUBLE_EQ(o.settings.max_suspicion, 3);
  EXPECT_DOUBLE_EQ(o.settings.rediscovery_interval, 1);
  EXPECT_DOUBLE_EQ(o.settings.name_conflict_timeout, 4);
  EXPECT_DOUBLE_EQ(o.balancers.join_delay, 0.01);
  EXPECT_DOUBLE_EQ(o.balancers.loss_delay, 0.02);
  EXPECT_EQ(got->control_socket, "/run/x");
}

TEST(OperatorFile, WhatIsWrongWithMembershipIsTold) {
  const std::string peers = kValidFile + "[peers]\nlisten = \"127.0.0.1:7946\"\n";  // lines 14 and 15
  const std::pair<std::string, std::string> cases[] = {
      {kValidFile + "[peers]\njoin = []\n", "f:14:1: peers.listen is missing\n"},
      {peers, "f:14:1: peers.members or peers.join is missing\n"},
      {peers + "join = [\"host:1\"]\n",
       "f:16:9: peers.join: 'host:1' is not an address and a port (names are not resolved)\n"},
      {peers + "join = [7]\n", "f:16:9: peers.join: a whole number where an address is expected\n"},
      {peers + "join = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n",
       "f:16:24: peers.join: '127.0.0.1:1' is listed twice\n"},
      {peers + "join = [\"[::1]:1\"]\n", "f:16:8: peers.join: is not an IPv4 address with a port from 1\n"},
      {peers + "members = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n",
       "f:16:11: peers.members: 2 where node.nodes says 1\n"},
      {peers + "members = [\"127.0.0.1:1\"]\njoin = [\"127.0.0.1:1\"]\n",
       "f:17:8: peers.join: conflicts with peers.members, which lists all nodes\n"},
      {peers + "join = []\ntimeout_ms = 200\n",
       "f:17:14: peers.timeout_ms: is over a sixth of peers.period_ms, which is 1000\n"},
      {peers + "join = []\nleast_doubt_ms = 500\n",
       "f:17:18: peers.least_doubt_ms: is under four times peers.timeout_ms, which is 150\n"},
      {peers + "join = []\nmost_doubt_ms = 1000\n",
       "f:17:17: peers.most_doubt_ms: is under peers.least_doubt_ms, which is 1200\n"},
      {peers + "join = []\nfollow = 1\n",
       "f:17:10: peers.follow: is a whole number where a boolean is expected\n"},
      {peers + "join = []\nregion = \"a-very-long-one\"\n", "f:17:10: peers.region: is not 1 to 12 bytes\n"},
      {kValidFile + "[control]\n", "f:14:1: control.socket is missing\n"}};
  for (const auto& [text, told] : cases) EXPECT_EQ(problems_of(text), told) << text;
}

TEST(OperatorFile, WhetherNodesSpeakToEachOtherIsThePlatformsToSay) {
  std::vector<Problem> problems;
  const auto file = parse_operator_file(
      "[peers]\nperiod_ms = 500\ntimeout_ms = 50\n[control]\nsocket = \"x\"\n", false, problems);
  ASSERT_TRUE(file) << to_text(problems, "f");
  Config platform;
  merge_operator_file(platform, *file);
  EXPECT_FALSE(platform.peers);
  platform.name = "n3";
  platform.settings.copy_count = 2;
  platform.peers.emplace().listen.port(77);
  platform.peers->members.resize(2);
  merge_operator_file(platform, *file);
  EXPECT_EQ(platform.peers->listen.port(), 77);
  EXPECT_EQ(platform.peers->members.size(), 2U);
  EXPECT_DOUBLE_EQ(platform.peers->settings.probe_interval, 0.5);
  EXPECT_EQ(platform.peers->settings.self.name, "n3");
}

TEST(OperatorFile, BadOnesAreToldWithLineAndColumn) {
  struct Case {
    std::string file, expected;
  };
  const std::string server = "[[server]]\nname = \"s0\"\naddress = \"127.0.0.1:9001\"\n";
  const std::string two_servers = server + "[[server]]\n";
  const std::vector<Case> cases = {
      // not TOML
      {"[node\n", "f:1:6: not valid TOML: "},
      {"a = 1\na = 2\n", "f:2:5: not valid TOML: "},
      {"x = \"open\n", "f:1:10: not valid TOML: "},
      // unknown keys
      {replaced("zone = \"a\"", "zon = \"a\""), "f:4:1: unknown key 'zon' in node; did you mean 'zone'?\n"},
      {replaced("deadline_ms", "deadline"),
       "f:5:1: class.deadline_ms is missing\nf:8:1: unknown key 'deadline' in class; did you mean "
       "'deadline_ms'?\n"},
      {replaced("[node]", "verbose = true\n[node]"), "f:1:1: unknown key 'verbose' in the file\n"},
      {kValidFile + "[limit]\nsockets = 64\n",
       "f:14:2: unknown key 'limit' in the file; did you mean 'limits'?\n"},
      {kValidFile + "port = 1\n", "f:14:1: unknown key 'port' in server\n"},
      // wrong types
      {replaced("listen = \"127.0.0.1:8080\"", "listen = 8080"),
       "f:2:10: node.listen: is a whole number where a string is expected\n"},
      {replaced("deadline_ms = 1000", "deadline_ms = 1000.5"),
       "f:8:15: class.deadline_ms: is a decimal number where a whole number is expected\n"},
      {replaced("deadline_ms = 1000", "deadline_ms = \"1 s\""),
       "f:8:15: class.deadline_ms: is a string where a whole number is expected\n"},
      {replaced("zones = [\"a\", \"b\"]", "zones = \"a\""),
       "f:3:9: node.zones: is a string where an array is expected\n"},
      {replaced("zones = [\"a\", \"b\"]", "zones = [\"a\", 7]"),
       "f:3:15: node.zones: a whole number where a string is expected\n"},
      {replaced("[[tenant]]", "[tenant]"),
       "f:9:1: the file.tenant: is a table where a list of tables is expected\n"},
      {replaced("[node]\n", "[node]\nname = true\n"),
       "f:2:8: node.name: is a boolean where a string is expected\n"},
      {kValidFile + "weight = 2020-01-01\n",
       "f:14:10: server.weight: is a date or time where a number is expected\n"},
      {"limits = 3\n" + kValidFile, "f:1:10: the file.limits: is a whole number where a table is expected\n"},
      {"class = [1]\n" + replaced("[[class]]\nname = \"look\"\neffect = \"safe\"\ndeadline_ms = 1000\n", ""),
       "f:1:10: class: a whole number where a table is expected\n"},
      // out of range
      {replaced("deadline_ms = 1000", "deadline_ms = 0"),
       "f:8:15: class.deadline_ms: 0 is not from 1 to 3600000\n"},
      {replaced("deadline_ms = 1000", "deadline_ms = -5"),
       "f:8:15: class.deadline_ms: -5 is not from 1 to 3600000\n"},
      {kValidFile + "weight = -1\n", "f:14:10: server.weight: -1 is not from 0 to 1000000\n"},
      {kValidFile + "[limits]\nsockets = 10\n", "f:15:11: limits.sockets: 10 is not from 64 to 2147483647\n"},
      {kValidFile + "[limits]\nmemory_mb = 8\n", "f:15:13: limits.memory_mb: 8 is not from 16 to 1000000\n"},
      {kValidFile + "[limits]\nmax_attempts = 0\n",
       "f:15:16: limits.max_attempts: 0 is not from 1 to 1000\n"},
      {kValidFile + "[limits]\nconnect_timeout_ms = 0\n",
       "f:15:22: limits.connect_timeout_ms: 0 is not from 1 to 600000\n"},
      {kValidFile + "[limits]\nserver_idle_close_ms = 1\n",
       "f:15:24: limits.server_idle_close_ms: 1 is not from 10 to 86400000\n"},
      {kValidFile + "[limits]\nmax_retry_after_ms = 9999999\n",
       "f:15:22: limits.max_retry_after_ms: 9999999 is not from 0 to 3600000\n"},
      {kValidFile + "[warm_up]\nstart_capacity = 1.5\n",
       "f:15:18: warm_up.start_capacity: 1.5 is not from 0 to 1\n"},
      {kValidFile + "[listener]\nidle_ms = 10\n",
       "f:15:11: listener.idle_ms: 10 is not from 2000 to 86400000\n"},
      {replaced("name = \"acme\"", "name = \"acme\"\nallowance_per_s = -1"),
       "f:11:19: tenant.allowance_per_s: -1 is not from 0 to 1000000000\n"},
      {replaced("[node]\n", "[node]\nnodes = 0\n"), "f:2:9: node.nodes: 0 is not from 1 to 100000\n"},
      // names and words
      {replaced("name = \"look\"", "name = \"\""), "f:6:8: class.name: is not 1 to 128 bytes\n"},
      {replaced("name = \"s0\"", "name = \"" + std::string(256, 'x') + "\""),
       "f:12:8: server.name: is not 1 to 255 bytes\n"},
      {replaced("name = \"acme\"", "name = \"a\\u0007\""),
       "f:10:8: tenant.name: contains a control character\n"},
      {replaced("effect = \"safe\"", "effect = \"idempotent\""),
       "f:7:10: class.effect: 'idempotent' is not one of safe, keyed, unsafe\n"},
      {kValidFile + "state = \"down\"\n", "f:14:9: server.state: 'down' is not one of ready, draining\n"},
      {replaced("zones = [\"a\", \"b\"]", "zones = [\"a\", \"a\"]"),
       "f:3:15: node.zones: 'a' is listed twice\n"},
      {replaced("\"127.0.0.1:8080\"", "\"localhost:8080\""),
       "f:2:10: node.listen: 'localhost:8080' is not an address and a port (names are not resolved)\n"},
      {replaced("\"127.0.0.1:9001\"", "\"127.0.0.1\""),
       "f:13:11: server.address: '127.0.0.1' is not an address and a port (names are not resolved)\n"},
      // missing keys
      {replaced("listen = \"127.0.0.1:8080\"\n", ""), "f:1:1: node.listen is missing\n"},
      {replaced("effect = \"safe\"\n", ""), "f:5:1: class.effect is missing\n"},
      {replaced("name = \"acme\"\n", ""), "f:9:1: tenant.name is missing\n"},
      {replaced("address = \"127.0.0.1:9001\"\n", ""), "f:11:1: server.address is missing\n"},
      {replaced(server, ""), "f:1:1: no source of servers: [[server]] or [discovery] is missing\n"},
      {replaced(server, "[discovery]\n"), "f:11:1: discovery.address is missing\n"},
      {replaced("[[class]]\nname = \"look\"\neffect = \"safe\"\ndeadline_ms = 1000\n", ""),
       "f:1:1: the file.class is missing\n"},
      {replaced("effect = \"safe\"", "effect = \"keyed\""), "f:5:1: class.dedup_window_ms is missing\n"},
      {"",
       "f:1:1: node.listen is missing\nf:1:1: the file.class is missing\nf:1:1: no source of servers: "
       "[[server]] or [discovery] is missing\n"},
      // contradictions
      {replaced("deadline_ms = 1000", "deadline_ms = 1000\naim_ms = 1500"),
       "f:9:10: class.aim_ms: 1500 is over class.deadline_ms, which is 1000\n"},
      {replaced("deadline_ms = 1000", "deadline_ms = 1000\ndedup = \"cell\""),
       "f:9:9: class.dedup: belongs to keyed classes only\n"},
      {replaced("deadline_ms = 1000", "deadline_ms = 1000\ndedup_window_ms = 5"),
       "f:9:19: class.dedup_window_ms: belongs to keyed classes only\n"},
      {replaced("zone = \"a\"", "zone = \"c\""), "f:4:8: node.zone: 'c' is not one of node.zones\n"},
      {kValidFile + "zone = \"c\"\n", "f:14:8: server.zone: 'c' is not one of node.zones\n"},
      {replaced("[node]\n", "[node]\nposition = 2\nnodes = 2\n"),
       "f:2:12: node.position: 2 is not under node.nodes, which is 2\n"},
      {replaced("[[tenant]]", "[[class]]\nname = \"look\"\neffect = \"safe\"\ndeadline_ms = 1\n[[tenant]]"),
       "f:10:8: class.name: 'look' is used in line 6 already\n"},
      {replaced(server, two_servers + "name = \"s0\"\naddress = \"127.0.0.1:9002\"\n"),
       "f:15:8: server.name: 's0' is used in line 12 already\n"},
      {replaced(server, two_servers + "name = \"s1\"\naddress = \"127.0.0.1:9001\"\n"),
       "f:16:11: server.address: is used by the server in line 13\n"},
      {replaced("127.0.0.1:9001", "127.0.0.1:8080"),
       "f:13:11: server.address: is node.listen: the node would send to itself\n"},
      {kValidFile + "[discovery]\naddress = \"127.0.0.1:8500\"\n",
       "f:11:1: the file.server: conflicts with [discovery], which would replace it\n"},
      {replaced(server, "[discovery]\naddress = \"127.0.0.1:8080\"\n"),
       "f:12:11: discovery.address: is node.listen: the node would query itself\n"},
      {kValidFile + "[warm_up]\nstart_capacity = 0.5\n",
       "f:15:18: warm_up.start_capacity: is under 1, which needs warm_up.ramp_ms\n"},
      // several problems at once, in the order of the file
      {replaced("effect = \"safe\"\ndeadline_ms = 1000", "effect = 3\ndeadline_ms = 0\ncolour = 1"),
       "f:7:10: class.effect: is a whole number where a string is expected\n"
       "f:8:15: class.deadline_ms: 0 is not from 1 to 3600000\n"
       "f:9:1: unknown key 'colour' in class\n"},
  };
  EXPECT_GE(cases.size(), 40U);
  EXPECT_EQ(problems_of(kValidFile), "");
  for (const Case& bad : cases) {
    const std::string got = problems_of(bad.file);
    if (bad.expected.ends_with("TOML: ")) {
      EXPECT_EQ(got.substr(0, bad.expected.size()), bad.expected)
          << got;  // the rest is the TOML library's text
    } else {
      EXPECT_EQ(got, bad.expected);
    }
  }
}

TEST(OperatorFile, HoldsNoMoreServersThanItsMemoryAllows) {
  std::string text =
      replaced("[[server]]\nname = \"s0\"\naddress = \"127.0.0.1:9001\"\n", "[limits]\nmemory_mb = 16\n");
  for (int i = 0; i < 2049; ++i) {
    text += "[[server]]\nname = \"s" + std::to_string(i) +
            "\"\naddress = \"127.0.0.1:" + std::to_string(i + 10000) + "\"\n";
  }
  EXPECT_EQ(problems_of(text), "f:13:1: the file.server: more than limits.memory_mb allows, which is 2048\n");
}

}  // namespace
}  // namespace nettlestand
