#include "control/operator_api.h"

#include <string_view>
#include <utility>

#include "base/json_limits.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr Millis kCommitTimeoutMs = 2500;  // for a majority to commit a change
constexpr std::uint32_t kOk = 200, kBadRequest = 400, kNotFound = 404, kConflict = 409,
                        kPreconditionFailed = 412, kUnavailable = 503;
constexpr std::string_view kReadPath = "/nettlestand/config/read";
constexpr std::string_view kReplacePath = "/nettlestand/config/replace";
constexpr std::string_view kUpdatePath = "/nettlestand/config/update";
constexpr std::string_view kRetirePrefix = "/nettlestand/retire/";

// No configuration that can be in force comes near: the first is several times the depth of one, and the
// second more values than the largest body holds of any that has names.
constexpr JsonLimits kChangeLimits = {64, 700000};

std::uint32_t http_status_of(ChangeOutcome outcome) {
  switch (outcome) {
    case ChangeOutcome::kApplied:
    case ChangeOutcome::kAlreadyApplied:
      return kOk;
    case ChangeOutcome::kConflict:
      return kPreconditionFailed;
    case ChangeOutcome::kInvalid:
      break;
  }
  return kBadRequest;
}

}  // namespace

void OperatorApi::on_call(Millis now, const OperatorCall& call, OperatorCallback done) {
  OperatorReply out{};
  if (call.path == kReadPath) {
    out = read(call);
  } else if (call.path == kReplacePath || call.path == kUpdatePath) {
    out = change_config(now, call, done);
  } else if (call.path.starts_with(kRetirePrefix)) {
    out = retire(now, call, done);
  } else {
    out = operator_reply(call, kNotFound, error_body("no such call"));
  }
  if (out.status != 0) done(out);
}

OperatorReply OperatorApi::read(const OperatorCall& call) const {
  const std::string& text = state_.text();
  if (text.empty()) return operator_reply(call, kNotFound, error_body("no configuration yet"));
  return operator_reply(call, kOk, text);
}

OperatorReply OperatorApi::change_config(Millis now, const OperatorCall& call, OperatorCallback& done) {
  // Checked before the change is proposed: each replica that applies it parses it into a tree and walks that.
  if (!is_within_limits(call.body, kChangeLimits))
    return operator_reply(call, kBadRequest, error_body("too deep or too many values"));
  ConfigChange change{};
  change.kind = call.path == kUpdatePath ? ConfigChangeKind::kUpdate : ConfigChangeKind::kReplace;
  change.base = call.base;
  change.body = call.body;
  // If other entries are in flight, the change is validated only when it is applied, after these.
  if (!group_.has_unapplied_entries()) {
    std::string reason;
    const ChangeOutcome outcome = state_.validate(change, &reason);
    if (outcome == ChangeOutcome::kAlreadyApplied) return operator_reply(call, kOk, "{}");
    if (outcome != ChangeOutcome::kApplied)
      return operator_reply(call, http_status_of(outcome), error_body(reason));
  }
  ControlCommand command{};
  command.config_changes.push_back(std::move(change));
  return propose(now, command, call, done);
}

OperatorReply OperatorApi::propose(Millis now, const ControlCommand& command, const OperatorCall& call,
                                   OperatorCallback& done) {
  const std::optional<EntryId> entry = group_.propose(now, command);
  if (!entry) return operator_reply(call, kUnavailable, error_body("not the leader"));
  pending_calls_.add(*entry, call, std::move(done), now + kCommitTimeoutMs);
  group_.process_ready(now);
  return {};
}

OperatorReply OperatorApi::retire(Millis now, const OperatorCall& call, OperatorCallback& done) {
  const std::string rest = call.path.substr(kRetirePrefix.size());
  const std::size_t slash = rest.find('/');
  const std::string name = rest.substr(0, slash);
  const std::string verb = slash == std::string::npos ? "" : rest.substr(slash + 1);
  const PlacementTable& table = state_.placement();
  if (verb == "read") {
    const StoreRecord* record = table.store_named(name);
    if (record == nullptr) return operator_reply(call, kNotFound, error_body("unknown machine"));
    return operator_reply(call, kOk,
                          record->retired ? "{\"state\":\"completed\"}" : "{\"state\":\"serving\"}");
  }
  const PlacementPlanner* planner = group_.planner();
  if (verb != "start" || planner == nullptr)
    return operator_reply(call, kNotFound, error_body("no such call"));
  bool refused = false;
  const auto change = planner->retire(now, table, name, refused);
  if (refused) return operator_reply(call, kConflict, error_body("too few would be left"));
  if (!change) return operator_reply(call, kNotFound, error_body("unknown machine"));
  if (change->empty()) return operator_reply(call, kOk, "{}");
  // The check used the current table: a placement change in flight may leave too few stores.
  if (group_.placement_pending()) return operator_reply(call, kUnavailable, error_body("busy"));
  ControlCommand command{};
  command.placement_changes.push_back(*change);
  NETTLESTAND_INFO("store retirement started node=" << name);
  return propose(now, command, call, done);
}

void OperatorApi::on_config_change_applied(EntryId entry, ChangeOutcome outcome) {
  const std::uint32_t status = http_status_of(outcome);
  pending_calls_.answer(entry, status, status == kOk ? "{}" : error_body("not taken"));
  pending_calls_.on_applied(entry);
}

void OperatorApi::on_placement_applied(EntryId entry) {
  pending_calls_.answer(entry, kOk, "{}");
  pending_calls_.on_applied(entry);
}

}  // namespace nettlestand::tier
