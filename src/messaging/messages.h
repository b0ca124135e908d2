// The messages between nodes. On the wire a message is one byte for its type, followed by the encoded struct
// (base/codec.h). Fields are encoded in order and without names.
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

// The first byte of a message. Both ends of a connection have to agree on the values.
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

// Returns the type byte followed by the encoded `body`.
template <class T>
std::string encode_message(MessageType type, const T& body) {
  std::string out(1, static_cast<char>(type));
  out += encode(body);
  return out;
}

// A node as it is described to other nodes.
struct NodeInfo {
  BOOST_HANA_DEFINE_STRUCT(NodeInfo, (std::string, name), (std::string, address), (std::string, zone),
                           (bool, is_store), (bool, is_core), (std::uint64_t, disk_id),
                           (std::uint64_t, generation),  // increases with each start of the process
                           (std::uint64_t, heartbeat));  // incremented while the process runs
};

// A sample of the nodes in the sender's partial view, with the sender itself first. Also the form of the
// reply.
struct Shuffle {
  BOOST_HANA_DEFINE_STRUCT(Shuffle, (std::vector<NodeInfo>, nodes));
};

// A consensus message between replicas of one group.
struct GroupMessage {
  BOOST_HANA_DEFINE_STRUCT(GroupMessage, (std::uint32_t, group), (consensus::Message, message));
};

// Sent by a core machine to the seeds to ask whether it may form the consensus groups with `members`. Only
// one proposer, identified by its disk, may ever do so.
struct BootstrapRequest {
  BOOST_HANA_DEFINE_STRUCT(BootstrapRequest, (std::vector<consensus::Member>, members),
                           (std::uint64_t, proposer));
};
// A seed's answer to a BootstrapRequest.
struct BootstrapVote {
  BOOST_HANA_DEFINE_STRUCT(BootstrapVote, (std::uint64_t, proposer), (bool, granted));
};

// Asks for `wanted` tokens of a tenant's quota and gives back `returned` unused ones.
struct TokenRequest {
  BOOST_HANA_DEFINE_STRUCT(TokenRequest, (std::string, tenant), (std::uint32_t, wanted),
                           (std::uint32_t, returned));
};
// The leader's answer to a TokenRequest.
struct TokenGrant {
  BOOST_HANA_DEFINE_STRUCT(TokenGrant, (std::string, tenant), (std::uint32_t, granted),
                           (bool, exhausted));  // the tenant has reached its limit
};

// A primary's report that a joining store holds a complete copy of a shard.
struct InSyncReport {
  BOOST_HANA_DEFINE_STRUCT(InSyncReport, (std::uint32_t, shard), (std::uint64_t, epoch), (StoreId, store));
};

// A node's periodic request to the leader of a group. Asks for updates newer than the given versions; the
// same message registers the node, renews its lease and asks for quota.
struct Poll {
  BOOST_HANA_DEFINE_STRUCT(Poll, (std::uint32_t, group), (NodeInfo, node), (Millis, sent_at),
                           (std::uint64_t, placement_sequence), (std::uint64_t, list_term),
                           (std::uint64_t, list_sequence), (std::vector<TokenRequest>, tokens),
                           (std::vector<InSyncReport>, in_sync), (bool, leaving));
};

// A model server as it appears in the platform's server list.
struct ListedServer {
  BOOST_HANA_DEFINE_STRUCT(ListedServer, (std::string, id), (std::string, service), (std::string, address),
                           (std::string, zone), (std::uint32_t, slots), (bool, draining),
                           (double, cold_left_ms));
};

// A version of the server list, ordered by the term of the leader that issued it and a sequence number.
struct ServerList {
  BOOST_HANA_DEFINE_STRUCT(ServerList, (std::uint64_t, term), (std::uint64_t, sequence),
                           (std::vector<ListedServer>, servers));
};

// The answer to a Poll; also pushed without a request when something changes. `placement` and `servers` are
// optional values: they hold one element or none. The reply names the configuration in force; its text is
// requested separately (ConfigTextRequest). A reply that is not from the leader has only `group` and
// `leader`, the address of the leader if it is known.
struct PollReply {
  BOOST_HANA_DEFINE_STRUCT(PollReply, (std::uint32_t, group), (bool, from_leader), (std::string, leader),
                           (Millis, sent_at),        // copied from the poll; 0 in a pushed message
                           (ConfigVersion, config),  // the leader's version, independent of the poll
                           (std::uint64_t, placement_sequence), (std::vector<PlacementTable>, placement),
                           (std::vector<ServerList>, servers), (std::uint32_t, index),
                           (std::uint32_t, count),  // position among the live nodes of its role
                           (std::uint32_t, zone_index),
                           (std::uint32_t, zone_count),  // and of those in its zone
                           (std::uint32_t, edges), (std::vector<TokenGrant>, grants));
};

// Requests the text of a configuration version from `offset` on. Any node that holds the version may answer;
// the leader has named it in a PollReply.
struct ConfigTextRequest {
  BOOST_HANA_DEFINE_STRUCT(ConfigTextRequest, (ConfigVersion, id), (std::uint64_t, offset),
                           (std::uint64_t, held_sequence));  // 0: send the text, not changes
};

// What a ConfigTextReply contains.
enum class ConfigTextStatus : std::uint8_t {
  kChunk,        // `bytes` of the text, starting at `offset`
  kChanges,      // the orders that lead to the version from the one that the asking node holds
  kPending,      // the version is newer than the one held; the request is kept for a limited time
  kUnavailable,  // this node will not answer the request
};

