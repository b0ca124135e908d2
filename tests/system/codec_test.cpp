// Binary encoding of messages: encoded values decode to the same values, and malformed input is rejected or
// decodes to a valid value, without reading past its end.
#include <catch2/catch.hpp>
#include <random>

#include "messaging/messages.h"

using namespace nettlestand::tier;

namespace {

Poll sample_poll() {
  Poll poll{};
  poll.group = 2;
  poll.node.name = "edge-a-1";
  poll.node.address = "10.0.0.1:7660";
  poll.node.is_core = true;
  poll.node.disk_id = 0xFFFFFFFFFFFFFFFFULL;
  poll.sent_at = -5;
  poll.list_term = 300;
  TokenRequest request{};
  request.tenant = std::string("t\0x", 3);
  request.wanted = 7;
  poll.tokens.push_back(request);
  poll.leaving = true;
  return poll;
}

}  // namespace

TEST_CASE("a struct with lists, signs and zero bytes is read back as it was") {
  const Poll poll = sample_poll();
  const auto decoded = decode<Poll>(encode(poll));
  REQUIRE(decoded);
  CHECK(encode(*decoded) == encode(poll));
  CHECK(decoded->sent_at == -5);
  CHECK(decoded->node.disk_id == 0xFFFFFFFFFFFFFFFFULL);
  CHECK(decoded->tokens.at(0).tenant.size() == 3);
}

TEST_CASE("every shorter form is refused, and so is a longer one") {
  const std::string bytes = encode(sample_poll());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    INFO("size " << size);
    CHECK_FALSE(decode<Poll>(std::string_view(bytes).substr(0, size)));
  }
  CHECK_FALSE(decode<Poll>(bytes + '\0'));
}

TEST_CASE("a list that claims more elements than there are bytes takes no memory") {
  Encoder encoder;
  encoder.put(std::uint64_t{1} << 60);
  CHECK_FALSE(decode<Shuffle>(encoder.take()));
}

TEST_CASE("bytes changed or drawn by chance are read whole or refused, never past their end") {
  std::mt19937_64 random(7);
  const std::string bytes = encode(sample_poll());
  std::size_t rejected = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string changed = bytes;
    for (int i = 0; i < 3; ++i) changed[random() % changed.size()] = static_cast<char>(random());
    if (round % 2 == 1) changed.resize(random() % changed.size());
    const auto poll = decode<Poll>(changed);
    const auto reply = decode<PollReply>(changed);
    const auto message = decode<GroupMessage>(changed);
    const auto replicate = decode<Replicate>(changed);
    if (!poll) ++rejected;
    // Whatever was decoded is a valid value: it can be encoded and decoded again.
    if (poll) CHECK(decode<Poll>(encode(*poll)));
    if (reply) CHECK(decode<PollReply>(encode(*reply)));
    if (message) CHECK(decode<GroupMessage>(encode(*message)));
    if (replicate) CHECK(decode<Replicate>(encode(*replicate)));
    const auto request = decode<ConfigTextRequest>(changed);
    const auto text_reply = decode<ConfigTextReply>(changed);
    if (request) CHECK(decode<ConfigTextRequest>(encode(*request)));
    if (text_reply) CHECK(decode<ConfigTextReply>(encode(*text_reply)));
  }
  CHECK(rejected > 5000);
}
