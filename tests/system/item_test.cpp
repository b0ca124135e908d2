// Items of batch jobs on their way to servers: a store with its disk, whose replica is played by the test,
// and servers that record the requests that reach them.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <optional>

#include "batch/item_digest.h"
#include "batch/item_runner.h"
#include "batch/store_service.h"
#include "listed_servers.h"
#include "recording_messenger.h"
#include "scripted_leader.h"
#include "scripted_server.h"
#include "simulate/simulated_disk.h"

using namespace nettlestand::tier;
namespace asio = boost::asio;

namespace {

constexpr StoreId kReplicaDisk = 8, kOtherStoreDisk = 7;
constexpr std::uint32_t kSlots = 64;  // of a server
const std::string kEdge = "10.0.0.2:7000", kReplica = "10.0.0.8:7000", kOtherStore = "10.0.0.7:7000";
const std::string kTenant = "t", kBody = "the body of an item";

// Where the only route leads.
struct RouteTarget {
  std::string prefix, service, route_class = "batch", name = "jobs", host = "h";
};
const RouteTarget kJobsRoute = {"/jobs/", "s"};

std::string configuration(std::uint64_t generation, const RouteTarget& target) {
  return "{\"generation\":" + std::to_string(generation) +
         ",\"services\":[{\"name\":\"s\"},{\"name\":\"other\"}],"
         "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"]}],\"routes\":[{\"name\":\"" +
         target.name + "\",\"hostname\":\"" + target.host + "\",\"path_prefix\":\"" + target.prefix +
         "\",\"service\":\"" + target.service + "\",\"route_class\":\"" + target.route_class +
         "\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"max_attempts\":2,\"max_wait_s\":600}]}";
}

// A request as a server received it.
struct ReceivedRequest {
  std::string id, head, body;
};

const std::string kOneEvent = "id: 1\ndata: done\n\n";
const std::string kTwoEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

// How an answer's body ends.
enum class BodyEnd { kLength, kConnection };

// Accepts items and answers each with one event, or rejects them.
class ItemServer {
 public:
  ItemServer()
      : server_(
            [this](int fd, int number, const std::string& request) { return serve(fd, number, request); }) {}
  void set_full(bool full) { full_ = full; }
  // The first request fails, and the failure is sent a second time before the next answer on its connection.
  void set_fails_first(bool fails) { fails_first_ = fails; }
  // The first answer has this body; after it, items get the second of two events.
  void set_first_answer(const std::string& body, BodyEnd end) {
    first_body_ = body;
    first_end_ = end;
  }
  std::string address() const { return server_.address(); }
  std::vector<ReceivedRequest> received() const {
    const std::lock_guard lock(mutex_);
    return received_;
  }

