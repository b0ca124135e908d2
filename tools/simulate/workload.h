// Workload of a simulated tier: operators that change the configuration, and clients that submit batch jobs.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "simulate/cluster.h"
#include "simulate/history.h"

namespace nettlestand::tier::simulate {

// Several concurrent operators. They change the configuration, retry changes whose outcome is unknown, and
// read the configuration back.
class Operators {
 public:
  // `large_configurations`: some configurations are transferred in several chunks.
  Operators(Cluster& cluster, History& history, bool large_configurations)
      : cluster_(cluster), history_(history), large_configurations_(large_configurations) {}

  // Sends `count` concurrent changes, all based on the newest version that is known.
  void submit_changes(std::size_t count = 1);
  void read_configuration();
  // Until this call, some replies are lost at random.
  void stop_losing_replies() { reply_loss_probability_ = 0; }
  // Sends one change and returns its id; was_acknowledged() and was_rejected() tell its outcome.
  ChangeId submit_change();
  bool was_acknowledged(ChangeId change) const { return acknowledged_.contains(change); }
  bool was_rejected(ChangeId change) const {
    return changes_.at(change).decided && !was_acknowledged(change);
  }
  // Starts the retirement of a store. `done` is called once the store may be removed.
  void retire(std::size_t store, std::function<void()> done);
  std::size_t longest_wait_ms() const { return static_cast<std::size_t>(longest_wait_ms_); }

 private:
  // A change and the progress of its retries.
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
  Version newest_known_version_ = 0;  // newest version that was acknowledged or read
  Version last_version_ = 1;
  Millis longest_wait_ms_ = 0;
  double reply_loss_probability_ = 0.15;
};

// Clients that submit batch jobs, read their results and item bodies through any edge node, and end some of
// them.
class JobClients {
 public:
  // `large_bodies`: item bodies are large enough for the jobs to fill the journals of their stores.
  JobClients(Cluster& cluster, History& history, bool large_bodies)
      : cluster_(cluster), history_(history), large_bodies_(large_bodies) {}

  void submit();
  void read_random_job();
  // Reads all results of a job from the start.
  void read(const std::string& job);
  void end_random_job();

 private:
  // A job and the progress of its submission. `may_be_stored`: a store may have stored it although no reply
  // said so.
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
