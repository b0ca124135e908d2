#include "node/node_program.h"

#include <signal.h>
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <thread>
#include <utility>

#include "batch/item_runner.h"
#include "control/server_list_poller.h"
#include "node/log.h"
#include "storage/threaded_disk_queue.h"

namespace nettlestand::tier {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(40);
constexpr Millis kIdleCloseIntervalMs = 500;
// Time until the platform sends no new connections to a stopping node.
constexpr Millis kDeregistrationDelayMs = 2600;
constexpr Millis kConnectionCloseMs = 300;  // for the idle connections, which are closed after that delay
constexpr Millis kGraceMarginMs = 500;      // by which the process exits before its grace period ends
constexpr Millis kStoreStopDelayMs = 300;   // between the stop signal and the exit of a store
constexpr auto kDataLockRetryInterval = std::chrono::milliseconds(20);
constexpr Millis kDataLockMarginMs = 2000;  // beyond the grace period of the earlier process
constexpr std::size_t kMaxOperatorHeaderBytes = 16384;
constexpr std::size_t kMaxOperatorBodyBytes = 16U << 20;
// Of memory_mb, that clients' requests and responses may take together; the rest is for the node itself, and
// for what the allocator holds beyond the bytes in use.
constexpr double kClientMemoryShare = 0.5;
constexpr double kMessageMemoryShare = 0.25;       // of memory_mb, for messages of other nodes that arrive
constexpr std::size_t kReservedDescriptors = 200;  // of max_fds, for files and the event loop
// Of the other descriptors, that connections may use: clients', those to each other listener, and other
// nodes' before and after they have said who they are. The rest is for connections to servers and other
// nodes.
constexpr double kClientConnectionShare = 0.625;
constexpr std::size_t kLongPollsDivisor = 2;  // share of clients' connections that may wait for results
constexpr double kListenerConnectionShare = 0.0625;
constexpr double kUnidentifiedConnectionShare = 0.0625;
constexpr double kNodeConnectionShare = 0.25;
constexpr std::size_t kBytesPerMegabyte = 1U << 20;
constexpr Millis kOperatorHeaderTimeoutMs = 5000, kOperatorIdleTimeoutMs = 15000;

std::uint64_t random_u64() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

std::uint64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

// The descriptors that sockets may use together.
std::size_t socket_descriptors(const Settings& settings) {
  rlimit hard_limits{};
  auto descriptors = static_cast<rlim_t>(settings.limits.max_fds);
  if (::getrlimit(RLIMIT_NOFILE, &hard_limits) == 0)
    descriptors = std::min(descriptors, hard_limits.rlim_cur);
  const auto all = static_cast<std::size_t>(descriptors);
  return all > 2 * kReservedDescriptors ? all - kReservedDescriptors : all / 2;
}

std::size_t share_of(std::size_t descriptors, double share) {
  return std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(descriptors)));
}

std::shared_ptr<ByteBudget> memory_budget(const Settings& settings, double share) {
  const auto bytes = static_cast<double>(settings.limits.memory_mb) * kBytesPerMegabyte;
  return std::make_shared<ByteBudget>(static_cast<std::size_t>(share * bytes));
}

}  // namespace

NodeProgram::NodeProgram(NodeRole role, Settings settings, std::string settings_path)
    : role_(role),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      io_(1),
      timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      random_seed_(random_u64()),
      client_memory_(memory_budget(settings_, kClientMemoryShare)) {}

NodeProgram::~NodeProgram() = default;

// ---------------------------------------------------------------- start

absl::Status NodeProgram::lock_data_directory() {
  if (!settings_.has_disk()) return absl::OkStatus();
  auto lock = storage::DirectoryLock::try_acquire(settings_.data_dir);
  if (absl::IsUnavailable(lock.status())) {
    NETTLESTAND_WARNING("waiting for the data directory error=" << lock.status().message());
    bool stopped = false;
    signals_.async_wait(
        [&stopped](boost::system::error_code error, int signal) { stopped = !error && signal != SIGHUP; });
    const Millis deadline =
        steady_now() + static_cast<Millis>(settings_.bounds.grace_s * 1000) + kDataLockMarginMs;
    while (absl::IsUnavailable(lock.status()) && !stopped && steady_now() < deadline) {
      std::this_thread::sleep_for(kDataLockRetryInterval);
      io_.restart();
      io_.poll();
      lock = storage::DirectoryLock::try_acquire(settings_.data_dir);
    }
    signals_.cancel();
    io_.restart();
    io_.poll();
    io_.restart();
    if (stopped) return absl::CancelledError("stopped before the start");
  }
  if (!lock.ok()) return lock.status();
  data_lock_ = *std::move(lock);
  return absl::OkStatus();
}

absl::Status NodeProgram::open_disk(NodeCore::Disks& disks) {
  if (!settings_.has_disk()) return absl::OkStatus();
  return role_ == NodeRole::kEdge ? open_control_disk(disks) : open_store_disk(disks);
}

