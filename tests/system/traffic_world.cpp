#include "traffic_world.h"

#include <utility>

#include "base/digest.h"
#include "listed_servers.h"

namespace nettlestand::tier::traffic {
namespace {

constexpr StoreId kReplicaDisk = 8, kOtherStoreDisk = 7;
const std::string kReplica = "10.0.0.8:7000", kOtherStore = "10.0.0.7:7000";
constexpr std::size_t kServers = 4;
constexpr std::uint32_t kSlots = 16;
constexpr Millis kStepMs = 15;
constexpr int kFaultySteps = 60, kMaxFaultFreeSteps = 1500;
constexpr std::size_t kLiveBodyBytes = 400;

const std::string kOtherServer = "10.9.1.1:80";  // the only server of the service "other"

// Where a configuration leads the route for batch jobs.
struct JobsRoute {
  std::string prefix, service;
};
const JobsRoute kJobsRoute = {"/jobs/", "s"}, kMovedJobsRoute = {"/night/", "other"};

const std::string kServicesAndLiveRoutes =
    "\"services\":[{\"name\":\"s\"},{\"name\":\"other\"}],"
    "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}],\"routes\":["
    "{\"name\":\"once\",\"hostname\":\"h.example\",\"path_prefix\":\"/once/\",\"service\":\"s\","
    "\"timeout_ms\":60000,\"target_latency_ms\":300,\"route_class\":\"non_idempotent\",\"max_attempts\":3},"
    "{\"name\":\"again\",\"hostname\":\"h.example\",\"path_prefix\":\"/again/\",\"service\":\"s\","
    "\"timeout_ms\":60000,\"target_latency_ms\":300,\"route_class\":\"idempotent\",\"max_attempts\":3},"
    "{\"name\":\"stream\",\"hostname\":\"h.example\",\"path_prefix\":\"/stream/\",\"service\":\"s\","
    "\"timeout_ms\":60000,\"target_latency_ms\":300,\"route_class\":\"streaming\",\"max_attempts\":3,"
    "\"resumable\":true,\"gap_aim_ms\":150},"
    "{\"name\":\"stream-once\",\"hostname\":\"h.example\",\"path_prefix\":\"/stream-once/"
    "\",\"service\":\"s\","
    "\"timeout_ms\":60000,\"target_latency_ms\":300,\"route_class\":\"streaming\",\"max_attempts\":3,"
    "\"gap_aim_ms\":150},";

std::string configuration(std::uint64_t generation, const JobsRoute& jobs) {
  return "{\"generation\":" + std::to_string(generation) + "," + kServicesAndLiveRoutes +
         "{\"name\":\"jobs\",\"hostname\":\"h.example\",\"path_prefix\":\"" + jobs.prefix +
         "\",\"service\":\"" + jobs.service +
         "\",\"timeout_ms\":60000,\"target_latency_ms\":300,\"route_class\":\"batch\",\"max_attempts\":50,"
         "\"max_wait_s\":6000}]}";
}

// The only service to which any configuration leads a path.
std::string service_of(const std::string& target) {
  return target.starts_with(kMovedJobsRoute.prefix) ? kMovedJobsRoute.service : kJobsRoute.service;
}

std::string event_of(const std::string& id, std::size_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + id + " " + std::to_string(number) + "\n\n";
}

std::string expected_events(const std::string& id, std::size_t from) {
  std::string out;
  for (std::size_t n = from; n <= kEventsPerStream; ++n) out += event_of(id, n);
  return out;
}

std::string expected_text(const std::string& id) {
  std::string out;
  for (std::size_t n = 1; n <= kEventsPerStream; ++n)
    out += (n > 1 ? "\n" : "") + id + " " + std::to_string(n);
  return out;
}

// Request line and headers of a serialized request.
struct ParsedHead {
  std::string method, target;
  std::map<std::string, std::string> headers;
  std::size_t size = 0;
};

ParsedHead parse_head(const std::string& bytes) {
  ParsedHead out;
  out.size = bytes.find("\r\n\r\n") + 4;
  const std::size_t first = bytes.find(' '), second = bytes.find(' ', first + 1);
  out.method = bytes.substr(0, first);
  out.target = bytes.substr(first + 1, second - first - 1);
  std::size_t at = bytes.find("\r\n") + 2;
  while (at < out.size - 2) {
    const std::size_t end = bytes.find("\r\n", at), colon = bytes.find(": ", at);
    out.headers[bytes.substr(at, colon - at)] = bytes.substr(colon + 2, end - colon - 2);
    at = end + 2;
  }
  return out;
}

// What a fake server does with a request.
enum class Behaviour {
  kNoConnection,
  kClosesBeforeRequest,
  kClosesAfterRequest,
  kRejects,
  kMisdirects,
  kHangs,
  kClosesInHead,
  kFails,
  kClosesInBody,
  kHangsInBody,
  kClosesWithoutLength,  // in the body, which has no length; of a stream within an event or before the first
                         // one
  kAnswers
};

Behaviour random_behaviour(World& world) {
  if (world.is_fault_free() || world.chance(35)) return Behaviour::kAnswers;
  return static_cast<Behaviour>(world.random_below(static_cast<std::uint64_t>(Behaviour::kAnswers) + 1));
}

// A connection to a fake server with one behaviour.
class FakeConnection : public UpstreamConnection {
 public:
  FakeConnection(World& world, std::string service, Behaviour behaviour)
      : world_(world), service_(std::move(service)), behaviour_(behaviour) {}

