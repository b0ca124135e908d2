// Operators, readers and clients of batch jobs in a simulated tier.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulate/cluster.h"
#include "simulate/history.h"

namespace nettlestand::tier::simulate {

// Several operators that change the configuration, send again what got no clear answer, and read it back.
class Operators {
 public:
  // `large`: some of the configurations travel in several pieces.
  Operators(Cluster& cluster, History& history, bool large_configurations)
      : cluster_(cluster), history_(history), large_configurations_(large_configurations) {}

  // Sends a change on top of the newest version that is known; `racing` of them at once.
  void submit_changes(std::size_t count = 1);
  void read_configuration();
  // Until then some answers are lost on their way.
  void stop_losing_replies() { reply_loss_probability_ = 0; }
  // For the end: a change, and whether it was acknowledged.
  ChangeId submit_change();
  bool was_acknowledged(ChangeId change) const { return acknowledged_.contains(change); }
  bool was_rejected(ChangeId change) const {
    return changes_.at(change).decided && !was_acknowledged(change);
  }
  // Asks for a store to be emptied; `done` is told when it may be taken away.
  void retire(std::size_t store, std::function<void()> done);
  std::size_t longest_wait_ms() const { return static_cast<std::size_t>(longest_wait_ms_); }

 private:
  struct ConfigChange {
    Version base = 0, version = 0;
    std::string body;
    Millis first_sent_at = 0, retry_until = 0;
    std::uint64_t attempt = 0;
    bool decided = false;
  };
  ChangeId create_change(Version base);
  void send(ChangeId id);
  void on_reply(ChangeId id, std::uint32_t status);
  void poll_retired(std::size_t store, std::function<void()> done);
  std::size_t random_edge();
  static OperatorCall make_call(const std::string& path, Version base, std::string body);

  Cluster& cluster_;
  History& history_;
  bool large_configurations_;
  std::map<ChangeId, ConfigChange> changes_;
  std::set<ChangeId> acknowledged_;
  ChangeId last_id_ = 0;
  Version newest_known_version_ = 0;  // the newest version that was acknowledged or read
  Version last_version_ = 1;
  Millis longest_wait_ms_ = 0;
  double reply_loss_probability_ = 0.15;
};

// Clients that submit jobs, read them from any node, ask for bodies, and end some of them.
class JobClients {
 public:
  // `large_bodies`: jobs fill their stores' journals.
  JobClients(Cluster& cluster, History& history, bool large_bodies)
      : cluster_(cluster), history_(history), large_bodies_(large_bodies) {}

  void submit();
  void read_random_job();
  // Reads a job from its start.
  void read(const std::string& job);
  void end_random_job();

 private:
  struct Submission {
    JobSpec spec{};
    std::size_t attempts = 0;
    bool decided = false, may_be_stored = false;
  };
  void send_submission(const std::string& job);
  void on_submit_reply(const std::string& job, const JobReply& reply);
  void on_result_page(const std::string& job, std::size_t known_results, const std::string& page);
  void read_item_body(const std::string& job, const std::string& item);
  std::size_t random_edge();
  std::string random_job();
  static std::string tenant_of(const std::string& job);

  Cluster& cluster_;
  History& history_;
  bool large_bodies_;
  std::map<std::string, Submission> submissions_;
  std::uint64_t last_id_ = 0;
};

}  // namespace nettlestand::tier::simulate