absl::Status NodeProgram::open_control_disk(NodeCore::Disks& disks) {
  ControlJournal::Options options;
  options.directory = settings_.data_dir;
  options.disk_mb = static_cast<std::uint64_t>(settings_.limits.disk_mb);
  if (settings_.bootstrap) options.first_start_seeds = settings_.internal_seed_addresses();
  auto journal = ControlJournal::open(options, random_u64() | 1);
  if (!journal.ok()) return journal.status();
  ControlDisk disk;
  disk.journal = *std::move(journal);
  disk.queue =
      std::make_unique<storage::ThreadedDiskQueue>(io_, [raw = disk.journal.get()] { return raw->sync(); });
  disks.control = std::move(disk);
  return absl::OkStatus();
}

absl::Status NodeProgram::open_store_disk(NodeCore::Disks& disks) {
  JobJournal::Options options;
  options.directory = settings_.data_dir;
  options.disk_mb = static_cast<std::uint64_t>(settings_.limits.disk_mb);
  StoreDisk disk;
  disk.table = std::make_unique<JobTable>();
  auto journal = JobJournal::open(options, random_u64() | 1, *disk.table, steady_now());
  if (!journal.ok()) return journal.status();
  disk.journal = *std::move(journal);
  disk.queue =
      std::make_unique<storage::ThreadedDiskQueue>(io_, [raw = disk.journal.get()] { return raw->sync(); });
  disks.store = std::move(disk);
  return absl::OkStatus();
}

int NodeProgram::run() {
  NodeCore::Disks disks;
  absl::Status status = lock_data_directory();
  if (absl::IsCancelled(status)) return 0;
  if (status.ok()) status = open_disk(disks);
  if (!status.ok()) {
    NETTLESTAND_WARNING("startup failed error=" << status.message());
    return 1;
  }
  create_core(std::move(disks));
  try {
    messenger_->listen();
    start_http_servers();
  } catch (const boost::system::system_error& error) {
    NETTLESTAND_WARNING("listen failed error=" << error.what());
    return 1;
  }
  wait_for_signal();
  tick();
  const NodeInfo& self = core_->view().self();
  NETTLESTAND_INFO("started node=" << self.name << " address=" << self.address << " core=" << self.is_core);
  io_.run();
  NETTLESTAND_INFO("stopped node=" << self.name);
  return 0;
}

void NodeProgram::create_core(NodeCore::Disks disks) {
  IncomingLimits incoming_limits;
  incoming_limits.memory = memory_budget(settings_, kMessageMemoryShare);
  const std::size_t descriptors = socket_descriptors(settings_);
  incoming_limits.max_unidentified = share_of(descriptors, kUnidentifiedConnectionShare);
  incoming_limits.max_identified = share_of(descriptors, kNodeConnectionShare);
  messenger_ = std::make_unique<TcpMessenger>(
      io_, settings_.internal_address(),
      [this](const std::string& from, std::string_view bytes) {
        core_->on_message(steady_now(), from, bytes);
      },
      std::move(incoming_limits));
  forwarder_ = std::make_unique<Forwarder>(std::make_unique<UpstreamConnectionPool>(io_), random_seed_ + 1);
  forwarder_->pool().set_zone(settings_.zone);
  ServerListSourceFactory server_list_source_factory;
  if (!settings_.cloud_api.address.empty()) {
    server_list_source_factory =
        [this](Millis interval, ServerListSource::Callback done) -> std::unique_ptr<ServerListSource> {
      return std::make_unique<ServerListPoller>(io_, settings_.cloud_api.address, interval, std::move(done));
    };
  }
  const JobRunnerFactory job_runner_factory = [this](const JobTable& table, JobRunner::Hooks hooks) {
    return std::make_unique<ItemRunner>(io_, *forwarder_, core_->control_client(), table, std::move(hooks));
  };
  NodeCore::Identity identity;
  identity.is_store = role_ == NodeRole::kStore;
  identity.generation = wall_clock_ms();
  identity.random_seed = random_seed_;
  core_ = std::make_unique<NodeCore>(*messenger_, settings_, identity, std::move(disks),
                                     std::move(server_list_source_factory), steady_now());
  core_->start(job_runner_factory);
  NodeCore::Hooks hooks;
  hooks.on_server_list_changed = [this] {
    forwarder_->pool().set_servers(core_->control_client().servers());
  };
  hooks.on_position_updated = [this] { update_position(); };
  hooks.on_job_reply = [this](JobReply reply) { batch_handler_->on_reply(std::move(reply)); };
  core_->set_hooks(std::move(hooks));
}

void NodeProgram::update_position() {
  const ControlClient& control_client = core_->control_client();
  forwarder_->pool().set_position({control_client.index(), control_client.count()},
                                  {control_client.zone_index(), control_client.zone_count()});
  if (role_ != NodeRole::kStore || !control_client.configuration()) return;
  const PlacementTable& placement = control_client.state().placement();
  forwarder_->pool().set_item_node_count(count_stores_with_jobs(placement, *control_client.configuration()));
}

