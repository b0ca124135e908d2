// Test fixture: a node (the daemon or an embedding application) with scripted callers, servers and discovery.
#pragma once

#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "tests/node_harness.h"

namespace nettlestand::testing {

inline bool has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline std::string with_length(const std::string& head, const std::string& body) {
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string head(const std::string& request_class, const std::string& id = "r1") {
  return "POST /api?x=1 HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + id +
         "\r\nRequest-Class: " + request_class + "\r\nTenant: acme\r\n" +
         (request_class == "mark" ? "Idempotency-Key: k1\r\n" : "");
}

inline std::string request(const std::string& request_class, const std::string& more = "",
                           const std::string& body = "question", const std::string& id = "r1") {
  return with_length(head(request_class, id) + more, body);
}

// A request with `lines` in place of its usual Host header.
inline std::string hosted(const std::string& lines) {
  std::string out = request("close");
  const std::string usual = "Host: service.internal\r\n";
  return out.replace(out.find(usual), usual.size(), lines);
}

// A request for the given target and HTTP version.
inline std::string targeted(const std::string& target, const std::string& version = "1.1") {
  std::string out = request("close");
  return out.replace(0, out.find('\r'), "POST " + target + " HTTP/" + version);
}

inline std::string ok(const std::string& body = "answer") { return with_length("HTTP/1.1 200 OK\r\n", body); }

inline std::string host(const std::string& name, int port, const std::string& health = "active",
                        int born = 0) {
  return R"({"host":")" + name + R"(","dial":"127.0.0.1:)" + std::to_string(port) +
         R"(","site":"a","class":"m","block":0,"health":")" + health + R"(","share":1.0,"born_ms":)" +
         std::to_string(born) + "}";
}

inline std::string list(int seq, bool whole, const std::string& hosts) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"whole":)" + (whole ? "true" : "false") + R"(,"hosts":[)" +
         hosts + "]}\n";
}

inline std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

inline const char* const kWatchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string repeated(const std::string& text, int times) {
  std::string out;
  for (int i = 0; i < times; ++i) out += text;
  return out;
}

// Pads a message head to `size` bytes with header lines of `line` bytes.
inline std::string filled(std::string head, std::size_t size, std::size_t line) {
  size -= 2;
  while (head.size() < size) {
    const std::size_t left = size - head.size();
    head += "X: " + std::string((left < line + 6 ? left : line) - 5, 'y') + "\r\n";
  }
  return head + "\r\n";
}

// Sends `text` split at `cut`; the second part follows once the peer has read the first.
inline void send_cut(const TcpConnection& to, const std::string& text, std::size_t cut) {
  to.send(text.substr(0, cut));
  if (cut == text.size()) return;
  to.wait_until_read();
  to.send(text.substr(cut));
}

// Split positions for a message head: near both ends, around common parser buffer sizes, and regularly
// between.
inline std::vector<std::size_t> cuts_of(std::size_t size) {
  std::vector<std::size_t> out = {size, 1, 2, 15, 16, 17, 18, 4096};
  for (std::size_t at = size - 5; at < size; ++at) out.push_back(at);
  for (std::size_t at = 8187; at < 8200 && at < size; ++at) out.push_back(at);
  for (std::size_t at = 1009; at < size; at += 1009) out.push_back(at);
  return out;
}

// The program under test and the label that appears in test names.
struct Form {
  const char* name;
  const char* binary;
};
inline void PrintTo(const Form& form, std::ostream* out) { *out << form.name; }
inline std::string name_of_form(const ::testing::TestParamInfo<Form>& form) { return form.param.name; }

class OfForm : public ::testing::TestWithParam<Form> {
 protected:
  void SetUp() override { node_binary() = GetParam().binary; }
};

// A node above tier 0, so that it forwards every request, with the scripted peers around it.
struct World {
  TcpListener discovery;
  std::array<TcpListener, 2> servers;
  double connect_timeout = 0.25, idle_close = 5;
  int sockets = 1024, memory_mb = 64;
  std::string known;
  std::unique_ptr<NodeUnderTest> node;
  TcpConnection watch;

  World() = default;
  virtual ~World() = default;
  virtual std::string config() const {
    std::ostringstream out;
    out << R"({"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" << discovery.port()
        << R"(","seed":"8c1f30d27a5be964","limits":{"sockets":)" << sockets << R"(,"memory_mb":)" << memory_mb
        << "}," << known
        << R"("settings":{"position":0,"peersTotal":1,"stage":1,"registryMode":"subscribe","azs":["a"],)"
        << R"("bounds":{"cancel":true,"maxAttempts":4,"retryAfter":true,"maxRetryAfter":2.0,"dialTimeout":)"
        << connect_timeout << R"(,"idleClose":)" << idle_close << "},"
        << R"("realms":[{"name":"acme","allowancePerS":1000}],"rules":{"askWithin":0.4},"categories":[)"
        << R"({"name":"mark","aim":2,"giveUp":5,"lateWorth":0.5,"effect":"keyed",)"
        << R"("group":"cell","dedupWindow":4},)"
        << R"({"name":"close","aim":2,"giveUp":5,"lateWorth":0.5,"effect":"unsafe"}]}})";
    return out.str();
  }
  virtual void start() { node = std::make_unique<NodeUnderTest>(config()); }
  std::string take_watch() {
    watch = discovery.accept();
    std::string asked = watch.message();
    watch.send(kWatchHead);
    return asked;
  }
  void tell(const std::string& line) { watch.send(chunk(line)); }
  std::string both() const { return host("s0", servers[0].port()) + "," + host("s1", servers[1].port()); }
  // Starts the node with the given servers and waits until it is ready.
  void serve(const std::string& hosts) {
    start();
    take_watch();
    tell(list(7, true, hosts));
    await_ready();
  }
  void await_ready() const {
    until([&] { return has(health(), " 200 "); });
  }
  std::string health() const {
    TcpConnection caller = client();
    caller.send("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.message();
  }
  TcpConnection client() const { return TcpConnection::to(node->port()); }
  // Accepts the connection of the next request, at whichever server it arrives.
  TcpConnection next() const { return TcpListener::accept_either(servers[0], servers[1]); }
};

}  // namespace nettlestand::testing
