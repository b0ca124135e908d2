#include "duties/voter.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr double kChangeTimeout = 10;   // s until a membership change is given up
constexpr double kNodeReportTtl = 600;  // s
constexpr std::size_t kMaxNodeReports = 16384;
constexpr std::size_t kMaxPendingChanges = 64;
constexpr std::size_t kMaxReplyFrameBytes = 512 * 1024;
constexpr std::uint64_t kFirstForwardId = std::uint64_t{1} << 32;

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;
void text(JsonWriter& w, const char* name, const std::string& value) {
  w.Key(name);
  w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

RaftSettings raft_settings_of(const VoterSettings& s) {
  RaftSettings out = s.raft;
  out.name = s.self.name;
  return out;
}

}  // namespace

std::string voter_name(const std::string& label) { return label.substr(0, label.find('=')); }
std::string voter_address(const std::string& label) {
  const std::size_t at = label.find('=');
  return at == std::string::npos ? "" : label.substr(at + 1);
}

Voter::Voter(VoterSettings settings, Store& store, double now)
    : s_(std::move(settings)),
      store_(store),
      raft_(raft_settings_of(s_), store, now),
      lease_manager_(raft_.table(), s_.lease_manager),
      next_tick_(now) {
  OutgoingFrames none;
  process_events(now, none);
}

Frame Voter::hello(const std::string& nonce) const {
  Frame out;
  out.kind = Frame::Kind::kHello;
  out.cluster = s_.cluster;
  out.nonce = nonce;
  out.sender = s_.self;
  out.voter_id = raft_.id();
  out.start_count = raft_.start_count();
  out.start_id = raft_.start_id();
  return out;
}

bool Voter::on_voter_hello(double now, const Frame& hello, OutgoingFrames& out) {
  if (hello.voter_id == 0 || hello.voter_id == raft_.id()) return false;
  bool good = false;
  try {
    good = store_.record_peer_start(hello.voter_id, hello.start_count, hello.start_id);
  } catch (const StoreError&) {
    return false;  // a start that can't be recorded is not accepted
  }
  if (!good) {
    if (rejected_voters_.insert(hello.voter_id).second)
      notices_.push_back(
          {"voter_refused",
           hello.sender.name + " runs on an outdated copy of its state: its messages are ignored"});
    return false;
  }
  rejected_voters_.erase(hello.voter_id);
  voter_hellos_[hello.sender.name] = hello;
  start_next_change(now, out);
  process_events(now, out);
  return true;
}

std::vector<std::string> Voter::voters_to_connect() const {
  std::vector<std::string> out;
  for (const VoterInfo& v : raft_.voters()) {
    if (v.id != raft_.id()) out.push_back(v.name);
  }
  for (const MembershipChange& a : changes_) {
    if (!a.remove) out.push_back(a.label);
  }
  return out;
}

std::vector<Voter::Notice> Voter::take_notices() { return std::exchange(notices_, {}); }

std::string Voter::leader_name() const {
  std::string label;
  if (raft_.leader_id(&label) == 0) return "";
  return voter_name(label);
}

void Voter::on_voter_frame(double now, std::uint64_t id, const std::string& name, const Frame& frame,
                           OutgoingFrames& out) {
  switch (frame.kind) {
    case Frame::Kind::kRaft:
      raft_.receive(now, id, name, frame.bytes);
      break;
    case Frame::Kind::kForward: {
      const auto [it, fresh] = forward_ids_.try_emplace({id, frame.number}, 0);
      if (fresh) {
        it->second = ++last_forward_id_;
        forwarded_clients_[it->second] = it->first;
      }
      const std::uint64_t client = it->second;
      for (const Request& r : frame.requests) on_request(now, client, r, out);
      break;
    }
    case Frame::Kind::kForwardReplies: {
      Outgoing o;
      o.to = frame.number;
      o.frame.kind = Frame::Kind::kReplies;
      o.frame.replies = frame.replies;
      out.push_back(std::move(o));
      break;
    }
    case Frame::Kind::kForwardClientGone: {
      const auto it = forward_ids_.find({id, frame.number});
      if (it == forward_ids_.end()) break;
      lease_manager_.on_client_gone(it->second);
      forwarded_clients_.erase(it->second);
      forward_ids_.erase(it);
      break;
    }
    default:
      break;
  }
  process_events(now, out);
}

