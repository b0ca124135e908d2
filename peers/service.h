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

#include "peers/copies.h"
#include "peers/decide.h"
#include "peers/wire.h"
#include "util/log.h"

namespace nettlestand::peers {

struct ServiceOptions {
  boost::asio::ip::udp::endpoint listen;  // IPv4
  // All nodes of the tier in the order of their numbers, this one too, as this node reaches them: datagrams
  // then name nodes by their place. Empty: they name them by IPv4 address and port, and `join` says whom to
  // ask first.
  std::vector<boost::asio::ip::udp::endpoint> members;
  std::vector<boost::asio::ip::udp::endpoint> join;
  std::optional<boost::asio::ip::udp::endpoint> all;  // reaches every node of the tier at once
  Cluster cluster;
  Settings settings;      // `self`, times; address, life and seed are the service's
  CopiesSettings copies;  // likewise
  bool follow = true;     // tell of the copies that are there
  std::uint64_t seed = 1;
};

// Who this node is among others and which copy it is, where its configuration says so elsewhere. What is
// longer than datagrams hold is cut.
struct Place {
  std::string name, zone;
  int tier = 0, position = 0, count = 1;
  std::uint64_t seed = 1;
};
void identify(ServiceOptions& options, const Place& place);

// Throws std::runtime_error, with the line, for a file that is none: one or two keys, 64 hexadecimal digits
// each, a line each; the first seals, both are taken. Lines that begin with # are comments.
std::vector<std::string> read_keys(const std::string& text);

class Service {
 public:
  struct Listeners {
    std::function<void(const Split&)> split;     // other copies than before
    std::function<void(const Change&)> changed;  // each change of a member, in order, once
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
  void leaving();
  // Goodbye. Nothing is sent or heard after it.
  void leave();

  boost::asio::ip::udp::endpoint address() const { return socket_.local_endpoint(); }
  const Membership& membership() const { return core_; }
  const Split& split() const { return copies_.split(); }
  // All that an operator wants to see, as a JSON object.
  std::string report() const;

  struct Counters {
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, bytes_received = 0, unsent = 0;
    std::uint64_t strangers = 0, flooded = 0;        // from addresses there is no room for; over the bound
    std::array<std::uint64_t, kRefusals> refused{};  // by why
  };
  const Counters& counters() const { return counters_; }

 private:
  using Endpoint = boost::asio::ip::udp::endpoint;

  bool by_place() const { return !options_.members.empty(); }
  Address address_of(const Endpoint& endpoint);
  std::optional<Endpoint> endpoint_of(Address address) const;
  std::vector<Address> asked_first();
  void await();
  void take();
  void turn();
  void arm();
  void deliver(std::vector<Membership::Out>& out);
  void keep_listed(Message& message) const;
  void send(const Endpoint& to, Message message);
  void send(std::vector<Membership::Out>& out);
  void follow_changes();
  void tell(const Change& change);
  void tell_counts();
  std::string shown(const Member& member) const;
  std::string shown(Address address) const;

  boost::asio::io_context& io_;
  ServiceOptions options_;
  const Listeners listeners_;
  const Log log_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  Wire wire_;
  Membership core_;
  Copies copies_;
  std::map<Endpoint, Address> places_;  // of the list, and of who was heard from elsewhere
  std::vector<Endpoint> endpoints_;     // by place, from 1
  Counters counters_, told_;
  double tokens_ = 0, tokens_at_ = 0, next_counts_ = 0, next_all_ = 0;
  int told_all_ = 0;
  std::uint64_t told_namesakes_ = 0, told_rebirths_ = 0, told_stood_ = 0;
  bool running_ = false, told_refused_ = false;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace nettlestand::peers
