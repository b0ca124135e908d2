#include "standins/world/script.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace nettlestand::standins {
namespace {

using MemberIndices = std::vector<std::size_t>;

// Number of arguments of a verb, and for links the keyword between them.
struct ArgumentSpec {
  std::size_t min = 0, max = 0;
  const char* keyword = nullptr;  // before the second argument
};
const std::map<std::string, ArgumentSpec> kNodeVerbs = {
    {"pause", {}},         {"starve", {1, 1}}, {"kill", {}},   {"term", {}},
    {"restart", {}},       {"clock", {1, 1}},  {"forget", {}}, {"disk-slow", {1, 1}},
    {"disk-full", {1, 1}}, {"disk-torn", {}},  {"save", {}},   {"roll-back", {}}};
const std::map<std::string, ArgumentSpec> kListVerbs = {{"leaving", {}}, {"gone", {}}, {"back", {}}};
const std::map<std::string, ArgumentSpec> kDiscoveryVerbs = {
    {"refuse", {}}, {"unavailable", {}}, {"silent", {}}, {"lag", {1, 1}}};
const std::map<std::string, ArgumentSpec> kLinkVerbs = {{"cut", {}},
                                                        {"loss", {1, 2, "burst"}},
                                                        {"delay", {1, 2, "jitter"}},
                                                        {"reorder", {1, 1}},
                                                        {"duplicate", {1, 1}},
                                                        {"corrupt", {1, 1}},
                                                        {"band", {1, 1}},
                                                        {"reset", {}},
                                                        {"half-open", {}}};

std::vector<std::string> words_of(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> out;
  for (std::string word; in >> word;) out.push_back(word);
  return out;
}

std::string trimmed(const std::string& text) {
  const std::size_t from = text.find_first_not_of(" \t\r");
  return from == std::string::npos ? "" : text.substr(from, text.find_last_not_of(" \t\r") - from + 1);
}

// Parses a script line by line and resolves the names of members.
class ScriptParser {
 public:
  explicit ScriptParser(const std::vector<Member>& members) : members_(members) {}

  void parse_line(std::size_t number, std::string text) {
    line_number_ = number;
    text = trimmed(text.substr(0, text.find('#')));
    if (text.empty()) return;
    WorldFault fault;
    fault.line = number;
    if (text.rfind("at ", 0) == 0) {
      const std::size_t end = text.find(' ', 3);
      if (end == std::string::npos) fail("no command after the time");
      fault.at = parse_number(text.substr(3, end - 3), 0, 1e6);
      text = trimmed(text.substr(end));
    }
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) fail("'WHO: COMMAND' is wanted");
    const std::string subject = trimmed(text.substr(0, colon)), command = trimmed(text.substr(colon + 1));
    if (command.empty()) fail("no command");
    const std::size_t both = subject.find("<->"), one = subject.find("->");
    if (both != std::string::npos) {
      add_link_faults(fault, trimmed(subject.substr(0, both)), trimmed(subject.substr(both + 3)), command,
                      true);
    } else if (one != std::string::npos) {
      add_link_faults(fault, trimmed(subject.substr(0, one)), trimmed(subject.substr(one + 2)), command,
                      false);
    } else {
      for (const std::size_t who : resolve_members(subject, {})) add_machine_fault(fault, who, command);
    }
  }

  std::vector<WorldFault> out;

 private:
  [[noreturn]] void fail(const std::string& what) const {
    throw ScriptError("line " + std::to_string(line_number_) + ": " + what);
  }

  double parse_number(const std::string& text, double min, double max) const {
    double value = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (bad != std::errc() || end != text.data() + text.size()) fail("'" + text + "' is no number");
    if (!(value >= min && value <= max)) fail(text + " is out of range");
    return value;
  }

