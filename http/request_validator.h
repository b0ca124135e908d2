// Which requests can be used: how they are framed and what their headers say.
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

// What a client is told that sent what can't be used; it reaches no server.
struct RequestRejection {
  unsigned status;
  const char* what;
};

class RequestValidator {
 public:
  using Head = boost::beast::http::header<true, Fields>;

  // The lines of a head that mean something here, found in one pass.
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
  struct FieldValues {
    explicit FieldValues(const Head& head);
    std::array<std::string_view, kFieldCount> value{};  // of the first one; views into the head
    std::array<std::size_t, kFieldCount> count{};
  };

  // The names of the classes and tenants are in the order of the settings. `fencing`: a Fencing-Token, of a
  // request that is made under a duty, goes on to the server; else it means nothing here.
  RequestValidator(const quinceusher::Settings& settings, const std::vector<std::string>& classes,
                   const std::vector<std::string>& tenants, bool forward_fencing_token = false);

  // Throws RequestRejection for a head that leaves it open where its message ends.
  static void check_framing(const Head& head, const FieldValues& fields);

  // Throws RequestRejection for a target or a Host that is none.
  static void check_target_and_host(const Head& head, const FieldValues& fields);

  // A request to /api, but for its body, the time at which it came and its cargo: what goes on to the server
  // is written to `upstream_request`. Throws RequestRejection.
  Call read_call(const Head& head, const FieldValues& fields, UpstreamRequest& upstream_request) const;

  static std::string_view path_of(const Head& head);

 private:
  std::map<std::string, std::size_t, std::less<>> classes_, tenants_;
  std::vector<quinceusher::RequestClass> class_settings_;
  const bool forwards_fencing_token_;
};

// Whether the bytes hold a header line that goes on in the next one, before the end of the head or trailers.
bool has_folded_line(std::string_view bytes);

}  // namespace nettlestand
