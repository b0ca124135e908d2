#include "control/listing.h"

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
#include "messaging/network.h"
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
constexpr Millis kMostPauseMs = 4000;  // after failures and refusals

std::string text_of(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  if (found == object.MemberEnd() || !found->value.IsString()) return {};
  return {found->value.GetString(), found->value.GetStringLength()};
}

double number_of(const rapidjson::Value& object, const char* name) {
  const auto found = object.FindMember(name);
  return found == object.MemberEnd() || !found->value.IsNumber() ? 0 : found->value.GetDouble();
}

}  // namespace

bool parse_listing_page(std::string_view json, std::vector<ListedServer>& servers, std::string& next) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(json.data(), json.size());
  if (document.HasParseError() || !document.IsObject()) return false;
  const auto instances = document.FindMember("instances");
  if (instances == document.MemberEnd() || !instances->value.IsArray()) return false;
  for (const auto& instance : instances->value.GetArray()) {
    if (!instance.IsObject()) return false;
    ListedServer server{};
    server.id = text_of(instance, "id");
    server.service = text_of(instance, "service");
    server.address = text_of(instance, "address");
    server.zone = text_of(instance, "zone");
    server.slots = static_cast<std::uint32_t>(number_of(instance, "slots"));
    server.draining = text_of(instance, "state") != "ready";
    server.cold_left_ms = number_of(instance, "cold_left_ms");
    if (server.id.empty() || server.service.empty() || server.address.empty()) return false;
    servers.push_back(std::move(server));
  }
  next = text_of(document, "next_token");
  return true;
}

class ListingReader::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& io, std::string address, Millis interval, ServerListing::Done done)
      : io_(io),
        address_(std::move(address)),
        interval_(interval),
        done_(std::move(done)),
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
  // `self` keeps this alive for as long as it runs.
  asio::awaitable<void> run(std::shared_ptr<Impl> self) {
    (void)self;
    Millis pause = interval_;
    while (!stopped_) {
      const Millis began = steady_now();
      std::vector<ListedServer> servers;
      const bool ok = co_await read_list(servers);
      if (stopped_) co_return;
      if (ok) done_(steady_now(), std::move(servers));
      pause = ok ? interval_ : std::min(pause * 2, kMostPauseMs);
      error_code ignored;
      timer_.expires_after(std::chrono::milliseconds(std::max<Millis>(pause - (steady_now() - began), 10)));
      co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
  }

  asio::awaitable<bool> read_list(std::vector<ListedServer>& servers) {
    std::string token;
    for (std::size_t page = 0; page < kMaxPages; ++page) {
      std::string body;
      if (!co_await get(token, body)) {
        close();
        co_return false;
      }
      if (!parse_listing_page(body, servers, token)) co_return false;
      if (token.empty()) co_return true;
    }
    co_return false;
  }

  asio::awaitable<bool> get(const std::string& token, std::string& body) {
    error_code error;
    stream_.expires_after(kCallTimeout);
    if (!open_) {
      co_await stream_.async_connect(parse_endpoint(address_),
                                     asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return false;
      open_ = true;
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
    open_ = false;
  }

  asio::io_context& io_;
  std::string address_;
  Millis interval_;
  ServerListing::Done done_;
  asio::steady_timer timer_;
  beast::tcp_stream stream_;
  bool open_ = false, stopped_ = false;
};

ListingReader::ListingReader(asio::io_context& io, std::string platform_address, Millis interval_ms,
                             Done done)
    : impl_(std::make_shared<Impl>(io, std::move(platform_address), interval_ms, std::move(done))) {
  impl_->start();
}

ListingReader::~ListingReader() { impl_->stop(); }

}  // namespace nettlestand::tier
