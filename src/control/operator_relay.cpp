#include "control/operator_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace nettlestand::tier {
namespace {

constexpr Millis kPatienceMs =
    2500;  // the caller goes to another node after a second, later for large bodies
constexpr Millis kReplyWaitMs = 1300;  // for a leader to answer, before the call is sent again
constexpr Millis kRetryMs = 40;
constexpr std::uint32_t kUnavailable = 503, kTimedOut = 504;

}  // namespace

void OperatorRelay::start(Millis now, OperatorCall call, Done done) {
  Pending pending;
  pending.call = std::move(call);
  pending.done = std::move(done);
  pending.until = now + kPatienceMs;
  try_leader(now, std::move(pending));
}

// Each try has a number of its own, so that a late reply to an earlier one is passed over.
void OperatorRelay::try_leader(Millis now, Pending pending) {
  const std::uint64_t number = ++numbers_;
  pending.call.call = number;
  pending.next_try = now + kRetryMs;
  pending.reply_until = 0;
  const std::string leader = follower_.leader(kConfigGroup);
  if (!leader.empty()) {
    pending.reply_until = std::min(now + kReplyWaitMs, pending.until);
    messenger_.send(leader, encode_message(MessageType::kOperatorCall, pending.call));
  }
  calls_.emplace(number, std::move(pending));
}

void OperatorRelay::on_reply(Millis now, const OperatorReply& reply) {
  const auto found = calls_.find(reply.call);
  if (found == calls_.end()) return;
  if (reply.not_leader) {
    follower_.hint_leader(kConfigGroup, reply.leader);
    found->second.reply_until = 0;
    found->second.next_try = now + kRetryMs;
    return;
  }
  const Pending pending = std::move(found->second);
  calls_.erase(found);
  pending.done(reply.status, reply.body);
}

void OperatorRelay::tick(Millis now) {
  std::vector<std::uint64_t> due;
  for (const auto& [number, pending] : calls_) {
    const Millis wake = pending.reply_until != 0 ? pending.reply_until : pending.next_try;
    if (now >= std::min(wake, pending.until)) due.push_back(number);
  }
  for (const std::uint64_t number : due) {
    auto node = calls_.extract(number);
    if (node.empty()) continue;
    Pending pending = std::move(node.mapped());
    // A leader that was asked and has not answered may have taken it.
    if (pending.reply_until != 0) pending.may_be_taken = true;
    if (now >= pending.until) {
      give_up(pending);
    } else {
      try_leader(now, std::move(pending));
    }
  }
}

void OperatorRelay::give_up(const Pending& pending) {
  pending.done(pending.may_be_taken ? kTimedOut : kUnavailable, "{\"error\":\"no leader answered\"}");
}

}  // namespace nettlestand::tier
