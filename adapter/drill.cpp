// quinceusher_drill: hosts balancers on the bench's protocol (one JSON line in, one out). It only parses,
// translates and writes; all decisions are the library's.
#include <cstdio>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "json/reader.h"
#include "quinceusher/balancer.h"
#include "rapidjson/document.h"
#include "rapidjson/error/en.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace {

using namespace quinceusher::json;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;
namespace qu = quinceusher;

qu::Outcome read_outcome(std::string_view name) {
  if (name == "delivered") return qu::Outcome::kDelivered;
  if (name == "app_error") return qu::Outcome::kError;
  if (name == "shed") return qu::Outcome::kRejected;
  if (name == "expired") return qu::Outcome::kTimedOut;
  if (name == "dial_failed") return qu::Outcome::kDialFailed;
  if (name == "dropped") return qu::Outcome::kReset;
  if (name == "revoked") return qu::Outcome::kCancelled;
  if (name == "unused") return qu::Outcome::kNotSent;
  return qu::Outcome::kUnknown;
}

qu::Server read_server(const Json& in) {
  qu::Server out;
  out.address = string(in, "server");
  out.zone = integer_or(in, "rackZone", 0);
  out.cell = integer_or(in, "pack", 0);
  out.weight = number_or(in, "units", 1);
  out.started = number_or(in, "since", 0);
  const std::string_view mode = string(in, "mode");
  if (mode == "Ready") {
    out.state = qu::ServerState::kReady;
  } else if (mode == "Terminating") {
    out.state = qu::ServerState::kDraining;
  } else if (mode == "Gone") {
    out.state = qu::ServerState::kGone;
  } else {
    reject_field("mode", "Ready, Terminating or Gone");
  }
  return out;
}

qu::Request read_request(const Json& in) {
  constexpr int kHintValid = 1;
  constexpr int kClientRepeats = 2;
  qu::Request out;
  out.id = string(in, "txn");
  out.tenant = index_or_zero(in, "account");
  out.request_class = index_or_zero(in, "profile");
  out.time_left = number(in, "timeLeft");
  const int opts = integer_or(in, "opts", 0);
  if ((opts & kHintValid) != 0 && find(in, "cost") != nullptr) out.work = number(in, "cost");
  out.is_repeat = (opts & kClientRepeats) != 0;
  return out;
}

// Writes one action as a JSON object.
struct WriteAction {
  Writer& out;

  void start(const char* kind) const {
    out.StartObject();
    out.Key("kind");
    out.String(kind);
  }
  void field(const char* name, const std::string& value) const {
    out.Key(name);
    out.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }
  void field(const char* name, double value) const {
    out.Key(name);
    out.Double(value);
  }
  void operator()(const qu::Send& a) const {
    start("CALL_OUT");
    field("txn", a.id);
    field("server", a.server);
    field("patience", a.timeout);
    out.EndObject();
  }
  void operator()(const qu::Refuse& a) const {
    start("SAY_NO");
    field("txn", a.id);
    if (a.retry_after > 0) field("notBeforeFor", a.retry_after);
    out.EndObject();
  }
  void operator()(const qu::Fail& a) const {
    start("ERROR");
    field("txn", a.id);
    out.EndObject();
  }
  void operator()(const qu::Cancel& a) const {
    start("ABANDON");
    field("txn", a.id);
    out.Key("try");
    out.Int(a.attempt);
    out.EndObject();
  }
  void operator()(const qu::Extend&) const {}  // the bench reports no progress of answers, so none is sent
  void operator()(const qu::SetTimer& a) const {
    start("TIMER");
    field("dueAt", a.at);
    out.Key("keyBack");
    out.Uint64(a.token);
    out.EndObject();
  }
  void operator()(const qu::WatchMembers&) const {
    start("TAIL");
    out.Key("want");
    out.Bool(true);
    out.EndObject();
  }
  void operator()(const qu::LogLine& a) const {
    start("JOURNAL_LINE");
    field("noteText", a.text);
    out.EndObject();
  }
};

class Host {
 public:
  // Processes one batch and returns the reply line.
  const rapidjson::StringBuffer& answer(const Json& batch) {
    const double now = number(batch, "clock");
    buffer_.Clear();
    writer_.Reset(buffer_);
    writer_.StartObject();
    writer_.Key("turn");
    writer_.Uint64(unsigned_integer(batch, "turn"));
    writer_.Key("nodes");
    writer_.StartArray();
    for (const Json& node : array(batch, "nodes").GetArray()) answer_node(now, node);
    writer_.EndArray();
    writer_.EndObject();
    return buffer_;
  }

