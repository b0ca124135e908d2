// A disk queue with a thread of its own.
#pragma once

#include <boost/asio/io_context.hpp>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "storage/disk_queue.h"

namespace nettlestand::tier::storage {

class ThreadedDiskQueue : public DiskQueue {
 public:
  // `sync` makes the earlier writes durable. It runs on the queue's thread, as the writes do.
  ThreadedDiskQueue(boost::asio::io_context& io, std::function<absl::Status()> sync);
  // Waits for the writes in progress; those queued after them are dropped.
  ~ThreadedDiskQueue() override;
  ThreadedDiskQueue(const ThreadedDiskQueue&) = delete;
  ThreadedDiskQueue& operator=(const ThreadedDiskQueue&) = delete;

  void submit(Write write, Done done) override;

 private:
  struct Request {
    Write write;
    Done done;
  };
  struct Outcome {
    Done done;
    absl::Status status;
  };
  void run();
  std::vector<Outcome> perform(std::deque<Request> requests);
  void report(std::vector<Outcome> outcomes);

  boost::asio::io_context& io_;
  std::function<absl::Status()> sync_;
  std::mutex mutex_;
  std::condition_variable work_available_;
  std::deque<Request> requests_;
  bool stopping_ = false;
  // Cleared by the destructor: outcomes that are posted and not yet reported are dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::thread thread_;
};

}  // namespace nettlestand::tier::storage
