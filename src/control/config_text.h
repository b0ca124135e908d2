// Distribution of the configuration's text to the nodes.
//
// The leader announces only the sequence and digest of the current version. The text is the same wherever it
// comes from, so any node that has it may serve it. A node requests it in chunks from one source at a time,
// the nearest first, and verifies the complete text against the announced digest. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/change_feed.h"
#include "messaging/messages.h"

namespace nettlestand::tier {

using ConfigText = std::shared_ptr<const std::string>;

// Serves the versions that this node has, at a limited rate. Holds requests for a version that this node has
// not received yet.
class ConfigTextProvider {
 public:
  struct OutgoingReply {
    std::string to;
    ConfigTextReply reply{};
  };
  static constexpr std::size_t kChunkBytes = 32U << 10;

  explicit ConfigTextProvider(double bytes_per_s);

  // Adds a version that this node now has; ignored unless it is newer than all earlier ones. Some earlier
  // versions are kept while they are requested. `changes` lead to it from the previous version; empty if they
  // are not known.
  void add_version(const ConfigVersion& id, ConfigText text, const std::vector<SequencedChange>& changes);

  void on_request(Millis now, const std::string& from, const ConfigTextRequest& request);
  // Returns the replies that the rate limit allows to be sent now. To be called periodically.
  std::vector<OutgoingReply> take_due_replies(Millis now);

 private:
  struct StoredVersion {
    ConfigVersion id{};
    ConfigText text;
    Millis last_requested_at = 0;
  };
  struct PendingRequest {
    std::string from;
    ConfigTextRequest request{};
    Millis hold_until = 0;
  };
  StoredVersion* find(const ConfigVersion& id);
  ConfigTextReply make_reply(const StoredVersion& version, const ConfigTextRequest& request) const;
  void refill(Millis now);
  void drop_old_versions(Millis now);

  double bytes_per_s_;
  double send_budget_;  // bytes that may be sent now (token bucket)
  Millis refilled_at_ = 0;
  std::deque<StoredVersion> versions_;  // newest last
  std::deque<PendingRequest> pending_requests_;
  ChangeFeed change_feed_;
};

// Fetches the version that the leader has announced.
class ConfigTextFetcher {
 public:
  // Returns the addresses of nodes to fetch from, nearest first.
  using Sources = std::function<std::vector<std::string>()>;
  struct Fetched {
    ConfigVersion id{};
    ConfigText text;
    std::vector<SequencedChange> changes;  // from the version held before; empty if the full text was sent
  };
  struct Request {
    std::string to;
    ConfigTextRequest request{};
  };

  explicit ConfigTextFetcher(Sources sources) : sources_(std::move(sources)) {}

  // Starts to fetch a version that the leader has announced and that is newer than the one held.
  void fetch(const ConfigVersion& id);
  // Returns the request to send now, if any. `held_sequence`: the version that this node has.
  std::optional<Request> next_request(Millis now, std::uint64_t held_sequence);
  // Returns the version once it is complete and its digest is correct. `held`: the text of the version that
  // this node has.
  std::optional<Fetched> on_reply(Millis now, const std::string& from, const ConfigTextReply& reply,
                                  std::uint64_t held_sequence, const ConfigText& held);
  // Reports that this node has a version, from whatever source.
  void on_version_held(std::uint64_t sequence);
  bool is_idle() const { return !target_; }

 private:
  void start_fetch(const ConfigVersion& id);
  void try_next_source(Millis now);
  std::optional<Fetched> verify(Millis now, Fetched fetched);

  Sources sources_;
  std::optional<ConfigVersion> newest_;  // newest announced version
  std::optional<ConfigVersion> target_;  // version being fetched
  std::string bytes_;                    // received part of the target
  bool full_text_only_ = false;          // the changes did not result in the target
  bool request_pending_ = false;
  std::size_t source_index_ = 0;  // index of the current source
  Millis reply_deadline_ = 0, retry_at_ = 0;
};

}  // namespace nettlestand::tier
