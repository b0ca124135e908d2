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
  bool any_runs() const;

 private:
  struct One {
    DutyProgram program;
    pid_t guardian = -1;
    int pipe = -1;  // to the guardian
    duties::Token token = 0, wanted = 0;
    bool stopping = false;
  };
  void changed(One& one, const duties::LeaseHolder::Change& change);
  void begin(One& one);
  void stop(One& one);
  void tell(One& one);
  void await_child();
  void await_turn();

  boost::asio::io_context& io_;
  duties::ClientService& duties_;
  const Log log_;
  boost::asio::signal_set children_;
  boost::asio::steady_timer turn_;
  std::vector<std::unique_ptr<One>> all_;
};

// The guardian's whole life: `nettlestand duty-guard STOP_S PROGRAM ARGUMENTS...`, with words on its standard
// input: "u SECONDS" (held until then, on the steady clock) and "s" (stop). Returns the exit code.
int run_guardian(double stop, const std::vector<std::string>& command);

}  // namespace nettlestand
