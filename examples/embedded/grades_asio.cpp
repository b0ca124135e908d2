// A gateway on an application's own Boost.Asio loop: everything runs on one thread, and one of two requests
// is cancelled. Usage: grades_asio ADDRESS [ADDRESS...]
#include <cstdio>
#include <string>

#include "nettlestand/asio.h"

namespace ns = nettlestand;

int main(int argc, char** argv) {
  boost::asio::io_context loop(1);
  ns::Options options;
  ns::ClassOptions lookup;
  lookup.name = "lookup";
  lookup.effect = ns::Effect::kSafe;
  options.classes = {lookup};
  for (int i = 1; i < argc; ++i) {
    ns::ServerOptions server;
    server.name = server.address = argv[i];
    options.servers.push_back(server);
  }
  ns::Error error;
  auto gateway = ns::open_on(loop, options, error);
  if (!gateway) {
    std::fprintf(stderr, "grades_asio: %s\n", error.text.c_str());
    return 2;
  }
  ns::Request request;
  request.request_class = "lookup";
  int served = 0, cancelled = 0;
  const ns::Ticket ticket = gateway->submit(
      request, [&](ns::Response response) { cancelled += response.outcome == ns::Outcome::kCancelled; });
  gateway->cancel(ticket);
  ns::async_submit(*gateway, loop, request, [&](ns::Response response) {
    served += response.outcome == ns::Outcome::kServed;
    gateway->stop([&] { gateway.reset(); });  // the loop then runs out of work
  });
  loop.run();
  std::printf("%d served, %d cancelled\n", served, cancelled);
  return served == 1 && cancelled == 1 ? 0 : 1;
}
