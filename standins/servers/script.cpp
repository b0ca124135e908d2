#include "standins/servers/script.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

namespace nettlestand::standins {
namespace {

// Kind of arguments that a command takes.
enum class ArgumentType { kNothing, kNumbers, kWord, kRest };

// Syntax of a command: min_args to max_args numbers, each 0 or greater (some must be above 0, see check()),
// or one of a set of words.
struct CommandSpec {
  FaultKind kind;
  const char* name;
  ArgumentType takes;
  int min_args, max_args;
  std::array<double, 3> defaults;  // values of omitted numbers
  const char* words;  // allowed words, each between spaces; the first is the default if min_args is 0
};

constexpr std::array kCommands = {
    CommandSpec{FaultKind::kRefuse, "refuse", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kReject, "reject", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kHang, "hang", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kNoAccept, "no-accept", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kCrash, "crash", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kCloseIdle, "close-idle", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kIdle, "idle", ArgumentType::kNumbers, 1, 1, {}, ""},
    CommandSpec{FaultKind::kSilent, "silent", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kNotStarted, "not-started", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kDrain, "drain", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kError, "error", ArgumentType::kNumbers, 0, 2, {1, 500, 0}, ""},
    CommandSpec{FaultKind::kEarly, "early", ArgumentType::kWord, 0, 1, {}, " head accept "},
    CommandSpec{FaultKind::kResetAfterRequest, "reset-after-request", ArgumentType::kNothing, 0, 0, {}, ""},
    CommandSpec{FaultKind::kDedup, "dedup", ArgumentType::kNumbers, 1, 1, {}, ""},
    CommandSpec{FaultKind::kSlower, "slower", ArgumentType::kNumbers, 1, 1, {}, ""},
    CommandSpec{FaultKind::kCold, "cold", ArgumentType::kNumbers, 3, 3, {}, ""},
    CommandSpec{FaultKind::kSize, "size", ArgumentType::kNumbers, 1, 1, {}, ""},
    CommandSpec{FaultKind::kLate, "late", ArgumentType::kNumbers, 1, 1, {}, ""},
    CommandSpec{FaultKind::kTwice, "twice", ArgumentType::kNumbers, 0, 1, {}, ""},
    CommandSpec{FaultKind::kCut, "cut", ArgumentType::kNumbers, 0, 1, {-1, 0, 0}, ""},
    CommandSpec{FaultKind::kTrickle, "trickle", ArgumentType::kNumbers, 1, 1, {}, ""},
    CommandSpec{FaultKind::kPause, "pause", ArgumentType::kNumbers, 1, 2, {0, -1, 0}, ""},
    CommandSpec{FaultKind::kGarble, "garble", ArgumentType::kWord, 1, 1, {}, " head chunks long short "},
    CommandSpec{FaultKind::kTrailers, "trailers", ArgumentType::kRest, 1, 1, {}, ""},
    CommandSpec{FaultKind::kResetAnswer, "reset-answer", ArgumentType::kNumbers, 1, 1, {}, ""},
};

const CommandSpec* find_command(std::string_view name) {
  const auto* const it = std::find_if(kCommands.begin(), kCommands.end(),
                                      [&](const CommandSpec& command) { return name == command.name; });
  return it == kCommands.end() ? nullptr : it;
}

std::vector<std::string> words_of(std::string_view line) {
  std::vector<std::string> out;
  line = line.substr(0, line.find('#'));
  while (true) {
    const std::size_t from = line.find_first_not_of(" \t\r");
    if (from == std::string_view::npos) return out;
    line.remove_prefix(from);
    const std::size_t end = std::min(line.find_first_of(" \t\r"), line.size());
    out.emplace_back(line.substr(0, end));
    line.remove_prefix(end);
  }
}

std::optional<double> number(const std::string& text) {
  double out = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (bad != std::errc() || end != text.data() + text.size() || !std::isfinite(out) || out < 0) {
    return std::nullopt;
  }
  return out;
}

// Parses one line of a script into a Fault.
class LineParser {
 public:
  LineParser(std::string_view text, int number) : words_(words_of(text)), number_(number) {}
  bool empty() const { return words_.empty(); }

  Fault read() {
    Fault out;
    while (true) {
      if (consume("at")) {
        out.at = number_argument("at", "seconds");
      } else if (consume("every")) {
        out.every = static_cast<int>(number_argument("every", "a count"));
        if (out.every < 1) fail("'every' needs 1 or more");
      } else if (consume("chance")) {
        out.chance = number_argument("chance", "a probability");
        if (out.chance > 1) fail("'chance' needs 0 to 1");
      } else {
        break;
      }
    }
    if (position_ == words_.size()) fail("no command");
    const CommandSpec* command = find_command(words_[position_]);
    if (command == nullptr) fail("'" + words_[position_] + "' is no command");
    ++position_;
    out.kind = command->kind;
    arguments(*command, out);
    if (consume("for")) out.duration = number_argument("for", "seconds");
    if (position_ < words_.size()) fail("'" + words_[position_] + "' is too much");
    check(*command, out);
    return out;
  }

