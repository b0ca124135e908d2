// Faults of a scripted server, and the language in which scripts name them: SCRIPT.md has the list.
#pragma once

#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::standins {

constexpr double kForever = std::numeric_limits<double>::infinity();

enum class FaultKind {
  // about connections
  kRefuse,
  kReject,
  kHang,
  kNoAccept,
  kCrash,
  kCloseIdle,
  kIdle,
  // about requests
  kSilent,
  kNotStarted,
  kDrain,
  kError,
  kEarly,
  kResetAfterRequest,
  kDedup,
  kSlower,
  kCold,
  kSize,
  // about answers
  kLate,
  kTwice,
  kCut,
  kTrickle,
  kPause,
  kGarble,
  kTrailers,
  kResetAnswer
};

struct Fault {
  FaultKind kind = FaultKind::kRefuse;
  double at = 0;                        // s after the script's start
  double duration = kForever;           // s
  int every = 1;                        // hits every so-manieth connection, request or answer alone
  double chance = 1;                    // and each of these with this probability
  double arg1 = 0, arg2 = 0, arg3 = 0;  // the verb's figures, in the order of SCRIPT.md
  std::string text;                     // or its word
};

// A line that can't be read: the text begins with "line N: ".
struct ScriptError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One command a line. Throws ScriptError.
std::vector<Fault> parse_script(std::string_view text);
// As a line that parse_script() takes.
std::string to_text(const Fault& fault);

}  // namespace nettlestand::standins
