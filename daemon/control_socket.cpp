#include "daemon/control_socket.h"

#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace nettlestand {
namespace {

namespace asio = boost::asio;
using asio::local::stream_protocol;
using boost::system::error_code;

constexpr std::size_t kMaxCommandBytes = 4096;
constexpr int kMaxSessions = 8;                             // further connections are closed at once
constexpr auto kIoTimeout = std::chrono::seconds(2);        // to receive the command, and to send the reply
constexpr auto kCommandTimeout = std::chrono::seconds(14);  // for a command that completes later

std::string check_path_length(std::string path) {
  if (path.size() >= sizeof(sockaddr_un::sun_path))
    throw std::runtime_error(path + ": too long for a socket's path");
  return path;
}

}  // namespace

class ControlSocket::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(ControlSocket& owner, stream_protocol::socket socket)
      : owner_(owner),
        alive_(owner.alive_),
        socket_(std::move(socket)),
        timer_(owner.io_),
        in_(kMaxCommandBytes) {
    ++owner_.open_sessions_;
  }
  ~Session() {
    if (*alive_) --owner_.open_sessions_;
  }
  void start() {
    timer_.expires_after(kIoTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->close();
    });
    asio::async_read_until(socket_, in_, '\n',
                           [self = shared_from_this()](const error_code& error, std::size_t size) {
                             if (error || !*self->alive_) return self->close();
                             std::string line(size, '\0');
                             self->in_.sgetn(line.data(), static_cast<std::streamsize>(size));
                             line.pop_back();
                             self->run_command(line);
                           });
  }

 private:
  // Runs the asynchronous command with the longest name that the line starts with; false if there is none.
  bool run_async_command(const std::string& line) {
    std::vector<std::string> arguments;
    std::istringstream in(line);
    for (std::string argument; in >> argument;) arguments.push_back(argument);
    for (std::size_t n = arguments.size(); n > 0; --n) {
      std::string name;
      for (std::size_t i = 0; i < n; ++i) name += (i > 0 ? " " : "") + arguments[i];
      const auto it = owner_.async_commands_.find(name);
      if (it == owner_.async_commands_.end()) continue;
      timer_.expires_after(kCommandTimeout);
      timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error) self->close();
      });
      arguments.erase(arguments.begin(), arguments.begin() + static_cast<std::ptrdiff_t>(n));
      const auto done = [self = shared_from_this()](std::string text, std::string error) {
        self->write_reply(error.empty() ? std::move(text) + "\n" : "error: " + error + "\n");
      };
      try {
        it->second(arguments, done);
      } catch (const std::exception& problem) {
        done("", problem.what());
      }
      return true;
    }
    return false;
  }
  void run_command(const std::string& line) {
    if (run_async_command(line)) return;
    const auto it = owner_.commands_.find(line);
    try {
      write_reply(it == owner_.commands_.end() ? "error: no such command\n" : it->second() + "\n");
    } catch (const std::exception& problem) {
      write_reply(std::string("error: ") + problem.what() + "\n");
    }
  }
  void write_reply(std::string text) {
    out_ = std::move(text);
    timer_.expires_after(kIoTimeout);
    timer_.async_wait([self = shared_from_this()](const error_code& error) {
      if (!error) self->close();
    });
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](const error_code&, std::size_t) { self->close(); });
  }
  void close() {
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

  ControlSocket& owner_;
  const std::shared_ptr<bool> alive_;
  stream_protocol::socket socket_;
  asio::steady_timer timer_;
  asio::streambuf in_;
  std::string out_;
};

ControlSocket::ControlSocket(asio::io_context& io, std::string path, Commands commands,
                             AsyncCommands async_commands, Log log)
    : io_(io),
      path_(check_path_length(std::move(path))),
      commands_(std::move(commands)),
      async_commands_(std::move(async_commands)),
      log_(std::move(log)),
      acceptor_(io) {
  struct stat status {};
  if (lstat(path_.c_str(), &status) == 0) {
    if (!S_ISSOCK(status.st_mode)) throw std::runtime_error(path_ + ": exists and is not a socket");
    stream_protocol::socket other(io);
    error_code error;
    other.connect(stream_protocol::endpoint(path_), error);
    if (!error) throw std::runtime_error(path_ + ": another process listens there");
    unlink(path_.c_str());
  }
  acceptor_.open(stream_protocol());
  // The umask restricts the socket to its owner (0600) from the moment it exists.
  const mode_t old_umask = umask(0177);
  error_code error;
  acceptor_.bind(stream_protocol::endpoint(path_), error);
  umask(old_umask);
  if (error) throw std::runtime_error(path_ + ": " + error.message());
  acceptor_.listen();
  accept();
}

ControlSocket::~ControlSocket() {
  *alive_ = false;
  unlink(path_.c_str());
}

void ControlSocket::accept() {
  acceptor_.async_accept([this, alive = alive_](const error_code& error, stream_protocol::socket socket) {
    if (!*alive || error == asio::error::operation_aborted) return;
    if (!error && open_sessions_ < kMaxSessions) std::make_shared<Session>(*this, std::move(socket))->start();
    if (!error) return accept();
    log_(unexpected_error("node", "control socket: " + error.message()));
  });
}

std::string send_control_command(const std::string& path, const std::string& command) {
  const auto problem = [&](const std::string& what) { return std::runtime_error(path + ": " + what); };
  sockaddr_un to{};
  to.sun_family = AF_UNIX;
  const std::string at = check_path_length(path);
  std::memcpy(to.sun_path, at.data(), at.size());
  struct ScopedDescriptor {
    int fd;
    ~ScopedDescriptor() { ::close(fd); }
  } const socket{::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  const timeval timeout{15, 0};
  setsockopt(socket.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(socket.fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  if (connect(socket.fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    throw problem(std::string("no node answers there: ") + std::strerror(errno));
  }
  const std::string line = command + "\n";
  if (::send(socket.fd, line.data(), line.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(line.size())) {
    throw problem(std::strerror(errno));
  }
  std::string out;
  std::array<char, 65536> part;
  for (;;) {
    const ssize_t count = ::recv(socket.fd, part.data(), part.size(), 0);
    if (count < 0) throw problem("the node does not answer");
    if (count == 0) break;
    out.append(part.data(), static_cast<std::size_t>(count));
  }
  if (out.rfind("error: ", 0) == 0) throw problem(out.substr(0, out.size() - 1));
  return out;
}

}  // namespace nettlestand
