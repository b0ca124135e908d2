#include "standins/checker/checker.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace nettlestand::standins {
namespace {

using Effect = CheckedClass::Effect;
using Group = CheckedClass::Group;
using Attempts = std::vector<const AttemptRecord*>;

// Whether the node knows that the attempt did not run. An answer that was never written has told it nothing.
bool known_not_run(const AttemptRecord& a) {
  return a.last_byte_at == 0 || (a.not_started && a.answered_at > 0);
}

bool refused(const CallRecord& c) {
  return c.end == CallEnd::kAnswered && (c.status == 429 || c.status == 503);
}

std::string since(double at, double from) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%+.3f", at - from);
  return out.data();
}

// The history of a request in one line.
std::string describe(const CallRecord& call, const Attempts& attempts) {
  static constexpr std::array kEnds = {"open", "answered", "cut", "closed", "timed out", "no connection"};
  const double from = call.sent_at;
  std::string out = call.request_class + " at " + call.node + ", " +
                    kEnds[static_cast<std::size_t>(call.end)] + " " + std::to_string(call.status) + " " +
                    since(call.answered_at, from);
  if (call.resent_at > 0) out += ", written again " + since(call.resent_at, from);
  for (const AttemptRecord* a : attempts) {
    out += "; " + a->server + " first byte " + since(a->first_byte_at, from);
    out += a->last_byte_at > 0 ? ", whole " + since(a->last_byte_at, from) : ", never whole";
    if (a->status > 0) out += ", " + std::to_string(a->status) + (a->not_started ? " not started" : "");
    if (a->answered_at > 0) out += " written " + since(a->answered_at, from);
    if (a->connection_lost_at > 0) out += ", broke " + since(a->connection_lost_at, from);
  }
  return out;
}

class CheckRun {
 public:
  CheckRun(const CheckerSettings& settings, const Evidence& evidence) : s_(settings), e_(evidence) {
    for (const CheckedClass& c : s_.classes) classes_[c.name] = &c;
    for (const CheckedServer& server : s_.servers) servers_[server.name] = &server;
    for (const AttemptRecord& a : e_.attempts) attempts_[a.id].push_back(&a);
    for (auto& [id, attempts] : attempts_) {
      std::stable_sort(attempts.begin(), attempts.end(), [](const AttemptRecord* a, const AttemptRecord* b) {
        return a->first_byte_at < b->first_byte_at;
      });
    }
    for (const CallRecord& c : e_.calls) calls_[c.id] = &c;
  }

  std::vector<Violation> run() {
    for (const CallRecord& call : e_.calls) no_request_is_lost(call);
    for (const AttemptRecord& a : e_.attempts) {
      if (!calls_.contains(a.id))
        out_.push_back({Rule::kLostRequest, a.id, "no caller sent it; it came to " + a.server});
    }
    for (const CallRecord& call : e_.calls) no_effect_twice(call);
    drains_are_kept();
    for (const OverloadRecord& f : e_.overloads) {
      out_.push_back({Rule::kColdServerOverloaded, f.server,
                      "fell over: asked for " + since(f.requested_work, 0) +
                          " s of work in a second in which it could do " + since(f.available_work, 0)});
    }
    return std::move(out_);
  }

 private:
  const Attempts& attempts_of(const CallRecord& call) const {
    static const Attempts kNone;
    const auto it = attempts_.find(call.id);
    return it == attempts_.end() ? kNone : it->second;
  }

  void report(Rule rule, const CallRecord& call, const std::string& what) {
    out_.push_back({rule, call.id, what + ": " + describe(call, attempts_of(call))});
  }

  // ------------------------------------------------------------ no request is lost

  // Whether the call was last sent after the end of this process and before the next one of its node
  // listened. A relay that has yet to notice the end accepts such a call, but no process can get it.
  bool was_sent_to_no_process(const CallRecord& call, const ProcessLifetime& lifetime,
                              double died_from) const {
    const ProcessLifetime* next = nullptr;
    for (const ProcessLifetime& other : e_.lifetimes) {
      const bool follows = other.node == lifetime.node && other.started_at > lifetime.started_at;
      if (follows && (next == nullptr || other.started_at < next->started_at)) next = &other;
    }
    if (next == nullptr || next->listening_at == 0) return false;
    const double sent = std::max(call.sent_at, call.resent_at);
    return sent >= died_from && sent < next->listening_at;
  }

