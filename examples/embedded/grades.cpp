// A service with a gateway in its own process: it sends a lookup and an unsafe request to the servers. Usage:
// grades ADDRESS [ADDRESS...], the servers' addresses and ports. Requires only the library and the standard
// library.
#include <cstdio>
#include <future>
#include <string>
#include <vector>

#include "nettlestand/gateway.h"

namespace ns = nettlestand;

namespace {

ns::Options options_for(const std::vector<std::string>& addresses) {
  ns::Options options;
  ns::ClassOptions lookup, close;
  lookup.name = "lookup";
  lookup.effect = ns::Effect::kSafe;
  close.name = "test-close";
  close.effect = ns::Effect::kUnsafe;  // never retried once it may have run
  close.deadline = std::chrono::seconds(3);
  options.classes = {lookup, close};
  for (const std::string& address : addresses) {
    ns::ServerOptions server;
    server.name = "marks-" + address;
    server.address = address;
    options.servers.push_back(server);
  }
  options.sockets = 32;  // number of this process's file descriptors that the gateway may use
  options.memory = 16 * 1024 * 1024;
  options.logger = [](std::string_view line) {
    std::fprintf(stderr, "gateway: %.*s\n", static_cast<int>(line.size()), line.data());
  };
  return options;
}

int run(const std::vector<std::string>& addresses) {
  ns::Error error;
  const auto gateway = ns::Gateway::open(options_for(addresses), error);
  if (!gateway) {
    std::fprintf(stderr, "grades: %s (%s)\n", error.text.c_str(), error.code.message().c_str());
    return 2;
  }
  int served = 0;
  for (const char* name : {"lookup", "test-close"}) {
    ns::Request request;
    request.request_class = name;
    request.timeout = std::chrono::milliseconds(2500);
    if (request.request_class == "test-close") request.body = "candidate=4711";
    std::promise<ns::Response> answered;  // the completion runs once, on the gateway's thread
    gateway->submit(std::move(request),
                    [&](ns::Response response) { answered.set_value(std::move(response)); });
    const ns::Response response = answered.get_future().get();
    switch (response.outcome) {
      case ns::Outcome::kServed:
        ++served;
        std::printf("%s: served, %zu bytes\n", name, response.body.size());
        break;
      case ns::Outcome::kRefused:
        std::printf("%s: refused, nothing has run; again in %lld ms\n", name,
                    static_cast<long long>(response.retry_after.count() / 1000));
        break;
      default:
        std::printf("%s: failed (%d): it may have run\n", name, response.status());
    }
  }
  std::promise<void> stopped;
  gateway->stop([&] { stopped.set_value(); });
  stopped.get_future().get();
  return served == 2 ? 0 : 1;
}

}  // namespace

#ifdef GRADES_PLUGIN
extern "C" __attribute__((visibility("default"))) int grades(int count, const char* const* addresses) {
  return run({addresses, addresses + count});
}
#else
int main(int argc, char** argv) { return run({argv + 1, argv + argc}); }
#endif
