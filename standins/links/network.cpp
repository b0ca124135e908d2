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

#include "standins/links/listening.h"

namespace nettlestand::standins {
namespace {

constexpr double kLook = 0.005;           // s between looks at who listens
constexpr std::size_t kHeld = 64 * 1024;  // bytes of a direction that wait in the relay
constexpr int kKernelBuffer = 64 * 1024;  // and in each socket, so that a stalled reader is felt soon
constexpr double kHeldBack = 0.005;       // s; what takes longer is told of in held()
constexpr int kMostMachines = 250, kLockPort = 65001;

using Pair = std::pair<int, int>;  // from, to

}  // namespace

class Network::Impl {
 public:
  Impl(Loop& loop, std::uint64_t seed) : loop_(loop), seed_(seed) {
    for (int i = 0; i < 200 && !lock_; ++i) {
      net_ = 20 + (static_cast<int>(getpid()) * 7 + i) % 200;
      try {
        lock_ = listen_on(Address{prefix() + "0.254", kLockPort}, 0);
      } catch (const std::runtime_error&) {
      }
    }
    if (!lock_) throw std::runtime_error("no part of the loopback network is free");
    look_later();
  }
  ~Impl() {
    loop_.cancel(look_);
    while (!relays_.empty()) drop(*relays_.begin()->second);
    for (auto& [at, entrance] : entrances_) entrance->shut();
    for (auto& [at, socket] : sockets_) loop_.remove(socket->fd.get());
    for (Loop::Timer timer : flying_) loop_.cancel(timer);
  }

  int machine() {
    if (machines_ == kMostMachines) throw std::length_error("a network has 250 machines at most");
    return ++machines_;
  }
  std::string ip(int machine) const { return prefix() + "0." + std::to_string(machine); }
  std::string way_ip(int from, int to) const {
    return prefix() + std::to_string(from) + "." + std::to_string(to);
  }

  Address tcp(int from, int to, int port) {
    const Address at{way_ip(from, to), port};
    std::unique_ptr<Entrance>& entrance = entrances_[at];
    if (!entrance) {
      entrance = std::make_unique<Entrance>(*this, from, to, at, Address{ip(to), port});
      follow(*entrance);
    }
    return at;
  }

  Address udp(int a, int a_port, int b, int b_port) {
    socket_at(a, a_port, b, b_port);
    socket_at(b, b_port, a, a_port);
    return {way_ip(a, b), b_port};
  }

  Address udp_all(int from, int from_port) {
    const Address at{prefix() + std::to_string(from) + ".255", from_port};
    if (!sockets_.contains(at)) {
      auto made = std::make_unique<Datagrams>(*this, bind_udp(at), from, 0, from_port, 0);
      loop_.add(made->fd.get(), EPOLLIN, made.get());
      sockets_.emplace(at, std::move(made));
    }
    return at;
  }

  std::uint64_t begin(int from, int to, const WayFaults& faults) {
    const std::uint64_t id = ++last_fault_;
    faults_[id] = {{from, to}, faults};
    changed({from, to});
    return id;
  }
  void end(std::uint64_t fault) {
    const auto it = faults_.find(fault);
    if (it == faults_.end()) return;
    const Pair where = it->second.first;
    faults_.erase(it);
    changed(where);
  }

  void reset(int a, int b) {
    for (Relay* relay : between(a, b)) {
      for (Side& side : relay->sides) set_reset_on_close(side.fd.get());
      drop(*relay);
    }
  }

  void half_open(int gone, int other) {
    for (Relay* relay : between(gone, other)) {
      const int at = relay->from == gone ? 0 : 1;
      set_reset_on_close(relay->sides[at].fd.get());
      close_side(*relay, at);
      relay->forgotten = true;
    }
  }

  void look() {
    for (auto& [at, entrance] : entrances_) follow(*entrance);
  }

  std::vector<Held> held;

