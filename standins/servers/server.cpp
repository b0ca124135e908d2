#include "standins/servers/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <cstdlib>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "standins/common/http.h"

namespace nettlestand::standins {
namespace {

constexpr std::size_t kNone = static_cast<std::size_t>(-1);
constexpr double kMinTrickleInterval = 0.02;  // s between the writes of a trickled response
constexpr double kIdleCheckInterval = 0.05;   // s between checks for idle connections
constexpr double kOverloadWindow = 1;         // s over which the work that a cold server receives is summed

// Bytes that aren't a valid HTTP head, as one block that ends with an empty line.
std::string random_bytes(std::mt19937_64& random) {
  std::string out;
  for (int i = 0; i < 80; ++i) out += static_cast<char>(33 + random() % 200);
  return out + "\r\n\r\n";
}

}  // namespace

bool DedupStore::check_duplicate(const std::string& key, double at, double window) {
  const auto [it, fresh] = last_run_at_.try_emplace(key, at);
  if (!fresh && at - it->second < window) return true;
  it->second = at;
  return false;
}

std::string answer_body(std::string_view id, std::uint64_t body_digest, std::size_t bytes) {
  std::string out = "answer to ";
  out.append(id).append(" #").append(hex(body_digest));
  if (out.size() < bytes) {
    out += '\n';
    out.resize(std::max(bytes, out.size()), '.');
  }
  return out;
}

class ScriptedServer::Impl : public Watcher {
 public:
  Impl(Loop& loop, ServerSettings settings)
      : settings(std::move(settings)), loop_(loop), random_(this->settings.seed) {
    if (!this->settings.dedup_store) this->settings.dedup_store = std::make_shared<DedupStore>();
    // Keeps the port bound while the listener is closed, so that the kernel doesn't give it to another
    // socket.
    port_holder_ = listen_on(Address{this->settings.ip, this->settings.port}, -1, this->settings.shared_port);
    port = port_of(port_holder_.get());
    update_listener();
    if (this->settings.idle_timeout > 0) close_idle_periodically();
  }
  ~Impl() override {
    if (listening_) loop_.remove(listener_.get());
    while (!connections_.empty()) close(*connections_.begin()->second, Closer::kServer, false);
  }

  void ready(std::uint32_t) override { accept(); }

  std::uint64_t begin(const Fault& fault) {
    const std::uint64_t id = ++last_fault_;
    faults_.emplace(id, Active{fault, 0, false});
    if (fault.at > 0) {
      after(fault.at, [this, id] { activate(id); });
    } else {
      activate(id);
    }
    return id;
  }
  void end(std::uint64_t id) {
    const auto it = faults_.find(id);
    if (it == faults_.end()) return;
    const FaultKind kind = it->second.fault.kind;
    faults_.erase(it);
    if (kind == FaultKind::kCold) cold_ = {};
    update_listener();
  }
  void clear_faults() {
    faults_.clear();
    cold_ = {};
    crashed_from_overload = false;
    update_listener();
  }

  ServerSettings settings;
  int port = 0;
  Counts counts;
  bool crashed_from_overload = false;

 private:
  // A scheduled or active fault; `count` is the number of events that it was matched against.
  struct Active {
    Fault fault;
    int count;
    bool on;
  };
  // A cold start: the speed rises from `share` to 1 within `ramp` s; more than `overload_factor` times the
  // work that the server can do crashes it.
  struct Cold {
    double since = 0, share = 1, ramp = 0, overload_factor = kForever;
  };
  // A request that waits for a core, or is being processed.
  struct Job {
    std::uint64_t connection = 0;
    std::size_t attempt = kNone;
    double work = 0;
  };
  // Pending output of a connection, and how it is to be written.
  struct ResponsePlan {
    std::string bytes;
    std::size_t sent = 0;
    std::size_t allowed = kNone;   // bytes that may be written so far
    std::size_t stop_at = kNone;   // the connection is closed after this many bytes
    std::size_t pause_at = kNone;  // writing pauses after this many bytes
    double pause = 0, rate = 0;    // s; bytes/s, 0: unlimited
    bool held = false;             // writing is suspended
    bool reset = false;            // close with RST rather than FIN at stop_at
    bool close_after = false;
    std::string second;  // duplicate of the response, written after `gap` s
    double gap = 0;
  };

