// ZMTP 3.1 framing, and messages between nodes over real connections.
#include "messaging/zmtp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "messaging/tcp_messenger.h"

using namespace nettlestand::tier;
namespace asio = boost::asio;

namespace {

std::string free_address() {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

std::vector<std::string> bodies_of(const std::string& bytes, const std::vector<std::size_t>& cuts) {
  ZmtpDecoder decoder;
  std::vector<std::string> out;
  ZmtpFrame frame;
  std::size_t from = 0;
  for (const std::size_t cut : cuts) {
    decoder.feed(std::string_view(bytes).substr(from, cut - from));
    from = cut;
    while (decoder.next(frame) == ZmtpDecoder::Result::kFrame) out.push_back(frame.body);
  }
  return out;
}

}  // namespace

TEST_CASE("frames are the same wherever the stream is cut") {
  const std::string small = "hello", large(70000, 'x');
  const std::string bytes = zmtp_greeting() + zmtp_ready("PUSH", "10.0.0.1:1") + zmtp_message(small) +
                            zmtp_message("") + zmtp_message(large);
  std::mt19937_64 random(3);
  for (int round = 0; round < 50; ++round) {
    std::vector<std::size_t> cuts = {bytes.size()};
    for (int i = 0; i < 8; ++i) cuts.push_back(random() % (round < 25 ? 300 : bytes.size()));
    std::sort(cuts.begin(), cuts.end());
    const auto bodies = bodies_of(bytes, cuts);
    REQUIRE(bodies.size() == 4);
    CHECK(zmtp_ready_property(bodies[0], "X-Address") == "10.0.0.1:1");
    CHECK(zmtp_ready_property(bodies[0], "Socket-Type") == "PUSH");
    CHECK(bodies[1] == small);
    CHECK(bodies[2].empty());
    CHECK(bodies[3] == large);
  }
}

TEST_CASE("what is no ZMTP is refused") {
  ZmtpFrame frame;
  SECTION("another greeting") {
    ZmtpDecoder decoder;
    decoder.feed(std::string(64, 'G'));
    CHECK(decoder.next(frame) == ZmtpDecoder::Result::kError);
  }
  SECTION("another mechanism") {
    std::string greeting = zmtp_greeting();
    greeting.replace(12, 5, "PLAIN");
    ZmtpDecoder decoder;
    decoder.feed(greeting);
    CHECK(decoder.next(frame) == ZmtpDecoder::Result::kError);
  }
  SECTION("reserved flags") {
    ZmtpDecoder decoder;
    decoder.feed(zmtp_greeting() + "\x40\x01x");
    CHECK(decoder.next(frame) == ZmtpDecoder::Result::kError);
  }
  SECTION("a frame larger than any message, before its bytes come") {
    ZmtpDecoder decoder;
    decoder.feed(zmtp_greeting() + std::string("\x02\x00\x00\x01\x00\x00\x00\x00\x00", 9));
    CHECK(decoder.next(frame) == ZmtpDecoder::Result::kError);
  }
  SECTION("a property longer than the command") {
    CHECK_FALSE(zmtp_ready_property(std::string("\x05READY\x01"
                                                "a\x00\x00\x00\xFFx",
                                                13),
                                    "a"));
  }
}

TEST_CASE("messages arrive in order, with the address at which their sender listens") {
  asio::io_context io;
  const std::string a = free_address(), b = free_address();
  std::vector<std::string> got;
  std::string sender;
  TcpMessenger receiver(io, b, [&](const std::string& from, std::string_view message) {
    sender = from;
    got.emplace_back(message);
    if (got.size() == 300) io.stop();
  });
  TcpMessenger network(io, a, [](const std::string&, std::string_view) {});
  receiver.listen();
  for (int i = 0; i < 300; ++i)
    network.send(b, std::string(static_cast<std::size_t>(i) * 40, 'a') + std::to_string(i));
  io.run_for(std::chrono::seconds(10));
  REQUIRE(got.size() == 300);
  CHECK(sender == a);
  for (std::size_t i = 0; i < got.size(); ++i) CHECK(got[i].ends_with(std::to_string(i)));
}

TEST_CASE("control messages pass bulk ones that wait for the same peer") {
  asio::io_context io;
  const std::string a = free_address(), b = free_address();
  std::vector<std::string> got;
  TcpMessenger receiver(io, b, [&](const std::string&, std::string_view message) {
    got.emplace_back(message.substr(0, 7));
    if (got.size() == 101) io.stop();
  });
  TcpMessenger network(io, a, [](const std::string&, std::string_view) {});
  receiver.listen();
  for (int i = 0; i < 100; ++i) network.send(b, "content" + std::string(64U << 10, 'x'));
  network.send(b, "control", Lane::kControl);
  io.run_for(std::chrono::seconds(10));
  REQUIRE(got.size() == 101);
  const auto place = std::find(got.begin(), got.end(), "control") - got.begin();
  CHECK(place < 3);
}

TEST_CASE("what waits for peers that don't read is bounded, for each and for all together") {
  constexpr std::size_t kMessage = 1U << 20, kLeast = 8U << 20;
  asio::io_context io;
  TcpMessenger network(io, free_address(), [](const std::string&, std::string_view) {});
  const std::string one = free_address();
  const std::string body(kMessage, 'x');
  for (int i = 0; i < 40; ++i) network.send(one, body);
  const std::size_t for_one = network.queued_bytes();
  CHECK(for_one >= kLeast);
  CHECK(for_one <= 16U << 20);
  for (int peer = 0; peer < 20; ++peer) {
    const std::string address = free_address();
    for (int i = 0; i < 10; ++i) network.send(address, body);
  }
  CHECK(network.queued_bytes() > for_one);
  CHECK(network.queued_bytes() <= 25U << 20);
  const std::size_t bulk = network.queued_bytes();
  network.send(one, "heartbeat", Lane::kControl);
  CHECK(network.queued_bytes() > bulk);  // bulk leaves room to what leases rest on
}

TEST_CASE("a stranger's bytes end its connection and nothing else") {
  asio::io_context io;
  const std::string a = free_address(), b = free_address();
  int got = 0;
  TcpMessenger receiver(io, b, [&](const std::string&, std::string_view) {
    ++got;
    io.stop();
  });
  receiver.listen();
  asio::ip::tcp::socket stranger(io);
  stranger.connect(parse_endpoint(b));
  asio::write(stranger,
              asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n") + std::string(100, ' ')));
  char sink[256];
  bool ended = false;
  const std::function<void()> read = [&] {
    stranger.async_read_some(asio::buffer(sink), [&](boost::system::error_code error, std::size_t) {
      if (!error) return read();
      ended = true;
      io.stop();
    });
  };
  read();
  io.run_for(std::chrono::seconds(10));
  CHECK(ended);
  io.restart();
  TcpMessenger network(io, a, [](const std::string&, std::string_view) {});
  network.send(b, "well");
  io.run_for(std::chrono::seconds(10));
  CHECK(got == 1);
}

TEST_CASE("an address that is none is passed over") {
  asio::io_context io;
  TcpMessenger network(io, free_address(), [](const std::string&, std::string_view) {});
  for (const char* bad : {"", "x", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999", "host:80"})
    network.send(bad, "m");
  CHECK(io.poll() == 0);
}
