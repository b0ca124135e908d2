// Fields of JSON objects, and the settings of a copy: one reader for the bench adapter and the node.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "quinceusher/balancer.h"
#include "rapidjson/document.h"

namespace quinceusher::json {

using Json = rapidjson::Value;

// What is wrong with a message; the text names the field.
struct MessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Throws BadMessage for what is no JSON. The depth of what is written is not the depth of this stack.
rapidjson::Document parse(std::string_view text);
// Throws BadMessage where the value lies outside of these bounds.
void check_range(double value, const char* field, double min, double max);
[[noreturn]] void reject_field(const char* field, const char* wanted);
const Json* find(const Json& object, const char* field);  // null where it is absent or null
const Json& require(const Json& object, const char* field);
double number(const Json& object, const char* field);
double number_or(const Json& object, const char* field, double default_value);
int integer(const Json& object, const char* field);
int integer_or(const Json& object, const char* field, int default_value);
std::size_t index_or_zero(const Json& object, const char* field);
bool boolean(const Json& object, const char* field);
std::string_view string(const Json& object, const char* field);
std::uint64_t unsigned_integer(const Json& object, const char* field);
const Json& array(const Json& object, const char* field);

// Throws BadMessage, or std::invalid_argument for a name that is unknown.
Settings read_settings(const Json& in);

}  // namespace quinceusher::json
