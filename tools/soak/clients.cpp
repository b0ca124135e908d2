#include "soak/clients.h"

#include <absl/strings/escaping.h>
#include <rapidjson/document.h>

#include <chrono>
#include <thread>

namespace nettlestand::tier::soak {
namespace {

constexpr Millis kConnectMs = 1000;
constexpr Millis kDeadlineMs = 4000;
constexpr Millis kClientPatienceMs = 5500;  // beyond its deadline a client hears the last word all the same
constexpr Millis kCallMs = 4000;
constexpr Millis kReadEveryMs = 150;
constexpr std::uint64_t kThinkMs = 12;
constexpr std::size_t kLargeBody = 180U << 10;
constexpr std::size_t kChunk = 7000;
constexpr std::size_t kSubmitTries = 6;
constexpr std::size_t kMostOpenJobs = 6;
constexpr int kOk = 200, kAccepted = 202, kNotFound = 404, kTooMany = 429, kUnavailable = 503;

// Bytes that belong to one request alone.
std::string body_of(const std::string& id, std::size_t size) {
  std::string out = "body of " + id + ";";
  while (out.size() < size) out += id;
  return out;
}

}  // namespace

// ---------------------------------------------------------------- live requests

void LiveClient::run() {
  while (!context_.stopping) {
    if (!connection_.is_open() && !connect()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      continue;
    }
    request_once();
    std::this_thread::sleep_for(std::chrono::milliseconds(below(kThinkMs)));
  }
}

// As the platform does, only nodes that say they are ready get new connections.
bool LiveClient::connect() {
  node_ = below(context_.world.edges());
  if (!context_.world.ready(node_)) return false;
  return connection_.open(context_.world.front_address(node_), kConnectMs);
}

LiveRequest LiveClient::next_request() {
  static constexpr const char* kRoutes[] = {"once", "resume", "again"};
  LiveRequest out;
  const std::size_t route = below(3);
  out.id = "live-" + std::to_string(number_) + "-" + std::to_string(++sent_);
  out.target = std::string("/") + kRoutes[route] + "/x?of=" + out.id;
  out.body = body_of(out.id, below(20) == 0 ? kLargeBody : below(2000));
  out.tenant = kTenant;
  out.repeatable = route != 0;
  out.node = node_;
  return out;
}

std::string LiveClient::bytes_of(const LiveRequest& request, bool chunked) const {
  std::string out = "POST " + request.target + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nX-Api-Key: " + kLastingKey + "\r\nX-Request-Id: " + request.id +
                    "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n";
  if (!chunked) {
    return out + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  }
  out += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < request.body.size(); at += kChunk) {
    const std::string chunk = request.body.substr(at, kChunk);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
    out.append(size).append(chunk).append("\r\n");
  }
  return out + "0\r\n\r\n";
}

void LiveClient::request_once() {
  LiveRequest request = next_request();
  const std::string bytes = bytes_of(request, below(4) == 0);
  request.sent_at = steady_now();
  context_.ledger.on_sent(request);
  // Some leave in the middle of their answer, or of their own request.
  const bool leaves = below(50) == 0;
  const standins::HttpResult answer =
      connection_.exchange(bytes, leaves ? 1 + static_cast<Millis>(below(20)) : kClientPatienceMs);
  Outcome outcome;
  outcome.status = answer.status;
  outcome.complete = answer.complete;
  outcome.whole_sent = answer.whole_sent && !leaves;
  outcome.ended_at = steady_now();
  context_.ledger.on_outcome(request.id, outcome);
  if (answer.status != kOk || !answer.complete) return;
  const auto signature = answer.headers.find("x-response-signature");
  const bool own = signature != answer.headers.end() && signature->second == "signature of " + request.id;
  if (!own) context_.ledger.fail("MIXED: an answer without its signature: " + request.id);
  if (answer.body != standins::Engine::whole_stream())
    context_.ledger.fail("ORDER: a complete answer is not whole: " + request.id);
}

// ---------------------------------------------------------------- jobs

standins::HttpResult JobClient::call(const std::string& method, const std::string& target,
                                     const std::string& id, const std::string& body) {
  standins::KeptConnection connection;  // a new one for each call
  const std::size_t node = below(context_.world.edges());
  standins::HttpResult none;
  if (!context_.world.ready(node) || !connection.open(context_.world.front_address(node), kConnectMs))
    return none;
  return connection.exchange(method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
                                 "\r\nX-Api-Key: " + kLastingKey + "\r\nX-Request-Id: " + id +
                                 "\r\nX-Wait-Ms: 200\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body,
                             kCallMs);
}

