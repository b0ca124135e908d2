#include "simulate/actors.h"

#include <rapidjson/document.h>

#include <algorithm>

#include "batch/item_digest.h"

namespace nettlestand::tier::simulate {
namespace {

constexpr double kLargeShare = 0.15;            // of the changes, where there are large ones
constexpr std::size_t kLargeBytes = 36U << 10;  // more than a holder hands out at once
constexpr Millis kAnswerMs = 1000;              // an operator waits for so long, then asks another node
constexpr Millis kOrderForMs = 20000;           // and sends the same order again for so long
constexpr Millis kPauseMs = 100;
constexpr Millis kSubmitWaitMs = 900;
constexpr std::size_t kSubmitTries = 12;
constexpr Millis kRetirePollMs = 500;
constexpr std::uint32_t kOk = 200, kAccepted = 202, kBadRequest = 400, kNotFound = 404, kConflict = 412,
                        kTooMany = 429, kServerError = 500, kUnavailable = 503;
constexpr std::uint32_t kNotPrimary = 0, kMoved = 1;
constexpr std::size_t kTenants = 4;
constexpr std::size_t kLargeBodyBytes = 3U << 10;
constexpr double kEndAgain = 0.3;

std::string configuration(Version version, OrderId order, std::size_t padding) {
  std::string tenants;
  for (std::size_t i = 0; i < kTenants; ++i) {
    tenants += std::string(i > 0 ? "," : "") + "{\"name\":\"t" + std::to_string(i) + "\",\"api_keys\":[\"k" +
               std::to_string(i) + "-" + std::to_string(order) + "\"]}";
  }
  return "{\"generation\":" + std::to_string(version) + ",\"note\":\"" + std::string(padding, 'x') + "\"" +
         ",\"routes\":[{\"name\":\"jobs\",\"hostname\":\"h\",\"path_prefix\":\"/jobs/\",\"route_class\":"
         "\"batch\",\"timeout_ms\":4000,\"target_latency_ms\":400,\"max_attempts\":2,\"max_wait_s\":600,"
         "\"max_queued_tokens\":400,\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],\"tenants\":[" +
         tenants + "]}";
}

Version version_of(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.c_str());
  if (document.HasParseError() || !document.IsObject() || !document.HasMember("generation")) return 0;
  return document["generation"].GetUint64();
}

}  // namespace

// ---------------------------------------------------------------- operators

OperatorCall Operators::call(const std::string& path, Version base, std::string body) {
  OperatorCall out{};
  out.method = body.empty() ? "GET" : "POST";
  out.path = path;
  out.base = base;
  out.body = std::move(body);
  return out;
}

std::size_t Operators::any_edge() {
  std::vector<std::size_t> nodes = cluster_.machines_of(MachineKind::kEdge);
  for (const std::size_t core : cluster_.machines_of(MachineKind::kCore)) nodes.push_back(core);
  return nodes[cluster_.random(nodes.size())];
}

OrderId Operators::make(Version base) {
  const OrderId id = ++ids_;
  Order order;
  order.base = base;
  last_version_ = std::max(last_version_, base) + 1 + cluster_.random(3);
  order.version = last_version_;
  const bool is_large = large_ && cluster_.chance(kLargeShare);
  order.body = configuration(order.version, id, is_large ? kLargeBytes : 0);
  order.first_sent = cluster_.now();
  order.give_up_at = cluster_.now() + kOrderForMs;
  history_.on_order_sent(id, order.base, order.version, order.body);
  orders_.emplace(id, std::move(order));
  return id;
}

void Operators::change(std::size_t racing) {
  std::vector<OrderId> made;
  for (std::size_t i = 0; i < racing; ++i) made.push_back(make(known_));
  for (const OrderId id : made) send(id);
}

OrderId Operators::change_once() {
  const OrderId id = make(known_);
  send(id);
  return id;
}

