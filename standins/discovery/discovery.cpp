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

using AddressMapping = std::function<std::string(const ServerEntry&)>;

std::string to_json(const ServerEntry& s, const AddressMapping& address_mapping) {
  std::array<char, 32> share{};
  std::snprintf(share.data(), share.size(), "%.6g", s.share);
  return R"({"host":")" + s.host + R"(","dial":")" + address_mapping(s) + R"(","site":")" + s.site +
         R"(","class":")" + s.kind + R"(","block":)" + std::to_string(s.block) + R"(,"health":")" + s.health +
         R"(","share":)" + share.data() + R"(,"born_ms":)" + std::to_string(s.born_ms) + "}";
}

std::string to_json(std::uint64_t seq, bool whole, const std::vector<ServerEntry>& servers,
                    const AddressMapping& address_mapping) {
  std::string out =
      R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)";
  for (const ServerEntry& s : servers) {
    if (out.back() != '[') out += ',';
    out += to_json(s, address_mapping);
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
  Impl(Loop& loop, Recorder* recorder, double heartbeat_interval)
      : loop_(loop), recorder_(recorder), heartbeat_interval_(heartbeat_interval) {
    send_heartbeats();
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
      e->port_holder = listen_on(Address{ip, fixed}, -1);
      e->port = port_of(e->port_holder.get());
      apply_mode(*e);
    }
    return e->port;
  }

  void update(const std::vector<ServerEntry>& servers) {
    ++seq_;
    for (const ServerEntry& s : servers) {
      if (s.health != "active" && s.health != "leaving" && s.health != "left") {
        throw std::invalid_argument("'" + s.health + "' is not a server health state");
      }
      if (s.health == "left") {
        servers_.erase(s.host);
      } else {
        servers_[s.host] = s;
      }
      history_[s.host] = {seq_, s};
    }
    std::vector<Connection*> watching;  // a send may close one; it is destroyed in the next round of the loop
    for (const auto& [id, c] : connections_) {
      if (c->watching) watching.push_back(c.get());
    }
    for (Connection* c : watching)
      send_changes(*c, to_json(seq_, false, servers, mapping_for(*c)) + "\n", servers);
  }

  void set_health(const std::string& host, const std::string& health) {
    const auto it = servers_.find(host);
    if (it == servers_.end()) throw std::invalid_argument("no server '" + host + "'");
    ServerEntry changed = it->second;
    changed.health = health;
    update({changed});
  }

  void remove_silently(const std::string& host) {
    ++seq_;
    servers_.erase(host);
    history_.erase(host);
    oldest_ = seq_;  // watches can't resume from an index before this change
  }

  std::vector<ServerEntry> list() const {
    std::vector<ServerEntry> out;
    for (const auto& [host, s] : servers_) out.push_back(s);
    return out;
  }

  void set_mode(Mode mode) {
    mode_ = mode;
    for (auto& [node, e] : endpoints_) apply_mode(*e);
    if (mode != Mode::kRefuse && mode != Mode::kUnavailable) return;
    while (!connections_.empty()) close(*connections_.begin()->second);
  }

  std::size_t open_watches() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& entry) { return entry.second->watching; }));
  }

  std::function<std::string(const std::string&, const ServerEntry&)> address_mapping;
  double delay = 0;
  std::uint64_t request_count = 0;

 private:
  template <class C>
  AddressMapping mapping_for(const C& c) const {
    return [this, &c](const ServerEntry& s) {
      return address_mapping ? address_mapping(c.endpoint.node, s) : "127.0.0.1:" + std::to_string(s.port);
    };
  }
  // The listener that serves one node. `port_holder` keeps the port bound while the listener is closed.
  struct Endpoint : Watcher {
    Endpoint(Impl& owner, std::string node) : owner(owner), node(std::move(node)) {}
    void ready(std::uint32_t) override { owner.accept(*this); }
    Impl& owner;
    std::string node;
    Fd port_holder, listener;
    std::string ip;
    int port = 0;
    bool listening = false;
    std::set<std::string> known;  // hosts that this node has been sent
  };
  struct Connection : Watcher {
    Connection(Impl& owner, Fd fd, Endpoint& endpoint, std::uint64_t id)
        : owner(owner), fd(std::move(fd)), endpoint(endpoint), id(id) {}
    void ready(std::uint32_t events) override {
      if (!fd) return;
      if ((events & EPOLLOUT) != 0) owner.flush(*this);
      if (fd && (events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) owner.read(*this);
    }
    Impl& owner;
    Fd fd;
    Endpoint& endpoint;
    const std::uint64_t id;
    std::string in, out;
    std::uint64_t written = 0, queued = 0;  // total bytes
    std::deque<std::pair<std::uint64_t, std::size_t>>
        pending;  // record to complete once `written` reaches the number
    bool watching = false;
  };

  // Opens or closes a listener according to the mode.
  void apply_mode(Endpoint& endpoint) {
    const bool wanted = mode_ != Mode::kRefuse;
    if (wanted == endpoint.listening) return;
    if (wanted) {
      endpoint.listener = listen_on(Address{endpoint.ip, endpoint.port});
      loop_.add(endpoint.listener.get(), EPOLLIN, &endpoint);
    } else {
      loop_.remove(endpoint.listener.get());
      endpoint.listener.close();
    }
    endpoint.listening = wanted;
  }

  void accept(Endpoint& endpoint) {
    while (endpoint.listening) {
      Fd fd(accept4(endpoint.listener.get(), nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK));
      if (!fd) return;
      const int on = 1;
      setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      auto made = std::make_unique<Connection>(*this, std::move(fd), endpoint, ++last_connection_);
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
    ++request_count;
    if (mode_ == Mode::kUnavailable) {
      write(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", {});
      return close(c);
    }
    if (target.rfind("/v1/servers", 0) != 0) {
      return write(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", {});
    }
    if (target.find("stream=1") == std::string::npos) {
      const std::string body = to_json(seq_, true, list(), mapping_for(c)) + "\n";
      return write_delayed(
          c, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          full_list_changes(c.endpoint));
    }
    write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", {});
    if (!c.fd) return;
    c.watching = true;
    std::uint64_t since = 0;
    const std::size_t index = target.find("index=");
    const bool resumes =
        index != std::string::npos &&
        std::from_chars(target.data() + index + 6, target.data() + target.size(), since).ec == std::errc() &&
        since >= oldest_ && since <= seq_;
    if (!resumes)
      return write_delayed(c, chunk_of(to_json(seq_, true, list(), mapping_for(c)) + "\n"),
                           full_list_changes(c.endpoint));
    std::vector<ServerEntry> changed;
    for (const auto& [host, entry] : history_) {
      if (entry.first > since) changed.push_back(entry.second);
    }
    if (!changed.empty()) send_changes(c, to_json(seq_, false, changed, mapping_for(c)) + "\n", changed);
  }

  // Changes that a full list conveys: every server in it, and `left` for each known server that it omits.
  std::vector<ServerEntry> full_list_changes(const Endpoint& endpoint) const {
    std::vector<ServerEntry> out = list();
    for (const std::string& host : endpoint.known) {
      if (servers_.contains(host)) continue;
      ServerEntry gone;
      gone.host = host;
      gone.health = "left";
      out.push_back(gone);
    }
    return out;
  }

  void send_changes(Connection& c, const std::string& line, const std::vector<ServerEntry>& servers) {
    write_delayed(c, chunk_of(line), servers);
  }

  // Writes now, or after the configured delay, and opens a record for each server conveyed.
  void write_delayed(Connection& c, const std::string& bytes, const std::vector<ServerEntry>& servers) {
    std::vector<std::size_t> records;
    for (const ServerEntry& s : servers) {
      c.endpoint.known.insert(s.host);
      if (recorder_ == nullptr) continue;
      records.push_back(recorder_->open(ListChangeRecord{c.endpoint.node, s.host, s.health, now(), 0}));
    }
    if (delay <= 0 && mode_ != Mode::kSilent) return write(c, bytes, records);
    write_at(c.id, now() + delay, bytes, records);
  }

  // Timers fire in order, so later changes are not written before earlier ones. In silent mode it tries again
  // until the mode changes.
  void write_at(std::uint64_t id, double until, const std::string& bytes,
                const std::vector<std::size_t>& records) {
    loop_.at(until, [this, alive = std::weak_ptr<int>(alive_), id, bytes, records] {
      if (alive.expired()) return;
      const auto it = connections_.find(id);
      if (it == connections_.end()) return;
      if (mode_ == Mode::kSilent) return write_at(id, now() + 0.05, bytes, records);
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
      const ssize_t written = send(c.fd.get(), c.out.data(), c.out.size(), MSG_NOSIGNAL);
      if (written < 0 && errno != EAGAIN) return close(c);
      if (written < 0) break;
      c.out.erase(0, static_cast<std::size_t>(written));
      c.written += static_cast<std::uint64_t>(written);
    }
    while (!c.pending.empty() && c.pending.front().first <= c.written) {
      recorder_->list_change(c.pending.front().second, [](ListChangeRecord& r) { r.delivered_at = now(); });
      c.pending.pop_front();
    }
    loop_.modify(c.fd.get(),
                 EPOLLIN | EPOLLRDHUP | (c.out.empty() ? 0U : static_cast<std::uint32_t>(EPOLLOUT)), &c);
  }

  // Writes an empty line to each watch, every heartbeat interval.
  void send_heartbeats() {
    loop_.after(heartbeat_interval_, [this, alive = std::weak_ptr<int>(alive_)] {
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
      send_heartbeats();
    });
  }

  Loop& loop_;
  Recorder* recorder_;
  const double heartbeat_interval_;
  Mode mode_ = Mode::kUp;
  std::uint64_t seq_ = 1, oldest_ = 1, last_connection_ = 0;
  std::map<std::string, ServerEntry> servers_;
  std::map<std::string, std::pair<std::uint64_t, ServerEntry>>
      history_;  // last change of each host, with its index
  std::map<std::string, std::unique_ptr<Endpoint>> endpoints_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

ScriptedDiscovery::ScriptedDiscovery(Loop& loop, Recorder* recorder, double heartbeat_interval)
    : loop_(loop) {
  loop_.call([&] { impl_ = std::make_unique<Impl>(loop, recorder, heartbeat_interval); });
}

ScriptedDiscovery::~ScriptedDiscovery() {
  loop_.call([&] { impl_.reset(); });
}

int ScriptedDiscovery::endpoint(const std::string& node, int fixed, const std::string& ip) {
  int out = 0;
  loop_.call([&] { out = impl_->endpoint(node, fixed, ip); });
  return out;
}

void ScriptedDiscovery::set_address_mapping(
    std::function<std::string(const std::string&, const ServerEntry&)> address_mapping) {
  loop_.call([&] { impl_->address_mapping = std::move(address_mapping); });
}

void ScriptedDiscovery::update(const ServerEntry& server) { update(std::vector{server}); }

void ScriptedDiscovery::update(const std::vector<ServerEntry>& servers) {
  loop_.call([&] { impl_->update(servers); });
}

void ScriptedDiscovery::set_health(const std::string& host, const std::string& health) {
  loop_.call([&] { impl_->set_health(host, health); });
}

void ScriptedDiscovery::remove_silently(const std::string& host) {
  loop_.call([&] { impl_->remove_silently(host); });
}

std::vector<ServerEntry> ScriptedDiscovery::list() const {
  std::vector<ServerEntry> out;
  loop_.call([&] { out = impl_->list(); });
  return out;
}

void ScriptedDiscovery::set_mode(Mode mode) {
  loop_.call([&] { impl_->set_mode(mode); });
}

void ScriptedDiscovery::set_delay(double seconds) {
  loop_.call([&] { impl_->delay = seconds; });
}

std::size_t ScriptedDiscovery::open_watches() const {
  std::size_t out = 0;
  loop_.call([&] { out = impl_->open_watches(); });
  return out;
}

std::uint64_t ScriptedDiscovery::request_count() const {
  std::uint64_t out = 0;
  loop_.call([&] { out = impl_->request_count; });
  return out;
}

}  // namespace nettlestand::standins
