// What a node or a gateway says about itself: one event a line, with a name that does not change, and fields
// that a machine can read.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace nettlestand {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// A name of lower-case letters and underscores, and its value. Units are part of the name, as in after_ms.
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double, bool> value;
};

// Views and fields hold while the event is told. Component and event together are the event's name for good:
// alerts may rest on them. `text` is a sentence for people and may change.
struct LogEvent {
  LogLevel level = LogLevel::kInfo;
  std::string_view component;  // discovery, listener, upstream, decisions, engine, node or gateway
  std::string_view event;      // as in "moved"
  std::string text;
  std::vector<LogField> fields;
};

}  // namespace nettlestand