void Voter::on_client_frame(double now, std::uint64_t client, const Frame& frame, OutgoingFrames& out) {
  if (frame.kind != Frame::Kind::kRequests) return;
  std::string label;
  const std::uint64_t leader = raft_.leader_id(&label);
  if (leader == 0 || leader == raft_.id()) {
    for (const Request& r : frame.requests) on_request(now, client, r, out);
  } else {
    std::vector<Request> handed;
    for (const Request& r : frame.requests) {
      if (r.kind == Request::Kind::kListVoters) {
        on_request(now, client, r, out);
      } else {
        handed.push_back(r);
      }
    }
    // The client may connect to the leader itself; until then, or if it can't, this voter forwards its
    // requests.
    if (std::uint64_t& told = hinted_leaders_[client]; told != leader) {
      told = leader;
      Reply hint;
      hint.kind = Reply::Kind::kNotLeader;
      hint.text = voter_name(label);
      reply(client, std::move(hint), out);
    }
    if (!handed.empty()) {
      Outgoing o;
      o.to_voter = true;
      o.to = leader;
      o.name = label;
      o.frame.kind = Frame::Kind::kForward;
      o.frame.number = client;
      o.frame.requests = std::move(handed);
      out.push_back(std::move(o));
    }
  }
  process_events(now, out);
}

void Voter::on_send_failed(double now, const Frame& frame, OutgoingFrames& out) {
  if (frame.kind != Frame::Kind::kForward) return;
  for (const Request& r : frame.requests) reply(frame.number, reply_to(r, Reply::Kind::kBusy), out);
  process_events(now, out);
}

void Voter::on_client_gone(double now, std::uint64_t client, OutgoingFrames& out) {
  lease_manager_.on_client_gone(client);
  queued_replies_.erase(client);
  std::erase_if(changes_, [&](const MembershipChange& a) { return a.client == client && !a.started; });
  if (const auto it = hinted_leaders_.find(client); it != hinted_leaders_.end()) {
    Outgoing o;
    o.to_voter = true;
    o.to = it->second;
    o.frame.kind = Frame::Kind::kForwardClientGone;
    o.frame.number = client;
    for (const VoterInfo& v : raft_.voters()) {
      if (v.id == o.to) o.name = v.name;
    }
    hinted_leaders_.erase(it);
    out.push_back(std::move(o));
  }
  process_events(now, out);
}

void Voter::on_request(double now, std::uint64_t client, const Request& r, OutgoingFrames& out) {
  if (r.kind == Request::Kind::kListVoters) {
    Reply answer = reply_to(r, Reply::Kind::kText);
    answer.text = voters_json();
    return reply(client, std::move(answer), out);
  }
  if (!raft_.is_leader()) {
    Reply answer = reply_to(r, Reply::Kind::kNotLeader);
    answer.text = leader_name();
    return reply(client, std::move(answer), out);
  }
  switch (r.kind) {
    case Request::Kind::kListDuties: {
      Reply answer = reply_to(r, Reply::Kind::kText);
      answer.text = duties_json();
      return reply(client, std::move(answer), out);
    }
    case Request::Kind::kAddVoter:
    case Request::Kind::kRemoveVoter: {
      MembershipChange a;
      a.client = client;
      a.seq = r.seq;
      a.label = r.text.empty() ? r.target : r.target + "=" + r.text;
      a.deadline = now + kChangeTimeout;
      a.remove = r.kind == Request::Kind::kRemoveVoter;
      if (r.target.empty() || r.target.find('=') != std::string::npos ||
          changes_.size() >= kMaxPendingChanges) {
        Reply answer = reply_to(r, Reply::Kind::kRefused);
        answer.refusal = Refusal::kInvalid;
        return reply(client, std::move(answer), out);
      }
      changes_.push_back(std::move(a));
      return start_next_change(now, out);
    }
    case Request::Kind::kPublishReport:
      if (node_reports_.size() < kMaxNodeReports || node_reports_.contains(r.node.name))
        node_reports_[r.node.name] = {r.node.generation, r.text, now};
      return reply(client, reply_to(r, Reply::Kind::kDone), out);
    case Request::Kind::kCollectReports:
      std::erase_if(node_reports_,
                    [&](const auto& k) { return now - k.second.published_at > kNodeReportTtl; });
      for (const auto& [name, kept] : node_reports_) {
        Reply one = reply_to(r, Reply::Kind::kText);
        one.duty = name;
        one.token = kept.generation;
        one.text = kept.text;
        reply(client, std::move(one), out);
      }
      return reply(client, reply_to(r, Reply::Kind::kDone), out);
    default: {
      LeaseManager::Actions actions;
      lease_manager_.on_request(now, client, r, actions);
      apply_actions(actions, out);
    }
  }
}

