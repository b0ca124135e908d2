// Test double of Messenger that records messages instead of sending them.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "base/codec.h"
#include "messaging/messages.h"
#include "messaging/messenger.h"

namespace nettlestand::tier {

class RecordingMessenger : public Messenger {
 public:
  struct Sent {
    std::string to, message;
    Lane lane = Lane::kBulk;
  };
  using Messenger::send;
  void send(const std::string& address, std::string_view message, Lane lane) override {
    sent.push_back({address, std::string(message), lane});
  }
  const std::string& own_address() const override { return own; }

  // Removes the recorded messages of one type and returns them decoded, each with the address it was sent to.
  // Messages that can't be decoded are removed as well.
  template <class Message>
  std::vector<std::pair<std::string, Message>> take(MessageType type) {
    std::vector<std::pair<std::string, Message>> out;
    std::erase_if(sent, [&](const Sent& each) {
      if (each.message.empty() || each.message.front() != static_cast<char>(type)) return false;
      if (auto message = decode<Message>(std::string_view(each.message).substr(1)))
        out.emplace_back(each.to, *std::move(message));
      return true;
    });
    return out;
  }

  std::string own = "10.0.0.9:7000";
  std::vector<Sent> sent;
};

}  // namespace nettlestand::tier