  // Whether the loss is excused because the node was ended while it held this request.
  bool forgiven(const CallRecord& call) const {
    return std::any_of(e_.lifetimes.begin(), e_.lifetimes.end(), [&](const ProcessLifetime& lifetime) {
      if (lifetime.node != call.node || lifetime.ended_at == 0) return false;
      const bool in_time =
          lifetime.sigterm_at == 0 || lifetime.ended_at <= lifetime.sigterm_at + s_.termination_limit;
      const bool killed = lifetime.killed && s_.forgive_killed && in_time;
      if (!killed && !(s_.forgive_terminated && lifetime.sigterm_at > 0)) return false;
      const double sent = std::max(call.sent_at, call.resent_at);
      const double died_from = lifetime.killed_at > 0 ? lifetime.killed_at : lifetime.ended_at;
      const bool was_held = call.sent_at <= lifetime.ended_at + s_.order_slack &&
                            sent >= lifetime.started_at && call.answered_at >= died_from - s_.order_slack;
      return was_held || was_sent_to_no_process(call, lifetime, died_from);
    });
  }

  void no_request_is_lost(const CallRecord& call) {
    if (call.sent_at == 0) return;  // the node never received it whole
    const Attempts& attempts = attempts_of(call);
    const bool excused = forgiven(call);
    // A node may close a connection while a request that it has not read is in flight, but not after it has
    // read the request.
    if (call.resent_at > 0 && !excused &&
        std::any_of(attempts.begin(), attempts.end(),
                    [&](const AttemptRecord* a) { return a->first_byte_at < call.resent_at; })) {
      report(Rule::kLostRequest, call, "its connection was closed after it had been sent on");
    }
    if (call.end != CallEnd::kAnswered) {
      if (excused || (call.end == CallEnd::kCut && s_.cut_is_failure)) return;
      if (call.end == CallEnd::kNoConnect) return;  // resent, but no node accepted the connection
      return report(Rule::kLostRequest, call, "no whole answer");
    }
    if (call.answered_at > call.sent_at + call.timeout + s_.socket_slack + s_.late_slack) {
      report(Rule::kLostRequest, call, "answered after the caller's time");
    }
    if (call.has_extra_bytes) report(Rule::kLostRequest, call, "more than one answer");
    if (call.status == 200 && std::none_of(attempts.begin(), attempts.end(), [&](const AttemptRecord* a) {
          return a->status == 200 && a->answer_digest == call.answer_digest;
        })) {
      report(Rule::kLostRequest, call, "served with what no server made for it");
    }
    for (const AttemptRecord* a : attempts) {
      if (std::max(a->first_byte_at, a->last_byte_at) > call.answered_at + s_.answer_race_slack) {
        report(Rule::kLostRequest, call, "sent to " + a->server + " after its final answer");
      }
    }
  }

  // ------------------------------------------------------------ no effect happens twice

  std::string group_of(const std::string& server, Group group) const {
    if (group == Group::kAll) return {};
    const auto it = servers_.find(server);
    if (it == servers_.end()) return "server " + server;
    return group == Group::kZone ? "zone " + it->second->zone : "cell " + std::to_string(it->second->cell);
  }

  void no_effect_twice(const CallRecord& call) {
    const auto it = classes_.find(call.request_class);
    if (it == classes_.end()) throw std::invalid_argument("no class '" + call.request_class + "'");
    const CheckedClass& c = *it->second;
    const Attempts& attempts = attempts_of(call);
    if (c.effect == Effect::kSafe) return;
    const auto ran = std::find_if(attempts.begin(), attempts.end(),
                                  [](const AttemptRecord* a) { return !known_not_run(*a); });
    if (refused(call) && ran != attempts.end() && (c.effect == Effect::kUnsafe || c.group != Group::kAll)) {
      report(Rule::kDuplicateEffect, call, "refused, and it may have run at " + (*ran)->server);
    }
    if (ran == attempts.end()) {
      if (c.effect == Effect::kUnsafe) one_at_a_time(call, attempts);
      return;
    }
    const double until = (*ran)->last_byte_at + c.window + s_.window_slack;
    for (const AttemptRecord* a : attempts) {
      if (a == *ran || (known_not_run(*a) && a->first_byte_at <= (*ran)->last_byte_at + s_.order_slack))
        continue;
      if (c.effect == Effect::kUnsafe) {
        return report(Rule::kDuplicateEffect, call,
                      "sent to " + a->server + " after it may have run at " + (*ran)->server);
      }
      if (a->last_byte_at == 0) continue;
      if (group_of(a->server, c.group) != group_of((*ran)->server, c.group)) {
        report(Rule::kDuplicateEffect, call,
               "sent again to " + a->server + ", which knows nothing of " + (*ran)->server);
      }
      if (a->last_byte_at > until) {
        report(Rule::kDuplicateEffect, call, "sent again to " + a->server + " when its key was forgotten");
      }
    }
    if (c.effect == Effect::kUnsafe) one_at_a_time(call, attempts);
  }

