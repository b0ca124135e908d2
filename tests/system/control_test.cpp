// Unit tests of the control state: bootstrap, change feed, config lease, pending operator calls, member
// repair.
#include <catch2/catch.hpp>

#include "control/bootstrap.h"
#include "control/change_feed.h"
#include "control/control_client.h"
#include "control/member_repair.h"
#include "control/pending_operator_calls.h"
#include "node/operator_request_handler.h"
#include "recording_messenger.h"

using namespace nettlestand::tier;
using consensus::Member;

namespace {

SequencedChange change_of(std::uint64_t sequence) {
  SequencedChange out{};
  out.sequence = sequence;
  out.change.base = sequence - 1;
  out.change.body =
      "{\"generation\":" + std::to_string(sequence) + ",\"routes\":[],\"services\":[],\"tenants\":[]}";
  return out;
}

NodeInfo core_node(int i) {
  NodeInfo out{};
  out.name = "edge-" + std::to_string(i);
  out.address = "10.0.0." + std::to_string(i) + ":7000";
  out.is_core = true;
  out.disk_id = static_cast<std::uint64_t>(i);
  return out;
}

Member member_of(int i) {
  Member out{};
  out.id = static_cast<std::uint64_t>(i);
  out.node = "edge-" + std::to_string(i);
  return out;
}

}  // namespace

TEST_CASE("the feed hands out orders without a gap, or none") {
  ChangeFeed feed;
  CHECK_FALSE(feed.changes_between(0, 3));
  for (std::uint64_t i = 1; i <= 5; ++i) feed.append(change_of(i));
  const auto some = feed.changes_between(3, 5);
  REQUIRE(some);
  REQUIRE(some->size() == 2);
  CHECK(some->front().sequence == 4);
  CHECK_FALSE(feed.changes_between(3, 6));
  SECTION("after a snapshot was installed, what came before it is not offered") {
    feed.reset();
    feed.append(change_of(40));
    feed.append(change_of(41));
    CHECK_FALSE(feed.changes_between(3, 41));
    CHECK_FALSE(feed.changes_between(38, 41));
    CHECK(feed.changes_between(39, 41));
  }
  SECTION("an order that does not follow begins the feed anew") {
    feed.append(change_of(9));
    CHECK_FALSE(feed.changes_between(5, 9));
    CHECK(feed.changes_between(8, 9));
  }
  SECTION("the oldest are given up") {
    for (std::uint64_t i = 6; i <= ChangeFeed::kMaxChanges + 5; ++i) feed.append(change_of(i));
    CHECK_FALSE(feed.changes_between(4, ChangeFeed::kMaxChanges + 5));
    CHECK(feed.changes_between(5, ChangeFeed::kMaxChanges + 5));
  }
}

TEST_CASE("a node stays fresh only by answers after which it holds what the leader named") {
  RecordingMessenger messenger;
  NodeInfo self = core_node(9);
  PartialView view(self, {}, 1);
  ControlClientSettings settings;
  settings.lease_ms = 3700;
  ConfigTextProvider content(1e9);
  ControlClient control_client(messenger, view, content, settings);
  const std::string leader = "10.0.0.1:7000";
  const auto content_of = [](std::uint64_t sequence) {
    const std::string text = change_of(sequence).change.body;
    ConfigTextReply out{};
    out.id = config_version_of(sequence, text);
    out.total = text.size();
    out.bytes = text;
    return out;
  };
  PollReply reply{};
  reply.from_leader = true;
  reply.sent_at = 1000;
  reply.config = content_of(3).id;
  control_client.on_reply(1010, leader, reply);
  REQUIRE_FALSE(control_client.has_config_lease(1010));  // announced but not received yet
  control_client.on_config_text(1050, leader, content_of(3));
  REQUIRE(control_client.state().sequence() == 3);
  REQUIRE(control_client.has_config_lease(4600));

  reply.sent_at = 4000;
  reply.config = content_of(9).id;
  control_client.on_reply(4010, leader, reply);
  CHECK(control_client.state().sequence() == 3);
  CHECK_FALSE(control_client.has_config_lease(4800));
  control_client.on_config_text(4020, leader, content_of(8));  // never announced
  CHECK(control_client.state().sequence() == 3);

  control_client.on_config_text(4030, leader, content_of(9));
  CHECK(control_client.state().sequence() == 9);
  CHECK(control_client.has_config_lease(7690));
  CHECK_FALSE(control_client.has_config_lease(7700));
}

TEST_CASE("a store acts as primary only while it holds the placement that the leader named") {
  RecordingMessenger messenger;
  PartialView view(core_node(9), {}, 1);
  ControlClientSettings settings;
  settings.is_store = true;
  ConfigTextProvider content(1e9);
  ControlClient control_client(messenger, view, content, settings);
  PollReply reply{};
  reply.from_leader = true;
  reply.sent_at = 1000;
  reply.placement_sequence = 2;
  control_client.on_reply(1010, "10.0.0.1:7000", reply);
  CHECK_FALSE(control_client.has_primary_lease(1010));
  PlacementTable table{};
  table.sequence = 2;
  reply.placement.push_back(table);
  control_client.on_reply(1010, "10.0.0.1:7000", reply);
  CHECK(control_client.has_primary_lease(1010));
}

