// Who holds which duty: the state that voters replicate. Commands in the order of their log go in, the same
// at every voter; no I/O, no clock, no randomness. What it promises: a duty has one holder at the most, and
// each grant has a token larger than all before it, over all duties. When a lease is over, and who is to have
// it next, is decided beside it (keeper.h) and comes in as a command.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::duties {

// Grows with each grant; 0: none. Whatever carries out an effect of a duty takes no lower one than it has
// seen.
using Token = std::uint64_t;

inline constexpr const char* kAnyOtherNode = "*";

constexpr std::size_t kMaxNameBytes = 64;    // bytes, of duties, nodes, zones and regions
constexpr std::size_t kMaxListEntries = 64;  // names in one list of a duty
constexpr std::size_t kMaxDuties = 4096;

// A process that may hold duties: its name, and the life that tells it from its former selves.
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
  double lease_seconds = 5;                      // s; of a lease
  std::vector<std::string> preferred_locations;  // zones or regions, the best first
  std::vector<std::string> anti_affinity;        // duties that are never to be on the same node
  std::vector<std::string> excluded_nodes;       // nodes that may not hold it
  bool operator==(const Duty&) const = default;
};

// Why a duty is where it is.
enum class Cause : std::uint8_t {
  kNew,          // it was never held
  kRequested,    // granted to who asked
  kReleased,     // its holder gave it back
  kTransferred,  // an operator had it passed on
  kExpired,      // its holder was not heard for a lease's length
  kFailed        // its holder could not do it
};
const char* name_of(Cause cause);

struct Lease {
  Duty duty;
  Token token = 0;             // of the last grant
  std::optional<Node> holder;  // none: it is free
  Cause cause = Cause::kNew;
  std::string transfer_to;  // whom an operator wants it passed to, until somebody has it; kAnyOther: no
                            // matter to whom
  bool operator==(const Lease&) const = default;
};

struct Command {
  enum class Kind : std::uint8_t {
    kDefine,   // `duty`, new or with other settings; who holds it keeps it
    kRemove,   // `name`: it is nobody's, and forgotten
    kGrant,    // `name` to `node`, if it is free and `token` is still that of the last grant
    kRelease,  // `name` from who has `token`, for `cause`
    kTransfer  // `name` to the node called `node.name`, or kAnyOther, once it is free
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
  kHeld,          // somebody has it
  kStaleToken,    // the token is not that of the last grant
  kNodeExcluded,  // this node may not have it
  kAntiAffinity,  // this node has a duty that must be elsewhere
  kInvalid,       // a name or a list that is empty or too long, a length out of range
  kTooManyDuties
};
const char* name_of(Refusal refusal);

struct CommandResult {
  Refusal refusal = Refusal::kNone;
  Token token = 0;  // of a grant
  bool ok() const { return refusal == Refusal::kNone; }
};

// What can't be read: bytes that are none of ours, or of another version.
struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class LeaseTable {
 public:
  // Whether a command would do something, and why not. For whoever means to propose it.
  Refusal check(const Command& command) const;
  CommandResult apply(const Command& command);

  const Lease* find(const std::string& duty) const;
  const std::map<std::string, Lease>& leases() const { return leases_; }
  Token last_token() const { return last_token_; }
  std::uint64_t applied_count() const { return applied_; }
  bool operator==(const LeaseTable&) const = default;

  // The whole table as bytes, and back. Throws BadBytes, and changes nothing.
  std::string snapshot() const;
  void restore(std::string_view bytes);

 private:
  std::map<std::string, Lease> leases_;
  Token last_token_ = 0;
  std::uint64_t applied_ = 0;
};

// A command as bytes, and back. Throws BadBytes.
std::string encode(const Command& command);
Command decode(std::string_view bytes);

}  // namespace nettlestand::duties
