// Behaviour of a node towards callers, servers and discovery. The same tests run against the daemon and
// against applications that embed the library.
#include "tests/forms/world.h"

namespace nettlestand::testing {
namespace {

using Forms = OfForm;

TEST_P(Forms, PassesRequestsOnUnchangedAndKeepsConnections) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("mark", "Request-Timeout-Ms: 900\r\nCookie: user=u\r\nConnection: keep-alive\r\n"));
  TcpConnection server = w.servers[0].accept();
  const std::string got = server.message();
  EXPECT_EQ(got.rfind("POST /api?x=1 HTTP/1.1\r\n", 0), 0U) << got;
  for (const char* part :
       {"Request-Id: r1\r\n", "Idempotency-Key: k1\r\n", "Cookie: user=u\r\n", "\r\n\r\nquestion"}) {
    EXPECT_TRUE(has(got, part)) << got;
  }
  EXPECT_FALSE(has(got, "Connection:")) << got;
  const int passed_on = std::stoi(got.substr(got.find("Request-Timeout-Ms: ") + 20));
  EXPECT_LT(passed_on, 900);
  EXPECT_GT(passed_on, 400);
  server.send(ok("the answer"));
  EXPECT_TRUE(has(caller.message(), "\r\n\r\nthe answer"));
  caller.send(request("close"));
  EXPECT_TRUE(has(server.message(), "question")) << "the same connection serves again";
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  EXPECT_TRUE(w.servers[0].no_data());
}

TEST_P(Forms, TriesElsewhereWhatWasNeverSent) {
  World w;
  w.servers[0].close();
  w.serve(w.both());
  TcpConnection caller = w.client(), server;
  for (int i = 0; i < 6; ++i) {
    caller.send(request("close"));
    if (i == 0) server = w.servers[1].accept();
    ASSERT_TRUE(has(server.message(), "question"));
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
  }
}

