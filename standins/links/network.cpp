#include "standins/links/network.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <set>
#include <stdexcept>
#include <utility>
#include <vector>

#include "standins/links/listen_probe.h"

namespace nettlestand::standins {
namespace {

constexpr double kListenPollInterval = 0.005;         // s between checks of which targets listen
constexpr std::size_t kRelayBufferBytes = 64 * 1024;  // bytes per direction that a relay buffers
// Kernel buffer of each socket; small, so that a stalled reader soon blocks its writer.
constexpr int kSocketBufferBytes = 64 * 1024;
constexpr double kDelayedAfter = 0.005;  // s; longer transfers are reported by delayed_bytes()
constexpr int kMaxMachines = 250, kLockPort = 65001;

using Direction = std::pair<int, int>;  // from, to

}  // namespace

class Network::Impl {
 public:
  Impl(Loop& loop, std::uint64_t seed) : loop_(loop), seed_(seed) {
    for (int i = 0; i < 200 && !subnet_lock_; ++i) {
      subnet_ = 20 + (static_cast<int>(getpid()) * 7 + i) % 200;
      try {
        subnet_lock_ = listen_on(Address{prefix() + "0.254", kLockPort}, 0);
      } catch (const std::runtime_error&) {
      }
    }
    if (!subnet_lock_) throw std::runtime_error("no loopback subnet 127.N.0.0/16 is free");
    schedule_listener_refresh();
  }
  ~Impl() {
    loop_.cancel(refresh_timer_);
    while (!relays_.empty()) drop(*relays_.begin()->second);
    for (auto& [at, proxy] : proxies_) proxy->shut();
    for (auto& [at, socket] : datagram_proxies_) loop_.remove(socket->fd.get());
    for (Loop::Timer timer : delivery_timers_) loop_.cancel(timer);
  }

  int add_machine() {
    if (machines_ == kMaxMachines) throw std::length_error("a network has 250 machines at most");
    return ++machines_;
  }
  std::string ip(int machine) const { return prefix() + "0." + std::to_string(machine); }
  std::string link_ip(int from, int to) const {
    return prefix() + std::to_string(from) + "." + std::to_string(to);
  }

  Address tcp(int from, int to, int port) {
    const Address at{link_ip(from, to), port};
    std::unique_ptr<ProxyListener>& proxy = proxies_[at];
    if (!proxy) {
      proxy = std::make_unique<ProxyListener>(*this, from, to, at, Address{ip(to), port});
      update_listener(*proxy);
    }
    return at;
  }

  Address udp(int a, int a_port, int b, int b_port) {
    datagram_proxy(a, a_port, b, b_port);
    datagram_proxy(b, b_port, a, a_port);
    return {link_ip(a, b), b_port};
  }

  Address udp_broadcast(int from, int from_port) {
    const Address at{prefix() + std::to_string(from) + ".255", from_port};
    if (!datagram_proxies_.contains(at)) {
      auto made = std::make_unique<DatagramProxy>(*this, bind_udp(at), from, 0, from_port, 0);
      loop_.add(made->fd.get(), EPOLLIN, made.get());
      datagram_proxies_.emplace(at, std::move(made));
    }
    return at;
  }

  std::uint64_t begin(int from, int to, const LinkFaults& faults) {
    const std::uint64_t id = ++last_fault_;
    faults_[id] = {{from, to}, faults};
    changed({from, to});
    return id;
  }
  void end(std::uint64_t fault) {
    const auto it = faults_.find(fault);
    if (it == faults_.end()) return;
    const Direction where = it->second.first;
    faults_.erase(it);
    changed(where);
  }

  void reset(int a, int b) {
    for (Relay* relay : relays_between(a, b)) {
      for (Side& side : relay->sides) set_reset_on_close(side.fd.get());
      drop(*relay);
    }
  }

