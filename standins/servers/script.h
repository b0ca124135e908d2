// Faults that a scripted server injects, and the parser of the script language that describes them. SCRIPT.md
// lists the commands.
#pragma once

#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::standins {

// Duration of a fault that never ends by itself.
constexpr double kForever = std::numeric_limits<double>::infinity();

// What a fault does; each one has a command in SCRIPT.md.
enum class FaultKind {
  // connection faults
  kRefuse,
  kReject,
  kHang,
  kNoAccept,
  kCrash,
  kCloseIdle,
  kIdle,
  // request faults
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
  // response faults
  kLate,
  kTwice,
  kCut,
  kTrickle,
  kPause,
  kGarble,
  kTrailers,
  kResetAnswer
};

// One injected fault: what it does, when it is active, and which events it affects.
struct Fault {
  FaultKind kind = FaultKind::kRefuse;
  double at = 0;                        // start, s after the script begins
  double duration = kForever;           // s
  int every = 1;                        // affects only every n-th connection, request or response
  double chance = 1;                    // probability that each of these is affected
  double arg1 = 0, arg2 = 0, arg3 = 0;  // numeric arguments, in the order of SCRIPT.md
  std::string text;                     // text argument
};

// A script line that can't be parsed. The message begins with "line N: ".
struct ScriptError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Parses a script of one command per line. Throws ScriptError.
std::vector<Fault> parse_script(std::string_view text);
// Formats a fault as a line that parse_script() accepts.
std::string to_text(const Fault& fault);

}  // namespace nettlestand::standins