// Membership changes are made one at a time, as Raft requires (Ongaro's dissertation, 4.1).
void Voter::start_next_change(double now, OutgoingFrames& out) {
  if (changes_.empty() || changes_.front().started || !raft_.is_leader()) return;
  MembershipChange& a = changes_.front();
  const std::string name = voter_name(a.label);
  const auto voters = raft_.voters();
  const auto there = std::find_if(voters.begin(), voters.end(),
                                  [&](const VoterInfo& v) { return voter_name(v.name) == name; });
  if (a.remove) {
    if (there == voters.end()) return finish_change(Reply::Kind::kRefused, "no voter is called " + name, out);
    if (voters.size() == 1) return finish_change(Reply::Kind::kRefused, "it is the last one", out);
    a.started = raft_.remove_voter(now, there->id);
    return;
  }
  const auto hello = voter_hellos_.find(name);
  if (hello == voter_hellos_.end()) return;  // the voter may still connect before the deadline
  const std::uint64_t id = hello->second.voter_id;
  // A voter that has lost its state must not return under its old id: it would vote twice.
  if (there != voters.end() && there->id != id)
    return finish_change(Reply::Kind::kRefused,
                         name + " has another identity than the voter of that name: remove that one first",
                         out);
  if (there != voters.end() && there->role == VoterRole::kVoter)
    return finish_change(Reply::Kind::kDone, "it votes already", out);
  a.started = there == voters.end() ? raft_.add_voter(now, id, a.label) : raft_.promote_voter(now, id);
}

void Voter::finish_change(Reply::Kind kind, const std::string& why, OutgoingFrames& out) {
  Reply answer;
  answer.kind = kind;
  answer.seq = changes_.front().seq;
  answer.text = why;
  const std::uint64_t client = changes_.front().client;
  changes_.erase(changes_.begin());
  reply(client, std::move(answer), out);
}

void Voter::tick(double now, OutgoingFrames& out) {
  if (now >= next_tick_) {
    next_tick_ =
        now + std::min(s_.raft.heartbeat_interval_ms / 2000.0, s_.raft.election_timeout_ms / 10000.0);
    raft_.tick(now);
  }
  if (!changes_.empty() && now >= changes_.front().deadline) {
    finish_change(Reply::Kind::kRefused,
                  changes_.front().started ? "it was begun, and is not through: look at the voters"
                                           : "no voter of that name says hello",
                  out);
  }
  if (now >= lease_manager_.next_deadline()) {
    LeaseManager::Actions actions;
    lease_manager_.tick(now, actions);
    apply_actions(actions, out);
  }
  start_next_change(now, out);
  process_events(now, out);
}

double Voter::next_deadline() const { return std::min(next_tick_, lease_manager_.next_deadline()); }

void Voter::transfer_leadership(double now, OutgoingFrames& out) {
  raft_.transfer_leadership(now);
  process_events(now, out);
}

void Voter::apply_actions(LeaseManager::Actions& actions, OutgoingFrames& out) {
  proposals_.insert(proposals_.end(), std::make_move_iterator(actions.proposals.begin()),
                    std::make_move_iterator(actions.proposals.end()));
  barriers_.insert(barriers_.end(), actions.barriers.begin(), actions.barriers.end());
  for (LeaseManager::ClientReply& a : actions.replies) reply(a.to, std::move(a.reply), out);
}

void Voter::submit_proposals(double now) {
  if (!proposals_.empty()) raft_.propose(now, std::exchange(proposals_, {}));
  for (const std::uint64_t b : std::exchange(barriers_, {})) raft_.barrier(now, b);
}