  Counts counts(int from, int to) const {
    const auto it = ways_.find({from, to});
    return it == ways_.end() ? Counts{} : it->second.counts;
  }

 private:
  struct Road {
    explicit Road(std::uint64_t seed) : way(seed) {}
    Way way;
    Counts counts;
  };

  struct Entrance : Watcher {
    Entrance(Impl& owner, int from, int to, Address at, Address target)
        : owner(owner), from(from), to(to), at(std::move(at)), target(std::move(target)) {
      place = listen_on(this->at, -1);  // ours, and refusing
    }
    void ready(std::uint32_t) override { owner.accept(*this); }
    void shut() {
      if (listener) owner.loop_.remove(listener.get());
      listener.close();
      filler.close();
    }
    Impl& owner;
    const int from, to;
    const Address at, target;
    Fd place, listener, filler;
    int filler_port = 0;
    Listening is = Listening::kNobody;
  };

  // What goes one way on a connection.
  struct Pump {
    struct Piece {
      double at = 0, sent = 0;
      std::string bytes;
      bool fin = false, reset = false;
    };
    std::deque<Piece> pieces;
    std::size_t held = 0;
    double last = 0;                        // arrival of what was taken last
    bool ended = false, delivered = false;  // the end was read; was passed on
    Loop::Timer timer{0, 0};
  };
  struct Relay;
  struct Side : Watcher {
    void ready(std::uint32_t events) override;
    Relay* relay = nullptr;
    int number = 0;
    Fd fd;
    std::uint32_t interest = 0;
    bool connected = true;
    bool muted = false;  // dead, and not read for want of room: the poller would tell so without end
  };
  struct Relay {
    Impl* owner = nullptr;
    std::uint64_t id = 0;
    int from = 0, to = 0;       // who connected to whom
    std::array<Side, 2> sides;  // of `from`, of `to`
    std::array<Pump, 2> pumps;  // from the side of that number to the other
    bool forgotten = false;     // one side is gone and the other does not know
  };
  struct Datagrams : Watcher {
    Datagrams(Impl& owner, Fd fd, int from, int to, int from_port, int to_port)
        : owner(owner), fd(std::move(fd)), from(from), to(to), from_port(from_port), to_port(to_port) {}
    void ready(std::uint32_t) override { owner.take(*this); }
    Impl& owner;
    Fd fd;
    const int from, to, from_port, to_port;  // to 0: all
  };

  std::string prefix() const { return "127." + std::to_string(net_) + "."; }

  Road& road(int from, int to) {
    const auto it = ways_.find({from, to});
    if (it != ways_.end()) return it->second;
    return ways_.emplace(Pair{from, to}, Road(seed_ * 1000003 + static_cast<std::uint64_t>(from * 256 + to)))
        .first->second;
  }

  void changed(Pair where) {
    WayFaults all;
    for (const auto& [id, fault] : faults_) {
      if (fault.first == where) all = join(all, fault.second);
    }
    road(where.first, where.second).way.set(all);
    for (auto& [at, entrance] : entrances_) {
      if (Pair(entrance->from, entrance->to) == where || Pair(entrance->to, entrance->from) == where) {
        follow(*entrance);
      }
    }
    // What was held back while the way was cut is sent again.
    for (auto& [id, relay] : relays_) {
      for (int side = 0; side < 2; ++side) {
        if (way_of(*relay, side) != where) continue;
        Pump& pump = relay->pumps[static_cast<std::size_t>(side)];
        double last = now();
        for (Pump::Piece& piece : pump.pieces) {
          if (piece.at == Way::kNever) {
            piece.at = road(where.first, where.second).way.piece(now(), piece.bytes.size(), last);
          }
          last = std::max(last, piece.at);
        }
        pump.last = last;
        arm(*relay, side);
      }
    }
  }

  Pair way_of(const Relay& relay, int side) const {
    return side == 0 ? Pair{relay.from, relay.to} : Pair{relay.to, relay.from};
  }

