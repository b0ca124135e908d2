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
  Operators(Cluster& cluster, History& history, bool large)
      : cluster_(cluster), history_(history), large_(large) {}

  // Sends a change on top of the newest version that is known; `racing` of them at once.
  void change(std::size_t racing = 1);
  void read();
  // Until then some answers are lost on their way.
  void lose_no_answers() { answers_lost_ = 0; }
  // For the end: a change, and whether it was acknowledged.
  OrderId change_once();
  bool was_acknowledged(OrderId order) const { return acknowledged_.contains(order); }
  bool was_refused(OrderId order) const { return orders_.at(order).decided && !was_acknowledged(order); }
  // Asks for a store to be emptied; `done` is told when it may be taken away.
  void retire(std::size_t store, std::function<void()> done);
  std::size_t longest_wait() const { return static_cast<std::size_t>(longest_wait_); }

 private:
  struct Order {
    Version base = 0, version = 0;
    std::string body;
    Millis first_sent = 0, give_up_at = 0;
    std::uint64_t attempt = 0;
    bool decided = false;
  };
  OrderId make(Version base);
  void send(OrderId id);
  void on_answer(OrderId id, std::uint32_t status);
  void poll_retired(std::size_t store, std::function<void()> done);
  std::size_t any_edge();
  static OperatorCall call(const std::string& path, Version base, std::string body);

  Cluster& cluster_;
  History& history_;
  bool large_;
  std::map<OrderId, Order> orders_;
  std::set<OrderId> acknowledged_;
  OrderId ids_ = 0;
  Version known_ = 0;  // the newest version that was acknowledged or read
  Version last_version_ = 1;
  Millis longest_wait_ = 0;
  double answers_lost_ = 0.15;
};

// Clients that submit jobs, read them from any node, ask for bodies, and end some of them.
class JobClients {
 public:
  // `large_bodies`: jobs fill their stores' journals.
  JobClients(Cluster& cluster, History& history, bool large_bodies)
      : cluster_(cluster), history_(history), large_bodies_(large_bodies) {}

  void submit();
  void read_some();
  // Reads a job from its start.
  void read(const std::string& job);
  void end_some();

 private:
  struct Submission {
    JobSpec spec{};
    std::size_t tries = 0;
    bool answered = false, may_be_kept = false;
  };
  void try_submit(const std::string& job);
  void on_submit_reply(const std::string& job, const JobReply& reply);
  void on_page(const std::string& job, std::size_t listed_before, const std::string& page);
  void ask_body(const std::string& job, const std::string& item);
  std::size_t any_edge();
  std::string random_job();
  static std::string tenant_of(const std::string& job);

  Cluster& cluster_;
  History& history_;
  bool large_bodies_;
  std::map<std::string, Submission> submissions_;
  std::uint64_t ids_ = 0;
};

}  // namespace nettlestand::tier::simulate