  asio::awaitable<bool> send(OutgoingRequest request, Millis, bool& sent) override {
    id_ = request.id;
    if (world_.is_known(id_) && world_.sent_request(id_).client_gone)
      world_.fail("request sent after its client disconnected: " + id_);
    co_await world_.yield_randomly();
    if (cancelled_ || behaviour_ == Behaviour::kClosesBeforeRequest) co_return false;
    sent = true;
    const bool is_rejected = behaviour_ == Behaviour::kRejects || behaviour_ == Behaviour::kMisdirects;
    world_.on_arrival(id_, service_, request, !is_rejected);
    const ParsedHead head = parse_head(request.bytes);
    is_stream_ = world_.sent_request(id_).is_item || head.target.starts_with("/stream");
    const auto last = head.headers.find("Last-Event-Id");
    const std::size_t from = last == head.headers.end() ? 1 : std::stoul(last->second) + 1;
    if (!is_rejected && behaviour_ != Behaviour::kFails) {
      body_ = is_stream_ ? expected_events(id_, from)
                         : "answer to " + id_ + " " + std::to_string(world_.random_below(1000));
      end_of_unframed_ = is_stream_ ? cut_within_event() : body_.size();
      const bool is_whole =
          behaviour_ == Behaviour::kAnswers ||
          (behaviour_ == Behaviour::kClosesWithoutLength && end_of_unframed_ == body_.size());
      if (is_whole) world_.sent_request(id_).response_bodies.insert(body_);
    }
    co_return behaviour_ != Behaviour::kClosesAfterRequest;
  }

  asio::awaitable<Read> read_head(ResponseHead& head, Millis) override {
    co_await world_.yield_randomly();
    if (cancelled_ || behaviour_ == Behaviour::kClosesInHead) co_return Read::kBroken;
    if (behaviour_ == Behaviour::kHangs) co_return Read::kTimedOut;
    head.status = 200;
    if (behaviour_ == Behaviour::kRejects) head.status = 503;
    if (behaviour_ == Behaviour::kMisdirects) head.status = 421;
    if (behaviour_ == Behaviour::kFails) head.status = 500;
    head.not_executed = behaviour_ == Behaviour::kRejects;
    head.is_event_stream = is_stream_ && head.status == 200;
    head.headers.emplace_back("X-Response-Signature", "of " + id_);
    co_return Read::kOk;
  }

