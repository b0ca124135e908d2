#include "duties/voter_service.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

#include "util/clock.h"
#include "util/endpoint.h"

namespace nettlestand::duties {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr double kReopenInterval = 2;         // s until opening the state is retried after an error
constexpr double kOpenErrorLogInterval = 60;  // s between log lines about that error
constexpr double kClientIdleTimeout = 10;     // s without a byte until an incoming connection is closed
// s for which a connection is kept to a voter that is not in the configuration but was sent a frame.
constexpr double kReplyConnectionTtl = 5;
constexpr double kMinReconnectDelay = 0.1;  // s between attempts to connect to a voter, doubled each time
constexpr double kMaxReconnectDelay = 1;    // s

}  // namespace

class VoterService::Impl {
 public:
  Impl(asio::io_context& main, VoterOptions options, Log log)
      : log_loop_(main), options_(std::move(options)), log_(std::move(log)), acceptor_(io_), timer_(io_) {
    acceptor_.open(options_.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(options_.listen);
    acceptor_.listen();
    voter_idle_timeout_ = std::max(1.0, 2e-3 * options_.voter.raft.election_timeout_ms);
  }
  ~Impl() {
    asio::post(io_, [this] { io_.stop(); });
    if (thread_.joinable()) thread_.join();
    // Closed connections must not call back.
    for (auto& [name, o] : peer_voters_) {
      if (o.link) o.link->close();
    }
    for (auto& [number, link] : clients_) link->close();
    for (auto& link : unidentified_) link->close();
  }

  void start() {
    thread_ = std::thread([this] {
      open();
      accept();
      run_once();
      while (!io_.stopped()) {
        try {
          io_.run();
        } catch (const std::exception& surprise) {
          log_event(LogLevel::kError, "surprise", std::string("voter: ") + surprise.what());
        }
      }
    });
  }
  void leave() {
    asio::post(io_, [this] {
      if (!voter_) return;
      Voter::OutgoingFrames out;
      voter_->transfer_leadership(now(), out);
      send_all(out);
    });
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct PeerVoter {  // the outgoing connection to another voter
    std::shared_ptr<FrameConnection> link;
    double next_attempt_at = 0, reconnect_delay = kMinReconnectDelay, pinged_at = 0;
    bool met = false;
  };

  void log_event(LogLevel level, const char* event, const std::string& text) {
    asio::post(log_loop_, [log = log_, level, event, text] { log({level, "duties", event, text, {}}); });
  }

  void open() {
    try {
      store_ = options_.open_store ? options_.open_store() : std::make_unique<SqliteStore>(options_.data_dir);
      voter_ = std::make_unique<Voter>(options_.voter, *store_, now());
      log_event(LogLevel::kInfo, "voter_started",
                "started as voter " + options_.voter.self.name + " from term " +
                    std::to_string(voter_->raft().term()));
    } catch (const std::exception& problem) {
      voter_.reset();
      store_.reset();
      if (now() >= next_open_error_log_at_) {
        next_open_error_log_at_ = now() + kOpenErrorLogInterval;
        log_event(LogLevel::kError, "voter_off", std::string("can't start as voter: ") + problem.what());
      }
    }
    reopen_at_ = now() + kReopenInterval;
  }

  void close_all() {
    for (auto& [name, o] : peer_voters_) {
      if (o.link) o.link->close();
    }
    peer_voters_.clear();
    for (auto& [number, link] : std::exchange(clients_, {})) link->close();
    for (auto& link : std::exchange(unidentified_, {})) link->close();
  }

  // ------------------------------------------------------------ incoming connections

  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (!error && voter_ && clients_.size() + unidentified_.size() < options_.max_connections)
        accept_connection(std::move(socket));
      if (!error) return accept();
      // For example, out of file descriptors: tries again a little later.
      accept_timer_.expires_after(std::chrono::milliseconds(100));
      accept_timer_.async_wait([this](const error_code& e) {
        if (!e) accept();
      });
    });
  }

  void accept_connection(tcp::socket socket) {
    FrameConnection::Options o;
    o.keys = options_.keys;
    o.idle_timeout = kClientIdleTimeout;
    o.max_queued_bytes = 32 * 1024 * 1024;
    auto link = std::make_shared<FrameConnection>(io_, o);
    unidentified_.insert(link);
    const std::weak_ptr<FrameConnection> weak = link;
    FrameConnection::Handlers h;
    h.on_handshake = [this, weak](const Frame& hello) {
      const auto it = weak.lock();
      if (!it || !voter_) return;
      unidentified_.erase(it);
      if (hello.cluster != options_.voter.cluster) return it->close();
      if (hello.voter_id != 0) {
        Voter::OutgoingFrames out;
        const bool good = voter_->on_voter_hello(now(), hello, out);
        send_all(out);
        if (!good || !voter_) return it->close();
        it->set_max_frame_bytes(kMaxFrameBytes);
      }
      const std::uint64_t number = ++last_client_id_;
      clients_[number] = it;
      if (hello.voter_id != 0) voters_[number] = {hello.voter_id, hello.sender.name};
      client_ids_[it.get()] = number;
    };
    h.on_frame = [this, weak](const Frame& f) {
      const auto it = weak.lock();
      if (!it || !voter_) return;
      const auto number = client_ids_.find(it.get());
      if (number == client_ids_.end()) return;
      Voter::OutgoingFrames out;
      if (const auto v = voters_.find(number->second); v != voters_.end()) {
        voter_->on_voter_frame(now(), v->second.first, v->second.second, f, out);
      } else {
        voter_->on_client_frame(now(), number->second, f, out);
      }
      send_all(out);
      schedule_timer();
    };
    h.on_closed = [this, weak](const std::string&) {
      const auto it = weak.lock();
      if (it) on_client_closed(it);
    };
    link->accept(std::move(socket), hello(), std::move(h));
  }

  void on_client_closed(const std::shared_ptr<FrameConnection>& link) {
    unidentified_.erase(link);
    const auto it = client_ids_.find(link.get());
    if (it == client_ids_.end()) return;
    const std::uint64_t number = it->second;
    client_ids_.erase(it);
    clients_.erase(number);
    if (voters_.erase(number) > 0 || !voter_) return;
    Voter::OutgoingFrames out;
    voter_->on_client_gone(now(), number, out);
    send_all(out);
  }

  Frame hello() const { return voter_->hello(std::string(kNonceBytes, '\0')); }

  // ------------------------------------------------------------ connections to other voters

  std::optional<tcp::endpoint> address_of(const std::string& label) const {
    const std::string name = voter_name(label);
    for (const VoterAddress& a : options_.addresses) {
      if (a.name == name) return a.endpoint;
    }
    return parse_endpoint(voter_address(label));
  }

  void connect_to_voters() {
    std::set<std::string> wanted;
    std::vector<std::string> labels = voter_->voters_to_connect();
    std::erase_if(reply_targets_, [](const auto& a) { return now() > a.second.second; });
    for (const auto& [name, label] : reply_targets_) labels.push_back(label.first);
    for (const std::string& label : labels) {
      const std::string name = voter_name(label);
      if (name == options_.voter.self.name || !wanted.insert(name).second) continue;
      PeerVoter& o = peer_voters_[name];
      if (!o.link && now() >= o.next_attempt_at) connect(name, label, o);
      if (o.link && o.met && now() - o.pinged_at >= voter_idle_timeout_ / 3) {
        o.pinged_at = now();
        o.link->send(Frame());
      }
    }
    std::erase_if(peer_voters_, [&](auto& other) {
      if (wanted.contains(other.first)) return false;
      if (other.second.link) other.second.link->close();
      return true;
    });
  }

  void connect(const std::string& name, const std::string& label, PeerVoter& o) {
    o.reconnect_delay = std::min(o.reconnect_delay * 2, kMaxReconnectDelay);
    o.next_attempt_at = now() + o.reconnect_delay;
    const auto at = address_of(label);
    if (!at) return;
    FrameConnection::Options options;
    options.keys = options_.keys;
    options.idle_timeout = voter_idle_timeout_;
    o.link = std::make_shared<FrameConnection>(io_, options);
    o.met = false;
    const std::weak_ptr<FrameConnection> weak = o.link;
    const auto mine = [this, name, weak]() -> PeerVoter* {
      const auto it = peer_voters_.find(name);
      return it != peer_voters_.end() && it->second.link == weak.lock() ? &it->second : nullptr;
    };
    FrameConnection::Handlers h;
    h.on_handshake = [this, mine](const Frame& hello) {
      PeerVoter* other = mine();
      if (other == nullptr || !voter_) return;
      Voter::OutgoingFrames out;
      if (hello.cluster != options_.voter.cluster || !voter_->on_voter_hello(now(), hello, out)) {
        other->link->close();
        other->link.reset();
        return;
      }
      other->met = true;
      other->reconnect_delay = kMinReconnectDelay;
      other->pinged_at = now();
      log_event(LogLevel::kInfo, "voter_reached", "connected to voter " + hello.sender.name);
      send_all(out);
    };
    h.on_closed = [this, mine, name](const std::string& why) {
      PeerVoter* other = mine();
      if (other == nullptr) return;
      if (other->met)
        log_event(LogLevel::kInfo, "voter_unreached", "connection to voter " + name + " lost: " + why);
      other->link.reset();
      other->met = false;
      if (voter_) voter_->on_voter_disconnected(name);
    };
    o.link->connect(*at, hello(), std::move(h));
  }

  // ------------------------------------------------------------ event loop

  void send_all(Voter::OutgoingFrames& out) {
    std::vector<Frame> unsent;
    for (Voter::Outgoing& o : out) {
      if (o.to_voter) {
        const std::string name = voter_name(o.name);
        // A new voter has no configuration yet, but must be able to answer the voter that adds it.
        reply_targets_[name] = {o.name, now() + kReplyConnectionTtl};
        const auto it = peer_voters_.find(name);
        // A frame that can't be sent is dropped, as on a network; clients that wait for an answer are told.
        if (it == peer_voters_.end() || !it->second.met || !it->second.link ||
            !it->second.link->send(o.frame))
          unsent.push_back(std::move(o.frame));
      } else if (const auto it = clients_.find(o.to); it != clients_.end()) {
        it->second->send(o.frame);
      }
    }
    out.clear();
    if (!voter_) return;
    for (const Frame& f : unsent) voter_->on_send_failed(now(), f, out);
    if (!out.empty()) send_all(out);
    for (const Voter::Notice& n : voter_->take_notices())
      log_event(std::string(n.event) == "failed" || std::string(n.event) == "voter_refused" ? LogLevel::kError
                                                                                            : LogLevel::kInfo,
                n.event, n.text);
  }

  void run_once() {
    if (!voter_ && now() >= reopen_at_) open();
    if (voter_) {
      Voter::OutgoingFrames out;
      voter_->tick(now(), out);
      send_all(out);
      connect_to_voters();
      if (voter_->failed()) {
        close_all();
        client_ids_.clear();
        voters_.clear();
        voter_.reset();
        store_.reset();
        reopen_at_ = now() + kReopenInterval;
      }
    }
    schedule_timer();
  }

  void schedule_timer() {
    timer_.expires_at(to_time_point(voter_ ? voter_->next_deadline() : reopen_at_));
    timer_.async_wait([this](const error_code& error) {
      if (!error) run_once();
    });
  }

  asio::io_context& log_loop_;
  const VoterOptions options_;
  const Log log_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_, accept_timer_{io_};
  std::unique_ptr<Store> store_;
  std::unique_ptr<Voter> voter_;
  std::map<std::string, PeerVoter> peer_voters_;
  std::set<std::shared_ptr<FrameConnection>> unidentified_;  // connections without a hello so far
  std::map<std::uint64_t, std::shared_ptr<FrameConnection>> clients_;
  // Id and name of each client that is a voter.
  std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> voters_;
  std::map<const FrameConnection*, std::uint64_t> client_ids_;
  // By name: label of a voter that was sent a frame, and until when to stay connected.
  std::map<std::string, std::pair<std::string, double>> reply_targets_;
  std::uint64_t last_client_id_ = 0;
  double reopen_at_ = 0, next_open_error_log_at_ = 0, voter_idle_timeout_ = 1;
  std::thread thread_;
};

VoterService::VoterService(asio::io_context& loop, VoterOptions options, Log log)
    : impl_(std::make_unique<Impl>(loop, std::move(options), std::move(log))) {}
VoterService::~VoterService() = default;
void VoterService::start() { impl_->start(); }
void VoterService::transfer_leadership() { impl_->leave(); }
tcp::endpoint VoterService::address() const { return impl_->address(); }

}  // namespace nettlestand::duties
