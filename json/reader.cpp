#include "json/reader.h"

#include <cstdio>

#include "rapidjson/error/en.h"

namespace quinceusher::json {

rapidjson::Document parse(std::string_view text) {
  rapidjson::Document out;
  out.Parse<rapidjson::kParseIterativeFlag>(text.data(), text.size());
  if (out.HasParseError()) {
    throw MessageError(std::string("not valid JSON: ") + rapidjson::GetParseError_En(out.GetParseError()) +
                       " at byte " + std::to_string(out.GetErrorOffset()));
  }
  return out;
}

void check_range(double value, const char* field, double min, double max) {
  if (value >= min && value <= max) return;
  char wanted[64];
  std::snprintf(wanted, sizeof wanted, "from %.10g to %.10g", min, max);
  reject_field(field, wanted);
}

void reject_field(const char* field, const char* wanted) {
  throw MessageError(std::string("field '") + field + "' is not " + wanted);
}

const Json* find(const Json& object, const char* field) {
  if (!object.IsObject())
    throw MessageError(std::string("not an object where field '") + field + "' belongs");
  const auto it = object.FindMember(field);
  return it == object.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}

const Json& require(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr) throw MessageError(std::string("field '") + field + "' is missing");
  return *value;
}

double number(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsNumber()) reject_field(field, "a number");
  return value.GetDouble();
}

double number_or(const Json& object, const char* field, double default_value) {
  return find(object, field) == nullptr ? default_value : number(object, field);
}

int integer(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (value.IsInt()) return value.GetInt();
  reject_field(field, "a whole number in range");
}

int integer_or(const Json& object, const char* field, int default_value) {
  return find(object, field) == nullptr ? default_value : integer(object, field);
}

std::size_t index_or_zero(const Json& object, const char* field) {
  const int value = integer_or(object, field, 0);
  if (value < 0) reject_field(field, "a whole number in range");
  return static_cast<std::size_t>(value);
}

bool boolean(const Json& object, const char* field) {
  const Json* value = find(object, field);
  if (value == nullptr) return false;
  if (!value->IsBool()) reject_field(field, "true or false");
  return value->GetBool();
}

std::string_view string(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsString()) reject_field(field, "a string");
  return {value.GetString(), value.GetStringLength()};
}

std::uint64_t unsigned_integer(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsUint64()) reject_field(field, "a whole number from 0");
  return value.GetUint64();
}

const Json& array(const Json& object, const char* field) {
  const Json& value = require(object, field);
  if (!value.IsArray()) reject_field(field, "an array");
  return value;
}

namespace {

RequestClass read_request_class(const Json& in) {
  RequestClass out;
  out.aim = number(in, "aim");
  out.aim_stretch = number_or(in, "aimStretch", 0);
  out.give_up = number(in, "giveUp");
  out.late_worth = number_or(in, "lateWorth", 0);
  const std::string_view effect = string(in, "effect");
  if (effect == "safe") {
    out.effect = Effect::kSafe;
  } else if (effect == "keyed") {
    out.effect = Effect::kKeyed;
    const std::string_view group = string(in, "group");
    if (group == "all") {
      out.dedup_scope = DedupScope::kAll;
    } else if (group == "zone") {
      out.dedup_scope = DedupScope::kZone;
    } else if (group == "cell") {
      out.dedup_scope = DedupScope::kCell;
    } else {
      throw std::invalid_argument("categories[].group: '" + std::string(group) + "' is unknown");
    }
    out.dedup_window = number_or(in, "dedupWindow", 0);
  } else if (effect == "unsafe") {
    out.effect = Effect::kUnsafe;
  } else {
    throw std::invalid_argument("categories[].effect: '" + std::string(effect) + "' is unknown");
  }
  return out;
}

}  // namespace

Settings read_settings(const Json& in) {
  Settings out;
  out.copy_index = integer(in, "position");
  out.copy_count = integer(in, "peersTotal");
  out.tier = integer_or(in, "stage", 0);
  out.zone = integer_or(in, "zone", 0);
  out.tick = number_or(in, "granularity", 0);
  for (const Json& item : array(in, "categories").GetArray()) out.classes.push_back(read_request_class(item));
  if (find(in, "realms") != nullptr) {
    for (const Json& item : array(in, "realms").GetArray()) {
      Tenant tenant;
      if (find(item, "allowancePerS") != nullptr) tenant.allowance = number(item, "allowancePerS");
      out.tenants.push_back(tenant);
    }
  }
  out.over_share_worth = number_or(in, "overShareWorth", 1);
  const Json& bounds = require(in, "bounds");
  out.max_attempts = integer_or(bounds, "maxAttempts", 1);
  out.second_copies = boolean(bounds, "secondCopies");
  out.can_cancel = boolean(bounds, "cancel");
  out.max_retry_after = boolean(bounds, "retryAfter") ? number_or(bounds, "maxRetryAfter", 0) : 0;
  out.must_watch = find(in, "registryMode") != nullptr && string(in, "registryMode") == "subscribe";
  if (const Json* rules = find(in, "rules")) {
    out.ask_within = number_or(*rules, "askWithin", 0);
    out.start_capacity = number_or(*rules, "startCapacity", 1);
    out.ramp_time = number_or(*rules, "rampTime", 0);
  }
  if (const Json* fees = find(in, "fees")) out.cross_zone_price = number_or(*fees, "crossZone", 0);
  return out;
}

}  // namespace quinceusher::json
