// The bootstrap of the consensus groups at a core machine that is killed meanwhile, with its disk or without
// it: it goes on where it was, and forgets no vote.
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "control/service.h"
#include "recording_messenger.h"
#include "simulate/simulated_disk.h"

using namespace nettlestand::tier;

namespace {

constexpr std::uint64_t kDisk = 55, kOtherProposer = 66, kThirdProposer = 77;
const std::string kSelf = "10.0.0.1:7000", kSecondSeed = "10.0.0.2:7000", kThirdSeed = "10.0.0.3:7000";

enum class Start : bool { kFirst, kLater };  // of the system
enum class End : bool { kKilled, kPowerLost };

// A disk queue whose writes wait until the test completes them.
class HeldDiskQueue : public storage::DiskQueue {
 public:
  HeldDiskQueue(ControlJournal& journal, const Millis& now) : journal_(journal), now_(now) {}
  void submit(Write write, Done done) override { held_.push_back({std::move(write), std::move(done)}); }
  // Completes the oldest write. False: there is none.
  bool complete_one() {
    if (held_.empty()) return false;
    const Request request = std::move(held_.front());
    held_.pop_front();
    absl::Status status = request.write();
    if (status.ok()) status = journal_.sync();
    request.done(now_, status);
    return true;
  }

 private:
  struct Request {
    Write write;
    Done done;
  };
  ControlJournal& journal_;
  const Millis& now_;
  std::deque<Request> held_;
};

// A core machine that is a seed. A group has one member.
class CoreMachine {
 public:
  explicit CoreMachine(Start start) {
    settings_.ip = "10.0.0.1";
    settings_.internal_port_range = {7000, 7015};
    settings_.seeds = {"10.0.0.1:8407", "10.0.0.2:8407", "10.0.0.3:8407"};
    settings_.fault_tolerance.machines = 0;
    this->start(start);
  }
  void start(Start start) {
    ControlJournal::Options options;
    options.directory = "/data";
    options.files = &disk_;
    if (start == Start::kFirst) options.first_start_seeds = settings_.internal_seed_addresses();
    auto journal = ControlJournal::open(options, kDisk + ++starts_);
    REQUIRE(journal.ok());
    ControlDisk disk;
    disk.journal = *std::move(journal);
    auto queue = std::make_unique<HeldDiskQueue>(*disk.journal, now_);
    queue_ = queue.get();
    disk.queue = std::move(queue);
    NodeInfo self{};
    self.name = "core-1";
    self.address = kSelf;
    self.is_core = true;
    self.disk_id = disk.journal->disk_id();
    view_.emplace(self, settings_.internal_seed_addresses(), 1);
    service_ = std::make_unique<ControlService>(messenger_, *view_, texts_, settings_,
                                                ServerListSourceFactory(), std::move(disk), now_);
  }
  void restart(End end) {
    service_.reset();
    messenger_.sent.clear();
    if (end == End::kPowerLost) disk_.lose_power();
    start(Start::kLater);
  }
  void wipe_and_restart() {
    service_.reset();
    disk_.wipe();
    start(Start::kLater);
  }
  void request_vote(std::uint64_t proposer) {
    BootstrapRequest request{};
    request.proposer = proposer;
    service_->on_bootstrap_request(kSecondSeed, request);
  }
  // The vote that was sent since the last call, if any.
  std::optional<BootstrapVote> sent_vote() {
    const auto votes = messenger_.take<BootstrapVote>(MessageType::kBootstrapVote);
    return votes.empty() ? std::nullopt : std::optional(votes.front().second);
  }
  bool has_sent_request() {
    return !messenger_.take<BootstrapRequest>(MessageType::kBootstrapRequest).empty();
  }
  void tick() {
    now_ += kTickMs;
    service_->tick(now_);
  }
  // The other two seeds vote for this machine.
  void receive_votes() {
    BootstrapVote vote{};
    vote.proposer = service_->host().disk_id();
    vote.granted = true;
    service_->on_bootstrap_vote(kSecondSeed, vote);
    service_->on_bootstrap_vote(kThirdSeed, vote);
  }
  bool complete_write() { return queue_->complete_one(); }
  void complete_writes() {
    while (complete_write()) {
    }
  }
  ControlService& service() { return *service_; }
  std::size_t groups() const {
    std::size_t count = 0;
    for (GroupId group = 0; group < kGroups; ++group)
      count += service_->host().replica(group).members().empty() ? 0 : 1;
    return count;
  }

