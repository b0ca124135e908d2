// A node with one customer's settings among scripted clients, servers and discovery, and an interceptor that
// holds the node at a chosen moment.
#pragma once

#include <sys/stat.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/forms/world.h"

namespace nettlestand::testing {

// The settings of one customer. The tests must pass for each customer.
struct Customer {
  const char* name;
  const char *keyed, *unsafe, *tenant;  // names of its request classes and its tenant
  const char* group;                    // within which servers drop repeats
  bool pushed;                          // whether lists are pushed
  bool cancel;                          // whether abandoned work may be cancelled
  double give_up, window, ask_within;   // s
};

// Polled lists, long deadlines, one balancer.
inline constexpr Customer kMarks = {"marks", "mark", "close", "acme", "cell", false, true, 5, 4, 0.4};
// Pushed lists, mostly unsafe requests, deadlines under a second, zones, no cancellation.
inline constexpr Customer kBids = {"bids", "lot", "bid", "north", "all", true, false, 0.9, 0.5, 3};

inline void PrintTo(const Customer& customer, std::ostream* out) { *out << customer.name; }
inline std::string name_of_customer(const ::testing::TestParamInfo<Customer>& customer) {
  return customer.param.name;
}

// A world whose node has a customer's settings.
struct CustomerWorld : World {
  explicit CustomerWorld(const Customer& profile) : customer(profile) {}

  std::string config() const override {
    std::ostringstream out;
    out << R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" << discovery.port()
        << R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" << sockets << R"(,"memory_mb":)" << memory_mb
        << "}," << known << R"("settings":{"position":0,"peersTotal":)" << (customer.pushed ? 3 : 1)
        << R"(,"stage":1,"registryMode":")" << (customer.pushed ? "automatic" : "subscribe") << R"(","azs":)"
        << (customer.pushed ? R"(["b","a"],"zone":1)" : R"(["a"])") << R"(,"bounds":{"cancel":)"
        << (customer.cancel ? "true" : "false")
        << R"(,"maxAttempts":4,"retryAfter":true,"maxRetryAfter":1.0,"dialTimeout":)" << connect_timeout
        << R"(,"idleClose":)" << idle_close << R"(},"realms":[{"name":")" << customer.tenant
        << R"(","allowancePerS":1000}],"rules":{"askWithin":)" << customer.ask_within
        << R"(},"categories":[{"name":")" << customer.keyed << R"(","aim":)" << customer.give_up * 0.4
        << R"(,"giveUp":)" << customer.give_up << R"(,"lateWorth":0.5,"effect":"keyed","group":")"
        << customer.group << R"(","dedupWindow":)" << customer.window << R"(},{"name":")" << customer.unsafe
        << R"(","aim":)" << customer.give_up * 0.4 << R"(,"giveUp":)" << customer.give_up
        << R"(,"lateWorth":0.5,"effect":"unsafe"}]}})";
    return out.str();
  }
  void start() override {
    node =
        std::make_unique<NodeUnderTest>(config(), descriptors, std::vector<std::string>(), true, environment);
  }

  // Replaces the default class and tenant in a request by the customer's.
  std::string with_customer_names(const char* request_class, const std::string& text) const {
    std::string out = text;
    const auto put = [&out](const std::string& from, const std::string& to) {
      out.replace(out.find(from), from.size(), to);
    };
    put(std::string("Request-Class: ") + (request_class == customer.keyed ? "mark" : "close"),
        std::string("Request-Class: ") + request_class);
    put("Tenant: acme", std::string("Tenant: ") + customer.tenant);
    return out;
  }
  std::string keyed(const std::string& body = "question", const std::string& id = "r1") const {
    return with_customer_names(customer.keyed, request("mark", "", body, id));
  }
  std::string unsafe(const std::string& body = "question", const std::string& id = "r1") const {
    return with_customer_names(customer.unsafe, request("close", "", body, id));
  }
  // Waits until the node has processed everything that had arrived when this was called.
  void wait_until_caught_up() const { health(); }

  const Customer customer;
  rlim_t descriptors = 1024;
  std::vector<std::string> environment;
};

// Base of the test suites that run once per customer.
class CustomerTest : public ::testing::TestWithParam<Customer> {};

#ifdef CLOSE_INTERCEPTOR
// Holds a node at the moment when it ends a connection, by means of the library close_interceptor.cpp.
class CloseInterceptor {
 public:
  explicit CloseInterceptor(CustomerWorld& world) {
    std::string pattern = ::testing::TempDir() + "/close_interceptor_XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr || mkfifo((pattern + "/go").c_str(), 0600) != 0)
      throw std::runtime_error("no folder for the close interceptor");
    folder_ = pattern;
    world.environment = {"NETTLESTAND_CROSSING=" + folder_, std::string("LD_PRELOAD=") + CLOSE_INTERCEPTOR};
  }
  ~CloseInterceptor() {
    for (const char* name : {"/armed", "/held", "/go"}) std::remove((folder_ + name).c_str());
    rmdir(folder_.c_str());
  }
  CloseInterceptor(const CloseInterceptor&) = delete;
  CloseInterceptor& operator=(const CloseInterceptor&) = delete;

  // From now on, the first call that ends this connection blocks.
  void arm(const TcpConnection& client) const {
    std::ofstream(folder_ + "/armed.new") << client.local_port() << "\n";
    std::rename((folder_ + "/armed.new").c_str(), (folder_ + "/armed").c_str());
  }
  bool held() const { return access((folder_ + "/held").c_str(), F_OK) == 0; }
  void await() const {
    until([this] { return held(); });
  }
  void release() const { close(open((folder_ + "/go").c_str(), O_WRONLY | O_CLOEXEC)); }

 private:
  std::string folder_;
};
#endif

}  // namespace nettlestand::testing
