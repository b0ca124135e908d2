#include "forwarding/request_headers.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <iterator>

namespace nettlestand::tier {
namespace {

constexpr std::string_view kHopByHopHeaders[] = {
    "Connection",     "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
    "Content-Length", "Expect"};
constexpr std::string_view kReservedHeaders[] = {
    "Host", "X-Api-Key", "X-Tenant", "X-Request-Id", "X-Deadline-Ms", "Last-Event-Id", "X-Expect-Instance"};

bool is_equal(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

template <std::size_t size>
bool contains(const std::string_view (&names)[size], std::string_view name) {
  return std::any_of(std::begin(names), std::end(names),
                     [name](std::string_view each) { return is_equal(each, name); });
}

}  // namespace

bool is_hop_by_hop_header(std::string_view name) { return contains(kHopByHopHeaders, name); }

bool is_reserved_header(std::string_view name) { return contains(kReservedHeaders, name); }

bool is_named_by_connection(std::string_view connection, std::string_view name) {
  return boost::beast::http::token_list({connection.data(), connection.size()})
      .exists({name.data(), name.size()});
}

HeaderFields forwarded_headers(const HeaderFields& fields) {
  const auto is_forwarded = [&fields](const auto& field) {
    if (is_hop_by_hop_header(field.first) || is_reserved_header(field.first)) return false;
    return std::none_of(fields.begin(), fields.end(), [&field](const auto& other) {
      return is_equal(other.first, "Connection") && is_named_by_connection(other.second, field.first);
    });
  };
  HeaderFields out;
  std::copy_if(fields.begin(), fields.end(), std::back_inserter(out), is_forwarded);
  return out;
}

}  // namespace nettlestand::tier
