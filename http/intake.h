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
#include "http/arena.h"
#include "http/payload.h"

namespace nettlestand {

// What a client is told that sent what can't be used; it reaches no server.
struct BadRequest {
  unsigned status;
  const char* what;
};

class Intake {
 public:
  using Head = boost::beast::http::header<true, Fields>;

  // The lines of a head that mean something here, found in one pass.
  enum Line : std::size_t {
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
    kLines
  };
  struct Lines {
    explicit Lines(const Head& head);
    std::array<std::string_view, kLines> value{};  // of the first one; views into the head
    std::array<std::size_t, kLines> count{};
  };

  // The names of the classes and tenants are in the order of the settings. `fencing`: a Fencing-Token, of a
  // request that is made under a duty, goes on to the server; else it means nothing here.
  Intake(const quinceusher::Settings& settings, const std::vector<std::string>& classes,
         const std::vector<std::string>& tenants, bool fencing = false);

  // Throws BadRequest for a head that leaves it open where its message ends.
  static void check_framing(const Head& head, const Lines& lines);

  // Throws BadRequest for a target or a Host that is none.
  static void check_address(const Head& head, const Lines& lines);

  // A request to /api, but for its body, the time at which it came and its cargo: what goes on to the server
  // is written to `out`. Throws BadRequest.
  Call read(const Head& head, const Lines& lines, Forward& out) const;

  static std::string_view path_of(const Head& head);

 private:
  std::map<std::string, std::size_t, std::less<>> classes_, tenants_;
  std::vector<quinceusher::RequestClass> class_facts_;
  const bool fencing_;
};

// Whether the bytes hold a header line that goes on in the next one, before the end of the head or trailers.
bool folded(std::string_view bytes);

}  // namespace nettlestand
