#include "duties/voter.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace nettlestand::duties {
namespace {

constexpr double kChangePatience = 10;    // s until a change of the voters is given up
constexpr double kKeptFor = 600;          // s
constexpr std::size_t kMostKept = 16384;  // nodes
constexpr std::size_t kMostChanges = 64;
constexpr std::size_t kReplyBytes = 512 * 1024;  // of one frame of replies
constexpr std::uint64_t kOwn = std::uint64_t{1} << 32;

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;
void text(JsonWriter& w, const char* name, const std::string& value) {
  w.Key(name);
  w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

AgreementSettings named(const VoterSettings& s) {
  AgreementSettings out = s.agreement;
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
      agreement_(named(s_), store, now),
      keeper_(agreement_.table(), s_.keeper),
      next_tick_(now) {
  Outs none;
  pump(now, none);
}

Frame Voter::hello(const std::string& nonce) const {
  Frame out;
  out.kind = Frame::Kind::kHello;
  out.cluster = s_.cluster;
  out.nonce = nonce;
  out.who = s_.self;
  out.voter = agreement_.id();
  out.starts = agreement_.starts();
  out.run = agreement_.run();
  return out;
}

bool Voter::meets(double now, const Frame& hello, Outs& out) {
  if (hello.voter == 0 || hello.voter == agreement_.id()) return false;
  bool good = false;
  try {
    good = store_.met(hello.voter, hello.starts, hello.run);
  } catch (const StoreError&) {
    return false;  // what can't be remembered is not trusted
  }
  if (!good) {
    if (refused_.insert(hello.voter).second)
      notes_.push_back(
          {"voter_refused", hello.who.name + " votes with a state of former days: it is not listened to"});
    return false;
  }
  refused_.erase(hello.voter);
  known_[hello.who.name] = hello;
  change_voters(now, out);
  pump(now, out);
  return true;
}

std::vector<std::string> Voter::wanted() const {
  std::vector<std::string> out;
  for (const VoterId& v : agreement_.voters()) {
    if (v.id != agreement_.id()) out.push_back(v.name);
  }
  for (const Adding& a : changes_) {
    if (!a.remove) out.push_back(a.label);
  }
  return out;
}

std::vector<Voter::Note> Voter::notes() { return std::exchange(notes_, {}); }

std::string Voter::leader_name() const {
  std::string label;
  if (agreement_.leader(&label) == 0) return "";
  return voter_name(label);
}

void Voter::from_voter(double now, std::uint64_t id, const std::string& name, const Frame& frame, Outs& out) {
  switch (frame.kind) {
    case Frame::Kind::kRaft:
      agreement_.receive(now, id, name, frame.bytes);
      break;
    case Frame::Kind::kRelay: {
      const auto [it, fresh] = relays_.try_emplace({id, frame.number}, 0);
      if (fresh) {
        it->second = ++last_relay_;
        relayed_[it->second] = it->first;
      }
      const std::uint64_t client = it->second;
      for (const Request& r : frame.requests) request(now, client, r, out);
      break;
    }
    case Frame::Kind::kRelayed: {
      Out o;
      o.to = frame.number;
      o.frame.kind = Frame::Kind::kReplies;
      o.frame.replies = frame.replies;
      out.push_back(std::move(o));
      break;
    }
    case Frame::Kind::kRelayGone: {
      const auto it = relays_.find({id, frame.number});
      if (it == relays_.end()) break;
      keeper_.gone(it->second);
      relayed_.erase(it->second);
      relays_.erase(it);
      break;
    }
    default:
      break;
  }
  pump(now, out);
}

void Voter::from_client(double now, std::uint64_t client, const Frame& frame, Outs& out) {
  if (frame.kind != Frame::Kind::kRequests) return;
  std::string label;
  const std::uint64_t leader = agreement_.leader(&label);
  if (leader == 0 || leader == agreement_.id()) {
    for (const Request& r : frame.requests) request(now, client, r, out);
  } else {
    std::vector<Request> handed;
    for (const Request& r : frame.requests) {
      if (r.kind == Request::Kind::kVoters) {
        request(now, client, r, out);
      } else {
        handed.push_back(r);
      }
    }
    // It may go to the leader itself; until then, and where it can't, this voter stands between.
    if (std::uint64_t& told = told_[client]; told != leader) {
      told = leader;
      Reply hint;
      hint.kind = Reply::Kind::kNotLeader;
      hint.text = voter_name(label);
      reply(client, std::move(hint), out);
    }
    if (!handed.empty()) {
      Out o;
      o.to_voter = true;
      o.to = leader;
      o.name = label;
      o.frame.kind = Frame::Kind::kRelay;
      o.frame.number = client;
      o.frame.requests = std::move(handed);
      out.push_back(std::move(o));
    }
  }
  pump(now, out);
}

void Voter::unsent(double now, const Frame& frame, Outs& out) {
  if (frame.kind != Frame::Kind::kRelay) return;
  for (const Request& r : frame.requests) reply(frame.number, reply_to(r, Reply::Kind::kBusy), out);
  pump(now, out);
}

void Voter::client_gone(double now, std::uint64_t client, Outs& out) {
  keeper_.gone(client);
  waiting_.erase(client);
  std::erase_if(changes_, [&](const Adding& a) { return a.client == client && !a.begun; });
  if (const auto it = told_.find(client); it != told_.end()) {
    Out o;
    o.to_voter = true;
    o.to = it->second;
    o.frame.kind = Frame::Kind::kRelayGone;
    o.frame.number = client;
    for (const VoterId& v : agreement_.voters()) {
      if (v.id == o.to) o.name = v.name;
    }
    told_.erase(it);
    out.push_back(std::move(o));
  }
  pump(now, out);
}

void Voter::request(double now, std::uint64_t client, const Request& r, Outs& out) {
  if (r.kind == Request::Kind::kVoters) {
    Reply answer = reply_to(r, Reply::Kind::kText);
    answer.text = shown_voters();
    return reply(client, std::move(answer), out);
  }
  if (!agreement_.leads()) {
    Reply answer = reply_to(r, Reply::Kind::kNotLeader);
    answer.text = leader_name();
    return reply(client, std::move(answer), out);
  }
  switch (r.kind) {
    case Request::Kind::kShow: {
      Reply answer = reply_to(r, Reply::Kind::kText);
      answer.text = shown();
      return reply(client, std::move(answer), out);
    }
    case Request::Kind::kAddVoter:
    case Request::Kind::kRemoveVoter: {
      Adding a;
      a.client = client;
      a.seq = r.seq;
      a.label = r.text.empty() ? r.to : r.to + "=" + r.text;
      a.until = now + kChangePatience;
      a.remove = r.kind == Request::Kind::kRemoveVoter;
      if (r.to.empty() || r.to.find('=') != std::string::npos || changes_.size() >= kMostChanges) {
        Reply answer = reply_to(r, Reply::Kind::kRefused);
        answer.why = Refusal::kBadName;
        return reply(client, std::move(answer), out);
      }
      changes_.push_back(std::move(a));
      return change_voters(now, out);
    }
    case Request::Kind::kKeep:
      if (kept_.size() < kMostKept || kept_.contains(r.node.name))
        kept_[r.node.name] = {r.node.life, r.text, now};
      return reply(client, reply_to(r, Reply::Kind::kDone), out);
    case Request::Kind::kGather:
      std::erase_if(kept_, [&](const auto& k) { return now - k.second.at > kKeptFor; });
      for (const auto& [name, kept] : kept_) {
        Reply one = reply_to(r, Reply::Kind::kText);
        one.duty = name;
        one.token = kept.life;
        one.text = kept.text;
        reply(client, std::move(one), out);
      }
      return reply(client, reply_to(r, Reply::Kind::kDone), out);
    default: {
      Keeper::Actions actions;
      keeper_.request(now, client, r, actions);
      act(actions, out);
    }
  }
}

// One at a time, as Raft has them (dissertation, 4.1).
void Voter::change_voters(double now, Outs& out) {
  if (changes_.empty() || changes_.front().begun || !agreement_.leads()) return;
  Adding& a = changes_.front();
  const std::string name = voter_name(a.label);
  const auto voters = agreement_.voters();
  const auto there = std::find_if(voters.begin(), voters.end(),
                                  [&](const VoterId& v) { return voter_name(v.name) == name; });
  if (a.remove) {
    if (there == voters.end()) return end_change(Reply::Kind::kRefused, "no voter is called " + name, out);
    if (voters.size() == 1) return end_change(Reply::Kind::kRefused, "it is the last one", out);
    a.begun = agreement_.remove(now, there->id);
    return;
  }
  const auto hello = known_.find(name);
  if (hello == known_.end()) return;  // it may still come, until this is given up
  const std::uint64_t id = hello->second.voter;
  // Danger: under its old id a voter that has lost its state would vote twice.
  if (there != voters.end() && there->id != id)
    return end_change(Reply::Kind::kRefused,
                      name + " has another identity than the voter of that name: remove that one first", out);
  if (there != voters.end() && there->role == VoterRole::kVoter)
    return end_change(Reply::Kind::kDone, "it votes already", out);
  a.begun = there == voters.end() ? agreement_.add(now, id, a.label) : agreement_.promote(now, id);
}

void Voter::end_change(Reply::Kind kind, const std::string& why, Outs& out) {
  Reply answer;
  answer.kind = kind;
  answer.seq = changes_.front().seq;
  answer.text = why;
  const std::uint64_t client = changes_.front().client;
  changes_.erase(changes_.begin());
  reply(client, std::move(answer), out);
}

void Voter::tick(double now, Outs& out) {
  if (now >= next_tick_) {
    next_tick_ = now + std::min(s_.agreement.heartbeat_ms / 2000.0, s_.agreement.election_ms / 10000.0);
    agreement_.tick(now);
  }
  if (!changes_.empty() && now >= changes_.front().until) {
    end_change(Reply::Kind::kRefused,
               changes_.front().begun ? "it was begun, and is not through: look at the voters"
                                      : "no voter of that name says hello",
               out);
  }
  if (now >= keeper_.next()) {
    Keeper::Actions actions;
    keeper_.tick(now, actions);
    act(actions, out);
  }
  change_voters(now, out);
  pump(now, out);
}

double Voter::next() const { return std::min(next_tick_, keeper_.next()); }

void Voter::leave(double now, Outs& out) {
  agreement_.step_down(now);
  pump(now, out);
}

void Voter::act(Keeper::Actions& actions, Outs& out) {
  proposals_.insert(proposals_.end(), std::make_move_iterator(actions.propose.begin()),
                    std::make_move_iterator(actions.propose.end()));
  barriers_.insert(barriers_.end(), actions.barriers.begin(), actions.barriers.end());
  for (Keeper::Answer& a : actions.answers) reply(a.to, std::move(a.reply), out);
}

void Voter::propose(double now) {
  if (!proposals_.empty()) agreement_.propose(now, std::exchange(proposals_, {}));
  for (const std::uint64_t b : std::exchange(barriers_, {})) agreement_.barrier(now, b);
}

void Voter::pump(double now, Outs& out) {
  propose(now);
  for (auto events = agreement_.take(); !events.empty(); propose(now), events = agreement_.take()) {
    for (Agreement::Event& e : events) {
      Keeper::Actions actions;
      switch (e.kind) {
        case Agreement::Event::Kind::kSend: {
          Out o;
          o.to_voter = true;
          o.to = e.to;
          o.name = std::move(e.name);
          o.frame.kind = Frame::Kind::kRaft;
          o.frame.bytes = std::move(e.bytes);
          out.push_back(std::move(o));
          continue;
        }
        case Agreement::Event::Kind::kApplied:
          keeper_.applied(now, e.command, e.result, actions);
          break;
        case Agreement::Event::Kind::kBarrier:
          keeper_.barrier_done(now, e.number, actions);
          break;
        case Agreement::Event::Kind::kLeads:
          notes_.push_back({"leads", "leads the voters in term " + std::to_string(agreement_.term())});
          told_.clear();
          keeper_.lead(now, actions);
          break;
        case Agreement::Event::Kind::kFollows:
          notes_.push_back({"follows", "leads no more"});
          keeper_.follow(actions);
          act(actions, out);
          for (const Adding& a : std::exchange(changes_, {})) {
            Reply answer;
            answer.kind = Reply::Kind::kNotLeader;
            answer.seq = a.seq;
            reply(a.client, std::move(answer), out);
          }
          flush(out);
          relays_.clear();
          relayed_.clear();
          kept_.clear();
          continue;
        case Agreement::Event::Kind::kChanged:
          notes_.push_back({"voters_changed", e.bytes.empty() ? "the voters are others"
                                                              : "a change of the voters failed: " + e.bytes});
          if (!changes_.empty() && changes_.front().begun)
            end_change(e.bytes.empty() ? Reply::Kind::kDone : Reply::Kind::kRefused, e.bytes, out);
          change_voters(now, out);
          continue;
        case Agreement::Event::Kind::kFailed:
          failed_ = e.bytes.empty() ? "it can't go on" : e.bytes;
          notes_.push_back({"failed", "the voter can't go on: " + failed_});
          continue;
      }
      act(actions, out);
    }
  }
  flush(out);
}

void Voter::reply(std::uint64_t client, Reply r, Outs&) { waiting_[client].push_back(std::move(r)); }

// One frame for each of them, or several where texts are long.
void Voter::flush(Outs& out) {
  for (auto& [client, replies] : std::exchange(waiting_, {})) {
    const auto relay = relayed_.find(client);
    if (client >= kOwn && relay == relayed_.end()) continue;
    for (std::size_t at = 0; at < replies.size();) {
      Out o;
      std::size_t bytes = 0;
      while (at < replies.size() && bytes < kReplyBytes && o.frame.replies.size() < 4096) {
        bytes += 128 + replies[at].text.size();
        o.frame.replies.push_back(std::move(replies[at++]));
      }
      if (client < kOwn) {
        o.to = client;
        o.frame.kind = Frame::Kind::kReplies;
      } else {
        o.to_voter = true;
        o.to = relay->second.first;
        o.frame.number = relay->second.second;
        o.frame.kind = Frame::Kind::kRelayed;
        for (const VoterId& v : agreement_.voters()) {
          if (v.id == o.to) o.name = v.name;
        }
      }
      out.push_back(std::move(o));
    }
  }
}

std::string Voter::shown() const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  text(w, "leader", s_.self.name);
  w.Key("last_token");
  w.Uint64(agreement_.table().last_token());
  w.Key("duties");
  w.StartArray();
  for (const auto& [name, lease] : agreement_.table().leases()) {
    w.StartObject();
    text(w, "duty", name);
    text(w, "holder", lease.holder ? lease.holder->name : "");
    w.Key("life");
    w.Uint64(lease.holder ? lease.holder->life : 0);
    w.Key("token");
    w.Uint64(lease.token);
    w.Key("lease_s");
    w.Double(lease.duty.length);
    text(w, "cause", name_of(lease.cause));
    text(w, "next", lease.next);
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

std::string Voter::shown_voters() const {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  text(w, "told_by", s_.self.name);
  text(w, "leader", leader_name());
  text(w, "state", agreement_.state());
  w.Key("term");
  w.Uint64(agreement_.term());
  w.Key("last_index");
  w.Uint64(agreement_.last_index());
  w.Key("voters");
  w.StartArray();
  for (const VoterId& v : agreement_.voters()) {
    w.StartObject();
    text(w, "name", voter_name(v.name));
    text(w, "address", voter_address(v.name));
    text(w, "id", std::to_string(v.id));
    text(w, "role",
         v.role == VoterRole::kVoter     ? "voter"
         : v.role == VoterRole::kStandby ? "standby"
                                         : "spare");
    w.Key("state_of_former_days");
    w.Bool(refused_.contains(v.id));
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::duties
