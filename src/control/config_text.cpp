#include "control/config_text.h"

#include <algorithm>

#include "control/state.h"

namespace nettlestand::tier {
namespace {

// How long a provider holds a request for a version that it is itself waiting for.
constexpr Millis kMaxRequestHoldMs = 600;
constexpr Millis kReplyTimeoutMs = 400;  // after which the next source is asked
// The same, once a source has replied that it is waiting for the version itself.
constexpr Millis kPendingReplyTimeoutMs = 700;
constexpr Millis kAllSourcesFailedBackoffMs = 100;
constexpr Millis kOldVersionTtlMs = 1500;  // how long an older version is kept after its last request
constexpr std::size_t kMaxVersions = 4;
constexpr std::size_t kMaxPendingRequests = 1024;
constexpr double kBurstSeconds = 0.05;
constexpr double kMinBurstBytes = 2.0 * ConfigTextProvider::kChunkBytes;
constexpr std::uint64_t kMaxConfigBytes = 64U << 20;

std::size_t size_in_bytes(const std::vector<SequencedChange>& changes) {
  std::size_t sum = 0;
  for (const SequencedChange& change : changes) sum += change.change.body.size() + sizeof(SequencedChange);
  return sum;
}

bool same_version(const ConfigVersion& a, const ConfigVersion& b) {
  return a.sequence == b.sequence && a.digest_high == b.digest_high && a.digest_low == b.digest_low;
}

}  // namespace

// ---------------------------------------------------------------- provider

ConfigTextProvider::ConfigTextProvider(double bytes_per_s)
    : bytes_per_s_(bytes_per_s), send_budget_(kMinBurstBytes) {}

ConfigTextProvider::StoredVersion* ConfigTextProvider::find(const ConfigVersion& id) {
  const auto found = std::find_if(versions_.begin(), versions_.end(),
                                  [&](const StoredVersion& version) { return same_version(version.id, id); });
  return found == versions_.end() ? nullptr : &*found;
}

void ConfigTextProvider::add_version(const ConfigVersion& id, ConfigText text,
                                     const std::vector<SequencedChange>& changes) {
  if (!versions_.empty() && versions_.back().id.sequence >= id.sequence) return;
  if (changes.empty()) change_feed_.reset();
  for (const SequencedChange& change : changes) change_feed_.append(change);
  StoredVersion version;
  version.id = id;
  version.text = std::move(text);
  versions_.push_back(std::move(version));
  if (versions_.size() > kMaxVersions) versions_.pop_front();
}

void ConfigTextProvider::drop_old_versions(Millis now) {
  while (versions_.size() > 1 && versions_.front().last_requested_at + kOldVersionTtlMs < now)
    versions_.pop_front();
}

void ConfigTextProvider::on_request(Millis now, const std::string& from, const ConfigTextRequest& request) {
  std::erase_if(pending_requests_, [&](const PendingRequest& pending) { return pending.from == from; });
  if (pending_requests_.size() >= kMaxPendingRequests) pending_requests_.pop_front();
  PendingRequest pending;
  pending.from = from;
  pending.request = request;
  pending.hold_until = now + kMaxRequestHoldMs;
  pending_requests_.push_back(std::move(pending));
}

void ConfigTextProvider::refill(Millis now) {
  const double burst = std::max(kMinBurstBytes, bytes_per_s_ * kBurstSeconds);
  send_budget_ += bytes_per_s_ * static_cast<double>(now - refilled_at_) / 1000;
  send_budget_ = std::min(send_budget_, burst);
  refilled_at_ = now;
}

ConfigTextReply ConfigTextProvider::make_reply(const StoredVersion& version,
                                               const ConfigTextRequest& request) const {
  ConfigTextReply out{};
  out.id = version.id;
  out.total = version.text->size();
  if (request.offset == 0 && request.held_sequence > 0) {
    if (auto changes = change_feed_.changes_between(request.held_sequence, version.id.sequence)) {
      if (size_in_bytes(*changes) < std::min(kChunkBytes, version.text->size())) {
        out.status = ConfigTextStatus::kChanges;
        out.changes = *std::move(changes);
        return out;
      }
    }
  }
  out.status = ConfigTextStatus::kChunk;
  out.offset = std::min<std::uint64_t>(request.offset, version.text->size());
  out.bytes = version.text->substr(out.offset, kChunkBytes);
  return out;
}

std::vector<ConfigTextProvider::OutgoingReply> ConfigTextProvider::take_due_replies(Millis now) {
  std::vector<OutgoingReply> out;
  refill(now);
  std::deque<PendingRequest> left;
  for (PendingRequest& pending : pending_requests_) {
    StoredVersion* version = find(pending.request.id);
    if (version != nullptr && send_budget_ > 0) {
      version->last_requested_at = now;
      out.push_back({pending.from, make_reply(*version, pending.request)});
      send_budget_ -= static_cast<double>(out.back().reply.bytes.size());
      continue;
    }
    const bool is_newer = versions_.empty() || pending.request.id.sequence > versions_.back().id.sequence;
    const bool gives_up = version == nullptr && (!is_newer || now >= pending.hold_until);
    const bool is_new = pending.hold_until == now + kMaxRequestHoldMs;
    if (gives_up || (version == nullptr && is_new)) {
      ConfigTextReply reply{};
      reply.id = pending.request.id;
      reply.status = gives_up ? ConfigTextStatus::kUnavailable : ConfigTextStatus::kPending;
      out.push_back({pending.from, std::move(reply)});
    }
    if (!gives_up) left.push_back(std::move(pending));
  }
  pending_requests_.swap(left);
  drop_old_versions(now);
  return out;
}

// ---------------------------------------------------------------- fetcher

void ConfigTextFetcher::start_fetch(const ConfigVersion& id) {
  target_ = id;
  bytes_.clear();
  full_text_only_ = false;
  request_pending_ = false;
  source_index_ = 0;
  retry_at_ = 0;
}

void ConfigTextFetcher::fetch(const ConfigVersion& id) {
  if (!newest_ || newest_->sequence < id.sequence) newest_ = id;
  if (!target_) start_fetch(*newest_);
}

void ConfigTextFetcher::on_version_held(std::uint64_t sequence) {
  if (newest_ && newest_->sequence <= sequence) newest_.reset();
  if (!target_ || target_->sequence > sequence) return;
  target_.reset();
  bytes_.clear();
  if (newest_) start_fetch(*newest_);
}

// Moves on to the next source, and switches to the newest known version, which is fetched from the start.
// After the last source it backs off and starts again with the first.
void ConfigTextFetcher::try_next_source(Millis now) {
  request_pending_ = false;
  ++source_index_;
  if (newest_ && target_ && newest_->sequence > target_->sequence) {
    const std::size_t source = source_index_;
    start_fetch(*newest_);
    source_index_ = source;
  }
  if (source_index_ < sources_().size()) return;
  source_index_ = 0;
  retry_at_ = now + kAllSourcesFailedBackoffMs;
}

std::optional<ConfigTextFetcher::Request> ConfigTextFetcher::next_request(Millis now,
                                                                          std::uint64_t held_sequence) {
  if (!target_) return std::nullopt;
  if (request_pending_ && now >= reply_deadline_) try_next_source(now);
  if (request_pending_ || now < retry_at_) return std::nullopt;
  const std::vector<std::string> sources = sources_();
  if (sources.empty()) return std::nullopt;
  Request out;
  out.to = sources[source_index_ % sources.size()];
  out.request.id = *target_;
  out.request.offset = bytes_.size();
  out.request.held_sequence = full_text_only_ ? 0 : held_sequence;
  request_pending_ = true;
  reply_deadline_ = now + kReplyTimeoutMs;
  return out;
}

std::optional<ConfigTextFetcher::Fetched> ConfigTextFetcher::verify(Millis now, Fetched fetched) {
  if (same_version(config_version_of(fetched.id.sequence, *fetched.text), fetched.id)) return fetched;
  bytes_.clear();
  full_text_only_ = true;
  try_next_source(now);
  return std::nullopt;
}

std::optional<ConfigTextFetcher::Fetched> ConfigTextFetcher::on_reply(Millis now, const std::string& from,
                                                                      const ConfigTextReply& reply,
                                                                      std::uint64_t held_sequence,
                                                                      const ConfigText& held) {
  if (!target_ || !same_version(*target_, reply.id)) return std::nullopt;
  const std::vector<std::string> sources = sources_();
  const bool is_current_source =
      request_pending_ && !sources.empty() && sources[source_index_ % sources.size()] == from;
  switch (reply.status) {
    case ConfigTextStatus::kPending:
      if (is_current_source) reply_deadline_ = now + kPendingReplyTimeoutMs;
      return std::nullopt;
    case ConfigTextStatus::kUnavailable:
      if (is_current_source) try_next_source(now);
      return std::nullopt;
    case ConfigTextStatus::kChanges: {
      if (full_text_only_ || held == nullptr) return std::nullopt;
      auto text = apply_changes(*held, held_sequence, reply.changes, target_->sequence);
      return verify(now, {*target_, std::make_shared<const std::string>(std::move(text)), reply.changes});
    }
    case ConfigTextStatus::kChunk:
      break;
  }
  if (reply.offset != bytes_.size() || reply.total > kMaxConfigBytes) return std::nullopt;
  bytes_ += reply.bytes;
  request_pending_ = false;
  if (bytes_.size() < reply.total && !reply.bytes.empty()) return std::nullopt;
  return verify(now, {*target_, std::make_shared<const std::string>(std::exchange(bytes_, {})), {}});
}

}  // namespace nettlestand::tier