void Operators::send(OrderId id) {
  Order& order = orders_.at(id);
  if (order.decided || cluster_.now() > order.give_up_at) return;
  const std::uint64_t attempt = ++order.attempt;
  cluster_.call_operator(any_edge(), call("/nettlestand/config/replace", order.base, order.body),
                         [this, id](std::uint32_t status, const std::string&) {
                           if (!cluster_.chance(answers_lost_)) on_answer(id, status);
                         });
  cluster_.scheduler().after(kAnswerMs, [this, id, attempt] {
    if (orders_.at(id).attempt == attempt) send(id);
  });
}

void Operators::on_answer(OrderId id, std::uint32_t status) {
  Order& order = orders_.at(id);
  if (status == kOk) {
    history_.on_order_acknowledged(cluster_.now(), id);
    if (!order.decided) longest_wait_ = std::max(longest_wait_, cluster_.now() - order.first_sent);
    order.decided = true;
    acknowledged_.insert(id);
    known_ = std::max(known_, order.version);
    // Now and then the same is sent once more.
    if (cluster_.chance(0.1)) {
      cluster_.call_operator(any_edge(), call("/nettlestand/config/replace", order.base, order.body),
                             [this, id](std::uint32_t again, const std::string&) { on_answer(id, again); });
    }
    return;
  }
  if (status == kConflict || status == kBadRequest) {
    history_.on_order_refused(id);
    order.decided = true;
    return read();
  }
  const std::uint64_t attempt = order.attempt;
  cluster_.scheduler().after(kPauseMs, [this, id, attempt] {
    if (orders_.at(id).attempt == attempt) send(id);
  });
}

void Operators::read() {
  const Millis started = cluster_.now();
  cluster_.call_operator(any_edge(), call("/nettlestand/config/read", 0, ""),
                         [this, started](std::uint32_t status, const std::string& body) {
                           if (status != kOk) return;
                           history_.on_read(started, cluster_.now(), body);
                           known_ = std::max(known_, version_of(body));
                         });
}

void Operators::retire(std::size_t store, std::function<void()> done) {
  const std::string path = "/nettlestand/retire/" + cluster_.machine(store).name + "/start";
  cluster_.call_operator(any_edge(), call(path, 0, "{\"deadline_s\":10}"),
                         [this, store, done](std::uint32_t status, const std::string&) {
                           if (status == kOk) poll_retired(store, done);
                         });
}

void Operators::poll_retired(std::size_t store, std::function<void()> done) {
  const std::string path = "/nettlestand/retire/" + cluster_.machine(store).name + "/read";
  cluster_.call_operator(
      any_edge(), call(path, 0, ""), [this, store, done](std::uint32_t, const std::string& body) {
        if (body.find("completed") != std::string::npos) return done();
        cluster_.scheduler().after(kRetirePollMs, [this, store, done] { poll_retired(store, done); });
      });
}

// ---------------------------------------------------------------- jobs

std::size_t JobClients::any_edge() {
  const std::vector<std::size_t> nodes = cluster_.machines_of(MachineKind::kEdge);
  return nodes[cluster_.random(nodes.size())];
}

std::string JobClients::tenant_of(const std::string& job) {
  return "t" + std::to_string(std::hash<std::string>()(job) % kTenants);
}

void JobClients::submit() {
  const std::string job = "job-" + std::to_string(++ids_);
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
  try_submit(job);
}

void JobClients::try_submit(const std::string& job) {
  Submission& submission = submissions_.at(job);
  if (submission.answered) return;
  if (submission.tries++ >= kSubmitTries) {
    // Like a front: what a store may have kept is never told to be refused.
    submission.answered = true;
    if (!submission.may_be_kept) history_.on_job_refused(job);
    return;
  }
  const std::size_t attempt = submission.tries;
  JobCall call{};
  call.kind = JobCallKind::kSubmit;
  call.tenant = submission.spec.tenant;
  call.job = job;
  call.spec.push_back(submission.spec);
  const bool sent = cluster_.call_store(any_edge(), call,
                                        [this, job](const JobReply& reply) { on_submit_reply(job, reply); });
  cluster_.scheduler().after(kSubmitWaitMs, [this, job, attempt, sent] {
    Submission& current = submissions_.at(job);
    if (current.answered || current.tries != attempt) return;
    if (sent) current.may_be_kept = true;
    try_submit(job);
  });
}

