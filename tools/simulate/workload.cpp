#include "simulate/workload.h"

#include <rapidjson/document.h>

#include <algorithm>

#include "batch/item_digest.h"

namespace nettlestand::tier::simulate {
namespace {

constexpr double kLargeConfigurationProbability = 0.15;  // per change, if large configurations are enabled
// More than one chunk of a configuration transfer.
constexpr std::size_t kLargeConfigurationBytes = 36U << 10;
constexpr Millis kReplyTimeoutMs = 1000;     // then the operator asks another node
constexpr Millis kMaxChangeRetryMs = 20000;  // for retries of the same change
constexpr Millis kRetryDelayMs = 100;
constexpr Millis kSubmitTimeoutMs = 900;
constexpr std::size_t kMaxSubmitAttempts = 12;
constexpr Millis kRetirePollIntervalMs = 500;
constexpr std::uint32_t kOk = 200, kAccepted = 202, kBadRequest = 400, kNotFound = 404,
                        kPreconditionFailed = 412, kTooManyRequests = 429, kServerError = 500,
                        kServiceUnavailable = 503;
// Status of a reply: the store is not the primary and stored nothing, or it may have stored the job.
constexpr std::uint32_t kNotPrimary = 0, kOutcomeUnknown = 1;
constexpr std::size_t kTenantCount = 4;
constexpr std::size_t kLargeBodyBytes = 3U << 10;
constexpr double kRepeatedEndProbability = 0.3;

// Each change has its own API keys, so that no two configurations are equal.
std::string configuration_json(Version version, ChangeId change, std::size_t padding) {
  std::string tenants;
  for (std::size_t i = 0; i < kTenantCount; ++i) {
    tenants += std::string(i > 0 ? "," : "") + "{\"name\":\"t" + std::to_string(i) + "\",\"api_keys\":[\"k" +
               std::to_string(i) + "-" + std::to_string(change) + "\"]}";
  }
  return "{\"generation\":" + std::to_string(version) + ",\"note\":\"" + std::string(padding, 'x') + "\"" +
         ",\"routes\":[{\"name\":\"jobs\",\"hostname\":\"h\",\"path_prefix\":\"/jobs/\",\"route_class\":"
         "\"batch\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"max_attempts\":2,\"max_wait_s\":600,"
         "\"max_queued_tokens\":400,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],\"tenants\":[" +
         tenants + "]}";
}

// 0 if the text is not a valid configuration.
Version parse_version(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.c_str());
  if (document.HasParseError() || !document.IsObject() || !document.HasMember("generation")) return 0;
  return document["generation"].GetUint64();
}

}  // namespace

// ---------------------------------------------------------------- operators

OperatorCall Operators::make_call(const std::string& path, Version base, std::string body) {
  OperatorCall out{};
  out.method = body.empty() ? "GET" : "POST";
  out.path = path;
  out.base = base;
  out.body = std::move(body);
  return out;
}

std::size_t Operators::random_edge() {
  std::vector<std::size_t> nodes = cluster_.machines_of(MachineKind::kEdge);
  for (const std::size_t core : cluster_.machines_of(MachineKind::kCore)) nodes.push_back(core);
  return nodes[cluster_.random(nodes.size())];
}

ChangeId Operators::create_change(Version base) {
  const ChangeId id = ++last_id_;
  ConfigChange change;
  change.base = base;
  last_version_ = std::max(last_version_, base) + 1 + cluster_.random(3);
  change.version = last_version_;
  const bool is_large = large_configurations_ && cluster_.chance(kLargeConfigurationProbability);
  change.body = configuration_json(change.version, id, is_large ? kLargeConfigurationBytes : 0);
  change.first_sent_at = cluster_.now();
  change.retry_until = cluster_.now() + kMaxChangeRetryMs;
  history_.on_change_sent(id, change.base, change.version, change.body);
  changes_.emplace(id, std::move(change));
  return id;
}

void Operators::submit_changes(std::size_t count) {
  std::vector<ChangeId> change_ids;
  for (std::size_t i = 0; i < count; ++i) change_ids.push_back(create_change(newest_known_version_));
  for (const ChangeId id : change_ids) send(id);
}

ChangeId Operators::submit_change() {
  const ChangeId id = create_change(newest_known_version_);
  send(id);
  return id;
}

