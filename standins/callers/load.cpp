#include "standins/callers/load.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cmath>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <mutex>
#include <pcg_random.hpp>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "standins/common/http.h"

namespace nettlestand::standins {
namespace {

constexpr double kTimeoutCheckInterval = 0.005;  // s between checks for timed-out calls
constexpr double kReconnectDelay = 0.01;         // s before a closed-loop caller retries a failed connect
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

// Seeded random numbers for arrivals, classes and tenants.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t next() { return engine_(); }
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
  double exponential(double rate) { return -std::log(1 - unit()) / rate; }

 private:
  pcg64 engine_;
};

void add(LoadCounts& to, const LoadCounts& from) {
  to.calls += from.calls;
  to.served += from.served;
  to.late += from.late;
  to.refused += from.refused;
  to.failed += from.failed;
  to.timed_out += from.timed_out;
  to.unsent += from.unsent;
  to.latency.add(from.latency);
}

std::string to_json(const LoadCounts& c, double seconds) {
  std::array<char, 512> out{};
  const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
  std::snprintf(out.data(), out.size(),
                R"({"calls":%llu,"served":%llu,"late":%llu,"refused":%llu,"failed":%llu,"timed_out":%llu,)"
                R"("unsent":%llu,"calls_per_s":%.1f,"served_per_s":%.1f,"p50_ms":%.3f,"p90_ms":%.3f,)"
                R"("p99_ms":%.3f,"p999_ms":%.3f})",
                n(c.calls), n(c.served), n(c.late), n(c.refused), n(c.failed), n(c.timed_out), n(c.unsent),
                static_cast<double>(c.calls) / seconds, static_cast<double>(c.served) / seconds,
                c.latency.quantile(0.5) * 1e3, c.latency.quantile(0.9) * 1e3, c.latency.quantile(0.99) * 1e3,
                c.latency.quantile(0.999) * 1e3);
  return out.data();
}

std::string to_json(const std::map<std::string, LoadCounts>& all, double seconds) {
  std::string out = "{";
  for (const auto& [name, counts] : all) {
    if (out.size() > 1) out += ',';
    out += "\"" + name + "\":" + to_json(counts, seconds);
  }
  return out + "}";
}

}  // namespace

std::string LoadResult::json() const {
  std::array<char, 64> start{};
  std::snprintf(start.data(), start.size(), "{\"seconds\":%.3f,\"all\":", seconds);
  return start.data() + to_json(all, seconds) + ",\"classes\":" + to_json(classes, seconds) +
         ",\"tenants\":" + to_json(tenants, seconds) + "}";
}

class LoadClient::Impl {
 public:
  Impl(Loop& loop, LoadSettings settings) : s(std::move(settings)), loop_(loop), random_(s.seed) {
    if (s.targets.empty() || s.classes.empty() || s.tenants.empty()) {
      throw std::invalid_argument("a load needs targets, classes and tenants");
    }
    for (const Flood& flood : s.floods) {
      if (std::none_of(s.tenants.begin(), s.tenants.end(),
                       [&](const LoadTenant& t) { return t.name == flood.tenant; })) {
        throw std::invalid_argument("no tenant '" + flood.tenant + "'");
      }
    }
    prefix_ = random_.next();
    idle_.resize(s.targets.size());
    counts_.resize(s.classes.size() * s.tenants.size());
    pending_timeouts_.resize(s.classes.size());
    for (const LoadClass& c : s.classes) class_shares_.push_back(c.share);
  }
  ~Impl() {
    while (!connections_.empty()) drop(*connections_.begin()->second);
  }

  void start(std::function<void()> done) {
    done_ = std::move(done);
    started_at_ = now();
    running_ = true;
    check_timeouts();
    if (s.rate > 0) {
      next_at_ = started_at_;
      start_due_calls();
    } else {
      for (std::size_t i = 0; i < s.callers; ++i) start_call(now());
    }
    finish_if_done();
  }

  void stop() {
    stopped_ = true;
    finish_if_done();
  }

  LoadResult result() const {
    LoadResult out;
    out.seconds = std::max(1e-9, (ended_at_ > 0 ? std::min(ended_at_, started_at_ + s.seconds) : now()) -
                                     started_at_ - s.warm_up);
    for (std::size_t c = 0; c < s.classes.size(); ++c) {
      for (std::size_t t = 0; t < s.tenants.size(); ++t) {
        const LoadCounts& counts = counts_[c * s.tenants.size() + t];
        add(out.all, counts);
        add(out.classes[s.classes[c].name], counts);
        add(out.tenants[s.tenants[t].name], counts);
      }
    }
    return out;
  }

