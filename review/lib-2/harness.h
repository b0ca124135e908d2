// What the scripts of the second review share: a small serving tier of real processes on loopback addresses,
// stand-ins for the platform and the servers, and a plain HTTP/1.1 client. Uses nothing of the project's
// code.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

// Milliseconds since the program began.
long now_ms();
void sleep_ms(long ms);

// Writes a line with its time to the file that RECORD names, and to standard output.
void note(const std::string& line);

// Whether the disruption is on: off with TROUBLE=0.
bool trouble();

// An answer as a client sees it. status 0: no whole answer.
struct Answer {
  int status = 0;
  std::string head, body, error;
  std::string header(const std::string& name) const;
};

// A client's connection. Reads answers by the rules of HTTP/1.1.
class Connection {
 public:
  explicit Connection(const std::string& address, long timeout_ms = 1000);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  bool is_open() const { return fd_ >= 0; }
  Answer exchange(const std::string& method, const std::string& target, const Headers& headers,
                  const std::string& body, long timeout_ms);
  // Bytes that are there, or come within this time, though no request waits for an answer.
  std::string unasked_bytes(long wait_ms);

 private:
  bool more(long until);
  int fd_ = -1;
  std::string buffer_;
};

// One call on a new connection.
Answer call(const std::string& address, const std::string& method, const std::string& target,
            const Headers& headers, const std::string& body, long timeout_ms);

// A request as a stand-in server got it.
struct Request {
  std::string method, target, body;
  Headers headers;
  std::string header(const std::string& name) const;
};

// A server that serves each connection on a thread of its own, until it is stopped. The handler returns the
// bytes of the whole answer; the connection is closed after one that says so.
class Server {
 public:
  using Handler = std::function<std::string(const Request&)>;
  Server(const std::string& address, Handler handler);
  ~Server();
  const std::string& address() const { return address_; }

 private:
  void serve(int fd);
  std::string address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread acceptor_;
};

std::string answer_bytes(int status, const Headers& headers, const std::string& body);

// Size of the tier and the settings that a case needs.
struct TierSize {
  int core = 3, plain = 1, stores = 3;
  int servers = 2;  // of the service "models"
  int others = 0;   // of the service "other"
};

struct ModelServer {
  std::string id, service;
  std::unique_ptr<Server> server;
};

// A request that a server has run.
struct Run {
  std::string id, target, service;
};

class Tier {
 public:
  explicit Tier(const TierSize& size);
  ~Tier();
  Tier(const Tier&) = delete;
  Tier& operator=(const Tier&) = delete;
  // Ends all processes and removes the folder, from any thread; for a program that ends at once.
  void abandon();

  // Nodes are numbered: core machines first, the other edges, the stores.
  int edges() const { return size_.core + size_.plain; }
  int store(int i) const { return edges() + i; }
  int nodes() const { return edges() + size_.stores; }
  const std::string& name(int node) const { return nodes_[static_cast<std::size_t>(node)].name; }
  void start(int node, bool bootstrap);
  void start_all();
  void kill(int node);  // SIGKILL
  void wipe(int node);  // its disk, while it is down
  bool is_running(int node);
  // How many processes have ended by themselves.
  int ended_by_themselves() const { return ended_; }

  std::string front(int node) const;
  std::string ready(int node) const;
  std::string control(int node) const;
  bool is_ready(int node) const;
  bool wait_ready(long limit_ms) const;
  // Sends an order until it is decided; the status of the last answer.
  int order(const std::string& path, std::uint64_t base, const std::string& body, long limit_ms,
            long call_ms = 1000) const;

  // The runs of requests at the servers so far, by request id.
  std::map<std::string, int> runs() const;
  int runs_of(const std::string& id) const;
  std::vector<Run> all_runs() const;
  // What the servers answer instead of a stream; nothing: the usual.
  void set_special(std::function<std::string(const Request&)> special);
  // Whether the requests that the servers get are left out of the record.
  void set_quiet(bool quiet) { quiet_ = quiet; }

 private:
  struct Node {
    std::string name, role, ip, folder;
    bool has_disk = false;
    int pid = 0;
  };
  std::string serve(const Request& request, const std::string& instance, const std::string& service);
  std::string instances() const;
  void write_settings(const Node& node, bool bootstrap) const;

  TierSize size_;
  std::string folder_, prefix_;
  int front_port_ = 0, ready_port_ = 0, control_port_ = 0, internal_port_ = 0, server_port_ = 0;
  std::map<std::string, std::string> commands_;  // of the deploy file, by role
  std::vector<Node> nodes_;
  std::unique_ptr<Server> platform_;
  std::vector<ModelServer> servers_;
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
  std::vector<Run> all_runs_;
  std::function<std::string(const Request&)> special_;
  std::atomic<bool> quiet_{false};
  int ended_ = 0;
};

// The configuration that the cases begin with: the routes of a small deployment on "models".
std::string configuration(int generation, const std::string& tenants, const std::string& more_routes = "");

// Ends the program: 1 if the rule was broken, 0 if it held.
int verdict(bool broken, const std::string& what);
// Ends the program at once with 2: the case couldn't run. Also called when its time is up, after 115 s.
[[noreturn]] void cannot_run(const std::string& why);

}  // namespace review