  class Connection : public Watcher {
   public:
    Connection(Impl& owner, Fd fd, std::uint64_t id) : owner(owner), fd(std::move(fd)), id(id) {}
    void ready(std::uint32_t events) override {
      if (!this->fd) return;
      if ((events & EPOLLOUT) != 0) owner.write_pending(*this);
      if (this->fd && (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) owner.read(*this);
    }

    Impl& owner;
    Fd fd;
    const std::uint64_t id;
    std::size_t record = kNone;   // index of its ConnectionRecord
    std::size_t attempt = kNone;  // index of the AttemptRecord of the current request
    std::string in;
    bool in_body = false, busy = false, answered_early = false, keep = true, wants_out = false;
    double first_byte_at = 0, used_at = 0, last_arrival_at = 0, work = 0;
    std::string request, key;  // Request-Id and Idempotency-Key of the current request
    BodyReader body;
    ResponsePlan plan;
    std::uint64_t plan_serial = 0;
  };

  // ------------------------------------------------------------ faults

  void after(double seconds, std::function<void()> f) {
    loop_.after(seconds, [alive = std::weak_ptr<int>(alive_), f = std::move(f)] {
      if (!alive.expired()) f();
    });
  }

  void activate(std::uint64_t id) {
    const auto it = faults_.find(id);
    if (it == faults_.end()) return;
    it->second.on = true;
    const Fault fault = it->second.fault;
    if (fault.duration < kForever) after(fault.duration, [this, id] { end(id); });
    if (fault.kind == FaultKind::kCold) {
      cold_ = {now(), fault.arg1, fault.arg2, fault.arg3};
      recent_work_.clear();
      recent_work_sum_ = 0;
    }
    if (fault.kind == FaultKind::kCrash) reset_all();
    if (fault.kind == FaultKind::kCloseIdle) close_idle(0);
    if (fault.kind == FaultKind::kIdle) close_idle_periodically();
    update_listener();
  }

  // Returns an active fault of this kind (and with this text, unless null) that applies to the current event,
  // honouring its `every` and `chance`; null if there is none.
  const Fault* next_match(FaultKind kind, const char* word = nullptr) {
    for (auto& [id, active] : faults_) {
      if (!active.on || active.fault.kind != kind) continue;
      if (word != nullptr && active.fault.text != word) continue;
      if (++active.count % active.fault.every != 0) continue;
      if (active.fault.chance < 1 && uniform() >= active.fault.chance) continue;
      return &active.fault;
    }
    return nullptr;
  }
  // Returns an active fault of this kind, without regard to `every` and `chance`.
  const Fault* active_fault(FaultKind kind) const {
    for (const auto& [id, active] : faults_) {
      if (active.on && active.fault.kind == kind) return &active.fault;
    }
    return nullptr;
  }
  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

  bool refuses_all() const {
    return crashed_from_overload || active_fault(FaultKind::kCrash) != nullptr ||
           std::any_of(faults_.begin(), faults_.end(), [](const auto& entry) {
             const auto& [fault, count, is_on] = entry.second;
             return is_on && fault.kind == FaultKind::kRefuse && fault.every == 1 && fault.chance >= 1;
           });
  }

  // Opens, closes or blocks the listener according to the active faults.
  void update_listener() {
    const bool closed = refuses_all();
    const bool hangs = active_fault(FaultKind::kHang) != nullptr;
    const bool accepts = !closed && !hangs && active_fault(FaultKind::kNoAccept) == nullptr;
    if (listening_ && !accepts) {
      loop_.remove(listener_.get());
      listening_ = false;
    }
    if (closed) {
      listener_.close();
      queue_filler_.close();
      return;
    }
    if (!listener_) listener_ = listen_on(Address{settings.ip, port}, 4096, settings.shared_port);
    if (hangs && !queue_filler_) {
      // A backlog of 0 leaves space for one connection in the accept queue. With that taken by a connection
      // of our own, further connects get no reply.
      listen(listener_.get(), 0);
      queue_filler_ = connect_to(Address{settings.ip, port});
      queue_filler_port_ = port_of(queue_filler_.get());
    } else if (!hangs && queue_filler_) {
      listen(listener_.get(), 4096);
      queue_filler_.close();
    }
    if (accepts && !listening_) {
      loop_.add(listener_.get(), EPOLLIN, this);
      listening_ = true;
    }
  }