TEST_P(Forms, SendsAgainOnlyWhatTheServerSaysItHasNotBegun) {
  World w;
  w.serve(w.both());
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection first = w.next();
  first.message();
  first.send(with_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nConnection: close\r\n", ""));
  TcpConnection second = w.next();
  EXPECT_TRUE(has(second.message(), "Request-Id: r1"));
  second.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

// After each of these responses the request may have run: an unsafe request is neither retried nor refused.
TEST_P(Forms, FailsWhatMayHaveRun) {
  const std::vector<std::string> answers = {
      "",                                               // connection closed without a response
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx",  // truncated
      "SSH-2.0 nonsense\r\n\r\n",
      with_length("HTTP/1.1 500 Error\r\n", ""),
      with_length("HTTP/1.1 503 Busy\r\n", ""),
      with_length("HTTP/1.1 500 Error\r\nNot-Started: 1\r\n", ""),
      with_length("HTTP/1.1 302 Found\r\n", ""),
      "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nNot-Started: 1\r\n\r\n",  // in a trailer
      with_length("HTTP/1.1 503 Busy\r\nNot-Started: 0\r\nNot-Started: 1\r\n", ""),
      with_length("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nNot-Started: 0\r\n", ""),
      "HTTP/1.1 200 OK\r\nContent-Length: 1999999\r\n\r\n" + std::string(1999999, 'x'),
  };
  for (const std::string& answer : answers) {
    World w;
    w.serve(w.both());
    TcpConnection caller = w.client();
    caller.send(request("close"));
    TcpConnection server = w.next();
    server.message();
    server.send(answer);
    server.close();
    const std::string got = caller.message();
    EXPECT_TRUE(has(got, "HTTP/1.1 502 ")) << got.substr(0, 60) << " after " << answer.substr(0, 60);
    EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data()) << answer.substr(0, 60);
  }
}

// A response with neither a length nor chunks ends when its connection is closed in order (RFC 9112, 6.3). A
// reset does not end it, whether it arrives after the bytes were read or together with them, and a close
// before the first byte is no response.
TEST_P(Forms, TakesTheEndOfAConnectionForTheEndOfAnAnswerWithoutALengthAndNoReset) {
  for (const bool in_order : {true, false}) {
    for (const bool at_once : {true, false}) {
      World w;
      w.serve(w.both());
      TcpConnection caller = w.client();
      caller.send(request("close"));
      TcpConnection server = w.next();
      server.message();
      if (at_once) w.node->pause();
      server.send("HTTP/1.1 200 OK\r\n\r\nno length");
      at_once ? server.wait_until_delivered() : server.wait_until_read();
      in_order ? server.close() : server.reset();
      if (at_once) w.node->signal(SIGCONT);
      const std::string got = caller.message();
      EXPECT_TRUE(in_order ? got.ends_with("\r\n\r\nno length") : has(got, "HTTP/1.1 502 ")) << got;
      EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data());
    }
  }
  for (const char* cut : {"", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
                          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
    World w;
    w.serve(host("s0", w.servers[0].port()));
    TcpConnection caller = w.client();
    caller.send(request("close", "", "one"));
    TcpConnection server = w.servers[0].accept();
    server.message();
    server.send(ok("answer of the one"));
    EXPECT_TRUE(has(caller.message(), "answer of the one"));
    caller.send(request("close", "", "two"));
    EXPECT_TRUE(has(server.message(), "two"));
    server.send(cut);
    server.close();
    EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 ")) << cut;
  }
}

// Malformed responses on a connection that stays open: each ends its attempt at once and closes the
// connection.
TEST_P(Forms, GivesUpSpoiltAnswersAtOnce) {
  const std::string good = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::string> answers = {
      good + "Content-Length: 3000000000\r\n\r\n" + std::string(1000, 'x'),
      good + "Content-Length: -1\r\n\r\nx",
      good + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
      good + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      good + "Transfer-Encoding: identity\r\nContent-Length: 1\r\n\r\nx",
      good + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      good + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(40000, 'x'),
      good + "X: " + std::string(40000, 'x'),
      good + repeated("X: y\r\n", 8000),
      good + "\x01\x02\r\n\r\n",
      repeated("HTTP/1.1 103 Early\r\n\r\n", 50) + ok(),
  };
  for (const std::string& answer : answers) {
    World w;
    w.serve(host("s0", w.servers[0].port()));
    TcpConnection caller = w.client();
    const double from = seconds();
    caller.send(request("close"));
    TcpConnection server = w.servers[0].accept();
    server.message();
    server.send(answer);
    EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 ")) << answer.substr(0, 90);
    EXPECT_LT(seconds() - from, 3) << "long before its deadline: " << answer.substr(0, 90);
    EXPECT_TRUE(server.ended()) << answer.substr(0, 90);
  }
}

TEST_P(Forms, DeliversAGoodAnswerWithMoreBehindAndNeverUsesItsConnectionAgain) {
  for (const bool at_once : {true, false}) {
    World w;
    w.serve(host("s0", w.servers[0].port()));
    TcpConnection caller = w.client();
    caller.send(request("close", "", "one"));
    TcpConnection server = w.servers[0].accept();
    server.message();
    server.send(ok("first") + (at_once ? ok("second") : ""));
    EXPECT_TRUE(has(caller.message(), "\r\n\r\nfirst"));
    if (!at_once) server.send(ok("second"));
    EXPECT_TRUE(server.ended());
    caller.send(request("close", "", "two"));
    TcpConnection fresh = w.servers[0].accept();
    EXPECT_TRUE(has(fresh.message(), "\r\n\r\ntwo"));
    fresh.send(ok("own"));
    EXPECT_TRUE(has(caller.message(), "\r\n\r\nown"));
  }
}

TEST_P(Forms, TakesNoTrailerForAHeader) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(head("close") + "Transfer-Encoding: chunked\r\n\r\n" + chunk("question") +
              "0\r\nCookie: user=u\r\nConnection: close\r\nRequest-Info: a=b\r\n\r\n");
  TcpConnection server = w.servers[0].accept();
  const std::string got = server.message();
  EXPECT_TRUE(has(got, "\r\n\r\nquestion")) << got;
  EXPECT_FALSE(has(got, "user=u") || has(got, "a=b")) << got;
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
  server.send(chunked + "\r\n" + chunk("answer") +
              "0\r\nContent-Type: text/odd\r\nConnection: close\r\n\r\n");
  std::string answer = caller.message();
  EXPECT_TRUE(answer.ends_with("\r\n\r\nanswer")) << answer;
  EXPECT_FALSE(has(answer, "text/odd") || has(answer, "close")) << answer;
  caller.send(request("close"));
  EXPECT_TRUE(has(server.message(), "question")) << "both connections are kept";
  server.send(chunked + "Content-Type: text/good\r\n\r\n" + chunk("answer") +
              "0\r\nContent-Type: text/odd\r\n\r\n");
  answer = caller.message();
  EXPECT_TRUE(has(answer, "\r\nContent-Type: text/good\r\n")) << answer;
  EXPECT_FALSE(has(answer, "text/odd")) << answer;
}

// Servers have been seen to send responses several times the protocol's 64 KiB.
TEST_P(Forms, PassesOnLargeAnswersWhole) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client(), server;
  for (int i = 0; i < 3; ++i) {
    caller.send(request("close"));
    if (i == 0) server = w.servers[0].accept();
    server.message();
    const std::string body(400 * 1024, static_cast<char>('a' + i));
    server.send(ok(body));
    EXPECT_TRUE(caller.message().ends_with("\r\n\r\n" + body)) << "on the same connections";
  }
}

