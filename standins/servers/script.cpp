#include "standins/servers/script.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <optional>

namespace nettlestand::standins {
namespace {

enum class Takes { kNothing, kNumbers, kWord, kRest };

// What a verb takes: so many figures at least and at most, each from 0 (or above it), or one of some words.
struct Form {
  Verb verb;
  const char* name;
  Takes takes;
  int least, most;
  std::array<double, 3> otherwise;  // of figures left out
  const char* words;                // between spaces; the first one where it is left out, if that is allowed
};

constexpr std::array kForms = {
    Form{Verb::kRefuse, "refuse", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kReject, "reject", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kHang, "hang", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kNoAccept, "no-accept", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kCrash, "crash", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kCloseIdle, "close-idle", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kIdle, "idle", Takes::kNumbers, 1, 1, {}, ""},
    Form{Verb::kSilent, "silent", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kNotStarted, "not-started", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kDrain, "drain", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kError, "error", Takes::kNumbers, 0, 2, {1, 500, 0}, ""},
    Form{Verb::kEarly, "early", Takes::kWord, 0, 1, {}, " head accept "},
    Form{Verb::kResetAfterRequest, "reset-after-request", Takes::kNothing, 0, 0, {}, ""},
    Form{Verb::kDedup, "dedup", Takes::kNumbers, 1, 1, {}, ""},
    Form{Verb::kSlower, "slower", Takes::kNumbers, 1, 1, {}, ""},
    Form{Verb::kCold, "cold", Takes::kNumbers, 3, 3, {}, ""},
    Form{Verb::kSize, "size", Takes::kNumbers, 1, 1, {}, ""},
    Form{Verb::kLate, "late", Takes::kNumbers, 1, 1, {}, ""},
    Form{Verb::kTwice, "twice", Takes::kNumbers, 0, 1, {}, ""},
    Form{Verb::kCut, "cut", Takes::kNumbers, 0, 1, {-1, 0, 0}, ""},
    Form{Verb::kTrickle, "trickle", Takes::kNumbers, 1, 1, {}, ""},
    Form{Verb::kPause, "pause", Takes::kNumbers, 1, 2, {0, -1, 0}, ""},
    Form{Verb::kGarble, "garble", Takes::kWord, 1, 1, {}, " head chunks long short "},
    Form{Verb::kTrailers, "trailers", Takes::kRest, 1, 1, {}, ""},
    Form{Verb::kResetAnswer, "reset-answer", Takes::kNumbers, 1, 1, {}, ""},
};

const Form* form_of(std::string_view name) {
  const auto* const it =
      std::find_if(kForms.begin(), kForms.end(), [&](const Form& form) { return name == form.name; });
  return it == kForms.end() ? nullptr : it;
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

class Line {
 public:
  Line(std::string_view text, int number) : words_(words_of(text)), number_(number) {}
  bool empty() const { return words_.empty(); }

  Fault read() {
    Fault out;
    while (true) {
      if (take("at")) {
        out.at = figure("at", "seconds");
      } else if (take("every")) {
        out.every = static_cast<int>(figure("every", "a count"));
        if (out.every < 1) wrong("'every' needs 1 or more");
      } else if (take("chance")) {
        out.chance = figure("chance", "a probability");
        if (out.chance > 1) wrong("'chance' needs 0 to 1");
      } else {
        break;
      }
    }
    if (at_ == words_.size()) wrong("no command");
    const Form* form = form_of(words_[at_]);
    if (form == nullptr) wrong("'" + words_[at_] + "' is no command");
    ++at_;
    out.verb = form->verb;
    arguments(*form, out);
    if (take("for")) out.lasts = figure("for", "seconds");
    if (at_ < words_.size()) wrong("'" + words_[at_] + "' is too much");
    check(*form, out);
    return out;
  }

 private:
  [[noreturn]] void wrong(const std::string& what) const {
    throw ScriptError("line " + std::to_string(number_) + ": " + what);
  }
  bool take(const char* word) {
    if (at_ == words_.size() || words_[at_] != word) return false;
    ++at_;
    return true;
  }
  double figure(const std::string& what, const std::string& unit) {
    const auto out = at_ < words_.size() ? number(words_[at_]) : std::nullopt;
    if (!out) wrong("'" + what + "' needs " + unit + ", a number from 0");
    ++at_;
    return *out;
  }
  bool more() const { return at_ < words_.size() && words_[at_] != "for"; }

  void arguments(const Form& form, Fault& out) {
    const std::string name = form.name;
    if (form.takes == Takes::kNumbers) {
      std::array<double, 3> values = form.otherwise;
      for (int i = 0; i < form.most; ++i) {
        if (i >= form.least && !more()) break;
        values[static_cast<std::size_t>(i)] = figure(name, "its figure " + std::to_string(i + 1));
      }
      out.a = values[0];
      out.b = values[1];
      out.c = values[2];
    } else if (form.takes == Takes::kWord) {
      const std::string words = form.words;
      out.text = more() ? words_[at_++] : form.least == 0 ? words.substr(1, words.find(' ', 1) - 1) : "";
      if (out.text.empty() || words.find(" " + out.text + " ") == std::string::npos) {
        wrong("'" + name + "' needs one of:" + words.substr(0, words.size() - 1));
      }
    } else if (form.takes == Takes::kRest) {
      while (more()) out.text += words_[at_++] + "\n";
    }
  }

  void check(const Form& form, const Fault& fault) const {
    const std::string name = std::string("'") + form.name + "'";
    if ((fault.verb == Verb::kTrickle || fault.verb == Verb::kSlower) && fault.a <= 0) {
      wrong(name + " needs a number above 0");
    }
    if (fault.verb == Verb::kError && (fault.a > 1 || fault.b < 200 || fault.b > 599)) {
      wrong(name + " needs a probability, 0 to 1, and a status from 200 to 599");
    }
    if (fault.verb == Verb::kCold && (fault.a <= 0 || fault.a > 1 || fault.c <= 0)) {
      wrong(name + " needs a share above 0 and to 1, seconds, and a multiple above 0");
    }
    if (fault.verb == Verb::kTrailers) {
      if (fault.text.empty()) wrong(name + " needs NAME:VALUE");
      for (const std::string& pair : words_of_lines(fault.text)) {
        const std::size_t colon = pair.find(':');
        if (colon == 0 || colon == std::string::npos) wrong("'" + pair + "' is not NAME:VALUE");
      }
    }
  }
  static std::vector<std::string> words_of_lines(std::string text) {
    std::replace(text.begin(), text.end(), '\n', ' ');
    return words_of(text);
  }

  std::vector<std::string> words_;
  int number_;
  std::size_t at_ = 0;
};

std::string plain(double value) {
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.6g", value);
  return out.data();
}

}  // namespace

std::vector<Fault> read_script(std::string_view text) {
  std::vector<Fault> out;
  for (int number = 1; !text.empty(); ++number) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    Line line(text.substr(0, end), number);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty()) out.push_back(line.read());
  }
  return out;
}

std::string to_text(const Fault& fault) {
  std::string out;
  if (fault.at > 0) out += "at " + plain(fault.at) + " ";
  if (fault.every > 1) out += "every " + std::to_string(fault.every) + " ";
  if (fault.chance < 1) out += "chance " + plain(fault.chance) + " ";
  for (const Form& form : kForms) {
    if (form.verb != fault.verb) continue;
    out += form.name;
    const std::array<double, 3> values = {fault.a, fault.b, fault.c};
    for (int i = 0; form.takes == Takes::kNumbers && i < form.most; ++i) {
      const double value = values[static_cast<std::size_t>(i)];
      if (value >= 0) out += " " + plain(value);
    }
    if (form.takes == Takes::kWord) out += " " + fault.text;
    if (form.takes == Takes::kRest) {
      std::string text = " " + fault.text.substr(0, fault.text.size() - 1);
      std::replace(text.begin(), text.end(), '\n', ' ');
      out += text;
    }
  }
  if (fault.lasts < kForever) out += " for " + plain(fault.lasts);
  return out;
}

}  // namespace nettlestand::standins
