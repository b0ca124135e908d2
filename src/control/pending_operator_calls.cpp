#include "control/pending_operator_calls.h"

#include <utility>
#include <vector>

namespace nettlestand::tier {
namespace {

constexpr std::uint32_t kServerError = 500;
constexpr unsigned char kFirstPrintable = 0x20;

}  // namespace

OperatorReply operator_reply(const OperatorCall& call, std::uint32_t status, std::string body) {
  OperatorReply out{};
  out.call = call.call;
  out.status = status;
  out.body = std::move(body);
  return out;
}

std::string error_body(const std::string& what) {
  std::string out = "{\"error\":\"";
  for (const char c : what) {
    if (c == '"' || c == '\\') out.push_back('\\');
    if (static_cast<unsigned char>(c) >= kFirstPrintable) out.push_back(c);
  }
  return out + "\"}";
}

void PendingOperatorCalls::add(EntryId entry, const OperatorCall& call, OperatorCallback done,
                               Millis deadline) {
  PendingCall pending;
  pending.call.call = call.call;  // the body is already in the log
  pending.done = std::move(done);
  pending.deadline = deadline;
  calls_.emplace(entry, std::move(pending));
}

void PendingOperatorCalls::finish(std::multimap<EntryId, PendingCall>::iterator at, std::uint32_t status,
                                  const std::string& body) {
  const PendingCall pending = std::move(at->second);
  calls_.erase(at);
  pending.done(operator_reply(pending.call, status, body));
}

void PendingOperatorCalls::answer(EntryId entry, std::uint32_t status, const std::string& body) {
  for (auto at = calls_.find(entry); at != calls_.end(); at = calls_.find(entry)) finish(at, status, body);
}

void PendingOperatorCalls::on_applied(EntryId entry) {
  std::vector<EntryId> replaced;
  for (const auto& [pending, call] : calls_) {
    if (pending.index == entry.index && pending.term != entry.term) replaced.push_back(pending);
  }
  for (const EntryId& gone : replaced) answer(gone, kServerError, error_body("another leader took over"));
}

void PendingOperatorCalls::expire(Millis now, bool leads) {
  std::vector<EntryId> due;
  for (const auto& [entry, call] : calls_) {
    if (!leads || now >= call.deadline) due.push_back(entry);
  }
  for (const EntryId& entry : due) answer(entry, kServerError, error_body("outcome unknown"));
}

}  // namespace nettlestand::tier