 private:
  void answer_node(double now, const Json& node) {
    const int who = integer(node, "who");
    std::unique_ptr<qu::Balancer>& balancer = balancers_[who];
    actions_.clear();
    std::optional<std::string> fault;
    for (const Json& item : array(node, "news").GetArray()) {
      try {
        handle(now, item, balancer);
      } catch (const MessageError&) {
        throw;
      } catch (const std::exception& problem) {  // the library's own: reported to the bench
        if (!fault) fault = problem.what();
      }
    }
    if (actions_.empty() && !fault) return;
    writer_.StartObject();
    writer_.Key("who");
    writer_.Int(who);
    writer_.Key("steps");
    writer_.StartArray();
    for (const qu::Action& action : actions_) std::visit(WriteAction{writer_}, action);
    if (fault) {
      writer_.StartObject();
      writer_.Key("kind");
      writer_.String("PANIC");
      writer_.Key("noteText");
      writer_.String(fault->c_str());
      writer_.EndObject();
    }
    writer_.EndArray();
    writer_.EndObject();
  }

  void handle(double now, const Json& item, std::unique_ptr<qu::Balancer>& balancer) {
    const std::string_view kind = string(item, "kind");
    if (kind == "TABLE") {
      read_table(item);
      return;
    }
    if (kind == "OPEN_INSTANCE") {
      balancer.reset();
      balancer = std::make_unique<qu::Balancer>(read_settings(require(item, "config")),
                                                unsigned_integer(item, "initSeed"));
      actions_.clear();  // drops what the former instance did earlier in this batch
      balancer->handle(now, qu::Started{}, actions_);
    } else if (kind == "POWER_OFF") {
      balancer.reset();
      actions_.clear();
    } else if (const std::optional<qu::Event> event = read_event(kind, item); event && balancer != nullptr) {
      balancer->handle(now, *event, actions_);
    }
  }

  void read_table(const Json& item) {
    std::vector<qu::Server> servers;
    for (const Json& entry : array(item, "nodesList").GetArray()) servers.push_back(read_server(entry));
    tables_[integer(item, "sheet")] = std::move(servers);
  }

  std::optional<qu::Event> read_event(std::string_view kind, const Json& item) const {
    if (kind == "QUERY") return read_request(item);
    if (kind == "DONE") {
      return qu::AttemptResult{std::string(string(item, "txn")), integer_or(item, "try", 0),
                               read_outcome(string(item, "outcome")), number_or(item, "lag", 0),
                               boolean(item, "doneFlag")};
    }
    if (kind == "FIRED") return qu::TimerFired{unsigned_integer(item, "keyBack")};
    if (kind == "GONE") return qu::RequestGone{std::string(string(item, "txn"))};
    if (kind == "DIRECTORY_UPDATE") return read_update(item);
    if (kind == "ACK_FIRST") {
      return qu::AnswerStarted{std::string(string(item, "txn")), integer_or(item, "try", 0),
                               number_or(item, "lag", 0)};
    }
    return std::nullopt;  // STATUS_BACK, MEMO and kinds of later protocols are not used here
  }

  qu::MembershipUpdate read_update(const Json& item) const {
    const std::string_view form = string(item, "form");
    qu::MembershipUpdate out;
    if (form == "X") {
      out.form = qu::MembershipUpdate::Form::kFailed;
      return out;
    }
    if (form == "D") {
      out.form = qu::MembershipUpdate::Form::kChanges;
    } else if (form != "F" && form != "C") {
      reject_field("form", "D, F, C or X");
    }
    const auto table = tables_.find(integer(item, "sheet"));
    if (table == tables_.end()) reject_field("sheet", "the number of a list that was sent");
    out.servers = table->second;
    return out;
  }

  std::map<int, std::unique_ptr<qu::Balancer>> balancers_;
  std::map<int, std::vector<qu::Server>> tables_;  // numbered lists, shared by the whole process
  std::vector<qu::Action> actions_;
  rapidjson::StringBuffer buffer_;
  Writer writer_;
};

}  // namespace

int main() {
  std::ios::sync_with_stdio(false);
  Host host;
  std::string line;
  std::uint64_t lines = 0;
  while (std::getline(std::cin, line)) {
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    ++lines;
    std::string turn = "unknown";
    try {
      rapidjson::Document batch;
      batch.ParseInsitu(line.data());
      if (batch.HasParseError()) {
        throw MessageError(std::string("not valid JSON: ") +
                           rapidjson::GetParseError_En(batch.GetParseError()) + " at byte " +
                           std::to_string(batch.GetErrorOffset()));
      }
      turn = std::to_string(unsigned_integer(batch, "turn"));
      const rapidjson::StringBuffer& reply = host.answer(batch);
      std::fwrite(reply.GetString(), 1, reply.GetSize(), stdout);
      std::fputc('\n', stdout);
      if (std::fflush(stdout) != 0) return 1;
    } catch (const std::exception& problem) {
      std::fprintf(stderr, "quinceusher_drill: line %llu, turn %s: %s\n",
                   static_cast<unsigned long long>(lines), turn.c_str(), problem.what());
      return 2;
    }
  }
  return 0;
}
