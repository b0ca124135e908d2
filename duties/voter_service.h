// A voter with its sockets, on its own thread and event loop, so that slow disk writes don't block the rest
// of the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "duties/client_service.h"
#include "duties/frame_connection.h"
#include "duties/voter.h"
#include "util/log.h"

namespace nettlestand::duties {

struct VoterOptions {
  Keys keys;
  VoterSettings voter;
  boost::asio::ip::tcp::endpoint listen;
  std::string data_dir;  // created with SqliteStore::create
  // Of voters, by name; these take precedence over the addresses in the Raft configuration.
  std::vector<VoterAddress> addresses;
  std::size_t max_connections = 4096;
  // For tests: opens another store than that in `data_dir`. Called on the voter's thread.
  std::function<std::unique_ptr<Store>()> open_store;
};

class VoterService {
 public:
  // Throws boost::system::system_error if it can't listen at the address. `log` is called on `loop`, which
  // must accept posts from other threads and must outlive this object.
  VoterService(boost::asio::io_context& loop, VoterOptions options, Log log);
  // Stops the thread after the write in progress.
  ~VoterService();
  VoterService(const VoterService&) = delete;
  VoterService& operator=(const VoterService&) = delete;

  void start();
  // Makes another voter the leader, if this one is.
  void transfer_leadership();
  boost::asio::ip::tcp::endpoint address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::duties