void Operators::send(ChangeId id) {
  ConfigChange& change = changes_.at(id);
  if (change.decided || cluster_.now() > change.retry_until) return;
  const std::uint64_t attempt = ++change.attempt;
  cluster_.call_operator(random_edge(), make_call("/nettlestand/config/replace", change.base, change.body),
                         [this, id](std::uint32_t status, const std::string&) {
                           if (!cluster_.chance(reply_loss_probability_)) on_reply(id, status);
                         });
  cluster_.scheduler().schedule_after(kReplyTimeoutMs, [this, id, attempt] {
    if (changes_.at(id).attempt == attempt) send(id);
  });
}

void Operators::on_reply(ChangeId id, std::uint32_t status) {
  ConfigChange& change = changes_.at(id);
  if (status == kOk) {
    history_.on_change_acknowledged(cluster_.now(), id);
    if (!change.decided) longest_wait_ms_ = std::max(longest_wait_ms_, cluster_.now() - change.first_sent_at);
    change.decided = true;
    acknowledged_.insert(id);
    newest_known_version_ = std::max(newest_known_version_, change.version);
    // Sometimes an acknowledged change is sent again.
    if (cluster_.chance(0.1)) {
      cluster_.call_operator(random_edge(),
                             make_call("/nettlestand/config/replace", change.base, change.body),
                             [this, id](std::uint32_t again, const std::string&) { on_reply(id, again); });
    }
    return;
  }
  if (status == kPreconditionFailed || status == kBadRequest) {
    history_.on_change_rejected(id);
    change.decided = true;
    return read_configuration();
  }
  const std::uint64_t attempt = change.attempt;
  cluster_.scheduler().schedule_after(kRetryDelayMs, [this, id, attempt] {
    if (changes_.at(id).attempt == attempt) send(id);
  });
}

void Operators::read_configuration() {
  const Millis started = cluster_.now();
  cluster_.call_operator(random_edge(), make_call("/nettlestand/config/read", 0, ""),
                         [this, started](std::uint32_t status, const std::string& body) {
                           if (status != kOk) return;
                           history_.on_read(started, cluster_.now(), body);
                           newest_known_version_ = std::max(newest_known_version_, parse_version(body));
                         });
}

void Operators::retire(std::size_t store, std::function<void()> done) {
  const std::string path = "/nettlestand/retire/" + cluster_.machine(store).name + "/start";
  cluster_.call_operator(random_edge(), make_call(path, 0, "{\"deadline_s\":10}"),
                         [this, store, done](std::uint32_t status, const std::string&) {
                           if (status == kOk) poll_retired(store, done);
                         });
}

void Operators::poll_retired(std::size_t store, std::function<void()> done) {
  const std::string path = "/nettlestand/retire/" + cluster_.machine(store).name + "/read";
  cluster_.call_operator(random_edge(), make_call(path, 0, ""),
                         [this, store, done](std::uint32_t, const std::string& body) {
                           if (body.find("completed") != std::string::npos) return done();
                           cluster_.scheduler().schedule_after(
                               kRetirePollIntervalMs, [this, store, done] { poll_retired(store, done); });
                         });
}

// ---------------------------------------------------------------- jobs

std::size_t JobClients::random_edge() {
  const std::vector<std::size_t> nodes = cluster_.machines_of(MachineKind::kEdge);
  return nodes[cluster_.random(nodes.size())];
}

std::string JobClients::tenant_of(const std::string& job) {
  return "t" + std::to_string(std::hash<std::string>()(job) % kTenantCount);
}

void JobClients::submit() {
  const std::string job = "job-" + std::to_string(++last_id_);
  Submission& submission = submissions_[job];
  submission.spec.id = job;
  submission.spec.tenant = tenant_of(job);
  submission.spec.route = "jobs";
  submission.spec.host = "h";
  const std::size_t items = 1 + cluster_.random(4);
  const std::string padding(large_bodies_ ? kLargeBodyBytes : 0, 'b');
  std::map<std::string, std::string> bodies;
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item{};
    item.id = job + "/" + std::to_string(i);
    item.path = "/jobs/x";
    item.body = "body of " + item.id + padding;
    item.tokens = 10;
    set_digest(item);
    bodies.emplace(item.id, item.body);
    submission.spec.items.push_back(std::move(item));
  }
  history_.on_job_sent(job, std::move(bodies));
  send_submission(job);
}

