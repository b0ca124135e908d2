#include "daemon/duties.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

#include "duties/raft_replica.h"
#include "json/reader.h"
#include "util/clock.h"
#include "util/columns.h"

namespace nettlestand {
namespace {

namespace json = quinceusher::json;
using duties::Request;

constexpr double kReleaseTimeoutSeconds = 1;

std::string zone_name(const Config& c) {
  const auto zone = static_cast<std::size_t>(c.settings.zone);
  return zone < c.zones.size() ? c.zones[zone] : "";
}

// Rows below the heading, sorted by their first column.
std::string sorted(std::vector<std::vector<std::string>> rows) {
  std::sort(rows.begin() + 1, rows.end());
  return align_columns(rows);
}

std::string text_or_dash(const json::Json& o, const char* field) {
  const std::string out(json::string(o, field));
  return out.empty() ? "-" : out;
}

}  // namespace

NodeDuties::NodeDuties(boost::asio::io_context& io, const Config& config, Log log)
    : io_(io),
      config_(*config.duties),
      log_(std::move(log)),
      service_(io, config_.service, log_),
      counter_(config.settings.tier, zone_name(config), config.tenants),
      drain_timer_(io) {
  if (config_.voter) voter_ = std::make_unique<duties::VoterService>(io, *config_.voter, log_);
  if (config_.may_start_programs) {
    programs_ = std::make_unique<DutyPrograms>(io, config_.programs, service_, log_);
  } else if (!config_.programs.empty()) {
    log_({LogLevel::kWarning,
          "duties",
          "programs_off",
          "duty programs are disabled on this platform; their duties are left to other nodes",
          {}});
  }
  if (config_.report)
    reporter_ = std::make_unique<report::Reporter>(io, *config_.report, service_, counter_, log_);
}

void NodeDuties::start() {
  if (voter_) voter_->start();
  service_.start();
  if (programs_) programs_->start();
  if (reporter_) reporter_->start();
}

void NodeDuties::begin_drain() {
  service_.release_all();
  if (voter_) transfer_leadership_when_idle(now() + kReleaseTimeoutSeconds);
}

// Leadership is kept until the releases are done, because they go through fastest while this node's own voter
// leads.
void NodeDuties::transfer_leadership_when_idle(double until) {
  if (service_.idle() || now() >= until) return voter_->transfer_leadership();
  drain_timer_.expires_after(std::chrono::milliseconds(10));
  drain_timer_.async_wait([this, until](const boost::system::error_code& error) {
    if (!error) transfer_leadership_when_idle(until);
  });
}

void NodeDuties::shut_down() {
  if (reporter_) reporter_->publish_counts();
  service_.close();
}

void NodeDuties::count_answer(const Call& call, Reply::Kind kind) {
  if (!reporter_) return;
  counter_.add(call.request.tenant,
               kind == Reply::Kind::kServed    ? report::AnswerOutcome::kServed
               : kind == Reply::Kind::kRefused ? report::AnswerOutcome::kRefused
                                               : report::AnswerOutcome::kFailed,
               now() - call.received_at);
}

ControlSocket::AsyncCommands NodeDuties::commands() {
  using Arguments = std::vector<std::string>;
  using Completion = ControlSocket::Completion;
  const auto send_request = [this](Request r, Completion complete) {
    service_.send_operator_request(std::move(r),
                                   [complete = std::move(complete)](const std::vector<duties::Reply>& replies,
                                                                    const std::string& error) {
                                     complete(replies.empty() ? "" : replies.front().text, error);
                                   });
  };
  const auto check_argument_count = [](const Arguments& arguments, std::size_t min, std::size_t max) {
    if (arguments.size() < min || arguments.size() > max)
      throw std::runtime_error("not as many words as belong there");
  };
  // A command on one duty or voter, with an optional second argument.
  const auto target_command = [send_request, check_argument_count](Request::Kind kind, bool voter) {
    return
        [send_request, check_argument_count, kind, voter](const Arguments& arguments, Completion complete) {
          check_argument_count(arguments, 1, 2);
          Request r;
          r.kind = kind;
          (voter ? r.target : r.duty) = arguments[0];
          if (arguments.size() > 1) (voter ? r.text : r.target) = arguments[1];
          send_request(std::move(r), std::move(complete));
        };
  };
  const auto list_command = [send_request, check_argument_count](Request::Kind kind) {
    return [send_request, check_argument_count, kind](const Arguments& arguments, Completion complete) {
      check_argument_count(arguments, 0, 0);
      Request r;
      r.kind = kind;
      send_request(std::move(r), std::move(complete));
    };
  };
  return {{"duties", list_command(Request::Kind::kListDuties)},
          {"duties own",
           [this, check_argument_count](const Arguments& arguments, const Completion& complete) {
             check_argument_count(arguments, 0, 0);
             complete(service_.report(), "");
           }},
          {"duties pass", target_command(Request::Kind::kTransfer, false)},
          {"duties remove", target_command(Request::Kind::kRemove, false)},
          {"duties define",
           [this, send_request, check_argument_count](const Arguments& arguments, Completion complete) {
             check_argument_count(arguments, 1, 1);
             Request r;
             r.kind = Request::Kind::kDefine;
             r.duty = arguments[0];
             for (const duties::Duty& d : config_.service.duties) {
               if (d.name == arguments[0]) r.settings = d;
             }
             if (r.settings.name.empty()) throw std::runtime_error("this node's file names no such duty");
             send_request(std::move(r), std::move(complete));
           }},
          {"duties voters", list_command(Request::Kind::kListVoters)},
          {"duties voters add", target_command(Request::Kind::kAddVoter, true)},
          {"duties voters remove", target_command(Request::Kind::kRemoveVoter, true)}};
}

std::string init_voter(const std::string& folder, const std::string& first_voter) {
  const std::uint64_t id = duties::SqliteStore::create(folder);
  if (!first_voter.empty()) {
    duties::SqliteStore store(folder);
    duties::RaftReplica::bootstrap(store, first_voter);
  }
  return "voter " + std::to_string(id) +
         (first_voter.empty() ? ": to be added by 'duties voters add' once its node runs\n"
                              : ": the first one, called " + first_voter + "\n");
}

std::string duties_table(const std::string& report) {
  const rapidjson::Document in = json::parse(report);
  std::string out = "leader " + text_or_dash(in, "leader") + ", last token " +
                    std::to_string(json::unsigned_integer(in, "last_token")) + "\n";
  std::vector<std::vector<std::string>> rows = {{"duty", "holder", "token", "lease s", "cause", "to go to"}};
  for (const json::Json& d : json::array(in, "duties").GetArray()) {
    std::array<char, 32> lease{};
    std::snprintf(lease.data(), lease.size(), "%.3g", json::number(d, "lease_s"));
    rows.push_back({text_or_dash(d, "duty"), text_or_dash(d, "holder"),
                    std::to_string(json::unsigned_integer(d, "token")), lease.data(),
                    text_or_dash(d, "cause"), text_or_dash(d, "next")});
  }
  return out + sorted(std::move(rows));
}

std::string voters_table(const std::string& report) {
  const rapidjson::Document in = json::parse(report);
  std::string out = "told by " + text_or_dash(in, "told_by") + ": leader " + text_or_dash(in, "leader") +
                    ", term " + std::to_string(json::unsigned_integer(in, "term")) + ", log to " +
                    std::to_string(json::unsigned_integer(in, "last_index")) + "\n";
  std::vector<std::vector<std::string>> rows = {{"voter", "role", "id", "address", "state"}};
  for (const json::Json& v : json::array(in, "voters").GetArray()) {
    rows.push_back({text_or_dash(v, "name"), text_or_dash(v, "role"), text_or_dash(v, "id"),
                    text_or_dash(v, "address"),
                    json::boolean(v, "state_of_former_days") ? "OF FORMER DAYS: not listened to" : "-"});
  }
  return out + sorted(std::move(rows));
}

}  // namespace nettlestand
