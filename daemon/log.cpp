#include "daemon/log.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <cstdio>
#include <type_traits>
#include <utility>

#include "util/clock.h"

namespace nettlestand {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer, rapidjson::UTF8<>, rapidjson::UTF8<>>;

void write_value(Writer& out, std::string_view text) {
  out.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void write_value(Writer& out, const LogField& field) {
  std::visit(
      [&](const auto& value) {
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, std::string>) {
          write_value(out, std::string_view(value));
        } else if constexpr (std::is_same_v<Value, std::int64_t>) {
          out.Int64(value);
        } else if constexpr (std::is_same_v<Value, double>) {
          if (!out.Double(value)) out.Null();  // NaN and infinity have no JSON form
        } else {
          out.Bool(value);
        }
      },
      field.value);
}

// Formats a value as a JSON string unless it is a plain word, so that an event stays on one line whatever
// text it contains.
std::string format_value(const LogField& field) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  write_value(out, field);
  std::string text(buffer.GetString(), buffer.GetSize());
  const auto* string = std::get_if<std::string>(&field.value);
  const bool plain = string != nullptr && !string->empty() && text.size() == string->size() + 2 &&
                     string->find_first_of(" =") == std::string::npos;
  return plain ? *string : text;
}

spdlog::level::level_enum level_of(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

const char* pattern_of(LogOptions::Format format) {
  switch (format) {
    case LogOptions::Format::kText:
      return "%Y-%m-%dT%H:%M:%S.%eZ %l %n %v";
    case LogOptions::Format::kJson:
      return R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","component":"%n",%v})";
    default:
      return "%v";
  }
}

}  // namespace

std::string to_text(const LogEvent& event) {
  std::string out(event.event);
  for (const LogField& field : event.fields)
    out.append(" ").append(field.name).append("=").append(format_value(field));
  return out.append(" text=").append(format_value({"text", event.text}));
}

std::string to_json_members(const LogEvent& event) {
  rapidjson::StringBuffer buffer;
  Writer out(buffer);
  out.StartObject();
  out.Key("event");
  write_value(out, event.event);
  for (const LogField& field : event.fields) {
    write_value(out, field.name);
    write_value(out, field);
  }
  out.Key("text");
  write_value(out, std::string_view(event.text));
  out.EndObject();
  return {buffer.GetString() + 1, buffer.GetSize() - 2};
}

struct Logger::Sinks {
  std::shared_ptr<spdlog::sinks::stderr_sink_st> sink = std::make_shared<spdlog::sinks::stderr_sink_st>();
  std::map<std::string, spdlog::logger, std::less<>> loggers;  // by component
};

Logger::Logger(const LogOptions& options)
    : options_(options),
      limit_(options.max_repeats, options.repeat_period),
      sinks_(std::make_unique<Sinks>()) {
  sinks_->sink->set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern_of(options.format),
                                                                          spdlog::pattern_time_type::utc));
}

Logger::~Logger() = default;

void Logger::write(const LogEvent& event) {
  auto it = sinks_->loggers.find(event.component);
  if (it == sinks_->loggers.end()) {
    const std::string name(event.component);
    it = sinks_->loggers.emplace(name, spdlog::logger(name, sinks_->sink)).first;
    const auto own = options_.levels.find(name);
    it->second.set_level(level_of(own == options_.levels.end() ? options_.level : own->second));
    it->second.flush_on(spdlog::level::trace);
  }
  const spdlog::level::level_enum level = level_of(event.level);
  if (!it->second.should_log(level)) return;
  const auto suppressed = limit_.allow(std::string(event.component) + "." + std::string(event.event), now());
  if (!suppressed) return;
  const LogEvent* reported = &event;
  LogEvent with_count;
  if (*suppressed > 0) {
    with_count = event;
    with_count.fields.push_back({"left_out", static_cast<std::int64_t>(*suppressed)});
    with_count.text += " (" + std::to_string(*suppressed) + " similar events suppressed)";
    reported = &with_count;
  }
  switch (options_.format) {
    case LogOptions::Format::kText:
      return it->second.log(level, to_text(*reported));
    case LogOptions::Format::kJson: {
      char mono[40];
      std::snprintf(mono, sizeof mono, "\"mono\":%.3f,", now());
      return it->second.log(level, mono + to_json_members(*reported));
    }
    default: {
      char time[32];
      std::snprintf(time, sizeof time, "%.3f ", now());
      it->second.log(level, time + reported->text);
    }
  }
}

}  // namespace nettlestand