  asio::awaitable<Read> read_some(std::string& bytes, Millis) override {
    bytes.clear();
    co_await world_.yield_randomly();
    if (cancelled_) co_return Read::kBroken;
    if (behaviour_ == Behaviour::kClosesWithoutLength && read_ == end_of_unframed_) co_return Read::kClosed;
    if (read_ == body_.size()) {
      complete_ = true;
      co_return Read::kComplete;
    }
    const bool stops = behaviour_ == Behaviour::kClosesInBody || behaviour_ == Behaviour::kHangsInBody;
    if (stops && world_.chance(40)) {
      co_return behaviour_ == Behaviour::kClosesInBody ? Read::kBroken : Read::kTimedOut;
    }
    // A server that stops midway never sends the last byte.
    std::size_t left = body_.size() - read_ - (stops ? 1 : 0);
    if (behaviour_ == Behaviour::kClosesWithoutLength) left = end_of_unframed_ - read_;
    if (left == 0) co_return Read::kBroken;
    bytes = body_.substr(read_, 1 + world_.random_below(left));
    read_ += bytes.size();
    co_return Read::kOk;
  }

  void cancel() override { cancelled_ = true; }
  bool is_reusable() const override { return complete_; }

 private:
  // A random place in the stream that doesn't lie between two events.
  std::size_t cut_within_event() {
    for (;;) {
      const std::size_t at = world_.random_below(body_.size() + 1);
      const bool is_between = at >= 2 && at < body_.size() && body_.compare(at - 2, 2, "\n\n") == 0;
      if (!is_between) return at;
    }
  }

  World& world_;
  std::string service_;
  Behaviour behaviour_;
  std::string id_, body_;
  std::size_t read_ = 0, end_of_unframed_ = 0;
  bool is_stream_ = false, complete_ = false, cancelled_ = false;
};

// Opens connections to fake servers with random behaviour.
class FakeUpstream : public Upstream {
 public:
  explicit FakeUpstream(World& world) : world_(world) {}
  asio::awaitable<UpstreamConnectionPtr> open(std::string address, std::string, Millis, bool) override {
    const Behaviour behaviour = random_behaviour(world_);
    co_await world_.yield_randomly();
    if (behaviour == Behaviour::kNoConnection) co_return nullptr;
    const std::string& service = address == kOtherServer ? kMovedJobsRoute.service : kJobsRoute.service;
    co_return std::make_shared<FakeConnection>(world_, service, behaviour);
  }
  void release(const std::string&, UpstreamConnectionPtr) override {}
  void close_idle(Millis) override {}

 private:
  World& world_;
};

// The client's side of a request: receives the response, may disconnect, and checks the response.
class ClientExchange : public HttpExchange {
 public:
  ClientExchange(World& world, std::string id) : world_(world), id_(std::move(id)) {}

  asio::awaitable<void> respond(int status, HeaderList, std::string) override {
    on_response_started();
    ended_ = true;
    if (status == 429 || status == 503) world_.sent_request(id_).refused = true;
    if (world_.sent_request(id_).refused && world_.sent_request(id_).runs > 0)
      world_.fail("request refused although it ran: " + id_);
    if (status >= 200 && status < 300 && status != 202)
      world_.fail("success response that no server sent: " + id_);
    co_return;
  }
  asio::awaitable<bool> start(int status, const HeaderList& headers, bool, std::uint64_t) override {
    on_response_started();
    status_ = status;
    const bool is_signed = std::any_of(headers.begin(), headers.end(),
                                       [this](const auto& header) { return header.second == "of " + id_; });
    if (!is_signed) world_.fail("response without its server's signature: " + id_);
    co_await world_.yield_randomly();
    co_return !disconnected_;
  }
  asio::awaitable<bool> write(std::string_view bytes) override {
    body_ += bytes;
    co_await world_.yield_randomly();
    co_return !disconnected_;
  }
  asio::awaitable<void> finish() override {
    ended_ = true;
    if (disconnected_ || status_ != 200) co_return;
    world_.on_answered();
    const SentRequest& sent = world_.sent_request(id_);
    const bool is_whole_stream = sent.target.starts_with("/stream") && body_ == expected_events(id_, 1);
    if (!is_whole_stream && !sent.response_bodies.contains(body_))
      world_.fail("response body differs from the server's: " + id_);
  }
  void abort() override { ended_ = true; }
  // The client closes its connection.
  void disconnect() {
    if (ended_ || disconnected_) return;
    disconnected_ = true;
    world_.sent_request(id_).client_gone = true;
    if (on_disconnect) on_disconnect();
  }
  bool has_ended() const { return ended_ || disconnected_; }

