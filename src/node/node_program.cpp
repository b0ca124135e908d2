#include "node/node_program.h"

#include <signal.h>

#include <chrono>
#include <random>
#include <utility>

#include "node/log.h"

namespace nettlestand::tier {
namespace {

constexpr auto kTick = std::chrono::milliseconds(40);
constexpr Millis kShuffleMs = 1200;
constexpr Millis kEagerShuffleMs = 150;  // while the process is young
constexpr Millis kEagerForMs = 2500;
constexpr Millis kIdleCloseMs = 500;
constexpr Millis kTurnedAwayMs = 2600;  // until the platform sends a stopping node no new connections
constexpr Millis kBeforeGraceMs = 500;
constexpr Millis kLeaseMarginMs = 1300;  // of the bound on revocations: a leader's own lease, and clocks
constexpr Millis kLocalKeysLeaseMs = 20000;
constexpr Millis kStoreStopMs = 300;

std::uint64_t fresh_random() {
  std::random_device device;
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

Millis wall_now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

NodeProgram::NodeProgram(NodeRole role, Settings settings, std::string settings_path)
    : role_(role),
      settings_(std::move(settings)),
      settings_path_(std::move(settings_path)),
      io_(1),
      timer_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      seed_(fresh_random()),
      started_(steady_now()) {}

absl::Status NodeProgram::open_disk() {
  if (!settings_.has_disk()) return absl::OkStatus();
  const auto disk_mb = static_cast<std::uint64_t>(settings_.limits.disk_mb);
  if (role_ == NodeRole::kEdge) {
    auto journal = ControlJournal::open(settings_.data_dir, disk_mb, fresh_random() | 1);
    if (!journal.ok()) return journal.status();
    control_journal_ = *std::move(journal);
    return absl::OkStatus();
  }
  job_table_ = std::make_unique<JobTable>();
  auto journal = JobJournal::open(settings_.data_dir, disk_mb, fresh_random() | 1, *job_table_, steady_now());
  if (!journal.ok()) return journal.status();
  job_journal_ = *std::move(journal);
  return absl::OkStatus();
}

int NodeProgram::run() {
  if (const absl::Status status = open_disk(); !status.ok()) {
    NETTLESTAND_WARNING("can't start error=" << status.message());
    return 1;
  }
  NodeInfo self{};
  self.name = settings_.node_name;
  self.address = settings_.internal_address();
  self.zone = settings_.zone;
  self.is_store = role_ == NodeRole::kStore;
  self.is_core = control_journal_ != nullptr;
  self.disk_id = control_journal_ ? control_journal_->disk_id() : job_journal_ ? job_journal_->disk_id() : 0;
  self.incarnation = static_cast<std::uint64_t>(wall_now());
  std::vector<std::string> seeds;
  for (const std::string& seed : settings_.seeds) seeds.push_back(settings_.internal_address_of(seed));
  view_ = std::make_unique<PartialView>(self, std::move(seeds), seed_);
  network_ = std::make_unique<Network>(
      io_, self.address,
      [this](const std::string& from, std::string_view bytes) { on_message(from, bytes); });
  FollowerSettings follower;
  follower.is_store = self.is_store;
  follower.lease_ms =
      settings_.bounds.global_revocation
          ? std::max<Millis>(static_cast<Millis>(settings_.bounds.revoke_ms) - kLeaseMarginMs, 500)
          : kLocalKeysLeaseMs;
  follower_ = std::make_unique<ControlFollower>(*network_, *view_, follower);
  forwarder_ = std::make_unique<Forwarder>(io_, seed_ + 1);
  forwarder_->pool().set_zone(settings_.zone);
  if (control_journal_) {
    control_ =
        std::make_unique<ControlService>(io_, *network_, *view_, settings_, std::move(control_journal_));
  }
  if (job_journal_) {
    store_ = std::make_unique<StoreService>(io_, *network_, *follower_, *forwarder_, settings_,
                                            std::move(job_table_), std::move(job_journal_));
  }
  wire_follower();
  try {
    network_->listen();
    start_fronts();
  } catch (const boost::system::system_error& error) {
    NETTLESTAND_WARNING("can't listen error=" << error.what());
    return 1;
  }
  on_signal();
  tick();
  NETTLESTAND_INFO("started node=" << self.name << " address=" << self.address << " core=" << self.is_core);
  io_.run();
  NETTLESTAND_INFO("stopped node=" << self.name);
  return 0;
}

void NodeProgram::wire_follower() {
  ControlFollower::Events events;
  events.on_configuration = [this] {
    NETTLESTAND_DEBUG("configuration generation=" << follower_->state().generation());
  };
  events.on_placement = [this] {
    if (store_) store_->on_placement(steady_now());
  };
  events.on_servers = [this] { update_pool(); };
  follower_->set_events(std::move(events));
  if (store_) follower_->set_in_sync_source([this] { return store_->in_sync(); });
}

void NodeProgram::update_pool() { forwarder_->pool().set_servers(follower_->servers()); }

void NodeProgram::start_fronts() {
  batch_front_ = std::make_unique<BatchFront>(io_, *network_, *follower_);
  operator_front_ = std::make_unique<OperatorFront>(io_, *network_, *follower_);
  live_front_ = std::make_unique<LiveFront>(io_, *follower_, *forwarder_, *batch_front_, seed_ + 2);
  const auto client_limits = [this] {
    HttpLimits out;
    if (const auto configuration = follower_->configuration()) {
      const ClientLimits& limits = configuration->limits();
      out = {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout_ms,
             limits.idle_timeout_ms};
    }
    return out;
  };
  const auto add = [this](const std::string& address, std::function<HttpLimits()> limits,
                          HttpServer::Handler handler) {
    if (address.empty()) return;
    servers_.push_back(std::make_unique<HttpServer>(io_, address, std::move(limits), std::move(handler)));
    servers_.back()->listen();
  };
  add(settings_.listen.front, client_limits,
      [this](std::shared_ptr<HttpExchange> exchange) { return live_front_->handle(std::move(exchange)); });
  add(
      settings_.listen.control,
      [] {
        return HttpLimits{16384, 16U << 20, 5000, 15000};
      },
      [this](std::shared_ptr<HttpExchange> exchange) {
        return operator_front_->handle(std::move(exchange));
      });
  add(
      settings_.listen.ready, [] { return HttpLimits{}; },
      [this](std::shared_ptr<HttpExchange> exchange) -> boost::asio::awaitable<void> {
        const bool known = exchange->request.path() == "/nettlestand/readiness";
        const int status = !known ? 404 : is_ready(steady_now()) ? 200 : 503;
        co_await exchange->respond(status, {}, "");
      });
}

bool NodeProgram::is_ready(Millis now) const {
  return stopping_since_ == 0 && follower_->configuration() != nullptr && follower_->is_fresh(now) &&
         follower_->has_all_lists();
}

// ---------------------------------------------------------------- messages

void NodeProgram::on_message(const std::string& from, std::string_view bytes) {
  if (bytes.empty()) return;
  const auto type = static_cast<MessageType>(bytes.front());
  const std::string_view body = bytes.substr(1);
  const Millis now = steady_now();
  switch (type) {
    case MessageType::kShuffle:
      if (const auto m = decode<Shuffle>(body)) {
        network_->send(from, encode_message(MessageType::kShuffleReply, view_->on_shuffle(now, *m, from)));
      }
      return;
    case MessageType::kShuffleReply:
      if (const auto m = decode<Shuffle>(body)) view_->on_reply(now, *m);
      return;
    case MessageType::kConsensus:
      if (const auto m = control_ ? decode<GroupMessage>(body) : std::nullopt)
        control_->on_consensus(now, from, *m);
      return;
    case MessageType::kFormationRequest:
      if (const auto m = decode<FormationRequest>(body)) on_formation_request(from, *m);
      return;
    case MessageType::kFormationVote:
      if (const auto m = control_ ? decode<FormationVote>(body) : std::nullopt)
        control_->on_formation_vote(now, *m);
      return;
    case MessageType::kPoll:
      if (const auto m = control_ ? decode<Poll>(body) : std::nullopt) control_->on_poll(now, from, *m);
      return;
    case MessageType::kPollReply:
      if (const auto m = decode<PollReply>(body)) {
        follower_->on_reply(now, from, *m);
        forwarder_->pool().set_position({follower_->index(), follower_->count()},
                                        {follower_->zone_index(), follower_->zone_count()});
      }
      return;
    case MessageType::kOperatorCall:
      if (const auto m = control_ ? decode<OperatorCall>(body) : std::nullopt) {
        control_->on_operator_call(now, *m, [this, from](const OperatorReply& reply) {
          network_->send(from, encode_message(MessageType::kOperatorReply, reply));
        });
      }
      return;
    case MessageType::kOperatorReply:
      if (auto m = decode<OperatorReply>(body)) operator_front_->on_reply(*std::move(m));
      return;
    case MessageType::kJobCall:
      if (const auto m = store_ ? decode<JobCall>(body) : std::nullopt) store_->on_job_call(now, from, *m);
      return;
    case MessageType::kJobReply:
      if (auto m = decode<JobReply>(body)) batch_front_->on_reply(*std::move(m));
      return;
    case MessageType::kReplicate:
      if (const auto m = store_ ? decode<Replicate>(body) : std::nullopt) store_->on_replicate(now, from, *m);
      return;
    case MessageType::kReplicateReply:
      if (const auto m = store_ ? decode<ReplicateReply>(body) : std::nullopt)
        store_->on_replicate_reply(now, *m);
      return;
  }
}

// A seed of the first start says yes to one request only, and none after a restart has forgotten that.
void NodeProgram::on_formation_request(const std::string& from, const FormationRequest& request) {
  if (!settings_.bootstrap) return;
  if (!voted_for_) voted_for_ = request.proposer;
  FormationVote vote{};
  vote.proposer = request.proposer;
  vote.granted = *voted_for_ == request.proposer;
  network_->send(from, encode_message(MessageType::kFormationVote, vote));
}

// ---------------------------------------------------------------- time and signals

void NodeProgram::tick() {
  const Millis now = steady_now();
  shuffle(now);
  if (control_) control_->tick(now);
  follower_->tick(now);
  if (store_) store_->tick(now);
  if (now >= next_idle_close_) {
    next_idle_close_ = now + kIdleCloseMs;
    forwarder_->connections().close_idle(now);
  }
  if (stopping_since_ != 0 && may_exit(now)) return io_.stop();
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) tick();
  });
}

