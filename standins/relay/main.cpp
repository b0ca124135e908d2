// nettlestand-plain-relay: baseline for benchmarks. It forwards each request to the server with the fewest
// requests in flight and reuses connections, without limits, retries, health checks or deadlines. It uses the
// same parser and poller as the node, so that a difference in cost is due to what the node does in addition.
#include <signal.h>

#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <exception>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include "standins/common/loop.h"
#include "util/poller.h"
#include "util/socket.h"

namespace {

namespace ns = nettlestand;
namespace asio = boost::asio;
namespace http = boost::beast::http;

using boost::system::error_code;

constexpr std::size_t kBodyLimit = 8 * 1024 * 1024;

struct Server {
  asio::ip::tcp::endpoint address;
  int in_flight = 0;
  std::vector<std::unique_ptr<class Upstream>> idle;
};

struct RelayState {
  explicit RelayState(asio::io_context& io) : poller(io) {}
  ns::Poller poller;
  std::vector<Server> servers;
  std::size_t next_server = 0;
  std::array<char, 64 * 1024> scratch{};
  // Closed during the current batch of events, destroyed after it.
  std::vector<std::unique_ptr<class Upstream>> closed_upstreams;
  std::vector<std::unique_ptr<class Downstream>> closed_downstreams;
};

// A non-blocking socket with buffered output that reads one HTTP message at a time.
template <bool kRequest>
class HttpSocket : public ns::Poller::Watcher {
 public:
  explicit HttpSocket(RelayState& relay) : relay_(relay) {}
  virtual ~HttpSocket() { close(); }
  void close() {
    relay_.poller.remove(key_, socket_.descriptor());
    key_ = 0;
    socket_.close();
  }
  void write(std::string bytes) {
    out_ += bytes;
    flush();
  }

 protected:
  using Parser = http::parser<kRequest, http::string_body>;

  void reset_parser() {
    parser_.emplace();
    parser_->body_limit(kBodyLimit);
    parser_->header_limit(16 * 1024);
  }
  void watch() { key_ = relay_.poller.add(socket_.descriptor(), *this); }
  bool flush() {
    while (!out_.empty()) {
      const ssize_t sent = socket_.write(out_, {});
      if (sent < 0 && ns::Socket::would_block()) return true;
      if (sent <= 0) return false;
      out_.erase(0, static_cast<std::size_t>(sent));
    }
    return true;
  }
  enum class ReadResult { kMore, kMessage, kEnd };
  // Reads until a message is complete, the socket would block, or the peer has closed it.
  ReadResult read() {
    while (true) {
      if (!in_.empty()) {
        error_code error;
        std::size_t used = 0;
        do {
          const std::size_t now = parser_->put(asio::buffer(in_.data() + used, in_.size() - used), error);
          used += now;
          if (now == 0) break;
        } while (!error && !parser_->is_done() && used < in_.size());
        in_.erase(0, used);
        if (error && error != http::error::need_more) return ReadResult::kEnd;
        if (parser_->is_done()) return ReadResult::kMessage;
      }
      const ssize_t got = socket_.read(relay_.scratch.data(), relay_.scratch.size());
      if (got < 0 && ns::Socket::would_block()) return ReadResult::kMore;
      if (got <= 0) {
        error_code error;
        if (got == 0 && parser_->got_some()) parser_->put_eof(error);
        return got == 0 && !error && parser_->is_done() ? ReadResult::kMessage : ReadResult::kEnd;
      }
      in_.append(relay_.scratch.data(), static_cast<std::size_t>(got));
    }
  }

  RelayState& relay_;
  ns::Socket socket_;
  ns::Poller::Key key_ = 0;
  std::string in_, out_;
  std::optional<Parser> parser_;
};

class Downstream;

// Connection to a server; carries one request at a time.
class Upstream final : public HttpSocket<false> {
 public:
  Upstream(RelayState& relay, std::size_t server) : HttpSocket(relay), server_(server) {}
  bool connect() {
    const int error = socket_.connect(relay_.servers[server_].address);
    if (error != 0) return false;
    watch();
    return key_ != 0;
  }
  void serve(Downstream& downstream, std::string request, bool head) {
    downstream_ = &downstream;
    reset_parser();
    if (head) parser_->skip(true);
    write(std::move(request));
  }
  void ready(std::uint32_t events) override;
  std::size_t server() const { return server_; }

 private:
  const std::size_t server_;
  Downstream* downstream_ = nullptr;
};

// Connection from a client.
class Downstream final : public HttpSocket<true> {
 public:
  Downstream(RelayState& relay, ns::Socket&& socket)
      : HttpSocket(relay), accepted_socket_(std::move(socket)) {
    reset_parser();
  }
  bool start() {
    std::destroy_at(&socket_);
    std::construct_at(&socket_, std::move(accepted_socket_));
    watch();
    return key_ != 0;
  }
  void ready(std::uint32_t) override {
    if (!flush()) return end();
    while (!upstream_) {
      switch (read()) {
        case ReadResult::kMore:
          return;
        case ReadResult::kEnd:
          return end();
        case ReadResult::kMessage:
          forward();
      }
    }
  }
  void on_response(std::string answer, bool keep_upstream) {
    std::unique_ptr<Upstream> done = std::move(upstream_);
    Server& server = relay_.servers[done->server()];
    --server.in_flight;
    if (keep_upstream) {
      server.idle.push_back(std::move(done));
    } else {
      done->close();
      relay_.closed_upstreams.push_back(std::move(done));
    }
    out_ += answer;
    if (!flush() || !keep_alive_) return end();
    reset_parser();
    ready(0);
  }

