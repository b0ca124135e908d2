#include "control/operator_relay.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace nettlestand::tier {
namespace {

// The caller turns to another node after a second, later for large bodies.
constexpr Millis kCallTimeoutMs = 2500;
constexpr Millis kReplyTimeoutMs = 1300;  // for the leader to reply before the call is sent again
constexpr Millis kRetryDelayMs = 40;
constexpr std::uint32_t kUnavailable = 503, kTimedOut = 504;

}  // namespace

void OperatorRelay::start(Millis now, OperatorCall call, Done done) {
  PendingCall pending;
  pending.call = std::move(call);
  pending.done = std::move(done);
  pending.deadline = now + kCallTimeoutMs;
  send_to_leader(now, std::move(pending));
}

// Each attempt has its own id, so that a late reply to an earlier attempt is ignored.
void OperatorRelay::send_to_leader(Millis now, PendingCall pending) {
  const std::uint64_t attempt_id = ++last_attempt_id_;
  pending.call.call = attempt_id;
  pending.retry_at = now + kRetryDelayMs;
  pending.reply_deadline = 0;
  const std::string leader = control_client_.leader(kConfigGroup);
  if (!leader.empty()) {
    pending.reply_deadline = std::min(now + kReplyTimeoutMs, pending.deadline);
    messenger_.send(leader, encode_message(MessageType::kOperatorCall, pending.call));
  }
  calls_.emplace(attempt_id, std::move(pending));
}

void OperatorRelay::on_reply(Millis now, const OperatorReply& reply) {
  const auto found = calls_.find(reply.call);
  if (found == calls_.end()) return;
  if (reply.not_leader) {
    control_client_.hint_leader(kConfigGroup, reply.leader);
    found->second.reply_deadline = 0;
    found->second.retry_at = now + kRetryDelayMs;
    return;
  }
  const PendingCall pending = std::move(found->second);
  calls_.erase(found);
  pending.done(reply.status, reply.body);
}

void OperatorRelay::tick(Millis now) {
  std::vector<std::uint64_t> due;
  for (const auto& [attempt_id, pending] : calls_) {
    const Millis wake = pending.reply_deadline != 0 ? pending.reply_deadline : pending.retry_at;
    if (now >= std::min(wake, pending.deadline)) due.push_back(attempt_id);
  }
  for (const std::uint64_t attempt_id : due) {
    auto node = calls_.extract(attempt_id);
    if (node.empty()) continue;
    PendingCall pending = std::move(node.mapped());
    // A leader that has not replied may still have applied the call.
    if (pending.reply_deadline != 0) pending.may_be_applied = true;
    if (now >= pending.deadline) {
      fail(pending);
    } else {
      send_to_leader(now, std::move(pending));
    }
  }
}

void OperatorRelay::fail(const PendingCall& pending) {
  pending.done(pending.may_be_applied ? kTimedOut : kUnavailable, "{\"error\":\"no leader answered\"}");
}

}  // namespace nettlestand::tier
