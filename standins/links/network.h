// Simulated machines on loopback and the links between them: user-space relays for TCP and UDP, with faults
// per link direction.
//
// A network uses a subnet of its own, 127.N.0.0/16. The processes of machine i bind to 127.N.0.i. Machine i
// reaches machine j by 127.N.i.j, an address that no other machine uses. The two directions between i and j
// can therefore fail separately, and a datagram or a connection arrives from the address by which the
// receiver reaches the sender.
//
// Behaviour of a relay, seen from its two ends:
//
// - A connect is refused if the target does not listen. For some ms after the target has started or stopped
//   listening, a connect may be established and reset at once.
//
// - A connect gets no reply while the link is cut or the accept queue of the target is full.
//
// - FIN arrives as FIN and RST as RST, after the data sent before; neither passes a cut link.
//
// - An established connect returns at once; the time of its handshake delays the first byte instead.
//
// - Loss delays streams (lost data is retransmitted after 0.2 s, 0.4 s, ...) and drops datagrams. Streams are
//   never reordered, duplicated or corrupted, as TCP's checksums prevent that.
//
// - The relay buffers 64 KiB per direction of a connection, in addition to the buffers of the kernel.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standins/common/loop.h"
#include "standins/links/link_model.h"

namespace nettlestand::standins {

// Machines, links and link faults. Thread-safe. The loop must outlive it.
class Network {
 public:
  // Totals of one direction.
  struct Counts {
    std::uint64_t connections = 0, refused = 0,
                  resets = 0;  // TCP connections opened; refused by the target; RSTs delivered
    std::uint64_t bytes = 0;   // stream bytes delivered
    std::uint64_t sent = 0, arrived = 0, corrupted = 0;  // datagrams
    std::uint64_t unknown_senders = 0;  // datagrams dropped because they came from another sender
  };

  // Throws std::runtime_error if no subnet of the loopback network is free.
  Network(Loop& loop, std::uint64_t seed);
  ~Network();
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;

  // Adds a machine and returns its number, from 1. Throws std::length_error beyond 250 machines.
  int add_machine();
  // Address to which the processes of a machine bind.
  std::string ip(int machine) const;
  // Address by which `from` reaches `to`; also the source address of what `from` receives from `to`.
  std::string link_ip(int from, int to) const;

  // Address by which `from` connects to a port of `to`; the port number is the same. Repeated calls return
  // the same address.
  Address tcp(int from, int to, int port);
  // Relays datagrams between a socket of `a` and one of `b`, in both directions. Returns the address by which
  // `a` reaches `b`.
  Address udp(int a, int a_port, int b, int b_port);
  // Broadcast address: a datagram that this socket of `from` sends to it goes to every peer that udp() has
  // connected to the socket.
  Address udp_broadcast(int from, int from_port);

  // Applies faults to the direction from `from` to `to` until end(). Returns an id. Several at once are
  // merged by combine().
  std::uint64_t begin(int from, int to, const LinkFaults& faults);
  void end(std::uint64_t fault);
  // Resets all connections between the two machines, at both ends.
  void reset(int a, int b);
  // Resets all connections between the two at `gone` only; `other` notices when it next sends.
  void half_open(int gone, int other);
  // Checks at once which targets listen, for a test that has just started or ended a process.
  void refresh_listeners();

  Counts counts(int from, int to) const;

  // A transfer of stream bytes from the connecting side that was delivered well after it was sent, for
  // example because the link was cut.
  struct DelayedBytes {
    int source_port = 0;             // as the receiver sees it
    double sent = 0, delivered = 0;  // s
  };
  std::vector<DelayedBytes> delayed_bytes() const;

 private:
  class Impl;
  Loop& loop_;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::standins
