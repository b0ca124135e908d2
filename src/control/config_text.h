// The bytes of the configuration on their way to the nodes, apart from word of which version is in force.
//
// The leader names a version by its sequence and digest; the bytes are the same wherever they come from, so
// any node that holds them may hand them out. A node asks one holder at a time, the nearest first, piece by
// piece, and checks the whole against the digest that the leader named. No I/O.
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

// Hands out versions that this node holds, at a bounded rate, and keeps requests for one that is on its way.
class ConfigTextProvider {
 public:
  struct OutgoingReply {
    std::string to;
    ConfigTextReply reply{};
  };
  static constexpr std::size_t kChunkBytes = 32U << 10;

  explicit ConfigTextProvider(double bytes_per_s);

  // A version that this node holds now; nothing where it is not newer than those before, of which some stay
  // while they are asked for. `orders`: that led to it from the one before; empty where these are not known.
  void add_version(const ConfigVersion& id, ConfigText text, const std::vector<SequencedChange>& changes);

  void on_request(Millis now, const std::string& from, const ConfigTextRequest& request);
  // What may be sent now; to be asked again with time.
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
  double send_budget_;  // bytes that may be sent at once
  Millis refilled_at_ = 0;
  std::deque<StoredVersion> versions_;  // the newest last
  std::deque<PendingRequest> pending_requests_;
  ChangeFeed change_feed_;
};

// Brings this node to the version that the leader has named.
class ConfigTextFetcher {
 public:
  // Nodes to ask, the nearest first.
  using Sources = std::function<std::vector<std::string>()>;
  struct Fetched {
    ConfigVersion id{};
    ConfigText text;
    std::vector<SequencedChange> changes;  // that led to it from the version held; empty where it came whole
  };
  struct Request {
    std::string to;
    ConfigTextRequest request{};
  };

  explicit ConfigTextFetcher(Sources sources) : sources_(std::move(sources)) {}

  // The leader has named a version that is newer than the one held.
  void fetch(const ConfigVersion& id);
  // What has to be sent now, if anything. `held`: the version that this node has, and its text.
  std::optional<Request> next_request(Millis now, std::uint64_t held_sequence);
  // The whole version once its last piece is there and its digest is right.
  std::optional<Fetched> on_reply(Millis now, const std::string& from, const ConfigTextReply& reply,
                                  std::uint64_t held_sequence, const ConfigText& held);
  // The version is held, wherever it came from.
  void on_version_held(std::uint64_t sequence);
  bool is_idle() const { return !target_; }

 private:
  void start_fetch(const ConfigVersion& id);
  void try_next_source(Millis now);
  std::optional<Fetched> verify(Millis now, Fetched fetched);

  Sources sources_;
  std::optional<ConfigVersion> newest_;  // that was named
  std::optional<ConfigVersion> target_;  // that is being fetched
  std::string bytes_;                    // of the target so far
  bool full_text_only_ = false;          // the orders did not lead to the target
  bool request_pending_ = false;
  std::size_t source_index_ = 0;  // that is asked, by its place in the list
  Millis reply_deadline_ = 0, retry_at_ = 0;
};

}  // namespace nettlestand::tier