  // Drops all jobs and resets all connections, as a crash does.
  void reset_all() {
    waiting_.clear();
    working_ = 0;
    ++generation_;
    while (!connections_.empty()) close(*connections_.begin()->second, Closer::kServer, true);
  }

  void close_idle(double min_idle) {
    std::vector<Connection*> idle;
    for (const auto& [id, c] : connections_) {
      if (!c->busy && c->in.empty() && !c->in_body && now() - c->used_at >= min_idle) idle.push_back(c.get());
    }
    for (Connection* c : idle) close(*c, Closer::kServer, false);
  }

  void close_idle_periodically() {
    if (idle_check_scheduled_) return;
    const Fault* fault = active_fault(FaultKind::kIdle);
    const double limit = fault != nullptr ? fault->arg1 : settings.idle_timeout;
    if (limit <= 0) return;
    close_idle(limit);
    idle_check_scheduled_ = true;
    after(kIdleCheckInterval, [this] {
      idle_check_scheduled_ = false;
      close_idle_periodically();
    });
  }

  // ------------------------------------------------------------ connections

  void accept() {
    for (int i = 0; i < 256 && listening_; ++i) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      Fd fd(
          accept4(listener_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC | SOCK_NONBLOCK));
      if (!fd) return;
      if (queue_filler_port_ != 0 && ntohs(from.sin_port) == queue_filler_port_) {
        queue_filler_port_ = 0;
        continue;
      }
      const int no_delay = 1;
      setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
      ++counts.connections;
      auto made = std::make_unique<Connection>(*this, std::move(fd), ++last_connection_);
      Connection& c = *made;
      c.used_at = now();
      if (settings.recorder != nullptr) {
        c.record =
            settings.recorder->open(ConnectionRecord{settings.name, port, ntohs(from.sin_port), c.used_at});
      }
      loop_.add(c.fd.get(), EPOLLIN | EPOLLRDHUP, &c);
      connections_.emplace(c.id, std::move(made));
      counts.open = connections_.size();
      if (faults_.empty()) continue;
      if (next_match(FaultKind::kReject) != nullptr || next_match(FaultKind::kRefuse) != nullptr) {
        close(c, Closer::kServer, true);
      } else if (next_match(FaultKind::kEarly, "accept") != nullptr) {
        const std::string body = "answer to nobody";
        c.plan.bytes = response_head(200, body.size(), false, false) + body;
        write_pending(c);
      }
    }
  }

  Connection* find(std::uint64_t id) {
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second.get();
  }

  void close(Connection& c, Closer by, bool reset) {
    if (settings.recorder != nullptr) {
      settings.recorder->connection(c.record, [&](ConnectionRecord& r) {
        r.closed_at = now();
        r.closed_by = by;
        r.reset = reset;
      });
      if (c.attempt != kNone)
        update_attempt(c.attempt, [](AttemptRecord& r) { r.connection_lost_at = now(); });
    }
    if (reset && by == Closer::kServer) set_reset_on_close(c.fd.get());
    loop_.remove(c.fd.get());
    c.fd.close();
    const auto it = connections_.find(c.id);
    loop_.destroy_later(std::move(it->second));
    connections_.erase(it);
    counts.open = connections_.size();
  }

  template <class Change>
  void update_attempt(std::size_t attempt, Change&& change) {
    if (attempt != kNone) settings.recorder->attempt(attempt, std::forward<Change>(change));
  }

  // ------------------------------------------------------------ requests

  void read(Connection& c) {
    const ssize_t got = recv(c.fd.get(), scratch_.data(), scratch_.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) return close(c, Closer::kPeer, got < 0);
    if (settings.recorder != nullptr) {
      c.last_arrival_at = last_data_received_at(c.fd.get());
      if (c.in.empty() && !c.in_body) c.first_byte_at = c.last_arrival_at;
    }
    c.in.append(scratch_.data(), static_cast<std::size_t>(got));
    parse(c);
  }

  void parse(Connection& c) {
    const std::uint64_t id = c.id;
    try {
      while (!c.busy && !c.in.empty()) {
        if (!c.in_body && !take_head(c)) break;
        c.in.erase(0, c.body.take(c.in));
        if (!c.body.done()) break;
        on_request(c);
        if (find(id) == nullptr) return;
      }
    } catch (const MessageError&) {
      if (find(id) != nullptr) close(c, Closer::kServer, false);
    }
  }

