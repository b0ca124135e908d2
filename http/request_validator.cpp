#include "http/request_validator.h"

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

constexpr double kMaxTimeoutSeconds = 600;
constexpr std::size_t kMaxNameBytes = 128;  // bytes of an id or a key
constexpr std::size_t kMaxTargetBytes = 2048;

// In the order of FieldId. The fields up to kFencingToken belong to this service's protocol; the others are
// standard HTTP.
constexpr std::array<std::string_view, RequestValidator::kFieldCount> kFieldNames = {
    "Request-Id",   "Request-Class", "Tenant",         "Request-Timeout-Ms", "Idempotency-Key",
    "Client-Retry", "Work-Hint",     "Request-Info",   "Fencing-Token",      "Host",
    "Cookie",       "Content-Type",  "Content-Length", "Transfer-Encoding",  "Expect"};
// The fields that are forwarded to the server, in this order. The transport writes Request-Timeout-Ms itself.
// Other fields have no meaning for the servers or are specific to the client's connection.
constexpr std::array kForwardedFields = {RequestValidator::kHost,           RequestValidator::kCookie,
                                         RequestValidator::kContentType,    RequestValidator::kRequestId,
                                         RequestValidator::kRequestClass,   RequestValidator::kTenant,
                                         RequestValidator::kIdempotencyKey, RequestValidator::kClientRetry,
                                         RequestValidator::kWorkHint,       RequestValidator::kRequestInfo};
constexpr std::size_t kTypicalHeadBytes = 512;

// A lookup table of letters, digits and the given other bytes (RFC 3986).
constexpr std::array<bool, 256> byte_set(std::string_view others) {
  std::array<bool, 256> out{};
  for (char c = '0'; c <= '9'; ++c) out[static_cast<unsigned char>(c)] = true;
  for (char c = 'a'; c <= 'z'; ++c) out[static_cast<unsigned char>(c)] = true;
  for (char c = 'A'; c <= 'Z'; ++c) out[static_cast<unsigned char>(c)] = true;
  for (const char c : others) out[static_cast<unsigned char>(c)] = true;
  return out;
}
constexpr auto kTargetBytes = byte_set("-._~%!$&'()*+,;=:@/?");
constexpr auto kHostBytes = byte_set("-._~%!$&'()*+;=");  // no comma: it would join two hosts into one value

bool contains_only(std::string_view text, const std::array<bool, 256>& allowed) {
  return std::all_of(text.begin(), text.end(),
                     [&](char c) { return allowed[static_cast<unsigned char>(c)]; });
}

bool is_address_v6(std::string_view text) {
  boost::system::error_code error;
  boost::asio::ip::make_address_v6(std::string(text), error);
  return !error &&
         text.find('%') == std::string_view::npos;  // a zone identifier is valid on one machine only
}

// Whether the text is a host name or address with an optional port.
bool is_host(std::string_view text) {
  const bool literal = text.starts_with('[');
  const std::size_t end = std::min(text.find(literal ? ']' : ':'), text.size());
  const std::string_view name = text.substr(0, end);
  std::string_view port = text.substr(end);
  if (literal) {
    if (port.empty() || !is_address_v6(name.substr(1))) return false;
    port.remove_prefix(1);
  } else if (name.empty() || !contains_only(name, kHostBytes)) {
    return false;
  }
  constexpr auto digit = [](char c) { return c >= '0' && c <= '9'; };
  return port.empty() || (port.front() == ':' && std::all_of(port.begin() + 1, port.end(), digit));
}

