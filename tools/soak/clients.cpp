#include "soak/clients.h"

#include <absl/strings/escaping.h>
#include <rapidjson/document.h>

#include <chrono>
#include <cstdlib>
#include <thread>

namespace nettlestand::tier::soak {
namespace {

constexpr Millis kConnectTimeoutMs = 1000;
// Sent as X-Deadline-Ms.
constexpr Millis kDeadlineMs = 4000;
// Longer than the deadline, so that a client receives the last response all the same.
constexpr Millis kClientTimeoutMs = 5500;
constexpr Millis kCallTimeoutMs = 4000;
constexpr Millis kReadIntervalMs = 150;
constexpr std::uint64_t kMaxThinkTimeMs = 12;
constexpr std::uint64_t kMaxRetryDelayMs = 40;  // of a client that does not heed Retry-After
constexpr std::size_t kMaxRetries = 3;
constexpr std::size_t kLargeBodyBytes = 180U << 10;
constexpr std::size_t kChunkBytes = 7000;
constexpr std::size_t kMaxSubmitAttempts = 6;
constexpr std::size_t kMaxUnfinishedJobs = 6;
constexpr int kOk = 200, kAccepted = 202, kNotFound = 404, kTooManyRequests = 429, kServiceUnavailable = 503;

// A body that no other request has.
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
    std::this_thread::sleep_for(std::chrono::milliseconds(random_below(kMaxThinkTimeMs)));
  }
}

// Like the platform, opens new connections only to nodes that report themselves as ready.
bool LiveClient::connect() { return connect_to(random_below(context_.world.edges())); }

bool LiveClient::connect_to(std::size_t node) {
  node_ = node;
  if (!context_.world.ready(node_)) return false;
  return connection_.open(context_.world.front_address(node_), kConnectTimeoutMs);
}

std::string LiveClient::next_id() {
  return "live-" + std::to_string(number_) + "-" + std::to_string(++last_request_number_);
}

LiveRequest LiveClient::next_request() {
  static constexpr const char* kRoutes[] = {"once", "resume", "again"};
  LiveRequest out;
  const std::size_t route = random_below(3);
  out.id = next_id();
  out.target = std::string("/") + kRoutes[route] + "/x?of=" + out.id;
  out.body = body_of(out.id, random_below(20) == 0 ? kLargeBodyBytes : random_below(2000));
  out.tenant = kTenant;
  out.idempotent = route != 0;
  out.node = node_;
  return out;
}

std::string LiveClient::encode_request(const LiveRequest& request, bool chunked) const {
  std::string out = "POST " + request.target + " HTTP/1.1\r\nHost: " + kHost +
                    "\r\nX-Api-Key: " + kPermanentKey + "\r\nX-Request-Id: " + request.id +
                    "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) + "\r\n";
  if (!chunked) {
    return out + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  }
  out += "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < request.body.size(); at += kChunkBytes) {
    const std::string chunk = request.body.substr(at, kChunkBytes);
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", chunk.size());
    out.append(size).append(chunk).append("\r\n");
  }
  return out + "0\r\n\r\n";
}

void LiveClient::request_once() {
  LiveRequest request = next_request();
  request.sent_at = steady_now();
  context_.oracle.on_sent(request);
  for (std::size_t retries = 0;; ++retries) {
    const standins::HttpResult answer = send(request);
    if (answer.status == kOk && answer.complete) return check_served(request, answer);
    if (!answer.complete || !guarantees_no_run(answer.status)) return;
    if (retries == kMaxRetries || !prepare_retry(request, answer)) return;
  }
}

// PROTOCOL.md gives each attempt an id of its own; clients that repeat the id are served as well.
bool LiveClient::prepare_retry(LiveRequest& request, const standins::HttpResult& refusal) {
  const auto after = refusal.headers.find("retry-after");
  const bool waits = after != refusal.headers.end() && random_below(2) == 0;
  const double seconds = waits ? std::strtod(after->second.c_str(), nullptr) : 0;
  const auto delay = std::chrono::milliseconds(waits ? static_cast<Millis>(1000 * seconds)
                                                     : static_cast<Millis>(random_below(kMaxRetryDelayMs)));
  std::this_thread::sleep_for(delay);
  connection_.close();
  const bool same_node = random_below(2) == 0;
  if (context_.stopping || !(same_node ? connect_to(node_) : connect())) return false;
  if (random_below(2) == 0) {
    context_.oracle.on_retry(request.id, node_, steady_now());
    return true;
  }
  request.id = next_id();
  request.node = node_;
  request.sent_at = steady_now();
  context_.oracle.on_sent(request);
  return true;
}

standins::HttpResult LiveClient::send(const LiveRequest& request) {
  const std::string bytes = encode_request(request, random_below(4) == 0);
  // Some clients disconnect in the middle of the response, or of their own request.
  const bool disconnects = random_below(50) == 0;
  const standins::HttpResult answer =
      connection_.exchange(bytes, disconnects ? 1 + static_cast<Millis>(random_below(20)) : kClientTimeoutMs);
  RequestOutcome outcome;
  outcome.status = answer.status;
  outcome.response_complete = answer.complete;
  outcome.request_sent = answer.whole_sent && !disconnects;
  outcome.from_server = answer.headers.contains("x-response-signature");
  outcome.ended_at = steady_now();
  context_.oracle.on_outcome(request.id, outcome);
  return answer;
}

