// The command line of `nettlestand`, one node of the load balancer. README.md describes the configuration.
#include <CLI/CLI.hpp>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <map>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>

#ifdef NETTLESTAND_WITH_SYSTEM
#include "node/tier_main.h"
#endif
#include "daemon/control_socket.h"
#include "daemon/node.h"
#include "daemon/operator_file.h"
#include "daemon/peers_table.h"
#include "nettlestand/version.h"
#ifdef NETTLESTAND_WITH_DEMO
#include "daemon/demo.h"
#endif
#ifdef NETTLESTAND_WITH_DUTIES
#include "daemon/duties.h"
#include "daemon/duty_program.h"
#endif

namespace {

namespace ns = nettlestand;

constexpr std::size_t kMaxConfigBytes = 4 * 1024 * 1024;  // fits the known servers of a node with 192 MB
// Exit codes.
constexpr int kBadConfig = 2, kCannotStart = 1;

std::string read_file(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error("can't read " + path);
  // The size is limited because a running node reads the file again after each SIGHUP.
  std::string text;
  for (std::array<char, 4096> part; in.read(part.data(), part.size()), in.gcount() > 0;) {
    text.append(part.data(), static_cast<std::size_t>(in.gcount()));
    if (text.size() > kMaxConfigBytes) throw std::runtime_error(path + " is longer than 4 MiB");
  }
  if (in.bad()) throw std::runtime_error("can't read " + path);
  return text;
}

// Reads the operator's file. Throws std::runtime_error with all its problems as the message.
ns::Config load_operator_file(const std::string& path, bool standalone) {
  std::vector<ns::Problem> problems;
  const auto out = ns::parse_operator_file(read_file(path), standalone, problems);
  if (out) return *out;
  std::string text = ns::to_text(problems, path);
  text.pop_back();
  throw std::runtime_error(text);
}

// Loads the configuration. The platform's takes precedence, and the operator's file adds to it; without the
// platform's, the file must hold everything.
ns::Config load_config(const std::string& file) {
  const char* platform = std::getenv("GW_CONFIG");
  if (platform == nullptr && file.empty()) throw std::runtime_error("GW_CONFIG is not set");
  ns::Config out;
  if (platform == nullptr) {
    out = load_operator_file(file, true);
    if (out.seed == 0) out.seed = std::random_device()();  // nodes must not share a random sequence
    ns::set_identities(out);
  } else {
    out = ns::read_platform_config(read_file(platform));
    if (!file.empty()) ns::merge_operator_file(out, load_operator_file(file, false));
  }
  if (out.peers && !out.peers_key_file.empty()) {
    out.peers->cluster.keys = ns::peers::parse_keys(read_file(out.peers_key_file));
  }
  if (out.duties && !out.duties->key_file.empty()) {
    out.duties->service.keys.keys = ns::peers::parse_keys(read_file(out.duties->key_file));
    if (out.duties->voter) out.duties->voter->keys = out.duties->service.keys;
  }
  return out;
}

int run(const std::string& file, const std::optional<ns::LogOptions::Format>& format) {
  std::signal(SIGPIPE, SIG_IGN);
  int failure = kBadConfig;
  try {
    ns::Config config = load_config(file);
    if (format) config.log.format = *format;
    failure = kCannotStart;
    ns::Logger logger(config.log);
    ns::Node node(
        config, [&] { return load_config(file); }, [&](const ns::LogEvent& event) { logger.write(event); });
    node.run();
    std::fflush(nullptr);
    std::_Exit(0);  // skips destructors: the process's end closes what is open
  } catch (const std::invalid_argument& problem) {  // settings that the balancer rejects
    failure = kBadConfig;
    std::fprintf(stderr, "nettlestand: %s\n", problem.what());
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand: %s\n", problem.what());
  }
  return failure;
}

// Checks an operator's file: as an addition to the platform's configuration if GW_CONFIG is set, otherwise as
// a standalone one.
int check_file(const std::string& file) {
  try {
    load_operator_file(file, std::getenv("GW_CONFIG") == nullptr);
    std::printf("%s: good\n", file.c_str());
    return 0;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "%s\n", problem.what());
    return kBadConfig;
  }
}