void JobClient::run() {
  while (!context_.stopping) {
    const std::vector<SubmittedJob> open = context_.ledger.open_jobs();
    if (open.size() < kMostOpenJobs && below(3) == 0) submit();
    const std::vector<SubmittedJob> accepted = context_.ledger.accepted_jobs();
    if (!accepted.empty()) read(accepted[below(accepted.size())]);
    if (!open.empty()) read(open[below(open.size())]);
    if (!open.empty() && below(4) == 0) ask_body(open[below(open.size())]);
    if (!open.empty() && below(8) == 0) end(open[below(open.size())]);
    std::this_thread::sleep_for(std::chrono::milliseconds(kReadEveryMs));
  }
}

void JobClient::submit() {
  SubmittedJob job;
  job.id = "job-" + std::to_string(number_) + "-" + std::to_string(++jobs_);
  job.tenant = kTenant;
  const std::size_t items = 5 + below(40);
  std::string body = "{\"requests\":[";
  for (std::size_t i = 0; i < items; ++i) {
    const std::string item = job.id + "-" + std::to_string(i);
    const std::string bytes = body_of(item, below(3000));
    job.bodies.emplace(item, bytes);
    body += std::string(i > 0 ? "," : "") + "{\"id\":\"" + item +
            "\",\"path\":\"/jobs/x\",\"headers\":{},\"body\":\"" + absl::Base64Escape(bytes) +
            "\",\"tokens\":10}";
  }
  body += "]}";
  context_.ledger.on_job(job);
  bool refused = true;
  for (std::size_t tries = 0; tries < kSubmitTries; ++tries) {
    const standins::HttpResult answer = call("POST", "/jobs/x", job.id, body);
    if (answer.status == kAccepted) return context_.ledger.on_job_answer(job.id, true, false);
    refused = refused && (answer.status == kTooMany || answer.status == kUnavailable);
  }
  context_.ledger.on_job_answer(job.id, false, refused);
}

void JobClient::read(const SubmittedJob& job) {
  const standins::HttpResult answer =
      call("GET", "/nettlestand/lots/" + job.id + "?start_after=0", "read", "");
  if (!answer.complete) return;
  if (answer.status == kNotFound) return context_.ledger.on_job_missing(job.id);
  if (answer.status != kOk) return;
  rapidjson::Document page;
  page.Parse(answer.body.c_str());
  if (page.HasParseError()) return context_.ledger.fail("MIXED: a page that can't be read: " + job.id);
  std::vector<std::string> items, texts;
  for (const auto& result : page["results"].GetArray()) {
    items.emplace_back(result["id"].GetString());
    texts.emplace_back(result["text"].GetString());
  }
  context_.ledger.on_page(job.id, items, texts);
}

void JobClient::ask_body(const SubmittedJob& job) {
  auto item = job.bodies.begin();
  std::advance(item, static_cast<std::ptrdiff_t>(below(job.bodies.size())));
  const standins::HttpResult answer =
      call("GET", "/nettlestand/items/" + job.id + "?id=" + item->first, "body", "");
  if (answer.complete && answer.status == kOk && answer.body != item->second)
    context_.ledger.fail("MIXED: a body with other bytes: " + item->first);
}

void JobClient::end(const SubmittedJob& job) {
  context_.ledger.on_job_end_asked(job.id);
  for (int i = 0; i < 2; ++i) {
    const standins::HttpResult answer = call("DELETE", "/nettlestand/lots/" + job.id, "end", "");
    if (answer.complete && answer.status == kNotFound) context_.ledger.on_job_missing(job.id);
  }
}

bool JobClient::finish(Millis patience) {
  const Millis until = steady_now() + patience;
  for (;;) {
    const std::vector<SubmittedJob> open = context_.ledger.open_jobs();
    if (open.empty()) break;
    if (steady_now() >= until) return false;
    for (const SubmittedJob& job : open) read(job);
  }
  for (const SubmittedJob& job : context_.ledger.accepted_jobs()) read(job);
  return true;
}

}  // namespace nettlestand::tier::soak
