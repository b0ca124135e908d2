#include "storage/disk_thread.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace nettlestand::tier::storage {

DiskThread::DiskThread(boost::asio::io_context& io, std::function<absl::Status()> sync)
    : io_(io), sync_(std::move(sync)), thread_([this] { run(); }) {}

DiskThread::~DiskThread() {
  *alive_ = false;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void DiskThread::submit(Write write, Done done) {
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back({std::move(write), std::move(done)});
  }
  wake_.notify_one();
}

void DiskThread::run() {
  for (;;) {
    std::deque<Request> requests;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stopping_ || !requests_.empty(); });
      if (stopping_) return;
      requests.swap(requests_);
    }
    report(perform(std::move(requests)));
  }
}

std::vector<DiskThread::Outcome> DiskThread::perform(std::deque<Request> requests) {
  std::vector<Outcome> outcomes;
  outcomes.reserve(requests.size());
  for (Request& request : requests) outcomes.push_back({std::move(request.done), request.write()});
  const absl::Status synced = sync_();
  for (Outcome& outcome : outcomes) {
    if (outcome.status.ok()) outcome.status = synced;
  }
  return outcomes;
}

void DiskThread::report(std::vector<Outcome> outcomes) {
  boost::asio::post(io_, [alive = alive_, outcomes = std::move(outcomes)] {
    for (const Outcome& outcome : outcomes) {
      if (!*alive) return;
      outcome.done(steady_now(), outcome.status);
    }
  });
}

}  // namespace nettlestand::tier::storage