 private:
  void on_response_started() {
    if (ended_ || started_) world_.fail("second response to a request: " + id_);
    started_ = true;
  }
  World& world_;
  std::string id_, body_;
  int status_ = 0;
  bool started_ = false, ended_ = false, disconnected_ = false;
};

}  // namespace

// Messages between the node's own request handler and store; World answers those to the replica.
class World::LoopbackMessenger : public RecordingMessenger {};

World::World(std::uint64_t seed)
    : random_(seed),
      disk_(seed),
      messenger_(std::make_unique<LoopbackMessenger>()),
      view_(NodeInfo{}, {}, 1),
      config_texts_(1e9),
      control_client_(*messenger_, view_, config_texts_,
                      [] {
                        ControlClientSettings out;
                        out.is_store = true;
                        return out;
                      }()),
      forwarder_(std::make_unique<FakeUpstream>(*this), seed + 1),
      batch_front_(io_, *messenger_, control_client_, seed),
      live_front_(io_, control_client_, forwarder_, batch_front_, seed + 2) {
  settings_.fault_tolerance.machines = 1;
  settings_.bounds.status_s = 600;
  settings_.limits.disk_mb = 64;
  settings_.limits.memory_mb = 256;
  refresh_server_list();
  open_store();
  configure();
  set_placement({store_->disk_id(), kReplicaDisk});
}

World::~World() {
  // Handlers that are still queued refer to this object.
  io_.stop();
}

asio::awaitable<void> World::yield_randomly() {
  const auto executor = co_await asio::this_coro::executor;
  for (std::uint64_t left = 1 + random_below(4); left > 0; --left)
    co_await asio::post(executor, asio::use_awaitable);
}

// Sets the server list, as the platform does repeatedly.
void World::refresh_server_list() {
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < kServers; ++i) addresses.push_back("10.9.0.1:" + std::to_string(80 + i));
  std::vector<ListedServer> servers = listed_servers(addresses, kSlots);
  add_listed_server(servers, kMovedJobsRoute.service, kOtherServer, kSlots);
  forwarder_.pool().set_servers(servers);
  forwarder_.pool().set_position({0, 1}, {0, 1});
}

void World::open_store() {
  JobJournal::Options options;
  options.directory = "/data";
  options.disk_mb = 8;
  options.segment_bytes = 256U << 10;
  options.files = &disk_;
  StoreDisk disk;
  disk.table = std::make_unique<JobTable>();
  jobs_ = disk.table.get();
  auto journal = JobJournal::open(options, 55, *disk.table, steady_now());
  if (!journal.ok()) return fail("cannot open the journal");
  disk.journal = *std::move(journal);
  disk.queue = std::make_unique<storage::InlineDiskQueue>([raw = disk.journal.get()] { return raw->sync(); },
                                                          [] { return steady_now(); });
  store_.emplace(*messenger_, control_client_, settings_, std::move(disk),
                 [this](const JobTable& table, JobRunner::Hooks hooks) {
                   return std::make_unique<ItemRunner>(io_, forwarder_, control_client_, table,
                                                       std::move(hooks));
                 });
}

void World::configure() {
  leader_.configure(generation_, configuration(generation_, kJobsRoute));
  if (!control_client_.has_config_lease(steady_now())) fail("no configuration");
  leader_.add_store(store_->disk_id(), messenger_->own_address());
  leader_.add_store(kReplicaDisk, kReplica);
  leader_.add_store(kOtherStoreDisk, kOtherStore);
}

void World::set_placement(const std::vector<StoreId>& members) {
  leader_.place(batch_shard_of(kTenant), members);
  store_->on_placement(steady_now());
}

// ---------------------------------------------------------------- clients

std::shared_ptr<HttpExchange> World::exchange_for(const std::string& id, const std::string& path,
                                                  const std::string& body) {
  auto exchange = std::make_shared<ClientExchange>(*this, id);
  HttpRequest& request = exchange->request;
  request.method = "POST";
  request.target = path;
  request.body = body;
  request.body_digest = digest_of(body);
  request.received_at = steady_now();
  request.headers = {
      {"Host", kHost},       {"X-Request-Id", id},    {"X-Api-Key", kKey}, {"X-Deadline-Ms", "60000"},
      {"X-Model", "m" + id}, {"Connection", "x-hop"}, {"X-Hop", "1"},      {"X-Tenant", "somebody-else"}};
  return exchange;
}

