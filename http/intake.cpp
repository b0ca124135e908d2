#include "http/intake.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/address_v6.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/verb.hpp>
#include <charconv>
#include <memory>
#include <utility>

namespace nettlestand {
namespace {

namespace http = boost::beast::http;

constexpr double kLongestTimeout = 600;       // s
constexpr std::size_t kLongestName = 128;     // bytes of an id or a key
constexpr std::size_t kLongestTarget = 2048;  // bytes

// What the lines are called; those up to kFencingToken are the protocol's and our own.
constexpr std::array<std::string_view, Intake::kLines> kNames = {
    "Request-Id",   "Request-Class", "Tenant",         "Request-Timeout-Ms", "Idempotency-Key",
    "Client-Retry", "Work-Hint",     "Request-Info",   "Fencing-Token",      "Host",
    "Cookie",       "Content-Type",  "Content-Length", "Transfer-Encoding",  "Expect"};
// Those that go on to the server, in this order; but for the time, which the transport writes. Whatever else
// came says nothing to a server, or belongs to the one connection.
constexpr std::array kPassedOn = {
    Intake::kHost,   Intake::kCookie,         Intake::kContentType, Intake::kRequestId, Intake::kRequestClass,
    Intake::kTenant, Intake::kIdempotencyKey, Intake::kClientRetry, Intake::kWorkHint,  Intake::kRequestInfo};
constexpr std::size_t kUsualHead = 512;  // bytes

// Letters, digits and these others (RFC 3986).
constexpr std::array<bool, 256> bytes_of(std::string_view others) {
  std::array<bool, 256> out{};
  for (char c = '0'; c <= '9'; ++c) out[static_cast<unsigned char>(c)] = true;
  for (char c = 'a'; c <= 'z'; ++c) out[static_cast<unsigned char>(c)] = true;
  for (char c = 'A'; c <= 'Z'; ++c) out[static_cast<unsigned char>(c)] = true;
  for (const char c : others) out[static_cast<unsigned char>(c)] = true;
  return out;
}
constexpr auto kTargetBytes = bytes_of("-._~%!$&'()*+,;=:@/?");
constexpr auto kHostBytes = bytes_of("-._~%!$&'()*+;=");  // no comma: it would join two hosts

bool only(std::string_view text, const std::array<bool, 256>& allowed) {
  return std::all_of(text.begin(), text.end(),
                     [&](char c) { return allowed[static_cast<unsigned char>(c)]; });
}

bool is_address_v6(std::string_view text) {
  boost::system::error_code error;
  boost::asio::ip::make_address_v6(std::string(text), error);
  return !error && text.find('%') == std::string_view::npos;  // a zone means something on one machine only
}

// A name or an address, and perhaps a port.
bool is_host(std::string_view text) {
  const bool literal = text.starts_with('[');
  const std::size_t end = std::min(text.find(literal ? ']' : ':'), text.size());
  const std::string_view name = text.substr(0, end);
  std::string_view port = text.substr(end);
  if (literal) {
    if (port.empty() || !is_address_v6(name.substr(1))) return false;
    port.remove_prefix(1);
  } else if (name.empty() || !only(name, kHostBytes)) {
    return false;
  }
  constexpr auto digit = [](char c) { return c >= '0' && c <= '9'; };
  return port.empty() || (port.front() == ':' && std::all_of(port.begin() + 1, port.end(), digit));
}

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> whole(std::string_view text) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

Intake::Line line_of(const Intake::Head::value_type& field) {
  switch (field.name()) {
    case http::field::host:
      return Intake::kHost;
    case http::field::cookie:
      return Intake::kCookie;
    case http::field::content_type:
      return Intake::kContentType;
    case http::field::content_length:
      return Intake::kContentLength;
    case http::field::transfer_encoding:
      return Intake::kTransferEncoding;
    case http::field::expect:
      return Intake::kExpect;
    case http::field::unknown:
      break;
    default:
      return Intake::kLines;
  }
  const auto name = field.name_string();
  for (std::size_t line = 0; line <= Intake::kFencingToken; ++line) {
    if (kNames[line].size() == name.size() &&
        boost::beast::iequals(name, {kNames[line].data(), kNames[line].size()})) {
      return static_cast<Intake::Line>(line);
    }
  }
  return Intake::kLines;
}

void forward(const Intake::Head& head, const Intake::Lines& lines, bool fencing, Forward& out) {
  out.head.reserve(kUsualHead);
  out.head.append(view(head.method_string())).append(" ").append(view(head.target())).append(" HTTP/1.1\r\n");
  for (const Intake::Line line : kPassedOn) {
    if (lines.count[line] == 0) continue;
    // Guards against a header that this node reads in one way and a server in another.
    if (lines.count[line] > 1) throw BadRequest{400, "a header twice"};
    out.head.append(kNames[line]).append(": ").append(lines.value[line]).append("\r\n");
  }
  if (!fencing || lines.count[Intake::kFencingToken] == 0) return;
  const std::string_view token = lines.value[Intake::kFencingToken];
  // Guards what compares tokens: a place that reads it in another way would let a former holder in.
  if (lines.count[Intake::kFencingToken] > 1 || token.size() > 19 || !whole(token))
    throw BadRequest{400, "bad Fencing-Token"};
  out.head.append("Fencing-Token: ").append(token).append("\r\n");
}

}  // namespace

bool folded(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

Intake::Lines::Lines(const Head& head) {
  for (const auto& field : head) {
    const Line line = line_of(field);
    if (line == kLines) continue;
    if (count[line]++ == 0) value[line] = view(field.value());
  }
}

std::string_view Intake::path_of(const Head& head) {
  const std::string_view target = view(head.target());
  return target.substr(0, target.find('?'));
}

Intake::Intake(const quinceusher::Settings& settings, const std::vector<std::string>& classes,
               const std::vector<std::string>& tenants, bool fencing)
    : class_facts_(settings.classes), fencing_(fencing) {
  for (const std::string& name : classes) classes_.emplace(name, classes_.size());
  for (const std::string& name : tenants) tenants_.emplace(name, tenants_.size());
}

// Guards against a second request hidden in a body. Beast 1.74 turns away a length beside "chunked", but
// takes a length after any other encoding, a list of encodings that ends in "chunked", the same length twice,
// and an encoding in HTTP/1.0, which has none.
void Intake::check_framing(const Head& head, const Lines& lines) {
  if (lines.count[kContentLength] + lines.count[kTransferEncoding] > 1)
    throw BadRequest{400, "more than one length"};
  if (lines.count[kContentLength] == 1) {
    const std::string_view length = lines.value[kContentLength];
    if (length.empty() || length.size() > 18 || !whole(length)) throw BadRequest{400, "bad Content-Length"};
  }
  if (lines.count[kTransferEncoding] == 1) {
    const std::string_view encoding = lines.value[kTransferEncoding];
    if (head.version() < 11 || !boost::beast::iequals({encoding.data(), encoding.size()}, "chunked")) {
      throw BadRequest{400, "unknown Transfer-Encoding"};
    }
  }
}

// Guards the servers: what stands on the way to them must not read another target or host than they do.
void Intake::check_address(const Head& head, const Lines& lines) {
  if (!only(view(head.target()), kTargetBytes)) throw BadRequest{400, "bad target"};
  if (lines.count[kHost] > 1 || (lines.count[kHost] == 1 && !is_host(lines.value[kHost]))) {
    throw BadRequest{400, "bad Host"};
  }
}

Call Intake::read(const Head& head, const Lines& lines, Forward& onward) const {
  const auto named = [&](Line line, const auto& known) {
    const auto it = known.find(lines.value[line]);
    return it == known.end() ? std::nullopt : std::optional<std::size_t>(it->second);
  };
  for (std::size_t line = 0; line <= kRequestInfo; ++line) {
    if (lines.count[line] > 1) throw BadRequest{400, "a header twice"};
    if (lines.value[line].size() > kLongestName && line != kRequestInfo)
      throw BadRequest{400, "a header too long"};
  }
  if (head.target().size() > kLongestTarget) throw BadRequest{414, "target too long"};
  if (lines.count[kHost] == 0) throw BadRequest{400, "no Host"};
  Call out;
  out.client_id = std::string(lines.value[kRequestId]);
  if (out.client_id.empty()) throw BadRequest{400, "no Request-Id"};
  const auto request_class = named(kRequestClass, classes_);
  if (!request_class) throw BadRequest{400, "unknown Request-Class"};
  out.request.request_class = *request_class;
  if (!tenants_.empty()) {
    const auto tenant = named(kTenant, tenants_);
    if (!tenant) throw BadRequest{400, "unknown Tenant"};
    out.request.tenant = *tenant;
  }
  // Guards the classes that are not safe: what servers take for safe, or can't tell from a repeat, runs
  // twice.
  const quinceusher::RequestClass& facts = class_facts_[*request_class];
  const bool safe = facts.effect == quinceusher::Effect::kSafe;
  if (head.method() != (safe ? http::verb::get : http::verb::post)) {
    throw BadRequest{400, "the method does not belong to the class"};
  }
  if ((facts.effect == quinceusher::Effect::kKeyed) == lines.value[kIdempotencyKey].empty()) {
    throw BadRequest{400, "Idempotency-Key does not belong to the class"};
  }
  const std::string_view length = lines.value[kContentLength];
  if (safe && (lines.count[kTransferEncoding] > 0 || (!length.empty() && length != "0"))) {
    throw BadRequest{400, "a body where none belongs"};
  }
  out.timeout = facts.give_up;
  if (lines.count[kRequestTimeout] > 0) {
    const auto ms = whole(lines.value[kRequestTimeout]);
    if (!ms || *ms == 0) throw BadRequest{400, "bad Request-Timeout-Ms"};
    out.timeout = std::min(static_cast<double>(*ms) / 1000, kLongestTimeout);
  }
  if (lines.count[kWorkHint] > 0) {
    if (const auto us = whole(lines.value[kWorkHint])) out.request.work = static_cast<double>(*us) / 1e6;
  }
  out.request.is_repeat = lines.value[kClientRetry] == "1";
  forward(head, lines, fencing_, onward);
  onward.repeatable = facts.effect != quinceusher::Effect::kUnsafe;
  return out;
}

}  // namespace nettlestand