  bool take_head(Connection& c) {
    const std::optional<MessageHead> head = parse_head(c.in);
    if (!head) return false;
    c.request = head->field("request-id");
    c.key.clear();
    c.answered_early = false;
    c.keep = !head->close;
    c.attempt = kNone;
    if (settings.recorder != nullptr && !c.request.empty()) {
      AttemptRecord r;
      r.server = settings.name;
      r.port = port;
      r.connection = c.record;
      r.id = c.request;
      r.request_class = head->field("request-class");
      r.tenant = head->field("tenant");
      r.key = head->field("idempotency-key");
      r.fencing_token = std::strtoull(std::string(head->field("fencing-token")).c_str(), nullptr, 10);
      r.method = head->word(0);
      r.first_byte_at = c.first_byte_at;
      c.attempt = settings.recorder->open(std::move(r));
    }
    if (!faults_.empty()) c.key = head->field("idempotency-key");
    c.work = draw_service_time(*head);
    c.body = head->chunked ? BodyReader(BodyReader::Kind::kChunked)
                           : BodyReader(BodyReader::Kind::kLength, head->length.value_or(0));
    c.in.erase(0, head->size);
    c.in_body = true;
    if (!faults_.empty() && !c.request.empty() && next_match(FaultKind::kEarly, "head") != nullptr) {
      c.answered_early = true;
      const std::string body = "early answer to " + c.request;
      record_answer(c, 200, false, digest_of(body));
      c.plan.bytes += response_head(200, body.size(), false, false) + body;
      write_pending(c);
    }
    return true;
  }

  double draw_service_time(const MessageHead& head) {
    double mean = settings.service_time;
    if (!settings.class_service_times.empty()) {
      const auto it = settings.class_service_times.find(std::string(head.field("request-class")));
      if (it != settings.class_service_times.end()) mean = it->second;
    }
    if (mean <= 0 || !settings.exponential) return mean;
    return std::exponential_distribution<>(1 / mean)(random_);
  }

  // Handles a request that has been received completely.
  void on_request(Connection& c) {
    c.in_body = false;
    c.used_at = now();
    if (!c.in.empty()) c.first_byte_at = c.last_arrival_at;
    if (c.request.empty()) return answer(c, 404, false, "");
    ++counts.requests;
    if (c.attempt != kNone) {
      update_attempt(c.attempt, [&](AttemptRecord& r) {
        r.last_byte_at = c.last_arrival_at;
        r.body_digest = c.body.digest();
      });
      settings.recorder->connection(c.record, [](ConnectionRecord& r) { ++r.served; });
    }
    if (cold_.since > 0 && overloads(c.work)) return crash_from_overload();
    if (c.answered_early) {
      ++counts.executed;
      update_attempt(c.attempt, [](AttemptRecord& r) {
        r.executed = true;
        r.finished_at = r.answered_at = now();
      });
      c.attempt = kNone;
      return;
    }
    if (!faults_.empty()) {
      if (next_match(FaultKind::kDrain) != nullptr) {
        c.keep = false;
        return reject(c);
      }
      if (next_match(FaultKind::kNotStarted) != nullptr) return reject(c);
      if (const Fault* dedup = active_fault(FaultKind::kDedup); dedup != nullptr && !c.key.empty()) {
        if (settings.dedup_store->check_duplicate(c.key, now(), dedup->arg1)) {
          update_attempt(c.attempt, [](AttemptRecord& r) { r.repeat = true; });
          return answer(c, 200, false, response_body(c));
        }
      }
    }
    if (settings.cores > 0 && working_ >= settings.cores && waiting_.size() >= settings.queue_limit) {
      return reject(c);
    }
    ++counts.executed;
    update_attempt(c.attempt, [](AttemptRecord& r) { r.executed = true; });
    if (next_match(FaultKind::kResetAfterRequest) != nullptr) return close(c, Closer::kServer, true);
    if (!faults_.empty()) {
      if (const Fault* error = next_match(FaultKind::kError); error != nullptr && uniform() < error->arg1) {
        return answer(c, static_cast<int>(error->arg2), false, "error");
      }
      if (next_match(FaultKind::kSilent) != nullptr) {
        c.busy = true;
        return;
      }
    }
    if (c.work <= 0 && settings.cores == 0) {
      ++counts.answered;
      update_attempt(c.attempt, [](AttemptRecord& r) { r.finished_at = now(); });
      return answer(c, 200, false, response_body(c));
    }
    c.busy = true;
    waiting_.push_back({c.id, c.attempt, c.work});
    start_jobs();
  }