  std::vector<Relay*> between(int a, int b) {
    std::vector<Relay*> out;
    for (auto& [id, relay] : relays_) {
      if ((relay->from == a && relay->to == b) || (relay->from == b && relay->to == a)) {
        out.push_back(relay.get());
      }
    }
    return out;
  }

  // ------------------------------------------------------------ who listens

  void look_later() {
    look_ = loop_.after(kLook, [this] {
      look();
      look_later();
    });
  }

  // Makes an entrance answer connects as the far side would.
  void follow(Entrance& e) {
    const bool cut = road(e.from, e.to).way.faults().cut || road(e.to, e.from).way.faults().cut;
    Listening is = cut ? Listening::kFull : probe_.look(e.target);
    if (is == e.is) return;
    const bool was_nobody = e.is == Listening::kNobody;
    e.is = is;
    if (is == Listening::kNobody) return e.shut();
    if (was_nobody) {
      e.listener = listen_on(e.at, is == Listening::kFull ? 0 : 4096);
      loop_.add(e.listener.get(), is == Listening::kFull ? 0U : static_cast<std::uint32_t>(EPOLLIN), &e);
    }
    if (is == Listening::kFull) {
      accept(e);  // what came up before it was full
      // With room for one in the accept queue and that one taken, further connects are not answered.
      listen(e.listener.get(), 0);
      e.filler = connect_to(e.at);
      e.filler_port = port_of(e.filler.get());
      if (!was_nobody) loop_.modify(e.listener.get(), 0, &e);
    } else if (!was_nobody) {
      listen(e.listener.get(), 4096);
      e.filler.close();
      loop_.modify(e.listener.get(), EPOLLIN, &e);
    }
  }

  void accept(Entrance& e) {
    while (e.listener) {
      sockaddr_in who{};
      socklen_t size = sizeof who;
      Fd fd(
          accept4(e.listener.get(), reinterpret_cast<sockaddr*>(&who), &size, SOCK_NONBLOCK | SOCK_CLOEXEC));
      if (!fd) return;
      if (e.filler_port != 0 && ntohs(who.sin_port) == e.filler_port) {
        e.filler_port = 0;
        continue;
      }
      open(e, std::move(fd));
    }
  }

  // ------------------------------------------------------------ streams

  void open(const Entrance& e, Fd near) {
    Fd far = connect_to(e.target, way_ip(e.to, e.from));
    if (!far) {
      set_reset_on_close(near.get());
      return;
    }
    auto made = std::make_unique<Relay>();
    Relay& r = *made;
    r.owner = this;
    r.id = ++last_relay_;
    r.from = e.from;
    r.to = e.to;
    const int on = 1;
    setsockopt(near.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    for (Fd* fd : {&near, &far}) {
      setsockopt(fd->get(), SOL_SOCKET, SO_SNDBUF, &kKernelBuffer, sizeof kKernelBuffer);
      setsockopt(fd->get(), SOL_SOCKET, SO_RCVBUF, &kKernelBuffer, sizeof kKernelBuffer);
    }
    r.sides[0].fd = std::move(near);
    r.sides[1].fd = std::move(far);
    r.sides[1].connected = false;
    // The handshake goes there and back before the first byte may leave.
    Road& there = road(e.from, e.to);
    r.pumps[0].last =
        now() + there.way.handshake() + road(e.to, e.from).way.handshake() + there.way.faults().delay;
    ++there.counts.connections;
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
        ++road(r.from, r.to).counts.refused;
        set_reset_on_close(r.sides[0].fd.get());
        return drop(r);
      }
      if ((events & EPOLLOUT) == 0) return;
      side.connected = true;
    }
    if ((events & EPOLLOUT) != 0) {
      pass_on(r, 1 - side.number);
      if (!relays_.contains(id) || !side.fd) return;
    }
    const bool dead = (events & (EPOLLHUP | EPOLLERR)) != 0;
    if ((side.interest & EPOLLIN) != 0 && (dead || (events & EPOLLIN) != 0)) {
      take(r, side.number);
    } else if ((events & EPOLLERR) != 0) {  // reset, and its end was read before
      gone(r, side.number);
    } else if (dead && !side.muted) {
      loop_.remove(side.fd.get());
      side.muted = true;
    }
    if (relays_.contains(id)) watch(r);
  }

