// The control socket: a Unix socket on which operators query a running node. A client sends one line with a
// command and gets one reply; then the connection is closed. Off unless the operator's file names a path.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "util/log.h"

namespace nettlestand {

// Serves the commands on the event loop's thread.
class ControlSocket {
 public:
  // Commands without arguments, such as "peers", and the functions that return their replies. An exception is
  // sent as an error reply.
  using Commands = std::map<std::string, std::function<std::string()>>;
  // Commands with arguments, such as "duties pass NAME". The function calls the completion exactly once, with
  // a reply or an error.
  using Completion = std::function<void(std::string text, std::string error)>;
  using AsyncCommands =
      std::map<std::string, std::function<void(const std::vector<std::string>& arguments, Completion)>>;

  // Replaces a socket file that nobody listens on any more. Throws std::runtime_error if the path cannot be
  // used, for example because another process listens on it.
  ControlSocket(boost::asio::io_context& io, std::string path, Commands commands,
                AsyncCommands async_commands, Log log);
  ~ControlSocket();
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

 private:
  class Session;
  void accept();

  boost::asio::io_context& io_;
  const std::string path_;
  const Commands commands_;
  const AsyncCommands async_commands_;
  const Log log_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  int open_sessions_ = 0;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// The client side: sends a command to the node that listens on `path` and returns its reply. Waits for 15 s
// at most. Throws std::runtime_error, also for an error reply.
std::string send_control_command(const std::string& path, const std::string& command);

}  // namespace nettlestand
