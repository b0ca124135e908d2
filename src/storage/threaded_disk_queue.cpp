#include "storage/threaded_disk_queue.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace nettlestand::tier::storage {

ThreadedDiskQueue::ThreadedDiskQueue(boost::asio::io_context& io, std::function<absl::Status()> sync)
    : io_(io), sync_(std::move(sync)), thread_([this] { run(); }) {}

ThreadedDiskQueue::~ThreadedDiskQueue() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  work_available_.notify_one();
  thread_.join();
}

void ThreadedDiskQueue::submit(Write write, Done done) {
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back({std::move(write), std::move(done)});
  }
  work_available_.notify_one();
}

void ThreadedDiskQueue::run() {
  for (;;) {
    std::deque<Request> requests;
    {
      std::unique_lock lock(mutex_);
      work_available_.wait(lock, [this] { return stopping_ || !requests_.empty(); });
      if (stopping_) return;
      requests.swap(requests_);
    }
    report(perform(std::move(requests)));
  }
}

std::vector<ThreadedDiskQueue::Outcome> ThreadedDiskQueue::perform(std::deque<Request> requests) {
  std::vector<Outcome> outcomes;
  outcomes.reserve(requests.size());
  for (Request& request : requests) outcomes.push_back({std::move(request.done), request.write()});
  const absl::Status synced = sync_();
  for (Outcome& outcome : outcomes) {
    if (outcome.status.ok()) outcome.status = synced;
  }
  return outcomes;
}

void ThreadedDiskQueue::report(std::vector<Outcome> outcomes) {
  boost::asio::post(io_, [alive = alive_, outcomes = std::move(outcomes)] {
    for (const Outcome& outcome : outcomes) {
      if (!*alive) return;
      outcome.done(steady_now(), outcome.status);
    }
  });
}

}  // namespace nettlestand::tier::storage
