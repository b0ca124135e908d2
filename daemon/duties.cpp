#include "daemon/duties.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "duties/raft_replica.h"
#include "json/read.h"
#include "util/clock.h"
#include "util/columns.h"

namespace nettlestand {
namespace {

namespace json = quinceusher::json;
using duties::Request;

constexpr double kGivingBack = 1;  // s

std::string zone_of(const Config& c) {
  const auto zone = static_cast<std::size_t>(c.settings.zone);
  return zone < c.zones.size() ? c.zones[zone] : "";
}

// By their first column.
std::string sorted(std::vector<std::vector<std::string>> rows) {
  std::sort(rows.begin() + 1, rows.end());
  return columns(rows);
}

std::string text(const json::Json& o, const char* field) {
  const std::string out(json::text(o, field));
  return out.empty() ? "-" : out;
}

}  // namespace

NodeDuties::NodeDuties(boost::asio::io_context& io, const Config& config, Log log)
    : io_(io),
      config_(*config.duties),
      log_(std::move(log)),
      service_(io, config_.service, log_),
      tally_(config.settings.tier, zone_of(config), config.tenants),
      leaving_(io) {
  if (config_.voter) voter_ = std::make_unique<duties::VoterService>(io, *config_.voter, log_);
  if (config_.may_start_programs) {
    programs_ = std::make_unique<DutyPrograms>(io, config_.programs, service_, log_);
  } else if (!config_.programs.empty()) {
    log_({LogLevel::kWarning,
          "duties",
          "programs_off",
          "programs are not started on this platform: their duties are left to others",
          {}});
  }
  if (config_.report)
    reporter_ = std::make_unique<report::Reporter>(io, *config_.report, service_, tally_, log_);
}

void NodeDuties::start() {
  if (voter_) voter_->start();
  service_.start();
  if (programs_) programs_->start();
  if (reporter_) reporter_->start();
}

void NodeDuties::leave() {
  service_.release_all();
  if (voter_) await_idle(now() + kGivingBack);
}

// What this node gives back goes through quickest while its own voter leads, if it does.
void NodeDuties::await_idle(double until) {
  if (service_.idle() || now() >= until) return voter_->transfer_leadership();
  leaving_.expires_after(std::chrono::milliseconds(10));
  leaving_.async_wait([this, until](const boost::system::error_code& error) {
    if (!error) await_idle(until);
  });
}

void NodeDuties::close() {
  if (reporter_) reporter_->tell();
  service_.close();
}

void NodeDuties::answered(const Call& call, Reply::Kind kind) {
  if (!reporter_) return;
  tally_.add(call.request.tenant,
             kind == Reply::Kind::kServed    ? report::Ending::kServed
             : kind == Reply::Kind::kRefused ? report::Ending::kRefused
                                             : report::Ending::kFailed,
             now() - call.received_at);
}

Control::Later NodeDuties::commands() {
  using Words = std::vector<std::string>;
  using Answer = Control::Answer;
  const auto ask = [this](Request r, Answer answer) {
    service_.send_operator_request(
        std::move(r),
        [answer = std::move(answer)](const std::vector<duties::Reply>& replies, const std::string& error) {
          answer(replies.empty() ? "" : replies.front().text, error);
        });
  };
  const auto needs = [](const Words& words, std::size_t least, std::size_t most) {
    if (words.size() < least || words.size() > most)
      throw std::runtime_error("not as many words as belong there");
  };
  // With one duty's name, or a voter's, and perhaps a word more.
  const auto order = [ask, needs](Request::Kind kind, bool voter) {
    return [ask, needs, kind, voter](const Words& words, Answer answer) {
      needs(words, 1, 2);
      Request r;
      r.kind = kind;
      (voter ? r.target : r.duty) = words[0];
      if (words.size() > 1) (voter ? r.text : r.target) = words[1];
      ask(std::move(r), std::move(answer));
    };
  };
  const auto show = [ask, needs](Request::Kind kind) {
    return [ask, needs, kind](const Words& words, Answer answer) {
      needs(words, 0, 0);
      Request r;
      r.kind = kind;
      ask(std::move(r), std::move(answer));
    };
  };
  return {{"duties", show(Request::Kind::kListDuties)},
          {"duties own",
           [this, needs](const Words& words, const Answer& answer) {
             needs(words, 0, 0);
             answer(service_.report(), "");
           }},
          {"duties pass", order(Request::Kind::kTransfer, false)},
          {"duties remove", order(Request::Kind::kRemove, false)},
          {"duties define",
           [this, ask, needs](const Words& words, Answer answer) {
             needs(words, 1, 1);
             Request r;
             r.kind = Request::Kind::kDefine;
             r.duty = words[0];
             for (const duties::Duty& d : config_.service.duties) {
               if (d.name == words[0]) r.settings = d;
             }
             if (r.settings.name.empty()) throw std::runtime_error("this node's file names no such duty");
             ask(std::move(r), std::move(answer));
           }},
          {"duties voters", show(Request::Kind::kListVoters)},
          {"duties voters add", order(Request::Kind::kAddVoter, true)},
          {"duties voters remove", order(Request::Kind::kRemoveVoter, true)}};
}

std::string init_voter(const std::string& folder, const std::string& found) {
  const std::uint64_t id = duties::SqliteStore::create(folder);
  if (!found.empty()) {
    duties::SqliteStore store(folder);
    duties::RaftReplica::bootstrap(store, found);
  }
  return "voter " + std::to_string(id) +
         (found.empty() ? ": to be added by 'duties voters add' once its node runs\n"
                        : ": the first one, called " + found + "\n");
}

std::string duties_table(const std::string& report) {
  const rapidjson::Document in = json::parse(report);
  std::string out =
      "leader " + text(in, "leader") + ", last token " + std::to_string(json::token(in, "last_token")) + "\n";
  std::vector<std::vector<std::string>> rows = {{"duty", "holder", "token", "lease s", "cause", "to go to"}};
  for (const json::Json& d : json::array(in, "duties").GetArray()) {
    std::array<char, 32> lease{};
    std::snprintf(lease.data(), lease.size(), "%.3g", json::number(d, "lease_s"));
    rows.push_back({text(d, "duty"), text(d, "holder"), std::to_string(json::token(d, "token")), lease.data(),
                    text(d, "cause"), text(d, "next")});
  }
  return out + sorted(std::move(rows));
}

std::string voters_table(const std::string& report) {
  const rapidjson::Document in = json::parse(report);
  std::string out = "told by " + text(in, "told_by") + ": leader " + text(in, "leader") + ", term " +
                    std::to_string(json::token(in, "term")) + ", log to " +
                    std::to_string(json::token(in, "last_index")) + "\n";
  std::vector<std::vector<std::string>> rows = {{"voter", "role", "id", "address", "state"}};
  for (const json::Json& v : json::array(in, "voters").GetArray()) {
    rows.push_back({text(v, "name"), text(v, "role"), text(v, "id"), text(v, "address"),
                    json::flag(v, "state_of_former_days") ? "OF FORMER DAYS: not listened to" : "-"});
  }
  return out + sorted(std::move(rows));
}

}  // namespace nettlestand