std::string_view to_std_view(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::optional<std::uint64_t> parse_unsigned(std::string_view text) {
  std::uint64_t out = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return out;
}

RequestValidator::FieldId field_id_of(const RequestValidator::Head::value_type& field) {
  switch (field.name()) {
    case http::field::host:
      return RequestValidator::kHost;
    case http::field::cookie:
      return RequestValidator::kCookie;
    case http::field::content_type:
      return RequestValidator::kContentType;
    case http::field::content_length:
      return RequestValidator::kContentLength;
    case http::field::transfer_encoding:
      return RequestValidator::kTransferEncoding;
    case http::field::expect:
      return RequestValidator::kExpect;
    case http::field::unknown:
      break;
    default:
      return RequestValidator::kFieldCount;
  }
  const auto name = field.name_string();
  for (std::size_t id = 0; id <= RequestValidator::kFencingToken; ++id) {
    if (kFieldNames[id].size() == name.size() &&
        boost::beast::iequals(name, {kFieldNames[id].data(), kFieldNames[id].size()})) {
      return static_cast<RequestValidator::FieldId>(id);
    }
  }
  return RequestValidator::kFieldCount;
}

void write_upstream_head(const RequestValidator::Head& head, const RequestValidator::FieldValues& fields,
                         bool forward_fencing_token, UpstreamRequest& upstream_request) {
  upstream_request.head.reserve(kTypicalHeadBytes);
  upstream_request.head.append(to_std_view(head.method_string()))
      .append(" ")
      .append(to_std_view(head.target()))
      .append(" HTTP/1.1\r\n");
  for (const RequestValidator::FieldId id : kForwardedFields) {
    if (fields.count[id] == 0) continue;
    // This node and a server could choose different occurrences of a repeated field.
    if (fields.count[id] > 1) throw RequestRejection{400, "a header twice"};
    upstream_request.head.append(kFieldNames[id]).append(": ").append(fields.value[id]).append("\r\n");
  }
  if (!forward_fencing_token || fields.count[RequestValidator::kFencingToken] == 0) return;
  const std::string_view token = fields.value[RequestValidator::kFencingToken];
  // A resource that parsed the token differently would accept a former lease holder.
  if (fields.count[RequestValidator::kFencingToken] > 1 || token.size() > 19 || !parse_unsigned(token))
    throw RequestRejection{400, "bad Fencing-Token"};
  upstream_request.head.append("Fencing-Token: ").append(token).append("\r\n");
}

}  // namespace

