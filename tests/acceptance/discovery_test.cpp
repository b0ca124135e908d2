// A change must be known at the latest 6 s after discovery could have been asked, or after a watch fell
// silent: a silent watch is detected and failed calls are retried soon enough. Also covers lists in every
// format.
#include "tests/acceptance/customer_world.h"

namespace nettlestand::testing {
namespace {

using Lists = CustomerTest;

constexpr double kListDeadlineSeconds = 6;
constexpr double kCallMarginSeconds = 1;  // of the deadline, for the call itself

std::string known(const std::string& hosts) {
  std::string line = list(3, true, hosts);
  line.pop_back();
  return "\"known\":" + line + ",";
}

TEST_P(Lists, AWatchThatIsSilentFromItsFirstSecondIsOpenedAnew) {
  CustomerWorld w(GetParam());
  w.known = known(host("s0", w.servers[0].port()));
  w.start();
  w.take_watch();
  const double from = seconds();
  TcpConnection silent = std::move(w.watch);
  w.take_watch();
  EXPECT_LT(seconds() - from, kListDeadlineSeconds - kCallMarginSeconds);
}

TEST_P(Lists, AWatchThatFallsSilentAfterAListIsOpenedAnew) {
  CustomerWorld w(GetParam());
  w.serve(host("s0", w.servers[0].port()));
  const double from = seconds();
  TcpConnection silent = std::move(w.watch);
  w.take_watch();
  EXPECT_LT(seconds() - from, kListDeadlineSeconds - kCallMarginSeconds);
}

TEST_P(Lists, AWatchThatFallsSilentAfterAMoveIsOpenedAnew) {
  CustomerWorld w(GetParam());
  w.serve(host("s0", w.servers[0].port()));
  const TcpListener elsewhere;
  std::string moved = w.config();
  const std::string old = "127.0.0.1:" + std::to_string(w.discovery.port());
  moved.replace(moved.find(old), old.size(), "127.0.0.1:" + std::to_string(elsewhere.port()));
  w.node->reload(moved);
  TcpConnection next = elsewhere.accept();
  next.message();
  next.send(std::string(kWatchHead) + chunk(list(1, true, host("s0", w.servers[0].port()))));
  const double from = seconds();
  EXPECT_TRUE(has(elsewhere.accept().message(), "index=1 "));
  EXPECT_LT(seconds() - from, kListDeadlineSeconds - kCallMarginSeconds);
}

// However often calls are rejected, the next one follows soon, whatever interval the settings give for
// asking.
TEST_P(Lists, CallsThatAreTurnedAwayAreMadeAgainSoon) {
  Customer customer = GetParam();
  customer.ask_within = 60;
  CustomerWorld w(customer);
  w.serve(host("s0", w.servers[0].port()));
  w.watch.close();
  const double longest = customer.pushed ? 0.5 : 4;  // s; calls to an agent on the same host are cheap
  double last = seconds();
  for (int i = 0; i < 6; ++i) {
    TcpConnection call = w.discovery.accept();
    call.message();
    EXPECT_LT(seconds() - last, longest + kCallMarginSeconds) << "call " << i;
    call.send(with_length("HTTP/1.1 503 Busy\r\n", ""));
    EXPECT_TRUE(call.ended());
    last = seconds();
  }
}

// SIGHUP with the same address during the backoff: discovery is asked at once.
TEST_P(Lists, TheSameAddressAnewIsAskedAtOnce) {
  Customer customer = GetParam();
  customer.ask_within = 60;
  CustomerWorld w(customer);
  w.serve(host("s0", w.servers[0].port()));
  w.watch.close();
  for (int i = 0; i < 4; ++i) {  // for a long backoff if calls are expensive
    TcpConnection call = w.discovery.accept();
    call.message();
    call.send(with_length("HTTP/1.1 503 Busy\r\n", ""));
    EXPECT_TRUE(call.ended());
  }
  const double from = seconds();
  w.node->reload(w.config());
  w.take_watch();
  EXPECT_LT(seconds() - from, 0.9) << "without SIGHUP at least a second, if calls are expensive";
  w.tell(list(9, true, host("s1", w.servers[1].port())));
  w.watch.wait_until_read();
}

// The response to a request that must arrive at this server, which closes the connection after it.
std::string answer_from(CustomerWorld& w, const TcpListener& server) {
  TcpConnection caller = w.client();
  caller.send(w.unsafe());
  TcpConnection wire = server.accept();
  wire.message();
  wire.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
  return caller.message();
}

std::string indent(const std::string& line) {
  std::string out;
  for (const char c : line) {
    out += c;
    if (c == '{' || c == '[' || c == ',') out += "\r\n  \t";
  }
  return out;
}

TEST_P(Lists, ComeIndentedInPiecesOfAByteAndCut) {
  CustomerWorld w(GetParam());
  w.start();
  w.take_watch();
  w.tell(indent(list(7, true, host("s0", w.servers[0].port()))));
  w.await_ready();
  EXPECT_TRUE(has(answer_from(w, w.servers[0]), " 200 "));
  const std::string next = indent(list(8, true, host("s1", w.servers[1].port())));
  for (const char byte : "\n" + next) w.tell(std::string(1, byte));
  w.watch.wait_until_read();
  EXPECT_TRUE(has(answer_from(w, w.servers[1]), " 200 ")) << "s0 is gone: the whole list does not name it";
  // An indented list is truncated, and keep-alive lines follow.
  w.tell(next.substr(0, next.size() / 2) + "\n\n");
  EXPECT_TRUE(w.watch.ended());
  EXPECT_TRUE(has(w.take_watch(), "stream=1 ")) << "the full list";
  w.tell(list(9, true, host("s0", w.servers[0].port())));
  w.watch.wait_until_read();
  EXPECT_TRUE(has(answer_from(w, w.servers[0]), " 200 "));
}

// A watch ends without sending a change, and the next watch starts with a full list that omits a server with
// an idle connection and one with a request that waits for its connection: both must be treated as gone.
TEST_P(Lists, WhatAWholeListLeavesOutIsGone) {
  TcpListener full(0);
  CustomerWorld w(GetParam());
  w.connect_timeout = 10;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(w.unsafe("one"));
  TcpConnection kept = w.servers[0].accept();
  kept.message();
  kept.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  const TcpConnection crowd = TcpConnection::to(full.port());
  w.tell(list(8, true, host("s2", full.port())));
  EXPECT_TRUE(kept.ended()) << "what is left out is gone";
  caller.send(w.unsafe("two"));
  until([&] { return connecting_to(full.port()); });
  w.watch.close();  // instead of sending that s2 drains
  w.take_watch();
  w.tell(list(9, true, host("s1", w.servers[1].port())));
  TcpConnection other = w.servers[1].accept();
  EXPECT_TRUE(has(other.message(), "two"));
  other.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

// Idle clients use up the descriptors while discovery is down. Some must remain for discovery when it is
// back, for a new configuration, and for a server.
TEST_P(Lists, ACrowdOfIdleClientsLeavesRoomForDiscovery) {
  CustomerWorld w(GetParam());
  w.sockets = 100;
  w.descriptors = 100;
  w.serve(host("s0", w.servers[0].port()));
  w.discovery.close();
  w.watch.close();
  w.node->log("the last list is kept");
  std::vector<TcpConnection> crowd;
  for (int i = 0; i < 300; ++i) crowd.push_back(w.client());
  const TcpListener back;
  std::string moved = w.config();
  const std::string old = "127.0.0.1:" + std::to_string(w.discovery.port());
  moved.replace(moved.find(old), old.size(), "127.0.0.1:" + std::to_string(back.port()));
  w.node->reload(moved);
  TcpConnection watch = back.accept();
  watch.message();
  watch.send(std::string(kWatchHead) + chunk(list(1, true, host("s1", w.servers[1].port()))));
  watch.wait_until_read();
  EXPECT_TRUE(has(answer_from(w, w.servers[1]), " 200 "));
}

INSTANTIATE_TEST_SUITE_P(Customers, Lists, ::testing::Values(kMarks, kBids), name_of_customer);

}  // namespace
}  // namespace nettlestand::testing