// Bytes that a server sends before it has the request are no response to it; the request has not run.
const char* const kTurnedAway = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

TEST_P(Forms, TakesNothingForAnAnswerThatStoodThereBeforeTheRequest) {
  for (const std::string& early : {ok("early"), std::string(kTurnedAway), std::string("x")}) {
    TcpListener full(0);
    World w;
    w.connect_timeout = 10;
    const TcpConnection crowd = TcpConnection::to(full.port());  // its accept queue holds one connection
    w.serve(host("s0", full.port()));
    TcpConnection caller = w.client();
    caller.send(request("close"));
    until([&] { return connecting_to(full.port()); });
    w.node->pause();
    const TcpConnection first = full.accept();
    TcpConnection server = full.accept();
    server.send(early);
    server.wait_until_delivered();
    w.node->signal(SIGCONT);
    EXPECT_EQ(server.message(), "") << "nothing is written after " << early;
    server = full.accept();
    EXPECT_TRUE(has(server.message(), "question"));
    server.send(ok("own"));
    EXPECT_TRUE(caller.message().ends_with("\r\n\r\nown"));
  }
}

TEST_P(Forms, TakesNothingForAnAnswerThatCameBeforeTheRequestsLastByte) {
  const std::string error = with_length("HTTP/1.1 500 Error\r\n", "");
  for (const std::string& early : {ok("early"), error, std::string(kTurnedAway), std::string("x")}) {
    World w;
    for (const TcpListener& server : w.servers) server.shrink_receive_buffer();
    w.serve(w.both());
    TcpConnection caller = w.client();
    const std::string whole = request("close", "", std::string(65536, 'q'));
    caller.send(whole);
    TcpConnection server = w.next();
    server.send(early);
    TcpConnection second = w.next();
    EXPECT_LT(server.message().size(), whole.size()) << "the rest is not written after " << early;
    EXPECT_TRUE(second.message().ends_with("qqq"));
    second.send(ok("own"));
    EXPECT_TRUE(caller.message().ends_with("\r\n\r\nown"));
  }
}

TEST_P(Forms, TakesNothingForAnAnswerThatStoodOnAKeptConnection) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection old = w.servers[0].accept();
  old.message();
  old.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  w.node->pause();
  caller.send(request("close"));
  caller.wait_until_delivered();
  old.send(ok("early"));
  old.wait_until_delivered();
  w.node->signal(SIGCONT);
  TcpConnection server = w.servers[0].accept();
  EXPECT_TRUE(has(server.message(), "question"));
  server.send(ok("own"));
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\nown"));
  EXPECT_EQ(old.message(), "");
}

TEST_P(Forms, NeverUsesAConnectionToTheProcessBefore) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection old = w.servers[0].accept();
  old.message();
  w.tell(list(8, false,
              host("s0", w.servers[0].port(), "active", 5)));  // a restarted process at the same address
  w.watch.close();
  EXPECT_TRUE(has(w.take_watch(), "index=8 ")) << "the list has been applied";
  old.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  EXPECT_TRUE(old.ended());
  caller.send(request("close"));
  TcpConnection fresh = w.servers[0].accept();
  fresh.message();
  fresh.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST_P(Forms, ResetAfterTheLastByteIsNotRepeated) {
  World w;
  w.serve(w.both());
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.next();
  server.message();
  server.reset();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 "));
  EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data());
}

TEST_P(Forms, TakesInterimAnswersForWhatTheyAre) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send("HTTP/1.1 100 Continue\r\n\r\n" + ok("final"));
  EXPECT_TRUE(has(caller.message(), "\r\n\r\nfinal"));
}

TEST_P(Forms, DoesNotWriteOnAConnectionThatTheServerHasClosed) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  server.close();
  caller.send(request("close"));
  server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

// If a kept connection breaks under its next request, a non-repeatable request fails. Once that has happened,
// such requests use only connections that were just used, or new ones.
TEST_P(Forms, KeepsUnsafeRequestsOffConnectionsThatGoStale) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  const auto served = [&](TcpConnection& server) {
    EXPECT_TRUE(has(server.message(), "question"));
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 "));
  };
  caller.send(request("close"));
  TcpConnection first = w.servers[0].accept();
  served(first);
  EXPECT_TRUE(first.no_data(150)) << "idle for a while";
  caller.send(request("close"));
  first.message();
  first.reset();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 502 "));
  caller.send(request("close"));
  TcpConnection second = w.servers[0].accept();
  served(second);
  EXPECT_TRUE(second.no_data(150));
  caller.send(request("close"));
  TcpConnection third = w.servers[0].accept();
  served(third);
  EXPECT_TRUE(third.no_data(150));
  caller.send(request("mark"));  // may be repeated: uses a kept connection
  served(third);
}

