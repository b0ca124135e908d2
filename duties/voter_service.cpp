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

constexpr double kOpenAgain = 2;    // s until a state that could not be used is tried again
constexpr double kOpenSaid = 60;    // s between words on that
constexpr double kSilence = 10;     // s without a byte until who connected is taken for gone
constexpr double kAnswered = 5;     // s for which a connection is kept to a voter that something was to go to
constexpr double kReconnect = 0.1;  // s between tries to reach a voter, doubled each time,
constexpr double kLongestReconnect = 1;  // up to this

}  // namespace

class VoterService::Impl {
 public:
  Impl(asio::io_context& main, VoterOptions options, Log log)
      : main_(main), options_(std::move(options)), log_(std::move(log)), acceptor_(io_), timer_(io_) {
    acceptor_.open(options_.listen.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(options_.listen);
    acceptor_.listen();
    silence_ = std::max(1.0, 2e-3 * options_.voter.agreement.election_ms);
  }
  ~Impl() {
    asio::post(io_, [this] { io_.stop(); });
    if (thread_.joinable()) thread_.join();
    // What is closed here must not call back.
    for (auto& [name, o] : others_) {
      if (o.link) o.link->close();
    }
    for (auto& [number, link] : clients_) link->close();
    for (auto& link : strangers_) link->close();
  }

  void start() {
    thread_ = std::thread([this] {
      open();
      accept();
      turn();
      while (!io_.stopped()) {
        try {
          io_.run();
        } catch (const std::exception& surprise) {
          say(LogLevel::kError, "surprise", std::string("voter: ") + surprise.what());
        }
      }
    });
  }
  void leave() {
    asio::post(io_, [this] {
      if (!voter_) return;
      Voter::Outs out;
      voter_->leave(now(), out);
      deliver(out);
    });
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  struct Other {  // a voter, as this one sends to it
    std::shared_ptr<Link> link;
    double try_at = 0, pause = kReconnect, pinged_at = 0;
    bool met = false;
  };

  void say(LogLevel level, const char* event, const std::string& text) {
    asio::post(main_, [log = log_, level, event, text] { log({level, "duties", event, text, {}}); });
  }

  void open() {
    try {
      store_ = options_.open ? options_.open() : std::make_unique<SqliteStore>(options_.folder);
      voter_ = std::make_unique<Voter>(options_.voter, *store_, now());
      say(LogLevel::kInfo, "voter_started",
          "votes on duties as " + options_.voter.self.name + " from term " +
              std::to_string(voter_->agreement().term()));
    } catch (const std::exception& problem) {
      voter_.reset();
      store_.reset();
      if (now() >= say_again_) {
        say_again_ = now() + kOpenSaid;
        say(LogLevel::kError, "voter_off", std::string("does not vote: ") + problem.what());
      }
    }
    open_at_ = now() + kOpenAgain;
  }

  void close_all() {
    for (auto& [name, o] : others_) {
      if (o.link) o.link->close();
    }
    others_.clear();
    for (auto& [number, link] : std::exchange(clients_, {})) link->close();
    for (auto& link : std::exchange(strangers_, {})) link->close();
  }

  // ------------------------------------------------------------ who comes

  void accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error == asio::error::operation_aborted) return;
      if (!error && voter_ && clients_.size() + strangers_.size() < options_.most_connections)
        come(std::move(socket));
      if (!error) return accept();
      // No descriptor to spare, for one: a little later there may be.
      accept_timer_.expires_after(std::chrono::milliseconds(100));
      accept_timer_.async_wait([this](const error_code& e) {
        if (!e) accept();
      });
    });
  }

  void come(tcp::socket socket) {
    Link::Options o;
    o.keys = options_.keys;
    o.silence = kSilence;
    o.most_queued = 32 * 1024 * 1024;
    auto link = std::make_shared<Link>(io_, o);
    strangers_.insert(link);
    const std::weak_ptr<Link> weak = link;
    Link::Handlers h;
    h.met = [this, weak](const Frame& hello) {
      const auto it = weak.lock();
      if (!it || !voter_) return;
      strangers_.erase(it);
      if (hello.cluster != options_.voter.cluster) return it->close();
      if (hello.voter != 0) {
        Voter::Outs out;
        const bool good = voter_->meets(now(), hello, out);
        deliver(out);
        if (!good || !voter_) return it->close();
        it->allow(kMostFrame);
      }
      const std::uint64_t number = ++last_;
      clients_[number] = it;
      if (hello.voter != 0) voters_[number] = {hello.voter, hello.who.name};
      by_link_[it.get()] = number;
    };
    h.frame = [this, weak](const Frame& f) {
      const auto it = weak.lock();
      if (!it || !voter_) return;
      const auto number = by_link_.find(it.get());
      if (number == by_link_.end()) return;
      Voter::Outs out;
      if (const auto v = voters_.find(number->second); v != voters_.end()) {
        voter_->from_voter(now(), v->second.first, v->second.second, f, out);
      } else {
        voter_->from_client(now(), number->second, f, out);
      }
      deliver(out);
      arm();
    };
    h.closed = [this, weak](const std::string&) {
      const auto it = weak.lock();
      if (it) gone(it);
    };
    link->accept(std::move(socket), hello(), std::move(h));
  }

  void gone(const std::shared_ptr<Link>& link) {
    strangers_.erase(link);
    const auto it = by_link_.find(link.get());
    if (it == by_link_.end()) return;
    const std::uint64_t number = it->second;
    by_link_.erase(it);
    clients_.erase(number);
    if (voters_.erase(number) > 0 || !voter_) return;
    Voter::Outs out;
    voter_->client_gone(now(), number, out);
    deliver(out);
  }

  Frame hello() const { return voter_->hello(std::string(kNonce, '\0')); }

  // ------------------------------------------------------------ other voters

  std::optional<tcp::endpoint> address_of(const std::string& label) const {
    const std::string name = voter_name(label);
    for (const VoterAddress& a : options_.addresses) {
      if (a.name == name) return a.at;
    }
    return endpoint_of(voter_address(label));
  }

  void reach() {
    std::set<std::string> wanted;
    std::vector<std::string> labels = voter_->wanted();
    std::erase_if(answered_, [](const auto& a) { return now() > a.second.second; });
    for (const auto& [name, label] : answered_) labels.push_back(label.first);
    for (const std::string& label : labels) {
      const std::string name = voter_name(label);
      if (name == options_.voter.self.name || !wanted.insert(name).second) continue;
      Other& o = others_[name];
      if (!o.link && now() >= o.try_at) connect(name, label, o);
      if (o.link && o.met && now() - o.pinged_at >= silence_ / 3) {
        o.pinged_at = now();
        o.link->send(Frame());
      }
    }
    std::erase_if(others_, [&](auto& other) {
      if (wanted.contains(other.first)) return false;
      if (other.second.link) other.second.link->close();
      return true;
    });
  }

  void connect(const std::string& name, const std::string& label, Other& o) {
    o.pause = std::min(o.pause * 2, kLongestReconnect);
    o.try_at = now() + o.pause;
    const auto at = address_of(label);
    if (!at) return;
    Link::Options options;
    options.keys = options_.keys;
    options.silence = silence_;
    o.link = std::make_shared<Link>(io_, options);
    o.met = false;
    const std::weak_ptr<Link> weak = o.link;
    const auto mine = [this, name, weak]() -> Other* {
      const auto it = others_.find(name);
      return it != others_.end() && it->second.link == weak.lock() ? &it->second : nullptr;
    };
    Link::Handlers h;
    h.met = [this, mine](const Frame& hello) {
      Other* other = mine();
      if (other == nullptr || !voter_) return;
      Voter::Outs out;
      if (hello.cluster != options_.voter.cluster || !voter_->meets(now(), hello, out)) {
        other->link->close();
        other->link.reset();
        return;
      }
      other->met = true;
      other->pause = kReconnect;
      other->pinged_at = now();
      say(LogLevel::kInfo, "voter_reached", "reaches the voter " + hello.who.name);
      deliver(out);
    };
    h.closed = [this, mine, name](const std::string& why) {
      Other* other = mine();
      if (other == nullptr) return;
      if (other->met)
        say(LogLevel::kInfo, "voter_unreached", "reaches the voter " + name + " no more: " + why);
      other->link.reset();
      other->met = false;
      if (voter_) voter_->lost(name);
    };
    o.link->connect(*at, hello(), std::move(h));
  }

  // ------------------------------------------------------------ turns

  void deliver(Voter::Outs& out) {
    std::vector<Frame> unsent;
    for (Voter::Out& o : out) {
      if (o.to_voter) {
        const std::string name = voter_name(o.name);
        // A new voter knows of no other, and has to answer the one that adds it.
        answered_[name] = {o.name, now() + kAnswered};
        const auto it = others_.find(name);
        // What can't go is lost, as on any network; who waits for an answer is told.
        if (it == others_.end() || !it->second.met || !it->second.link || !it->second.link->send(o.frame))
          unsent.push_back(std::move(o.frame));
      } else if (const auto it = clients_.find(o.to); it != clients_.end()) {
        it->second->send(o.frame);
      }
    }
    out.clear();
    if (!voter_) return;
    for (const Frame& f : unsent) voter_->unsent(now(), f, out);
    if (!out.empty()) deliver(out);
    for (const Voter::Note& n : voter_->notes())
      say(std::string(n.event) == "failed" || std::string(n.event) == "voter_refused" ? LogLevel::kError
                                                                                      : LogLevel::kInfo,
          n.event, n.text);
  }

  void turn() {
    if (!voter_ && now() >= open_at_) open();
    if (voter_) {
      Voter::Outs out;
      voter_->tick(now(), out);
      deliver(out);
      reach();
      if (voter_->failed()) {
        close_all();
        by_link_.clear();
        voters_.clear();
        voter_.reset();
        store_.reset();
        open_at_ = now() + kOpenAgain;
      }
    }
    arm();
  }

  void arm() {
    timer_.expires_at(at(voter_ ? voter_->next() : open_at_));
    timer_.async_wait([this](const error_code& error) {
      if (!error) turn();
    });
  }

  asio::io_context& main_;
  const VoterOptions options_;
  const Log log_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_, accept_timer_{io_};
  std::unique_ptr<Store> store_;
  std::unique_ptr<Voter> voter_;
  std::map<std::string, Other> others_;
  std::set<std::shared_ptr<Link>> strangers_;  // who has not said hello
  std::map<std::uint64_t, std::shared_ptr<Link>> clients_;
  std::map<std::uint64_t, std::pair<std::uint64_t, std::string>> voters_;  // those of the clients that vote
  std::map<const Link*, std::uint64_t> by_link_;
  std::map<std::string, std::pair<std::string, double>> answered_;  // whom something was to go to; until when
  std::uint64_t last_ = 0;
  double open_at_ = 0, say_again_ = 0, silence_ = 1;
  std::thread thread_;
};

VoterService::VoterService(asio::io_context& loop, VoterOptions options, Log log)
    : impl_(std::make_unique<Impl>(loop, std::move(options), std::move(log))) {}
VoterService::~VoterService() = default;
void VoterService::start() { impl_->start(); }
void VoterService::leave() { impl_->leave(); }
tcp::endpoint VoterService::address() const { return impl_->address(); }

}  // namespace nettlestand::duties
