// What a way from one machine to another does to what passes on it: decided here, carried out by links
// (sockets) and by the emulator alike. No I/O, no clock; one seed, one course.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <pcg_random.hpp>
#include <vector>

namespace nettlestand::standins {

// The faults of one way. Several at once go together: see combine().
struct LinkFaults {
  bool cut = false;    // nothing arrives
  double loss = 0;     // of the messages, 0 to 1
  double burst = 1;    // messages lost in a row, in the mean (Gilbert 1960, Elliott 1963); 1: each by itself
  double delay = 0;    // s
  double jitter = 0;   // s; up to so much more, evenly
  double reorder = 0;  // of the datagrams, 0 to 1: those behind may overtake them
  double duplicate = 0;  // of the datagrams, 0 to 1
  double corrupt = 0;    // of the datagrams, 0 to 1
  double bandwidth = 0;  // bytes/s; 0: without a bound
};

// Both at once: what either cuts is cut, losses are independent, delays add up, the narrower band counts.
LinkFaults combine(const LinkFaults& a, const LinkFaults& b);

class LinkModel {
 public:
  static constexpr double kNever = std::numeric_limits<double>::infinity();
  // TCP waits so long before it sends again, and twice as long each further time (RFC 6298, Linux's least).
  static constexpr double kRetransmitTimeout = 0.2, kSynRetransmitTimeout = 1;  // s; of the handshake

  explicit LinkModel(std::uint64_t seed) : random_(seed) {}

  void set(const LinkFaults& faults) { faults_ = faults; }
  const LinkFaults& faults() const { return faults_; }

  struct Delivery {
    double at = 0;  // s
    bool corrupt = false;
  };
  // A datagram that is sent at `now`: when it arrives, and when its copies do; nothing where it is lost.
  std::vector<Delivery> datagram_arrivals(double now, std::size_t bytes);

  // A piece of a stream: when it arrives. What is lost is sent again, so it only comes later; it never
  // overtakes what was sent before on the same stream, whose arrival `last` is. kNever while the way is cut.
  double stream_arrival(double now, std::size_t bytes, double last);

  // How long a handshake of TCP takes on this way.
  double handshake_time();

  // 0 to 1.
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
  double link_free_at_ = 0;  // the band is taken until then
};

}  // namespace nettlestand::standins
