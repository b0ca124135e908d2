#include "standins/tier/persistent_connection.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>

#include "messaging/tcp_messenger.h"

namespace nettlestand::tier::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

constexpr std::uint64_t kMaxBodyBytes = 64U << 20;

bool PersistentConnection::open(const std::string& address, Millis timeout) {
  buffer_.clear();
  stream_ = std::make_unique<beast::tcp_stream>(io_);
  stream_->expires_after(std::chrono::milliseconds(timeout));
  error_code result = asio::error::would_block;
  stream_->async_connect(parse_endpoint(address), [&result](error_code error) { result = error; });
  io_.restart();
  io_.run();
  if (result) close();
  return is_open();
}

HttpResult PersistentConnection::exchange(const std::string& request, Millis timeout) {
  HttpResult out;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  error_code result = asio::error::would_block;
  stream_->expires_after(std::chrono::milliseconds(timeout));
  asio::async_write(*stream_, asio::buffer(request), [&](error_code failed, std::size_t) {
    out.whole_sent = !failed;
    if (failed) return;
    http::async_read(*stream_, buffer_, parser, [&result](error_code end, std::size_t) { result = end; });
  });
  io_.restart();
  io_.run();
  if (parser.is_header_done()) {
    out.status = static_cast<int>(parser.get().result_int());
    out.complete = !result;
    out.body = parser.get().body();
    for (const auto& field : parser.get()) {
      std::string name(field.name_string().data(), field.name_string().size());
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      out.headers[name] = std::string(field.value().data(), field.value().size());
    }
  }
  if (!out.complete || !parser.get().keep_alive()) close();
  return out;
}

}  // namespace nettlestand::tier::standins