  std::string response_body(const Connection& c) const {
    const Fault* size = active_fault(FaultKind::kSize);
    return answer_body(c.request, c.body.digest(),
                       size != nullptr ? static_cast<std::size_t>(size->arg1) : settings.answer_bytes);
  }

  void reject(Connection& c) {
    ++counts.rejected;
    answer(c, 503, true, "not started");
  }

  void start_jobs() {
    while (!waiting_.empty() && (settings.cores == 0 || working_ < settings.cores)) {
      const Job job = std::move(waiting_.front());
      waiting_.pop_front();
      ++working_;
      double took = job.work / speed();
      for (const auto& [id, active] : faults_) {
        if (active.on && active.fault.kind == FaultKind::kSlower) took *= active.fault.arg1;
      }
      after(took, [this, job, generation = generation_] {
        if (generation != generation_) return;  // the server has crashed since
        --working_;
        ++counts.answered;
        update_attempt(job.attempt, [](AttemptRecord& r) { r.finished_at = now(); });
        if (Connection* c = find(job.connection); c != nullptr && c->attempt == job.attempt) {
          answer(*c, 200, false, response_body(*c));
        }
        start_jobs();
      });
    }
  }

  // ------------------------------------------------------------ cold starts

  // Fraction of the full processing speed; below 1 during a cold start.
  double speed() const {
    if (cold_.since <= 0 || cold_.ramp <= 0) return 1;
    return std::min(1.0, cold_.share + (1 - cold_.share) * (now() - cold_.since) / cold_.ramp);
  }

  // Adds `work` to the recent work of a cold server and returns whether that exceeds what it tolerates.
  bool overloads(double work) {
    const double at = now();
    if (at - cold_.since >= cold_.ramp) return false;
    recent_work_.emplace_back(at, work);
    recent_work_sum_ += work;
    while (recent_work_.front().first < at - kOverloadWindow) {
      recent_work_sum_ -= recent_work_.front().second;
      recent_work_.pop_front();
    }
    return recent_work_sum_ > cold_.overload_factor * cold_capacity();
  }
  // Work (s) that the server can do within kOverloadWindow at its current speed.
  double cold_capacity() const { return std::max(1, settings.cores) * speed() * kOverloadWindow; }

  void crash_from_overload() {
    if (settings.recorder != nullptr) {
      settings.recorder->add(OverloadRecord{settings.name, now(), recent_work_sum_, cold_capacity()});
    }
    crashed_from_overload = true;
    reset_all();
    update_listener();
  }

  // ------------------------------------------------------------ responses

  static std::string response_head(int status, std::size_t length, bool not_started, bool close) {
    std::string out = status == 200   ? "HTTP/1.1 200 OK\r\n"
                      : status == 503 ? "HTTP/1.1 503 Service Unavailable\r\n"
                                      : "HTTP/1.1 " + std::to_string(status) + " Other\r\n";
    if (not_started) out += "Not-Started: 1\r\n";
    if (close) out += "Connection: close\r\n";
    return out + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }

  void record_answer(const Connection& c, int status, bool not_started, std::uint64_t digest) {
    update_attempt(c.attempt, [&](AttemptRecord& r) {
      r.status = status;
      r.not_started = not_started;
      r.answer_digest = digest;
    });
  }