// Prints what a running node knows of the other nodes.
int show_peers(const std::string& socket, bool json) {
  try {
    const std::string report = ns::send_control_command(socket, "peers");
    std::fputs(json ? report.c_str() : ns::peers_table(report).c_str(), stdout);
    return 0;
  } catch (const std::exception& problem) {
    std::fprintf(stderr, "nettlestand: %s\n", problem.what());
    return kCannotStart;
  }
}

#ifdef NETTLESTAND_WITH_DUTIES
int print_error(const std::exception& problem) {
  std::fprintf(stderr, "nettlestand: %s\n", problem.what());
  return kCannotStart;
}

// The subcommands for duties and the fleet report.
class DutiesCommands {
 public:
  explicit DutiesCommands(CLI::App& app) {
    CLI::App* all = app.add_subcommand("duties", "Duties, each of which one node holds at a time.");
    all->require_subcommand(1);
    const auto add_query = [&](CLI::App* to, const char* name, const char* about, const char* command,
                               bool json = false) {
      CLI::App* one = to->add_subcommand(name, about);
      one->add_option("--socket", socket_, "path of a node's control socket")->required();
      if (json) one->add_flag("--json", json_, "print the whole report as a JSON object");
      commands_.push_back({one, command});
      return one;
    };
    add_query(all, "show", "Lists the duties and their holders, from the voters' leader.", "duties", true);
    add_query(all, "own", "Prints what the queried node itself holds, as JSON.", "duties own");
    CLI::App* pass = add_query(all, "hand-over", "Moves a duty to another node at once.", "duties pass");
    pass->add_option("duty", name_, "the duty")->required();
    pass->add_option("--to", argument_, "the node that is to hold it");
    add_query(all, "define", "Updates a duty's settings at the voters from the queried node's file.",
              "duties define")
        ->add_option("duty", name_, "the duty")
        ->required();
    add_query(all, "remove", "Removes a duty from the voters' table.", "duties remove")
        ->add_option("duty", name_, "the duty")
        ->required();
    CLI::App* voters = all->add_subcommand("voters", "The voters.");
    voters->require_subcommand(1);
    add_query(voters, "show", "Lists the voters, as the queried node's voter knows them.", "duties voters",
              true);
    CLI::App* add = add_query(voters, "add", "Adds a voter whose node runs with its own initialized state.",
                              "duties voters add");
    add->add_option("name", name_, "the voter's node")->required();
    add->add_option("--address", argument_, "its address, for nodes whose files don't name it");
    add_query(voters, "remove", "Removes a voter.", "duties voters remove")
        ->add_option("name", name_, "the voter's node")
        ->required();
    init_ = all->add_subcommand("init", "Creates the state of a new voter, with a new identity.");
    init_->add_option("--folder", folder_, "the folder of the state")->required();
    init_->add_option("--found", first_voter_,
                      "create the first voter of the group, on the node of this name");
    watchdog_ =
        app.add_subcommand("duty-guard", "The watchdog of a duty's program; started by the node only.");
    watchdog_->group("");
    watchdog_->add_option("stop", stop_timeout_)->required();
    watchdog_->add_option("command", command_)->required();
    watchdog_->prefix_command();
    report_ =
        app.add_subcommand("report", "Prints the fleet report: what all nodes have answered, by period.");
    report_->add_option("--book", report_path_, "the report's file")->required();
    report_->add_option("--periods", periods_, "number of periods, the last ones")
        ->check(CLI::Range(1, 1000000))
        ->capture_default_str();
    report_->add_flag("--csv", csv_, "as comma-separated values");
    report_->add_option("--plot", plot_, "an SVG picture to write (needs gnuplot)");
  }
  // Runs the selected subcommand and returns the exit code; nullopt if it is not one of these.
  std::optional<int> run() {
    try {
      if (*watchdog_) {
        command_.insert(command_.end(), watchdog_->remaining().begin(), watchdog_->remaining().end());
        return ns::run_watchdog(stop_timeout_, command_);
      }
      if (*init_) return print(ns::init_voter(folder_, first_voter_));
      if (*report_) return report();
      for (const auto& [app, command] : commands_) {
        if (!*app) continue;
        std::string line = command;
        for (const std::string* word : {&name_, &argument_}) line += word->empty() ? "" : " " + *word;
        const std::string out = ns::send_control_command(socket_, line);
        if (command == std::string("duties") && !json_) return print(ns::duties_table(out));
        if (command == std::string("duties voters") && !json_) return print(ns::voters_table(out));
        return print(out == "\n" ? "done\n" : out);
      }
    } catch (const std::exception& problem) {
      return print_error(problem);
    }
    return std::nullopt;
  }

