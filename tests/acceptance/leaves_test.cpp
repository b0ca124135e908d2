// A client that has closed its connection is gone: no attempt is started for it any more, whatever the
// attempt waits for, and however busy the event loop is.
#include "tests/acceptance/customer_world.h"

namespace nettlestand::testing {
namespace {

using Leaves = CustomerTest;

const char* const kNotStarted =
    "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

// The server's rejection arrives before the client's close, and the loop reads both afterwards: the retry
// must not start before the close is noticed.
TEST_P(Leaves, ACloseThatLiesInTheSocketComesBeforeAFurtherAttempt) {
  CustomerWorld w(GetParam());
  w.serve(w.both());
  TcpConnection caller = w.client();
  caller.send(w.unsafe());
  TcpConnection server = w.next();
  server.message();
  w.node->pause();
  server.send(kNotStarted);
  server.wait_until_delivered();
  caller.close();
  w.node->signal(SIGCONT);
  EXPECT_TRUE(server.ended()) << "the answer has been read";
  w.wait_until_caught_up();
  EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data());
}

// Input beyond the pipelining limit is not read; the client's close must be noticed all the same.
TEST_P(Leaves, AClientThatLeavesBytesBehindHasGone) {
  CustomerWorld w(GetParam());
  w.serve(w.both());
  TcpConnection caller = w.client();
  caller.send(w.unsafe());
  TcpConnection server = w.next();
  server.message();
  for (int i = 0; i < 3; ++i) {
    caller.send(w.unsafe(std::string(16000, 'q'), "later" + std::to_string(i)));
    caller.wait_until_delivered();
  }
  caller.close();
  w.wait_until_caught_up();
  server.send(kNotStarted);
  EXPECT_TRUE(server.ended());
  w.wait_until_caught_up();
  EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data())
      << "neither a retry nor the pipelined requests";
}

// A complete request and its client's close arrive together.
TEST_P(Leaves, ARequestWhoseClientHasGoneIsNotBegun) {
  CustomerWorld w(GetParam());
  w.serve(w.both());
  TcpConnection caller = w.client();
  w.wait_until_caught_up();
  w.node->pause();
  caller.send(w.unsafe());
  caller.close();
  w.node->signal(SIGCONT);
  w.wait_until_caught_up();
  EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data());
}

// The client leaves before the connection to the server is established. Nothing has run, so the attempt is
// withdrawn whether work may be cancelled or not.
TEST_P(Leaves, WhatWaitsForItsConnectionIsWithdrawn) {
  Customer customer = GetParam();
  customer.give_up = 30;
  TcpListener full(0);
  CustomerWorld w(customer);
  w.connect_timeout = 30;
  const TcpConnection crowd = TcpConnection::to(full.port());  // the accept queue has room for one
  w.serve(host("s0", full.port()));
  TcpConnection caller = w.client();
  caller.send(w.unsafe());
  until([&] { return connecting_to(full.port()); });
  caller.close();
  const double from = seconds();
  until([&] { return !connecting_to(full.port()); });
  EXPECT_LT(seconds() - from, 10) << "long before the attempt's own deadline";
}

TEST_P(Leaves, WhatIsHalfWrittenIsWithdrawn) {
  Customer customer = GetParam();
  customer.give_up = 30;
  CustomerWorld w(customer);
  w.servers[0].shrink_receive_buffer();
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  const std::string whole = w.unsafe(std::string(65536, 'q'));
  caller.send(whole);
  TcpConnection server = w.servers[0].accept();
  caller.close();
  w.wait_until_caught_up();
  EXPECT_LT(server.message().size(), whole.size()) << "its last byte is never written";
}

INSTANTIATE_TEST_SUITE_P(Customers, Leaves, ::testing::Values(kMarks, kBids), name_of_customer);

}  // namespace
}  // namespace nettlestand::testing