  // Reads what a side has sent, as far as there is room.
  void take(Relay& r, int from) {
    Side& side = r.sides[static_cast<std::size_t>(from)];
    Pump& pump = r.pumps[static_cast<std::size_t>(from)];
    const auto [a, b] = way_of(r, from);
    Road& on = road(a, b);
    while (side.fd && !pump.ended && pump.held < kHeld) {
      const ssize_t got = recv(side.fd.get(), scratch_.data(), scratch_.size(), 0);
      if (got < 0 && (errno == EAGAIN || errno == EINTR)) break;
      if (r.forgotten && got >= 0) {  // the far end has never heard of this connection
        if (on.way.faults().cut) return pump.pieces.clear();
        set_reset_on_close(side.fd.get());
        return drop(r);
      }
      Pump::Piece piece;
      piece.sent = now();
      if (got > 0) {
        piece.bytes.assign(scratch_.data(), static_cast<std::size_t>(got));
        pump.held += piece.bytes.size();
      } else {
        pump.ended = true;
        piece.fin = got == 0;
        piece.reset = got < 0;
      }
      piece.at = on.way.piece(piece.sent, piece.bytes.size(), pump.last);
      pump.last = piece.at;
      if (piece.reset) {  // this side is gone: nothing can be passed to it any more
        pump.pieces.push_back(std::move(piece));
        close_side(r, from);
        break;
      }
      pump.pieces.push_back(std::move(piece));
    }
    pass_on(r, from);
  }

  // Writes to the far side what has arrived by now.
  void pass_on(Relay& r, int from) {
    Pump& pump = r.pumps[static_cast<std::size_t>(from)];
    Side& to = r.sides[static_cast<std::size_t>(1 - from)];
    const auto [a, b] = way_of(r, from);
    while (!pump.pieces.empty() && pump.pieces.front().at <= now()) {
      Pump::Piece& piece = pump.pieces.front();
      if (!to.fd) {
        pump.held -= piece.bytes.size();
        pump.delivered |= piece.fin || piece.reset;
        pump.pieces.pop_front();
        continue;
      }
      if (!to.connected) break;
      if (!piece.bytes.empty()) {
        const ssize_t sent = send(to.fd.get(), piece.bytes.data(), piece.bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) break;
        if (sent < 0) {
          gone(r, 1 - from);
          continue;
        }
        road(a, b).counts.bytes += static_cast<std::uint64_t>(sent);
        if (from == 0 && now() - piece.sent > kHeldBack) {
          held.push_back({address_of(to.fd.get()).port, piece.sent, now()});
        }
        pump.held -= static_cast<std::size_t>(sent);
        piece.bytes.erase(0, static_cast<std::size_t>(sent));
        if (!piece.bytes.empty()) break;
      }
      if (piece.reset) {
        ++road(a, b).counts.resets;
        set_reset_on_close(to.fd.get());
        pump.delivered = true;
        pump.pieces.pop_front();
        return drop(r);
      }
      if (piece.fin) {
        shutdown(to.fd.get(), SHUT_WR);
        pump.delivered = true;
      }
      pump.pieces.pop_front();
    }
    const auto over = [](const Pump& p) { return p.delivered && p.pieces.empty(); };
    if (over(r.pumps[0]) && over(r.pumps[1])) return drop(r);
    if (!r.sides[0].fd && !r.sides[1].fd) return drop(r);
    // What is due and still there waits for its reader, of which the poller tells.
    if (!pump.pieces.empty() && pump.pieces.front().at > now()) arm(r, from);
    watch(r);
  }

