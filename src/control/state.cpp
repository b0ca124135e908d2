#include "control/state.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <xxhash.h>

#include <algorithm>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace nettlestand::tier {
namespace {

using Json = rapidjson::Value;

constexpr std::size_t kMaxHistory =
    8192;  // the number of recent changes that are recognized when they are sent again

std::string_view text_of(const Json& value) { return {value.GetString(), value.GetStringLength()}; }

// The name of an item of a list; nothing if it has none, or one that is no text.
std::optional<std::string_view> name_of(const Json& item) {
  if (!item.IsObject()) return std::nullopt;
  const auto found = item.FindMember("name");
  if (found == item.MemberEnd() || !found->value.IsString()) return std::nullopt;
  return text_of(found->value);
}

// Replaces the items of `target` that have the name of one in `items`, and appends the others. False if an
// item of `items` has no name.
bool upsert_items(Json& target, const Json& items, rapidjson::Document::AllocatorType& allocator) {
  std::unordered_map<std::string, rapidjson::SizeType> positions;  // of the first item with each name
  for (rapidjson::SizeType i = 0; i < target.Size(); ++i) {
    if (const auto name = name_of(target[i])) positions.try_emplace(std::string(*name), i);
  }
  for (const Json& item : items.GetArray()) {
    const auto name = name_of(item);
    if (!name) return false;
    const auto [position, added] = positions.try_emplace(std::string(*name), target.Size());
    Json copy(item, allocator);
    if (added) {
      target.PushBack(copy, allocator);
    } else {
      target[position->second] = copy;
    }
  }
  return true;
}

// Removes an item for each name in `names` that `target` has, the first one of that name.
void remove_items(Json& target, const Json& names) {
  std::unordered_map<std::string_view, std::size_t> to_remove;
  for (const Json& name : names.GetArray()) {
    if (name.IsString()) ++to_remove[text_of(name)];
  }
  const auto is_removed = [&to_remove](const Json& item) {
    const auto name = name_of(item);
    if (!name) return false;
    const auto found = to_remove.find(*name);
    if (found == to_remove.end() || found->second == 0) return false;
    --found->second;
    return true;
  };
  rapidjson::SizeType kept = 0;
  for (rapidjson::SizeType i = 0; i < target.Size(); ++i) {
    if (is_removed(target[i])) continue;
    if (kept != i) target[kept].Swap(target[i]);
    ++kept;
  }
  while (target.Size() > kept) target.PopBack();
}

bool upsert(rapidjson::Document& document, const Json& lists) {
  auto& allocator = document.GetAllocator();
  for (const auto& list : lists.GetObject()) {
    auto target = document.FindMember(list.name);
    if (target == document.MemberEnd()) {
      // An empty list is not an absent one: what adds nothing must not make one of the other.
      if (list.value.IsArray() && list.value.Empty()) continue;
      document.AddMember(Json(list.name, allocator), Json(list.value, allocator), allocator);
      continue;
    }
    if (!list.value.IsArray() || !target->value.IsArray()) {
      target->value.CopyFrom(list.value, allocator);
      continue;
    }
    if (!upsert_items(target->value, list.value, allocator)) return false;
  }
  return true;
}

bool remove(rapidjson::Document& document, const Json& lists) {
  for (const auto& list : lists.GetObject()) {
    if (!list.value.IsArray()) return false;
    auto target = document.FindMember(list.name);
    if (target == document.MemberEnd() || !target->value.IsArray()) continue;
    remove_items(target->value, list.value);
  }
  return true;
}

// Applies an update to the configuration's text. Returns an empty string if the update can't be parsed.
std::string apply_update(const std::string& text, const std::string& change_text) {
  rapidjson::Document change, document;
  change.Parse<rapidjson::kParseIterativeFlag>(change_text.data(), change_text.size());
  if (change.HasParseError() || !change.IsObject() || !change.HasMember("generation")) return {};
  document.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (document.HasParseError() || !document.IsObject()) return {};
  const auto removed = change.FindMember("remove"), added = change.FindMember("upsert");
  if (removed != change.MemberEnd() && (!removed->value.IsObject() || !remove(document, removed->value)))
    return {};
  if (added != change.MemberEnd() && (!added->value.IsObject() || !upsert(document, added->value))) return {};
  document["generation"].CopyFrom(change["generation"], document.GetAllocator());
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  document.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace

ConfigVersion config_version_of(std::uint64_t sequence, const std::string& text) {
  const XXH128_hash_t digest = XXH3_128bits_withSeed(text.data(), text.size(), sequence);
  ConfigVersion out{};
  out.sequence = sequence;
  out.digest_high = digest.high64;
  out.digest_low = digest.low64;
  return out;
}

std::string apply_changes(const std::string& text, std::uint64_t sequence,
                          const std::vector<SequencedChange>& changes, std::uint64_t last) {
  std::string out = text;
  for (const SequencedChange& taken : changes) {
    if (taken.sequence != sequence + 1) return {};
    out = taken.change.kind == ConfigChangeKind::kReplace ? taken.change.body
                                                          : apply_update(out, taken.change.body);
    sequence = taken.sequence;
  }
  return sequence == last ? out : std::string();
}

const StoreRecord* PlacementTable::store(StoreId id) const {
  for (const StoreRecord& record : stores) {
    if (record.id == id) return &record;
  }
  return nullptr;
}

const StoreRecord* PlacementTable::store_named(const std::string& name) const {
  for (auto record = stores.rbegin(); record != stores.rend(); ++record) {
    if (record->name == name) return &*record;
  }
  return nullptr;
}

const ShardPlacement* PlacementTable::row(std::uint32_t shard) const {
  for (const ShardPlacement& each : shards) {
    if (each.shard == shard) return &each;
  }
  return nullptr;
}

AppliedChange ControlState::digest_of(const ConfigChange& change) {
  const auto kind = static_cast<std::uint64_t>(change.kind);
  AppliedChange out{};
  out.digest_high = XXH64(change.body.data(), change.body.size(), change.base * 2 + kind);
  out.digest_low = XXH64(change.body.data(), change.body.size(), ~(change.base * 2 + kind));
  return out;
}

ControlState::Evaluation ControlState::evaluate(const ConfigChange& change) const {
  Evaluation out;
  const AppliedChange digest = digest_of(change);
  for (const AppliedChange& taken : history_) {
    if (taken.digest_high == digest.digest_high && taken.digest_low == digest.digest_low) {
      out.outcome = ChangeOutcome::kAlreadyApplied;
      return out;
    }
  }
  if (change.base != generation()) {
    out.outcome = ChangeOutcome::kConflict;
    out.reason = "version " + std::to_string(generation()) + " is in place";
    return out;
  }
  out.text = change.kind == ConfigChangeKind::kReplace ? change.body : apply_update(text(), change.body);
  auto parsed = Configuration::parse(out.text);
  if (!parsed.ok()) {
    out.reason = std::string(parsed.status().message());
    return out;
  }
  if ((*parsed)->generation() <= generation()) {
    out.reason = "generation is not above " + std::to_string(generation());
    return out;
  }
  out.configuration = *std::move(parsed);
  out.outcome = ChangeOutcome::kApplied;
  return out;
}

ChangeOutcome ControlState::validate(const ConfigChange& change, std::string* reason) const {
  Evaluation evaluation = evaluate(change);
  if (reason != nullptr) *reason = std::move(evaluation.reason);
  return evaluation.outcome;
}

ChangeOutcome ControlState::apply(const ConfigChange& change) {
  Evaluation evaluation = evaluate(change);
  if (evaluation.outcome != ChangeOutcome::kApplied) return evaluation.outcome;
  configuration_ = std::move(evaluation.configuration);
  set_text(sequence() + 1, std::move(evaluation.text));
  AppliedChange taken = digest_of(change);
  taken.generation = configuration_->generation();
  history_.push_back(taken);
  if (history_.size() > kMaxHistory) history_.pop_front();
  return ChangeOutcome::kApplied;
}

void ControlState::apply(const PlacementChange& change) {
  ++placement_.sequence;
  for (const StoreRecord& record : change.stores) {
    const auto found = std::find_if(placement_.stores.begin(), placement_.stores.end(),
                                    [&](const StoreRecord& r) { return r.id == record.id; });
    if (found == placement_.stores.end()) {
      placement_.stores.push_back(record);
    } else {
      *found = record;
    }
  }
  for (const ShardPlacement& shard : change.shards) {
    const auto found = std::find_if(placement_.shards.begin(), placement_.shards.end(),
                                    [&](const ShardPlacement& s) { return s.shard == shard.shard; });
    if (found == placement_.shards.end()) {
      placement_.shards.push_back(shard);
    } else if (shard.epoch > found->epoch) {
      *found = shard;
    }
  }
}

ControlSnapshot ControlState::snapshot() const {
  ControlSnapshot out{};
  out.sequence = sequence();
  out.text = text();
  out.history.assign(history_.begin(), history_.end());
  out.placement = placement_;
  return out;
}

void ControlState::restore(const ControlSnapshot& snapshot) {
  set_text(snapshot.sequence, snapshot.text);
  history_.assign(snapshot.history.begin(), snapshot.history.end());
  placement_ = snapshot.placement;
  configuration_.reset();
  if (text().empty()) return;
  if (auto parsed = Configuration::parse(text()); parsed.ok()) configuration_ = *std::move(parsed);
}

void ControlState::set_text(std::uint64_t sequence, std::string text) {
  text_ = std::make_shared<const std::string>(std::move(text));
  id_ = config_version_of(sequence, *text_);
}

bool ControlState::adopt(const ConfigVersion& id, std::shared_ptr<const std::string> text,
                         std::shared_ptr<const Configuration> parsed) {
  if (parsed == nullptr) {
    auto fresh = Configuration::parse(*text);
    if (!fresh.ok()) return false;
    parsed = *std::move(fresh);
  }
  configuration_ = std::move(parsed);
  text_ = std::move(text);
  id_ = id;
  return true;
}

}  // namespace nettlestand::tier
