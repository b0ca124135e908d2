// Clients of the soak test. A client of live requests keeps its connection until the node closes it, then
// connects to a random node.
#pragma once

#include <atomic>
#include <cstdint>
#include <random>
#include <string>

#include "soak/oracle.h"
#include "standins/tier/tier_world.h"

namespace nettlestand::tier::soak {

constexpr const char* kTenant = "t";
constexpr const char* kHost = "h.example";
// API keys of the only tenant. The permanent key is never revoked; the temporary one is added and revoked by
// configuration changes.
constexpr const char* kPermanentKey = "k-lasting";
constexpr const char* kTemporaryKey = "k-passing";

// State that all clients share.
struct ClientContext {
  const standins::TierWorld& world;
  Oracle& oracle;
  const std::atomic<bool>& stopping;
};

// Sends live (interactive) requests, one at a time.
class LiveClient {
 public:
  LiveClient(ClientContext context, std::uint64_t number, std::uint64_t seed)
      : context_(context), random_(seed), number_(number) {}
  void run();

 private:
  bool connect();
  bool connect_to(std::size_t node);
  void request_once();
  // Makes one attempt and reports its outcome.
  standins::HttpResult send(const LiveRequest& request);
  void check_served(const LiveRequest& request, const standins::HttpResult& answer);
  // Prepares the next attempt of a request that was refused: waits, connects again, and sometimes takes a new
  // id. False if there is none.
  bool prepare_retry(LiveRequest& request, const standins::HttpResult& refusal);
  std::string next_id();
  LiveRequest next_request();
  std::string encode_request(const LiveRequest& request, bool chunked) const;
  // A random number in [0, bound).
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  ClientContext context_;
  std::mt19937_64 random_;
  std::uint64_t number_, last_request_number_ = 0;
  std::size_t node_ = 0;
  standins::PersistentConnection connection_;
};

// Submits batch jobs, reads their results and item bodies through any edge node, and ends some of them, each
// twice.
class JobClient {
 public:
  JobClient(ClientContext context, std::uint64_t number, std::uint64_t seed)
      : context_(context), random_(seed), number_(number) {}
  void run();
  // Reads all unfinished jobs until they are finished. Returns false if some are not within `timeout`.
  bool finish(Millis timeout);

 private:
  void submit();
  void read(const SubmittedJob& job);
  void read_item_body(const SubmittedJob& job);
  void end(const SubmittedJob& job);
  standins::HttpResult call(const std::string& method, const std::string& target, const std::string& id,
                            const std::string& body);
  std::uint64_t random_below(std::uint64_t bound) { return random_() % bound; }

  ClientContext context_;
  std::mt19937_64 random_;
  std::uint64_t number_, last_job_number_ = 0;
};

}  // namespace nettlestand::tier::soak
