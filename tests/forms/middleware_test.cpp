// Tests specific to embedding applications: routes of the application beside /api, served by its web
// framework.
#include "tests/forms/world.h"

namespace nettlestand::testing {
namespace {

using Middleware = OfForm;

std::string own(const std::string& body, const std::string& more = "") {
  return with_length("POST /own HTTP/1.1\r\nHost: a\r\n" + more, body);
}

TEST_P(Middleware, GivesOtherRoutesToTheApplicationWhole) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(own("as it came"));
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\nas it came"));
  caller.send("POST /own HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("in ") +
              chunk("pieces") + "0\r\nX-Trailer: t\r\n\r\n");
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\nin pieces"));
  for (const char byte : own("byte by byte")) caller.send(std::string(1, byte));
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\nbyte by byte"));
  caller.send(own(std::string(60000, 'x')));
  EXPECT_TRUE(caller.message().ends_with(std::string(60000, 'x'))) << "the body limit is 64 KiB";
  TcpConnection large = w.client();
  large.send("POST /own HTTP/1.1\r\nHost: a\r\nContent-Length: 65537\r\n\r\n");
  EXPECT_TRUE(has(large.message(), "HTTP/1.1 413 "));
  EXPECT_TRUE(large.ended());
  EXPECT_TRUE(w.servers[0].no_data());
}

TEST_P(Middleware, ServesBothOnOneConnectionInTheirOrder) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(own("first") + request("close", "", "second") + own("third"));
  TcpConnection server = w.servers[0].accept();
  EXPECT_TRUE(server.message().ends_with("\r\n\r\nsecond"));
  EXPECT_TRUE(caller.message().ends_with("first"));
  EXPECT_TRUE(caller.no_data(30)) << "the third waits for the second";
  server.send(ok("served"));
  EXPECT_TRUE(caller.message().ends_with("\r\n\r\nserved"));
  EXPECT_TRUE(caller.message().ends_with("third"));
}

// An internal header links requests parsed by RESTinio to the bytes read below it; clients must not be able
// to send it.
TEST_P(Middleware, TakesNoClientsWordForItsOwn) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection waiting = w.client(), liar = w.client();
  waiting.send(request("close", "", "waits"));
  TcpConnection server = w.servers[0].accept();
  server.message();
  for (int token = 0; token < 8; ++token) {
    const std::string lie = "Nettlestand-Token: " + std::to_string(token) + "\r\n";
    liar.send(own("echo", lie));
    EXPECT_TRUE(liar.message().ends_with("\r\n\r\necho")) << token;
  }
  server.send(ok("for who waited"));
  EXPECT_TRUE(waiting.message().ends_with("\r\n\r\nfor who waited"));
}

TEST_P(Middleware, TurnsAwayOnOtherRoutesWhatCantBeReadToo) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  for (const std::string& text :
       {std::string("POST /own HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n0\r\n\r\n"),
        std::string("POST /own HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
        own("x", "X: a\r\n b\r\n"), std::string("nonsense\r\n\r\n")}) {
    TcpConnection caller = w.client();
    caller.send(text + own("hidden"));
    EXPECT_TRUE(has(caller.message(), "HTTP/1.1 400 ")) << text;
    EXPECT_TRUE(caller.ended()) << text;
  }
}

TEST_P(Middleware, AnswersARequestThatIsTurnedAwayBehindOneThatWaits) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(request("close", "", "good") + "nonsense\r\n\r\n");
  TcpConnection server = w.servers[0].accept();
  EXPECT_TRUE(server.message().ends_with("good"));
  EXPECT_TRUE(caller.no_data(30));
  server.send(ok("kept its place"));
  EXPECT_TRUE(caller.message().ends_with("kept its place"));
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 400 "));
  EXPECT_TRUE(caller.ended());
}

TEST_P(Middleware, LetsAClientWaitForContinue) {
  World w;
  w.serve(host("s0", w.servers[0].port()));
  TcpConnection caller = w.client();
  caller.send(head("close") + "Expect: 100-continue\r\nContent-Length: 8\r\n\r\n");
  EXPECT_TRUE(has(caller.message(), "HTTP/1.1 100 "));
  caller.send("question");
  TcpConnection server = w.servers[0].accept();
  EXPECT_TRUE(server.message().ends_with("question"));
  server.send(ok());
  EXPECT_TRUE(has(caller.message(), " 200 "));
}

INSTANTIATE_TEST_SUITE_P(Embedded, Middleware, ::testing::ValuesIn(std::vector<Form>{EMBEDDED}),
                         name_of_form);

}  // namespace
}  // namespace nettlestand::testing
