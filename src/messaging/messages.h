// What nodes say to each other. A message is one byte for its type, then its struct.
#pragma once

#include <boost/hana.hpp>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/codec.h"
#include "base/time.h"
#include "consensus/messages.h"
#include "control/state.h"

namespace nettlestand::tier {

enum class MessageType : std::uint8_t {
  kShuffle = 1,
  kShuffleReply,
  kConsensus,
  kBootstrapRequest,
  kBootstrapVote,
  kPoll,
  kPollReply,
  kOperatorCall,
  kOperatorReply,
  kJobCall,
  kJobReply,
  kReplicate,
  kReplicateReply,
  kConfigTextRequest,
  kConfigTextReply
};

template <class T>
std::string encode_message(MessageType type, const T& body) {
  std::string out(1, static_cast<char>(type));
  out += encode(body);
  return out;
}

// A process as others know it.
struct NodeInfo {
  BOOST_HANA_DEFINE_STRUCT(NodeInfo, (std::string, name), (std::string, address), (std::string, zone),
                           (bool, is_store), (bool, is_core), (std::uint64_t, disk_id),
                           (std::uint64_t, generation),  // rises with each start of the process
                           (std::uint64_t, heartbeat));  // rises while it lives
};

struct Shuffle {
  BOOST_HANA_DEFINE_STRUCT(Shuffle, (std::vector<NodeInfo>, nodes));
};

// Between replicas of one group.
struct GroupMessage {
  BOOST_HANA_DEFINE_STRUCT(GroupMessage, (std::uint32_t, group), (consensus::Message, message));
};

// A core machine asks the seeds whether it may form the groups, which only one ever may.
struct BootstrapRequest {
  BOOST_HANA_DEFINE_STRUCT(BootstrapRequest, (std::vector<consensus::Member>, members),
                           (std::uint64_t, proposer));
};
struct BootstrapVote {
  BOOST_HANA_DEFINE_STRUCT(BootstrapVote, (std::uint64_t, proposer), (bool, granted));
};

struct TokenRequest {
  BOOST_HANA_DEFINE_STRUCT(TokenRequest, (std::string, tenant), (std::uint32_t, wanted),
                           (std::uint32_t, returned));
};
struct TokenGrant {
  BOOST_HANA_DEFINE_STRUCT(TokenGrant, (std::string, tenant), (std::uint32_t, granted),
                           (bool, exhausted));  // the tenant is at its limit
};

// A primary tells that a joining store holds all of a shard.
struct InSyncReport {
  BOOST_HANA_DEFINE_STRUCT(InSyncReport, (std::uint32_t, shard), (std::uint64_t, epoch), (StoreId, store));
};

// A node asks a group's leader for what is new, and with it registers, renews its lease and asks for quota.
struct Poll {
  BOOST_HANA_DEFINE_STRUCT(Poll, (std::uint32_t, group), (NodeInfo, node), (Millis, sent_at),
                           (std::uint64_t, placement_sequence), (std::uint64_t, list_term),
                           (std::uint64_t, list_sequence), (std::vector<TokenRequest>, tokens),
                           (std::vector<InSyncReport>, in_sync), (bool, leaving));
};

// A model server as the platform's list shows it.
struct ListedServer {
  BOOST_HANA_DEFINE_STRUCT(ListedServer, (std::string, id), (std::string, service), (std::string, address),
                           (std::string, zone), (std::uint32_t, slots), (bool, draining),
                           (double, cold_left_ms));
};

struct ServerList {
  BOOST_HANA_DEFINE_STRUCT(ServerList, (std::uint64_t, term), (std::uint64_t, sequence),
                           (std::vector<ListedServer>, servers));
};

// The answer, also sent unasked when something changes. The lists hold one element or none unless they say
// more. It names the configuration in force; the bytes of that are asked for apart (ConfigTextRequest).
struct PollReply {
  BOOST_HANA_DEFINE_STRUCT(PollReply, (std::uint32_t, group), (bool, from_leader), (std::string, leader),
                           (Millis, sent_at),        // of the poll that is answered; 0: unasked
                           (ConfigVersion, config),  // what the leader has, whoever asks
                           (std::uint64_t, placement_sequence), (std::vector<PlacementTable>, placement),
                           (std::vector<ServerList>, servers), (std::uint32_t, index),
                           (std::uint32_t, count),  // among live nodes of the class
                           (std::uint32_t, zone_index), (std::uint32_t, zone_count),  // of these in its zone
                           (std::uint32_t, edges), (std::vector<TokenGrant>, grants));
};

// Asks any node for a version of the configuration that the leader has named, from an offset on.
struct ConfigTextRequest {
  BOOST_HANA_DEFINE_STRUCT(ConfigTextRequest, (ConfigVersion, id), (std::uint64_t, offset),
                           (std::uint64_t, held_sequence));  // 0: orders from there on are no use
};

enum class ConfigTextStatus : std::uint8_t {
  kChunk,        // `bytes` of the text from `offset` on
  kChanges,      // the orders that lead to the version from the one that the asking node holds
  kPending,      // the version is newer than what is held: the request is kept for a while
  kUnavailable,  // it will not be answered here
};

struct ConfigTextReply {
  BOOST_HANA_DEFINE_STRUCT(ConfigTextReply, (ConfigVersion, id), (ConfigTextStatus, status),
                           (std::uint64_t, offset), (std::uint64_t, total), (std::string, bytes),
                           (std::vector<SequencedChange>, changes));
};

// A call of the operator, passed on to the leader of the configuration's group.
struct OperatorCall {
  BOOST_HANA_DEFINE_STRUCT(OperatorCall, (std::uint64_t, call), (std::string, method), (std::string, path),
                           (std::uint64_t, base), (std::string, body));
};
struct OperatorReply {
  BOOST_HANA_DEFINE_STRUCT(OperatorReply, (std::uint64_t, call), (std::uint32_t, status), (std::string, body),
                           (bool, not_leader), (std::string, leader));
};

// ---------------------------------------------------------------- batch jobs

struct JobItem {
  BOOST_HANA_DEFINE_STRUCT(JobItem, (std::string, id), (std::string, path),
                           (std::vector<std::string>, header_names),
                           (std::vector<std::string>, header_values), (std::string, body),
                           (std::int64_t, tokens),
                           (std::uint64_t, digest));  // of what the client sent: batch/item_digest.h
};

struct JobSpec {
  BOOST_HANA_DEFINE_STRUCT(JobSpec, (std::string, id), (std::string, tenant), (std::string, route),
                           (std::string, host), (std::vector<JobItem>, items));
};

enum class ResultState : std::uint8_t { kCompleted, kDeadLetter };

struct JobResult {
  BOOST_HANA_DEFINE_STRUCT(JobResult, (std::uint32_t, item), (ResultState, state), (std::string, text));
};

enum class JobCallKind : std::uint8_t { kSubmit, kRead, kBody, kEnd };

struct JobCall {
  BOOST_HANA_DEFINE_STRUCT(JobCall, (std::uint64_t, call), (JobCallKind, kind), (std::string, tenant),
                           (std::string, job), (std::vector<JobSpec>, spec), (std::uint64_t, start_after),
                           (std::string, item), (Millis, wait_ms));
};

// Status as in HTTP; 0: this store is not the shard's primary, or can't be sure of it.
struct JobReply {
  BOOST_HANA_DEFINE_STRUCT(JobReply, (std::uint64_t, call), (std::uint32_t, status), (std::string, body));
};

// A change of one job, in the form that is kept on disk and sent to the other copies.
struct JobChange {
  BOOST_HANA_DEFINE_STRUCT(JobChange, (std::string, tenant), (std::string, job),
                           (std::vector<JobSpec>, spec),     // a new job, or the copy of one
                           (bool, reset),                    // forget the results that are held
                           (std::uint32_t, first_position),  // of `results`
                           (std::vector<JobResult>, results), (bool, ended), (bool, removed));
};

// What a copy holds of a job.
struct JobDigest {
  BOOST_HANA_DEFINE_STRUCT(JobDigest, (std::string, tenant), (std::string, job), (std::uint32_t, results),
                           (std::uint64_t, chain), (bool, ended));
};

// Orders the messages of a shard's primary within an epoch of its placement: by the starts of the process on
// its disk, then by the tenures of one start, then by the messages of one tenure. Each part has a number of
// its own, so that none can run over into the next.
struct MessageNumber {
  BOOST_HANA_DEFINE_STRUCT(MessageNumber, (std::uint64_t, generation), (std::uint64_t, tenure),
                           (std::uint64_t, message));
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const MessageNumber&) const = default;
};

// From a shard's primary. A copy answers once all changes are durable; `digest_wanted` asks what it holds.
struct Replicate {
  BOOST_HANA_DEFINE_STRUCT(Replicate, (std::uint32_t, shard), (std::uint64_t, epoch), (MessageNumber, number),
                           (StoreId, to), (std::vector<JobChange>, changes), (bool, digest_wanted));
};
struct ReplicateReply {
  BOOST_HANA_DEFINE_STRUCT(ReplicateReply, (std::uint32_t, shard), (std::uint64_t, epoch),
                           (MessageNumber, number), (StoreId, from), (bool, accepted), (bool, has_digest),
                           (std::vector<JobDigest>, digest));
};

}  // namespace nettlestand::tier