  void half_open(int gone, int other) {
    for (Relay* relay : relays_between(gone, other)) {
      const int at = relay->from == gone ? 0 : 1;
      set_reset_on_close(relay->sides[at].fd.get());
      close_side(*relay, at);
      relay->half_open = true;
    }
  }

  void refresh_listeners() {
    for (auto& [at, proxy] : proxies_) update_listener(*proxy);
  }

  std::vector<DelayedBytes> delayed_bytes;

  Counts counts(int from, int to) const {
    const auto it = links_.find({from, to});
    return it == links_.end() ? Counts{} : it->second.counts;
  }

 private:
  // One direction between two machines.
  struct LinkState {
    explicit LinkState(std::uint64_t seed) : model(seed) {}
    LinkModel model;
    Counts counts;
  };

  // Accepts the connections from one machine to a port of another.
  struct ProxyListener : Watcher {
    ProxyListener(Impl& owner, int from, int to, Address at, Address target)
        : owner(owner), from(from), to(to), at(std::move(at)), target(std::move(target)) {
      port_holder = listen_on(this->at, -1);  // reserves the address; connects are refused until it listens
    }
    void ready(std::uint32_t) override { owner.accept(*this); }
    void shut() {
      if (listener) owner.loop_.remove(listener.get());
      listener.close();
      queue_filler.close();
    }
    Impl& owner;
    const int from, to;
    const Address at, target;
    Fd port_holder, listener, queue_filler;
    int queue_filler_port = 0;
    ListenState state = ListenState::kNotListening;
  };

  // One direction of a relayed connection.
  struct StreamDirection {
    struct Chunk {
      double at = 0, sent = 0;
      std::string bytes;
      bool fin = false, reset = false;
    };
    std::deque<Chunk> chunks;
    std::size_t buffered_bytes = 0;
    double last_arrival = 0;                // of the last chunk read
    bool ended = false, delivered = false;  // the end of the stream was read; was delivered
    Loop::Timer timer{0, 0};
  };
  struct Relay;
  // One of the two sockets of a relay.
  struct Side : Watcher {
    void ready(std::uint32_t events) override;
    Relay* relay = nullptr;
    int number = 0;
    Fd fd;
    std::uint32_t interest = 0;
    bool connected = true;
    // Hung up, but not read because the buffer is full. It is removed from the poller, which would report the
    // hangup without end.
    bool unwatched = false;
  };
  // A TCP connection relayed between two machines.
  struct Relay {
    Impl* owner = nullptr;
    std::uint64_t id = 0;
    int from = 0, to = 0;                    // `from` is the side that connected
    std::array<Side, 2> sides;               // sockets towards `from` and towards `to`
    std::array<StreamDirection, 2> streams;  // stream i carries what sides[i] sends
    bool half_open = false;                  // one side was closed without notifying the other
  };
  // Receives the datagrams from one socket to another, or to all of its peers.
  struct DatagramProxy : Watcher {
    DatagramProxy(Impl& owner, Fd fd, int from, int to, int from_port, int to_port)
        : owner(owner), fd(std::move(fd)), from(from), to(to), from_port(from_port), to_port(to_port) {}
    void ready(std::uint32_t) override { owner.read_datagrams(*this); }
    Impl& owner;
    Fd fd;
    const int from, to, from_port, to_port;  // `to` is 0 for broadcast
  };

  std::string prefix() const { return "127." + std::to_string(subnet_) + "."; }

  LinkState& link_state(int from, int to) {
    const auto it = links_.find({from, to});
    if (it != links_.end()) return it->second;
    return links_
        .emplace(Direction{from, to},
                 LinkState(seed_ * 1000003 + static_cast<std::uint64_t>(from * 256 + to)))
        .first->second;
  }