  void answer(Connection& c, int status, bool not_started, const std::string& body) {
    if (faults_.empty() && c.keep && settings.recorder == nullptr) {
      c.plan.bytes += response_head(status, body.size(), not_started, false);
      c.plan.bytes += body;
      return write_pending(c);
    }
    ResponsePlan plan;
    plan.close_after = !c.keep;
    plan.bytes = c.plan.bytes.substr(c.plan.sent);  // the unsent part of an early response
    const std::size_t before = plan.bytes.size();
    plan.bytes += response_head(status, body.size(), not_started, !c.keep);
    const std::size_t head = plan.bytes.size();
    plan.bytes += body;
    std::uint64_t digest = digest_of(body);
    bool too_short = false;
    if (!faults_.empty() && !c.request.empty()) {
      if (const Fault* f = next_match(FaultKind::kTrailers); f != nullptr) {
        std::string lines;
        for (const char ch : f->text) lines += ch == '\n' ? std::string("\r\n") : std::string(1, ch);
        plan.bytes.resize(plan.bytes.find("Content-Length", before));
        plan.bytes += "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk_of(body)) + "0\r\n" +
                      lines + "\r\n";
      }
      if (const Fault* f = next_match(FaultKind::kGarble); f != nullptr) {
        plan.bytes.resize(before);
        plan.bytes += garbled_response(f->text, status, body);
        too_short = f->text == "long";
        plan.close_after = plan.close_after || too_short;
        digest = f->text == "short" ? digest_of(body.substr(0, body.size() / 2)) : 0;
        if (f->text != "short") status = 0;
      }
      apply_write_faults(plan, head, too_short);
    }
    record_answer(c, status, not_started, digest);
    const double late = response_delay_;
    response_delay_ = 0;
    c.busy = true;
    c.plan = std::move(plan);
    ++c.plan_serial;
    if (late > 0) {
      c.plan.held = true;
      return schedule_for(c, late, [this](Connection& then) { resume_write(then); });
    }
    resume_write(c);
  }

  std::string garbled_response(const std::string& how, int status, const std::string& body) {
    if (how == "head") return random_bytes(random_) + body;
    if (how == "chunks") {
      std::string out = response_head(status, 0, false, false);
      out.resize(out.find("Content-Length"));
      return out + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body;
    }
    return response_head(status, how == "short" ? body.size() / 2 : body.size() + 10, false, false) + body;
  }

  // Applies the faults that affect how a response is written.
  void apply_write_faults(ResponsePlan& plan, std::size_t head, bool too_short) {
    // A duplicate right behind a response that is too short would be read as its missing bytes.
    if (const Fault* f = next_match(FaultKind::kTwice); f != nullptr && !too_short) {
      if (f->arg1 <= 0) {
        plan.bytes += std::string(plan.bytes);
      } else {
        plan.second = plan.bytes;
        plan.gap = f->arg1;
      }
    }
    if (const Fault* f = next_match(FaultKind::kLate); f != nullptr) response_delay_ = f->arg1;
    if (const Fault* f = next_match(FaultKind::kTrickle); f != nullptr) {
      plan.rate = f->arg1;
      plan.allowed = 0;
    }
    const std::size_t size = plan.bytes.size();
    if (const Fault* f = next_match(FaultKind::kPause); f != nullptr) {
      plan.pause = f->arg1;
      plan.pause_at = f->arg2 >= 0 ? std::min(size, static_cast<std::size_t>(f->arg2)) : size / 2;
    }
    if (const Fault* f = next_match(FaultKind::kCut); f != nullptr) {
      plan.stop_at = f->arg1 >= 0 ? head + static_cast<std::size_t>(f->arg1) : (head + size) / 2;
    }
    if (const Fault* f = next_match(FaultKind::kResetAnswer); f != nullptr) {
      plan.stop_at = static_cast<std::size_t>(f->arg1);
      plan.reset = true;
    }
    plan.stop_at = plan.stop_at < size ? plan.stop_at : kNone;
  }

  // Calls `f` after a delay, unless the connection is closed or has gone on to another response by then.
  void schedule_for(Connection& c, double seconds, std::function<void(Connection&)> f) {
    after(seconds, [this, id = c.id, serial = c.plan_serial, f = std::move(f)] {
      if (Connection* then = find(id); then != nullptr && then->plan_serial == serial) f(*then);
    });
  }

  void resume_write(Connection& c) {
    c.plan.held = false;
    if (c.plan.rate > 0) return trickle(c);
    write_pending(c);
  }

  void trickle(Connection& c) {
    const double step = std::max(kMinTrickleInterval, 1 / c.plan.rate);
    c.plan.allowed += static_cast<std::size_t>(std::max(1.0, c.plan.rate * step));
    const std::uint64_t serial = c.plan_serial;
    schedule_for(c, step, [this](Connection& then) {
      if (!then.plan.held && then.plan.allowed < then.plan.bytes.size()) trickle(then);
    });
    if (serial == c.plan_serial) write_pending(c);
  }

