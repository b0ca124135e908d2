// The ring of segment files: what was synced is there after a start, whatever became of the rest.
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "control/journal.h"
#include "control/replica_host.h"
#include "messaging/network.h"
#include "storage/segment_format.h"
#include "storage/segment_ring.h"
#include "temp_folder.h"

using namespace nettlestand::tier;
using storage::Generation;
using storage::RingOptions;
using storage::SegmentRing;
using trompeloeil::_;

namespace {

RingOptions options_in(const std::string& folder, std::uint64_t bytes = 4096, std::size_t most = 4) {
  RingOptions options;
  options.directory = folder;
  options.segment_bytes = bytes;
  options.max_segments = most;
  return options;
}

ControlJournal::Options journal_in(const std::string& folder) {
  ControlJournal::Options options;
  options.directory = folder;
  return options;
}

std::vector<std::string> records_in(const RingOptions& options) {
  std::vector<std::string> out;
  auto ring =
      SegmentRing::open(options, [&](std::string_view record, Generation) { out.emplace_back(record); });
  REQUIRE(ring.ok());
  return out;
}

// The file that holds the newest records, and its bytes.
std::string newest_segment(const std::string& folder, const std::string& last_record) {
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), {});
    if (bytes.find(last_record) != std::string::npos) return entry.path().string();
  }
  return {};
}

std::string bytes_of(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {(std::istreambuf_iterator<char>(file)), {}};
}

void write_bytes(const std::string& path, const std::string& bytes) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << bytes;
}

}  // namespace

TEST_CASE("synced records are shown in order after each start, over several segments") {
  TempFolder folder;
  std::vector<std::string> written;
  for (int life = 0; life < 3; ++life) {
    std::vector<std::string> seen;
    auto ring = SegmentRing::open(options_in(folder.path(), 600, 16),
                                  [&](std::string_view record, Generation) { seen.emplace_back(record); });
    REQUIRE(ring.ok());
    CHECK(seen == written);
    for (int i = 0; i < 12; ++i) {
      written.push_back("life " + std::to_string(life) + " record " + std::to_string(i) +
                        std::string(60, '.'));
      REQUIRE((*ring)->append(written.back()).ok());
      REQUIRE((*ring)->sync().ok());
    }
  }
  CHECK(records_in(options_in(folder.path(), 600, 16)) == written);
}

TEST_CASE("a record torn at any byte is not shown, and those before it are") {
  TempFolder folder;
  const std::string last = "the last record of all";
  {
    auto ring = SegmentRing::open(options_in(folder.path()), [](std::string_view, Generation) {});
    REQUIRE(ring.ok());
    REQUIRE((*ring)->append("first").ok());
    REQUIRE((*ring)->append(last).ok());
    REQUIRE((*ring)->sync().ok());
  }
  const std::string whole = bytes_of(newest_segment(folder.path(), last));
  const std::size_t end = whole.find(last) + last.size();
  for (std::size_t torn = end - last.size() - storage::kRecordHeaderBytes; torn < end; ++torn) {
    std::string bytes = whole;
    std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(torn),
              bytes.begin() + static_cast<std::ptrdiff_t>(end), '\0');
    TempFolder torn_folder;
    write_bytes(torn_folder.path() + "/segment-0", bytes);
    INFO("torn at " << torn);
    // A zero byte at the very end may be what stood there anyway: never so in this text.
    CHECK(records_in(options_in(torn_folder.path())) == std::vector<std::string>{"first"});
  }
}

TEST_CASE("a record that was lost in the middle hides what was not synced behind it, for good") {
  TempFolder folder;
  std::string path;
  {
    auto ring = SegmentRing::open(options_in(folder.path()), [](std::string_view, Generation) {});
    for (const char* record : {"one", "two", "six"}) REQUIRE((*ring)->append(record).ok());
    REQUIRE((*ring)->sync().ok());
    path = newest_segment(folder.path(), "two");
  }
  std::string bytes = bytes_of(path);
  bytes[bytes.find("two")] = 'X';
  write_bytes(path, bytes);
  {
    std::vector<std::string> seen;
    auto ring = SegmentRing::open(options_in(folder.path()),
                                  [&](std::string_view record, Generation) { seen.emplace_back(record); });
    CHECK(seen == std::vector<std::string>{"one"});
    REQUIRE((*ring)->append("new").ok());
    REQUIRE((*ring)->sync().ok());
  }
  CHECK(records_in(options_in(folder.path())) == std::vector<std::string>{"one", "new"});
}

TEST_CASE("a segment that was given back shows nothing of its earlier use") {
  TempFolder folder;
  auto ring = SegmentRing::open(options_in(folder.path(), 512, 2), [](std::string_view, Generation) {});
  REQUIRE(ring.ok());
  for (int round = 0; round < 10; ++round) {
    const Generation old = (*ring)->current();
    REQUIRE((*ring)->append("old " + std::to_string(round) + std::string(200, 'o')).ok());
    REQUIRE((*ring)->sync().ok());
    REQUIRE((*ring)->roll().ok());
    REQUIRE((*ring)->append("new " + std::to_string(round)).ok());
    REQUIRE((*ring)->sync().ok());
    REQUIRE((*ring)->release(old).ok());
    CHECK((*ring)->free_segments() == 1);
  }
  ring->reset();
  CHECK(records_in(options_in(folder.path(), 512, 2)) == std::vector<std::string>{"new 9"});
}

