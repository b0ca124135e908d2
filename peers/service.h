// Membership on sockets: the deciding half on a node's or an application's loop, with one UDP socket.
// Everything on the loop's thread. Off means not made: nothing of it then runs, listens or sends.
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

struct ServiceOptions {
  boost::asio::ip::udp::endpoint listen;  // IPv4
  // All nodes of the tier in the order of their numbers, this one too, as this node reaches them: datagrams
  // then name nodes by their place. Empty: they name them by IPv4 address and port, and `join` says whom to
  // ask first.
  std::vector<boost::asio::ip::udp::endpoint> members;
  std::vector<boost::asio::ip::udp::endpoint> join;
  std::optional<boost::asio::ip::udp::endpoint> broadcast;  // reaches every node of the tier at once
  Cluster cluster;
  MembershipSettings settings;        // `self`, times; address, life and seed are the service's
  BalancerTrackerSettings balancers;  // likewise
  bool follow_balancers = true;       // tell of the copies that are there
  std::uint64_t seed = 1;
};

// Who this node is among others and which copy it is, where its configuration says so elsewhere. What is
// longer than datagrams hold is cut.
struct NodePlacement {
  std::string name, zone;
  int tier = 0, position = 0, count = 1;
  std::uint64_t seed = 1;
};
void set_identity(ServiceOptions& options, const NodePlacement& place);

// Throws std::runtime_error, with the line, for a file that is none: one or two keys, 64 hexadecimal digits
// each, a line each; the first seals, both are taken. Lines that begin with # are comments.
std::vector<std::string> parse_keys(const std::string& text);

class Service {
 public:
  struct Listeners {
    std::function<void(const BalancerAssignment&)> assignment;  // other copies than before
    std::function<void(const Change&)> changed;                 // each change of a member, in order, once
  };

  // Throws boost::system::system_error where the address can't be had, std::invalid_argument for settings
  // that can't be used.
  Service(boost::asio::io_context& io, ServiceOptions options, Listeners listeners, Log log);
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  void start();
  // Other addresses and keys, from now on; the own address stays. Throws as the constructor, and changes
  // nothing.
  void reload(const ServiceOptions& options);
  // This node is about to go: nobody is to count on it.
  void announce_leaving();
  // Goodbye. Nothing is sent or heard after it.
  void leave();

  boost::asio::ip::udp::endpoint address() const { return socket_.local_endpoint(); }
  const Membership& membership() const { return membership_; }
  const BalancerAssignment& assignment() const { return balancers_.assignment(); }
  // All that an operator wants to see, as a JSON object.
  std::string report() const;

  struct Counters {
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, bytes_received = 0, send_failures = 0;
    std::uint64_t unknown_senders = 0,
                  rate_limited = 0;  // from addresses there is no room for; over the bound
    std::array<std::uint64_t, kDecodeErrorCount> decode_errors{};  // by why
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
  std::map<Endpoint, Address> addresses_;  // of the list, and of who was heard from elsewhere
  std::vector<Endpoint> endpoints_;        // by place, from 1
  Counters counters_, logged_;
  double tokens_ = 0, tokens_at_ = 0, next_drop_log_ = 0, next_broadcast_ = 0;
  int broadcasts_sent_ = 0;
  std::uint64_t logged_name_conflicts_ = 0, logged_rejoins_ = 0, logged_stalls_ = 0;
  bool running_ = false, logged_refused_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::peers
