// Command line options of the test programs: --name VALUE, in any order.
#pragma once

#include <charconv>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace nettlestand::standins {

// Parsed options; the last value of a repeated option counts, all() returns every one.
class Options {
 public:
  // `known`: the accepted names without dashes. Throws std::invalid_argument.
  Options(int argc, char** argv, const std::vector<std::string>& known) {
    for (int i = 1; i < argc; i += 2) {
      const std::string name = argv[i];
      bool good = false;
      for (const std::string& known_name : known) good = good || name == "--" + known_name;
      if (!good) throw std::invalid_argument("unknown option " + name);
      if (i + 1 == argc) throw std::invalid_argument(name + " needs a value");
      values_[name.substr(2)].emplace_back(argv[i + 1]);
    }
  }
  bool has(const std::string& name) const { return values_.contains(name); }
  std::string text(const std::string& name, const std::string& fallback) const {
    return has(name) ? values_.at(name).back() : fallback;
  }
  std::vector<std::string> all(const std::string& name) const {
    return has(name) ? values_.at(name) : std::vector<std::string>{};
  }
  double number(const std::string& name, double fallback) const {
    return has(name) ? to_number(values_.at(name).back(), "--" + name) : fallback;
  }
  int integer(const std::string& name, int fallback) const {
    return static_cast<int>(number(name, fallback));
  }
  static double to_number(const std::string& text, const std::string& what) {
    double out = 0;
    const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (bad != std::errc() || end != text.data() + text.size()) {
      throw std::invalid_argument(what + " needs a number, not '" + text + "'");
    }
    return out;
  }
  // Splits a value at each separator.
  static std::vector<std::string> split(const std::string& text, char separator) {
    std::vector<std::string> out(1);
    for (const char c : text) {
      if (c == separator) {
        out.emplace_back();
      } else {
        out.back() += c;
      }
    }
    return out;
  }

 private:
  std::map<std::string, std::vector<std::string>> values_;
};

}  // namespace nettlestand::standins
