// nettlestand-load: the load generator as a standalone program.
#include <cstdio>
#include <exception>
#include <stdexcept>
#include <string>
#include <vector>

#include "standins/callers/load.h"
#include "standins/common/options.h"

namespace {

namespace si = nettlestand::standins;

constexpr const char* kUsage =
    R"(nettlestand-load: callers of nodes on 127.0.0.1; prints one JSON object

  --target PORT      a node; may come several times: calls are dealt out in turn
  --callers N        closed loop: callers, each with a connection (16)
  --rate R           open loop: calls/s with Poisson arrivals, in place of the closed loop
  --most N           connections that the open loop may hold (4000)
  --seconds S        in which calls begin (1)
  --warm-up S        at the start, not counted (0)
  --calls N          calls in all; 0: no limit (0)
  --class SPEC       NAME,EFFECT[,share=1][,timeout=2][,aim=0][,body=0]; EFFECT: safe, keyed, unsafe;
                     timeout and aim in s, body in bytes; may come several times (safe,safe)
  --tenant SPEC      NAME[,share=1]; may come several times (acme)
  --flood SPEC       TENANT,TIMES,FROM,UNTIL: calls TIMES as often from FROM to UNTIL s; may come often
  --keep-alive B     1 or 0: a connection for each call (1)
  --patience S       that a caller waits beyond the time-out (0)
  --path P           (/api)
  --seed N           (1)

Each call counts in one of served (200 with the body for this call), refused (429 or 503), failed, timed_out
and unsent; late is a part of served. Latencies count from when a call was due. Per tenant and per class.
)";

std::vector<std::string> fields(const std::string& text, std::size_t least, const std::string& option) {
  std::vector<std::string> out = si::Options::split(text, ',');
  if (out.size() < least) throw std::invalid_argument("--" + option + " '" + text + "' has too few fields");
  return out;
}

// Parses a field of the form NAME=NUMBER; returns the number and stores the name.
double value(const std::string& field, const std::string& option, std::string* name) {
  const std::vector<std::string> pair = si::Options::split(field, '=');
  if (pair.size() != 2) throw std::invalid_argument("--" + option + ": '" + field + "' is not NAME=VALUE");
  *name = pair[0];
  return si::Options::to_number(pair[1], pair[0]);
}

si::LoadClass read_class(const std::string& text) {
  const std::vector<std::string> parts = fields(text, 2, "class");
  si::LoadClass out;
  out.name = parts[0];
  if (parts[1] == "keyed") {
    out.effect = si::CallEffect::kKeyed;
  } else if (parts[1] == "unsafe") {
    out.effect = si::CallEffect::kUnsafe;
  } else if (parts[1] != "safe") {
    throw std::invalid_argument("--class: '" + parts[1] + "' is not safe, keyed or unsafe");
  }
  for (std::size_t i = 2; i < parts.size(); ++i) {
    std::string name;
    const double number = value(parts[i], "class", &name);
    if (name == "share") {
      out.share = number;
    } else if (name == "timeout") {
      out.timeout = number;
    } else if (name == "aim") {
      out.latency_target = number;
    } else if (name == "body") {
      out.body_bytes = static_cast<std::size_t>(number);
    } else {
      throw std::invalid_argument("--class: no '" + name + "'");
    }
  }
  return out;
}

si::LoadSettings read(const si::Options& options) {
  si::LoadSettings out;
  for (const std::string& target : options.all("target")) {
    out.targets.push_back({"n" + std::to_string(out.targets.size() + 1),
                           static_cast<int>(si::Options::to_number(target, "--target"))});
  }
  if (options.has("class")) out.classes.clear();
  for (const std::string& text : options.all("class")) out.classes.push_back(read_class(text));
  if (options.has("tenant")) out.tenants.clear();
  for (const std::string& text : options.all("tenant")) {
    const std::vector<std::string> parts = fields(text, 1, "tenant");
    std::string name;
    out.tenants.push_back({parts[0], parts.size() > 1 ? value(parts[1], "tenant", &name) : 1});
  }
  for (const std::string& text : options.all("flood")) {
    const std::vector<std::string> parts = fields(text, 4, "flood");
    const auto number = [&](std::size_t i) { return si::Options::to_number(parts[i], "--flood"); };
    out.floods.push_back({parts[0], number(1), number(2), number(3)});
  }
  out.rate = options.number("rate", 0);
  out.callers = static_cast<std::size_t>(options.number("callers", 16));
  out.max_connections = static_cast<std::size_t>(options.number("most", 4000));
  out.seconds = options.number("seconds", 1);
  out.warm_up = options.number("warm-up", 0);
  out.calls = static_cast<std::uint64_t>(options.number("calls", 0));
  out.keep_alive = options.number("keep-alive", 1) != 0;
  out.extra_wait = options.number("patience", 0);
  out.path = options.text("path", "/api");
  out.seed = static_cast<std::uint64_t>(options.number("seed", 1));
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 2 && std::string(argv[1]) == "--help") return std::fputs(kUsage, stdout) < 0 ? 1 : 0;
  try {
    const si::Options options(argc, argv,
                              {"target", "callers", "rate", "most", "seconds", "warm-up", "calls", "class",
                               "tenant", "flood", "keep-alive", "patience", "path", "seed"});
    std::printf("%s\n", si::run_load(read(options)).json().c_str());
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand-load: %s\n", problem.what());
    return 2;
  }
}
