// Reads fields of JSON objects, and the balancer's settings; shared by the bench adapter and the node.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include "quinceusher/balancer.h"
#include "rapidjson/document.h"

namespace quinceusher::json {

using Json = rapidjson::Value;

// A message that cannot be used; the text names the field.
struct MessageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses a document without recursion, so that deeply nested input cannot overflow the stack. Throws
// MessageError for invalid JSON.
rapidjson::Document parse(std::string_view text);
// Throws MessageError if the value lies outside of [min, max].
void check_range(double value, const char* field, double min, double max);
// Throws MessageError: the field is not what was `wanted`.
[[noreturn]] void reject_field(const char* field, const char* wanted);
// The field's value; nullptr if it is absent or null.
const Json* find(const Json& object, const char* field);
// The functions below throw MessageError for a value of another type. A missing field is an error as well,
// except for the *_or and *_or_zero functions and boolean(), which then return the default or false.
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

// Reads the balancer's settings. Throws MessageError, or std::invalid_argument for an unknown name.
Settings read_settings(const Json& in);

}  // namespace quinceusher::json
