// Writes the seed corpus of peers_fuzz: each kind of message as the codec encodes it, alone and in sequence.
//   peers_seeds FOLDER
#include <fstream>
#include <string>
#include <vector>

#include "peers/datagram_codec.h"

namespace np = nettlestand::peers;

int main(int argc, char** argv) {
  if (argc != 2) return 2;
  np::DatagramCodec wire({});
  std::string all;
  for (int kind = 0; kind <= static_cast<int>(np::kLastMessageKind); ++kind) {
    for (int state = 0; state < 5; ++state) {
      np::Message m;
      m.kind = static_cast<np::MessageKind>(kind);
      m.seq = static_cast<std::uint32_t>(kind + 1);
      m.from = np::member_key("n" + std::to_string(2 + state));
      m.generation = 7;
      m.target = np::member_key(state % 2 == 0 ? "n1" : "n3");
      m.target_generation = 100;
      m.direct_ack = state % 2 == 0;
      np::Update u;
      u.key = np::member_key(state < 3 ? "n1" : "n4");
      u.generation = 100;
      u.state = static_cast<np::MemberState>(state);
      u.address = 3;
      u.reporter = state == 1 ? m.from : 0;
      m.updates.push_back(u);
      np::Update self;
      self.key = m.from;
      self.generation = m.generation;
      self.address = static_cast<np::Address>(2 + state);
      self.identity = std::make_shared<const np::Identity>(
          np::Identity{"n" + std::to_string(2 + state), "z", "", "1", 0, 2});
      m.updates.push_back(self);
      std::string body = wire.encode(m);
      body.resize(body.size() - np::kMacBytes);
      const std::string piece = std::string(1, static_cast<char>(body.size())) +
                                static_cast<char>(20 * kind) + static_cast<char>(state + 1) + body;
      all += piece;
      std::ofstream(std::string(argv[1]) + "/kind" + std::to_string(kind) + "_" + std::to_string(state))
          << piece;
    }
  }
  std::ofstream(std::string(argv[1]) + "/row") << all.substr(0, 1400);
}
