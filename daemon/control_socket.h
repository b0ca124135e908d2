// The control socket: a Unix socket by which an operator asks a running node what it holds. One line in, one
// answer out, then it is closed. Off unless the operator's file names a path.
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

// On the loop's thread.
class ControlSocket {
 public:
  // A command, as in "peers", and what it answers. What a command throws is answered as an error.
  using Commands = std::map<std::string, std::function<std::string()>>;
  // One that takes arguments, as in "duties pass NAME", and answers later, once: with a text, or what went
  // wrong.
  using Completion = std::function<void(std::string text, std::string error)>;
  using AsyncCommands =
      std::map<std::string, std::function<void(const std::vector<std::string>& arguments, Completion)>>;

  // Takes the place of a socket that nobody listens at any more. Throws std::runtime_error where the path
  // can't be had, as where another process listens there.
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

// The other side: asks the node at a path, and waits for 15 s at the most. Throws std::runtime_error.
std::string send_control_command(const std::string& path, const std::string& command);

}  // namespace nettlestand
