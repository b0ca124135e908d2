// Parses IP addresses with ports. Host names are not resolved.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <optional>
#include <string>
#include <string_view>

namespace nettlestand {

// Parses "10.0.0.4:3000" or "[::1]:3000"; nullopt for anything else.
inline std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(host, error);
  unsigned short port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, bad] = std::from_chars(text.data() + colon + 1, end, port);
  if (error || bad != std::errc() || stop != end) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace nettlestand