TEST_P(Forms, ClosesIdleConnectionsBeforeTheServersDo) {
  World w;
  w.idle_close = 4;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  const double from = seconds();
  EXPECT_TRUE(server.ended());
  EXPECT_LT(seconds() - from, 4);
}

TEST_P(Forms, AnswersBeforeTheClientsTimeIsUp) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  const double from = seconds();
  caller.send(request("close", "Request-Timeout-Ms: 700\r\n"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 50")) << "failed, not cut off";
  EXPECT_LT(seconds() - from, 1.2) << "0.7 s, plus an allowance for a busy machine";
  EXPECT_TRUE(server.ended()) << "the attempt is abandoned";
  EXPECT_TRUE(caller.no_data()) << "one final answer";
}

TEST_P(Forms, NoticesAClientThatLeaves) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  caller.close();
  const double from = seconds();
  EXPECT_TRUE(server.ended());
  EXPECT_LT(seconds() - from, 1.9) << "long before the attempt's time-out";
}

TEST_P(Forms, KeepsTheNextRequestsEarlyBytes) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("mark", "", "one"));
  TcpConnection server = w.servers[0].accept();
  EXPECT_TRUE(has(server.message(), "\r\n\r\none"));
  caller.send(request("mark", "", "two"));
  server.send(ok("first"));
  EXPECT_TRUE(has(server.message(), "\r\n\r\ntwo"));
  server.send(ok("second"));
  EXPECT_TRUE(has(caller.message(), "first"));
  EXPECT_TRUE(has(caller.message(), "second"));
}

// The id of a request that is still open is rejected: forwarded, the request could take effect twice or its
// response reach the wrong caller.
TEST_P(Forms, TurnsAwayAnIdThatIsOpen) {
  World w;
  w.serve(w.both());
  TcpConnection one = w.client(), two = w.client();
  one.send(request("mark"));
  TcpConnection server = w.next();
  server.message();
  two.send(request("close"));
  EXPECT_TRUE(has(two.message(), "HTTP/1.1 409 "));
  EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data());
  server.send(ok());
  EXPECT_TRUE(has(one.message(), " 200 "));
  one.send(request("mark"));
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(one.message(), " 200 ")) << "it is no longer open";
}

