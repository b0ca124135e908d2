// The daemon's log: events to lines on standard error, by spdlog. One thread, the loop's.
#pragma once

#include <array>
#include <map>
#include <memory>
#include <string>

#include "daemon/repeat_limiter.h"
#include "nettlestand/log.h"

namespace nettlestand {

// Whose levels can be set.
inline constexpr std::array<const char*, 9> kLogComponents = {
    "node", "engine", "decisions", "discovery", "listener", "upstream", "peers", "duties", "report"};

struct LogOptions {
  enum class Format {
    kPlain,  // seconds of the steady clock and a sentence
    kText,   // UTC, level, component, event, fields, sentence
    kJson    // the same as one object, with `mono`, the steady clock's seconds
  };
  Format format = Format::kPlain;
  LogLevel level = LogLevel::kInfo;
  std::map<std::string, LogLevel> levels;  // of single components
  int max_repeats = 20;                    // lines of one event in a period; 0: all
  double repeat_period = 10;               // s
};

// An event without its time, level and component, as the formats have it.
std::string to_text(const LogEvent& event);
std::string to_json_members(const LogEvent& event);

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