  // Writes the part of the pending output that is allowed so far.
  void write_pending(Connection& c) {
    ResponsePlan& plan = c.plan;
    if (plan.held) return;
    const std::size_t until = std::min({plan.bytes.size(), plan.allowed, plan.stop_at, plan.pause_at});
    while (plan.sent < until) {
      const ssize_t put = send(c.fd.get(), plan.bytes.data() + plan.sent, until - plan.sent, MSG_NOSIGNAL);
      if (put < 0 && errno != EAGAIN) return close(c, Closer::kPeer, true);
      if (put < 0) break;
      plan.sent += static_cast<std::size_t>(put);
    }
    if (const bool wants = plan.sent < until; wants != c.wants_out) {
      c.wants_out = wants;
      loop_.modify(c.fd.get(), EPOLLIN | EPOLLRDHUP | (wants ? static_cast<std::uint32_t>(EPOLLOUT) : 0U),
                   &c);
    }
    if (plan.sent >= plan.stop_at) return close(c, Closer::kServer, plan.reset);
    if (plan.sent == plan.pause_at) {
      plan.pause_at = kNone;
      plan.held = true;
      return schedule_for(c, plan.pause, [this](Connection& then) { resume_write(then); });
    }
    if (plan.sent == plan.bytes.size()) on_response_written(c);
  }

  void on_response_written(Connection& c) {
    const ResponsePlan plan = std::exchange(c.plan, {});
    if (!plan.second.empty()) send_duplicate(c.id, plan.second, plan.gap);
    if (!c.busy) return;
    ++c.plan_serial;
    update_attempt(c.attempt, [](AttemptRecord& r) { r.answered_at = now(); });
    c.attempt = kNone;
    if (plan.close_after) return close(c, Closer::kServer, false);
    c.busy = false;
    c.used_at = now();
    parse(c);
  }

  // Writes a duplicate response after `gap` s. The connection accepts the next request in between, so the
  // duplicate can be taken for the response to that one.
  void send_duplicate(std::uint64_t connection, const std::string& bytes, double gap) {
    after(gap, [this, connection, bytes] {
      Connection* c = find(connection);
      if (c == nullptr) return;
      if (c->plan.held && c->plan.sent == 0) {  // ahead of a response that is still held back
        const ssize_t put = send(c->fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (put != static_cast<ssize_t>(bytes.size())) close(*c, Closer::kServer, true);
        return;
      }
      if (!c->plan.bytes.empty()) return send_duplicate(connection, bytes, 0.001);
      c->plan.bytes = bytes;
      write_pending(*c);
    });
  }

  Loop& loop_;
  std::mt19937_64 random_;
  Fd port_holder_, listener_, queue_filler_;
  int queue_filler_port_ = 0;
  bool listening_ = false, idle_check_scheduled_ = false;
  std::map<std::uint64_t, Active> faults_;
  std::uint64_t last_fault_ = 0, last_connection_ = 0, generation_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::deque<Job> waiting_;
  int working_ = 0;
  Cold cold_;
  std::deque<std::pair<double, double>> recent_work_;
  double recent_work_sum_ = 0, response_delay_ = 0;
  std::array<char, 64 * 1024> scratch_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

ScriptedServer::ScriptedServer(Loop& loop, ServerSettings settings) : loop_(loop) {
  loop_.call([&] { impl_ = std::make_unique<Impl>(loop, std::move(settings)); });
}

ScriptedServer::~ScriptedServer() {
  loop_.call([&] { impl_.reset(); });
}

int ScriptedServer::port() const { return impl_->port; }
const std::string& ScriptedServer::name() const { return impl_->settings.name; }

void ScriptedServer::run(std::string_view script) {
  const std::vector<Fault> faults = parse_script(script);
  loop_.call([&] {
    for (const Fault& fault : faults) impl_->begin(fault);
  });
}

std::uint64_t ScriptedServer::begin(const Fault& fault) {
  std::uint64_t out = 0;
  loop_.call([&] { out = impl_->begin(fault); });
  return out;
}

void ScriptedServer::end(std::uint64_t fault) {
  loop_.call([&] { impl_->end(fault); });
}

void ScriptedServer::clear_faults() {
  loop_.call([&] { impl_->clear_faults(); });
}

ScriptedServer::Counts ScriptedServer::counts() const {
  Counts out;
  loop_.call([&] { out = impl_->counts; });
  return out;
}

bool ScriptedServer::crashed_from_overload() const {
  bool out = false;
  loop_.call([&] { out = impl_->crashed_from_overload; });
  return out;
}

}  // namespace nettlestand::standins