  // Applies the faults of a direction after a change.
  void changed(Direction where) {
    LinkFaults all;
    for (const auto& [id, fault] : faults_) {
      if (fault.first == where) all = combine(all, fault.second);
    }
    link_state(where.first, where.second).model.set(all);
    for (auto& [at, proxy] : proxies_) {
      if (Direction(proxy->from, proxy->to) == where || Direction(proxy->to, proxy->from) == where) {
        update_listener(*proxy);
      }
    }
    // Chunks that were held back while the link was cut are retransmitted.
    for (auto& [id, relay] : relays_) {
      for (int side = 0; side < 2; ++side) {
        if (direction_of(*relay, side) != where) continue;
        StreamDirection& stream = relay->streams[static_cast<std::size_t>(side)];
        double last = now();
        for (StreamDirection::Chunk& chunk : stream.chunks) {
          if (chunk.at == LinkModel::kNever) {
            chunk.at =
                link_state(where.first, where.second).model.stream_arrival(now(), chunk.bytes.size(), last);
          }
          last = std::max(last, chunk.at);
        }
        stream.last_arrival = last;
        schedule_delivery(*relay, side);
      }
    }
  }

  Direction direction_of(const Relay& relay, int side) const {
    return side == 0 ? Direction{relay.from, relay.to} : Direction{relay.to, relay.from};
  }

  std::vector<Relay*> relays_between(int a, int b) {
    std::vector<Relay*> out;
    for (auto& [id, relay] : relays_) {
      if ((relay->from == a && relay->to == b) || (relay->from == b && relay->to == a)) {
        out.push_back(relay.get());
      }
    }
    return out;
  }

  // ------------------------------------------------------------ listeners

  void schedule_listener_refresh() {
    refresh_timer_ = loop_.after(kListenPollInterval, [this] {
      refresh_listeners();
      schedule_listener_refresh();
    });
  }

  // Makes a proxy react to connects as its target would: accept, refuse or not reply.
  void update_listener(ProxyListener& proxy) {
    const bool cut = link_state(proxy.from, proxy.to).model.faults().cut ||
                     link_state(proxy.to, proxy.from).model.faults().cut;
    ListenState state = cut ? ListenState::kQueueFull : probe_.query(proxy.target);
    if (state == proxy.state) return;
    const bool was_not_listening = proxy.state == ListenState::kNotListening;
    proxy.state = state;
    if (state == ListenState::kNotListening) return proxy.shut();
    if (was_not_listening) {
      proxy.listener = listen_on(proxy.at, state == ListenState::kQueueFull ? 0 : 4096);
      loop_.add(proxy.listener.get(),
                state == ListenState::kQueueFull ? 0U : static_cast<std::uint32_t>(EPOLLIN), &proxy);
    }
    if (state == ListenState::kQueueFull) {
      accept(proxy);  // connections established before the queue was full
      // A backlog of 0 leaves space for one connection in the accept queue. With that taken by a connection
      // of our own, further connects get no reply.
      listen(proxy.listener.get(), 0);
      proxy.queue_filler = connect_to(proxy.at);
      proxy.queue_filler_port = port_of(proxy.queue_filler.get());
      if (!was_not_listening) loop_.modify(proxy.listener.get(), 0, &proxy);
    } else if (!was_not_listening) {
      listen(proxy.listener.get(), 4096);
      proxy.queue_filler.close();
      loop_.modify(proxy.listener.get(), EPOLLIN, &proxy);
    }
  }

