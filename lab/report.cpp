#include "lab/report.h"

#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <stdexcept>

namespace nettlestand::lab {
namespace {

std::string escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<') {
      out += "&lt;";
    } else if (c == '>') {
      out += "&gt;";
    } else if (c == '&') {
      out += "&amp;";
    } else {
      out += c;
    }
  }
  return out;
}

// Converts Markdown tables, with lines of text between them, to HTML.
std::string html_table(const std::string& markdown) {
  std::string out = "<table>";
  std::istringstream in(markdown);
  bool head = true;
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("| ---", 0) == 0) {
      head = false;
      continue;
    }
    if (line.rfind("|", 0) != 0) {
      if (!line.empty()) out += "</table><p>" + escaped(line) + "</p><table>";
      head = true;
      continue;
    }
    out += "<tr>";
    std::istringstream cells(line.substr(1));
    for (std::string cell; std::getline(cells, cell, '|');) {
      out += (head ? "<th>" : "<td>") + escaped(cell) + (head ? "</th>" : "</td>");
    }
    out += "</tr>";
  }
  return out + "</table>";
}

// A temporary directory that is removed with its contents on destruction.
class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    const char* base = std::getenv("TMPDIR");
    std::string name = std::string(base != nullptr ? base : "/tmp") + "/nettlestand_lab_XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("can't create a temporary directory for plots");
    path = name;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  std::filesystem::path path;
};

// Means and intervals over the seeds for each second of one zone.
struct ZoneSeries {
  std::vector<Estimate> service, p99;
};

std::map<std::string, ZoneSeries> series_by_zone(const Result& r, const std::string& variant) {
  std::map<std::string, std::map<int, std::pair<std::vector<double>, std::vector<double>>>> values;
  for (const Run* run : valid_runs(r, variant)) {
    for (const Point& p : run->series) {
      if (p.asked > 0) {
        values[p.zone][p.second].first.push_back(static_cast<double>(p.in_aim) /
                                                 static_cast<double>(p.asked));
      }
      if (p.p99_ms > 0) values[p.zone][p.second].second.push_back(p.p99_ms);
    }
  }
  std::map<std::string, ZoneSeries> out;
  for (const auto& [zone, seconds] : values) {
    for (int s = 0; s < static_cast<int>(r.seconds); ++s) {
      const auto it = seconds.find(s);
      out[zone].service.push_back(it == seconds.end() ? Estimate{} : estimate(it->second.first));
      out[zone].p99.push_back(it == seconds.end() ? Estimate{} : estimate(it->second.second));
    }
  }
  return out;
}

std::string plot(const Result& r, std::size_t variant, bool service) {
  const TemporaryDirectory folder;
  const auto lines = series_by_zone(r, r.variants[variant]);
  std::ofstream script(folder.path / "plot");
  script << "set terminal svg size 860,300 dynamic background '#ffffff' font 'sans,12'\nset output '"
         << (folder.path / "plot.svg").string()
         << "'\nset xlabel 's'\nset grid\nset key outside right\nset xrange [0:" << r.seconds << "]\n";
  if (service) {
    script << "set ylabel 'answered in time'\nset yrange [0:1.02]\n";
  } else {
    script << "set ylabel 'p99, ms'\nset yrange [0:*]\n";
  }
  const auto [from, until] = r.fault_windows[variant];
  if (until > from) {
    script << "set object 1 rectangle from first " << from << ", graph 0 to first " << until
           << ", graph 1 fillcolor rgb '#dddddd' fillstyle solid 0.6 noborder behind\n";
  }
  static const std::array<const char*, 6> kColours = {"#1b6ca8", "#c1440e", "#2e7d32",
                                                      "#6a1b9a", "#8d6e00", "#444444"};
  std::string plots;
  std::size_t n = 0;
  for (const auto& [zone, line] : lines) {
    const std::string file = (folder.path / ("data" + std::to_string(n))).string();
    std::ofstream data(file);
    const auto& values = service ? line.service : line.p99;
    for (std::size_t s = 0; s < values.size(); ++s) {
      if (values[s].count == 0) continue;
      const double half = values[s].count > 1 ? values[s].half_width : 0;
      data << static_cast<double>(s) + 0.5 << " " << values[s].mean << " "
           << std::max(0.0, values[s].mean - half) << " " << values[s].mean + half << "\n";
    }
    const char* colour = kColours[n % kColours.size()];
    plots += (plots.empty() ? "plot " : ", ") + std::string("'") + file +
             "' using 1:3:4 with filledcurves fillcolor rgb '" + colour +
             "' fillstyle transparent solid 0.2 notitle, '" + file +
             "' using 1:2 with lines linewidth 2 linecolor rgb '" + colour + "' title 'zone " + zone + "'";
    ++n;
  }
  if (plots.empty()) return "<p>no runs to plot</p>";
  script << plots << "\n";
  script.close();
  const std::string command = "gnuplot " + (folder.path / "plot").string() + " 2>&1";
  FILE* pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) throw std::runtime_error("can't start gnuplot");
  std::string output;
  std::array<char, 256> part{};
  while (std::fgets(part.data(), static_cast<int>(part.size()), pipe) != nullptr) output += part.data();
  const int status = pclose(pipe);
  if (status != 0) throw std::runtime_error("gnuplot (Debian's gnuplot-nox) failed: " + output);
  std::ifstream svg(folder.path / "plot.svg");
  std::string out{std::istreambuf_iterator<char>(svg), std::istreambuf_iterator<char>()};
  const std::size_t at = out.find("<svg");
  if (at == std::string::npos) throw std::runtime_error("gnuplot wrote no SVG: " + output);
  return out.substr(at);
}

}  // namespace

std::string report(const Result& r) {
  std::string out =
      "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>" + escaped(r.experiment) +
      "</title><style>body{font:15px sans-serif;max-width:72em;margin:2em auto;padding:0 1em}"
      "table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:.25em .6em;"
      "text-align:left}svg{max-width:100%}</style></head><body><h1>" +
      escaped(r.experiment) + "</h1><p>" + escaped(r.about) + "</p><p>Played on " +
      (r.on == "emulator" ? "the emulator" : "processes") +
      ". Means over seeds with 95% intervals; a request counts once, with all its tries.</p>" +
      html_table(table(r));
  if (r.variants.size() > 1) out += "<h2>Differences</h2>" + html_table(compare_variants(r));
  for (std::size_t i = 0; i < r.variants.size(); ++i) {
    out += "<h2>" + escaped(r.variants[i]) +
           "</h2><p>The part answered in time, by the second in which requests were "
           "first asked; what is shaded is from the first fault to the end of the last.</p>" +
           plot(r, i, true) + plot(r, i, false);
  }
  return out + "</body></html>\n";
}

}  // namespace nettlestand::lab