 private:
  static constexpr Millis kTickMs = 1000;  // longer than a proposer waits for other core machines
  simulate::SimulatedDisk disk_{1};
  Settings settings_{};
  Millis now_ = 1000;
  std::uint64_t starts_ = 0;
  RecordingMessenger messenger_;
  ConfigTextProvider texts_{1e9};
  std::optional<PartialView> view_;
  HeldDiskQueue* queue_ = nullptr;
  std::unique_ptr<ControlService> service_;
};

}  // namespace

// Guards against: the system never forms once its core was killed soon after the first start.
TEST_CASE("a machine that is killed at any write of the bootstrap goes on with it") {
  const auto end = GENERATE(End::kKilled, End::kPowerLost);
  const int writes_before = GENERATE(range(0, 8));
  INFO("writes before its end " << writes_before << ", power lost " << (end == End::kPowerLost));
  CoreMachine machine(Start::kFirst);
  const auto advance = [&machine] {
    machine.tick();
    if (machine.has_sent_request()) machine.receive_votes();
  };
  for (int i = 0; i < writes_before; ++i) {
    advance();
    machine.complete_write();
  }
  machine.restart(end);
  for (int i = 0; i < 6; ++i) {
    advance();
    machine.complete_writes();
  }
  CHECK(machine.groups() == kGroups);
  CHECK(machine.service().leads(1000 + 1000 * (writes_before + 6), kConfigGroup));
}

TEST_CASE("a vote is sent once it is durable, and kept over a restart") {
  const auto end = GENERATE(End::kKilled, End::kPowerLost);
  CoreMachine machine(Start::kFirst);
  machine.request_vote(kOtherProposer);
  CHECK_FALSE(machine.sent_vote());
  SECTION("the vote that was not sent is open") {
    machine.restart(end);
    machine.request_vote(kThirdProposer);
    machine.complete_writes();
    CHECK(machine.sent_vote()->granted);
  }
  SECTION("the vote that was sent holds") {
    machine.complete_writes();
    CHECK(machine.sent_vote()->granted);
    machine.restart(end);
    machine.request_vote(kThirdProposer);
    machine.complete_writes();
    CHECK_FALSE(machine.sent_vote()->granted);
    machine.request_vote(kOtherProposer);
    CHECK(machine.sent_vote()->granted);
  }
}

TEST_CASE("a machine whose disk is empty at a later start neither votes nor proposes") {
  CoreMachine machine(Start::kFirst);
  machine.request_vote(kOtherProposer);
  machine.complete_writes();
  REQUIRE(machine.sent_vote());
  machine.wipe_and_restart();
  for (int i = 0; i < 10; ++i) machine.tick();
  machine.request_vote(kThirdProposer);
  machine.complete_writes();
  CHECK_FALSE(machine.sent_vote());
  CHECK_FALSE(machine.has_sent_request());
}

TEST_CASE("a machine that has heard of a leader takes no more part in the bootstrap, nor after a restart") {
  CoreMachine machine(Start::kFirst);
  machine.service().on_leader_heard();
  machine.complete_writes();
  machine.request_vote(kThirdProposer);
  CHECK_FALSE(machine.sent_vote());
  machine.restart(End::kKilled);
  for (int i = 0; i < 10; ++i) machine.tick();
  machine.request_vote(kThirdProposer);
  machine.complete_writes();
  CHECK_FALSE(machine.sent_vote());
  CHECK_FALSE(machine.has_sent_request());
}