  void accept(ProxyListener& proxy) {
    while (proxy.listener) {
      sockaddr_in who{};
      socklen_t size = sizeof who;
      Fd fd(accept4(proxy.listener.get(), reinterpret_cast<sockaddr*>(&who), &size,
                    SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd) return;
      if (proxy.queue_filler_port != 0 && ntohs(who.sin_port) == proxy.queue_filler_port) {
        proxy.queue_filler_port = 0;
        continue;
      }
      open(proxy, std::move(fd));
    }
  }

  // ------------------------------------------------------------ streams

  void open(const ProxyListener& proxy, Fd near) {
    Fd far = connect_to(proxy.target, link_ip(proxy.to, proxy.from));
    if (!far) {
      set_reset_on_close(near.get());
      return;
    }
    auto made = std::make_unique<Relay>();
    Relay& r = *made;
    r.owner = this;
    r.id = ++last_relay_;
    r.from = proxy.from;
    r.to = proxy.to;
    const int on = 1;
    setsockopt(near.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    for (Fd* fd : {&near, &far}) {
      setsockopt(fd->get(), SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes, sizeof kSocketBufferBytes);
      setsockopt(fd->get(), SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof kSocketBufferBytes);
    }
    r.sides[0].fd = std::move(near);
    r.sides[1].fd = std::move(far);
    r.sides[1].connected = false;
    // The handshake takes a round trip before the first byte may be sent.
    LinkState& outbound = link_state(proxy.from, proxy.to);
    r.streams[0].last_arrival = now() + outbound.model.handshake_time() +
                                link_state(proxy.to, proxy.from).model.handshake_time() +
                                outbound.model.faults().delay;
    ++outbound.counts.connections;
    relays_.emplace(r.id, std::move(made));
    for (int i = 0; i < 2; ++i) {
      Side& side = r.sides[static_cast<std::size_t>(i)];
      side.relay = &r;
      side.number = i;
      side.interest = EPOLLIN | (side.connected ? 0U : static_cast<std::uint32_t>(EPOLLOUT));
      loop_.add(side.fd.get(), side.interest, &side);
    }
  }

  void ready(Side& side, std::uint32_t events) {
    if (!side.fd) return;
    Relay& r = *side.relay;
    const std::uint64_t id = r.id;
    if (!side.connected) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(side.fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) {
        ++link_state(r.from, r.to).counts.refused;
        set_reset_on_close(r.sides[0].fd.get());
        return drop(r);
      }
      if ((events & EPOLLOUT) == 0) return;
      side.connected = true;
    }
    if ((events & EPOLLOUT) != 0) {
      deliver(r, 1 - side.number);
      if (!relays_.contains(id) || !side.fd) return;
    }
    const bool dead = (events & (EPOLLHUP | EPOLLERR)) != 0;
    if ((side.interest & EPOLLIN) != 0 && (dead || (events & EPOLLIN) != 0)) {
      read_stream(r, side.number);
    } else if ((events & EPOLLERR) != 0) {  // reset after its end of stream was read
      on_socket_reset(r, side.number);
    } else if (dead && !side.unwatched) {
      loop_.remove(side.fd.get());
      side.unwatched = true;
    }
    if (relays_.contains(id)) update_interest(r);
  }

  // Reads what a side has sent while there is space in the buffer.
  void read_stream(Relay& r, int from) {
    Side& side = r.sides[static_cast<std::size_t>(from)];
    StreamDirection& stream = r.streams[static_cast<std::size_t>(from)];
    const auto [a, b] = direction_of(r, from);
    LinkState& link = link_state(a, b);
    while (side.fd && !stream.ended && stream.buffered_bytes < kRelayBufferBytes) {
      const ssize_t got = recv(side.fd.get(), scratch_.data(), scratch_.size(), 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) break;
      if (r.half_open && got >= 0) {  // the other end does not know this connection
        if (link.model.faults().cut) return stream.chunks.clear();
        set_reset_on_close(side.fd.get());
        return drop(r);
      }
      StreamDirection::Chunk chunk;
      chunk.sent = now();
      if (got > 0) {
        chunk.bytes.assign(scratch_.data(), static_cast<std::size_t>(got));
        stream.buffered_bytes += chunk.bytes.size();
      } else {
        stream.ended = true;
        chunk.fin = got == 0;
        chunk.reset = got < 0;
      }
      chunk.at = link.model.stream_arrival(chunk.sent, chunk.bytes.size(), stream.last_arrival);
      stream.last_arrival = chunk.at;
      if (chunk.reset) {  // this side is closed: nothing can be delivered to it any more
        stream.chunks.push_back(std::move(chunk));
        close_side(r, from);
        break;
      }
      stream.chunks.push_back(std::move(chunk));
    }
    deliver(r, from);
  }

  // Writes the chunks that have arrived by now to the other side.
  void deliver(Relay& r, int from) {
    StreamDirection& stream = r.streams[static_cast<std::size_t>(from)];
    Side& to = r.sides[static_cast<std::size_t>(1 - from)];
    const auto [a, b] = direction_of(r, from);
    while (!stream.chunks.empty() && stream.chunks.front().at <= now()) {
      StreamDirection::Chunk& chunk = stream.chunks.front();
      if (!to.fd) {
        stream.buffered_bytes -= chunk.bytes.size();
        stream.delivered |= chunk.fin || chunk.reset;
        stream.chunks.pop_front();
        continue;
      }
      if (!to.connected) break;
      if (!chunk.bytes.empty()) {
        const ssize_t sent = send(to.fd.get(), chunk.bytes.data(), chunk.bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) break;
        if (sent < 0) {
          on_socket_reset(r, 1 - from);
          continue;
        }
        link_state(a, b).counts.bytes += static_cast<std::uint64_t>(sent);
        if (from == 0 && now() - chunk.sent > kDelayedAfter) {
          delayed_bytes.push_back({address_of(to.fd.get()).port, chunk.sent, now()});
        }
        stream.buffered_bytes -= static_cast<std::size_t>(sent);
        chunk.bytes.erase(0, static_cast<std::size_t>(sent));
        if (!chunk.bytes.empty()) break;
      }
      if (chunk.reset) {
        ++link_state(a, b).counts.resets;
        set_reset_on_close(to.fd.get());
        stream.delivered = true;
        stream.chunks.pop_front();
        return drop(r);
      }
      if (chunk.fin) {
        shutdown(to.fd.get(), SHUT_WR);
        stream.delivered = true;
      }
      stream.chunks.pop_front();
    }
    const auto finished = [](const StreamDirection& p) { return p.delivered && p.chunks.empty(); };
    if (finished(r.streams[0]) && finished(r.streams[1])) return drop(r);
    if (!r.sides[0].fd && !r.sides[1].fd) return drop(r);
    // A due chunk that remains waits until its socket is writable, which the poller reports.
    if (!stream.chunks.empty() && stream.chunks.front().at > now()) schedule_delivery(r, from);
    update_interest(r);
  }

  // A write found this side reset: the reset travels to the other side as part of the stream.
  void on_socket_reset(Relay& r, int side) {
    StreamDirection& stream = r.streams[static_cast<std::size_t>(side)];
    const auto [a, b] = direction_of(r, side);
    StreamDirection::Chunk chunk;
    chunk.sent = now();
    chunk.reset = true;
    stream.last_arrival = chunk.at =
        link_state(a, b).model.stream_arrival(chunk.sent, 0, stream.last_arrival);
    stream.chunks.push_back(std::move(chunk));
    stream.ended = true;
    stream.delivered = false;  // its end of stream may have been delivered, but the reset hasn't
    close_side(r, side);
    schedule_delivery(r, side);
  }

  void schedule_delivery(Relay& r, int from) {
    StreamDirection& stream = r.streams[static_cast<std::size_t>(from)];
    loop_.cancel(stream.timer);
    if (stream.chunks.empty() || stream.chunks.front().at == LinkModel::kNever) return;
    stream.timer = loop_.at(stream.chunks.front().at, [this, id = r.id, from] {
      const auto it = relays_.find(id);
      if (it == relays_.end()) return;
      it->second->streams[static_cast<std::size_t>(from)].timer = {0, 0};
      deliver(*it->second, from);
    });
  }

  void update_interest(Relay& r) {
    for (int i = 0; i < 2; ++i) {
      Side& side = r.sides[static_cast<std::size_t>(i)];
      if (!side.fd || !side.connected) continue;
      const StreamDirection& out = r.streams[static_cast<std::size_t>(1 - i)];
      const StreamDirection& in = r.streams[static_cast<std::size_t>(i)];
      std::uint32_t interest = 0;
      if (!in.ended && in.buffered_bytes < kRelayBufferBytes) interest |= EPOLLIN;
      if (!out.chunks.empty() && out.chunks.front().at <= now()) interest |= EPOLLOUT;
      if (interest == side.interest) continue;
      side.interest = interest;
      if (!side.unwatched) {
        loop_.modify(side.fd.get(), interest, &side);
      } else if ((interest & EPOLLIN) != 0) {
        loop_.add(side.fd.get(), interest, &side);
        side.unwatched = false;
      }
    }
  }

  void close_side(Relay& r, int number) {
    Side& side = r.sides[static_cast<std::size_t>(number)];
    if (!side.fd) return;
    if (!side.unwatched) loop_.remove(side.fd.get());
    side.fd.close();
  }

  void drop(Relay& r) {
    for (StreamDirection& stream : r.streams) loop_.cancel(stream.timer);
    for (int i = 0; i < 2; ++i) close_side(r, i);
    const auto it = relays_.find(r.id);
    closed_relays_.push_back(std::move(it->second));
    relays_.erase(it);
    if (closed_relays_.size() == 1)
      loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) closed_relays_.clear();
      });
  }

  // ------------------------------------------------------------ datagrams

  DatagramProxy& datagram_proxy(int from, int from_port, int to, int to_port) {
    const Address at{link_ip(from, to), to_port};
    auto it = datagram_proxies_.find(at);
    if (it == datagram_proxies_.end()) {
      auto made = std::make_unique<DatagramProxy>(*this, bind_udp(at), from, to, from_port, to_port);
      loop_.add(made->fd.get(), EPOLLIN, made.get());
      it = datagram_proxies_.emplace(at, std::move(made)).first;
      proxies_by_sender_[{from, from_port}].push_back(it->second.get());
    }
    return *it->second;
  }

  void read_datagrams(DatagramProxy& d) {
    for (int i = 0; i < 64; ++i) {
      sockaddr_in who{};
      socklen_t size = sizeof who;
      const ssize_t got =
          recvfrom(d.fd.get(), scratch_.data(), scratch_.size(), 0, reinterpret_cast<sockaddr*>(&who), &size);
      if (got < 0) return;
      std::array<char, INET_ADDRSTRLEN> ip_text{};
      inet_ntop(AF_INET, &who.sin_addr, ip_text.data(), ip_text.size());
      if (ip(d.from) != ip_text.data() || ntohs(who.sin_port) != d.from_port) {
        ++link_state(d.from, d.to).counts.unknown_senders;
        continue;
      }
      const std::string bytes(scratch_.data(), static_cast<std::size_t>(got));
      if (d.to != 0) {
        forward_datagram(d, bytes);
      } else {
        for (DatagramProxy* one : proxies_by_sender_[{d.from, d.from_port}]) forward_datagram(*one, bytes);
      }
    }
  }

  void forward_datagram(const DatagramProxy& d, const std::string& bytes) {
    LinkState& link = link_state(d.from, d.to);
    ++link.counts.sent;
    for (const LinkModel::Delivery& one : link.model.datagram_arrivals(now(), bytes.size())) {
      std::string copy = bytes;
      if (one.corrupt && !copy.empty()) {
        const auto at = static_cast<std::size_t>(link.model.uniform_below(copy.size()));
        copy[at] = static_cast<char>(copy[at] ^ (1 << link.model.uniform_below(8)));
        ++link.counts.corrupted;
      }
      if (one.at <= now()) {
        deliver_datagram(d, copy);
        continue;
      }
      auto timer = std::make_shared<Loop::Timer>();
      *timer = loop_.at(one.at, [this, &d, copy = std::move(copy), timer] {
        delivery_timers_.erase(*timer);
        deliver_datagram(d, copy);
      });
      delivery_timers_.insert(*timer);
    }
  }

  void deliver_datagram(const DatagramProxy& d, const std::string& bytes) {
    LinkState& link = link_state(d.from, d.to);
    if (link.model.faults().cut) return;  // in transit when the link was cut
    // Sent from the address by which the receiver reaches the sender.
    DatagramProxy& out = datagram_proxy(d.to, d.to_port, d.from, d.from_port);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(d.to_port));
    inet_pton(AF_INET, ip(d.to).c_str(), &to.sin_addr);
    if (sendto(out.fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
               sizeof to) >= 0) {
      ++link.counts.arrived;
    }
  }

  Loop& loop_;
  const std::uint64_t seed_;
  int subnet_ = 0, machines_ = 0;
  Fd subnet_lock_;
  ListenProbe probe_;
  Loop::Timer refresh_timer_{0, 0};
  std::map<Direction, LinkState> links_;
  std::map<std::uint64_t, std::pair<Direction, LinkFaults>> faults_;
  std::map<Address, std::unique_ptr<ProxyListener>> proxies_;
  std::map<std::uint64_t, std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<Relay>> closed_relays_;
  std::map<Address, std::unique_ptr<DatagramProxy>> datagram_proxies_;
  std::map<std::pair<int, int>, std::vector<DatagramProxy*>>
      proxies_by_sender_;  // by sending machine and port
  std::set<Loop::Timer> delivery_timers_;
  std::uint64_t last_fault_ = 0, last_relay_ = 0;
  std::array<char, 64 * 1024> scratch_{};
  std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

