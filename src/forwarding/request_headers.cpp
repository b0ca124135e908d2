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

namespace {

// The names of headers that concern one connection only, as its Connection headers list them.
class ConnectionOptions {
 public:
  explicit ConnectionOptions(const HeaderFields& fields) {
    for (const auto& [name, value] : fields) {
      if (is_equal(name, "Connection")) add(value);
    }
    std::sort(names_.begin(), names_.end(), is_less);
  }
  bool contains(std::string_view name) const {
    return std::binary_search(names_.begin(), names_.end(), name, is_less);
  }

 private:
  static bool is_less(std::string_view a, std::string_view b) {
    return boost::beast::iless()({a.data(), a.size()}, {b.data(), b.size()});
  }
  void add(std::string_view list) {
    for (const auto& token : boost::beast::http::token_list({list.data(), list.size()}))
      names_.emplace_back(token.data(), token.size());
  }

  std::vector<std::string_view> names_;  // sorted
};

}  // namespace

HeaderFields forwarded_headers(const HeaderFields& fields) {
  const ConnectionOptions options(fields);
  const auto is_forwarded = [&options](const auto& field) {
    return !is_hop_by_hop_header(field.first) && !is_reserved_header(field.first) &&
           !options.contains(field.first);
  };
  HeaderFields out;
  std::copy_if(fields.begin(), fields.end(), std::back_inserter(out), is_forwarded);
  return out;
}

}  // namespace nettlestand::tier
