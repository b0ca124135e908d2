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
constexpr double kTrickleStep = 0.02;  // s between the bytes of a slow answer, at least
constexpr double kSweep = 0.05;        // s between looks for idle connections
constexpr double kOverloaded = 1;      // s; the load on a cold server counts over so long

std::string noise(std::mt19937_64& random) {
  std::string out;
  for (int i = 0; i < 80; ++i) out += static_cast<char>(33 + random() % 200);
  return out + "\r\n\r\n";
}

}  // namespace

bool DedupMemory::repeated(const std::string& key, double at, double window) {
  const auto [it, fresh] = ran_.try_emplace(key, at);
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
    if (!this->settings.memory) this->settings.memory = std::make_shared<DedupMemory>();
    // Holds the port while the listener is closed: nobody else must be given it then.
    place_ = listen_on(Address{this->settings.ip, this->settings.port}, -1, this->settings.shared_port);
    port = port_of(place_.get());
    follow_faults();
    if (this->settings.idle_close > 0) sweep();
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
      after(fault.at, [this, id] { switch_on(id); });
    } else {
      switch_on(id);
    }
    return id;
  }
  void end(std::uint64_t id) {
    const auto it = faults_.find(id);
    if (it == faults_.end()) return;
    const Verb verb = it->second.fault.verb;
    faults_.erase(it);
    if (verb == Verb::kCold) cold_ = {};
    follow_faults();
  }
  void well() {
    faults_.clear();
    cold_ = {};
    fell_over = false;
    follow_faults();
  }

  ServerSettings settings;
  int port = 0;
  Counts counts;
  bool fell_over = false;

 private:
  struct Active {
    Fault fault;
    int count;
    bool on;
  };
  struct Cold {
    double since = 0, share = 1, ramp = 0, most = kForever;
  };
  struct Job {
    std::uint64_t connection = 0;
    std::size_t attempt = kNone;
    double work = 0;
  };
  // How an answer is written.
  struct Plan {
    std::string bytes;
    std::size_t sent = 0;
    std::size_t allowed = kNone;   // bytes that may go by now
    std::size_t stop_at = kNone;   // the connection ends after so many
    std::size_t pause_at = kNone;  // and it waits here
    double pause = 0, rate = 0;    // s; bytes/s, 0: as fast as it goes
    bool held = false;             // nothing goes now
    bool reset = false;            // how it ends
    bool close_after = false;
    std::string second;  // a copy that comes later
    double gap = 0;
  };

  class Connection : public Watcher {
   public:
    Connection(Impl& owner, Fd fd, std::uint64_t id) : owner(owner), fd(std::move(fd)), id(id) {}
    void ready(std::uint32_t events) override {
      if (!this->fd) return;
      if ((events & EPOLLOUT) != 0) owner.pump(*this);
      if (this->fd && (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) owner.read(*this);
    }

    Impl& owner;
    Fd fd;
    const std::uint64_t id;
    std::size_t record = kNone;   // its own
    std::size_t attempt = kNone;  // of the request on it
    std::string in;
    bool in_body = false, busy = false, answered_early = false, keep = true, wants_out = false;
    double first_byte_at = 0, used_at = 0, came_at = 0, work = 0;
    std::string request, key;  // its id and its key
    BodyReader body;
    Plan plan;
    std::uint64_t plan_serial = 0;
  };

  // ------------------------------------------------------------ faults

  void after(double seconds, std::function<void()> f) {
    loop_.after(seconds, [alive = std::weak_ptr<int>(alive_), f = std::move(f)] {
      if (!alive.expired()) f();
    });
  }

  void switch_on(std::uint64_t id) {
    const auto it = faults_.find(id);
    if (it == faults_.end()) return;
    it->second.on = true;
    const Fault fault = it->second.fault;
    if (fault.lasts < kForever) after(fault.lasts, [this, id] { end(id); });
    if (fault.verb == Verb::kCold) {
      cold_ = {now(), fault.a, fault.b, fault.c};
      asked_.clear();
      asked_sum_ = 0;
    }
    if (fault.verb == Verb::kCrash) reset_all();
    if (fault.verb == Verb::kCloseIdle) close_idle(0);
    if (fault.verb == Verb::kIdle) sweep();
    follow_faults();
  }

  // The fault of this kind that hits what happens now.
  const Fault* hit(Verb verb, const char* word = nullptr) {
    for (auto& [id, active] : faults_) {
      if (!active.on || active.fault.verb != verb) continue;
      if (word != nullptr && active.fault.text != word) continue;
      if (++active.count % active.fault.every != 0) continue;
      if (active.fault.chance < 1 && unit() >= active.fault.chance) continue;
      return &active.fault;
    }
    return nullptr;
  }
  const Fault* on(Verb verb) const {
    for (const auto& [id, active] : faults_) {
      if (active.on && active.fault.verb == verb) return &active.fault;
    }
    return nullptr;
  }
  double unit() { return std::uniform_real_distribution<>(0, 1)(random_); }

  bool refuses_all() const {
    return fell_over || on(Verb::kCrash) != nullptr ||
           std::any_of(faults_.begin(), faults_.end(), [](const auto& entry) {
             const auto& [fault, count, is_on] = entry.second;
             return is_on && fault.verb == Verb::kRefuse && fault.every == 1 && fault.chance >= 1;
           });
  }

  // Brings the listener into the state that the faults ask for.
  void follow_faults() {
    const bool closed = refuses_all();
    const bool hangs = on(Verb::kHang) != nullptr;
    const bool accepts = !closed && !hangs && on(Verb::kNoAccept) == nullptr;
    if (listening_ && !accepts) {
      loop_.remove(listener_.get());
      listening_ = false;
    }
    if (closed) {
      listener_.close();
      filler_.close();
      return;
    }
    if (!listener_) listener_ = listen_on(Address{settings.ip, port}, 4096, settings.shared_port);
    if (hangs && !filler_) {
      // With room for one in the accept queue and that one taken, further connections never come up.
      listen(listener_.get(), 0);
      filler_ = connect_to(Address{settings.ip, port});
      filler_port_ = port_of(filler_.get());
    } else if (!hangs && filler_) {
      listen(listener_.get(), 4096);
      filler_.close();
    }
    if (accepts && !listening_) {
      loop_.add(listener_.get(), EPOLLIN, this);
      listening_ = true;
    }
  }

  void reset_all() {
    waiting_.clear();
    working_ = 0;
    ++life_;
    while (!connections_.empty()) close(*connections_.begin()->second, Closer::kServer, true);
  }

  void close_idle(double least) {
    std::vector<Connection*> idle;
    for (const auto& [id, c] : connections_) {
      if (!c->busy && c->in.empty() && !c->in_body && now() - c->used_at >= least) idle.push_back(c.get());
    }
    for (Connection* c : idle) close(*c, Closer::kServer, false);
  }

  void sweep() {
    if (sweeping_) return;
    const Fault* fault = on(Verb::kIdle);
    const double limit = fault != nullptr ? fault->a : settings.idle_close;
    if (limit <= 0) return;
    close_idle(limit);
    sweeping_ = true;
    after(kSweep, [this] {
      sweeping_ = false;
      sweep();
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
      if (filler_port_ != 0 && ntohs(from.sin_port) == filler_port_) {
        filler_port_ = 0;
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
      if (hit(Verb::kReject) != nullptr || hit(Verb::kRefuse) != nullptr) {
        close(c, Closer::kServer, true);
      } else if (hit(Verb::kEarly, "accept") != nullptr) {
        const std::string body = "answer to nobody";
        c.plan.bytes = head_of(200, body.size(), false, false) + body;
        pump(c);
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
      if (c.attempt != kNone) note(c.attempt, [](AttemptRecord& r) { r.connection_lost_at = now(); });
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
  void note(std::size_t attempt, Change&& change) {
    if (attempt != kNone) settings.recorder->attempt(attempt, std::forward<Change>(change));
  }

  // ------------------------------------------------------------ requests

  void read(Connection& c) {
    const ssize_t got = recv(c.fd.get(), scratch_.data(), scratch_.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) return close(c, Closer::kPeer, got < 0);
    if (settings.recorder != nullptr) {
      c.came_at = last_data_received_at(c.fd.get());
      if (c.in.empty() && !c.in_body) c.first_byte_at = c.came_at;
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
        whole(c);
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
    c.work = work_of(*head);
    c.body = head->chunked ? BodyReader(BodyReader::Kind::kChunked)
                           : BodyReader(BodyReader::Kind::kLength, head->length.value_or(0));
    c.in.erase(0, head->size);
    c.in_body = true;
    if (!faults_.empty() && !c.request.empty() && hit(Verb::kEarly, "head") != nullptr) {
      c.answered_early = true;
      const std::string body = "early answer to " + c.request;
      note_answer(c, 200, false, digest_of(body));
      c.plan.bytes += head_of(200, body.size(), false, false) + body;
      pump(c);
    }
    return true;
  }

  double work_of(const MessageHead& head) {
    double mean = settings.service;
    if (!settings.service_of.empty()) {
      const auto it = settings.service_of.find(std::string(head.field("request-class")));
      if (it != settings.service_of.end()) mean = it->second;
    }
    if (mean <= 0 || !settings.exponential) return mean;
    return std::exponential_distribution<>(1 / mean)(random_);
  }

  // The last byte has come: a request begins here.
  void whole(Connection& c) {
    c.in_body = false;
    c.used_at = now();
    if (!c.in.empty()) c.first_byte_at = c.came_at;
    if (c.request.empty()) return answer(c, 404, false, "");
    ++counts.requests;
    if (c.attempt != kNone) {
      note(c.attempt, [&](AttemptRecord& r) {
        r.last_byte_at = c.came_at;
        r.body_digest = c.body.digest();
      });
      settings.recorder->connection(c.record, [](ConnectionRecord& r) { ++r.served; });
    }
    if (cold_.since > 0 && pushed_over(c.work)) return fall_over();
    if (c.answered_early) {
      ++counts.executed;
      note(c.attempt, [](AttemptRecord& r) {
        r.executed = true;
        r.finished_at = r.answered_at = now();
      });
      c.attempt = kNone;
      return;
    }
    if (!faults_.empty()) {
      if (hit(Verb::kDrain) != nullptr) {
        c.keep = false;
        return turn_away(c);
      }
      if (hit(Verb::kNotStarted) != nullptr) return turn_away(c);
      if (const Fault* dedup = on(Verb::kDedup); dedup != nullptr && !c.key.empty()) {
        if (settings.memory->repeated(c.key, now(), dedup->a)) {
          note(c.attempt, [](AttemptRecord& r) { r.repeat = true; });
          return answer(c, 200, false, body_for(c));
        }
      }
    }
    if (settings.cores > 0 && working_ >= settings.cores && waiting_.size() >= settings.queue) {
      return turn_away(c);
    }
    ++counts.executed;
    note(c.attempt, [](AttemptRecord& r) { r.executed = true; });
    if (hit(Verb::kResetAfterRequest) != nullptr) return close(c, Closer::kServer, true);
    if (!faults_.empty()) {
      if (const Fault* error = hit(Verb::kError); error != nullptr && unit() < error->a) {
        return answer(c, static_cast<int>(error->b), false, "error");
      }
      if (hit(Verb::kSilent) != nullptr) {
        c.busy = true;
        return;
      }
    }
    if (c.work <= 0 && settings.cores == 0) {
      ++counts.answered;
      note(c.attempt, [](AttemptRecord& r) { r.finished_at = now(); });
      return answer(c, 200, false, body_for(c));
    }
    c.busy = true;
    waiting_.push_back({c.id, c.attempt, c.work});
    work();
  }

  std::string body_for(const Connection& c) const {
    const Fault* size = on(Verb::kSize);
    return answer_body(c.request, c.body.digest(),
                       size != nullptr ? static_cast<std::size_t>(size->a) : settings.answer_bytes);
  }

  void turn_away(Connection& c) {
    ++counts.turned_away;
    answer(c, 503, true, "not started");
  }

  void work() {
    while (!waiting_.empty() && (settings.cores == 0 || working_ < settings.cores)) {
      const Job job = std::move(waiting_.front());
      waiting_.pop_front();
      ++working_;
      double took = job.work / share();
      for (const auto& [id, active] : faults_) {
        if (active.on && active.fault.verb == Verb::kSlower) took *= active.fault.a;
      }
      after(took, [this, job, life = life_] {
        if (life != life_) return;  // it died in between
        --working_;
        ++counts.answered;
        note(job.attempt, [](AttemptRecord& r) { r.finished_at = now(); });
        if (Connection* c = find(job.connection); c != nullptr && c->attempt == job.attempt) {
          answer(*c, 200, false, body_for(*c));
        }
        work();
      });
    }
  }

  // ------------------------------------------------------------ cold starts

  double share() const {
    if (cold_.since <= 0 || cold_.ramp <= 0) return 1;
    return std::min(1.0, cold_.share + (1 - cold_.share) * (now() - cold_.since) / cold_.ramp);
  }

  bool pushed_over(double work) {
    const double at = now();
    if (at - cold_.since >= cold_.ramp) return false;
    asked_.emplace_back(at, work);
    asked_sum_ += work;
    while (asked_.front().first < at - kOverloaded) {
      asked_sum_ -= asked_.front().second;
      asked_.pop_front();
    }
    return asked_sum_ > cold_.most * able();
  }
  double able() const { return std::max(1, settings.cores) * share() * kOverloaded; }

  void fall_over() {
    if (settings.recorder != nullptr) {
      settings.recorder->add(OverloadRecord{settings.name, now(), asked_sum_, able()});
    }
    fell_over = true;
    reset_all();
    follow_faults();
  }

  // ------------------------------------------------------------ answers

  static std::string head_of(int status, std::size_t length, bool not_started, bool close) {
    std::string out = status == 200   ? "HTTP/1.1 200 OK\r\n"
                      : status == 503 ? "HTTP/1.1 503 Service Unavailable\r\n"
                                      : "HTTP/1.1 " + std::to_string(status) + " Other\r\n";
    if (not_started) out += "Not-Started: 1\r\n";
    if (close) out += "Connection: close\r\n";
    return out + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
  }

  void note_answer(const Connection& c, int status, bool not_started, std::uint64_t digest) {
    note(c.attempt, [&](AttemptRecord& r) {
      r.status = status;
      r.not_started = not_started;
      r.answer_digest = digest;
    });
  }

  void answer(Connection& c, int status, bool not_started, const std::string& body) {
    if (faults_.empty() && c.keep && settings.recorder == nullptr) {
      c.plan.bytes += head_of(status, body.size(), not_started, false);
      c.plan.bytes += body;
      return pump(c);
    }
    Plan plan;
    plan.close_after = !c.keep;
    plan.bytes = c.plan.bytes.substr(c.plan.sent);  // what was said early
    const std::size_t before = plan.bytes.size();
    plan.bytes += head_of(status, body.size(), not_started, !c.keep);
    const std::size_t head = plan.bytes.size();
    plan.bytes += body;
    std::uint64_t digest = digest_of(body);
    bool too_short = false;
    if (!faults_.empty() && !c.request.empty()) {
      if (const Fault* f = hit(Verb::kTrailers); f != nullptr) {
        std::string lines;
        for (const char ch : f->text) lines += ch == '\n' ? std::string("\r\n") : std::string(1, ch);
        plan.bytes.resize(plan.bytes.find("Content-Length", before));
        plan.bytes += "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : chunk_of(body)) + "0\r\n" +
                      lines + "\r\n";
      }
      if (const Fault* f = hit(Verb::kGarble); f != nullptr) {
        plan.bytes.resize(before);
        plan.bytes += garbled(f->text, status, body);
        too_short = f->text == "long";
        plan.close_after = plan.close_after || too_short;
        digest = f->text == "short" ? digest_of(body.substr(0, body.size() / 2)) : 0;
        if (f->text != "short") status = 0;
      }
      shape(plan, head, too_short);
    }
    note_answer(c, status, not_started, digest);
    const double late = late_by_;
    late_by_ = 0;
    c.busy = true;
    c.plan = std::move(plan);
    ++c.plan_serial;
    if (late > 0) {
      c.plan.held = true;
      return later(c, late, [this](Connection& then) { go_on(then); });
    }
    go_on(c);
  }

  std::string garbled(const std::string& how, int status, const std::string& body) {
    if (how == "head") return noise(random_) + body;
    if (how == "chunks") {
      std::string out = head_of(status, 0, false, false);
      out.resize(out.find("Content-Length"));
      return out + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body;
    }
    return head_of(status, how == "short" ? body.size() / 2 : body.size() + 10, false, false) + body;
  }

  // What the faults make of the writing of an answer.
  void shape(Plan& plan, std::size_t head, bool too_short) {
    // A copy behind an answer that is too short would make up its length.
    if (const Fault* f = hit(Verb::kTwice); f != nullptr && !too_short) {
      if (f->a <= 0) {
        plan.bytes += std::string(plan.bytes);
      } else {
        plan.second = plan.bytes;
        plan.gap = f->a;
      }
    }
    if (const Fault* f = hit(Verb::kLate); f != nullptr) late_by_ = f->a;
    if (const Fault* f = hit(Verb::kTrickle); f != nullptr) {
      plan.rate = f->a;
      plan.allowed = 0;
    }
    const std::size_t size = plan.bytes.size();
    if (const Fault* f = hit(Verb::kPause); f != nullptr) {
      plan.pause = f->a;
      plan.pause_at = f->b >= 0 ? std::min(size, static_cast<std::size_t>(f->b)) : size / 2;
    }
    if (const Fault* f = hit(Verb::kCut); f != nullptr) {
      plan.stop_at = f->a >= 0 ? head + static_cast<std::size_t>(f->a) : (head + size) / 2;
    }
    if (const Fault* f = hit(Verb::kResetAnswer); f != nullptr) {
      plan.stop_at = static_cast<std::size_t>(f->a);
      plan.reset = true;
    }
    plan.stop_at = plan.stop_at < size ? plan.stop_at : kNone;
  }

  void later(Connection& c, double seconds, std::function<void(Connection&)> f) {
    after(seconds, [this, id = c.id, serial = c.plan_serial, f = std::move(f)] {
      if (Connection* then = find(id); then != nullptr && then->plan_serial == serial) f(*then);
    });
  }

  void go_on(Connection& c) {
    c.plan.held = false;
    if (c.plan.rate > 0) return trickle(c);
    pump(c);
  }

  void trickle(Connection& c) {
    const double step = std::max(kTrickleStep, 1 / c.plan.rate);
    c.plan.allowed += static_cast<std::size_t>(std::max(1.0, c.plan.rate * step));
    const std::uint64_t serial = c.plan_serial;
    later(c, step, [this](Connection& then) {
      if (!then.plan.held && then.plan.allowed < then.plan.bytes.size()) trickle(then);
    });
    if (serial == c.plan_serial) pump(c);
  }

  // Writes what may go by now.
  void pump(Connection& c) {
    Plan& plan = c.plan;
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
      return later(c, plan.pause, [this](Connection& then) { go_on(then); });
    }
    if (plan.sent == plan.bytes.size()) written(c);
  }

  void written(Connection& c) {
    const Plan plan = std::exchange(c.plan, {});
    if (!plan.second.empty()) say_again(c.id, plan.second, plan.gap);
    if (!c.busy) return;
    ++c.plan_serial;
    note(c.attempt, [](AttemptRecord& r) { r.answered_at = now(); });
    c.attempt = kNone;
    if (plan.close_after) return close(c, Closer::kServer, false);
    c.busy = false;
    c.used_at = now();
    parse(c);
  }

  // The connection is free in between: that is what makes a late copy dangerous.
  void say_again(std::uint64_t connection, const std::string& bytes, double gap) {
    after(gap, [this, connection, bytes] {
      Connection* c = find(connection);
      if (c == nullptr) return;
      if (c->plan.held && c->plan.sent == 0) {  // before an answer that waits
        const ssize_t put = send(c->fd.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (put != static_cast<ssize_t>(bytes.size())) close(*c, Closer::kServer, true);
        return;
      }
      if (!c->plan.bytes.empty()) return say_again(connection, bytes, 0.001);
      c->plan.bytes = bytes;
      pump(*c);
    });
  }

  Loop& loop_;
  std::mt19937_64 random_;
  Fd place_, listener_, filler_;
  int filler_port_ = 0;
  bool listening_ = false, sweeping_ = false;
  std::map<std::uint64_t, Active> faults_;
  std::uint64_t last_fault_ = 0, last_connection_ = 0, life_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::deque<Job> waiting_;
  int working_ = 0;
  Cold cold_;
  std::deque<std::pair<double, double>> asked_;
  double asked_sum_ = 0, late_by_ = 0;
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
  const std::vector<Fault> faults = read_script(script);
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

void ScriptedServer::well() {
  loop_.call([&] { impl_->well(); });
}

ScriptedServer::Counts ScriptedServer::counts() const {
  Counts out;
  loop_.call([&] { out = impl_->counts; });
  return out;
}

bool ScriptedServer::fell_over() const {
  bool out = false;
  loop_.call([&] { out = impl_->fell_over; });
  return out;
}

}  // namespace nettlestand::standins
