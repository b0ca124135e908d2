#include "standins/discovery/discovery.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "standins/common/http.h"

namespace nettlestand::standins {
namespace {

using Dial = std::function<std::string(const Listing&)>;

std::string json_of(const Listing& s, const Dial& dial) {
  std::array<char, 32> share{};
  std::snprintf(share.data(), share.size(), "%.6g", s.share);
  return R"({"host":")" + s.host + R"(","dial":")" + dial(s) + R"(","site":")" + s.site + R"(","class":")" +
         s.kind + R"(","block":)" + std::to_string(s.block) + R"(,"health":")" + s.health + R"(","share":)" +
         share.data() + R"(,"born_ms":)" + std::to_string(s.born_ms) + "}";
}

std::string json_of(std::uint64_t seq, bool whole, const std::vector<Listing>& servers, const Dial& dial) {
  std::string out =
      R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)";
  for (const Listing& s : servers) {
    if (out.back() != '[') out += ',';
    out += json_of(s, dial);
  }
  return out + "]}";
}

}  // namespace

std::uint64_t unix_ms() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

class ScriptedDiscovery::Impl {
 public:
  Impl(Loop& loop, Recorder* recorder, double period) : loop_(loop), recorder_(recorder), period_(period) {
    beat();
  }
  ~Impl() {
    for (auto& [node, e] : endpoints_) {
      if (e->listening) loop_.remove(e->listener.get());
    }
    while (!connections_.empty()) close(*connections_.begin()->second);
  }

  int endpoint(const std::string& node, int fixed, const std::string& ip) {
    auto& e = endpoints_[node];
    if (!e) {
      e = std::make_unique<Endpoint>(*this, node);
      e->ip = ip;
      e->place = listen_on(Address{ip, fixed}, -1);
      e->port = port_of(e->place.get());
      follow_mode(*e);
    }
    return e->port;
  }

  void set(const std::vector<Listing>& servers) {
    ++seq_;
    for (const Listing& s : servers) {
      if (s.health != "active" && s.health != "leaving" && s.health != "left") {
        throw std::invalid_argument("'" + s.health + "' is no state of a server");
      }
      if (s.health == "left") {
        servers_.erase(s.host);
      } else {
        servers_[s.host] = s;
      }
      history_[s.host] = {seq_, s};
    }
    std::vector<Connection*>
        watching;  // telling one may close it; closed ones live until the loop's next round
    for (const auto& [id, c] : connections_) {
      if (c->watching) watching.push_back(c.get());
    }
    for (Connection* c : watching) tell(*c, json_of(seq_, false, servers, dial_of(*c)) + "\n", servers);
  }

  void state(const std::string& host, const std::string& health) {
    const auto it = servers_.find(host);
    if (it == servers_.end()) throw std::invalid_argument("no server '" + host + "'");
    Listing changed = it->second;
    changed.health = health;
    set({changed});
  }

  void forget(const std::string& host) {
    ++seq_;
    servers_.erase(host);
    history_.erase(host);
    oldest_ = seq_;  // what changed since before can't be told any more
  }

  std::vector<Listing> list() const {
    std::vector<Listing> out;
    for (const auto& [host, s] : servers_) out.push_back(s);
    return out;
  }

  void mode(Mode mode) {
    mode_ = mode;
    for (auto& [node, e] : endpoints_) follow_mode(*e);
    if (mode != Mode::kRefuse && mode != Mode::kUnavailable) return;
    while (!connections_.empty()) close(*connections_.begin()->second);
  }

