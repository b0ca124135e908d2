#include "node/node_core.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace nettlestand::tier {
namespace {

constexpr Millis kShuffleIntervalMs = 1200;
constexpr Millis kStartupShuffleIntervalMs = 150;  // during the startup period
constexpr Millis kStartupPeriodMs = 2500;
// Taken off the revocation bound: for the leader's own lease, and for differences between clocks.
constexpr Millis kLeaseMarginMs = 1300;
constexpr Millis kMinLeaseMs = 500;
constexpr Millis kLocalRevocationLeaseMs = 20000;  // if bounds.global_revocation is off
constexpr double kConfigTextLinkShare = 0.4;       // share of the node's link for configuration texts
constexpr double kBytesPerMegabit = 125000;

// Calls the handler with the decoded message; drops a message that can't be decoded.
template <class Message, class Handler>
void decode_and_handle(std::string_view body, Handler&& handler) {
  if (auto message = decode<Message>(body)) handler(*std::move(message));
}

}  // namespace

NodeInfo NodeCore::make_node_info(const Settings& settings, const Identity& identity, const Disks& disks) {
  NodeInfo self{};
  self.name = settings.node_name;
  self.address = settings.internal_address();
  self.zone = settings.zone;
  self.is_store = identity.is_store;
  self.is_core = disks.control.has_value();
  if (disks.control) self.disk_id = disks.control->journal->disk_id();
  if (disks.store) self.disk_id = disks.store->journal->disk_id();
  self.generation = identity.generation;
  return self;
}

ControlClientSettings NodeCore::control_client_settings(const Settings& settings, bool is_store) {
  const Millis revoke = static_cast<Millis>(settings.bounds.revoke_ms);
  ControlClientSettings out;
  out.is_store = is_store;
  out.quota = {settings.bounds.quota_window_s, settings.bounds.quota_overage, settings.bounds.quota_slack};
  out.lease_ms = settings.bounds.global_revocation ? std::max(revoke - kLeaseMarginMs, kMinLeaseMs)
                                                   : kLocalRevocationLeaseMs;
  return out;
}

NodeCore::NodeCore(Messenger& messenger, const Settings& settings, Identity identity, Disks disks,
                   ServerListSourceFactory server_list_source_factory, Millis now)
    : messenger_(messenger),
      settings_(settings),
      view_(make_node_info(settings, identity, disks), settings.internal_seed_addresses(),
            identity.random_seed),
      config_texts_(kConfigTextLinkShare * kBytesPerMegabit * settings.limits.link_mbps),
      control_client_(messenger, view_, config_texts_, control_client_settings(settings, identity.is_store)),
      operator_relay_(messenger, control_client_, identity.random_seed),
      // A node without a disk forgets its vote with a restart, so it must not vote after one.
      bootstrap_voter_(settings.bootstrap, 0),
      started_at_(now) {
  store_disk_ = std::move(disks.store);
  if (!disks.control) return;
  control_ =
      std::make_unique<ControlService>(messenger, view_, config_texts_, settings,
                                       std::move(server_list_source_factory), *std::move(disks.control), now);
  control_client_.set_replica_source([this] { return &control_->state(); });
}

void NodeCore::start(const JobRunnerFactory& job_runner_factory) {
  if (!store_disk_) return;
  store_ = std::make_unique<StoreService>(messenger_, control_client_, settings_, *std::move(store_disk_),
                                          job_runner_factory);
  store_disk_.reset();
  control_client_.set_in_sync_source([this] { return store_->in_sync_reports(); });
}

NodeCore::~NodeCore() = default;

void NodeCore::tick(Millis now) {
  shuffle(now);
  if (control_) control_->tick(now);
  control_client_.tick(now);
  operator_relay_.tick(now);
  if (store_) store_->tick(now);
  send_config_texts(now);
}

void NodeCore::send_config_texts(Millis now) {
  for (const ConfigTextProvider::OutgoingReply& answer : config_texts_.take_due_replies(now)) {
    messenger_.send(answer.to, encode_message(MessageType::kConfigTextReply, answer.reply));
  }
}

void NodeCore::shuffle(Millis now) {
  if (now < next_shuffle_) return;
  next_shuffle_ =
      now + (now < started_at_ + kStartupPeriodMs ? kStartupShuffleIntervalMs : kShuffleIntervalMs);
  if (const auto next = view_.start_shuffle(now)) {
    messenger_.send(next->first, encode_message(MessageType::kShuffle, next->second));
  }
}

void NodeCore::begin_stop(Millis now) {
  control_client_.mark_leaving();
  if (control_) control_->step_down(now);
}