 private:
  void forward() {
    auto message = parser_->release();
    keep_alive_ = message.keep_alive();
    const bool head = message.method() == http::verb::head;
    message.keep_alive(true);
    std::ostringstream text;
    text << message;
    std::size_t least = relay_.next_server++ % relay_.servers.size();
    for (std::size_t i = 0; i < relay_.servers.size(); ++i) {
      const std::size_t at = (relay_.next_server + i) % relay_.servers.size();
      if (relay_.servers[at].in_flight < relay_.servers[least].in_flight) least = at;
    }
    Server& server = relay_.servers[least];
    ++server.in_flight;
    if (!server.idle.empty()) {
      upstream_ = std::move(server.idle.back());
      server.idle.pop_back();
    } else {
      upstream_ = std::make_unique<Upstream>(relay_, least);
      if (!upstream_->connect())
        return on_response("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", false);
    }
    upstream_->serve(*this, text.str(), head);
  }
  void end() {
    if (upstream_) {
      --relay_.servers[upstream_->server()].in_flight;
      upstream_->close();
      relay_.closed_upstreams.push_back(std::move(upstream_));
    }
    close();
    relay_.closed_downstreams.emplace_back(this);
  }

  ns::Socket accepted_socket_;
  std::unique_ptr<Upstream> upstream_;
  bool keep_alive_ = true;
};

void Upstream::ready(std::uint32_t events) {
  if (downstream_ == nullptr) {  // idle: the server closed it or sent unsolicited bytes
    char byte = 0;
    if ((events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) == 0 && socket_.read(&byte, 1, MSG_PEEK) < 0) return;
    auto& idle = relay_.servers[server_].idle;
    for (auto it = idle.begin(); it != idle.end(); ++it) {
      if (it->get() != this) continue;
      close();
      relay_.closed_upstreams.push_back(std::move(*it));
      idle.erase(it);
      return;
    }
    return;
  }
  const bool written = flush();
  const ReadResult got = written ? read() : ReadResult::kEnd;
  if (got == ReadResult::kMore) return;
  Downstream* downstream = std::exchange(downstream_, nullptr);
  if (got == ReadResult::kEnd) {
    return downstream->on_response("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", false);
  }
  const bool keep = parser_->keep_alive() && in_.empty();
  auto message = parser_->release();
  message.keep_alive(true);
  std::ostringstream text;
  text << message;
  downstream->on_response(text.str(), keep);
}

// Accepts client connections.
class Acceptor final : public ns::Poller::Watcher {
 public:
  Acceptor(RelayState& relay, int port) : relay_(relay), fd_(ns::standins::listen_on(port)) {
    relay.poller.add(fd_.get(), *this);
  }
  int port() const { return ns::standins::port_of(fd_.get()); }
  void ready(std::uint32_t) override {
    while (true) {
      const int fd = ::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0) return;
      auto* peer = new Downstream(relay_, ns::Socket(fd));  // owns itself until end()
      if (!peer->start()) delete peer;
    }
  }

 private:
  RelayState& relay_;
  ns::standins::Fd fd_;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app(
      "A plain HTTP/1.1 relay on 127.0.0.1, least in flight, with no limits, retries or health: a "
      "yardstick.\n"
      "Says \"listening on 127.0.0.1:PORT\" once it does. Ends on SIGTERM or SIGINT.",
      "nettlestand-plain-relay");
  int port = 0;
  std::vector<int> ports;
  app.add_option("--port", port, "port; 0: the kernel gives one")->check(CLI::Range(0, 65535));
  app.add_option("--server", ports, "port of a server; may come several times")
      ->check(CLI::Range(1, 65535))
      ->required();
  CLI11_PARSE(app, argc, argv);
  try {
    ::signal(SIGPIPE, SIG_IGN);
    asio::io_context io(1);
    RelayState relay(io);
    for (const int server : ports) {
      relay.servers.emplace_back();
      relay.servers.back().address = {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(server)};
    }
    Acceptor acceptor(relay, port);
    std::printf("listening on 127.0.0.1:%d\n", acceptor.port());
    std::fflush(stdout);
    asio::signal_set ends(io, SIGTERM, SIGINT);
    ends.async_wait([&](const error_code&, int) { io.stop(); });
    while (!io.stopped()) {
      io.run_one();
      relay.closed_upstreams.clear();
      relay.closed_downstreams.clear();
    }
    std::_Exit(0);  // open connections end with the process
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand-plain-relay: %s\n", problem.what());
    return 1;
  }
}
