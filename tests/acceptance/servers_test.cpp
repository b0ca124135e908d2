// Connections to servers: those that are established or writable only after the deduplication window, and
// surplus responses.
#include "tests/acceptance/customer_world.h"

namespace nettlestand::testing {
namespace {

using Servers = CustomerTest;

Customer with_short_window(Customer customer) {
  customer.window = 0.5;
  customer.give_up = 10;
  return customer;
}

// A keyed request may have run at s0, and the connection for its repeat is established only after the servers
// have forgotten the key: the repeat would run a second time.
TEST_P(Servers, ALateConnectionCarriesNoRepeatPastTheWindow) {
  TcpListener full(0);
  CustomerWorld w(with_short_window(GetParam()));
  w.connect_timeout = 8;
  const TcpConnection crowd = TcpConnection::to(full.port());  // the accept queue has room for one
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(w.keyed());
  TcpConnection server = w.servers[0].accept();
  server.message();
  const double from = seconds();
  w.tell(list(8, false, host("s1", full.port())));
  w.watch.wait_until_read();
  server.reset();
  if (!connecting_to(full.port())) {
    until([&] { return connecting_to(full.port()) || !caller.no_data(); });
  }
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 ")) << "it may have run";
  EXPECT_LT(seconds() - from, 4) << "given up at the end of the window, not at the connect timeout";
  EXPECT_FALSE(connecting_to(full.port()));
}

TEST_P(Servers, ASlowReaderGetsNoRepeatPastTheWindow) {
  CustomerWorld w(with_short_window(GetParam()));
  w.servers[1].shrink_receive_buffer();
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  const std::string whole = w.keyed(std::string(65536, 'q'));
  caller.send(whole);
  TcpConnection server = w.servers[0].accept();
  server.message();
  w.tell(list(8, false, host("s1", w.servers[1].port())));
  w.watch.wait_until_read();
  server.reset();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 "));
  if (!w.servers[1].no_data()) {
    EXPECT_LT(w.servers[1].accept().message().size(), whole.size()) << "its last byte is never written";
  }
}

// After a server has sent a surplus response, connections rest before they are reused. Otherwise a late
// second response would be taken for that of the next request on the connection.
TEST_P(Servers, AConnectionRestsWhereServersSayTooMuch) {
  CustomerWorld w(GetParam());
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(w.unsafe("one"));
  TcpConnection first = w.servers[0].accept();
  first.message();
  first.send(ok("first") + ok("first"));
  EXPECT_TRUE(caller.message().ends_with("first"));
  EXPECT_TRUE(first.ended());
  caller.send(w.unsafe("two", "r2"));
  TcpConnection second = w.servers[0].accept();
  second.message();
  caller.send(w.unsafe("three", "r3"));  // forwarded as soon as the second has its response
  caller.wait_until_read();
  second.send(ok("second"));
  EXPECT_TRUE(caller.message().ends_with("second"));
  TcpConnection third = w.servers[0].accept();
  EXPECT_TRUE(has(third.message(), "three")) << "not on the connection that has just been used";
  second.send(ok("second"));  // late
  EXPECT_TRUE(second.ended());
  third.send(ok("third"));
  EXPECT_TRUE(caller.message().ends_with("third"));
}

// The deadline of a client that writes slowly counts from its last byte.
TEST_P(Servers, ASlowWriterHasItsWholeTime) {
  CustomerWorld w(GetParam());
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  std::string slow = w.unsafe();
  slow.insert(slow.find("Content-Length"), "Request-Timeout-Ms: 800\r\n");
  caller.send(slow.substr(0, 20));
  EXPECT_TRUE(caller.no_data(1000));
  caller.send(slow.substr(20));
  TcpConnection server = w.servers[0].accept();
  const std::string got = server.message();
  EXPECT_GT(std::stoi(got.substr(got.find("Request-Timeout-Ms: ") + 20)), 400) << got;
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

INSTANTIATE_TEST_SUITE_P(Customers, Servers, ::testing::Values(kMarks, kBids), name_of_customer);

}  // namespace
}  // namespace nettlestand::testing
