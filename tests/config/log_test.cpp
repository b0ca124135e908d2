// The log: the lines of each format, levels by component, and the limit on repeats.
#include "daemon/log.h"

#include <gtest/gtest.h>
#include <rapidjson/document.h>

namespace nettlestand {
namespace {

const LogEvent kEvent{LogLevel::kWarning,
                      "discovery",
                      "lost",
                      "discovery: gone;\n\"kept\"",
                      {{"why", std::string("it said \"no\"\n{")},
                       {"address", std::string("127.0.0.1:80")},
                       {"calls", std::int64_t{7}},
                       {"part", 0.5},
                       {"last", true}}};

std::vector<std::string> lines_of(const LogOptions& options, const std::vector<LogEvent>& events) {
  testing::internal::CaptureStderr();
  {
    Logger logger(options);
    for (const LogEvent& event : events) logger.write(event);
  }
  std::vector<std::string> out;
  std::string text = testing::internal::GetCapturedStderr();
  for (std::size_t end; (end = text.find('\n')) != std::string::npos; text.erase(0, end + 1)) {
    out.push_back(text.substr(0, end));
  }
  EXPECT_EQ(text, "") << "the last line is incomplete";
  return out;
}

TEST(Log, EachFormatSaysWhatHappened) {
  LogOptions options;
  options.format = LogOptions::Format::kJson;
  const auto json = lines_of(options, {kEvent});
  ASSERT_EQ(json.size(), 1U) << "one event is one line, whatever text it contains";
  rapidjson::Document d;
  d.Parse(json[0].c_str());
  ASSERT_FALSE(d.HasParseError()) << json[0];
  EXPECT_STREQ(d["level"].GetString(), "warning");
  EXPECT_STREQ(d["component"].GetString(), "discovery");
  EXPECT_STREQ(d["event"].GetString(), "lost");
  EXPECT_STREQ(d["why"].GetString(), "it said \"no\"\n{");
  EXPECT_EQ(d["calls"].GetInt64(), 7);
  EXPECT_DOUBLE_EQ(d["part"].GetDouble(), 0.5);
  EXPECT_TRUE(d["last"].GetBool());
  EXPECT_STREQ(d["text"].GetString(), kEvent.text.c_str());
  EXPECT_EQ(std::string(d["time"].GetString()).size(), std::string("2026-01-01T00:00:00.000Z").size());

  options.format = LogOptions::Format::kText;
  const auto text = lines_of(options, {kEvent});
  ASSERT_EQ(text.size(), 1U);
  EXPECT_NE(text[0].find("Z warning discovery lost why=\"it said \\\"no\\\"\\n{\" address=127.0.0.1:80 "
                         "calls=7 part=0.5 last=true text="),
            std::string::npos)
      << text[0];

  options.format = LogOptions::Format::kPlain;
  LogEvent plain = kEvent;
  plain.text = "draining";
  const auto sentence = lines_of(options, {plain});
  ASSERT_EQ(sentence.size(), 1U);
  EXPECT_TRUE(sentence[0].ends_with(" draining")) << sentence[0];
  EXPECT_GT(std::stod(sentence[0]), 0);
}

TEST(Log, LevelsGoByComponent) {
  LogOptions options;
  options.level = LogLevel::kError;
  options.levels["listener"] = LogLevel::kDebug;
  const auto event = [](LogLevel level, const char* component, const char* text) {
    return LogEvent{level, component, "e", text, {}};
  };
  const auto lines =
      lines_of(options, {event(LogLevel::kWarning, "node", "one"), event(LogLevel::kError, "node", "two"),
                         event(LogLevel::kDebug, "listener", "three")});
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_TRUE(lines[0].ends_with(" two"));
  EXPECT_TRUE(lines[1].ends_with(" three"));
}

TEST(Log, RepeatsAreBoundedAndCounted) {
  RepeatLimiter limit(2, 10);
  EXPECT_EQ(limit.allow("a", 100), 0U);
  EXPECT_EQ(limit.allow("a", 101), 0U);
  EXPECT_FALSE(limit.allow("a", 102));
  EXPECT_FALSE(limit.allow("a", 109.9));
  EXPECT_EQ(limit.allow("b", 109.9), 0U) << "each event has its own limit";
  EXPECT_EQ(limit.allow("a", 110), 2U) << "the next event reports how many were suppressed";
  EXPECT_EQ(limit.allow("a", 111), 0U);
  EXPECT_FALSE(limit.allow("a", 112));
  RepeatLimiter none(0, 10);
  for (int i = 0; i < 100; ++i) EXPECT_EQ(none.allow("a", 1), 0U);

  LogOptions options;
  options.max_repeats = 3;
  options.repeat_period = 1000;
  EXPECT_EQ(lines_of(options, std::vector<LogEvent>(50, kEvent)).size(), 3U * 2)
      << "three events, each with a line break in its plain text";
}

}  // namespace
}  // namespace nettlestand
