// Model of one direction of a link between two machines: decides loss, delay and corruption of its traffic.
// Used by Network (real sockets) and by the emulator. It does no I/O and reads no clock; the same seed gives
// the same decisions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <pcg_random.hpp>
#include <vector>

namespace nettlestand::standins {

// Faults of one direction. Several at once are merged by combine().
struct LinkFaults {
  bool cut = false;  // nothing is delivered
  double loss = 0;   // fraction of the messages, 0 to 1
  // Mean number of messages lost in a row (Gilbert 1960, Elliott 1963); 1: independent losses.
  double burst = 1;
  double delay = 0;      // s
  double jitter = 0;     // s; extra delay, uniform from 0 to this
  double reorder = 0;    // fraction of the datagrams, 0 to 1, that later ones may overtake
  double duplicate = 0;  // fraction of the datagrams, 0 to 1
  double corrupt = 0;    // fraction of the datagrams, 0 to 1
  double bandwidth = 0;  // bytes/s; 0: unlimited
};

// Both at once: cut if either is, losses are independent, delays add up, and the lower bandwidth applies.
LinkFaults combine(const LinkFaults& a, const LinkFaults& b);

// One direction of a link.
class LinkModel {
 public:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  // Initial TCP retransmission timeouts, of data and of the handshake; doubled on each retry (RFC 6298, with
  // Linux's minimum).
  static constexpr double kRetransmitTimeout = 0.2, kSynRetransmitTimeout = 1;  // s

  explicit LinkModel(std::uint64_t seed) : random_(seed) {}

  void set(const LinkFaults& faults) { faults_ = faults; }
  const LinkFaults& faults() const { return faults_; }

  struct Delivery {
    double at = 0;  // s
    bool corrupt = false;
  };
  // Arrivals of a datagram sent at `now` and of its duplicates; empty if it is lost.
  std::vector<Delivery> datagram_arrivals(double now, std::size_t bytes);

  // Arrival time of a chunk of a stream. Lost data is retransmitted and therefore only delayed. A chunk never
  // overtakes the previous one of its stream, which arrives at `last`. kNever while the link is cut.
  double stream_arrival(double now, std::size_t bytes, double last);

  // Time that a TCP handshake spends on this direction.
  double handshake_time();

  // Uniformly distributed from 0 to 1.
  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  std::uint64_t uniform_below(std::uint64_t below) {
    return static_cast<std::uint64_t>(uniform() * static_cast<double>(below));
  }

 private:
  bool draw_loss();
  double transmitted_at(double now, std::size_t bytes);

  LinkFaults faults_;
  pcg64 random_;
  bool in_burst_ = false;
  double link_free_at_ = 0;  // s; transmission of earlier messages ends then
};

}  // namespace nettlestand::standins
