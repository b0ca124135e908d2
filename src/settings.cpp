// Validation of Settings.
#include <stdexcept>
#include <string>

#include "support.h"

namespace quinceusher {
namespace {

void require(bool good, const std::string& fault) {
  if (!good) throw std::invalid_argument("quinceusher settings: " + fault);
}
void not_negative(std::initializer_list<std::pair<double, const char*>> fields) {
  for (const auto& [value, name] : fields) require(value >= 0, std::string(name) + " must not be negative");
}

}  // namespace

void validate(const Settings& s) {
  require(s.copy_count > 0, "copy_count must be above 0");
  require(s.copy_index >= 0 && s.copy_index < s.copy_count, "copy_index must be from 0 to copy_count - 1");
  require(s.max_attempts > 0, "max_attempts must be above 0");
  require(s.start_capacity >= 0 && s.start_capacity <= 1, "start_capacity must be from 0 to 1");
  not_negative({{s.tier, "tier"}, {s.tick, "tick"}, {s.max_retry_after, "max_retry_after"}});
  not_negative(
      {{s.ask_within, "ask_within"}, {s.ramp_time, "ramp_time"}, {s.over_share_worth, "over_share_worth"}});
  for (const RequestClass& c : s.classes) {
    require(c.effect >= Effect::kSafe && c.effect <= Effect::kUnsafe, "classes[].effect is unknown");
    require(c.dedup_scope >= DedupScope::kAll && c.dedup_scope <= DedupScope::kCell,
            "classes[].dedup_scope is unknown");
    not_negative({{c.aim, "classes[].aim"}, {c.aim_stretch, "classes[].aim_stretch"}});
    not_negative({{c.give_up, "classes[].give_up"}, {c.dedup_window, "classes[].dedup_window"}});
  }
  for (const Tenant& t : s.tenants) {
    require(!t.allowance || *t.allowance >= 0, "tenants[].allowance must not be negative");
  }
}

}  // namespace quinceusher