void JobClients::on_submit_reply(const std::string& job, const JobReply& reply) {
  Submission& submission = submissions_.at(job);
  if (reply.status == kAccepted) {
    submission.answered = true;
    return history_.on_job_accepted(job);
  }
  if (submission.answered) return;
  if (reply.status == kMoved || reply.status == kServerError) submission.may_be_kept = true;
  const bool refused = reply.status == kTooMany || reply.status == kUnavailable;
  if (refused && !submission.may_be_kept) {
    submission.answered = true;
    return history_.on_job_refused(job);
  }
  if (reply.status == kNotPrimary || reply.status == kMoved || refused) {
    const std::size_t attempt = submission.tries;
    cluster_.scheduler().after(kPauseMs, [this, job, attempt] {
      if (submissions_.at(job).tries == attempt) try_submit(job);
    });
  }
}

std::string JobClients::random_job() {
  const std::vector<std::string> jobs = history_.accepted_jobs();
  return jobs.empty() ? std::string() : jobs[cluster_.random(jobs.size())];
}

void JobClients::read_some() {
  if (const std::string job = random_job(); !job.empty()) read(job);
}

void JobClients::read(const std::string& job) {
  JobCall call{};
  call.kind = JobCallKind::kRead;
  call.tenant = tenant_of(job);
  call.job = job;
  const std::size_t listed = history_.listed(job);
  cluster_.call_store(any_edge(), call, [this, job, listed](const JobReply& reply) {
    if (reply.status == kOk) return on_page(job, listed, reply.body);
    if (reply.status == kNotFound) history_.on_job_missing(job, "a job");
  });
}

void JobClients::on_page(const std::string& job, std::size_t listed_before, const std::string& page) {
  rapidjson::Document document;
  document.Parse(page.c_str());
  if (document.HasParseError()) return history_.fail("a page of results can't be read");
  std::vector<std::string> items, texts;
  for (const auto& result : document["results"].GetArray()) {
    items.emplace_back(result["id"].GetString());
    texts.emplace_back(result["text"].GetString());
  }
  history_.on_results(job, listed_before, items, texts);
  const auto found = submissions_.find(job);
  for (const JobItem& item : found->second.spec.items) {
    if (!history_.is_listed(job, item.id) && cluster_.chance(0.2)) ask_body(job, item.id);
  }
}

void JobClients::ask_body(const std::string& job, const std::string& item) {
  JobCall call{};
  call.kind = JobCallKind::kBody;
  call.tenant = tenant_of(job);
  call.job = job;
  call.item = item;
  cluster_.call_store(any_edge(), call, [this, job, item](const JobReply& reply) {
    if (reply.status == kOk) history_.on_body(job, item, reply.body);
  });
}

void JobClients::end_some() {
  const std::string job = random_job();
  if (job.empty()) return;
  JobCall call{};
  call.kind = JobCallKind::kEnd;
  call.tenant = tenant_of(job);
  call.job = job;
  history_.on_job_end_asked(job);
  const auto on_reply = [this, job](const JobReply& reply) {
    if (reply.status == kNotFound) history_.on_job_missing(job, "a job that is to be ended");
    if (reply.status == kOk) history_.on_job_end_acknowledged(cluster_.now(), job);
  };
  cluster_.call_store(any_edge(), call, on_reply);
  // Other clients of the tenant ask for it once more, at any node.
  if (cluster_.chance(kEndAgain)) cluster_.call_store(any_edge(), call, on_reply);
}

}  // namespace nettlestand::tier::simulate
