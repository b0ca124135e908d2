// Runs membership on a UDP socket in the event loop of a node or an application, on the loop's thread. If
// membership is off no Service is created, and nothing of it runs, listens or sends.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "peers/balancer_tracker.h"
#include "peers/datagram_codec.h"
#include "peers/membership.h"
#include "util/log.h"

namespace nettlestand::peers {

// Settings of the service; a reload may change the addresses of other nodes and the keys.
struct ServiceOptions {
  boost::asio::ip::udp::endpoint listen;  // IPv4
  // All nodes of the tier in the order of their numbers, including this one, at the addresses where this node
  // reaches them; datagrams then name nodes by their index. If empty, datagrams name nodes by IPv4 address
  // and port, and `join` lists the nodes to contact first.
  std::vector<boost::asio::ip::udp::endpoint> members;
  std::vector<boost::asio::ip::udp::endpoint> join;
  std::optional<boost::asio::ip::udp::endpoint> broadcast;  // reaches every node of the tier at once
  Cluster cluster;
  MembershipSettings settings;        // `address`, `generation` and `seed` are set by the service
  BalancerTrackerSettings balancers;  // `self` is set by the service
  bool follow_balancers = true;       // report the balancer's assignment
  std::uint64_t seed = 1;
};

// A node's identity and its position among the balancers, as its configuration has them outside of
// membership. Texts that are too long for datagrams are cut.
struct NodePlacement {
  std::string name, zone;
  int tier = 0, position = 0, count = 1;
  std::uint64_t seed = 1;
};
// Sets the identity, the configured assignment and the seed in `options`.
void set_identity(ServiceOptions& options, const NodePlacement& place);

// Parses a key file: one or two keys, each on a line of 64 hexadecimal digits. The first authenticates
// outgoing datagrams, both are accepted. Lines that begin with # are comments. Throws std::runtime_error with
// the line number for any other content.
std::vector<std::string> parse_keys(const std::string& text);

// Membership on a socket, with the balancer's assignment that follows from it.
class Service {
 public:
  struct Listeners {
    std::function<void(const BalancerAssignment&)> assignment;  // a new assignment
    std::function<void(const Change&)> changed;                 // each change of a member, in order, once
  };

  // Throws boost::system::system_error if the address can't be bound, std::invalid_argument for unusable
  // settings.
  Service(boost::asio::io_context& io, ServiceOptions options, Listeners listeners, Log log);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void start();
  // Replaces the other nodes' addresses and the keys; this node's address stays. Throws like the constructor,
  // and then changes nothing.
  void reload(const ServiceOptions& options);
  // Announces that this node is about to leave: others should not rely on it.
  void announce_leaving();
  // Says goodbye. Nothing is sent or received afterwards.
  void leave();

  boost::asio::ip::udp::endpoint address() const { return socket_.local_endpoint(); }
  const Membership& membership() const { return membership_; }
  const BalancerAssignment& assignment() const { return balancers_.assignment(); }
  // A JSON object for operators.
  std::string report() const;

  struct Counters {
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, bytes_received = 0, send_failures = 0;
    // Datagrams from addresses that there is no room for, and datagrams over the rate limit.
    std::uint64_t unknown_senders = 0, rate_limited = 0;
    std::array<std::uint64_t, kDecodeErrorCount> decode_errors{};  // by DecodeError
  };
  const Counters& counters() const { return counters_; }

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  bool addresses_by_index() const { return !options_.members.empty(); }
  Address address_of(const Endpoint& endpoint);
  std::optional<Endpoint> endpoint_of(Address address) const;
  std::vector<Address> seed_addresses();
  void wait_readable();
  void read_datagrams();
  void on_timer();
  void arm_timer();
  void flush(std::vector<Membership::Outgoing>& out);
  void clear_unlisted_addresses(Message& message) const;
  void send(const Endpoint& to, Message message);
  void send(std::vector<Membership::Outgoing>& out);
  void publish_changes();
  void log_change(const Change& change);
  void log_drops();
  std::string display_name(const Member& member) const;
  std::string display_name(Address address) const;

  boost::asio::io_context& io_;
  ServiceOptions options_;
  const Listeners listeners_;
  const Log log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  DatagramCodec codec_;
  Membership membership_;
  BalancerTracker balancers_;
  std::map<Endpoint, Address> addresses_;  // of the listed nodes and of other senders
  std::vector<Endpoint> endpoints_;        // by index from 1
  Counters counters_, logged_;
  double tokens_ = 0, tokens_at_ = 0, next_drop_log_ = 0, next_broadcast_ = 0;
  int broadcasts_sent_ = 0;
  std::uint64_t logged_name_conflicts_ = 0, logged_rejoins_ = 0, logged_stalls_ = 0;
  bool running_ = false, logged_refused_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::peers