  std::size_t watches() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& entry) { return entry.second->watching; }));
  }

  std::function<std::string(const std::string&, const Listing&)> dial;
  double lag = 0;
  std::uint64_t asked = 0;

 private:
  template <class C>
  Dial dial_of(const C& c) const {
    return [this, &c](const Listing& s) {
      return dial ? dial(c.at.node, s) : "127.0.0.1:" + std::to_string(s.port);
    };
  }
  struct Endpoint : Watcher {
    Endpoint(Impl& owner, std::string node) : owner(owner), node(std::move(node)) {}
    void ready(std::uint32_t) override { owner.accept(*this); }
    Impl& owner;
    std::string node;
    Fd place, listener;
    std::string ip;
    int port = 0;
    bool listening = false;
    std::set<std::string> known;  // the servers that it was told of
  };
  struct Connection : Watcher {
    Connection(Impl& owner, Fd fd, Endpoint& at, std::uint64_t id)
        : owner(owner), fd(std::move(fd)), at(at), id(id) {}
    void ready(std::uint32_t events) override {
      if (!fd) return;
      if ((events & EPOLLOUT) != 0) owner.flush(*this);
      if (fd && (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) owner.read(*this);
    }
    Impl& owner;
    Fd fd;
    Endpoint& at;
    const std::uint64_t id;
    std::string in, out;
    std::uint64_t put = 0, queued = 0;                          // bytes so far
    std::deque<std::pair<std::uint64_t, std::size_t>> pending;  // told once `put` is there: record
    bool watching = false;
  };

  void follow_mode(Endpoint& e) {
    const bool wanted = mode_ != Mode::kRefuse;
    if (wanted == e.listening) return;
    if (wanted) {
      e.listener = listen_on(Address{e.ip, e.port});
      loop_.add(e.listener.get(), EPOLLIN, &e);
    } else {
      loop_.remove(e.listener.get());
      e.listener.close();
    }
    e.listening = wanted;
  }

  void accept(Endpoint& e) {
    while (e.listening) {
      Fd fd(accept4(e.listener.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
      if (!fd) return;
      const int on = 1;
      setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto made = std::make_unique<Connection>(*this, std::move(fd), e, ++last_);
      loop_.add(made->fd.get(), EPOLLIN | EPOLLRDHUP, made.get());
      connections_.emplace(made->id, std::move(made));
    }
  }

  void close(Connection& c) {
    if (!c.fd) return;
    loop_.remove(c.fd.get());
    c.fd.close();
    const auto it = connections_.find(c.id);
    loop_.destroy_later(std::move(it->second));
    connections_.erase(it);
  }

  void read(Connection& c) {
    std::array<char, 4096> bytes{};
    const ssize_t got = recv(c.fd.get(), bytes.data(), bytes.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) return close(c);
    c.in.append(bytes.data(), static_cast<std::size_t>(got));
    if (mode_ == Mode::kSilent || c.watching) return;
    try {
      while (const std::optional<MessageHead> head = parse_head(c.in)) {
        const std::string target(head->word(1));
        c.in.erase(0, head->size);
        answer(c, target);
        if (!c.fd || c.watching) return;
      }
    } catch (const MessageError&) {
      close(c);
    }
  }

  void answer(Connection& c, const std::string& target) {
    ++asked;
    if (mode_ == Mode::kUnavailable) {
      write(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", {});
      return close(c);
    }
    if (target.rfind("/v1/servers", 0) != 0) {
      return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", {});
    }
    if (target.find("stream=1") == std::string::npos) {
      const std::string body = json_of(seq_, true, list(), dial_of(c)) + "\n";
      return later(c, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
                   whole_told(c.at));
    }
    write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", {});
    if (!c.fd) return;
    c.watching = true;
    std::uint64_t since = 0;
    const std::size_t index = target.find("index=");
    const bool asked_since =
        index != std::string::npos &&
        std::from_chars(target.data() + index + 6, target.data() + target.size(), since).ec == std::errc() &&
        since >= oldest_ && since <= seq_;
    if (!asked_since)
      return later(c, chunk_of(json_of(seq_, true, list(), dial_of(c)) + "\n"), whole_told(c.at));
    std::vector<Listing> changed;
    for (const auto& [host, entry] : history_) {
      if (entry.first > since) changed.push_back(entry.second);
    }
    if (!changed.empty()) tell(c, json_of(seq_, false, changed, dial_of(c)) + "\n", changed);
  }

  // A whole list tells of all that it holds, and that what it lacks is gone.
  std::vector<Listing> whole_told(const Endpoint& e) const {
    std::vector<Listing> out = list();
    for (const std::string& host : e.known) {
      if (servers_.contains(host)) continue;
      Listing gone;
      gone.host = host;
      gone.health = "left";
      out.push_back(gone);
    }
    return out;
  }

  void tell(Connection& c, const std::string& line, const std::vector<Listing>& servers) {
    later(c, chunk_of(line), servers);
  }

  void later(Connection& c, const std::string& bytes, const std::vector<Listing>& servers) {
    std::vector<std::size_t> records;
    for (const Listing& s : servers) {
      c.at.known.insert(s.host);
      if (recorder_ == nullptr) continue;
      records.push_back(recorder_->open(ListChangeRecord{c.at.node, s.host, s.health, now(), 0}));
    }
    if (lag <= 0 && mode_ != Mode::kSilent) return write(c, bytes, records);
    wait(c.id, now() + lag, bytes, records);
  }

  // In order: what comes later is not written before.
  void wait(std::uint64_t id, double until, const std::string& bytes,
            const std::vector<std::size_t>& records) {
    loop_.at(until, [this, alive = std::weak_ptr<int>(alive_), id, bytes, records] {
      if (alive.expired()) return;
      const auto it = connections_.find(id);
      if (it == connections_.end()) return;
      if (mode_ == Mode::kSilent) return wait(id, now() + 0.05, bytes, records);
      write(*it->second, bytes, records);
    });
  }

  void write(Connection& c, const std::string& bytes, const std::vector<std::size_t>& records) {
    c.out += bytes;
    c.queued += bytes.size();
    for (const std::size_t record : records) c.pending.emplace_back(c.queued, record);
    flush(c);
  }

  void flush(Connection& c) {
    while (!c.out.empty()) {
      const ssize_t put = send(c.fd.get(), c.out.data(), c.out.size(), MSG_NOSIGNAL);
      if (put < 0 && errno != EAGAIN) return close(c);
      if (put < 0) break;
      c.out.erase(0, static_cast<std::size_t>(put));
      c.put += static_cast<std::uint64_t>(put);
    }
    while (!c.pending.empty() && c.pending.front().first <= c.put) {
      recorder_->list_change(c.pending.front().second, [](ListChangeRecord& r) { r.delivered_at = now(); });
      c.pending.pop_front();
    }
    loop_.modify(c.fd.get(),
                 EPOLLIN | EPOLLRDHUP | (c.out.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT)), &c);
  }

  void beat() {
    loop_.after(period_, [this, alive = std::weak_ptr<int>(alive_)] {
      if (alive.expired()) return;
      if (mode_ == Mode::kUp) {
        std::vector<std::uint64_t> ids;
        for (const auto& [id, c] : connections_) {
          if (c->watching) ids.push_back(id);
        }
        for (const std::uint64_t id : ids) {
          if (const auto it = connections_.find(id); it != connections_.end())
            write(*it->second, chunk_of("\n"), {});
        }
      }
      beat();
    });
  }

  Loop& loop_;
  Recorder* recorder_;
  const double period_;
  Mode mode_ = Mode::kUp;
  std::uint64_t seq_ = 1, oldest_ = 1, last_ = 0;
  std::map<std::string, Listing> servers_;
  std::map<std::string, std::pair<std::uint64_t, Listing>> history_;  // the last change of each
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

ScriptedDiscovery::ScriptedDiscovery(Loop& loop, Recorder* recorder, double period) : loop_(loop) {
  loop_.call([&] { impl_ = std::make_unique<Impl>(loop, recorder, period); });
}

ScriptedDiscovery::~ScriptedDiscovery() {
  loop_.call([&] { impl_.reset(); });
}

int ScriptedDiscovery::endpoint(const std::string& node, int fixed, const std::string& ip) {
  int out = 0;
  loop_.call([&] { out = impl_->endpoint(node, fixed, ip); });
  return out;
}

void ScriptedDiscovery::dial_by(std::function<std::string(const std::string&, const Listing&)> dial) {
  loop_.call([&] { impl_->dial = std::move(dial); });
}

void ScriptedDiscovery::set(const Listing& server) { set(std::vector{server}); }

void ScriptedDiscovery::set(const std::vector<Listing>& servers) {
  loop_.call([&] { impl_->set(servers); });
}

void ScriptedDiscovery::state(const std::string& host, const std::string& health) {
  loop_.call([&] { impl_->state(host, health); });
}

void ScriptedDiscovery::forget(const std::string& host) {
  loop_.call([&] { impl_->forget(host); });
}

std::vector<Listing> ScriptedDiscovery::list() const {
  std::vector<Listing> out;
  loop_.call([&] { out = impl_->list(); });
  return out;
}

void ScriptedDiscovery::mode(Mode mode) {
  loop_.call([&] { impl_->mode(mode); });
}

void ScriptedDiscovery::lag(double seconds) {
  loop_.call([&] { impl_->lag = seconds; });
}

std::size_t ScriptedDiscovery::watches() const {
  std::size_t out = 0;
  loop_.call([&] { out = impl_->watches(); });
  return out;
}

std::uint64_t ScriptedDiscovery::asked() const {
  std::uint64_t out = 0;
  loop_.call([&] { out = impl_->asked; });
  return out;
}

}  // namespace nettlestand::standins