TEST_CASE("forming counts the seeds that have voted, each once, and strangers never") {
  BootstrapProposer::Settings settings;
  settings.seed_addresses = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"};
  BootstrapProposer proposer(settings);
  const NodeInfo self = core_node(1);
  REQUIRE(proposer.choose_members(2000, self, {core_node(3), core_node(1), core_node(2)}));
  const auto request = proposer.next_request(2000, self);
  REQUIRE(request);
  REQUIRE(request->members.size() == 3);
  BootstrapVote vote{};
  vote.proposer = self.disk_id;
  vote.granted = true;
  CHECK_FALSE(proposer.on_vote("10.0.0.1:7000", self, vote));
  CHECK_FALSE(proposer.on_vote("10.0.0.1:7000", self, vote));  // the reply to a second request
  CHECK_FALSE(proposer.on_vote("10.0.0.7:7000", self, vote));  // not a seed
  vote.granted = false;
  CHECK_FALSE(proposer.on_vote("10.0.0.2:7000", self, vote));
  vote.granted = true;
  CHECK(proposer.on_vote("10.0.0.3:7000", self, vote));
}

TEST_CASE("only the core machine with the lowest address proposes, and it waits for the others") {
  BootstrapProposer::Settings settings;
  settings.seed_addresses = {"10.0.0.1:7000"};
  BootstrapProposer early(settings), second(settings);
  CHECK_FALSE(early.choose_members(100, core_node(1), {core_node(1), core_node(2), core_node(3)}));
  CHECK_FALSE(early.choose_members(2000, core_node(1), {core_node(1)}));
  CHECK_FALSE(second.choose_members(2000, core_node(2), {core_node(1), core_node(2), core_node(3)}));
  CHECK_FALSE(early.next_request(2000, core_node(1)));
  CHECK(early.choose_members(2500, core_node(1), {core_node(1), core_node(2), core_node(3)}));
  CHECK(early.next_request(2500, core_node(1)));
}

TEST_CASE("a proposer that was restarted proposes the same members") {
  BootstrapProposer::Settings settings;
  settings.seed_addresses = {"10.0.0.1:7000"};
  BootstrapProposer before(settings);
  REQUIRE(before.choose_members(2000, core_node(1), {core_node(1), core_node(2), core_node(3)}));
  settings.members = before.members();
  BootstrapProposer restarted(settings);
  CHECK_FALSE(restarted.choose_members(7000, core_node(1), {core_node(1)}));
  const auto request = restarted.next_request(100, core_node(1));
  REQUIRE(request);
  CHECK(request->members.size() == 3);
}

TEST_CASE("a seed votes for one proposer in its life, and not once its vote may be forgotten") {
  BootstrapRequest a{}, b{};
  a.proposer = 5;
  b.proposer = 6;
  BootstrapVoter voter(true, 0), restarted(false, 0), restarted_with_disk(true, 5);
  CHECK(voter.on_request(a)->granted);
  CHECK_FALSE(voter.on_request(b)->granted);
  CHECK(voter.on_request(a)->granted);
  CHECK_FALSE(restarted.on_request(a));
  CHECK(restarted_with_disk.on_request(a)->granted);
  CHECK_FALSE(restarted_with_disk.on_request(b)->granted);
}

TEST_CASE("a waiting call is answered by its own entry alone, known by term and index") {
  PendingOperatorCalls calls;
  std::vector<std::uint32_t> answers;
  OperatorCall call{};
  const auto done = [&](const OperatorReply& reply) { answers.push_back(reply.status); };
  calls.add({4, 17}, call, done, 5000);
  SECTION("the entry of another term at the same index is no answer of its order") {
    calls.on_applied({5, 17});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front() == 500);
  }
  SECTION("its own entry is, also once this replica no longer leads") {
    calls.answer({4, 17}, 200, "{}");
    CHECK(answers == std::vector<std::uint32_t>{200});
    calls.expire(9000, false);
    CHECK(answers.size() == 1);
  }
  SECTION("a replica that no longer leads promises nothing") {
    calls.expire(100, false);
    CHECK(answers == std::vector<std::uint32_t>{500});
  }
  SECTION("nor one that waits too long") {
    calls.expire(4999, true);
    CHECK(answers.empty());
    calls.expire(5000, true);
    CHECK(answers == std::vector<std::uint32_t>{500});
  }
}

TEST_CASE("the version that a change builds on is a whole number or refused") {
  CHECK(parse_base_version("0") == 0U);
  CHECK(parse_base_version("512") == 512U);
  for (const char* bad : {"", "5abc", "abc", "-1", "5 ", " 5", "1.5", "99999999999999999999999"}) {
    INFO("text " << bad);
    CHECK_FALSE(parse_base_version(bad));
  }
}

// ---------------------------------------------------------------- member repair