void NodeProgram::shuffle(Millis now) {
  if (now < next_shuffle_) return;
  next_shuffle_ = now + (now < started_ + kEagerForMs ? kEagerShuffleMs : kShuffleMs);
  if (const auto next = view_->start_shuffle(now)) {
    network_->send(next->first, encode_message(MessageType::kShuffle, next->second));
  }
}

void NodeProgram::on_signal() {
  signals_.async_wait([this](boost::system::error_code error, int signal) {
    if (error) return;
    signal == SIGHUP ? reload() : begin_stop();
    on_signal();
  });
}

void NodeProgram::reload() {
  auto settings = read_settings(settings_path_);
  if (!settings.ok()) {
    NETTLESTAND_WARNING("settings not taken over error=" << settings.status().message());
    return;
  }
  std::vector<std::string> seeds;
  for (const std::string& seed : settings->seeds) seeds.push_back(settings_.internal_address_of(seed));
  view_->set_seeds(std::move(seeds));
  NETTLESTAND_INFO("settings taken over");
}

void NodeProgram::begin_stop() {
  if (stopping_since_ != 0) return;
  stopping_since_ = steady_now();
  NETTLESTAND_INFO("stopping");
  follower_->set_leaving();
  if (control_) control_->step_down(stopping_since_);
  for (auto& server : servers_) server->set_draining();
}

bool NodeProgram::may_exit(Millis now) const {
  const Millis since = now - stopping_since_;
  if (role_ == NodeRole::kStore) return since >= kStoreStopMs;
  if (since >= static_cast<Millis>(settings_.bounds.grace_s * 1000) - kBeforeGraceMs) return true;
  std::size_t active = 0;
  for (const auto& server : servers_) active += server->active();
  return active == 0 && since >= kTurnedAwayMs;
}

}  // namespace nettlestand::tier
