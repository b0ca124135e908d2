// Programs that run while a duty is held. Each program is a child of a watchdog, a small process of the same
// executable that knows when the lease ends. If the node hangs, dies or is cut off, the watchdog still kills
// the program by then.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/config.h"
#include "duties/client_service.h"
#include "util/log.h"

namespace nettlestand {

// Starts and stops the programs of a node's duties. Used on the event loop's thread.
class DutyPrograms {
 public:
  DutyPrograms(boost::asio::io_context& io, std::vector<DutyProgram> programs, duties::ClientService& duties,
               Log log);
  ~DutyPrograms();  // ends the running programs
  DutyPrograms(const DutyPrograms&) = delete;
  DutyPrograms& operator=(const DutyPrograms&) = delete;

  // Starts to acquire the duties; a program starts once its duty is held.
  void start();
  bool any_running() const;

 private:
  // A program, and its watchdog while it runs.
  struct ProgramState {
    DutyProgram program;
    pid_t watchdog = -1;
    int pipe = -1;  // to the watchdog's standard input
    // Tokens of the leases that the last program was started for, and that is held now; 0: none.
    duties::Token running_token = 0, wanted_token = 0;
    bool stopping = false;
  };
  void on_lease_change(ProgramState& state, const duties::LeaseHolder::Change& change);
  void start_program(ProgramState& state);
  void stop_program(ProgramState& state);
  void send_deadline(ProgramState& state);
  void await_child_exit();
  void schedule_deadline_updates();

  boost::asio::io_context& io_;
  duties::ClientService& duties_;
  const Log log_;
  boost::asio::signal_set child_signals_;
  boost::asio::steady_timer update_timer_;
  std::vector<std::unique_ptr<ProgramState>> programs_;
};

// Runs the watchdog process: `nettlestand duty-guard STOP_S PROGRAM ARGUMENTS...`. It reads lines from
// standard input: "u SECONDS" (the lease is held until then, on the steady clock) and "s" (stop the program).
// Returns the exit code.
int run_watchdog(double stop_timeout, const std::vector<std::string>& command);

}  // namespace nettlestand