void NodeCore::on_message(Millis now, const std::string& from, std::string_view bytes) {
  if (bytes.empty()) return;
  const auto type = static_cast<MessageType>(bytes.front());
  const std::string_view body = bytes.substr(1);
  dispatch_common(now, from, type, body);
  if (control_) dispatch_control(now, from, type, body);
  if (store_) dispatch_store(now, from, type, body);
}

// Handles the messages that every node accepts, whatever its role.
void NodeCore::dispatch_common(Millis now, const std::string& from, MessageType type, std::string_view body) {
  switch (type) {
    case MessageType::kShuffle:
      return decode_and_handle<Shuffle>(body, [&](const Shuffle& m) {
        messenger_.send(from, encode_message(MessageType::kShuffleReply, view_.on_shuffle(now, m, from)));
      });
    case MessageType::kShuffleReply:
      return decode_and_handle<Shuffle>(body, [&](const Shuffle& m) { view_.on_shuffle_reply(now, m); });
    case MessageType::kBootstrapRequest:
      return decode_and_handle<BootstrapRequest>(body, [&](const BootstrapRequest& m) {
        if (control_) return control_->on_bootstrap_request(from, m);
        const auto vote = bootstrap_voter_.on_request(m);
        if (vote) messenger_.send(from, encode_message(MessageType::kBootstrapVote, *vote));
      });
    case MessageType::kPollReply:
      return decode_and_handle<PollReply>(body, [&](const PollReply& m) { on_poll_reply(now, from, m); });
    case MessageType::kConfigTextRequest:
      return decode_and_handle<ConfigTextRequest>(body, [&](const ConfigTextRequest& m) {
        config_texts_.on_request(now, from, m);
        send_config_texts(now);
      });
    case MessageType::kConfigTextReply:
      return decode_and_handle<ConfigTextReply>(
          body, [&](const ConfigTextReply& m) { control_client_.on_config_text(now, from, m); });
    case MessageType::kOperatorReply:
      return decode_and_handle<OperatorReply>(
          body, [&](const OperatorReply& m) { operator_relay_.on_reply(now, m); });
    case MessageType::kJobReply:
      return decode_and_handle<JobReply>(body, [&](JobReply m) {
        if (hooks_.on_job_reply) hooks_.on_job_reply(std::move(m));
      });
    default:
      return;
  }
}

void NodeCore::dispatch_control(Millis now, const std::string& from, MessageType type,
                                std::string_view body) {
  switch (type) {
    case MessageType::kConsensus:
      return decode_and_handle<GroupMessage>(
          body, [&](const GroupMessage& m) { control_->on_consensus(now, from, m); });
    case MessageType::kBootstrapVote:
      return decode_and_handle<BootstrapVote>(
          body, [&](const BootstrapVote& m) { control_->on_bootstrap_vote(from, m); });
    case MessageType::kPoll:
      return decode_and_handle<Poll>(body, [&](const Poll& m) { control_->on_poll(now, from, m); });
    case MessageType::kOperatorCall:
      return decode_and_handle<OperatorCall>(body,
                                             [&](const OperatorCall& m) { on_operator_call(now, from, m); });
    default:
      return;
  }
}

void NodeCore::dispatch_store(Millis now, const std::string& from, MessageType type, std::string_view body) {
  switch (type) {
    case MessageType::kJobCall:
      return decode_and_handle<JobCall>(body,
                                        [&](JobCall m) { store_->on_job_call(now, from, std::move(m)); });
    case MessageType::kReplicate:
      return decode_and_handle<Replicate>(body, [&](const Replicate& m) { store_->on_replicate(from, m); });
    case MessageType::kReplicateReply:
      return decode_and_handle<ReplicateReply>(
          body, [&](const ReplicateReply& m) { store_->on_replicate_reply(now, m); });
    default:
      return;
  }
}

void NodeCore::on_poll_reply(Millis now, const std::string& from, const PollReply& reply) {
  const std::uint64_t placement = control_client_.state().placement().sequence;
  const std::uint64_t lists = control_client_.server_list_version();
  control_client_.on_reply(now, from, reply);
  if (control_ && reply.from_leader) control_->on_leader_heard();
  if (store_ && control_client_.state().placement().sequence != placement) store_->on_placement(now);
  if (hooks_.on_server_list_changed && control_client_.server_list_version() != lists)
    hooks_.on_server_list_changed();
  if (hooks_.on_position_updated) hooks_.on_position_updated();
}

void NodeCore::on_operator_call(Millis now, const std::string& from, const OperatorCall& call) {
  control_->on_operator_call(now, call, [this, from](const OperatorReply& reply) {
    messenger_.send(from, encode_message(MessageType::kOperatorReply, reply));
  });
}

}  // namespace nettlestand::tier
