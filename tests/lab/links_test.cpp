// Tests of Network and LinkModel: each link fault as seen by plain sockets at both ends.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <thread>

#include "standins/links/network.h"

namespace nettlestand::standins {
namespace {

constexpr int kTestTimeoutMs = 20'000;  // generous; only reached by a test that would hang
constexpr int kQuietMs = 150;           // period in which nothing may arrive

int wait_for(const Fd& fd, short events, int ms = kTestTimeoutMs) {
  pollfd p{fd.get(), events, 0};
  return poll(&p, 1, ms) > 0 ? p.revents : 0;
}

// Result of a connect: 0, an errno value, or -1 if there is no reply yet.
int connected(const Fd& fd, int ms = kTestTimeoutMs) {
  if (wait_for(fd, POLLOUT, ms) == 0) return -1;
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt(fd.get(), SOL_SOCKET, SO_ERROR, &error, &size);
  return error;
}

Fd accept_from(const Fd& listener) {
  if (wait_for(listener, POLLIN) == 0) return Fd();
  return Fd(accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
}

// Reads once: the bytes, "FIN", "RST", "error N", or "quiet" if nothing arrives in time.
std::string read_some(const Fd& fd, int ms = kTestTimeoutMs) {
  if (wait_for(fd, POLLIN, ms) == 0) return "quiet";
  char bytes[4096];
  const ssize_t got = recv(fd.get(), bytes, sizeof bytes, 0);
  if (got == 0) return "FIN";
  if (got < 0) return errno == ECONNRESET ? "RST" : "error " + std::to_string(errno);
  return {bytes, static_cast<std::size_t>(got)};
}

std::string read_all(const Fd& fd, std::size_t size) {
  std::string out;
  while (out.size() < size) {
    const std::string more = read_some(fd);
    if (more == "quiet" || more == "FIN" || more == "RST") return out + more;
    out += more;
  }
  return out;
}

void send_text(const Fd& fd, const std::string& text) {
  ASSERT_EQ(send(fd.get(), text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
}

bool until(const std::function<bool()>& holds) {
  for (const double from = now(); !holds();) {
    if (now() - from > kTestTimeoutMs / 1000.0) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

struct Links : testing::Test {
  LoopThread thread;
  Network net{thread.loop(), 5};
  int a = net.add_machine(), b = net.add_machine();
  Fd listener = listen_on(Address{net.ip(b), 0});
  int port = address_of(listener.get()).port;
  Address at = net.tcp(a, b, port);

  // A connection of `a` to the listener of `b`, and its accepted end.
  std::pair<Fd, Fd> pair() {
    Fd near = connect_to(at);
    const int buffer = 256 * 1024;  // else the kernel lets it grow to megabytes
    setsockopt(near.get(), SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
    EXPECT_EQ(connected(near), 0);
    Fd far = accept_from(listener);
    EXPECT_TRUE(far);
    return {std::move(near), std::move(far)};
  }
  std::uint64_t fault(int from, int to, const std::function<void(LinkFaults&)>& set) {
    LinkFaults faults;
    set(faults);
    return net.begin(from, to, faults);
  }
  std::uint64_t cut(int from, int to) {
    return fault(from, to, [](LinkFaults& f) { f.cut = true; });
  }
};

TEST_F(Links, PassBytesBothWaysFromTheAddressByWhichTheSenderIsKnown) {
  auto [near, far] = pair();
  sockaddr_in who{};
  socklen_t size = sizeof who;
  getpeername(far.get(), reinterpret_cast<sockaddr*>(&who), &size);
  char text[INET_ADDRSTRLEN];
  inet_ntop(AF_INET, &who.sin_addr, text, sizeof text);
  EXPECT_EQ(net.link_ip(b, a), text);
  send_text(near, "there");
  EXPECT_EQ(read_some(far), "there");
  send_text(far, "back");
  EXPECT_EQ(read_some(near), "back");
  EXPECT_EQ(net.counts(a, b).bytes, 5U);
  EXPECT_EQ(net.counts(b, a).bytes, 4U);
}

TEST_F(Links, CarryLargeStreamsWhole) {
  auto [near, far] = pair();
  std::string sent(8 << 20, 'x');
  for (std::size_t i = 0; i < sent.size(); i += 997) sent[i] = static_cast<char>(i);
  std::thread writer([&, &to = near] {
    for (std::size_t at = 0; at < sent.size();) {
      wait_for(to, POLLOUT);
      const ssize_t put =
          send(to.get(), sent.data() + at, std::min<std::size_t>(60000, sent.size() - at), MSG_NOSIGNAL);
      if (put > 0) at += static_cast<std::size_t>(put);
    }
  });
  const std::string got = read_all(far, sent.size());
  writer.join();
  EXPECT_TRUE(got == sent);
}

TEST_F(Links, ARefusedConnectIsRefusedAndOneThatIsTakenComesUp) {
  listener.close();
  net.refresh_listeners();
  EXPECT_EQ(connected(connect_to(at)), ECONNREFUSED);
  listener = listen_on(Address{net.ip(b), port});
  net.refresh_listeners();
  pair();
  listener.close();
  // The network notices it by itself, without refresh_listeners().
  EXPECT_TRUE(until([&] { return connected(connect_to(at)) == ECONNREFUSED; }));
}

TEST_F(Links, AnUnansweredConnectIsUnansweredWhicheverWayIsCut) {
  for (const auto& [from, to] : {std::pair{a, b}, std::pair{b, a}}) {
    const std::uint64_t fault = cut(from, to);
    const Fd waits = connect_to(at);
    EXPECT_EQ(connected(waits, kQuietMs), -1);
    net.end(fault);
    EXPECT_EQ(connected(waits), 0) << "the retransmitted SYN must be answered";
    EXPECT_TRUE(accept_from(listener));
  }
}

TEST_F(Links, AFullAcceptQueueLeavesConnectsUnanswered) {
  listen(listener.get(), 0);
  const Fd first = connect_to(Address{net.ip(b), port});  // takes the only place in the queue
  ASSERT_EQ(connected(first), 0);
  net.refresh_listeners();
  const Fd waits = connect_to(at);
  EXPECT_EQ(connected(waits, kQuietMs), -1);
  listen(listener.get(), 16);
  EXPECT_EQ(connected(waits), 0);
}

TEST_F(Links, FinIsFinAndResetIsResetBehindWhatWasSentBefore) {
  {
    auto [near, far] = pair();
    send_text(near, "last words");
    shutdown(near.get(), SHUT_WR);
    EXPECT_EQ(read_some(far), "last words");
    EXPECT_EQ(read_some(far), "FIN");
    send_text(far, "still heard");  // only one direction has been closed
    EXPECT_EQ(read_some(near), "still heard");
    far.close();
    EXPECT_EQ(read_some(near), "FIN");
  }
  for (const bool near_resets : {true, false}) {
    auto [near, far] = pair();
    Fd& one = near_resets ? near : far;
    Fd& other = near_resets ? far : near;
    set_reset_on_close(one.get());
    one.close();
    EXPECT_EQ(read_some(other), "RST");
  }
  {
    auto [near, far] = pair();
    near.close();  // both directions: data sent to it now is answered with a reset
    EXPECT_EQ(read_some(far), "FIN");
    send_text(far, "to nobody");
    EXPECT_TRUE(until([&] { return (wait_for(far, POLLIN) & POLLERR) != 0; })) << "as on a direct connection";
  }
}

TEST_F(Links, ACutWayIsSilentWhileTheOtherSpeaks) {
  auto [near, far] = pair();
  const std::uint64_t fault = cut(a, b);
  send_text(near, "unheard");
  send_text(far, "heard");
  EXPECT_EQ(read_some(near), "heard");
  EXPECT_EQ(read_some(far, kQuietMs), "quiet");
  net.end(fault);
  EXPECT_EQ(read_some(far), "unheard") << "must be retransmitted after the cut";
}

TEST_F(Links, NeitherFinNorResetPassesACut) {
  for (const bool reset : {false, true}) {
    auto [near, far] = pair();
    const std::uint64_t fault = cut(a, b);
    if (reset) set_reset_on_close(near.get());
    near.close();
    EXPECT_EQ(read_some(far, kQuietMs), "quiet") << "nothing may pass a cut link";
    net.end(fault);
    EXPECT_EQ(read_some(far), reset ? "RST" : "FIN");
  }
}

TEST_F(Links, ACutThatFillsAndThenLosesItsSenderHealsWhole) {
  auto [near, far] = pair();
  const std::uint64_t fault = cut(a, b);
  std::string part(10000, 'y');
  std::size_t sent = 0;
  for (ssize_t put; (put = send(near.get(), part.data(), part.size(), MSG_NOSIGNAL)) > 0 ||
                    wait_for(near, POLLOUT, kQuietMs);) {
    if (put > 0) sent += static_cast<std::size_t>(put);
  }
  EXPECT_LT(sent, 4U << 20) << "the sender must soon be blocked";
  shutdown(near.get(), SHUT_WR);
  net.end(fault);
  EXPECT_TRUE(read_all(far, sent) == std::string(sent, 'y'));
  EXPECT_EQ(read_some(far), "FIN");
}

TEST_F(Links, AReaderThatDoesNotReadStopsItsWriter) {
  auto [near, far] = pair();
  std::string part(10000, 'z');
  std::size_t sent = 0;
  for (ssize_t put; (put = send(near.get(), part.data(), part.size(), MSG_NOSIGNAL)) > 0 ||
                    wait_for(near, POLLOUT, kQuietMs);) {
    if (put > 0) sent += static_cast<std::size_t>(put);
  }
  EXPECT_LT(sent, 4U << 20);
  EXPECT_EQ(read_all(far, sent).size(), sent);
}

TEST_F(Links, ResetEndsAllConnectionsAtBothEnds) {
  auto [near, far] = pair();
  net.reset(a, b);
  EXPECT_EQ(read_some(near), "RST");
  EXPECT_EQ(read_some(far), "RST");
}

TEST_F(Links, HalfOpenIsLearntBySending) {
  auto [near, far] = pair();
  net.half_open(a, b);
  EXPECT_EQ(read_some(near), "RST");
  EXPECT_EQ(read_some(far, kQuietMs), "quiet");
  send_text(far, "anybody there?");
  EXPECT_EQ(read_some(far), "RST");
}

// Checks lower bounds only, as a busy machine may be later.
TEST_F(Links, DelaysAndNarrowBandsHoldStreamsBack) {
  fault(a, b, [](LinkFaults& f) { f.delay = 0.1; });
  auto [near, far] = pair();
  double from = now();
  send_text(near, "late");
  EXPECT_EQ(read_some(far), "late");
  EXPECT_GE(now() - from, 0.1);
  from = now();
  send_text(far, "at once");
  EXPECT_EQ(read_some(near), "at once");
  fault(a, b, [](LinkFaults& f) { f.bandwidth = 100'000; });
  from = now();
  send_text(near, std::string(20'000, 'x'));
  read_all(far, 20'000);
  EXPECT_GE(now() - from, 0.3) << "0.1 s of delay and 0.2 s of transmission";
}

TEST_F(Links, LossDelaysStreamsAndKeepsTheirOrder) {
  auto [near, far] = pair();
  fault(a, b, [](LinkFaults& f) {
    f.loss = 0.3;
    f.jitter = 0.01;
  });
  std::string all;
  for (int i = 0; i < 30; ++i) {
    all += std::to_string(i) + ",";
    send_text(near, std::to_string(i) + ",");
    std::this_thread::sleep_for(std::chrono::milliseconds(1));  // so that each is read as a chunk of its own
  }
  EXPECT_EQ(read_all(far, all.size()), all);
}

struct Datagram : Links {
  Fd one = bind_udp(Address{net.ip(a), 0}), two = bind_udp(Address{net.ip(b), 0});
  Address to_b = net.udp(a, address_of(one.get()).port, b, address_of(two.get()).port);
  Address to_a = net.udp(b, address_of(two.get()).port, a, address_of(one.get()).port);

  static void send_to(const Fd& from, const Address& to, const std::string& text) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(to.port));
    inet_pton(AF_INET, to.ip.c_str(), &at.sin_addr);
    sendto(from.get(), text.data(), text.size(), 0, reinterpret_cast<const sockaddr*>(&at), sizeof at);
  }
  static std::string receive(const Fd& at, Address* who = nullptr, int ms = kTestTimeoutMs) {
    if (wait_for(at, POLLIN, ms) == 0) return "quiet";
    char bytes[2048];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got = recvfrom(at.get(), bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (who != nullptr) {
      char text[INET_ADDRSTRLEN];
      *who = {inet_ntop(AF_INET, &from.sin_addr, text, sizeof text), ntohs(from.sin_port)};
    }
    return {bytes, static_cast<std::size_t>(std::max<ssize_t>(0, got))};
  }
};

TEST_F(Datagram, ArrivesFromTheAddressByWhichTheSenderIsKnown) {
  send_to(one, to_b, "there");
  Address who;
  EXPECT_EQ(receive(two, &who), "there");
  EXPECT_EQ(who, to_a);
  send_to(two, who, "back");
  EXPECT_EQ(receive(one, &who), "back");
  EXPECT_EQ(who, to_b);
}

TEST_F(Datagram, ToAllReachesAllThatAreTied) {
  const int c = net.add_machine();
  const Fd three = bind_udp(Address{net.ip(c), 0});
  net.udp(a, address_of(one.get()).port, c, address_of(three.get()).port);
  send_to(one, net.udp_broadcast(a, address_of(one.get()).port), "all");
  EXPECT_EQ(receive(two), "all");
  EXPECT_EQ(receive(three), "all");
  EXPECT_EQ(receive(one, nullptr, kQuietMs), "quiet");
}

TEST_F(Datagram, StrangersAreDropped) {
  const Fd stranger = bind_udp(Address{net.ip(b), 0});
  send_to(stranger, to_b, "let me in");
  EXPECT_TRUE(until([&] { return net.counts(a, b).unknown_senders == 1; }));
  send_to(one, to_b, "next");
  EXPECT_EQ(receive(two), "next");
}

TEST_F(Datagram, IsCutOneWay) {
  const std::uint64_t fault = cut(a, b);
  send_to(one, to_b, "lost");
  send_to(two, to_a, "heard");
  EXPECT_EQ(receive(one), "heard");
  EXPECT_TRUE(until([&] { return net.counts(a, b).sent == 1; }));
  net.end(fault);
  send_to(one, to_b, "after");
  EXPECT_EQ(receive(two), "after") << "a lost datagram is not retransmitted";
}

TEST_F(Datagram, IsDoubledCorruptedReorderedAndLost) {
  std::uint64_t f = fault(a, b, [](LinkFaults& x) { x.duplicate = 1; });
  send_to(one, to_b, "twin");
  EXPECT_EQ(receive(two), "twin");
  EXPECT_EQ(receive(two), "twin");
  net.end(f);
  f = fault(a, b, [](LinkFaults& x) { x.corrupt = 1; });
  const std::string sent(100, 'q');
  send_to(one, to_b, sent);
  const std::string got = receive(two);
  ASSERT_EQ(got.size(), sent.size());
  int bits = 0;
  for (std::size_t i = 0; i < got.size(); ++i)
    bits += __builtin_popcount(static_cast<unsigned char>(got[i] ^ sent[i]));
  EXPECT_EQ(bits, 1);
  net.end(f);
  f = fault(a, b, [](LinkFaults& x) {
    x.reorder = 0.5;
    x.delay = 0.01;
  });
  std::set<int> all;
  bool in_order = true;
  for (int i = 0; i < 50; ++i) send_to(one, to_b, std::to_string(i));
  for (int i = 0, last = -1; i < 50; ++i) {
    const int at = std::stoi(receive(two));
    in_order = in_order && at > last;
    last = at;
    all.insert(at);
  }
  EXPECT_EQ(all.size(), 50U);
  EXPECT_FALSE(in_order);
  net.end(f);
  fault(a, b, [](LinkFaults& x) { x.loss = 1; });
  send_to(one, to_b, "lost");
  EXPECT_TRUE(until([&] { return net.counts(a, b).sent >= 53; }));
  EXPECT_EQ(receive(two, nullptr, kQuietMs), "quiet");
}

// ------------------------------------------------------------ LinkModel

TEST(Way, IsTheSameForTheSameSeed) {
  LinkFaults f;
  f.loss = 0.2;
  f.burst = 3;
  f.jitter = 0.1;
  f.duplicate = f.reorder = f.corrupt = 0.3;
  const auto course = [&](std::uint64_t seed) {
    LinkModel way(seed);
    way.set(f);
    std::vector<double> out;
    for (int i = 0; i < 500; ++i) {
      for (const LinkModel::Delivery& d : way.datagram_arrivals(i * 0.01, 100))
        out.push_back(d.at + (d.corrupt ? 1000 : 0));
      out.push_back(way.stream_arrival(i * 0.01, 100, 0));
    }
    return out;
  };
  EXPECT_EQ(course(1), course(1));
  EXPECT_NE(course(1), course(2));
}

TEST(Way, LosesItsShareEvenlyAndInBursts) {
  for (const double burst : {1.0, 5.0}) {
    LinkModel way(3);
    LinkFaults f;
    f.loss = 0.25;
    f.burst = burst;
    way.set(f);
    int lost = 0, runs = 0;
    bool before = false;
    constexpr int kCount = 200'000;
    for (int i = 0; i < kCount; ++i) {
      const bool gone = way.datagram_arrivals(i, 100).empty();
      lost += gone ? 1 : 0;
      runs += gone && !before ? 1 : 0;
      before = gone;
    }
    EXPECT_NEAR(static_cast<double>(lost) / kCount, 0.25, 0.01);
    EXPECT_NEAR(static_cast<double>(lost) / runs, burst == 1 ? 1 / 0.75 : burst, 0.1 * burst);
  }
}

TEST(Way, FaultsTogetherAreNeverLessThanEach) {
  LinkFaults a, b;
  a.loss = 0.5;
  a.delay = 0.1;
  a.bandwidth = 1000;
  b.loss = 0.5;
  b.jitter = 0.2;
  b.bandwidth = 500;
  b.cut = true;
  for (const LinkFaults& both : {combine(a, b), combine(b, a)}) {
    EXPECT_DOUBLE_EQ(both.loss, 0.75);
    EXPECT_DOUBLE_EQ(both.delay, 0.1);
    EXPECT_DOUBLE_EQ(both.jitter, 0.2);
    EXPECT_DOUBLE_EQ(both.bandwidth, 500);
    EXPECT_TRUE(both.cut);
  }
}

TEST(Way, StreamsKeepTheirOrderAndBandsTheirRate) {
  LinkModel way(9);
  LinkFaults f;
  f.loss = 0.4;
  f.jitter = 0.5;
  f.bandwidth = 1000;
  way.set(f);
  double last = 0;
  for (int i = 0; i < 1000; ++i) {
    const double at = way.stream_arrival(0, 100, last);
    EXPECT_GE(at, last);
    EXPECT_GE(at, 0.1 * (i + 1)) << "100 bytes take 0.1 s";
    last = at;
  }
  f.cut = true;
  way.set(f);
  EXPECT_EQ(way.stream_arrival(0, 1, last), LinkModel::kNever);
  EXPECT_EQ(way.handshake_time(), LinkModel::kNever);
  EXPECT_TRUE(way.datagram_arrivals(0, 1).empty());
}

}  // namespace
}  // namespace nettlestand::standins