namespace {

// The leader of a group whose followers reply or stay silent.
struct RepairGroup {
  explicit RepairGroup(int size) {
    std::vector<Member> members;
    for (int i = 1; i <= size; ++i) members.push_back(member_of(i));
    leader.bootstrap(members);
    settle(0);
  }
  // Lets the leader tick and the listed members reply to all messages, until none is left.
  void settle(Millis now, std::vector<consensus::ReplicaId> answering = {2, 3, 4, 5, 6}) {
    leader.tick(now);
    while (leader.has_ready()) {
      consensus::Ready ready = leader.take_ready();
      leader.persisted(now);
      for (const consensus::Message& m : ready.messages) {
        const bool answers = std::find(answering.begin(), answering.end(), m.to) != answering.end();
        if (answers) answer(now, m);
      }
    }
  }
  void answer(Millis now, const consensus::Message& m) {
    consensus::Message reply{};
    reply.from = m.to;
    reply.to = m.from;
    reply.term = m.term;
    reply.accepted = true;
    reply.sent_at = m.sent_at;
    switch (m.kind) {
      case consensus::MessageKind::kPreVote:
        reply.kind = consensus::MessageKind::kPreVoteReply;
        break;
      case consensus::MessageKind::kVote:
        reply.kind = consensus::MessageKind::kVoteReply;
        break;
      case consensus::MessageKind::kInstallSnapshot:
        reply.kind = consensus::MessageKind::kAppendReply;
        reply.index = m.snapshot.front().index;
        break;
      default:
        reply.kind = consensus::MessageKind::kAppendReply;
        reply.index = m.entries.empty() ? m.index : m.entries.back().index;
    }
    leader.step(now, reply);
  }
  void repair(Millis now, const std::vector<Member>& live, std::size_t wanted) {
    MemberRepair repair = plan_member_repair(leader, live, wanted, now);
    leader.set_learners(repair.learners);
    if (repair.new_members) leader.propose_members(now, *repair.new_members);
  }
  std::vector<consensus::ReplicaId> members() const {
    std::vector<consensus::ReplicaId> out;
    for (const Member& m : leader.members()) out.push_back(m.id);
    return out;
  }
  consensus::Replica leader{1, {}, consensus::Timing{}, 7, 0};
};

}  // namespace

TEST_CASE("a silent member is replaced in one change, once its successor has the log") {
  RepairGroup group(3);
  REQUIRE(group.leader.role() == consensus::Role::kLeader);
  const std::vector<Member> live = {member_of(1), member_of(2), member_of(4)};
  for (Millis now = 100; now <= 2000; now += 100) {
    group.settle(now, {2});
    group.repair(now, live, 3);
    REQUIRE(group.members() == std::vector<consensus::ReplicaId>{1, 2, 3});
  }
  bool was_joint = false;
  for (Millis now = 2100; now <= 4000; now += 100) {
    group.settle(now, {2, 4});
    group.repair(now, live, 3);
    // The group never depends on four machines, or on the failed one.
    was_joint = was_joint || is_joint(group.leader.member_list());
    CHECK(group.leader.members().size() == 3);
  }
  CHECK(was_joint);
  CHECK(group.members() == std::vector<consensus::ReplicaId>{1, 2, 4});
  CHECK(group.leader.members_are_committed());
}

TEST_CASE("a leader that was just elected replaces nobody, not even the newest member") {
  RepairGroup group(3);
  group.repair(1, {member_of(1), member_of(2), member_of(3), member_of(4)}, 3);
  CHECK(group.members() == std::vector<consensus::ReplicaId>{1, 2, 3});
  CHECK_FALSE(is_joint(group.leader.member_list()));
}

TEST_CASE("while members are replaced, neither the old nor the new ones decide alone") {
  RepairGroup group(3);
  REQUIRE(group.leader.propose_members(10, {member_of(1), member_of(5), member_of(6)}));
  const consensus::LogIndex before = group.leader.commit_index();
  group.settle(20, {5, 6});
  CHECK(group.leader.commit_index() == before);
  CHECK_FALSE(group.leader.propose_members(30, {member_of(1)}));  // one change at a time
  group.settle(120, {2, 5});
  CHECK(group.leader.commit_index() > before);
  group.settle(220, {5});
  CHECK(group.members() == std::vector<consensus::ReplicaId>{1, 5, 6});
  CHECK(group.leader.members_are_committed());
}

TEST_CASE("a group that was formed too small grows to its size") {
  RepairGroup group(3);
  const std::vector<Member> live = {member_of(1), member_of(2), member_of(3), member_of(4), member_of(5)};
  for (Millis now = 100; now <= 2000; now += 100) {
    group.settle(now);
    group.repair(now, live, 5);
  }
  CHECK(group.members().size() == 5);
  CHECK(group.leader.members_are_committed());
}

TEST_CASE("a machine that is back with an empty disk takes the place of its old disk at once") {
  RepairGroup group(3);
  Member back = member_of(9);
  back.node = "edge-3";
  const std::vector<Member> live = {member_of(1), member_of(2), member_of(4), back};
  for (Millis now = 100; now <= 1000; now += 100) {
    group.settle(now, {2, 4, 9});
    group.repair(now, live, 3);
  }
  CHECK(group.members() == std::vector<consensus::ReplicaId>{1, 2, 9});
}