void Voter::process_events(double now, OutgoingFrames& out) {
  submit_proposals(now);
  for (auto events = raft_.take_events(); !events.empty();
       submit_proposals(now), events = raft_.take_events()) {
    for (RaftReplica::Event& e : events) {
      LeaseManager::Actions actions;
      switch (e.kind) {
        case RaftReplica::Event::Kind::kSend: {
          Outgoing o;
          o.to_voter = true;
          o.to = e.to;
          o.name = std::move(e.name);
          o.frame.kind = Frame::Kind::kRaft;
          o.frame.bytes = std::move(e.bytes);
          out.push_back(std::move(o));
          continue;
        }
        case RaftReplica::Event::Kind::kApplied:
          lease_manager_.on_applied(now, e.command, e.result, actions);
          break;
        case RaftReplica::Event::Kind::kBarrierDone:
          lease_manager_.on_barrier_done(now, e.number, actions);
          break;
        case RaftReplica::Event::Kind::kBecameLeader:
          notices_.push_back(
              {"leads", "elected leader of the voters in term " + std::to_string(raft_.term())});
          hinted_leaders_.clear();
          lease_manager_.become_leader(now, actions);
          break;
        case RaftReplica::Event::Kind::kLostLeadership:
          notices_.push_back({"follows", "no longer the leader"});
          lease_manager_.become_follower(actions);
          apply_actions(actions, out);
          for (const MembershipChange& a : std::exchange(changes_, {})) {
            Reply answer;
            answer.kind = Reply::Kind::kNotLeader;
            answer.seq = a.seq;
            reply(a.client, std::move(answer), out);
          }
          send_queued_replies(out);
          forward_ids_.clear();
          forwarded_clients_.clear();
          node_reports_.clear();
          continue;
        case RaftReplica::Event::Kind::kMembershipChanged:
          notices_.push_back({"voters_changed", e.bytes.empty() ? "the set of voters has changed"
                                                                : "membership change failed: " + e.bytes});
          if (!changes_.empty() && changes_.front().started)
            finish_change(e.bytes.empty() ? Reply::Kind::kDone : Reply::Kind::kRefused, e.bytes, out);
          start_next_change(now, out);
          continue;
        case RaftReplica::Event::Kind::kFailed:
          failure_ = e.bytes.empty() ? "unknown error" : e.bytes;
          notices_.push_back({"failed", "voter failed: " + failure_});
          continue;
      }
      apply_actions(actions, out);
    }
  }
  send_queued_replies(out);
}

void Voter::reply(std::uint64_t client, Reply r, OutgoingFrames&) {
  queued_replies_[client].push_back(std::move(r));
}

// One frame per client, or several if texts are long.
void Voter::send_queued_replies(OutgoingFrames& out) {
  for (auto& [client, replies] : std::exchange(queued_replies_, {})) {
    const auto relay = forwarded_clients_.find(client);
    if (client >= kFirstForwardId && relay == forwarded_clients_.end()) continue;
    for (std::size_t at = 0; at < replies.size();) {
      Outgoing o;
      std::size_t bytes = 0;
      while (at < replies.size() && bytes < kMaxReplyFrameBytes && o.frame.replies.size() < 4096) {
        bytes += 128 + replies[at].text.size();
        o.frame.replies.push_back(std::move(replies[at++]));
      }
      if (client < kFirstForwardId) {
        o.to = client;
        o.frame.kind = Frame::Kind::kReplies;
      } else {
        o.to_voter = true;
        o.to = relay->second.first;
        o.frame.number = relay->second.second;
        o.frame.kind = Frame::Kind::kForwardReplies;
        for (const VoterInfo& v : raft_.voters()) {
          if (v.id == o.to) o.name = v.name;
        }
      }
      out.push_back(std::move(o));
    }
  }
}

std::string Voter::duties_json() const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  text(w, "leader", s_.self.name);
  w.Key("last_token");
  w.Uint64(raft_.table().last_token());
  w.Key("duties");
  w.StartArray();
  for (const auto& [name, lease] : raft_.table().leases()) {
    w.StartObject();
    text(w, "duty", name);
    text(w, "holder", lease.holder ? lease.holder->name : "");
    w.Key("life");
    w.Uint64(lease.holder ? lease.holder->generation : 0);
    w.Key("token");
    w.Uint64(lease.token);
    w.Key("lease_s");
    w.Double(lease.duty.lease_seconds);
    text(w, "cause", name_of(lease.cause));
    text(w, "next", lease.transfer_to);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string Voter::voters_json() const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  text(w, "told_by", s_.self.name);
  text(w, "leader", leader_name());
  text(w, "state", raft_.state_name());
  w.Key("term");
  w.Uint64(raft_.term());
  w.Key("last_index");
  w.Uint64(raft_.last_index());
  w.Key("voters");
  w.StartArray();
  for (const VoterInfo& v : raft_.voters()) {
    w.StartObject();
    text(w, "name", voter_name(v.name));
    text(w, "address", voter_address(v.name));
    text(w, "id", std::to_string(v.id));
    text(w, "role",
         v.role == VoterRole::kVoter     ? "voter"
         : v.role == VoterRole::kStandby ? "standby"
                                         : "spare");
    w.Key("state_of_former_days");
    w.Bool(rejected_voters_.contains(v.id));
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::duties
