#include "control/waiting_calls.h"

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

void WaitingCalls::add(EntryId entry, const OperatorCall& call, OperatorDone done, Millis until) {
  Waiting waiting;
  waiting.call.call = call.call;  // the body is in the log already
  waiting.done = std::move(done);
  waiting.until = until;
  calls_.emplace(entry, std::move(waiting));
}

void WaitingCalls::finish(std::multimap<EntryId, Waiting>::iterator at, std::uint32_t status,
                          const std::string& body) {
  const Waiting waiting = std::move(at->second);
  calls_.erase(at);
  waiting.done(operator_reply(waiting.call, status, body));
}

void WaitingCalls::answer(EntryId entry, std::uint32_t status, const std::string& body) {
  for (auto at = calls_.find(entry); at != calls_.end(); at = calls_.find(entry)) finish(at, status, body);
}

void WaitingCalls::on_applied(EntryId entry) {
  std::vector<EntryId> replaced;
  for (const auto& [waiting, call] : calls_) {
    if (waiting.index == entry.index && waiting.term != entry.term) replaced.push_back(waiting);
  }
  for (const EntryId& gone : replaced) answer(gone, kServerError, error_body("another leader took over"));
}

void WaitingCalls::expire(Millis now, bool leads) {
  std::vector<EntryId> due;
  for (const auto& [entry, call] : calls_) {
    if (!leads || now >= call.until) due.push_back(entry);
  }
  for (const EntryId& entry : due) answer(entry, kServerError, error_body("outcome unknown"));
}

}  // namespace nettlestand::tier