  bool finished() const { return finished_; }

 private:
  struct Connection;
  // A call and its current attempt. `due` is when the attempt should start, `first_due` that of the first.
  struct Call {
    std::string id, key, first_id;
    double first_due = 0;
    int attempts = 1;
    std::size_t class_index = 0, tenant_index = 0;
    double due = 0, first_byte_at = 0, sent_at = 0, resent_at = 0;
    bool counts = true;
  };
  struct Connection : Watcher {
    Connection(Impl& owner, Fd fd, std::size_t target, std::uint64_t id)
        : owner(owner), fd(std::move(fd)), target(target), id(id) {}
    void ready(std::uint32_t events) override {
      if (fd) owner.ready(*this, events);
    }
    Impl& owner;
    Fd fd;
    const std::size_t target;
    const std::uint64_t id;
    bool connected = false, busy = false, used = false, wants_out = true, close_after = false;
    std::uint64_t serial = 0;  // counts calls on this connection
    Call call;
    std::string out, in;
    std::size_t written = 0;
    bool in_body = false;
    int status = 0;
    BodyReader body;
    std::size_t last_record = kNone;
  };
  // A call to be checked for a timeout; `serial` tells it from later calls on its connection.
  struct PendingTimeout {
    double until;
    std::uint64_t connection, serial;
  };

  // ------------------------------------------------------------ starting calls

  bool may_begin() const {
    return running_ && !stopped_ && now() < started_at_ + s.seconds &&
           (s.calls == 0 || started_calls_ < s.calls);
  }

  // Updates the share of each tenant, with active floods included. Returns the sum of the shares.
  double update_tenant_shares() {
    const double at = now() - started_at_;
    double sum = 0;
    tenant_shares_.clear();
    for (const LoadTenant& tenant : s.tenants) {
      double share = tenant.share;
      for (const Flood& flood : s.floods) {
        if (flood.tenant == tenant.name && at >= flood.from && at < flood.until) share *= flood.factor;
      }
      tenant_shares_.push_back(share);
      sum += share;
    }
    return sum;
  }

  // Draws an index with probabilities in proportion to `shares`.
  std::size_t draw(const std::vector<double>& shares) {
    if (shares.size() == 1) return 0;
    double sum = 0;
    for (const double share : shares) sum += share;
    double at = random_.unit() * sum;
    std::size_t i = 0;
    while (i + 1 < shares.size() && (at -= shares[i]) >= 0) ++i;
    return i;
  }

