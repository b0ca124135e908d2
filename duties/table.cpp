#include "duties/table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "duties/pack.h"

namespace nettlestand::duties {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr double kShortest = 0.1, kLongest = 86400;  // s, of a lease

bool good(const std::string& name, bool may_be_empty = false) {
  return name.size() <= kLongestName && (may_be_empty || !name.empty());
}
bool good(const std::vector<std::string>& names) {
  return names.size() <= kMostListed &&
         std::all_of(names.begin(), names.end(), [](const auto& n) { return good(n); });
}
bool good(const Duty& d) {
  return good(d.name) && d.length >= kShortest && d.length <= kLongest && good(d.prefer) && good(d.apart) &&
         good(d.never);
}
bool good(const Node& n) { return good(n.name) && good(n.zone, true) && good(n.region, true); }

bool holds(const std::vector<std::string>& names, const std::string& name) {
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

const Lease* Table::find(const std::string& duty) const {
  const auto it = leases_.find(duty);
  return it == leases_.end() ? nullptr : &it->second;
}

Refusal Table::check(const Command& c) const {
  if (c.kind == Command::Kind::kDefine) {
    if (!good(c.duty)) return Refusal::kBadName;
    return find(c.duty.name) == nullptr && leases_.size() >= kMostDuties ? Refusal::kTooMany : Refusal::kNone;
  }
  const Lease* lease = find(c.name);
  if (lease == nullptr) return Refusal::kUnknown;
  switch (c.kind) {
    case Command::Kind::kGrant: {
      if (!good(c.node)) return Refusal::kBadName;
      if (lease->holder) return Refusal::kHeld;
      if (c.token != lease->token) return Refusal::kStale;
      if (holds(lease->duty.never, c.node.name)) return Refusal::kNever;
      for (const auto& [name, other] : leases_) {
        // By name: two lives of one node are one place.
        if (!other.holder || other.holder->name != c.node.name || name == c.name) continue;
        if (holds(lease->duty.apart, name) || holds(other.duty.apart, c.name)) return Refusal::kApart;
      }
      return Refusal::kNone;
    }
    case Command::Kind::kRelease:
      return lease->holder && lease->token == c.token ? Refusal::kNone : Refusal::kStale;
    case Command::Kind::kPass:
      if (!good(c.node.name)) return Refusal::kBadName;
      return holds(lease->duty.never, c.node.name) ? Refusal::kNever : Refusal::kNone;
    default:
      return Refusal::kNone;
  }
}

Applied Table::apply(const Command& c) {
  ++applied_;
  Applied out{check(c), 0};
  if (!out.done()) return out;
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
      lease.next.clear();
      break;
    }
    case Command::Kind::kRelease: {
      Lease& lease = leases_[c.name];
      lease.holder.reset();
      lease.cause = c.cause;
      break;
    }
    case Command::Kind::kPass:
      leases_[c.name].next = c.node.name;
      break;
  }
  return out;
}

std::string Table::snapshot() const {
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
    out.pack(lease.next);
  }
  return {buffer.data(), buffer.size()};
}

void Table::restore(std::string_view bytes) {
  *this = reading(bytes, [](const msgpack::object& o) {
    if (as<std::uint8_t>(o, 0, 4) != kVersion) throw BadBytes("a table of another version");
    Table out;
    out.last_token_ = as<Token>(o, 1, 4);
    out.applied_ = as<std::uint64_t>(o, 2, 4);
    const msgpack::object& leases = part(o, 3, 4);
    if (leases.type != msgpack::type::ARRAY || leases.via.array.size > kMostDuties)
      throw BadBytes("no list of leases");
    for (std::uint32_t i = 0; i < leases.via.array.size; ++i) {
      const msgpack::object& x = leases.via.array.ptr[i];
      Lease lease;
      lease.duty = duty_of(part(x, 0, 5));
      lease.token = as<Token>(x, 1, 5);
      if (!part(x, 2, 5).is_nil()) lease.holder = node_of(part(x, 2, 5));
      lease.cause = word(x, 3, 5, Cause::kFailed);
      lease.next = as<std::string>(x, 4, 5);
      if (!good(lease.duty) || lease.token > out.last_token_) throw BadBytes("a lease that can't be");
      const std::string name = lease.duty.name;
      if (!out.leases_.emplace(name, std::move(lease)).second) throw BadBytes("a duty twice");
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
  return reading(bytes, [](const msgpack::object& o) {
    if (as<std::uint8_t>(o, 0, 7) != kVersion) throw BadBytes("a command of another version");
    Command c;
    c.kind = word(o, 1, 7, Command::Kind::kPass);
    c.name = as<std::string>(o, 2, 7);
    c.duty = duty_of(part(o, 3, 7));
    c.node = node_of(part(o, 4, 7));
    c.token = as<Token>(o, 5, 7);
    c.cause = word(o, 6, 7, Cause::kFailed);
    return c;
  });
}

}  // namespace nettlestand::duties