  // A side is found reset when written to: the other is told, on the way there.
  void gone(Relay& r, int side) {
    Pump& pump = r.pumps[static_cast<std::size_t>(side)];
    const auto [a, b] = way_of(r, side);
    Pump::Piece piece;
    piece.sent = now();
    piece.reset = true;
    pump.last = piece.at = road(a, b).way.piece(piece.sent, 0, pump.last);
    pump.pieces.push_back(std::move(piece));
    pump.ended = true;
    pump.delivered = false;  // where its end was passed on, its being gone is not
    close_side(r, side);
    arm(r, side);
  }

  void arm(Relay& r, int from) {
    Pump& pump = r.pumps[static_cast<std::size_t>(from)];
    loop_.cancel(pump.timer);
    if (pump.pieces.empty() || pump.pieces.front().at == Way::kNever) return;
    pump.timer = loop_.at(pump.pieces.front().at, [this, id = r.id, from] {
      const auto it = relays_.find(id);
      if (it == relays_.end()) return;
      it->second->pumps[static_cast<std::size_t>(from)].timer = {0, 0};
      pass_on(*it->second, from);
    });
  }

  void watch(Relay& r) {
    for (int i = 0; i < 2; ++i) {
      Side& side = r.sides[static_cast<std::size_t>(i)];
      if (!side.fd || !side.connected) continue;
      const Pump& out = r.pumps[static_cast<std::size_t>(1 - i)];
      const Pump& in = r.pumps[static_cast<std::size_t>(i)];
      std::uint32_t interest = 0;
      if (!in.ended && in.held < kHeld) interest |= EPOLLIN;
      if (!out.pieces.empty() && out.pieces.front().at <= now()) interest |= EPOLLOUT;
      if (interest == side.interest) continue;
      side.interest = interest;
      if (!side.muted) {
        loop_.modify(side.fd.get(), interest, &side);
      } else if ((interest & EPOLLIN) != 0) {
        loop_.add(side.fd.get(), interest, &side);
        side.muted = false;
      }
    }
  }

  void close_side(Relay& r, int number) {
    Side& side = r.sides[static_cast<std::size_t>(number)];
    if (!side.fd) return;
    if (!side.muted) loop_.remove(side.fd.get());
    side.fd.close();
  }

  void drop(Relay& r) {
    for (Pump& pump : r.pumps) loop_.cancel(pump.timer);
    for (int i = 0; i < 2; ++i) close_side(r, i);
    const auto it = relays_.find(r.id);
    destroy_later_.push_back(std::move(it->second));
    relays_.erase(it);
    if (destroy_later_.size() == 1)
      loop_.post([this, alive = std::weak_ptr<int>(alive_)] {
        if (!alive.expired()) destroy_later_.clear();
      });
  }

  // ------------------------------------------------------------ datagrams

  Datagrams& socket_at(int from, int from_port, int to, int to_port) {
    const Address at{way_ip(from, to), to_port};
    auto it = sockets_.find(at);
    if (it == sockets_.end()) {
      auto made = std::make_unique<Datagrams>(*this, bind_udp(at), from, to, from_port, to_port);
      loop_.add(made->fd.get(), EPOLLIN, made.get());
      it = sockets_.emplace(at, std::move(made)).first;
      tied_[{from, from_port}].push_back(it->second.get());
    }
    return *it->second;
  }

  void take(Datagrams& d) {
    for (int i = 0; i < 64; ++i) {
      sockaddr_in who{};
      socklen_t size = sizeof who;
      const ssize_t got =
          recvfrom(d.fd.get(), scratch_.data(), scratch_.size(), 0, reinterpret_cast<sockaddr*>(&who), &size);
      if (got < 0) return;
      std::array<char, INET_ADDRSTRLEN> ip_text{};
      inet_ntop(AF_INET, &who.sin_addr, ip_text.data(), ip_text.size());
      if (ip(d.from) != ip_text.data() || ntohs(who.sin_port) != d.from_port) {
        ++road(d.from, d.to).counts.strangers;
        continue;
      }
      const std::string bytes(scratch_.data(), static_cast<std::size_t>(got));
      if (d.to != 0) {
        fly(d, bytes);
      } else {
        for (Datagrams* one : tied_[{d.from, d.from_port}]) fly(*one, bytes);
      }
    }
  }