asio::awaitable<void> World::serve(std::shared_ptr<HttpExchange> exchange) {
  co_await live_front_.handle(std::move(exchange));
}

void World::send_live_request() {
  static const char* const kRoutes[] = {"once", "again", "stream", "stream-once"};
  const std::string route = kRoutes[random_below(4)], id = "r" + std::to_string(++last_id_);
  SentRequest& sent = sent_[id];
  sent.target = "/" + route + "/" + id + "?q=" + id;
  sent.body = "body of " + id + std::string(random_below(kLiveBodyBytes), 'b');
  sent.headers["X-Model"] = "m" + id;
  sent.repeatable = route == "again" || route == "stream";
  sent.max_runs = sent.repeatable ? kMaxAttempts : 1;
  const auto exchange = std::static_pointer_cast<ClientExchange>(exchange_for(id, sent.target, sent.body));
  asio::co_spawn(
      io_, [this, exchange] { return serve(exchange); }, asio::detached);
  if (!chance(15)) return;
  asio::co_spawn(
      io_,
      [this, exchange]() -> asio::awaitable<void> {
        for (std::uint64_t left = random_below(8); left > 0; --left) co_await yield_randomly();
        exchange->disconnect();
      },
      asio::detached);
}

void World::send_job() {
  const std::string id = "j" + std::to_string(++last_id_);
  const std::string& prefix = (jobs_moved_ ? kMovedJobsRoute : kJobsRoute).prefix;
  std::string requests;
  for (std::uint64_t i = 0; i < 1 + random_below(5); ++i) {
    const std::string item = id + "-" + std::to_string(i);
    SentRequest& sent = sent_[item];
    sent.is_item = true;
    sent.repeatable = true;
    sent.max_runs = 1 << 30;
    sent.target = prefix + "x/" + item;
    sent.body = "body of " + item + std::string(random_below(kLiveBodyBytes), 'b');
    sent.headers["X-Model"] = "m" + item;
    job_items_[id].push_back(item);
    requests += (requests.empty() ? "" : ",") + ("{\"id\":\"" + item + "\",\"path\":\"" + sent.target) +
                "\",\"headers\":{\"X-Model\":\"m" + item + "\"},\"body\":\"" + absl::Base64Escape(sent.body) +
                "\",\"tokens\":10}";
  }
  const auto exchange = exchange_for(id, prefix, "{\"requests\":[" + requests + "]}");
  asio::co_spawn(
      io_, [this, exchange] { return serve(exchange); }, asio::detached);
}

void World::end_job() {
  if (jobs_->jobs().empty()) return;
  auto at = jobs_->jobs().begin();
  std::advance(at, static_cast<std::ptrdiff_t>(random_below(jobs_->jobs().size())));
  JobCall call{};
  call.call = 1;
  call.kind = JobCallKind::kEnd;
  call.tenant = at->first.tenant;
  call.job = at->first.id;
  ended_jobs_.insert(call.job);
  store_->on_job_call(steady_now(), kOtherStore, call);
}

// Leads the route for batch jobs elsewhere under its name, or back.
void World::move_jobs_route() {
  jobs_moved_ = !jobs_moved_;
  ++generation_;
  leader_.configure(generation_, configuration(generation_, jobs_moved_ ? kMovedJobsRoute : kJobsRoute));
}

// Makes another store the primary of the shard, or this one again.
void World::move_shard() {
  shard_moved_ = !shard_moved_;
  set_placement(shard_moved_ ? std::vector<StoreId>{kOtherStoreDisk, store_->disk_id()}
                             : std::vector<StoreId>{store_->disk_id(), kReplicaDisk});
}

// ---------------------------------------------------------------- servers

