// ZMTP 3.1 framing, and the messenger over real TCP connections.
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

// An address on the loopback interface with a port that is currently free.
std::string free_address() {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

// Feeds the bytes to a decoder in pieces that end at `split_positions`; returns the bodies of all frames.
std::vector<std::string> bodies_of(const std::string& bytes,
                                   const std::vector<std::size_t>& split_positions) {
  ZmtpDecoder decoder;
  std::vector<std::string> out;
  ZmtpFrame frame;
  std::size_t from = 0;
  for (const std::size_t end : split_positions) {
    decoder.feed(std::string_view(bytes).substr(from, end - from));
    from = end;
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
    std::vector<std::size_t> split_positions = {bytes.size()};
    for (int i = 0; i < 8; ++i) split_positions.push_back(random() % (round < 25 ? 300 : bytes.size()));
    std::sort(split_positions.begin(), split_positions.end());
    const auto bodies = bodies_of(bytes, split_positions);
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
  std::vector<std::string> received;
  std::string sender;
  TcpMessenger receiver(io, b, [&](const std::string& from, std::string_view message) {
    sender = from;
    received.emplace_back(message);
    if (received.size() == 300) io.stop();
  });
  TcpMessenger messenger(io, a, [](const std::string&, std::string_view) {});
  receiver.listen();
  for (int i = 0; i < 300; ++i)
    messenger.send(b, std::string(static_cast<std::size_t>(i) * 40, 'a') + std::to_string(i));
  io.run_for(std::chrono::seconds(10));
  REQUIRE(received.size() == 300);
  CHECK(sender == a);
  for (std::size_t i = 0; i < received.size(); ++i) CHECK(received[i].ends_with(std::to_string(i)));
}

TEST_CASE("control messages pass bulk ones that wait for the same peer") {
  asio::io_context io;
  const std::string a = free_address(), b = free_address();
  std::vector<std::string> received;
  TcpMessenger receiver(io, b, [&](const std::string&, std::string_view message) {
    received.emplace_back(message.substr(0, 7));
    if (received.size() == 101) io.stop();
  });
  TcpMessenger messenger(io, a, [](const std::string&, std::string_view) {});
  receiver.listen();
  for (int i = 0; i < 100; ++i) messenger.send(b, "content" + std::string(64U << 10, 'x'));
  messenger.send(b, "control", Lane::kControl);
  io.run_for(std::chrono::seconds(10));
  REQUIRE(received.size() == 101);
  const auto position = std::find(received.begin(), received.end(), "control") - received.begin();
  CHECK(position < 3);
}

TEST_CASE("what waits for peers that don't read is bounded, for each and for all together") {
  constexpr std::size_t kMessageBytes = 1U << 20, kMinQueuedBytes = 8U << 20;
  asio::io_context io;
  TcpMessenger messenger(io, free_address(), [](const std::string&, std::string_view) {});
  const std::string first_peer = free_address();
  const std::string body(kMessageBytes, 'x');
  for (int i = 0; i < 40; ++i) messenger.send(first_peer, body);
  const std::size_t for_first_peer = messenger.queued_bytes();
  CHECK(for_first_peer >= kMinQueuedBytes);
  CHECK(for_first_peer <= 16U << 20);
  for (int peer = 0; peer < 20; ++peer) {
    const std::string address = free_address();
    for (int i = 0; i < 10; ++i) messenger.send(address, body);
  }
  CHECK(messenger.queued_bytes() > for_first_peer);
  CHECK(messenger.queued_bytes() <= 25U << 20);
  const std::size_t queued_bulk = messenger.queued_bytes();
  messenger.send(first_peer, "heartbeat", Lane::kControl);
  // Control messages, on which leases depend, still fit when bulk messages don't.
  CHECK(messenger.queued_bytes() > queued_bulk);
}

TEST_CASE("a stranger's bytes end its connection and nothing else") {
  asio::io_context io;
  const std::string a = free_address(), b = free_address();
  int received = 0;
  TcpMessenger receiver(io, b, [&](const std::string&, std::string_view) {
    ++received;
    io.stop();
  });
  receiver.listen();
  asio::ip::tcp::socket client(io);
  client.connect(parse_endpoint(b));
  asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n") + std::string(100, ' ')));
  char discard_buffer[256];
  bool ended = false;
  const std::function<void()> read = [&] {
    client.async_read_some(asio::buffer(discard_buffer), [&](boost::system::error_code error, std::size_t) {
      if (!error) return read();
      ended = true;
      io.stop();
    });
  };
  read();
  io.run_for(std::chrono::seconds(10));
  CHECK(ended);
  io.restart();
  TcpMessenger messenger(io, a, [](const std::string&, std::string_view) {});
  messenger.send(b, "well");
  io.run_for(std::chrono::seconds(10));
  CHECK(received == 1);
}

TEST_CASE("an address that is none is passed over") {
  asio::io_context io;
  TcpMessenger messenger(io, free_address(), [](const std::string&, std::string_view) {});
  for (const char* bad : {"", "x", "10.0.0.1", "10.0.0.1:", "10.0.0.1:99999", "host:80"})
    messenger.send(bad, "m");
  CHECK(io.poll() == 0);
}
