#include "lab/result.h"

#include <rapidjson/document.h>
#include <rapidjson/prettywriter.h>
#include <rapidjson/stringbuffer.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <map>
#include <stdexcept>

namespace nettlestand::lab {
namespace {

constexpr double kRecoveryThreshold = 0.95;  // of the service before the faults
constexpr int kRecoveryHoldSeconds = 2;      // for which the service must stay above the threshold

// Two-sided 95% quantiles of Student's t, by degrees of freedom from 1.
constexpr std::array<double, 30> kStudentT95 = {
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120,  2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042};

std::string format_numbers(const char* format, double a, double b = 0) {
  std::array<char, 96> out{};
  std::snprintf(out.data(), out.size(), format, a, b);
  return out.data();
}

double ratio(std::uint64_t of, std::uint64_t all) {
  return all == 0 ? 0 : static_cast<double>(of) / static_cast<double>(all);
}

std::string format_estimate(const Estimate& e) {
  return std::isfinite(e.half_width) ? format_numbers("%.4g ± %.2g", e.mean, e.half_width)
                                     : format_numbers("%.4g (one run)", e.mean);
}

}  // namespace

std::string to_json(const Result& r) {
  rapidjson::StringBuffer buffer;
  rapidjson::PrettyWriter<rapidjson::StringBuffer> w(buffer);
  w.SetIndent(' ', 1);
  w.SetFormatOptions(rapidjson::kFormatSingleLineArray);
  w.SetMaxDecimalPlaces(6);
  const auto put = [&](const char* key, const std::string& value) {
    w.Key(key);
    w.String(value.c_str(), static_cast<rapidjson::SizeType>(value.size()));
  };
  const auto count = [&](const char* key, std::uint64_t value) {
    w.Key(key);
    w.Uint64(value);
  };
  const auto number = [&](const char* key, double value) {
    w.Key(key);
    w.Double(value);
  };
  w.StartObject();
  put("experiment", r.experiment);
  put("about", r.about);
  put("on", r.on);
  number("seconds", r.seconds);
  w.Key("variants");
  w.StartArray();
  for (std::size_t i = 0; i < r.variants.size(); ++i) {
    w.StartObject();
    put("name", r.variants[i]);
    number("trouble_from", r.fault_windows[i].first);
    number("trouble_until", r.fault_windows[i].second);
    w.EndObject();
  }
  w.EndArray();
  w.Key("runs");
  w.StartArray();
  for (const Run& run : r.runs) {
    w.StartObject();
    put("variant", run.variant);
    count("seed", run.seed);
    w.Key("void");
    w.Bool(run.is_void);
    count("asked", run.asked);
    count("in_aim", run.in_aim);
    count("served", run.served);
    count("refused", run.refused);
    count("failed", run.failed);
    count("tries", run.tries);
    count("attempts", run.attempts);
    number("p50_ms", run.p50_ms);
    number("p99_ms", run.p99_ms);
    number("recovery_s", run.recovery_s);
    count("rules_broken", run.rules_broken);
    w.Key("series");
    w.StartArray();
    for (const Point& p : run.series) {
      w.StartArray();
      w.Int(p.second);
      w.String(p.zone.c_str());
      w.Uint64(p.asked);
      w.Uint64(p.in_aim);
      w.Uint64(p.refused);
      w.Uint64(p.failed);
      w.Double(p.p99_ms);
      w.EndArray();
    }
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
  w.EndObject();
  return std::string(buffer.GetString(), buffer.GetSize()) + "\n";
}

Result read_result(std::string_view json) {
  rapidjson::Document d;
  d.Parse(json.data(), json.size());
  if (d.HasParseError() || !d.IsObject()) throw std::runtime_error("no result: not valid JSON");
  const auto need = [](const rapidjson::Value& in, const char* key) -> const rapidjson::Value& {
    if (!in.IsObject() || !in.HasMember(key))
      throw std::runtime_error(std::string("no result: '") + key + "' is missing");
    return in[key];
  };
  const auto number = [&](const rapidjson::Value& in, const char* key) {
    const auto& value = need(in, key);
    if (!value.IsNumber()) throw std::runtime_error(std::string("no result: '") + key + "' is no number");
    return value.GetDouble();
  };
  const auto count = [&](const rapidjson::Value& in, const char* key) {
    const auto& value = need(in, key);
    if (!value.IsUint64()) throw std::runtime_error(std::string("no result: '") + key + "' is no count");
    return value.GetUint64();
  };
  const auto word = [&](const rapidjson::Value& in, const char* key) {
    const auto& value = need(in, key);
    if (!value.IsString()) throw std::runtime_error(std::string("no result: '") + key + "' is no text");
    return std::string(value.GetString(), value.GetStringLength());
  };
  const auto list = [&](const rapidjson::Value& in, const char* key) {
    const auto& value = need(in, key);
    if (!value.IsArray()) throw std::runtime_error(std::string("no result: '") + key + "' is no list");
    return value.GetArray();
  };
  Result out;
  out.experiment = word(d, "experiment");
  out.about = word(d, "about");
  out.on = word(d, "on");
  out.seconds = number(d, "seconds");
  for (const auto& v : list(d, "variants")) {
    out.variants.push_back(word(v, "name"));
    out.fault_windows.emplace_back(number(v, "trouble_from"), number(v, "trouble_until"));
  }
  for (const auto& r : list(d, "runs")) {
    Run run;
    run.variant = word(r, "variant");
    run.seed = count(r, "seed");
    run.is_void = need(r, "void").IsTrue();
    run.asked = count(r, "asked");
    run.in_aim = count(r, "in_aim");
    run.served = count(r, "served");
    run.refused = count(r, "refused");
    run.failed = count(r, "failed");
    run.tries = count(r, "tries");
    run.attempts = count(r, "attempts");
    run.p50_ms = number(r, "p50_ms");
    run.p99_ms = number(r, "p99_ms");
    run.recovery_s = number(r, "recovery_s");
    run.rules_broken = count(r, "rules_broken");
    for (const auto& p : list(r, "series")) {
      if (!p.IsArray() || p.Size() != 7) throw std::runtime_error("no result: a point has seven members");
      run.series.push_back({p[0].GetInt(), p[1].GetString(), p[2].GetUint64(), p[3].GetUint64(),
                            p[4].GetUint64(), p[5].GetUint64(), p[6].GetDouble()});
    }
    out.runs.push_back(std::move(run));
  }
  return out;
}

double recovery_time(const std::vector<Point>& series, double count_from, double from, double until,
                     double seconds) {
  if (until <= 0) return -1;
  std::map<int, std::pair<std::uint64_t, std::uint64_t>> by_second;
  for (const Point& p : series) {
    by_second[p.second].first += p.asked;
    by_second[p.second].second += p.in_aim;
  }
  std::uint64_t asked = 0, good = 0;
  for (const auto& [second, counts] : by_second) {
    if (second < count_from || second + 1 > from) continue;
    asked += counts.first;
    good += counts.second;
  }
  if (asked == 0) return -1;
  const double wanted = kRecoveryThreshold * ratio(good, asked);
  const int first = static_cast<int>(std::ceil(until));
  for (int second = first; second + kRecoveryHoldSeconds <= static_cast<int>(seconds); ++second) {
    bool holds = true;
    for (int s = second; s < second + kRecoveryHoldSeconds; ++s) {
      holds = holds && ratio(by_second[s].second, by_second[s].first) >= wanted;
    }
    if (holds) return second - until;
  }
  return -1;
}

const std::vector<std::string>& metric_names() {
  static const std::vector<std::string> all = {"in time", "refused", "failed",   "p50 ms",
                                               "p99 ms",  "tries",   "attempts", "recovery s"};
  return all;
}

double metric_value(const Run& run, const std::string& name) {
  if (name == "in time") return ratio(run.in_aim, run.asked);
  if (name == "refused") return ratio(run.refused, run.asked);
  if (name == "failed") return ratio(run.failed, run.asked);
  if (name == "p50 ms") return run.p50_ms;
  if (name == "p99 ms") return run.p99_ms;
  if (name == "tries") return ratio(run.tries, run.asked);
  if (name == "attempts") return ratio(run.attempts, run.asked);
  if (name == "recovery s") return run.recovery_s;
  throw std::invalid_argument("no figure '" + name + "'");
}

Estimate estimate(const std::vector<double>& values) {
  Estimate out;
  out.count = values.size();
  out.half_width = std::numeric_limits<double>::infinity();
  if (values.empty()) return out;
  for (const double value : values) out.mean += value / static_cast<double>(values.size());
  if (values.size() < 2) return out;
  double square = 0;
  for (const double value : values) square += (value - out.mean) * (value - out.mean);
  const std::size_t free = values.size() - 1;
  const double t =
      free <= kStudentT95.size() ? kStudentT95[free - 1] : 1.96 + 2.5 / static_cast<double>(free);
  out.half_width = t * std::sqrt(square / static_cast<double>(free) / static_cast<double>(values.size()));
  return out;
}

std::vector<const Run*> valid_runs(const Result& result, const std::string& variant) {
  std::vector<const Run*> out;
  for (const Run& run : result.runs) {
    if (run.variant == variant && !run.is_void) out.push_back(&run);
  }
  return out;
}

Difference difference(const std::vector<const Run*>& a, const std::vector<const Run*>& b,
                      const std::string& figure) {
  std::map<std::uint64_t, const Run*> by_seed;
  for (const Run* run : a) by_seed[run->seed] = run;
  std::vector<double> values;
  for (const Run* run : b) {
    const auto it = by_seed.find(run->seed);
    if (it != by_seed.end()) values.push_back(metric_value(*run, figure) - metric_value(*it->second, figure));
  }
  Difference out{estimate(values), false};
  out.is_significant = out.estimate.count >= 2 && std::abs(out.estimate.mean) > out.estimate.half_width;
  return out;
}

std::string table(const Result& result) {
  std::string out = "| variant | runs | rules broken |";
  for (const std::string& figure : metric_names()) out += " " + figure + " |";
  out += "\n|";
  for (std::size_t i = 0; i < metric_names().size() + 3; ++i) out += " --- |";
  out += "\n";
  for (const std::string& variant : result.variants) {
    const auto runs = valid_runs(result, variant);
    const auto all = std::count_if(result.runs.begin(), result.runs.end(),
                                   [&](const Run& run) { return run.variant == variant; });
    std::uint64_t broken = 0;
    for (const Run* run : runs) broken += run->rules_broken;
    out += "| " + variant + " | " + std::to_string(runs.size()) +
           (static_cast<std::size_t>(all) > runs.size() ? " of " + std::to_string(all) + ", the rest void"
                                                        : "") +
           " | " + std::to_string(broken) + " |";
    for (const std::string& figure : metric_names()) {
      std::vector<double> values;
      std::size_t never = 0;
      for (const Run* run : runs) {
        const double value = metric_value(*run, figure);
        if (figure == "recovery s" && value < 0) {
          ++never;
        } else {
          values.push_back(value);
        }
      }
      out += " " + (values.empty() ? std::string("-") : format_estimate(estimate(values))) +
             (never > 0 && !values.empty() ? ", never in " + std::to_string(never) : "") + " |";
    }
    out += "\n";
  }
  return out;
}

namespace {

std::string differences(const std::vector<const Run*>& a, const std::vector<const Run*>& b) {
  std::string out;
  for (const std::string& figure : metric_names()) {
    if (figure == "recovery s") continue;
    const Difference d = difference(a, b, figure);
    out += "| " + figure + " | " + std::to_string(d.estimate.count) + " | " +
           (d.estimate.count == 0 ? "-" : format_estimate(d.estimate)) + " | " +
           (d.is_significant ? (d.estimate.mean > 0 ? "more" : "less") : "can't be told apart") + " |\n";
  }
  return out;
}

const char* kDifferenceHeader = "| figure | pairs | difference | verdict |\n| --- | --- | --- | --- |\n";

}  // namespace

std::string compare(const Result& a, const Result& b) {
  std::string out;
  for (const std::string& variant : b.variants) {
    if (std::find(a.variants.begin(), a.variants.end(), variant) == a.variants.end()) continue;
    out += "\n" + variant + ": the second less the first, seed by seed\n\n" + kDifferenceHeader +
           differences(valid_runs(a, variant), valid_runs(b, variant));
  }
  return out.empty() ? "the results have no variant in common\n" : out;
}

std::string compare_variants(const Result& result) {
  std::string out;
  for (std::size_t i = 1; i < result.variants.size(); ++i) {
    out += "\n" + result.variants[i] + " less " + result.variants[0] + ", seed by seed\n\n" +
           kDifferenceHeader +
           differences(valid_runs(result, result.variants[0]), valid_runs(result, result.variants[i]));
  }
  return out;
}

}  // namespace nettlestand::lab