 private:
  [[noreturn]] void fail(const std::string& what) const {
    throw ScriptError("line " + std::to_string(number_) + ": " + what);
  }
  bool consume(const char* word) {
    if (position_ == words_.size() || words_[position_] != word) return false;
    ++position_;
    return true;
  }
  double number_argument(const std::string& what, const std::string& unit) {
    const auto out = position_ < words_.size() ? number(words_[position_]) : std::nullopt;
    if (!out) fail("'" + what + "' needs " + unit + ", a number from 0");
    ++position_;
    return *out;
  }
  bool more() const { return position_ < words_.size() && words_[position_] != "for"; }

  void arguments(const CommandSpec& command, Fault& out) {
    const std::string name = command.name;
    if (command.takes == ArgumentType::kNumbers) {
      std::array<double, 3> values = command.defaults;
      for (int i = 0; i < command.max_args; ++i) {
        if (i >= command.min_args && !more()) break;
        values[static_cast<std::size_t>(i)] = number_argument(name, "its figure " + std::to_string(i + 1));
      }
      out.arg1 = values[0];
      out.arg2 = values[1];
      out.arg3 = values[2];
    } else if (command.takes == ArgumentType::kWord) {
      const std::string words = command.words;
      out.text = more()                  ? words_[position_++]
                 : command.min_args == 0 ? words.substr(1, words.find(' ', 1) - 1)
                                         : "";
      if (out.text.empty() || words.find(" " + out.text + " ") == std::string::npos) {
        fail("'" + name + "' needs one of:" + words.substr(0, words.size() - 1));
      }
    } else if (command.takes == ArgumentType::kRest) {
      while (more()) out.text += words_[position_++] + "\n";
    }
  }

  void check(const CommandSpec& command, const Fault& fault) const {
    const std::string name = std::string("'") + command.name + "'";
    if ((fault.kind == FaultKind::kTrickle || fault.kind == FaultKind::kSlower) && fault.arg1 <= 0) {
      fail(name + " needs a number above 0");
    }
    if (fault.kind == FaultKind::kError && (fault.arg1 > 1 || fault.arg2 < 200 || fault.arg2 > 599)) {
      fail(name + " needs a probability, 0 to 1, and a status from 200 to 599");
    }
    if (fault.kind == FaultKind::kCold && (fault.arg1 <= 0 || fault.arg1 > 1 || fault.arg3 <= 0)) {
      fail(name + " needs a share above 0 and to 1, seconds, and a multiple above 0");
    }
    if (fault.kind == FaultKind::kTrailers) {
      if (fault.text.empty()) fail(name + " needs NAME:VALUE");
      for (const std::string& pair : words_of_lines(fault.text)) {
        const std::size_t colon = pair.find(':');
        if (colon == 0 || colon == std::string::npos) fail("'" + pair + "' is not NAME:VALUE");
      }
    }
  }
  static std::vector<std::string> words_of_lines(std::string text) {
    std::replace(text.begin(), text.end(), '\n', ' ');
    return words_of(text);
  }

  std::vector<std::string> words_;
  int number_;
  std::size_t position_ = 0;
};

std::string format_number(double value) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.6g", value);
  return out.data();
}

}  // namespace

std::vector<Fault> parse_script(std::string_view text) {
  std::vector<Fault> out;
  for (int number = 1; !text.empty(); ++number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    LineParser line(text.substr(0, end), number);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty()) out.push_back(line.read());
  }
  return out;
}

std::string to_text(const Fault& fault) {
  std::string out;
  if (fault.at > 0) out += "at " + format_number(fault.at) + " ";
  if (fault.every > 1) out += "every " + std::to_string(fault.every) + " ";
  if (fault.chance < 1) out += "chance " + format_number(fault.chance) + " ";
  for (const CommandSpec& command : kCommands) {
    if (command.kind != fault.kind) continue;
    out += command.name;
    const std::array<double, 3> values = {fault.arg1, fault.arg2, fault.arg3};
    for (int i = 0; command.takes == ArgumentType::kNumbers && i < command.max_args; ++i) {
      const double value = values[static_cast<std::size_t>(i)];
      if (value >= 0) out += " " + format_number(value);
    }
    if (command.takes == ArgumentType::kWord) out += " " + fault.text;
    if (command.takes == ArgumentType::kRest) {
      std::string text = " " + fault.text.substr(0, fault.text.size() - 1);
      std::replace(text.begin(), text.end(), '\n', ' ');
      out += text;
    }
  }
  if (fault.duration < kForever) out += " for " + format_number(fault.duration);
  return out;
}

}  // namespace nettlestand::standins