  // Members that a subject names; `others`: members of the other side, which `rest` excludes.
  MemberIndices resolve_members(const std::string& text, const MemberIndices& others) const {
    MemberIndices all;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
      const MemberIndices some = resolve_group(trimmed(part), others);
      all.insert(all.end(), some.begin(), some.end());
    }
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    if (all.empty()) fail("'" + text + "' is nobody");
    return all;
  }

  template <class Predicate>
  MemberIndices members_where(Predicate&& predicate) const {
    MemberIndices out;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (predicate(members_[i], i)) out.push_back(i);
    }
    return out;
  }

  MemberIndices resolve_group(const std::string& text, const MemberIndices& others) const {
    const std::size_t of = text.find(" of ");
    if (of != std::string::npos) {
      const MemberIndices a = resolve_group(trimmed(text.substr(0, of)), others),
                          b = resolve_group(trimmed(text.substr(of + 4)), others);
      MemberIndices out;
      std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(out));
      return out;
    }
    static const std::map<std::string, Role> kRoles = {
        {"nodes", Role::kNode}, {"servers", Role::kServer}, {"callers", Role::kCallers}};
    if (const auto role = kRoles.find(text); role != kRoles.end()) {
      return members_where([&](const Member& m, std::size_t) { return m.role == role->second; });
    }
    if (text == "all") return members_where([](const Member&, std::size_t) { return true; });
    if (text == "rest") {
      return members_where([&](const Member&, std::size_t i) {
        return std::find(others.begin(), others.end(), i) == others.end();
      });
    }
    const auto words = words_of(text);
    if (words.size() == 2 && words[0] == "zone") {
      return members_where([&](const Member& m, std::size_t) { return m.zone == words[1]; });
    }
    if (words.size() == 2 && words[0] == "region") {
      return members_where([&](const Member& m, std::size_t) { return m.region == words[1]; });
    }
    const MemberIndices named = members_where([&](const Member& m, std::size_t) { return m.name == text; });
    if (named.empty()) fail("nobody is called '" + text + "'");
    return named;
  }

  // Parses a command: removes "for D" from its end, then reads the arguments.
  void parse_command(WorldFault& fault, const std::string& command,
                     const std::map<std::string, ArgumentSpec>& verbs) const {
    std::vector<std::string> words = words_of(command);
    if (words.size() >= 2 && words[words.size() - 2] == "for") {
      fault.duration = parse_number(words.back(), 0, 1e6);
      words.resize(words.size() - 2);
    }
    if (words.empty()) fail("no command");
    const auto spec = verbs.find(words[0]);
    if (spec == verbs.end()) fail("nothing here can '" + words[0] + "'");
    fault.verb = words[0];
    fault.arguments.clear();
    for (std::size_t i = 1; i < words.size(); ++i) {
      if (spec->second.keyword != nullptr && fault.arguments.size() == 1 && words[i] == spec->second.keyword)
        continue;
      fault.arguments.push_back(parse_number(words[i], fault.verb == "clock" ? -1e9 : 0, 1e9));
    }
    const bool parts = fault.verb == "loss" || fault.verb == "reorder" || fault.verb == "duplicate" ||
                       fault.verb == "corrupt" || fault.verb == "starve";
    if (parts && !fault.arguments.empty() && fault.arguments[0] > 1) fail("a part is 0 to 1");
    if (fault.arguments.size() < spec->second.min || fault.arguments.size() > spec->second.max) {
      fail("'" + fault.verb + "' takes " + std::to_string(spec->second.min) + " to " +
           std::to_string(spec->second.max) + " figures");
    }
  }

  void add_machine_fault(WorldFault fault, std::size_t who, const std::string& command) {
    fault.who = who;
    const std::string verb = words_of(command).front();
    switch (members_[who].role) {
      case Role::kNode:
        parse_command(fault, command, kNodeVerbs);
        break;
      case Role::kDiscovery:
        parse_command(fault, command, kDiscoveryVerbs);
        break;
      case Role::kServer:
        if (kListVerbs.contains(verb)) {
          parse_command(fault, command, kListVerbs);
          break;
        }
        try {
          const std::vector<Fault> read = parse_script(command);
          fault.server = read.at(0);
        } catch (const ScriptError& problem) {
          const std::string what = problem.what();
          fail(what.substr(what.find(": ") + 2));
        }
        if (fault.server.at > 0) fail("the time stands before who is hit");
        fault.verb = "server";
        fault.duration = fault.server.duration;
        break;
      case Role::kCallers:
        fail("nothing happens to callers alone: name a way");
    }
    out.push_back(std::move(fault));
  }

  void add_link_faults(WorldFault fault, const std::string& from, const std::string& to,
                       const std::string& command, bool both) {
    parse_command(fault, command, kLinkVerbs);
    const MemberIndices a =
        resolve_members(from, to == "rest" || from != "rest" ? MemberIndices{} : resolve_members(to, {}));
    const MemberIndices b = resolve_members(to, a);
    for (const std::size_t x : a) {
      for (const std::size_t y : b) {
        if (x == y) continue;
        fault.who = x;
        fault.to = y;
        out.push_back(fault);
        if (!both || fault.verb == "reset") continue;
        std::swap(fault.who, fault.to);
        const bool there =
            std::find(b.begin(), b.end(), x) != b.end() && std::find(a.begin(), a.end(), y) != a.end();
        if (!there) out.push_back(fault);  // otherwise the loop adds it later
      }
    }
  }

  const std::vector<Member>& members_;
  std::size_t line_number_ = 0;
};

}  // namespace

bool needs_interposed_faults(const WorldFault& fault) {
  return fault.verb == "clock" || fault.verb.rfind("disk-", 0) == 0;
}

std::vector<WorldFault> parse_world_script(std::string_view text, const std::vector<Member>& members) {
  ScriptParser parser(members);
  std::istringstream in{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) parser.parse_line(++number, line);
  std::stable_sort(parser.out.begin(), parser.out.end(),
                   [](const WorldFault& a, const WorldFault& b) { return a.at < b.at; });
  return std::move(parser.out);
}

}  // namespace nettlestand::standins