TEST_CASE("a full ring refuses, and keeps what it has") {
  TempFolder folder;
  std::vector<std::string> kept;
  {
    auto ring = SegmentRing::open(options_in(folder.path(), 300, 3), [](std::string_view, Generation) {});
    for (int i = 0; i < 100; ++i) {
      const std::string record = std::to_string(i) + std::string(90, 'r');
      if (!(*ring)->append(record).ok()) break;
      kept.push_back(record);
    }
    CHECK(kept.size() == 6);
    CHECK_FALSE((*ring)->append(std::string(90, 'z')).ok());
    CHECK((*ring)->append(std::string(1000, 'z')).status().code() == absl::StatusCode::kInvalidArgument);
    REQUIRE((*ring)->sync().ok());
  }
  CHECK(records_in(options_in(folder.path(), 256, 4)) == kept);
}

TEST_CASE("the control journal gives back logs, votes and snapshots, also after a checkpoint") {
  TempFolder folder;
  std::uint64_t identity = 0;
  {
    auto journal = ControlJournal::open(journal_in(folder.path()), 77);
    REQUIRE(journal.ok());
    identity = (*journal)->disk_id();
    consensus::Ready ready;
    ready.hard = consensus::HardState{};
    ready.hard->term = 4;
    ready.hard->vote = 9;
    for (consensus::LogIndex i = 1; i <= 5; ++i) {
      consensus::LogEntry entry{};
      entry.index = i;
      entry.term = 3;
      entry.data = "entry " + std::to_string(i);
      ready.entries.push_back(entry);
    }
    REQUIRE((*journal)->append(1, ready).ok());
    consensus::Ready replacing;  // the log from entry 4 on was another leader's
    consensus::LogEntry other{};
    other.index = 4;
    other.term = 4;
    other.data = "another";
    replacing.entries.push_back(other);
    REQUIRE((*journal)->append(1, replacing).ok());
    REQUIRE((*journal)->sync().ok());
  }
  consensus::StoredState stored;
  {
    auto journal = ControlJournal::open(journal_in(folder.path()), 78);
    REQUIRE(journal.ok());
    CHECK((*journal)->disk_id() == identity);
    stored = (*journal)->take_stored(1);
    CHECK(stored.hard.term == 4);
    CHECK(stored.hard.vote == 9);
    REQUIRE(stored.entries.size() == 4);
    CHECK(stored.entries.back().data == "another");
    stored.snapshot = consensus::Snapshot{};
    stored.snapshot->index = 2;
    stored.snapshot->state = "folded";
    stored.entries.erase(stored.entries.begin(), stored.entries.begin() + 2);
    REQUIRE((*journal)->checkpoint({{1, stored}}).ok());
  }
  auto journal = ControlJournal::open(journal_in(folder.path()), 79);
  REQUIRE(journal.ok());
  CHECK((*journal)->disk_id() == identity);
  const consensus::StoredState back = (*journal)->take_stored(1);
  REQUIRE(back.snapshot);
  CHECK(back.snapshot->state == "folded");
  CHECK(back.entries.size() == 2);
  CHECK((*journal)->take_stored(5).entries.empty());
}

namespace {

class StateMachineMock : public GroupStateMachine {
 public:
  MAKE_MOCK2(apply, void(Millis, const consensus::LogEntry&), override);
  MAKE_CONST_MOCK0(save, std::string(), override);
  MAKE_MOCK1(load, void(const std::string&), override);
};

}  // namespace

TEST_CASE("a group of one applies what it is told once in a life, and again after a restart") {
  TempFolder folder;
  boost::asio::io_context io;
  Network network(io, "127.0.0.1:1", [](const std::string&, std::string_view) {});
  const auto open = [&](StateMachineMock& machine, Millis now) {
    auto journal = ControlJournal::open(journal_in(folder.path()), 5);
    REQUIRE(journal.ok());
    ControlDisk disk;
    disk.journal = *std::move(journal);
    disk.queue = std::make_unique<storage::InlineDiskQueue>(
        [raw = disk.journal.get()] { return raw->sync(); }, [now] { return now; });
    auto host = std::make_unique<ReplicaHost>(network, std::move(disk));
    host->add_group(0, &machine, now);
    return host;
  };
  {
    StateMachineMock machine;
    auto host = open(machine, 0);
    CHECK(host->is_blank());
    consensus::Member self{};
    self.id = host->disk_id();
    host->replica(0).bootstrap({self});
    host->tick(1000);
    REQUIRE(host->replica(0).has_lease(1000));
    REQUIRE_CALL(machine, apply(_, _)).WITH(_2.index == 3 && _2.data == "first");
    REQUIRE(host->replica(0).propose(1000, "first"));
    host->drive(1000);
  }
  StateMachineMock machine;
  auto host = open(machine, 2000);
  CHECK_FALSE(host->is_blank());
  REQUIRE_CALL(machine, apply(_, _)).WITH(_2.index == 3 && _2.data == "first");
  host->tick(5000);
  host->tick(9000);
  CHECK(host->replica(0).has_lease(9000));
}
