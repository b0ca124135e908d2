// A voter on sockets, with a thread and a loop of its own: its disk may take as long as it likes, and nothing
// else of the process waits for it.
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
  std::string data_dir;                 // of its state, made by SqliteStore::make
  std::vector<VoterAddress> addresses;  // of voters by name; before those that the agreement has
  std::size_t max_connections = 4096;
  // Another store than the folder's, for tests; called on the voter's thread.
  std::function<std::unique_ptr<Store>()> open_store;
};

class VoterService {
 public:
  // Throws boost::system::system_error where the address can't be had. `log` is called on `loop`, which has
  // to be one that other threads may post to, and to outlive this.
  VoterService(boost::asio::io_context& loop, VoterOptions options, Log log);
  // Ends the thread; waits for what it is writing.
  ~VoterService();
  VoterService(const VoterService&) = delete;
  VoterService& operator=(const VoterService&) = delete;

  void start();
  // Has another voter lead, where this one does.
  void transfer_leadership();
  boost::asio::ip::tcp::endpoint address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace nettlestand::duties
