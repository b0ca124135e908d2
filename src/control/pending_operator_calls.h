// Operator calls at a leader that wait until their log entry is applied. No I/O.
//
// An entry is identified by its term and index together: after a change of leader the same index may hold
// another leader's entry, whose outcome says nothing about this call.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "messaging/messages.h"

namespace nettlestand::tier {

// Receives the reply to an operator call.
using OperatorCallback = std::function<void(const OperatorReply&)>;

// Identifies a log entry.
struct EntryId {
  consensus::Term term = 0;
  consensus::LogIndex index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const EntryId&) const = default;
};

// Builds the reply to a call.
OperatorReply operator_reply(const OperatorCall& call, std::uint32_t status, std::string body);
// The JSON body {"error":"..."} with the text escaped.
std::string error_body(const std::string& what);

// The calls by the log entry that they wait for.
class PendingOperatorCalls {
 public:
  void add(EntryId entry, const OperatorCall& call, OperatorCallback done, Millis deadline);
  // Answers the calls of an entry that was applied with this outcome.
  void answer(EntryId entry, std::uint32_t status, const std::string& body);
  // Fails the calls that wait for another term's entry at the index of an applied entry: theirs was replaced.
  void on_applied(EntryId entry);
  // Fails the calls whose deadline has passed, or all of them on a replica that is no longer the leader.
  // Their changes may still be committed, so the reply says that the outcome is unknown.
  void expire(Millis now, bool leads);
  bool empty() const { return calls_.empty(); }

 private:
  struct PendingCall {
    OperatorCall call{};
    OperatorCallback done;
    Millis deadline = 0;
  };
  void finish(std::multimap<EntryId, PendingCall>::iterator at, std::uint32_t status,
              const std::string& body);

  std::multimap<EntryId, PendingCall> calls_;
};

}  // namespace nettlestand::tier
