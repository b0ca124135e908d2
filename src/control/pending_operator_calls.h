// The operator's calls at a leader that wait for their entry of the log to be applied. No I/O.
//
// An entry is known by its term and index together: after a change of leader the same index may hold another
// leader's entry, whose outcome is no answer to this call.
#pragma once

#include <functional>
#include <map>
#include <string>

#include "messaging/messages.h"

namespace nettlestand::tier {

using OperatorCallback = std::function<void(const OperatorReply&)>;

struct EntryId {
  consensus::Term term = 0;
  consensus::LogIndex index = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const EntryId&) const = default;
};

OperatorReply operator_reply(const OperatorCall& call, std::uint32_t status, std::string body);
// {"error":"..."} with the text escaped.
std::string error_body(const std::string& what);

class PendingOperatorCalls {
 public:
  void add(EntryId entry, const OperatorCall& call, OperatorCallback done, Millis deadline);
  // The entry was applied with this outcome.
  void answer(EntryId entry, std::uint32_t status, const std::string& body);
  // Another entry was applied at an index: a call that waits for its own entry there will never see it.
  void on_applied(EntryId entry);
  // Calls whose time is up, or all of them at a replica that doesn't lead: their orders may yet be taken, so
  // nothing is promised.
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
