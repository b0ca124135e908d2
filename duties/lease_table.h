// The replicated state machine: which node holds the lease of which duty. It applies the commands of the log
// in order and is deterministic: no I/O, no clock, no randomness. It guarantees that a duty has at most one
// holder, and that each grant's fencing token is larger than all earlier tokens of all duties. The leader
// decides when a lease has expired and who gets it next (lease_manager.h), and submits that as a command.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::duties {

// Fencing token: grows with each grant; 0 is none. A resource that carries out effects of a duty rejects a
// token lower than the highest that it has seen.
using Token = std::uint64_t;

inline constexpr const char* kAnyOtherNode = "*";

constexpr std::size_t kMaxNameBytes = 64;    // of duties, nodes, zones and regions
constexpr std::size_t kMaxListEntries = 64;  // entries in one list of a duty
constexpr std::size_t kMaxDuties = 4096;

// A process that may hold duties. `generation` tells it from earlier processes of the same name.
struct Node {
  std::string name;
  std::uint64_t generation = 0;
  std::string zone, region;
  bool operator==(const Node&) const = default;
  bool same_generation(const Node& other) const {
    return name == other.name && generation == other.generation;
  }
};

struct Duty {
  std::string name;
  double lease_seconds = 5;
  std::vector<std::string> preferred_locations;  // zones or regions, best first
  std::vector<std::string> anti_affinity;        // duties that must not be held by the same node
  std::vector<std::string> excluded_nodes;       // nodes that must not hold it
  bool operator==(const Duty&) const = default;
};

// Why a duty was granted to its holder, or was released.
enum class Cause : std::uint8_t {
  kNew,          // never held
  kRequested,    // granted on request
  kReleased,     // released by its holder
  kTransferred,  // moved by an operator
  kExpired,      // not renewed for the lease's duration
  kFailed        // its holder could not carry it out
};
const char* name_of(Cause cause);

struct Lease {
  Duty duty;
  Token token = 0;             // of the last grant
  std::optional<Node> holder;  // none: the duty is free
  Cause cause = Cause::kNew;
  std::string transfer_to;  // target of an operator's transfer, cleared by the next grant; kAnyOtherNode: any
  bool operator==(const Lease&) const = default;
};

struct Command {
  enum class Kind : std::uint8_t {
    kDefine,   // adds `duty` or replaces its settings; a holder keeps it
    kRemove,   // deletes `name`, also while it is held
    kGrant,    // grants `name` to `node` if it is free and `token` is still that of the last grant
    kRelease,  // frees `name` if its holder has `token`, for `cause`
    kTransfer  // asks that `name` moves to the node `node.name`, or kAnyOtherNode
  };
  Kind kind = Kind::kGrant;
  std::string name;
  Duty duty;
  Node node;
  Token token = 0;
  Cause cause = Cause::kNew;
  bool operator==(const Command&) const = default;
};

enum class Refusal : std::uint8_t {
  kNone,
  kUnknownDuty,   // no such duty
  kHeld,          // the duty is held
  kStaleToken,    // the token is not that of the last grant
  kNodeExcluded,  // the node must not hold this duty
  kAntiAffinity,  // the node holds a duty that must be on another node
  kInvalid,       // an empty or too long name, too long a list, or a lease duration out of range
  kTooManyDuties
};
const char* name_of(Refusal refusal);

struct CommandResult {
  Refusal refusal = Refusal::kNone;
  Token token = 0;  // of a grant
  bool ok() const { return refusal == Refusal::kNone; }
};

// Bytes that can't be decoded: malformed, or of another format version.
struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class LeaseTable {
 public:
  // Whether apply() would accept a command, and if not, why. Used before a command is proposed.
  Refusal check(const Command& command) const;
  CommandResult apply(const Command& command);

  const Lease* find(const std::string& duty) const;
  const std::map<std::string, Lease>& leases() const { return leases_; }
  Token last_token() const { return last_token_; }
  std::uint64_t applied_count() const { return applied_; }
  bool operator==(const LeaseTable&) const = default;

  // Encodes the whole table. restore() throws DecodeError and then changes nothing.
  std::string snapshot() const;
  void restore(std::string_view bytes);

 private:
  std::map<std::string, Lease> leases_;
  Token last_token_ = 0;
  std::uint64_t applied_ = 0;
};

// Encodes a command for the log. decode() throws DecodeError.
std::string encode(const Command& command);
Command decode(std::string_view bytes);

}  // namespace nettlestand::duties