  // An unsafe request may be sent to another server only after the previous one has answered that it did not
  // run.
  void one_at_a_time(const CallRecord& call, const Attempts& attempts) {
    for (std::size_t i = 0; i + 1 < attempts.size(); ++i) {
      const AttemptRecord& a = *attempts[i];
      const AttemptRecord& next = *attempts[i + 1];
      if (known_not_run(a) && a.last_byte_at > 0 && a.answered_at > next.first_byte_at + s_.order_slack) {
        return report(Rule::kDuplicateEffect, call,
                      "sent to " + next.server + " before " + a.server + " had turned it away");
      }
    }
  }

  // ------------------------------------------------------------ drains are kept

  void drains_are_kept() {
    struct StateChange {
      double at;
      bool active;
    };
    std::map<std::pair<std::string, std::string>, std::vector<StateChange>>
        changes_told;  // by node and server
    for (const ListChangeRecord& t : e_.list_changes) {
      double at = t.delivered_at;
      if (s_.notification_limit > 0 && (at == 0 || at > t.changed_at + s_.notification_limit))
        at = t.changed_at + s_.notification_limit;
      if (at > 0) changes_told[{t.node, t.server}].push_back({at, t.state == "active"});
    }
    for (auto& [key, changes] : changes_told) {
      std::stable_sort(changes.begin(), changes.end(),
                       [](const StateChange& a, const StateChange& b) { return a.at < b.at; });
    }
    for (const AttemptRecord& a : e_.attempts) {
      const auto call = calls_.find(a.id);
      if (call == calls_.end()) continue;
      const auto it = changes_told.find({call->second->node, a.server});
      if (it == changes_told.end()) continue;
      double gone = 0;
      for (const StateChange& t : it->second) {
        if (t.at > a.first_byte_at) break;
        gone = t.active ? 0 : gone > 0 ? gone : t.at;
      }
      if (gone > 0 && a.first_byte_at > gone + s_.grace + s_.drain_slack) {
        report(Rule::kDrainIgnored, *call->second,
               "sent to " + a.server + " " + since(a.first_byte_at, gone) +
                   " s after the node was told that it drains");
      }
    }
  }

  const CheckerSettings& s_;
  const Evidence& e_;
  std::unordered_map<std::string, const CheckedClass*> classes_;
  std::unordered_map<std::string, const CheckedServer*> servers_;
  std::unordered_map<std::string, Attempts> attempts_;
  std::unordered_map<std::string, const CallRecord*> calls_;
  std::vector<Violation> out_;
};

}  // namespace

const char* name_of(Rule rule) {
  switch (rule) {
    case Rule::kLostRequest:
      return "no request is lost";
    case Rule::kDuplicateEffect:
      return "no effect happens twice";
    case Rule::kDrainIgnored:
      return "drains are kept";
    default:
      return "a cold server is not pushed over";
  }
}

Checker::Checker(CheckerSettings settings) : settings_(std::move(settings)) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      if (settings_.classes[i].name == settings_.classes[j].name) {
        throw std::invalid_argument("two classes '" + settings_.classes[i].name + "'");
      }
    }
  }
}

std::vector<Violation> Checker::check(const Evidence& evidence) const {
  return CheckRun(settings_, evidence).run();
}

std::string to_text(const std::vector<Violation>& violations) {
  std::string out;
  for (const Violation& v : violations) {
    out.append(name_of(v.rule)).append(": ").append(v.subject).append(": ").append(v.what).append("\n");
  }
  return out;
}

}  // namespace nettlestand::standins
