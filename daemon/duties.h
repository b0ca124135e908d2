// A node's part in duties, each of which one node holds at a time: the lease client, the programs of held
// duties, the fleet report, and the voter if this node is one. Used on the event loop's thread.
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

// Owns the duty components of a node.
class NodeDuties {
 public:
  // Throws std::exception if a component cannot be created.
  NodeDuties(boost::asio::io_context& io, const Config& config, Log log);

  // Starts all components.
  void start();
  // Releases all leases at once, then transfers the voters' leadership if this node's voter has it.
  void begin_drain();
  // Publishes the last counts and closes the lease client.
  void shut_down();
  // Counts an answer for the fleet report.
  void count_answer(const Call& call, Reply::Kind kind);
  // The commands of the control socket.
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

// Creates the state of a new voter in a folder. A non-empty `first_voter` bootstraps the voter group with
// this voter under that name. Returns a message for the operator.
std::string init_voter(const std::string& folder, const std::string& first_voter);
// Text tables of a node's JSON replies.
std::string duties_table(const std::string& report);
std::string voters_table(const std::string& report);

}  // namespace nettlestand