void JobClients::send_submission(const std::string& job) {
  Submission& submission = submissions_.at(job);
  if (submission.decided) return;
  if (submission.attempts++ >= kMaxSubmitAttempts) {
    // As in the request handler of a node, a job that a store may have stored is never reported as rejected.
    submission.decided = true;
    if (!submission.may_be_stored) history_.on_job_rejected(job);
    return;
  }
  const std::size_t attempt = submission.attempts;
  JobCall call{};
  call.kind = JobCallKind::kSubmit;
  call.tenant = submission.spec.tenant;
  call.job = job;
  call.spec.push_back(submission.spec);
  const bool sent = cluster_.call_store(random_edge(), call,
                                        [this, job](const JobReply& reply) { on_submit_reply(job, reply); });
  cluster_.scheduler().schedule_after(kSubmitTimeoutMs, [this, job, attempt, sent] {
    Submission& current = submissions_.at(job);
    if (current.decided || current.attempts != attempt) return;
    if (sent) current.may_be_stored = true;
    send_submission(job);
  });
}

void JobClients::on_submit_reply(const std::string& job, const JobReply& reply) {
  Submission& submission = submissions_.at(job);
  if (reply.status == kAccepted) {
    submission.decided = true;
    return history_.on_job_accepted(job);
  }
  if (submission.decided) return;
  if (reply.status == kOutcomeUnknown || reply.status == kServerError) submission.may_be_stored = true;
  const bool refused = reply.status == kTooManyRequests || reply.status == kServiceUnavailable;
  if (refused && !submission.may_be_stored) {
    submission.decided = true;
    return history_.on_job_rejected(job);
  }
  if (reply.status == kNotPrimary || reply.status == kOutcomeUnknown || refused) {
    const std::size_t attempt = submission.attempts;
    cluster_.scheduler().schedule_after(kRetryDelayMs, [this, job, attempt] {
      if (submissions_.at(job).attempts == attempt) send_submission(job);
    });
  }
}

std::string JobClients::random_job() {
  const std::vector<std::string> jobs = history_.accepted_jobs();
  return jobs.empty() ? std::string() : jobs[cluster_.random(jobs.size())];
}

void JobClients::read_random_job() {
  if (const std::string job = random_job(); !job.empty()) read(job);
}

void JobClients::read(const std::string& job) {
  JobCall call{};
  call.kind = JobCallKind::kRead;
  call.tenant = tenant_of(job);
  call.job = job;
  const std::size_t known_results = history_.result_count(job);
  cluster_.call_store(random_edge(), call, [this, job, known_results](const JobReply& reply) {
    if (reply.status == kOk) return on_result_page(job, known_results, reply.body);
    if (reply.status == kNotFound) history_.on_job_missing(job, "a job");
  });
}

void JobClients::on_result_page(const std::string& job, std::size_t known_results, const std::string& page) {
  rapidjson::Document document;
  document.Parse(page.c_str());
  if (document.HasParseError()) return history_.report_violation("a page of results is not valid JSON");
  std::vector<std::string> items, texts;
  for (const auto& result : document["results"].GetArray()) {
    items.emplace_back(result["id"].GetString());
    texts.emplace_back(result["text"].GetString());
  }
  history_.on_results(job, known_results, items, texts);
  const auto found = submissions_.find(job);
  for (const JobItem& item : found->second.spec.items) {
    if (!history_.has_result(job, item.id) && cluster_.chance(0.2)) read_item_body(job, item.id);
  }
}

void JobClients::read_item_body(const std::string& job, const std::string& item) {
  JobCall call{};
  call.kind = JobCallKind::kBody;
  call.tenant = tenant_of(job);
  call.job = job;
  call.item = item;
  cluster_.call_store(random_edge(), call, [this, job, item](const JobReply& reply) {
    if (reply.status == kOk) history_.on_body_read(job, item, reply.body);
  });
}

void JobClients::end_random_job() {
  const std::string job = random_job();
  if (job.empty()) return;
  JobCall call{};
  call.kind = JobCallKind::kEnd;
  call.tenant = tenant_of(job);
  call.job = job;
  history_.on_job_end_requested(job);
  const auto on_reply = [this, job](const JobReply& reply) {
    if (reply.status == kNotFound) history_.on_job_missing(job, "a job that is to be ended");
    if (reply.status == kOk) history_.on_job_end_acknowledged(cluster_.now(), job);
  };
  cluster_.call_store(random_edge(), call, on_reply);
  // Another client of the tenant repeats the call at any node.
  if (cluster_.chance(kRepeatedEndProbability)) cluster_.call_store(random_edge(), call, on_reply);
}

}  // namespace nettlestand::tier::simulate
