// Benchmark of reading a request as the HTTP servers of a node do: from received bytes to a call, by the
// number of additional headers.
#include <benchmark/benchmark.h>

#include "http/request_reader.h"

namespace {

namespace ns = nettlestand;

quinceusher::Settings settings() {
  quinceusher::Settings out;
  quinceusher::RequestClass safe;
  safe.aim = 0.5;
  safe.give_up = 2;
  safe.effect = quinceusher::Effect::kSafe;
  out.classes = {safe};
  out.tenants = {{1000}};
  return out;
}

void read_request(benchmark::State& state) {
  const ns::RequestValidator request_validator(settings(), {"lookup"}, {"acme"});
  ns::ByteBudget budget(1 << 20);
  ns::RequestReader reader(request_validator, budget, 0);
  std::string text =
      "GET /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n"
      "Request-Class: lookup\r\nTenant: acme\r\nCookie: user=7f3a9c21e0b4d655\r\nRequest-Timeout-Ms: 480\r\n";
  for (std::int64_t i = 0; i < state.range(0); ++i)
    text += "X-Other-" + std::to_string(i) + ": says nothing here\r\n";
  text += "\r\n";
  for (auto _ : state) {
    std::string in = text;
    if (reader.read(in) != ns::RequestReader::Step::kHead ||
        reader.read(in) != ns::RequestReader::Step::kRequest) {
      state.SkipWithError("not read");
      break;
    }
    benchmark::DoNotOptimize(reader.take_call(1.0));
    reader.reset();
  }
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(read_request)->Arg(0)->Arg(10)->Arg(40);

}  // namespace

BENCHMARK_MAIN();
