// Machines on loopback and the ways between them: user-space relays for TCP and UDP, with faults between any
// two.
//
// A network has a part of 127.0.0.0/8 to itself, 127.N.0.0/16. Machine i has the address 127.N.0.i for its
// processes to bind; it reaches machine j by 127.N.i.j, which nobody else uses. So the way from i to j and
// the way back fail separately, and a datagram or a connection arrives from the address by which the receiver
// itself would reach the sender.
//
// What a relay can and can't do, seen from the two ends:
//   a refused connect is refused, as long as the far side has listened or not for some ms; in the moment
//   between
//     a connect may come up and be reset at once
//   an unanswered connect is unanswered: the way is cut, or the far side's accept queue is full
//   FIN arrives as FIN, RST as RST, behind what was sent before; neither passes a way that is cut
//   a connect that comes up does so at once: the time that its handshake would take is added to the first
//   byte loss delays a stream (what is lost is sent again after 0.2 s, 0.4 s, ...) and takes datagrams away;
//   streams
//     are never reordered, doubled or corrupted, as their checksums see to that
//   each direction of a connection holds 64 KiB in the relay beside the kernel's buffers
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/loop.h"
#include "standins/links/link_model.h"

namespace nettlestand::standins {

// All members are for any thread. The loop must outlive it.
class Network {
 public:
  struct Counts {
    std::uint64_t connections = 0, refused = 0,
                  resets = 0;  // TCP: came up; a far side that refused; RSTs passed on
    std::uint64_t bytes = 0;   // passed on, of streams
    std::uint64_t sent = 0, arrived = 0, corrupted = 0;  // datagrams
    std::uint64_t unknown_senders = 0;                   // datagrams from elsewhere: dropped
  };

  // Throws std::runtime_error where no part of the loopback network is free.
  Network(Loop& loop, std::uint64_t seed);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // A further machine, numbered from 1; 250 at most (std::length_error).
  int add_machine();
  std::string ip(int machine) const;
  // The address by which `from` reaches `to`: as the source of what comes from there, too.
  std::string link_ip(int from, int to) const;

  // How `from` reaches what listens at a port of `to`. Twice the same: the same. The port at the way's
  // address is the same as there.
  Address tcp(int from, int to, int port);
  // Datagrams between a socket of each, both ways. Returns how `a` reaches `b`.
  Address udp(int a, int a_port, int b, int b_port);
  // An address to which `from` sends what all that udp() has tied to its socket get.
  Address udp_broadcast(int from, int from_port);

  // A fault of the way from one to the other, until end(). Several at once go together.
  std::uint64_t begin(int from, int to, const LinkFaults& faults);
  void end(std::uint64_t fault);
  // Resets all connections between the two, at both ends.
  void reset(int a, int b);
  // `gone` forgets all its connections with `other`, which learns of it when it next sends.
  void half_open(int gone, int other);
  // Asks again, at once, who listens: for a test that has just ended a process.
  void refresh_listeners();

  Counts counts(int from, int to) const;

  // Bytes of streams that came to the far side well after they were sent, as a cut way held them back.
  struct DelayedBytes {
    int source_port = 0;             // as the far side sees it
    double sent = 0, delivered = 0;  // s
  };
  std::vector<DelayedBytes> delayed_bytes() const;

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::standins
