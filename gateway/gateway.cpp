#include "nettlestand/gateway.h"

#include <exception>
#include <utility>

#include "gateway/impl.h"
#include "nettlestand/asio.h"

extern "C" const int NETTLESTAND_BUILT_WITH_BOOST = BOOST_VERSION;

namespace nettlestand {
namespace {

class GatewayErrorCategory final : public std::error_category {
 public:
  const char* name() const noexcept override { return "nettlestand"; }
  std::string message(int code) const override {
    switch (static_cast<Errc>(code)) {
      case Errc::kBadOption:
        return "invalid option";
      case Errc::kUnknownClass:
        return "unknown request class";
      case Errc::kUnknownTenant:
        return "unknown tenant";
      case Errc::kBadRequest:
        return "invalid request";
      case Errc::kRequestIdInUse:
        return "a request with this id is open";
      case Errc::kBodyTooLong:
        return "the body is too long";
      case Errc::kStopping:
        return "the gateway is stopping";
      case Errc::kDutyNotHeld:
        return "the gateway does not hold the duty";
      case Errc::kFull:
        return "the gateway is at its limits";
    }
    return "unknown error " + std::to_string(code);
  }
};

// Opens a gateway on `loop`, or on a thread of its own if `loop` is null.
std::unique_ptr<Gateway> open_gateway(boost::asio::io_context* loop, Options&& options, Error& error) {
  ValidatedOptions validated;
  error = validate(options, validated);
  if (error) return nullptr;
  try {
    auto impl = std::make_shared<Gateway::Impl>(std::move(options), std::move(validated), loop);
    impl->start();
    return std::make_unique<Gateway>(std::move(impl));
  } catch (const std::bad_alloc&) {
    throw;
  } catch (const std::exception& problem) {  // settings that the decision module rejects, or no thread or
                                             // file descriptor available
    error = {Errc::kBadOption, problem.what()};
    return nullptr;
  }
}

}  // namespace

const std::error_category& gateway_category() noexcept {
  static const GatewayErrorCategory category;
  return category;
}

int Response::status() const {
  switch (outcome) {
    case Outcome::kServed:
      return 200;
    case Outcome::kRefused:
      return 503;
    case Outcome::kTimedOut:
      return 504;
    case Outcome::kCancelled:
      return 499;
    case Outcome::kInvalid:
      return error.code == Errc::kRequestIdInUse ? 409 : error.code == Errc::kBodyTooLong ? 413 : 400;
    case Outcome::kFailed:
    case Outcome::kShutDown:
      break;
  }
  return 502;
}

Gateway::Gateway(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}
Gateway::~Gateway() { impl_->close(); }

std::unique_ptr<Gateway> Gateway::open(Options options, Error& error) {
  return open_gateway(nullptr, std::move(options), error);
}
std::unique_ptr<Gateway> open_on_loop(boost::asio::io_context& loop, Options options, Error& error, int) {
  return open_gateway(&loop, std::move(options), error);
}

Ticket Gateway::submit(Request request, Completion done) {
  return impl_->submit(std::move(request), std::move(done));
}
Ticket Gateway::submit(HttpCall call, Completion done) {
  return impl_->submit(std::move(call), std::move(done));
}
bool Gateway::cancel(Ticket ticket) { return impl_->cancel(ticket); }
void Gateway::stop(UniqueFunction<void()> done) { impl_->stop(std::move(done)); }
void Gateway::expire_all() { impl_->expire_all(); }
bool Gateway::ready() const { return impl_->ready(); }
std::size_t Gateway::open_requests() const { return impl_->open_requests(); }
Error Gateway::set_servers(const std::vector<ServerOptions>& servers) { return impl_->set_servers(servers); }
std::uint64_t Gateway::duty_token(const std::string& duty) const { return impl_->duty_token(duty); }
void Gateway::report_duty_failure(const std::string& duty) { impl_->report_duty_failure(duty); }
Error Gateway::set_discovery_address(const std::string& address) {
  return impl_->set_discovery_address(address);
}

}  // namespace nettlestand
