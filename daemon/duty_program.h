// Programs that are run while a duty is held. Between the node and each of them stands a guardian, a small
// process of the same file, which knows until when the duty is held: where the node stands, dies or is cut
// off, the guardian ends the program by then all the same.
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

// On the loop's thread.
class DutyPrograms {
 public:
  DutyPrograms(boost::asio::io_context& io, std::vector<DutyProgram> programs, duties::ClientService& duties,
               Log log);
  ~DutyPrograms();  // ends what runs
  DutyPrograms(const DutyPrograms&) = delete;
  DutyPrograms& operator=(const DutyPrograms&) = delete;

  void start();
  bool any_running() const;

 private:
  struct ProgramState {
    DutyProgram program;
    pid_t watchdog = -1;
    int pipe = -1;  // to the guardian
    duties::Token running_token = 0, wanted_token = 0;
    bool stopping = false;
  };
  void on_lease_change(ProgramState& one, const duties::LeaseHolder::Change& change);
  void start_program(ProgramState& one);
  void stop_program(ProgramState& one);
  void send_deadline(ProgramState& one);
  void await_child_exit();
  void schedule_deadline_updates();

  boost::asio::io_context& io_;
  duties::ClientService& duties_;
  const Log log_;
  boost::asio::signal_set child_signals_;
  boost::asio::steady_timer update_timer_;
  std::vector<std::unique_ptr<ProgramState>> programs_;
};

// The guardian's whole life: `nettlestand duty-guard STOP_S PROGRAM ARGUMENTS...`, with words on its standard
// input: "u SECONDS" (held until then, on the steady clock) and "s" (stop). Returns the exit code.
int run_watchdog(double stop_timeout, const std::vector<std::string>& command);

}  // namespace nettlestand