  // Open loop: starts the calls that are due and schedules the next arrival.
  void start_due_calls() {
    double base_share = 0;
    for (const LoadTenant& tenant : s.tenants) base_share += tenant.share;
    for (int i = 0; i < 256 && may_begin() && next_at_ <= now(); ++i) {
      start_call(next_at_);
      next_at_ += random_.exponential(s.rate * update_tenant_shares() / base_share);
    }
    if (may_begin()) {
      loop_.at(next_at_, [this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) start_due_calls();
      });
    } else {
      finish_if_done();
    }
  }

  void start_call(double due) {
    if (!may_begin()) return;
    ++started_calls_;
    ++in_flight_;
    update_tenant_shares();
    Call call;
    call.id = hex(prefix_ + ++last_id_ * 0x9E3779B97F4A7C15ULL);
    call.first_id = call.id;
    call.first_due = due;
    call.class_index = draw(class_shares_);
    call.tenant_index = draw(tenant_shares_);
    call.due = due;
    call.counts = due >= started_at_ + s.warm_up;
    if (s.classes[call.class_index].effect == CallEffect::kKeyed) call.key = call.id + hex(random_.next());
    dispatch(std::move(call));
  }

  // A client retries a call that was not served, under a new request id and idempotency key.
  void retry(Call call) {
    call.id = hex(prefix_ + ++last_id_ * 0x9E3779B97F4A7C15ULL);
    ++call.attempts;
    call.due = now();
    call.first_byte_at = call.sent_at = call.resent_at = 0;
    if (!call.key.empty()) call.key = call.id + hex(random_.next());
    dispatch(std::move(call));
  }

  // Sends a call on an idle connection to the next target, or on a new one.
  void dispatch(Call&& call) {
    const std::size_t target = next_target_++ % s.targets.size();
    while (!idle_[target].empty()) {
      Connection* c = find(idle_[target].back());
      idle_[target].pop_back();
      if (c == nullptr || c->busy) continue;
      return send_on(*c, std::move(call));
    }
    open(target, std::move(call));
  }

  void open(std::size_t target, Call&& call) {
    Fd fd;
    if (connections_.size() < s.max_connections)
      fd = connect_to(Address{s.targets[target].ip, s.targets[target].port});
    if (!fd) return finish(nullptr, call, target, CallEnd::kNoConnect, now(), 0, 0, false);
    auto made = std::make_unique<Connection>(*this, std::move(fd), target, ++last_connection_);
    Connection& c = *made;
    loop_.add(c.fd.get(), EPOLLIN | EPOLLOUT | EPOLLRDHUP, &c);
    connections_.emplace(c.id, std::move(made));
    send_on(c, std::move(call));
  }

  void send_on(Connection& c, Call&& call) {
    const LoadClass& load_class = s.classes[call.class_index];
    c.busy = true;
    ++c.serial;
    c.call = std::move(call);
    c.in_body = c.close_after = false;
    c.status = 0;
    c.written = 0;
    std::string& out = c.out;
    out.clear();
    out += load_class.effect == CallEffect::kSafe ? "GET " : "POST ";
    out += s.path;
    out += " HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: ";
    out += c.call.id;
    out += "\r\nRequest-Class: ";
    out += load_class.name;
    out += "\r\nTenant: ";
    out += s.tenants[c.call.tenant_index].name;
    out += "\r\nRequest-Timeout-Ms: ";
    out += std::to_string(std::max(1L, std::lround(load_class.timeout * 1000)));
    if (c.call.attempts > 1) out += "\r\nClient-Retry: 1";
    if (!c.call.key.empty()) out.append("\r\nIdempotency-Key: ").append(c.call.key);
    if (!s.keep_alive) out += "\r\nConnection: close";
    if (load_class.effect != CallEffect::kSafe) {
      out.append("\r\nContent-Length: ").append(std::to_string(load_class.body_bytes));
    }
    out += "\r\n\r\n";
    if (load_class.effect != CallEffect::kSafe && load_class.body_bytes > 0) {
      const std::size_t before = out.size();
      out += c.call.id;
      out.resize(before + load_class.body_bytes, 'x');
    }
    if (c.connected) write(c);
  }

  void write(Connection& c) {
    if (c.written == 0 && c.call.first_byte_at == 0) c.call.first_byte_at = now();
    while (c.written < c.out.size()) {
      const ssize_t written =
          send(c.fd.get(), c.out.data() + c.written, c.out.size() - c.written, MSG_NOSIGNAL);
      if (written < 0 && errno == EAGAIN) break;
      if (written < 0) return on_connection_lost(c, true);
      c.written += static_cast<std::size_t>(written);
    }
    const bool wants = c.written < c.out.size();
    if (wants != c.wants_out) {
      c.wants_out = wants;
      loop_.modify(c.fd.get(), EPOLLIN | EPOLLRDHUP | (wants ? static_cast<std::uint32_t>(EPOLLOUT) : 0U),
                   &c);
    }
    if (wants) return;
    const double at = now();
    if (c.call.sent_at == 0) c.call.sent_at = at;
    pending_timeouts_[c.call.class_index].push_back(
        {c.call.sent_at + s.classes[c.call.class_index].timeout + s.extra_wait, c.id, c.serial});
  }

  // ------------------------------------------------------------ responses

  void ready(Connection& c, std::uint32_t events) {
    if (!c.connected) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(c.fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0 || (events & EPOLLOUT) == 0) return on_connection_lost(c, true);
      c.connected = true;
      return write(c);
    }
    if ((events & EPOLLOUT) != 0) {
      write(c);
      if (!c.fd) return;
    }
    if ((events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) read(c);
  }

  void read(Connection& c) {
    const ssize_t got = recv(c.fd.get(), scratch_.data(), scratch_.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) return on_connection_lost(c, got < 0);
    if (!c.busy) {  // unsolicited bytes
      if (c.last_record != kNone)
        s.recorder->call(c.last_record, [](CallRecord& r) { r.has_extra_bytes = true; });
      return drop(c);
    }
    c.in.append(scratch_.data(), static_cast<std::size_t>(got));
    try {
      parse(c);
    } catch (const MessageError&) {
      end(c, CallEnd::kCut, 0);
    }
  }

  void parse(Connection& c) {
    while (true) {
      if (!c.in_body) {
        const std::optional<MessageHead> head = parse_head(c.in);
        if (!head) return;
        c.status = head->status();
        c.close_after = c.close_after || head->close;
        using Kind = BodyReader::Kind;
        c.body = head->chunked  ? BodyReader(Kind::kChunked)
                 : head->length ? BodyReader(Kind::kLength, *head->length)
                                : BodyReader(c.status < 200 ? Kind::kNone : Kind::kUntilClose);
        c.in.erase(0, head->size);
        if (c.status < 200) continue;
        c.in_body = true;
      }
      c.in.erase(0, c.body.take(c.in));
      if (c.body.done()) end(c, CallEnd::kAnswered, c.status);
      return;
    }
  }

  void on_connection_lost(Connection& c, bool reset) {
    if (!c.busy) return drop(c);
    if (!c.connected) return end(c, CallEnd::kNoConnect, 0);
    if (c.in_body && !reset) {
      c.body.ended();
      if (c.body.done()) {
        c.close_after = true;
        return end(c, CallEnd::kAnswered, c.status);
      }
    }
    if (c.in_body || !c.in.empty()) return end(c, CallEnd::kCut, c.status);
    if (!c.used || c.call.resent_at > 0) return end(c, CallEnd::kClosed, 0);
    // The node closed an idle connection while the request was in transit: retry once on a new connection.
    Call call = std::move(c.call);
    call.resent_at = now();
    const std::size_t target = c.target;
    c.busy = false;
    drop(c);
    open(target, std::move(call));
  }

  // Ends the call on a connection, which is then kept for further calls or closed.
  void end(Connection& c, CallEnd how, int status) {
    const bool more = how == CallEnd::kAnswered && !c.in.empty();
    const double at =
        s.recorder != nullptr && how == CallEnd::kAnswered ? last_data_received_at(c.fd.get()) : now();
    const bool keep = how == CallEnd::kAnswered && !more && !c.close_after && s.keep_alive;
    c.busy = false;
    const Call call = std::move(c.call);
    const bool body_matches = how == CallEnd::kAnswered && c.body.start().find(call.id) != std::string::npos;
    finish(&c, call, c.target, how, at, status, c.body.digest(), more, body_matches);
    if (!c.fd) return;
    if (!keep) {
      drop(c);
      return continue_closed_loop(how);
    }
    c.used = true;
    c.in.clear();
    if (s.rate <= 0 && may_begin()) {
      idle_[c.target].push_back(c.id);
      return start_call(now());
    }
    idle_[c.target].push_back(c.id);
  }

  // Starts the next call of a closed-loop caller whose connection was closed.
  void continue_closed_loop(CallEnd how) {
    if (s.rate > 0) return;
    if (how != CallEnd::kNoConnect) return start_call(now());
    loop_.after(kReconnectDelay, [this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) start_call(now());
    });
  }

  // Counts and records the end of a call, and schedules a retry if one is due. `more`: bytes followed the
  // response; `body_matches`: the body is the one for this call.
  void finish(Connection* c, const Call& call, std::size_t target, CallEnd how, double at, int status,
              std::uint64_t digest, bool more, bool body_matches = false) {
    const LoadClass& load_class = s.classes[call.class_index];
    if (call.counts) {
      LoadCounts& counts = counts_[call.class_index * s.tenants.size() + call.tenant_index];
      ++counts.calls;
      const double took = at - call.due;
      if (how == CallEnd::kNoConnect) {
        ++counts.unsent;
      } else if (how == CallEnd::kTimedOut || at > call.sent_at + load_class.timeout + 0.05) {
        ++counts.timed_out;
      } else if (how == CallEnd::kAnswered && status == 200 && body_matches) {
        ++counts.served;
        if (took > (load_class.latency_target > 0 ? load_class.latency_target : load_class.timeout))
          ++counts.late;
        counts.latency.add(took);
      } else if (how == CallEnd::kAnswered && (status == 429 || status == 503)) {
        ++counts.refused;
      } else {
        ++counts.failed;
      }
    }
    if (s.recorder != nullptr) {
      CallRecord r;
      r.node = s.targets[target].node;
      r.id = call.id;
      r.first_id = call.first_id;
      r.due_at = call.first_due;
      r.request_class = load_class.name;
      r.tenant = s.tenants[call.tenant_index].name;
      r.key = call.key;
      r.timeout = load_class.timeout;
      r.first_byte_at = call.first_byte_at;
      r.sent_at = call.sent_at;
      r.resent_at = call.resent_at;
      r.answered_at = at;
      r.end = how;
      r.status = status;
      r.answer_digest = digest;
      r.has_extra_bytes = more;
      const std::size_t record = s.recorder->open(std::move(r));
      if (c != nullptr) c->last_record = record;
    }
    const bool refused = how == CallEnd::kAnswered && (status == 429 || status == 503);
    const bool served = how == CallEnd::kAnswered && status == 200 && body_matches;
    const bool may_retry = refused || how == CallEnd::kNoConnect || load_class.effect != CallEffect::kUnsafe;
    if (s.rate > 0 && !served && may_retry && call.attempts < s.max_attempts && !stopped_) {
      loop_.after(random_.exponential(1 / s.mean_retry_delay),
                  [this, call, alive = std::weak_ptr<int>(alive_)]() mutable {
                    if (!alive.expired()) retry(std::move(call));
                  });
      return;  // the call is still in flight: its client will retry
    }
    --in_flight_;
    if (c == nullptr) continue_closed_loop(how);
    finish_if_done();
  }

  // ------------------------------------------------------------ timeouts

  // Ends the calls whose timeout is over, every kTimeoutCheckInterval.
  void check_timeouts() {
    const double at = now();
    for (std::deque<PendingTimeout>& pending : pending_timeouts_) {
      while (!pending.empty() && pending.front().until <= at) {
        const PendingTimeout due = pending.front();
        pending.pop_front();
        Connection* c = find(due.connection);
        if (c != nullptr && c->busy && c->serial == due.serial) end(*c, CallEnd::kTimedOut, 0);
      }
    }
    // Connects without a reply, and requests that can't be written.
    if (at - last_slow_check_ > 0.1) {
      last_slow_check_ = at;
      std::vector<Connection*> stuck;
      for (const auto& [id, c] : connections_) {
        if (!c->busy || (c->connected && c->written == c->out.size())) continue;
        if (at - std::max(c->call.due, c->call.sent_at) >
            s.classes[c->call.class_index].timeout + s.extra_wait)
          stuck.push_back(c.get());
      }
      for (Connection* c : stuck) {
        if (c->fd) end(*c, c->connected ? CallEnd::kTimedOut : CallEnd::kNoConnect, 0);
      }
    }
    if (finished_) return;
    loop_.after(kTimeoutCheckInterval, [this, alive = std::weak_ptr<int>(alive_)] {
      if (!alive.expired()) check_timeouts();
    });
    finish_if_done();
  }

  void finish_if_done() {
    if (!running_ || finished_ || in_flight_ > 0 || may_begin()) return;
    finished_ = true;
    ended_at_ = now();
    if (done_) done_();
    if (on_finished) on_finished();
  }

  Connection* find(std::uint64_t id) {
    const auto it = connections_.find(id);
    return it == connections_.end() ? nullptr : it->second.get();
  }

  void drop(Connection& c) {
    loop_.remove(c.fd.get());
    c.fd.close();
    const auto it = connections_.find(c.id);
    loop_.destroy_later(std::move(it->second));
    connections_.erase(it);
  }

 public:
  const LoadSettings s;
  std::function<void()> on_finished;

 private:
  Loop& loop_;
  Random random_;
  std::uint64_t prefix_ = 0;
  std::function<void()> done_;
  double started_at_ = 0, ended_at_ = 0, next_at_ = 0, last_slow_check_ = 0;
  bool running_ = false, stopped_ = false, finished_ = false;
  std::uint64_t last_id_ = 0, started_calls_ = 0, in_flight_ = 0, last_connection_ = 0;
  std::size_t next_target_ = 0;
  std::vector<double> class_shares_, tenant_shares_;
  std::vector<LoadCounts> counts_;                            // by class and tenant
  std::vector<std::deque<PendingTimeout>> pending_timeouts_;  // per class, so that they are ordered by time
  std::vector<std::vector<std::uint64_t>> idle_;              // by target
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::array<char, 64 * 1024> scratch_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

