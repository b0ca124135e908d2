// Structured log events of a node or a gateway: each has a stable name and machine-readable fields.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace nettlestand {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The name consists of lower-case letters and underscores and includes the unit, as in after_ms.
struct LogField {
  std::string_view name;
  std::variant<std::string, std::int64_t, double, bool> value;
};

// Views and fields are valid only during the call of the logger. Component and event together form the stable
// name of the event, on which alerts may rely. `text` is a sentence for people and may change.
struct LogEvent {
  LogLevel level = LogLevel::kInfo;
  std::string_view component;  // discovery, listener, upstream, decisions, engine, node or gateway
  std::string_view event;      // as in "moved"
  std::string text;
  std::vector<LogField> fields;
};

}  // namespace nettlestand