void World::on_arrival(const std::string& id, const std::string& service, const OutgoingRequest& request,
                       bool runs) {
  ++arrivals_;
  if (!is_known(id)) return fail("server received a request that no client sent: " + id);
  SentRequest& sent = sent_[id];
  const ParsedHead head = parse_head(request.bytes);
  const std::string body = request.bytes.substr(head.size);
  if (head.method != sent.method || head.target != sent.target) fail("method or target differs: " + id);
  if (service != service_of(sent.target)) fail("sent to a service where no configuration leads it: " + id);
  if (body != sent.body) fail("body differs: " + id + " size " + std::to_string(body.size()));
  if (request.body_size != body.size() || request.body_digest != digest_of(sent.body)) {
    fail("digest differs from that of the client's body: " + id);
  }
  for (const auto& [name, value] : sent.headers) {
    const auto found = head.headers.find(name);
    if (found == head.headers.end() || found->second != value) fail("header differs: " + name + ": " + id);
  }
  for (const char* own : {"X-Api-Key", "X-Hop", "Connection"}) {
    if (head.headers.contains(own)) fail(std::string(own) + " is forwarded: " + id);
  }
  if (head.headers.at("X-Tenant") != kTenant) fail("tenant differs: " + id);
  if (head.headers.at("X-Request-Id") != id) fail("request id differs: " + id);
  if (sent.is_item) {
    const std::string job = id.substr(0, id.find('-'));
    const Job* held = jobs_->find({kTenant, job});
    if (held == nullptr || held->ended) fail("item sent of a job that is not open: " + id);
    if (shard_moved_) fail("item sent of a job whose primary is another store: " + id);
  }
  if (!runs) return;
  ++sent.runs;
  if (sent.refused) fail("request runs after it was refused: " + id);
  if (sent.runs > sent.max_runs) fail("request runs more often than allowed: " + id);
}

void World::answer_as_replica() {
  for (const auto& [to, message] : messenger_->take<Replicate>(MessageType::kReplicate)) {
    if (!is_fault_free() && chance(20)) continue;  // the message is sent again
    ReplicateReply reply{};
    reply.shard = message.shard;
    reply.epoch = message.epoch;
    reply.number = message.number;
    reply.from = kReplicaDisk;
    reply.accepted = true;
    reply.has_digest = message.digest_wanted;
    store_->on_replicate_reply(steady_now(), reply);
  }
}

void World::step() {
  clock_shift += kStepMs;
  leader_.answer_poll();
  refresh_server_list();
  store_->tick(steady_now());
  for (int i = 0; i < 20; ++i) {
    io_.restart();
    io_.poll();
    for (const auto& [to, call] : messenger_->take<JobCall>(MessageType::kJobCall)) {
      store_->on_job_call(steady_now(), messenger_->own_address(), call);
    }
    for (auto& [to, reply] : messenger_->take<JobReply>(MessageType::kJobReply)) {
      if (to == messenger_->own_address()) batch_front_.on_reply(std::move(reply));
    }
    answer_as_replica();
  }
  messenger_->sent.clear();
}

std::string World::run() {
  for (int i = 0; i < kFaultySteps && failure_.empty(); ++i) {
    if (chance(40)) send_live_request();
    if (chance(12)) send_job();
    if (chance(3)) end_job();
    if (chance(3)) move_shard();
    if (chance(2)) move_jobs_route();
    step();
  }
  fault_free_ = true;
  if (shard_moved_) move_shard();
  std::string open = "not run";
  for (int i = 0; i < kMaxFaultFreeSteps && failure_.empty() && !open.empty(); ++i) {
    step();
    open = check_jobs();
  }
  if (failure_.empty() && !open.empty()) fail(open);
  if (failure_.empty() && !store_->body_check().is_clean()) fail("bodies did not match their digests");
  return failure_;
}

// Returns what is still open, or an empty string once all jobs are done. Checks the results.
std::string World::check_jobs() {
  items_done_ = 0;
  for (const auto& [key, job] : jobs_->jobs()) {
    if (job.open()) return "job without a result for each item: " + key.id;
    for (const JobResult& result : job.results) {
      const std::string& id = job.spec.items[result.item].id;
      if (result.state != ResultState::kCompleted) continue;
      ++items_done_;
      if (result.text != expected_text(id)) fail("result is not the complete text of its item: " + id);
    }
  }
  return "";
}

}  // namespace nettlestand::tier::traffic