 private:
  static int print(const std::string& text) {
    std::fputs(text.c_str(), stdout);
    return 0;
  }
  int report() const {
    if (!std::ifstream(report_path_)) throw std::runtime_error("can't read " + report_path_);
    ns::report::ReportStore store(report_path_);
    const auto periods = store.periods(static_cast<std::uint64_t>(periods_));
    if (!plot_.empty()) ns::report::write_plot(periods, plot_);
    return print(csv_ ? ns::report::to_csv(periods) : ns::report::to_table(periods));
  }

  std::vector<std::pair<CLI::App*, const char*>> commands_;
  CLI::App *init_ = nullptr, *watchdog_ = nullptr, *report_ = nullptr;
  std::string socket_, name_, argument_, folder_, first_voter_, report_path_, plot_;
  std::vector<std::string> command_;
  double stop_timeout_ = 2;
  int periods_ = 10;
  bool json_ = false, csv_ = false;
};
#endif

int demo([[maybe_unused]] double seconds) {
#ifdef NETTLESTAND_WITH_DEMO
  return ns::run_demo("/proc/self/exe", seconds);
#else
  std::fprintf(stderr,
               "nettlestand: this build has no demo; configure with -DNETTLESTAND_BUILD_STANDINS=ON\n");
  return kCannotStart;
#endif
}

}  // namespace

int main(int argc, char** argv) {
#ifdef NETTLESTAND_WITH_SYSTEM
  if (nettlestand::tier::is_tier_command(argc, argv)) return nettlestand::tier::tier_main(argc, argv);
#endif
  CLI::App app(
      "A load balancer for services that call services. Without a subcommand it runs on GW_CONFIG, the "
      "platform's configuration.",
      "nettlestand");
  app.set_version_flag("--version", "nettlestand " NETTLESTAND_VERSION);
  app.require_subcommand(0, 1);
  std::string file;
  double seconds = 20;
  CLI::App* run_command =
      app.add_subcommand("run",
                         "Runs a node on the platform's configuration, an operator's file, or "
                         "both: then the platform's takes precedence and the file adds to it.");
  run_command->add_option("--config", file, "the operator's file (TOML)");
  std::optional<ns::LogOptions::Format> format;
  run_command
      ->add_option("--log-format", format,
                   "plain (one message per line), text (time, level, component, event, fields) or json; "
                   "overrides the file's [log]")
      ->transform(CLI::CheckedTransformer(
          std::map<std::string, ns::LogOptions::Format>{{"plain", ns::LogOptions::Format::kPlain},
                                                        {"text", ns::LogOptions::Format::kText},
                                                        {"json", ns::LogOptions::Format::kJson}}));
  CLI::App* check_command = app.add_subcommand(
      "check", "Reports all problems of an operator's file; exit code 2 if there are any.");
  check_command->add_option("file", file, "the operator's file (TOML)")->required();
  CLI::App* peers_command = app.add_subcommand("peers", "Membership among the nodes.");
  peers_command->require_subcommand(1);
  CLI::App* show_command = peers_command->add_subcommand(
      "show",
      "Prints what a running node knows of the others, from its control socket ([control] of its file).");
  std::string socket;
  bool json = false;
  show_command->add_option("--socket", socket, "path of the control socket")->required();
  show_command->add_flag("--json", json, "print the whole report as a JSON object");
  CLI::App* demo_command =
      app.add_subcommand("demo",
                         "Runs a node, three servers and clients on loopback: a server is killed, "
                         "drained and cold-started on the way.");
  demo_command->add_option("--seconds", seconds, "duration")
      ->check(CLI::Range(5.0, 600.0))
      ->capture_default_str();
#ifdef NETTLESTAND_WITH_DUTIES
  DutiesCommands duties(app);
#endif
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& problem) {
    return app.exit(problem) == 0 ? 0 : kBadConfig;
  }
#ifdef NETTLESTAND_WITH_DUTIES
  if (const auto code = duties.run()) return *code;
#endif
  if (*check_command) return check_file(file);
  if (*show_command) return show_peers(socket, json);
  if (*demo_command) return demo(seconds);
  return run(file, format);
}
