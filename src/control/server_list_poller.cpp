#include "control/server_list_poller.h"

#include <rapidjson/document.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <utility>

#include "base/time.h"
#include "messaging/tcp_messenger.h"
#include "node/log.h"

namespace nettlestand::tier {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr auto kCallTimeout = std::chrono::milliseconds(900);
constexpr std::size_t kMaxPages = 1000;
constexpr std::uint64_t kMaxPageBytes = 4U << 20;
constexpr Millis kMaxBackoffMs = 4000;  // after failures and rejected calls

std::string string_field(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsString()) return {};
  return {found->value.GetString(), found->value.GetStringLength()};
}

double number_field(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  return found == object.MemberEnd() || !found->value.IsNumber() ? 0 : found->value.GetDouble();
}

}  // namespace

bool parse_server_list_page(std::string_view json, std::vector<ListedServer>& servers,
                            std::string& next_token) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) return false;
  const auto instances = document.FindMember("instances");
  if (instances == document.MemberEnd() || !instances->value.IsArray()) return false;
  for (const auto& instance : instances->value.GetArray()) {
    if (!instance.IsObject()) return false;
    ListedServer server{};
    server.id = string_field(instance, "id");
    server.service = string_field(instance, "service");
    server.address = string_field(instance, "address");
    server.zone = string_field(instance, "zone");
    server.slots = static_cast<std::uint32_t>(number_field(instance, "slots"));
    server.draining = string_field(instance, "state") != "ready";
    server.cold_left_ms = number_field(instance, "cold_left_ms");
    if (server.id.empty() || server.service.empty() || server.address.empty()) return false;
    servers.push_back(std::move(server));
  }
  next_token = string_field(document, "next_token");
  return true;
}

class ServerListPoller::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, std::string address, Millis interval, ServerListSource::Callback callback)
      : io_(io),
        address_(std::move(address)),
        interval_(interval),
        callback_(std::move(callback)),
        timer_(io),
        stream_(io) {}

  void start() {
    asio::co_spawn(
        io_, [self = shared_from_this()] { return self->run(self); }, asio::detached);
  }
  void stop() {
    stopped_ = true;
    timer_.cancel();
    close();
  }

 private:
  // `self` keeps this object alive while the coroutine runs.
  asio::awaitable<void> run(std::shared_ptr<Impl> self) {
    (void)self;
    Millis delay = interval_;
    while (!stopped_) {
      const Millis began = steady_now();
      std::vector<ListedServer> servers;
      const bool ok = co_await read_list(servers);
      if (stopped_) co_return;
      if (ok) callback_(steady_now(), std::move(servers));
      delay = ok ? interval_ : std::min(delay * 2, kMaxBackoffMs);
      error_code ignored;
      timer_.expires_after(std::chrono::milliseconds(std::max<Millis>(delay - (steady_now() - began), 10)));
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  asio::awaitable<bool> read_list(std::vector<ListedServer>& servers) {
    std::string token;
    for (std::size_t page = 0; page < kMaxPages; ++page) {
      std::string body;
      if (!co_await fetch_page(token, body)) {
        close();
        co_return false;
      }
      if (!parse_server_list_page(body, servers, token)) co_return false;
      if (token.empty()) co_return true;
    }
    co_return false;
  }

  asio::awaitable<bool> fetch_page(const std::string& token, std::string& body) {
    error_code error;
    stream_.expires_after(kCallTimeout);
    if (!connected_) {
      co_await stream_.async_connect(parse_endpoint(address_),
                                     asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return false;
      connected_ = true;
    }
    http::request<http::empty_body> request(
        http::verb::get, token.empty() ? "/instances" : "/instances?page_token=" + token, 11);
    request.set(http::field::host, address_);
    co_await http::async_write(stream_, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return false;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxPageBytes);
    beast::flat_buffer buffer;
    co_await http::async_read(stream_, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error || parser.get().result() != http::status::ok) co_return false;
    body = std::move(parser.get().body());
    if (!parser.get().keep_alive()) close();
    co_return true;
  }

  void close() {
    stream_.close();
    connected_ = false;
  }

  asio::io_context& io_;
  std::string address_;
  Millis interval_;
  ServerListSource::Callback callback_;
  asio::steady_timer timer_;
  beast::tcp_stream stream_;
  bool connected_ = false, stopped_ = false;
};

ServerListPoller::ServerListPoller(asio::io_context& io, std::string platform_address, Millis interval_ms,
                                   Callback callback)
    : impl_(std::make_shared<Impl>(io, std::move(platform_address), interval_ms, std::move(callback))) {
  impl_->start();
}

ServerListPoller::~ServerListPoller() { impl_->stop(); }

}  // namespace nettlestand::tier
