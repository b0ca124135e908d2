#include "standins/world/script.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <sstream>

namespace nettlestand::standins {
namespace {

using Places = std::vector<std::size_t>;

// The verbs of a role, and how many figures each takes: at least, at most. Of a way's, words between figures.
struct Shape {
  std::size_t least = 0, most = 0;
  const char* word = nullptr;  // before the second figure
};
const std::map<std::string, Shape> kNodeVerbs = {
    {"pause", {}},         {"starve", {1, 1}}, {"kill", {}},   {"term", {}},
    {"restart", {}},       {"clock", {1, 1}},  {"forget", {}}, {"disk-slow", {1, 1}},
    {"disk-full", {1, 1}}, {"disk-torn", {}},  {"save", {}},   {"roll-back", {}}};
const std::map<std::string, Shape> kListVerbs = {{"leaving", {}}, {"gone", {}}, {"back", {}}};
const std::map<std::string, Shape> kDiscoveryVerbs = {
    {"refuse", {}}, {"unavailable", {}}, {"silent", {}}, {"lag", {1, 1}}};
const std::map<std::string, Shape> kWayVerbs = {{"cut", {}},
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

class Reader {
 public:
  explicit Reader(const std::vector<Member>& members) : members_(members) {}

  void line(std::size_t number, std::string text) {
    number_ = number;
    text = trimmed(text.substr(0, text.find('#')));
    if (text.empty()) return;
    WorldFault fault;
    fault.line = number;
    if (text.rfind("at ", 0) == 0) {
      const std::size_t end = text.find(' ', 3);
      if (end == std::string::npos) wrong("nothing behind the time");
      fault.at = figure(text.substr(3, end - 3), 0, 1e6);
      text = trimmed(text.substr(end));
    }
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) wrong("'WHO: COMMAND' is wanted");
    const std::string subject = trimmed(text.substr(0, colon)), command = trimmed(text.substr(colon + 1));
    if (command.empty()) wrong("no command");
    const std::size_t both = subject.find("<->"), one = subject.find("->");
    if (both != std::string::npos) {
      ways(fault, trimmed(subject.substr(0, both)), trimmed(subject.substr(both + 3)), command, true);
    } else if (one != std::string::npos) {
      ways(fault, trimmed(subject.substr(0, one)), trimmed(subject.substr(one + 2)), command, false);
    } else {
      for (const std::size_t who : places(subject, {})) machine(fault, who, command);
    }
  }

  std::vector<WorldFault> out;

 private:
  [[noreturn]] void wrong(const std::string& what) const {
    throw ScriptError("line " + std::to_string(number_) + ": " + what);
  }

  double figure(const std::string& text, double least, double most) const {
    double value = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (bad != std::errc() || end != text.data() + text.size()) wrong("'" + text + "' is no number");
    if (!(value >= least && value <= most)) wrong(text + " is out of range");
    return value;
  }

  // Who is meant by one side; `others`: who the other side names, for `rest`.
  Places places(const std::string& text, const Places& others) const {
    Places all;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, ',');) {
      const Places some = group(trimmed(part), others);
      all.insert(all.end(), some.begin(), some.end());
    }
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    if (all.empty()) wrong("'" + text + "' is nobody");
    return all;
  }