  void fly(const Datagrams& d, const std::string& bytes) {
    Road& on = road(d.from, d.to);
    ++on.counts.sent;
    for (const Way::Delivery& one : on.way.datagram(now(), bytes.size())) {
      std::string copy = bytes;
      if (one.corrupt && !copy.empty()) {
        const auto at = static_cast<std::size_t>(on.way.draw(copy.size()));
        copy[at] = static_cast<char>(copy[at] ^ (1 << on.way.draw(8)));
        ++on.counts.corrupted;
      }
      if (one.at <= now()) {
        arrive(d, copy);
        continue;
      }
      auto timer = std::make_shared<Loop::Timer>();
      *timer = loop_.at(one.at, [this, &d, copy = std::move(copy), timer] {
        flying_.erase(*timer);
        arrive(d, copy);
      });
      flying_.insert(*timer);
    }
  }

  void arrive(const Datagrams& d, const std::string& bytes) {
    Road& on = road(d.from, d.to);
    if (on.way.faults().cut) return;  // on its way when it was cut
    // From the address by which the receiver knows the sender.
    Datagrams& out = socket_at(d.to, d.to_port, d.from, d.from_port);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(d.to_port));
    inet_pton(AF_INET, ip(d.to).c_str(), &to.sin_addr);
    if (sendto(out.fd.get(), bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to),
               sizeof to) >= 0) {
      ++on.counts.arrived;
    }
  }

  Loop& loop_;
  const std::uint64_t seed_;
  int net_ = 0, machines_ = 0;
  Fd lock_;
  ListenProbe probe_;
  Loop::Timer look_{0, 0};
  std::map<Pair, Road> ways_;
  std::map<std::uint64_t, std::pair<Pair, WayFaults>> faults_;
  std::map<Address, std::unique_ptr<Entrance>> entrances_;
  std::map<std::uint64_t, std::unique_ptr<Relay>> relays_;
  std::vector<std::unique_ptr<Relay>> destroy_later_;
  std::map<Address, std::unique_ptr<Datagrams>> sockets_;
  std::map<std::pair<int, int>, std::vector<Datagrams*>> tied_;  // by machine and port that send
  std::set<Loop::Timer> flying_;
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
auto on(Loop& loop, F&& f) {
  decltype(f()) out{};
  loop.call([&] { out = f(); });
  return out;
}

}  // namespace

int Network::machine() {
  return on(loop_, [&] { return impl_->machine(); });
}
std::string Network::ip(int machine) const { return impl_->ip(machine); }
std::string Network::way(int from, int to) const { return impl_->way_ip(from, to); }
Address Network::tcp(int from, int to, int port) {
  return on(loop_, [&] { return impl_->tcp(from, to, port); });
}
Address Network::udp(int a, int a_port, int b, int b_port) {
  return on(loop_, [&] { return impl_->udp(a, a_port, b, b_port); });
}
Address Network::udp_all(int from, int from_port) {
  return on(loop_, [&] { return impl_->udp_all(from, from_port); });
}
std::uint64_t Network::begin(int from, int to, const WayFaults& faults) {
  return on(loop_, [&] { return impl_->begin(from, to, faults); });
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
void Network::look() {
  loop_.call([&] { impl_->look(); });
}
std::vector<Network::Held> Network::held() const {
  return on(loop_, [&] { return impl_->held; });
}
Network::Counts Network::counts(int from, int to) const {
  return on(loop_, [&] { return impl_->counts(from, to); });
}

}  // namespace nettlestand::standins
