// Which settings can be used at all.
#include <stdexcept>
#include <string>

#include "support.h"

namespace quinceusher {
namespace {

void require(bool good, const char* field) {
  if (!good) throw std::invalid_argument(std::string("quinceusher settings: ") + field);
}

}  // namespace

void validate(const Settings& s) {
  require(s.copy_count > 0, "copy_count must be above 0");
  require(s.copy_index >= 0 && s.copy_index < s.copy_count, "copy_index must be from 0 to copy_count - 1");
  require(s.tier >= 0, "tier must not be negative");
  require(s.tick >= 0, "tick must not be negative");
  require(s.max_attempts > 0, "max_attempts must be above 0");
  require(s.max_retry_after >= 0, "max_retry_after must not be negative");
  require(s.ask_within >= 0, "ask_within must not be negative");
  require(s.ramp_time >= 0, "ramp_time must not be negative");
  require(s.start_capacity >= 0 && s.start_capacity <= 1, "start_capacity must be from 0 to 1");
  require(s.over_share_worth >= 0, "over_share_worth must not be negative");
  for (const RequestClass& c : s.classes) {
    require(c.effect >= Effect::kSafe && c.effect <= Effect::kUnsafe, "classes[].effect is unknown");
    require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell,
            "classes[].dedup_scope is unknown");
    require(c.aim >= 0, "classes[].aim must not be negative");
    require(c.aim_stretch >= 0, "classes[].aim_stretch must not be negative");
    require(c.give_up >= 0, "classes[].give_up must not be negative");
    require(c.dedup_window >= 0, "classes[].dedup_window must not be negative");
  }
  for (const Tenant& t : s.tenants) {
    require(!t.allowance || *t.allowance >= 0, "tenants[].allowance must not be negative");
  }
}

}  // namespace quinceusher