  template <class Holds>
  Places those(Holds&& holds) const {
    Places out;
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (holds(members_[i], i)) out.push_back(i);
    }
    return out;
  }

  Places group(const std::string& text, const Places& others) const {
    const std::size_t of = text.find(" of ");
    if (of != std::string::npos) {
      const Places a = group(trimmed(text.substr(0, of)), others),
                   b = group(trimmed(text.substr(of + 4)), others);
      Places out;
      std::set_intersection(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(out));
      return out;
    }
    static const std::map<std::string, Role> kRoles = {
        {"nodes", Role::kNode}, {"servers", Role::kServer}, {"callers", Role::kCallers}};
    if (const auto role = kRoles.find(text); role != kRoles.end()) {
      return those([&](const Member& m, std::size_t) { return m.role == role->second; });
    }
    if (text == "all") return those([](const Member&, std::size_t) { return true; });
    if (text == "rest") {
      return those([&](const Member&, std::size_t i) {
        return std::find(others.begin(), others.end(), i) == others.end();
      });
    }
    const auto words = words_of(text);
    if (words.size() == 2 && words[0] == "zone") {
      return those([&](const Member& m, std::size_t) { return m.zone == words[1]; });
    }
    if (words.size() == 2 && words[0] == "region") {
      return those([&](const Member& m, std::size_t) { return m.region == words[1]; });
    }
    const Places named = those([&](const Member& m, std::size_t) { return m.name == text; });
    if (named.empty()) wrong("nobody is called '" + text + "'");
    return named;
  }

  // Takes "for D" off the end, and the figures.
  void shaped(WorldFault& fault, const std::string& command,
              const std::map<std::string, Shape>& verbs) const {
    std::vector<std::string> words = words_of(command);
    if (words.size() >= 2 && words[words.size() - 2] == "for") {
      fault.lasts = figure(words.back(), 0, 1e6);
      words.resize(words.size() - 2);
    }
    if (words.empty()) wrong("no command");
    const auto shape = verbs.find(words[0]);
    if (shape == verbs.end()) wrong("nothing here can '" + words[0] + "'");
    fault.verb = words[0];
    fault.figures.clear();
    for (std::size_t i = 1; i < words.size(); ++i) {
      if (shape->second.word != nullptr && fault.figures.size() == 1 && words[i] == shape->second.word)
        continue;
      fault.figures.push_back(figure(words[i], fault.verb == "clock" ? -1e9 : 0, 1e9));
    }
    const bool parts = fault.verb == "loss" || fault.verb == "reorder" || fault.verb == "duplicate" ||
                       fault.verb == "corrupt" || fault.verb == "starve";
    if (parts && !fault.figures.empty() && fault.figures[0] > 1) wrong("a part is 0 to 1");
    if (fault.figures.size() < shape->second.least || fault.figures.size() > shape->second.most) {
      wrong("'" + fault.verb + "' takes " + std::to_string(shape->second.least) + " to " +
            std::to_string(shape->second.most) + " figures");
    }
  }

  void machine(WorldFault fault, std::size_t who, const std::string& command) {
    fault.who = who;
    const std::string verb = words_of(command).front();
    switch (members_[who].role) {
      case Role::kNode:
        shaped(fault, command, kNodeVerbs);
        break;
      case Role::kDiscovery:
        shaped(fault, command, kDiscoveryVerbs);
        break;
      case Role::kServer:
        if (kListVerbs.contains(verb)) {
          shaped(fault, command, kListVerbs);
          break;
        }
        try {
          const std::vector<Fault> read = parse_script(command);
          fault.server = read.at(0);
        } catch (const ScriptError& problem) {
          const std::string what = problem.what();
          wrong(what.substr(what.find(": ") + 2));
        }
        if (fault.server.at > 0) wrong("the time stands before who is hit");
        fault.verb = "server";
        fault.lasts = fault.server.duration;
        break;
      case Role::kCallers:
        wrong("nothing happens to callers alone: name a way");
    }
    out.push_back(std::move(fault));
  }

  void ways(WorldFault fault, const std::string& from, const std::string& to, const std::string& command,
            bool both) {
    shaped(fault, command, kWayVerbs);
    const Places a = places(from, to == "rest" || from != "rest" ? Places{} : places(to, {}));
    const Places b = places(to, a);
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
        if (!there) out.push_back(fault);  // else its turn comes
      }
    }
  }

  const std::vector<Member>& members_;
  std::size_t number_ = 0;
};

}  // namespace

bool needs_seams(const WorldFault& fault) {
  return fault.verb == "clock" || fault.verb.rfind("disk-", 0) == 0;
}

std::vector<WorldFault> read_world_script(std::string_view text, const std::vector<Member>& members) {
  Reader reader(members);
  std::istringstream in{std::string(text)};
  std::size_t number = 0;
  for (std::string line; std::getline(in, line);) reader.line(++number, line);
  std::stable_sort(reader.out.begin(), reader.out.end(),
                   [](const WorldFault& a, const WorldFault& b) { return a.at < b.at; });
  return std::move(reader.out);
}

}  // namespace nettlestand::standins
