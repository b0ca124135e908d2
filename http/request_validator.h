// Validates requests: message framing, target, host and the protocol's header fields.
#pragma once

#include <array>
#include <boost/beast/http/message.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/engine.h"
#include "http/arena_parser.h"
#include "http/upstream_payload.h"

namespace nettlestand {

// The response to a request that is not accepted: a status and a text for its body, or nullptr for none. Such
// a request reaches no server.
struct RequestRejection {
  unsigned status;
  const char* what;
};

// Checks the head of a request and converts a call to /api into the core's form.
class RequestValidator {
 public:
  using Head = boost::beast::http::header<true, Fields>;

  // The header fields that this node interprets or forwards.
  enum FieldId : std::size_t {
    kRequestId,
    kRequestClass,
    kTenant,
    kRequestTimeout,
    kIdempotencyKey,
    kClientRetry,
    kWorkHint,
    kRequestInfo,
    kFencingToken,
    kHost,
    kCookie,
    kContentType,
    kContentLength,
    kTransferEncoding,
    kExpect,
    kFieldCount
  };
  // The values of those fields, collected in one pass over the head.
  struct FieldValues {
    explicit FieldValues(const Head& head);
    std::array<std::string_view, kFieldCount> value{};  // of the first occurrence; views into the head
    std::array<std::size_t, kFieldCount> count{};
  };

  // The names of the classes and tenants are in the order of the settings. `forward_fencing_token`: whether
  // the Fencing-Token of a request made under a lease is forwarded to the server; otherwise it is ignored.
  RequestValidator(const quinceusher::Settings& settings, const std::vector<std::string>& classes,
                   const std::vector<std::string>& tenants, bool forward_fencing_token = false);

  // Throws RequestRejection if the head doesn't determine unambiguously where its message ends.
  static void check_framing(const Head& head, const FieldValues& fields);

  // Throws RequestRejection if the target or the Host is invalid.
  static void check_target_and_host(const Head& head, const FieldValues& fields);

  // Converts the head of a request to /api and writes the head for the server to `upstream_request`. Sets
  // everything but the body, the time of receipt and the payload. Throws RequestRejection.
  Call read_call(const Head& head, const FieldValues& fields, UpstreamRequest& upstream_request) const;

  // The target without its query.
  static std::string_view path_of(const Head& head);

 private:
  std::map<std::string, std::size_t, std::less<>> classes_, tenants_;
  std::vector<quinceusher::RequestClass> class_settings_;
  const bool forwards_fencing_token_;
};

// Whether a header line is folded (continued on the next line) before the end of the head or trailers.
bool has_folded_line(std::string_view bytes);

}  // namespace nettlestand