// The answer to a ConfigTextRequest; `total` is the size of the whole text.
struct ConfigTextReply {
  BOOST_HANA_DEFINE_STRUCT(ConfigTextReply, (ConfigVersion, id), (ConfigTextStatus, status),
                           (std::uint64_t, offset), (std::uint64_t, total), (std::string, bytes),
                           (std::vector<SequencedChange>, changes));
};

// A request of the operator API, forwarded to the leader of the group that holds the configuration. `call` is
// an identifier that the reply repeats.
struct OperatorCall {
  BOOST_HANA_DEFINE_STRUCT(OperatorCall, (std::uint64_t, call), (std::string, method), (std::string, path),
                           (std::uint64_t, base), (std::string, body));
};
// The answer to an OperatorCall. `status` is an HTTP status. With `not_leader` the call was not executed and
// `leader` names the leader, where it is known.
struct OperatorReply {
  BOOST_HANA_DEFINE_STRUCT(OperatorReply, (std::uint64_t, call), (std::uint32_t, status), (std::string, body),
                           (bool, not_leader), (std::string, leader));
};

// ---------------------------------------------------------------- batch jobs

// One item of a batch job: a request to a model server.
struct JobItem {
  BOOST_HANA_DEFINE_STRUCT(
      JobItem, (std::string, id), (std::string, path), (std::vector<std::string>, header_names),
      (std::vector<std::string>, header_values), (std::string, body), (std::int64_t, tokens),
      (std::uint64_t, digest));  // of the bytes that the client sent; see batch/item_digest.h
};

// A batch job as it was submitted.
struct JobSpec {
  BOOST_HANA_DEFINE_STRUCT(JobSpec, (std::string, id), (std::string, tenant), (std::string, route),
                           (std::string, host), (std::vector<JobItem>, items));
};

// How an item ended. A dead letter is an item that is not retried any more.
enum class ResultState : std::uint8_t { kCompleted, kDeadLetter };

// The result of the item at index `item` of the job.
struct JobResult {
  BOOST_HANA_DEFINE_STRUCT(JobResult, (std::uint32_t, item), (ResultState, state), (std::string, text));
};

// kRead reads a job's status and results, kBody the body of an item that has no result yet; kEnd ends the
// job.
enum class JobCallKind : std::uint8_t { kSubmit, kRead, kBody, kEnd };

// A request on a batch job, sent to the primary of its shard. `call` is an identifier that the reply repeats.
struct JobCall {
  BOOST_HANA_DEFINE_STRUCT(JobCall, (std::uint64_t, call), (JobCallKind, kind), (std::string, tenant),
                           (std::string, job), (std::vector<JobSpec>, spec), (std::uint64_t, start_after),
                           (std::string, item), (Millis, wait_ms));
};

// The answer to a JobCall. `status` is an HTTP status, or 0 where this store is not the shard's primary or
// can't be certain that it is.
struct JobReply {
  BOOST_HANA_DEFINE_STRUCT(JobReply, (std::uint64_t, call), (std::uint32_t, status), (std::string, body));
};

// A change to one job, in the form that is stored on disk and sent to the other replicas.
struct JobChange {
  BOOST_HANA_DEFINE_STRUCT(JobChange, (std::string, tenant), (std::string, job),
                           (std::vector<JobSpec>, spec),     // set for a new job and for a full copy
                           (bool, reset),                    // discard the results stored so far
                           (std::uint32_t, first_position),  // of `results` in the job's results
                           (std::vector<JobResult>, results), (bool, ended), (bool, removed));
};

// Summary of what a replica holds of a job; `chain` is a chained digest of its results.
struct JobDigest {
  BOOST_HANA_DEFINE_STRUCT(JobDigest, (std::string, tenant), (std::string, job), (std::uint32_t, results),
                           (std::uint64_t, chain), (bool, ended));
};

// Orders the messages of a shard's primary within one epoch of the shard's placement: by generation (starts
// of the process on its disk), then by tenure (a period as primary within one generation), then by message
// within the tenure. The parts are separate numbers, so that none can overflow into the next.
struct MessageNumber {
  BOOST_HANA_DEFINE_STRUCT(MessageNumber, (std::uint64_t, generation), (std::uint64_t, tenure),
                           (std::uint64_t, message));
  // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 of a defaulted comparison for a pointer.
  auto operator<=>(const MessageNumber&) const = default;
};

// Sent by a shard's primary to the store `to`, which replies once all changes are durable. With
// `digest_wanted` the reply contains a digest of the jobs that the replica holds.
struct Replicate {
  BOOST_HANA_DEFINE_STRUCT(Replicate, (std::uint32_t, shard), (std::uint64_t, epoch), (MessageNumber, number),
                           (StoreId, to), (std::vector<JobChange>, changes), (bool, digest_wanted));
};
// The answer to a Replicate message, with the number of that message.
struct ReplicateReply {
  BOOST_HANA_DEFINE_STRUCT(ReplicateReply, (std::uint32_t, shard), (std::uint64_t, epoch),
                           (MessageNumber, number), (StoreId, from), (bool, accepted), (bool, has_digest),
                           (std::vector<JobDigest>, digest));
};

}  // namespace nettlestand::tier
