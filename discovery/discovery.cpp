#include "discovery/discovery.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "discovery/lists.h"

namespace nettlestand {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// What discovery has to tell counts as told 6 s after it could have been asked, or after a watch fell silent,
// whatever came in between. So silence is noticed, and a call that comes to nothing is given up, soon enough
// for another call within that time.
constexpr auto kConnectLimit = std::chrono::seconds(2);
constexpr auto kAnswerLimit = std::chrono::seconds(3);   // calls wait in discovery's queue
constexpr auto kSilenceLimit = std::chrono::seconds(3);  // an empty line's period of 2 s, and half of that
constexpr std::size_t kLineOfServer = 512;               // bytes of a list, for each server there may be
// s. Where a fleet that has lost discovery asks more often, its calls keep discovery busy and all fail.
constexpr double kFirstBackoff = 0.25, kMostBackoff = 4;

}  // namespace

class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner) : owner_(owner), stream_(owner.io_) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void start() {
    request_.method(http::verb::get);
    request_.target("/v1/servers?stream=1" +
                    (owner_.seq_ ? "&index=" + std::to_string(*owner_.seq_) : std::string()));
    request_.version(11);
    request_.set(http::field::host,
                 owner_.address_.address().to_string() + ":" + std::to_string(owner_.address_.port()));
    stream_.expires_after(kConnectLimit);
    stream_.async_connect(owner_.address_, [self = shared_from_this()](const error_code& error) {
      if (error) return self->fail("connect: " + error.message());
      self->ask();
    });
  }

  void close() {
    closed_ = true;
    stream_.close();
  }

 private:
  void ask() {
    stream_.expires_after(kAnswerLimit);
    http::async_write(stream_, request_, [self = shared_from_this()](const error_code& error, std::size_t) {
      if (error) return self->fail("write: " + error.message());
      self->await_answer();
    });
  }

  void await_answer() {
    http::async_read_header(stream_, buffer_, parser_,
                            [self = shared_from_this()](const error_code& error, std::size_t) {
                              if (error) return self->fail("answer: " + error.message());
                              const unsigned status = self->parser_.get().result_int();
                              if (status != 200)
                                return self->fail("answer: status " + std::to_string(status));
                              self->take_lines();
                            });
  }

  // Guards against a watch that is silent but up: without its empty lines for so long it counts as broken.
  void read() {
    stream_.expires_after(kSilenceLimit);
    http::async_read_some(stream_, buffer_, parser_,
                          [self = shared_from_this()](const error_code& error, std::size_t) {
                            if (error) return self->fail("watch: " + error.message());
                            self->take_lines();
                          });
  }

  // What is cut in the middle of a line is dropped with its connection; only whole lines count.
  void take_lines() {
    lists_.add(parser_.get().body());
    parser_.get().body().clear();
    while (const auto text = closed_ ? std::nullopt : lists_.next()) {
      // Guards against a list that can't be read or taken over: it must not leave this watch without a wait.
      try {
        owner_.came(this, read_list(*text, owner_.options_.zones));
      } catch (const std::exception& problem) {
        owner_.seq_.reset();  // the whole list next time, or the same line would come for ever
        return fail(std::string("watch: ") + problem.what());
      }
    }
    if (closed_) return;
    if (lists_.held() > owner_.options_.max_servers * kLineOfServer) return fail("watch: a list too long");
    if (parser_.is_done()) return fail("watch: ended");
    read();
  }

  void fail(const std::string& why) {
    if (closed_) return;
    close();
    owner_.failed(this, why);
  }

  Discovery& owner_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  ListCutter lists_;
  bool closed_ = false;
};

Discovery::Discovery(boost::asio::io_context& io, DiscoveryOptions options, Listeners listeners, Log log)
    : io_(io),
      options_(std::move(options)),
      listeners_(std::move(listeners)),
      log_(std::move(log)),
      address_(options_.address),
      seq_(options_.seq),
      random_(static_cast<std::minstd_rand::result_type>(options_.seed)),
      again_(io) {}

Discovery::~Discovery() { shut(); }

void Discovery::shut() {
  shut_ = true;
  again_.cancel();
  for (const std::shared_ptr<Watch>& watch :
       {std::exchange(current_, nullptr), std::exchange(next_, nullptr)}) {
    if (watch) watch->close();
  }
}

void Discovery::watch() {
  if (current_ || moving_ || shut_) return;
  current_ = std::make_shared<Watch>(*this);
  current_->start();
}

// Guards the drains and the list over a move: the new address is asked at once and for the whole list, since
// its versions need not be those of the old one, and nothing is given up before it has spoken.
void Discovery::move(const boost::asio::ip::tcp::endpoint& address) {
  if (shut_) return;
  if (address == address_) {  // asked at once all the same, where it has failed and a pause is on
    if (!moving_) return watch();
    if (next_) return;
  }
  const std::string to = address.address().to_string() + ":" + std::to_string(address.port());
  log_({LogLevel::kInfo, "discovery", "moved", "discovery: moves to " + to, {{"address", to}}});
  address_ = address;
  seq_.reset();
  moving_ = true;
  backoff_ = 0;
  again_.cancel();
  if (next_) next_->close();
  reach();
}

void Discovery::reach() {
  next_ = std::make_shared<Watch>(*this);
  next_->start();
}

// Jittered: all nodes lose it at once and must not come back at once.
void Discovery::retry(std::function<void()> what) {
  // An agent on the node's own machine answers at no cost, and what it has counts as told at once.
  backoff_ = std::clamp(backoff_ * 2, kFirstBackoff, options_.ask_again ? kFirstBackoff : kMostBackoff);
  again_.expires_after(std::chrono::milliseconds(
      static_cast<int>(1000 * backoff_ * std::uniform_real_distribution<>(0.5, 1.0)(random_))));
  again_.async_wait([this, what = std::move(what)](const error_code& error) {
    if (!error && !shut_) what();
  });
}

void Discovery::came(Watch* which, ServerList&& list) {
  listeners_.list(list);  // throws for what can't be taken over: the watch has not spoken well then
  if (which == next_.get()) {
    if (current_) current_->close();  // what an abandoned watch says later is old
    current_ = std::exchange(next_, nullptr);
    moving_ = false;
  }
  if (!well_) log_({LogLevel::kInfo, "discovery", "heard", "discovery: heard again", {}});
  well_ = true;
  backoff_ = 0;
  if (!moving_) seq_ = list.seq;
}

void Discovery::failed(const Watch* which, const std::string& why) {
  if (which != current_.get() && which != next_.get()) return;
  if (well_)
    log_({LogLevel::kWarning,
          "discovery",
          "lost",
          "discovery: " + why + "; the last list is kept",
          {{"why", why}}});
  well_ = false;
  if (which == next_.get()) {  // the module has not asked for this one: it is asked for again here
    next_.reset();
    return retry([this] { reach(); });
  }
  current_.reset();
  if (moving_) return;
  if (options_.ask_again) retry([this] { watch(); });
  listeners_.failed();
}

}  // namespace nettlestand
