// Duties held by one, as a node has them: its side of them, the programs it runs for them, the fleet report,
// and the voter, where it is one. On the loop's thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

#include "core/engine.h"
#include "daemon/config.h"
#include "daemon/control_socket.h"
#include "daemon/duty_program.h"
#include "duties/voter_service.h"
#include "report/reporter.h"

namespace nettlestand {

class NodeDuties {
 public:
  // Throws std::exception where they can't be had.
  NodeDuties(boost::asio::io_context& io, const Config& config, Log log);

  void start();
  // Gives everything back at once; then has another voter lead.
  void begin_drain();
  // The last words of this node.
  void shut_down();
  void count_answer(const Call& call, Reply::Kind kind);
  ControlSocket::AsyncCommands commands();

 private:
  void transfer_leadership_when_idle(double until);

  boost::asio::io_context& io_;
  const DutiesConfig config_;
  const Log log_;
  duties::ClientService service_;
  std::unique_ptr<duties::VoterService> voter_;
  report::AnswerCounter counter_;
  std::unique_ptr<DutyPrograms> programs_;
  std::unique_ptr<report::Reporter> reporter_;
  boost::asio::steady_timer drain_timer_;
};

// Makes the state of a new voter in a folder; `found`: of the first one, called so. Returns what to tell.
std::string init_voter(const std::string& folder, const std::string& first_voter);
// Tables for people, of the JSON that a node answers.
std::string duties_table(const std::string& report);
std::string voters_table(const std::string& report);

}  // namespace nettlestand