TEST_P(Forms, TurnsAwayWhatIsNotSound) {
  World w;
  w.serve(w.both());
  const std::string start = "POST /api HTTP/1.1\r\nRequest-Id: r\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"413", start + "Request-Class: close\r\nTenant: acme\r\nContent-Length: 65537\r\n\r\n"},
      {"413", request("close", "", std::string(65537, 'x'))},
      {"400", "nonsense\r\n\r\n"},
      {"400", "POST /api HTTP/1.1\r\nno colon\r\n\r\n"},
      {"431", "POST /api HTTP/1.1\r\nX: " + std::string(20000, 'x')},
      {"431", "POST /api HTTP/1.1\r\n" + repeated("X: y\r\n", 4000)},  // short lines, but too many of them
      {"404", "GET /apis HTTP/1.1\r\n\r\n"},
      {"400", request("other")},
      {"400", request("mark", "Request-Timeout-Ms: soon\r\n")},
      {"400", request("mark", "Request-Timeout-Ms: -5\r\n")},
      {"400", request("mark", "Request-Timeout-Ms: 0\r\n")},
      {"400", with_length(start + "Request-Class: close\r\nTenant: nobody\r\n", "")},
      {"400", with_length(start + "Request-Class: mark\r\nTenant: acme\r\n", "")},  // idempotency key missing
      {"400", "GET /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: close\r\nTenant: acme\r\n\r\n"},
      {"400", with_length("POST /api HTTP/1.1\r\nRequest-Class: close\r\nTenant: acme\r\n", "")},
      {"400", request("close", "Idempotency-Key: k\r\n")},
      {"400", request("close", "Request-Id: r2\r\n")},
      {"400", request("close", "Tenant: acme\r\n")},
      {"400", request("close", "X-Folded: a\r\n b\r\n")},
      {"400", "GET /api HTTP/1.1\r\n folded\r\n\r\n"},
      {"400", request("close", "Cookie: user=u\r\nCookie: user=v\r\n")},
      {"400", request("close", "Content-Type: a/b\r\nContent-Type: a/b\r\n")},
      {"400", hosted("")},
      {"400", hosted("Host:\r\n")},
      {"400", hosted("Host: a\r\nHost: a\r\n")},
      {"400", hosted("Host: a b\r\n")},
      {"400", hosted("Host: a,b\r\n")},
      {"400", hosted("Host: a/b\r\n")},
      {"400", hosted("Host: a@b\r\n")},
      {"400", hosted("Host: a?b\r\n")},
      {"400", hosted("Host: a\xe4\r\n")},
      {"400", hosted("Host: a:b\r\n")},
      {"400", hosted("Host: a:8080:1\r\n")},
      {"400", hosted("Host: :80\r\n")},
      {"400", hosted("Host: ::1\r\n")},
      {"400", hosted("Host: [::1\r\n")},
      {"400", hosted("Host: [::1]80\r\n")},
      {"400", hosted("Host: [::g]\r\n")},
      {"400", hosted("Host: []\r\n")},
      {"400", hosted("Host: [::1%25lo]\r\n")},
      {"400", targeted("/api?x=\xe4")},
      {"400", targeted("/api?x=a#b")},
      {"400", targeted("/api?x=<a>")},
      {"400", targeted("/api?x=\"a\\b\"")},
      {"400", targeted("/\xff")},
      // Ambiguous message length: a second request could be smuggled inside the first.
      {"400", head("close") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"400", head("close") + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"},
      {"400", head("close") + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n\r\nabcde"},
      {"400", head("close") + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"400", head("close") + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"},
      {"400", head("close") + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde"},
      {"400", head("close") + "Content-Length: 5, 5\r\n\r\nabcde"},
      {"400", head("close") + "Content-Length: -5\r\n\r\nabcde"},
      {"400", head("close") + "Content-Length: +5\r\n\r\nabcde"},
      {"400", head("close") + "Content-Length: 0x5\r\n\r\nabcde"},
      {"400", head("close") + "Content-Length: 99999999999999999999\r\n\r\n"},
      {"400", head("close") + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
      {"413", head("close") + "Transfer-Encoding: chunked\r\n\r\n11000\r\n"},
      {"400", targeted("/api", "1.0\r\nTransfer-Encoding: chunked") + "0\r\n\r\n"},
      {"400", head("close") + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: a\r\n b\r\n\r\n"},
      {"400", head("close") + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX: a\r\n\tb\r\n\r\n"},
      {"431", head("close") + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(20000, 'x')},
  };
  for (const auto& [status, text] : cases) {
    TcpConnection caller = w.client();
    caller.send(text + (status == "404" ? "" : request("close", "", "hidden", "r9")));
    EXPECT_TRUE(has(caller.message(), "HTTP/1.1 " + status)) << text.substr(0, 300);
    if (status != "404") {
      EXPECT_TRUE(caller.ended()) << text.substr(0, 300);
    }
  }
  EXPECT_TRUE(w.servers[0].no_data() && w.servers[1].no_data());
  EXPECT_TRUE(has(w.health(), " 200 "));
}

TEST_P(Forms, MeasuresServersHeadsTheSameHoweverTheyAreCut) {
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n";
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client(), server;
  bool connected = false;
  const auto asked = [&] {
    caller.send(request("close"));
    if (!std::exchange(connected, true)) server = w.servers[0].accept();
    return has(server.message(), "question");
  };
  for (const std::size_t line : {60, 16000}) {
    for (const std::size_t size : {9000, 16384}) {
      const std::string good = filled(start, size, line);
      for (const std::size_t cut : cuts_of(size)) {
        ASSERT_TRUE(asked());
        send_cut(server, good + "answer", cut);
        ASSERT_TRUE(caller.message().ends_with("answer")) << size << " cut at " << cut;
      }
    }
    const std::string bad = filled(start, 16385, line);
    for (const std::size_t cut : cuts_of(bad.size())) {
      ASSERT_TRUE(asked());
      send_cut(server, bad + "answer", cut);
      ASSERT_TRUE(has(caller.message(), "HTTP/1.1 502 ")) << "cut at " << cut;
      connected = false;
    }
  }
  ASSERT_TRUE(asked());
  for (const char byte : filled(start, 16384, 60) + "answer") server.send(std::string(1, byte));
  EXPECT_TRUE(caller.message().ends_with("answer"));
}

TEST_P(Forms, MeasuresCallersHeadsTheSameHoweverTheyAreCut) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client(), server;
  const std::string start = head("close") + "Content-Length: 8\r\n";
  const auto served = [&] {
    server.message();
    server.send(ok());
    return has(caller.message(), " 200 ");
  };
  caller.send(request("close"));
  server = w.servers[0].accept();
  ASSERT_TRUE(served());
  for (const std::size_t line : {60, 8000}) {
    const std::string good = filled(start, 8192, line);
    for (const std::size_t cut : cuts_of(good.size())) {
      send_cut(caller, good + "question", cut);
      ASSERT_TRUE(served()) << "cut at " << cut;
    }
    const std::string bad = filled(start, 8193, line);
    const std::string endless = filled(start, 9000, line).substr(0, 8193);
    for (const std::string& text : {bad, endless, bad + "question"}) {
      for (const std::size_t cut : cuts_of(8193)) {
        TcpConnection other = w.client();
        send_cut(other, text, cut);
        ASSERT_TRUE(has(other.message(), "HTTP/1.1 431 ")) << "cut at " << cut;
      }
    }
  }
  for (const char byte : filled(start, 8192, 60) + "question") caller.send(std::string(1, byte));
  EXPECT_TRUE(served());
}

TEST_P(Forms, PassesOnEveryHostAndTargetThatIsOne) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client(), server;
  bool first = true;
  const auto passes = [&](const std::string& sent, const std::string& part) {
    caller.send(sent);
    if (first) server = w.servers[0].accept();
    first = false;
    EXPECT_TRUE(has(server.message(), part)) << sent;
    server.send(ok());
    EXPECT_TRUE(has(caller.message(), " 200 ")) << sent;
  };
  for (const char* name : {"a", "service.internal:8080", "a_b-c~1.d", "a%20b", "a:", "10.0.0.4",
                           "10.0.0.4:3000", "[::1]", "[2001:db8::10.0.0.1]:80"}) {
    const std::string line = "Host: " + std::string(name) + "\r\n";
    passes(hosted(line), line);
  }
  for (const char* target : {"/api", "/api?", "/api?x=%20&y=a-._~!$'()*+,;=:@/?b"}) {
    passes(targeted(target), "POST " + std::string(target) + " HTTP/1.1\r\n");
  }
  const std::string chunked = head("close") + "Transfer-Encoding: chunked\r\n\r\n";
  passes(chunked + chunk("a\r\n b\r\n\tc") + "0\r\nX: a\r\n\r\n", "a\r\n b\r\n\tc");
  passes(request("close", "", "a\r\n b\r\n\tc"), "a\r\n b\r\n\tc");
}

TEST_P(Forms, DrainsStopSendsThatWaitForAConnection) {
  TcpListener full(0);
  std::vector<TcpConnection> crowd;
  World w;
  w.connect_timeout = 10;
  crowd.push_back(
      TcpConnection::to(full.port()));  // its accept queue holds one connection: further ones never complete
  w.serve(host("s0", full.port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  until([&] { return connecting_to(full.port()); });
  w.tell(list(8, false, host("s0", full.port(), "leaving") + "," + host("s1", w.servers[1].port())));
  TcpConnection server = w.servers[1].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST_P(Forms, GivesUpConnectionsThatNeverComeUp) {
  TcpListener full(0);
  World w;
  const TcpConnection crowd = TcpConnection::to(full.port());
  w.serve(host("s0", full.port()));
  TcpConnection caller = w.client();
  const double from = seconds();
  caller.send(request("close"));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 503 ")) << "it has not run: a refusal";
  EXPECT_LT(seconds() - from, 1.9);
}

TEST_P(Forms, FollowsAServerToItsNewAddress) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection old = w.servers[0].accept();
  old.message();
  old.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  w.tell(list(8, false, host("s0", w.servers[1].port())));
  const double from = seconds();
  EXPECT_TRUE(old.ended());
  EXPECT_LT(seconds() - from, 3) << "long before it would idle out";
  caller.send(request("close"));
  TcpConnection server = w.servers[1].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST_P(Forms, IsReadyOnceItKnowsServers) {
  World w;
  w.start();
  EXPECT_TRUE(has(w.health(), " 503 "));
  EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << "the whole list";
  w.tell(list(7, true, w.both()));
  w.await_ready();
}

TEST_P(Forms, KeepsItsListAndAsksAgainWhenTheWatchBreaks) {
  World w;
  std::string known = list(3, true, host("s0", w.servers[0].port()));
  known.pop_back();
  w.known = "\"known\":" + known + ",";
  w.start();
  w.discovery.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));  // refused
  w.await_ready();
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=3 "));
  w.tell("\n");
  w.watch.send("20\r\n{\"seq\":4,\"whole\":true,\"ho");  // truncated within a line
  w.watch.close();
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=3 "));
  w.tell("{\"seq\":5,\"whole\":true,\"hosts\":[{\"host\":7}]}\n");  // malformed
  EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP")) << "the whole list";
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

TEST_P(Forms, TakesASilentWatchForBroken) {
  World w;
  w.serve(w.both());
  EXPECT_TRUE(w.watch.ended());
  EXPECT_TRUE(has(w.take_watch(), "stream=1&index=7 "));
}

TEST_P(Forms, KeepsItsListWhereTheNextHasMoreThanItMay) {
  World w;
  w.memory_mb = 16;  // 2,048 servers
  const std::string one = host("s0", w.servers[0].port());
  std::string full = one;
  for (int i = 1; i < 2048; ++i) full += "," + host("leaving" + std::to_string(i), 1, "leaving");
  const std::string more = host("more", 1, "leaving");
  const std::string long_name = host(std::string(256, 'n'), 1, "leaving");
  std::string odd_share = host("odd", 1, "leaving");
  odd_share.replace(odd_share.find("1.0"), 3, "1e300");
  w.serve(one);
  w.tell(list(8, false, full));
  const std::string refused[] = {list(9, false, more), list(9, true, full + "," + more),
                                 list(9, false, long_name), list(9, true, one + "," + long_name),
                                 list(9, true, one + "," + odd_share)};
  for (const std::string& line : refused) {
    w.tell(line);
    EXPECT_TRUE(w.watch.ended()) << line.substr(0, 100);
    EXPECT_TRUE(has(w.take_watch(), "GET /v1/servers?stream=1 HTTP")) << "the whole list";
  }
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  w.tell(list(10, true, full));
  const std::string& log = w.node->log("heard again");
  EXPECT_TRUE(has(log, "watch: more than 2048 servers listed; the last list is kept\n")) << log;
  EXPECT_EQ(log.find("is kept"), log.rfind("is kept")) << "one line for all of them: " << log;
}

// The world's configuration with another discovery address.
std::string moved(const World& w, const TcpListener& discovery) {
  std::string out = w.config();
  const std::string old = "\"discovery\":\"127.0.0.1:" + std::to_string(w.discovery.port());
  return out.replace(out.find(old), old.size(),
                     "\"discovery\":\"127.0.0.1:" + std::to_string(discovery.port()));
}

TEST_P(Forms, MovesItsWatchOnSighup) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  for (int round = 0; round < 2; ++round) {
    const TcpListener elsewhere;
    w.node->reload(moved(w, elsewhere));
    TcpConnection next = elsewhere.accept();
    EXPECT_TRUE(has(next.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n")) << "the whole list";
    EXPECT_TRUE(w.watch.no_data()) << "the old watch stays until the new one has responded";
    w.tell(list(8, true, host("s1", w.servers[1].port())));
    TcpConnection caller = w.client();
    const auto serves = [&](const TcpListener& peer) {
      until([&] {
        caller.send(request("close"));
        TcpConnection server = w.next();
        while (server.message().empty())
          server = w.next();  // abandoned: the list changed while it was connecting
        server.send(with_length("HTTP/1.1 200 OK\r\nConnection: close\r\n", "answer"));
        caller.message();
        return server.local_port() == peer.port();
      });
    };
    serves(w.servers[1]);  // updates from the old watch still apply
    next.send(kWatchHead);
    EXPECT_TRUE(w.watch.no_data());
    next.send(chunk(list(3, true, host("s0", w.servers[0].port()))));
    EXPECT_TRUE(w.watch.ended());
    serves(w.servers[0]);
    w.watch = std::move(next);
    next = TcpConnection();
  }
}

TEST_P(Forms, AsksTheNewDiscoveryAgainUntilItSpeaks) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  const TcpListener elsewhere;
  w.node->reload(moved(w, elsewhere));
  elsewhere.accept().send(with_length("HTTP/1.1 503 Busy\r\n", ""));
  TcpConnection second = elsewhere.accept();
  w.watch.close();  // the old watch has ended by then
  second.reset();
  EXPECT_TRUE(has(elsewhere.accept().message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
  EXPECT_TRUE(has(w.health(), " 200 ")) << "with the last list";
}

TEST_P(Forms, MovesItsWatchInAnOutageAndInADrain) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  w.discovery.close();
  w.watch.close();
  w.node->log("the last list is kept");
  const TcpListener second, third;
  w.node->reload(moved(w, second));
  TcpConnection watch = second.accept();
  EXPECT_TRUE(has(watch.message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
  watch.send(kWatchHead);
  watch.send(chunk(list(1, true, host("s0", w.servers[0].port()))));
  TcpConnection caller = w.client();
  caller.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  w.node->log("draining");
  w.node->reload(moved(w, third));
  EXPECT_TRUE(has(third.accept().message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
  EXPECT_EQ(w.node->exit_code(), 0);
}

TEST_P(Forms, KeepsItsConfigurationWhereTheNextCantBeUsed) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  const TcpListener elsewhere;
  const std::string good = moved(w, elsewhere);
  w.node->remove_config_and_reload();
  EXPECT_TRUE(has(w.node->log("stays as it was: can't read"), "stays as it was: can't read"));
  w.node->reload(good.substr(0, good.size() / 2));
  EXPECT_TRUE(has(w.node->log("stays as it was: not valid"), "stays as it was: not valid"));
  w.node->reload(R"({"discovery":"nowhere"})");
  EXPECT_TRUE(has(w.node->log("stays as it was: field"), "stays as it was: field"));
  EXPECT_TRUE(w.watch.no_data());
  EXPECT_TRUE(elsewhere.no_data());
  w.node->reload(good);
  EXPECT_TRUE(has(elsewhere.accept().message(), "GET /v1/servers?stream=1 HTTP/1.1\r\n"));
}

TEST_P(Forms, DrainsOnSigterm) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection kept = w.client(), busy = w.client();
  kept.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(kept.message(), "HTTP/1.1 200 "));
  busy.send(request("close"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  const double from = seconds();
  w.node->log("draining");
  kept.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(kept.message(), "HTTP/1.1 503 "));
  kept.send(request("close", "", "question",
                    "r2"));  // clients keep using open connections, and may have no other node
  TcpConnection second = w.servers[0].accept();
  second.message();
  second.send(ok());
  EXPECT_TRUE(has(kept.message(), " 200 "));
  TcpConnection late = w.client();  // the drain began earlier; the node still accepts
  late.send("GET /healthz HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(has(late.message(), "HTTP/1.1 503 "));
  EXPECT_TRUE(late.ended()) << "idle connections are closed before the end";
  EXPECT_TRUE(kept.ended());
  EXPECT_GT(seconds() - from, 1.5);
  server.send(ok());
  EXPECT_TRUE(has(busy.message(), "Connection: close\r\n"));
  EXPECT_TRUE(busy.ended());
  EXPECT_EQ(w.node->exit_code(), 0);
  EXPECT_LT(seconds() - from, 3.7);
}

// The node's own drain deadline applies if neither the decision module nor the client ends a request in time.
TEST_P(Forms, AnswersWhatIsOpenBeforeItIsKilled) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close", "Request-Timeout-Ms: 60000\r\n"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  w.node->signal(SIGTERM);
  const double from = seconds();
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 50"));
  EXPECT_EQ(w.node->exit_code(), 0);
  EXPECT_LT(seconds() - from, 4.5);
}

// Bodies that are never completed hold memory: above a part of the memory limit the node refuses requests.
TEST_P(Forms, HoldsNoMoreBodiesThanItsMemoryAllows) {
  World w;
  w.memory_mb = 16;
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TcpConnection> held;
  bool full = false;
  for (int i = 0; i < 100 && !full; ++i) {
    held.push_back(w.client());
    held.back().send(head("close", "h" + std::to_string(i)) + "Content-Length: 65536\r\n\r\nhalf");
    TcpConnection probe = w.client();
    probe.send(head("close", "p") + "Content-Length: 65536\r\n\r\n");
    full = !probe.no_data(20) && has(probe.message(), "HTTP/1.1 503 ");
  }
  EXPECT_TRUE(full);
  EXPECT_GT(held.size(), 20U);
  held.clear();
  until([&] {
    TcpConnection caller = w.client();
    caller.send(request("close"));
    if (caller.no_data(50)) return true;
    caller.message();
    return false;
  });
}

TEST_P(Forms, IdleConnectionsToOneServerMakeRoomForAnother) {
  World w;
  w.sockets = 64;  // ten of them for servers
  w.serve(host("s0", w.servers[0].port()));
  std::vector<TcpConnection> callers, taken;
  for (int i = 0; i < 10; ++i) {
    callers.push_back(w.client());
    callers.back().send(request("close", "", "question", "r" + std::to_string(i)));
    taken.push_back(w.servers[0].accept());
    taken.back().message();
  }
  for (std::size_t i = 0; i < 10; ++i) {
    taken[i].send(ok());
    EXPECT_TRUE(has(callers[i].message(), " 200 "));
  }
  w.tell(list(8, false, host("s1", w.servers[1].port())));
  for (int i = 0; i < 60 && w.servers[1].no_data(); ++i) {
    callers[0].send(request("close"));
    until([&] {
      for (TcpConnection& server : taken) {
        if (server.no_data() || server.message().empty()) continue;
        server.send(ok());
        return true;
      }
      return !w.servers[1].no_data();
    });
    if (w.servers[1].no_data()) {
      EXPECT_TRUE(has(callers[0].message(), " 200 "));
    }
  }
  TcpConnection server = w.servers[1].accept();
  server.message();
  server.send(ok());
  EXPECT_TRUE(has(callers[0].message(), " 200 "));
}

INSTANTIATE_TEST_SUITE_P(Node, Forms, ::testing::ValuesIn(std::vector<Form>{FORMS}), name_of_form);

}  // namespace
}  // namespace nettlestand::testing