LoadClient::LoadClient(Loop& loop, LoadSettings settings) : loop_(loop) {
  loop_.call([&] { impl_ = std::make_unique<Impl>(loop, std::move(settings)); });
}

LoadClient::~LoadClient() {
  loop_.call([&] { impl_.reset(); });
}

void LoadClient::start(std::function<void()> done) {
  loop_.call([&] { impl_->start(std::move(done)); });
}

void LoadClient::stop() {
  loop_.call([&] { impl_->stop(); });
}

void LoadClient::wait() {
  std::mutex mutex;
  std::condition_variable changed;
  bool finished = false;
  const auto set = [&] {
    const std::lock_guard lock(mutex);
    finished = true;
    changed.notify_one();
  };
  loop_.call([&] {
    if (impl_->finished()) {
      set();
    } else {
      impl_->on_finished = set;
    }
  });
  std::unique_lock lock(mutex);
  changed.wait(lock, [&] { return finished; });
}

LoadResult LoadClient::result() const {
  LoadResult out;
  loop_.call([&] { out = impl_->result(); });
  return out;
}

LoadResult run_load(LoadSettings settings) {
  Loop loop;
  LoadClient client(loop, std::move(settings));
  client.start([&] { loop.stop(); });
  loop.run();
  return client.result();
}

}  // namespace nettlestand::standins
