#include "control/operator_api.h"

#include <string_view>
#include <utility>

#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr Millis kDecisionWaitMs = 2500;  // for a majority to take an order
constexpr std::uint32_t kOk = 200, kBadRequest = 400, kNotFound = 404, kConflict = 409, kPrecondition = 412,
                        kUnavailable = 503;
constexpr std::string_view kReadPath = "/nettlestand/config/read";
constexpr std::string_view kReplacePath = "/nettlestand/config/replace";
constexpr std::string_view kUpdatePath = "/nettlestand/config/update";
constexpr std::string_view kRetirePrefix = "/nettlestand/retire/";

std::uint32_t status_of(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kTaken:
    case OrderOutcome::kTakenBefore:
      return kOk;
    case OrderOutcome::kConflict:
      return kPrecondition;
    case OrderOutcome::kInvalid:
      break;
  }
  return kBadRequest;
}

}  // namespace

void OperatorApi::on_call(Millis now, const OperatorCall& call, OperatorDone done) {
  OperatorReply out{};
  if (call.path == kReadPath) {
    out = read(call);
  } else if (call.path == kReplacePath || call.path == kUpdatePath) {
    out = order(now, call, done);
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

OperatorReply OperatorApi::order(Millis now, const OperatorCall& call, OperatorDone& done) {
  ConfigOrder order{};
  order.kind = call.path == kUpdatePath ? OrderKind::kUpdate : OrderKind::kReplace;
  order.base = call.base;
  order.body = call.body;
  // With others on their way it is judged at its place in the log, once they are decided.
  if (!group_.has_undecided()) {
    std::string why;
    const OrderOutcome outcome = state_.judge(order, &why);
    if (outcome == OrderOutcome::kTakenBefore) return operator_reply(call, kOk, "{}");
    if (outcome != OrderOutcome::kTaken) return operator_reply(call, status_of(outcome), error_body(why));
  }
  ControlCommand command{};
  command.orders.push_back(std::move(order));
  return propose(now, command, call, done);
}

OperatorReply OperatorApi::propose(Millis now, const ControlCommand& command, const OperatorCall& call,
                                   OperatorDone& done) {
  const std::optional<EntryId> entry = group_.propose(now, command);
  if (!entry) return operator_reply(call, kUnavailable, error_body("not the leader"));
  waiting_.add(*entry, call, std::move(done), now + kDecisionWaitMs);
  group_.drive(now);
  return {};
}

OperatorReply OperatorApi::retire(Millis now, const OperatorCall& call, OperatorDone& done) {
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
  // Judged by the table as it is: a change of it that is under way may leave too few.
  if (group_.placement_pending()) return operator_reply(call, kUnavailable, error_body("busy"));
  ControlCommand command{};
  command.placements.push_back(*change);
  NETTLESTAND_INFO("retire begun node=" << name);
  return propose(now, command, call, done);
}

void OperatorApi::on_order_applied(EntryId entry, OrderOutcome outcome) {
  const std::uint32_t status = status_of(outcome);
  waiting_.answer(entry, status, status == kOk ? "{}" : error_body("not taken"));
  waiting_.on_applied(entry);
}

void OperatorApi::on_placement_applied(EntryId entry) {
  waiting_.answer(entry, kOk, "{}");
  waiting_.on_applied(entry);
}

}  // namespace nettlestand::tier