void Network::Impl::Side::ready(std::uint32_t events) { relay->owner->ready(*this, events); }

Network::Network(Loop& loop, std::uint64_t seed) : loop_(loop) {
  loop_.call([&] { impl_ = std::make_unique<Impl>(loop, seed); });
}
Network::~Network() {
  loop_.call([&] { impl_.reset(); });
}

namespace {

template <class F>
auto call_on(Loop& loop, F&& f) {
  decltype(f()) out{};
  loop.call([&] { out = f(); });
  return out;
}

}  // namespace

int Network::add_machine() {
  return call_on(loop_, [&] { return impl_->add_machine(); });
}
std::string Network::ip(int machine) const { return impl_->ip(machine); }
std::string Network::link_ip(int from, int to) const { return impl_->link_ip(from, to); }
Address Network::tcp(int from, int to, int port) {
  return call_on(loop_, [&] { return impl_->tcp(from, to, port); });
}
Address Network::udp(int a, int a_port, int b, int b_port) {
  return call_on(loop_, [&] { return impl_->udp(a, a_port, b, b_port); });
}
Address Network::udp_broadcast(int from, int from_port) {
  return call_on(loop_, [&] { return impl_->udp_broadcast(from, from_port); });
}
std::uint64_t Network::begin(int from, int to, const LinkFaults& faults) {
  return call_on(loop_, [&] { return impl_->begin(from, to, faults); });
}
void Network::end(std::uint64_t fault) {
  loop_.call([&] { impl_->end(fault); });
}
void Network::reset(int a, int b) {
  loop_.call([&] { impl_->reset(a, b); });
}
void Network::half_open(int gone, int other) {
  loop_.call([&] { impl_->half_open(gone, other); });
}
void Network::refresh_listeners() {
  loop_.call([&] { impl_->refresh_listeners(); });
}
std::vector<Network::DelayedBytes> Network::delayed_bytes() const {
  return call_on(loop_, [&] { return impl_->delayed_bytes; });
}
Network::Counts Network::counts(int from, int to) const {
  return call_on(loop_, [&] { return impl_->counts(from, to); });
}

}  // namespace nettlestand::standins