void LiveClient::check_served(const LiveRequest& request, const standins::HttpResult& answer) {
  const auto signature = answer.headers.find("x-response-signature");
  const bool own = signature != answer.headers.end() && signature->second == "signature of " + request.id;
  if (!own)
    context_.oracle.report_violation("MIXED: a response without the signature of its request: " + request.id);
  if (answer.body != standins::Engine::whole_stream())
    context_.oracle.report_violation("ORDER: a complete response is not the expected event stream: " +
                                     request.id);
}

// ---------------------------------------------------------------- jobs

standins::HttpResult JobClient::call(const std::string& method, const std::string& target,
                                     const std::string& id, const std::string& body) {
  standins::PersistentConnection connection;  // a new connection for each call
  const std::size_t node = random_below(context_.world.edges());
  standins::HttpResult none;
  if (!context_.world.ready(node) || !connection.open(context_.world.front_address(node), kConnectTimeoutMs))
    return none;
  return connection.exchange(method + " " + target + " HTTP/1.1\r\nHost: " + kHost +
                                 "\r\nX-Api-Key: " + kPermanentKey + "\r\nX-Request-Id: " + id +
                                 "\r\nX-Wait-Ms: 200\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body,
                             kCallTimeoutMs);
}

void JobClient::run() {
  while (!context_.stopping) {
    const std::vector<SubmittedJob> unfinished = context_.oracle.unfinished_jobs();
    if (unfinished.size() < kMaxUnfinishedJobs && random_below(3) == 0) submit();
    const std::vector<SubmittedJob> accepted = context_.oracle.accepted_jobs();
    if (!accepted.empty()) read(accepted[random_below(accepted.size())]);
    if (!unfinished.empty()) read(unfinished[random_below(unfinished.size())]);
    if (!unfinished.empty() && random_below(4) == 0)
      read_item_body(unfinished[random_below(unfinished.size())]);
    if (!unfinished.empty() && random_below(8) == 0) end(unfinished[random_below(unfinished.size())]);
    std::this_thread::sleep_for(std::chrono::milliseconds(kReadIntervalMs));
  }
}

void JobClient::submit() {
  SubmittedJob job;
  job.id = "job-" + std::to_string(number_) + "-" + std::to_string(++last_job_number_);
  job.tenant = kTenant;
  const std::size_t items = 5 + random_below(40);
  std::string body = "{\"requests\":[";
  for (std::size_t i = 0; i < items; ++i) {
    const std::string item = job.id + "-" + std::to_string(i);
    const std::string bytes = body_of(item, random_below(3000));
    job.bodies.emplace(item, bytes);
    body += std::string(i > 0 ? "," : "") + "{\"id\":\"" + item +
            "\",\"path\":\"/jobs/x\",\"headers\":{},\"body\":\"" + absl::Base64Escape(bytes) +
            "\",\"tokens\":10}";
  }
  body += "]}";
  context_.oracle.on_job(job);
  bool rejected = true;
  for (std::size_t attempt = 0; attempt < kMaxSubmitAttempts; ++attempt) {
    const standins::HttpResult answer = call("POST", "/jobs/x", job.id, body);
    if (answer.status == kAccepted) return context_.oracle.on_job_submitted(job.id, true, false);
    rejected = rejected && (answer.status == kTooManyRequests || answer.status == kServiceUnavailable);
  }
  context_.oracle.on_job_submitted(job.id, false, rejected);
}

void JobClient::read(const SubmittedJob& job) {
  const standins::HttpResult answer =
      call("GET", "/nettlestand/lots/" + job.id + "?start_after=0", "read", "");
  if (!answer.complete) return;
  if (answer.status == kNotFound) return context_.oracle.on_job_missing(job.id);
  if (answer.status != kOk) return;
  rapidjson::Document page;
  page.Parse(answer.body.c_str());
  if (page.HasParseError())
    return context_.oracle.report_violation("MIXED: a page of results is not valid JSON: " + job.id);
  std::vector<std::string> items, texts;
  for (const auto& result : page["results"].GetArray()) {
    items.emplace_back(result["id"].GetString());
    texts.emplace_back(result["text"].GetString());
  }
  context_.oracle.on_result_page(job.id, items, texts);
}

void JobClient::read_item_body(const SubmittedJob& job) {
  auto item = job.bodies.begin();
  std::advance(item, static_cast<std::ptrdiff_t>(random_below(job.bodies.size())));
  const standins::HttpResult answer =
      call("GET", "/nettlestand/items/" + job.id + "?id=" + item->first, "body", "");
  if (answer.complete && answer.status == kOk && answer.body != item->second)
    context_.oracle.report_violation("MIXED: a read returned the wrong body of an item: " + item->first);
}

void JobClient::end(const SubmittedJob& job) {
  context_.oracle.on_job_end_requested(job.id);
  for (int i = 0; i < 2; ++i) {
    const standins::HttpResult answer = call("DELETE", "/nettlestand/lots/" + job.id, "end", "");
    if (answer.complete && answer.status == kNotFound) context_.oracle.on_job_missing(job.id);
  }
}

bool JobClient::finish(Millis timeout) {
  const Millis deadline = steady_now() + timeout;
  for (;;) {
    const std::vector<SubmittedJob> unfinished = context_.oracle.unfinished_jobs();
    if (unfinished.empty()) break;
    if (steady_now() >= deadline) return false;
    for (const SubmittedJob& job : unfinished) read(job);
  }
  for (const SubmittedJob& job : context_.oracle.accepted_jobs()) read(job);
  return true;
}

}  // namespace nettlestand::tier::soak
