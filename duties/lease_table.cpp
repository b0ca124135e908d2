#include "duties/lease_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duties/msgpack_codec.h"

namespace nettlestand::duties {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr double kMinLeaseSeconds = 0.1, kMaxLeaseSeconds = 86400;

bool valid(const std::string& name, bool may_be_empty = false) {
  return name.size() <= kMaxNameBytes && (may_be_empty || !name.empty());
}
bool valid(const std::vector<std::string>& names) {
  return names.size() <= kMaxListEntries &&
         std::all_of(names.begin(), names.end(), [](const auto& n) { return valid(n); });
}
bool valid(const Duty& d) {
  return valid(d.name) && d.lease_seconds >= kMinLeaseSeconds && d.lease_seconds <= kMaxLeaseSeconds &&
         valid(d.preferred_locations) && valid(d.anti_affinity) && valid(d.excluded_nodes);
}
bool valid(const Node& n) { return valid(n.name) && valid(n.zone, true) && valid(n.region, true); }

bool contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

const char* name_of(Cause cause) {
  constexpr const char* names[] = {"new", "asked", "given back", "passed", "lapsed", "failed"};
  return names[static_cast<std::size_t>(cause)];
}

const char* name_of(Refusal refusal) {
  constexpr const char* names[] = {"none",  "unknown", "held",     "stale",
                                   "never", "apart",   "bad name", "too many"};
  return names[static_cast<std::size_t>(refusal)];
}

const Lease* LeaseTable::find(const std::string& duty) const {
  const auto it = leases_.find(duty);
  return it == leases_.end() ? nullptr : &it->second;
}

Refusal LeaseTable::check(const Command& c) const {
  if (c.kind == Command::Kind::kDefine) {
    if (!valid(c.duty)) return Refusal::kInvalid;
    return find(c.duty.name) == nullptr && leases_.size() >= kMaxDuties ? Refusal::kTooManyDuties
                                                                        : Refusal::kNone;
  }
  const Lease* lease = find(c.name);
  if (lease == nullptr) return Refusal::kUnknownDuty;
  switch (c.kind) {
    case Command::Kind::kGrant: {
      if (!valid(c.node)) return Refusal::kInvalid;
      if (lease->holder) return Refusal::kHeld;
      if (c.token != lease->token) return Refusal::kStaleToken;
      if (contains(lease->duty.excluded_nodes, c.node.name)) return Refusal::kNodeExcluded;
      for (const auto& [name, other] : leases_) {
        // Compared by name: two generations of a node count as the same place.
        if (!other.holder || other.holder->name != c.node.name || name == c.name) continue;
        if (contains(lease->duty.anti_affinity, name) || contains(other.duty.anti_affinity, c.name))
          return Refusal::kAntiAffinity;
      }
      return Refusal::kNone;
    }
    case Command::Kind::kRelease:
      return lease->holder && lease->token == c.token ? Refusal::kNone : Refusal::kStaleToken;
    case Command::Kind::kTransfer:
      if (!valid(c.node.name)) return Refusal::kInvalid;
      return contains(lease->duty.excluded_nodes, c.node.name) ? Refusal::kNodeExcluded : Refusal::kNone;
    default:
      return Refusal::kNone;
  }
}

CommandResult LeaseTable::apply(const Command& c) {
  ++applied_;
  CommandResult out{check(c), 0};
  if (!out.ok()) return out;
  switch (c.kind) {
    case Command::Kind::kDefine:
      leases_[c.duty.name].duty = c.duty;
      break;
    case Command::Kind::kRemove:
      leases_.erase(c.name);
      break;
    case Command::Kind::kGrant: {
      Lease& lease = leases_[c.name];
      lease.holder = c.node;
      lease.token = out.token = ++last_token_;
      lease.cause = c.cause;
      lease.transfer_to.clear();
      break;
    }
    case Command::Kind::kRelease: {
      Lease& lease = leases_[c.name];
      lease.holder.reset();
      lease.cause = c.cause;
      break;
    }
    case Command::Kind::kTransfer:
      leases_[c.name].transfer_to = c.node.name;
      break;
  }
  return out;
}

std::string LeaseTable::snapshot() const {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(4);
  out.pack(kVersion);
  out.pack(last_token_);
  out.pack(applied_);
  out.pack_array(static_cast<std::uint32_t>(leases_.size()));
  for (const auto& [name, lease] : leases_) {
    out.pack_array(5);
    pack(out, lease.duty);
    out.pack(lease.token);
    if (lease.holder) {
      pack(out, *lease.holder);
    } else {
      out.pack_nil();
    }
    out.pack(static_cast<std::uint8_t>(lease.cause));
    out.pack(lease.transfer_to);
  }
  return {buffer.data(), buffer.size()};
}

void LeaseTable::restore(std::string_view bytes) {
  *this = decode_msgpack(bytes, [](const msgpack::object& o) {
    if (element_as<std::uint8_t>(o, 0, 4) != kVersion)
      throw DecodeError("lease table: unsupported format version");
    LeaseTable out;
    out.last_token_ = element_as<Token>(o, 1, 4);
    out.applied_ = element_as<std::uint64_t>(o, 2, 4);
    const msgpack::object& leases = element(o, 3, 4);
    if (leases.type != msgpack::type::ARRAY || leases.via.array.size > kMaxDuties)
      throw DecodeError("lease table: leases are not a list, or too many");
    for (std::uint32_t i = 0; i < leases.via.array.size; ++i) {
      const msgpack::object& x = leases.via.array.ptr[i];
      Lease lease;
      lease.duty = duty_from(element(x, 0, 5));
      lease.token = element_as<Token>(x, 1, 5);
      if (!element(x, 2, 5).is_nil()) lease.holder = node_from(element(x, 2, 5));
      lease.cause = enum_element(x, 3, 5, Cause::kFailed);
      lease.transfer_to = element_as<std::string>(x, 4, 5);
      if (!valid(lease.duty) || lease.token > out.last_token_)
        throw DecodeError("lease table: invalid lease");
      const std::string name = lease.duty.name;
      if (!out.leases_.emplace(name, std::move(lease)).second)
        throw DecodeError("lease table: duplicate duty");
    }
    return out;
  });
}

std::string encode(const Command& c) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  out.pack_array(7);
  out.pack(kVersion);
  out.pack(static_cast<std::uint8_t>(c.kind));
  out.pack(c.name);
  pack(out, c.duty);
  pack(out, c.node);
  out.pack(c.token);
  out.pack(static_cast<std::uint8_t>(c.cause));
  return {buffer.data(), buffer.size()};
}

Command decode(std::string_view bytes) {
  return decode_msgpack(bytes, [](const msgpack::object& o) {
    if (element_as<std::uint8_t>(o, 0, 7) != kVersion)
      throw DecodeError("command: unsupported format version");
    Command c;
    c.kind = enum_element(o, 1, 7, Command::Kind::kTransfer);
    c.name = element_as<std::string>(o, 2, 7);
    c.duty = duty_from(element(o, 3, 7));
    c.node = node_from(element(o, 4, 7));
    c.token = element_as<Token>(o, 5, 7);
    c.cause = enum_element(o, 6, 7, Cause::kFailed);
    return c;
  });
}

}  // namespace nettlestand::duties