 private:
  bool serve(int fd, int number, const std::string& request) {
    const std::size_t head = request.find("\r\n\r\n") + 4;
    const std::string id = request_id_of(request);
    {
      const std::lock_guard lock(mutex_);
      received_.push_back({id, request.substr(0, head), request.substr(head)});
    }
    const std::string named = "X-Request-Id: " + id + "\r\n";
    if (full_) {
      send_all(fd, "HTTP/1.1 503 Full\r\n" + named + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
      return true;
    }
    const std::string failure = "HTTP/1.1 500 Error\r\n" + named + "Content-Length: 0\r\n\r\n";
    if (fails_first_ && number == 1) {
      failed_on_ = fd;
      send_all(fd, failure);
      return true;
    }
    if (fails_first_ && fd == failed_on_) send_all(fd, failure);
    const std::string stream = "HTTP/1.1 200 OK\r\n" + named + "Content-Type: text/event-stream\r\n";
    if (first_body_ && number == 1 && first_end_ == BodyEnd::kConnection) {
      send_all(fd, stream + "\r\n" + *first_body_);
      return false;
    }
    std::string body = kOneEvent;
    if (first_body_) body = number == 1 ? *first_body_ : rest_of_two_events(request);
    send_all(fd, stream + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  }
  static std::string rest_of_two_events(const std::string& request) {
    const bool has_first = request.find("Last-Event-Id: 1\r\n") != std::string::npos;
    return has_first ? kTwoEvents.substr(kTwoEvents.find("id: 2")) : kTwoEvents;
  }

  mutable std::mutex mutex_;
  std::vector<ReceivedRequest> received_;
  std::atomic<bool> full_{false}, fails_first_{false};
  std::atomic<int> failed_on_{-1};  // socket
  std::optional<std::string> first_body_;
  BodyEnd first_end_ = BodyEnd::kLength;
  ScriptedServer server_;
};

JobSpec job_of(const std::string& id, std::size_t items) {
  JobSpec out{};
  out.id = id;
  out.tenant = kTenant;
  out.route = "jobs";
  out.host = "h";
  for (std::size_t i = 0; i < items; ++i) {
    JobItem item{};
    item.id = id + "-" + std::to_string(i);
    item.path = "/jobs/x";
    item.body = kBody;
    item.tokens = 1;
    set_digest(item);
    out.items.push_back(item);
  }
  return out;
}

// A store that is the primary of the tenant's shard, with one other replica.
class Store {
 public:
  explicit Store(const ItemServer& server)
      : view_(NodeInfo{}, {}, 1),
        config_texts_(1e9),
        control_client_(messenger_, view_, config_texts_, store_follower()),
        forwarder_(std::make_unique<UpstreamConnectionPool>(io_), 3) {
    settings_.fault_tolerance.machines = 1;
    settings_.bounds.status_s = 600;
    settings_.limits.disk_mb = 64;
    settings_.limits.memory_mb = 256;
    list_servers(forwarder_.pool(), {server.address()}, kSlots);
    service_.emplace(messenger_, control_client_, settings_, open_disk(),
                     [this](const JobTable& table, JobRunner::Hooks hooks) {
                       return std::make_unique<ItemRunner>(io_, forwarder_, control_client_, table,
                                                           std::move(hooks));
                     });
    configure(1, kJobsRoute);
    REQUIRE(control_client_.has_config_lease(steady_now()));
    leader_.add_store(service_->disk_id(), "10.0.0.9:7000");
    leader_.add_store(kReplicaDisk, kReplica);
    leader_.add_store(kOtherStoreDisk, kOtherStore);
    place({service_->disk_id(), kReplicaDisk});
  }

  StoreService& service() { return *service_; }

  void configure(std::uint64_t generation, const RouteTarget& target) {
    leader_.configure(generation, configuration(generation, target));
  }
  // Lists this server as one of the service "other", beside that of the service "s".
  void list_other_service(const ItemServer& server, const ItemServer& other) {
    std::vector<ListedServer> servers = listed_servers({server.address()}, kSlots);
    add_listed_server(servers, "other", other.address(), kSlots);
    forwarder_.pool().set_servers(servers);
  }
  // Sets the members of the shard, first the primary, and renews the store's lease.
  void place(const std::vector<StoreId>& members) {
    leader_.place(batch_shard_of(kTenant), members);
    service_->on_placement(steady_now());
  }
  std::uint64_t epoch() const { return leader_.epoch(); }
  const JobTable& jobs() const { return *table_of_jobs_; }

  // Submits a job and requires that it is accepted.
  void submit(const JobSpec& spec) {
    JobCall call = call_on(JobCallKind::kSubmit, spec.id);
    call.spec.push_back(spec);
    send(call);
    answer_as_replica();
    REQUIRE(reply_to(call.call).status == 202);
  }
  // Submits a job and returns the status of the reply.
  std::uint32_t try_submit(const JobSpec& spec) {
    JobCall call = call_on(JobCallKind::kSubmit, spec.id);
    call.spec.push_back(spec);
    send(call);
    const auto replies = messenger_.take<JobReply>(MessageType::kJobReply);
    REQUIRE(replies.size() == 1);
    return replies.front().second.status;
  }
  // Requests the end of a job and does not wait for the reply.
  void request_end(const std::string& job) { send(call_on(JobCallKind::kEnd, job)); }
  std::string read(const std::string& job) {
    const JobCall call = call_on(JobCallKind::kRead, job);
    send(call);
    return reply_to(call.call).body;
  }

  // Plays the replica: acknowledges what was sent to it until nothing more is. `later` is added to the
  // store's clock.
  void answer_as_replica(Millis later = 0) {
    for (;;) {
      const auto sent = messenger_.take<Replicate>(MessageType::kReplicate);
      if (sent.empty()) return;
      for (const auto& [to, message] : sent) {
        ReplicateReply reply{};
        reply.shard = message.shard;
        reply.epoch = message.epoch;
        reply.number = message.number;
        reply.from = kReplicaDisk;
        reply.accepted = true;
        reply.has_digest = message.digest_wanted;
        if (reply.has_digest) reply.digest = digests_;
        service_->on_replicate_reply(steady_now() + later, reply);
      }
    }
  }
  // Plays the replica: acknowledges only the first of the messages sent to it.
  void answer_first_as_replica(Millis later) {
    const auto sent = messenger_.take<Replicate>(MessageType::kReplicate);
    REQUIRE_FALSE(sent.empty());
    ReplicateReply reply{};
    reply.shard = sent.front().second.shard;
    reply.epoch = sent.front().second.epoch;
    reply.number = sent.front().second.number;
    reply.from = kReplicaDisk;
    reply.accepted = true;
    service_->on_replicate_reply(steady_now() + later, reply);
  }
  // Sets the digests that the replica reports when it is next asked for them.
  void set_replica_digests(const std::vector<JobDigest>& digests) { digests_ = digests; }
  // Delivers a change that another primary sends to this store.
  void replicate_from(const std::string& primary, const JobChange& change, MessageNumber number = {1, 1, 1},
                      std::uint64_t earlier_epochs = 0) {
    Replicate message{};
    message.shard = batch_shard_of(kTenant);
    message.epoch = epoch() - earlier_epochs;
    message.to = service_->disk_id();
    message.number = number;
    message.changes.push_back(change);
    service_->on_replicate(primary, message);
  }

  // Corrupts the body of an item, as a memory fault would.
  void damage_body(const std::string& job, std::size_t item) {
    table_of_jobs_->find({kTenant, job})->spec.items[item].body += "!";
  }

  void tick(Millis later = 0) {
    leader_.answer_poll(later);
    service_->tick(steady_now() + later);
  }
  // Runs what has been started to completion.
  void settle() {
    io_.restart();
    io_.run_for(std::chrono::milliseconds(kTestTimeoutMs));
    REQUIRE(io_.stopped());
  }
  // Whether a message was sent that the replica has not answered.
  bool awaits_replica() const {
    return std::any_of(messenger_.sent.begin(), messenger_.sent.end(),
                       [](const RecordingMessenger::Sent& each) {
                         return each.message.front() == static_cast<char>(MessageType::kReplicate);
                       });
  }

 private:
  JobCall call_on(JobCallKind kind, const std::string& job) {
    JobCall out{};
    out.call = ++calls_;
    out.kind = kind;
    out.tenant = kTenant;
    out.job = job;
    return out;
  }
  void send(const JobCall& call) {
    leader_.answer_poll();
    service_->on_job_call(steady_now(), kEdge, call);
  }
  static ControlClientSettings store_follower() {
    ControlClientSettings out;
    out.is_store = true;
    return out;
  }
  StoreDisk open_disk() {
    JobJournal::Options options;
    options.directory = "/data";
    options.disk_mb = 8;
    options.segment_bytes = 256U << 10;
    options.files = &files_;
    StoreDisk disk;
    disk.table = std::make_unique<JobTable>();
    table_of_jobs_ = disk.table.get();
    auto journal = JobJournal::open(options, 55, *disk.table, steady_now());
    REQUIRE(journal.ok());
    disk.journal = *std::move(journal);
    disk.queue = std::make_unique<storage::InlineDiskQueue>(
        [raw = disk.journal.get()] { return raw->sync(); }, [] { return steady_now(); });
    return disk;
  }
  JobReply reply_to(std::uint64_t call) {
    for (const auto& [to, reply] : messenger_.take<JobReply>(MessageType::kJobReply)) {
      if (reply.call == call) return reply;
    }
    return JobReply{};
  }

  simulate::SimulatedDisk files_{1};  // a real disk may stand still for longer than the store's lease
  asio::io_context io_;
  RecordingMessenger messenger_;
  PartialView view_;
  ConfigTextProvider config_texts_;
  ControlClient control_client_;
  ScriptedLeader leader_{control_client_};
  Forwarder forwarder_;
  Settings settings_{};
  JobTable* table_of_jobs_ = nullptr;
  std::vector<JobDigest> digests_;
  std::optional<StoreService> service_;
  std::uint64_t calls_ = 0;
};

constexpr Millis kAfterRetryDelayMs = 200;       // by then a rejected item may be sent again
constexpr Millis kAfterErrorRetryDelayMs = 400;  // and one that failed

}  // namespace

TEST_CASE("a listed item is not sent again while the end of its job is on its way") {
  ItemServer server;
  Store store(server);
  store.answer_as_replica();
  store.submit(job_of("j", 2));
  store.settle();
  REQUIRE(server.received().size() == 2);
  // The first result is written here and the second waits behind it. The replica is silent, and the client
  // ends the job.
  REQUIRE(store.awaits_replica());
  store.request_end("j");
  server.set_full(true);
  store.tick();
  store.settle();
  // The replica acknowledges only the first result: its item has a result now, and the job is not ended yet.
  store.answer_first_as_replica(kAfterRetryDelayMs);
  store.settle();
  store.answer_as_replica();
  CHECK(store.read("j").find("done") != std::string::npos);
  for (const ReceivedRequest& each : server.received()) CHECK(each.body == kBody);
}

TEST_CASE(
    "an item that its store has not begun to send when it is demoted is not sent once another has listed "
    "it") {
  ItemServer server;
  Store store(server);
  store.answer_as_replica();
  store.submit(job_of("j", 2));  // its items are started, and no send has begun
  store.place({kOtherStoreDisk, store.service().disk_id()});
  store.settle();
  REQUIRE(server.received().empty());
  JobChange result_change{};
  result_change.tenant = kTenant;
  result_change.job = "j";
  JobResult result{};
  result.text = "elsewhere";
  result_change.results.push_back(result);
  store.replicate_from(kOtherStore, result_change);
  JobTable elsewhere;
  JobChange taken{};
  taken.tenant = kTenant;
  taken.job = "j";
  taken.spec.push_back(job_of("j", 2));
  elsewhere.apply(1, taken);
  elsewhere.apply(1, result_change);
  store.set_replica_digests({elsewhere.digest({kTenant, "j"})});
  store.place({store.service().disk_id(), kReplicaDisk});
  store.answer_as_replica();
  store.tick(kAfterRetryDelayMs);
  store.settle();
  store.answer_as_replica();
  CHECK(store.read("j").find("elsewhere") != std::string::npos);
  REQUIRE(server.received().size() == 1);
  CHECK(server.received().front().id == "j-1");
  CHECK(server.received().front().body == kBody);
}

// Guards against: an item is given up after one failure, since the second answer that a server sent to its
// first run is taken for the answer to its second run.
TEST_CASE("a surplus failure of an item's first run does not count as a failure of its second") {
  ItemServer server;
  server.set_fails_first(true);
  Store store(server);
  store.answer_as_replica();
  store.submit(job_of("j", 1));
  store.settle();
  REQUIRE(server.received().size() == 1);
  clock_shift += kAfterErrorRetryDelayMs;
  store.tick();
  store.settle();
  store.answer_as_replica();
  REQUIRE(server.received().size() == 2);
  CHECK(store.read("j").find("completed") != std::string::npos);
}

TEST_CASE("headers of an item neither frame nor name its request") {
  ItemServer server;
  Store store(server);
  store.answer_as_replica();
  JobSpec spec = job_of("j", 1);
  JobItem& item = spec.items.front();
  item.header_names = {"Content-Length", "transfer-encoding", "X-Request-Id", "X-Tenant", "Connection",
                       "X-Hop",          "X-Api-Key",         "X-Model"};
  item.header_values = {"3", "chunked", "another", "another", "close, x-hop", "1", "k", "m"};
  set_digest(item);
  store.submit(spec);
  store.settle();
  REQUIRE(server.received().size() == 1);
  const ReceivedRequest received = server.received().front();
  CHECK(received.id == "j-0");
  CHECK(received.body == kBody);
  CHECK(received.head.find("X-Tenant: t\r\n") != std::string::npos);
  CHECK(received.head.find("X-Model: m\r\n") != std::string::npos);
  for (const char* absent : {"chunked", "another", "X-Hop", "X-Api-Key", "close"}) {
    INFO(absent);
    CHECK(received.head.find(absent) == std::string::npos);
  }
}

TEST_CASE("an item whose body has changed is never sent, and the others of its job are") {
  ItemServer server;
  Store store(server);
  store.answer_as_replica();
  store.submit(job_of("j", 2));  // started, and not sent yet
  store.place({kOtherStoreDisk, store.service().disk_id()});
  store.settle();
  store.damage_body("j", 0);
  store.place({store.service().disk_id(), kReplicaDisk});
  store.answer_as_replica();
  store.tick(kAfterRetryDelayMs);
  store.settle();
  REQUIRE(server.received().size() == 1);
  CHECK(server.received().front().id == "j-1");
}

TEST_CASE("a copy passes over messages that come behind newer ones, of its primary and of earlier epochs") {
  ItemServer server;
  Store store(server);
  store.place({kOtherStoreDisk, store.service().disk_id()});
  JobChange snapshot{};
  snapshot.tenant = kTenant;
  snapshot.job = "j";
  snapshot.spec.push_back(job_of("j", 2));
  snapshot.reset = true;
  JobChange result_change{};
  result_change.tenant = kTenant;
  result_change.job = "j";
  result_change.results.emplace_back();
  const auto results = [&store] { return store.jobs().find({kTenant, "j"})->results.size(); };
  store.replicate_from(kOtherStore, snapshot, {1, 1, 3});
  store.replicate_from(kOtherStore, result_change, {1, 1, 5});
  REQUIRE(results() == 1);
  store.replicate_from(kOtherStore, snapshot, {1, 1, 4});  // a repair from before the result
  CHECK(results() == 1);
  store.place({kOtherStoreDisk, store.service().disk_id()});
  store.replicate_from(kOtherStore, snapshot, {1, 1, 9}, 1);
  CHECK(results() == 1);
  store.replicate_from(kOtherStore, snapshot, {1, 1, 1});  // the first message of the new epoch
  CHECK(results() == 0);
}

// Guards against numbers that overflow into each other: they were once packed into one integer, with 24 bits
// for messages, 16 for tenures and the rest for starts.
TEST_CASE("the messages of a later tenure or start count, however many the earlier one has sent") {
  const auto later = GENERATE(MessageNumber{1, 2, 1}, MessageNumber{2, 1, 1});
  constexpr std::uint64_t kMessagesOfDays = (std::uint64_t{1} << 24) + 5;
  constexpr std::uint64_t kTenuresOfYears = (std::uint64_t{1} << 16) + 5;
  const MessageNumber before{1, later.generation > 1 ? kTenuresOfYears : 1, kMessagesOfDays};
  ItemServer server;
  Store store(server);
  store.place({kOtherStoreDisk, store.service().disk_id()});
  JobChange snapshot{};
  snapshot.tenant = kTenant;
  snapshot.job = "j";
  snapshot.spec.push_back(job_of("j", 2));
  snapshot.reset = true;
  JobChange result_change{};
  result_change.tenant = kTenant;
  result_change.job = "j";
  result_change.results.emplace_back();
  store.replicate_from(kOtherStore, snapshot, before);
  store.replicate_from(kOtherStore, result_change, later);
  CHECK(store.jobs().find({kTenant, "j"})->results.size() == 1);
}

TEST_CASE("a primary's numbers rise over its messages, from behind the last one of before") {
  JobTable table;
  ShardPrimary primary(0, 1, 2, table, MessageNumber{3, 4, (std::uint64_t{1} << 24) - 1});
  ShardPlacement row{};
  row.epoch = 1;
  row.members = {1, 2, 3};
  primary.set_placement(row);
  const std::vector<Replicate> asked = primary.outgoing(0);
  REQUIRE(asked.size() == 2);
  CHECK(asked[0].number == MessageNumber{3, 4, std::uint64_t{1} << 24});
  CHECK(asked[0].number < asked[1].number);
  CHECK(asked[1].number < MessageNumber{3, 5, 1});
}

// ---------------------------------------------------------------- ends of answers

// Guards against: an answer without a length that a server cuts within an event becomes a completed item with
// a part of its text.
TEST_CASE("an item whose answer has no length and ends within an event is resumed, not completed") {
  const std::size_t first_event = kTwoEvents.find("id: 2");
  for (std::size_t sent = 0; sent <= kTwoEvents.size(); ++sent) {
    if (sent == first_event) continue;  // an end between two events can't be told from the stream's own end
    INFO("cut at byte " << sent << " of " << kTwoEvents.size());
    ItemServer server;
    server.set_first_answer(kTwoEvents.substr(0, sent), BodyEnd::kConnection);
    Store store(server);
    store.answer_as_replica();
    store.submit(job_of("j", 1));
    store.settle();
    store.answer_as_replica();
    clock_shift += kAfterErrorRetryDelayMs;
    store.tick();
    store.settle();
    store.answer_as_replica();
    const std::string results = store.read("j");
    CHECK(results.find("\"state\":\"completed\",\"text\":\"one\\ntwo\"") != std::string::npos);
    const bool was_whole = sent == kTwoEvents.size();
    REQUIRE(server.received().size() == (was_whole ? 1 : 2));
    if (was_whole) continue;
    const bool resumed = server.received()[1].head.find("Last-Event-Id: 1\r\n") != std::string::npos;
    CHECK(resumed == (sent > first_event));
  }
}

// Guards against: the text of an item lacks the last event of a whole answer.
TEST_CASE("an item's last event counts without a blank line if the answer's length shows that it is whole") {
  ItemServer server;
  server.set_first_answer(kTwoEvents.substr(0, kTwoEvents.size() - 1), BodyEnd::kLength);
  Store store(server);
  store.answer_as_replica();
  store.submit(job_of("j", 1));
  store.settle();
  store.answer_as_replica();
  CHECK(store.read("j").find("\"state\":\"completed\",\"text\":\"one\\ntwo\"") != std::string::npos);
}

// ---------------------------------------------------------------- routes that change under a job

namespace {

constexpr Millis kAfterConfigLeaseMs = 4200;  // by then a store has each configuration of before

std::size_t count_of(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

const std::string kDeadLetter = "\"state\":\"dead_letter\"";

// A store, the server of its route's service, and the server of another service.
struct TwoServices {
  TwoServices() {
    store.list_other_service(server, other);
    store.answer_as_replica();
  }
  // Submits a job whose items are all turned away the first time.
  void submit_turned_away(const JobSpec& spec) {
    server.set_full(true);
    store.submit(spec);
    store.settle();
    store.answer_as_replica();
    server.set_full(false);
  }

  ItemServer server, other;
  Store store{server};
};

}  // namespace

// Guards against: accepted items run at a service to which no configuration ever led them.
TEST_CASE("items of a route that a change leads elsewhere run nowhere and are dead-lettered") {
  const auto moved = GENERATE(RouteTarget{"/night/", "other"}, RouteTarget{"/jobs/y/", "other"},
                              RouteTarget{"/jobs/", "other", "batch", "jobs", "another-host"},
                              RouteTarget{"/jobs/", "other", "idempotent"},
                              RouteTarget{"/jobs/", "other", "batch", "another-name"});
  INFO(moved.host << moved.prefix << " " << moved.route_class << " " << moved.name);
  TwoServices services;
  auto& [server, other, store] = services;
  services.submit_turned_away(job_of("j", 3));
  const std::size_t before = server.received().size();
  store.configure(2, moved);
  for (int i = 0; i < 3; ++i) {
    clock_shift += kAfterConfigLeaseMs;
    store.tick();
    store.settle();
    store.answer_as_replica();
  }
  CHECK(other.received().empty());
  CHECK(server.received().size() == before);
  CHECK(count_of(store.read("j"), kDeadLetter) == 3);
}

// Guards against: an item that was started before a change is sent by the old name of its route after it.
TEST_CASE("an item that is on its way when a change leads its route elsewhere is not sent") {
  TwoServices services;
  auto& [server, other, store] = services;
  store.submit(job_of("j", 2));  // started, and not sent yet
  store.configure(2, {"/night/", "s"});
  store.settle();
  CHECK(server.received().empty());
  CHECK(other.received().empty());
}

TEST_CASE("the items of a route go on at the service to which a change leads their prefix") {
  TwoServices services;
  auto& [server, other, store] = services;
  services.submit_turned_away(job_of("j", 3));
  store.configure(2, {"/jobs/", "other"});
  clock_shift += kAfterRetryDelayMs;
  store.tick();
  store.settle();
  store.answer_as_replica();
  CHECK(other.received().size() == 3);
  CHECK(count_of(store.read("j"), kDeadLetter) == 0);
}

// Guards against: a store whose configuration is older than its job's gives the job's items up.
TEST_CASE("a store that has yet to get the route of a job waits for it") {
  const bool has_other_route = GENERATE(false, true);
  INFO("the store has a route of that name " << has_other_route);
  TwoServices services;
  auto& [server, other, store] = services;
  store.configure(2, {"/night/", "other", "batch", has_other_route ? "jobs" : "another-name"});
  store.place({kOtherStoreDisk, store.service().disk_id()});
  JobChange job{};
  job.tenant = kTenant;
  job.job = "j";
  job.spec.push_back(job_of("j", 2));
  store.replicate_from(kOtherStore, job);
  store.place({store.service().disk_id(), kReplicaDisk});
  for (int i = 0; i < 3; ++i) {
    clock_shift += kAfterRetryDelayMs;
    store.tick();
    store.answer_as_replica();
    store.settle();
    store.answer_as_replica();
  }
  CHECK(other.received().empty());
  CHECK(count_of(store.read("j"), kDeadLetter) == 0);
  store.configure(3, kJobsRoute);
  clock_shift += kAfterRetryDelayMs;
  store.tick();
  store.settle();
  store.answer_as_replica();
  CHECK(server.received().size() == 2);
  CHECK(count_of(store.read("j"), "\"state\":\"completed\"") == 2);
}

TEST_CASE("a store takes no job whose items its configuration leads elsewhere") {
  ItemServer server;
  Store store(server);
  store.answer_as_replica();
  store.configure(2, {"/night/", "s"});
  CHECK(store.try_submit(job_of("j", 2)) == 503);
  CHECK(store.jobs().find({kTenant, "j"}) == nullptr);
}

// ---------------------------------------------------------------- bodies corrupted on their way

TEST_CASE(
    "a job whose body has changed on its way to its store is not kept, and its edge node sends it again") {
  ItemServer server;
  Store store(server);
  store.answer_as_replica();
  JobSpec spec = job_of("j", 2);
  spec.items[1].body += "!";
  CHECK(store.try_submit(spec) == 0);
  CHECK(store.jobs().find({kTenant, "j"}) == nullptr);
  CHECK(store.service().body_check().mismatches(BodyCheckStep::kStoreCall) == 1);
  store.submit(job_of("j", 2));
  CHECK(store.service().body_check().mismatches(BodyCheckStep::kStoreCall) == 1);
}

TEST_CASE("a copy tells of bodies that have changed, and passes over those that were given up") {
  ItemServer server;
  Store store(server);
  store.place({kOtherStoreDisk, store.service().disk_id()});
  JobTable elsewhere;
  JobChange job{};
  job.tenant = kTenant;
  job.job = "j";
  job.spec.push_back(job_of("j", 3));
  elsewhere.apply(1, job);
  JobChange result_change{};
  result_change.tenant = kTenant;
  result_change.job = "j";
  result_change.results.emplace_back();
  elsewhere.apply(1, result_change);
  JobChange snapshot = elsewhere.snapshot_of({kTenant, "j"});
  REQUIRE(snapshot.spec.front().items[0].body.empty());
  store.replicate_from(kOtherStore, snapshot, {1, 1, 1});
  CHECK(store.service().body_check().is_clean());
  snapshot.spec.front().items[1].path += "/other";
  snapshot.spec.front().items[2].header_names.emplace_back("X-More");
  store.replicate_from(kOtherStore, snapshot, {1, 1, 2});
  CHECK(store.service().body_check().mismatches(BodyCheckStep::kCopy) == 2);
}