bool has_folded_line(std::string_view bytes) {
  const std::string_view head = bytes.substr(0, bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

RequestValidator::FieldValues::FieldValues(const Head& head) {
  for (const auto& field : head) {
    const FieldId id = field_id_of(field);
    if (id == kFieldCount) continue;
    if (count[id]++ == 0) value[id] = to_std_view(field.value());
  }
}

std::string_view RequestValidator::path_of(const Head& head) {
  const std::string_view target = to_std_view(head.target());
  return target.substr(0, target.find('?'));
}

RequestValidator::RequestValidator(const quinceusher::Settings& settings,
                                   const std::vector<std::string>& classes,
                                   const std::vector<std::string>& tenants, bool forward_fencing_token)
    : class_settings_(settings.classes), forwards_fencing_token_(forward_fencing_token) {
  for (const std::string& name : classes) classes_.emplace(name, classes_.size());
  for (const std::string& name : tenants) tenants_.emplace(name, tenants_.size());
}

// Prevents request smuggling, where a body contains a second request. Beast 1.74 rejects a length beside
// "chunked", but accepts a length after any other encoding, a list of encodings that ends in "chunked", the
// same length twice, and a transfer encoding in HTTP/1.0, which doesn't define any.
void RequestValidator::check_framing(const Head& head, const FieldValues& fields) {
  if (fields.count[kContentLength] + fields.count[kTransferEncoding] > 1)
    throw RequestRejection{400, "more than one length"};
  if (fields.count[kContentLength] == 1) {
    const std::string_view length = fields.value[kContentLength];
    if (length.empty() || length.size() > 18 || !parse_unsigned(length))
      throw RequestRejection{400, "bad Content-Length"};
  }
  if (fields.count[kTransferEncoding] == 1) {
    const std::string_view encoding = fields.value[kTransferEncoding];
    if (head.version() < 11 || !boost::beast::iequals({encoding.data(), encoding.size()}, "chunked")) {
      throw RequestRejection{400, "unknown Transfer-Encoding"};
    }
  }
}

// Intermediaries between this node and the servers must not read a different target or host than the servers.
void RequestValidator::check_target_and_host(const Head& head, const FieldValues& fields) {
  if (!contains_only(to_std_view(head.target()), kTargetBytes)) throw RequestRejection{400, "bad target"};
  if (fields.count[kHost] > 1 || (fields.count[kHost] == 1 && !is_host(fields.value[kHost]))) {
    throw RequestRejection{400, "bad Host"};
  }
}

Call RequestValidator::read_call(const Head& head, const FieldValues& fields,
                                 UpstreamRequest& upstream_request) const {
  const auto index_of = [&](FieldId id, const auto& known) {
    const auto it = known.find(fields.value[id]);
    return it == known.end() ? std::nullopt : std::optional<std::size_t>(it->second);
  };
  for (std::size_t id = 0; id <= kRequestInfo; ++id) {
    if (fields.count[id] > 1) throw RequestRejection{400, "a header twice"};
    if (fields.value[id].size() > kMaxNameBytes && id != kRequestInfo)
      throw RequestRejection{400, "a header too long"};
  }
  if (head.target().size() > kMaxTargetBytes) throw RequestRejection{414, "target too long"};
  if (fields.count[kHost] == 0) throw RequestRejection{400, "no Host"};
  Call out;
  out.client_id = std::string(fields.value[kRequestId]);
  if (out.client_id.empty()) throw RequestRejection{400, "no Request-Id"};
  const auto request_class = index_of(kRequestClass, classes_);
  if (!request_class) throw RequestRejection{400, "unknown Request-Class"};
  out.request.request_class = *request_class;
  if (!tenants_.empty()) {
    const auto tenant = index_of(kTenant, tenants_);
    if (!tenant) throw RequestRejection{400, "unknown Tenant"};
    out.request.tenant = *tenant;
  }
  // The method and Idempotency-Key must match the class: a server would run a request twice if it took an
  // unsafe one for safe or could not recognize a repeat.
  const quinceusher::RequestClass& class_settings = class_settings_[*request_class];
  const bool safe = class_settings.effect == quinceusher::Effect::kSafe;
  if (head.method() != (safe ? http::verb::get : http::verb::post)) {
    throw RequestRejection{400, "the method does not belong to the class"};
  }
  if ((class_settings.effect == quinceusher::Effect::kKeyed) == fields.value[kIdempotencyKey].empty()) {
    throw RequestRejection{400, "Idempotency-Key does not belong to the class"};
  }
  const std::string_view length = fields.value[kContentLength];
  if (safe && (fields.count[kTransferEncoding] > 0 || (!length.empty() && length != "0"))) {
    throw RequestRejection{400, "a body where none belongs"};
  }
  out.timeout = class_settings.give_up;
  if (fields.count[kRequestTimeout] > 0) {
    const auto ms = parse_unsigned(fields.value[kRequestTimeout]);
    if (!ms || *ms == 0) throw RequestRejection{400, "bad Request-Timeout-Ms"};
    out.timeout = std::min(static_cast<double>(*ms) / 1000, kMaxTimeoutSeconds);
  }
  if (fields.count[kWorkHint] > 0) {
    if (const auto us = parse_unsigned(fields.value[kWorkHint]))
      out.request.work = static_cast<double>(*us) / 1e6;
  }
  out.request.is_repeat = fields.value[kClientRetry] == "1";
  write_upstream_head(head, fields, forwards_fencing_token_, upstream_request);
  upstream_request.retryable = class_settings.effect != quinceusher::Effect::kUnsafe;
  return out;
}

}  // namespace nettlestand