void NodeProgram::start_http_servers() {
  ControlClient& control_client = core_->control_client();
  batch_handler_ = std::make_unique<BatchRequestHandler>(io_, *messenger_, control_client, random_seed_);
  const std::size_t client_connections = share_of(socket_descriptors(settings_), kClientConnectionShare);
  batch_handler_->set_max_long_polls(client_connections / kLongPollsDivisor);
  operator_handler_ = std::make_unique<OperatorRequestHandler>(io_, core_->operator_relay());
  client_handler_ = std::make_unique<ClientRequestHandler>(io_, control_client, *forwarder_, *batch_handler_,
                                                           random_seed_ + 2);
  const auto client_limits = [&control_client] {
    HttpLimits out;
    if (const auto configuration = control_client.configuration()) {
      const ClientLimits& limits = configuration->limits();
      out = {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_ms,
             limits.idle_timeout_ms};
    }
    return out;
  };
  const auto operator_limits = [] {
    return HttpLimits{kMaxOperatorHeaderBytes, kMaxOperatorBodyBytes, kOperatorHeaderTimeoutMs,
                      kOperatorIdleTimeoutMs};
  };
  add_http_server(settings_.listen.front, client_limits, [this](std::shared_ptr<HttpExchange> exchange) {
    return client_handler_->handle(std::move(exchange));
  });
  add_http_server(settings_.listen.control, operator_limits, [this](std::shared_ptr<HttpExchange> exchange) {
    return operator_handler_->handle(std::move(exchange));
  });
  add_http_server(
      settings_.listen.ready, [] { return HttpLimits{}; },
      [this](std::shared_ptr<HttpExchange> exchange) -> boost::asio::awaitable<void> {
        const bool known = exchange->request.path() == "/nettlestand/readiness";
        const int status = !known ? 404 : is_ready(steady_now()) ? 200 : 503;
        co_await exchange->respond(status, {}, "");
      });
}

void NodeProgram::add_http_server(const std::string& address, std::function<HttpLimits()> limits,
                                  HttpServer::Handler handler) {
  if (address.empty()) return;
  HttpResources resources;
  resources.memory = client_memory_;
  const double share = address == settings_.listen.front ? kClientConnectionShare : kListenerConnectionShare;
  resources.max_connections = share_of(socket_descriptors(settings_), share);
  http_servers_.push_back(std::make_unique<HttpServer>(io_, address, std::move(limits), std::move(handler),
                                                       std::move(resources)));
  http_servers_.back()->listen();
}

bool NodeProgram::is_ready(Millis now) const {
  const ControlClient& control_client = core_->control_client();
  return stopping_since_ == 0 && control_client.configuration() != nullptr &&
         control_client.has_config_lease(now) && control_client.has_all_server_lists();
}

// ---------------------------------------------------------------- timer and signals

void NodeProgram::tick() {
  const Millis now = steady_now();
  core_->tick(now);
  client_handler_->tick(now);
  if (now >= next_idle_close_) {
    next_idle_close_ = now + kIdleCloseIntervalMs;
    forwarder_->upstream().close_idle(now);
    forwarder_->tick(now);
  }
  if (stopping_since_ != 0) continue_stop(now);
  if (stopping_since_ != 0 && may_exit(now)) return io_.stop();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void NodeProgram::wait_for_signal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    signal == SIGHUP ? reload() : begin_stop();
    wait_for_signal();
  });
}

// Only the addresses of the seed nodes are reloaded; other settings hold until the next start.
void NodeProgram::reload() {
  auto settings = read_settings(settings_path_);
  if (!settings.ok()) {
    NETTLESTAND_WARNING("settings reload failed error=" << settings.status().message());
    return;
  }
  std::vector<std::string> seeds;
  for (const std::string& seed : settings->seeds) seeds.push_back(settings_.internal_address_of(seed));
  core_->view().set_seeds(std::move(seeds));
  NETTLESTAND_INFO("settings reloaded");
}

// ---------------------------------------------------------------- stop

void NodeProgram::begin_stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  NETTLESTAND_INFO("stopping");
  core_->begin_stop(stopping_since_);
  for (auto& server : http_servers_) server->set_draining();
  client_handler_->set_stop_deadline(stop_deadline());
}

// Once the platform sends no new connections, idle ones are closed and further requests are rejected.
void NodeProgram::continue_stop(Millis now) {
  if (rejecting_requests_ || role_ == NodeRole::kStore || now < stopping_since_ + kDeregistrationDelayMs)
    return;
  rejecting_requests_ = true;
  for (auto& server : http_servers_) server->reject_new_requests();
}

Millis NodeProgram::stop_deadline() const {
  return stopping_since_ + static_cast<Millis>(settings_.bounds.grace_s * 1000) - kGraceMarginMs;
}

bool NodeProgram::may_exit(Millis now) const {
  if (role_ == NodeRole::kStore) return now >= stopping_since_ + kStoreStopDelayMs;
  if (now >= stop_deadline()) return true;
  std::size_t active = 0;
  for (const auto& server : http_servers_) active += server->active_requests();
  return active == 0 && now >= stopping_since_ + kDeregistrationDelayMs + kConnectionCloseMs;
}

}  // namespace nettlestand::tier
