// The node's log: writes events as lines to standard error with spdlog. Used on the event loop's thread.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>

#include "daemon/repeat_limiter.h"
#include "nettlestand/log.h"

namespace nettlestand {

// The components whose log levels can be set.
inline constexpr std::array<const char*, 9> kLogComponents = {
    "node", "engine", "decisions", "discovery", "listener", "upstream", "peers", "duties", "report"};

// Format, levels and limits of the log.
struct LogOptions {
  enum class Format {
    kPlain,  // seconds of the steady clock, message
    kText,   // UTC, level, component, event, fields, message
    kJson    // the same as a JSON object, with the steady clock's seconds as `mono`
  };
  Format format = Format::kPlain;
  LogLevel level = LogLevel::kInfo;
  std::map<std::string, LogLevel> levels;  // overrides by component
  int max_repeats = 20;                    // lines per event and period; 0: unlimited
  double repeat_period = 10;               // s
};

// Formats an event without its time, level and component.
std::string to_text(const LogEvent& event);
std::string to_json_members(const LogEvent& event);

// Writes log events, filtered by level and rate.
class Logger {
 public:
  explicit Logger(const LogOptions& options);
  ~Logger();
  Logger(const Logger&) = delete;
  Logger& operator=(const Logger&) = delete;

  void write(const LogEvent& event);

 private:
  struct Sinks;
  const LogOptions options_;
  RepeatLimiter limit_;
  std::unique_ptr<Sinks> sinks_;
};

}  // namespace nettlestand
