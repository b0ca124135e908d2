// The ring of segment files and the control journal in it: what was synced is there after a start, whatever
// happened to the rest.
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "control/journal.h"
#include "control/replica_host.h"
#include "messaging/tcp_messenger.h"
#include "simulate/simulated_disk.h"
#include "storage/directory_lock.h"
#include "storage/segment_format.h"
#include "storage/segment_ring.h"
#include "temp_directory.h"

using namespace nettlestand::tier;
using storage::Generation;
using storage::RingOptions;
using storage::SegmentRing;
using trompeloeil::_;

namespace {

RingOptions options_in(const std::string& folder, std::uint64_t bytes = 4096, std::size_t max_segments = 4) {
  RingOptions options;
  options.directory = folder;
  options.segment_bytes = bytes;
  options.max_segments = max_segments;
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

// The path of the segment file that holds a record.
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
  TempDirectory folder;
  std::vector<std::string> written;
  for (int start = 0; start < 3; ++start) {
    std::vector<std::string> seen;
    auto ring = SegmentRing::open(options_in(folder.path(), 600, 16),
                                  [&](std::string_view record, Generation) { seen.emplace_back(record); });
    REQUIRE(ring.ok());
    CHECK(seen == written);
    for (int i = 0; i < 12; ++i) {
      written.push_back("life " + std::to_string(start) + " record " + std::to_string(i) +
                        std::string(60, '.'));
      REQUIRE((*ring)->append(written.back()).ok());
      REQUIRE((*ring)->sync().ok());
    }
  }
  CHECK(records_in(options_in(folder.path(), 600, 16)) == written);
}

TEST_CASE("a record torn at any byte is not shown, and those before it are") {
  TempDirectory folder;
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
    TempDirectory torn_folder;
    write_bytes(torn_folder.path() + "/segment-0", bytes);
    INFO("torn at " << torn);
    // The record holds no zero byte, so filling any part of it with zeros changes it.
    CHECK(records_in(options_in(torn_folder.path())) == std::vector<std::string>{"first"});
  }
}

TEST_CASE("a record that was lost in the middle hides what was not synced behind it, for good") {
  TempDirectory folder;
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
  TempDirectory folder;
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
  TempDirectory folder;
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

TEST_CASE(
    "a full control journal still takes a checkpoint, and starts that follow on each other don't fill it") {
  TempDirectory folder;
  const auto entry_at = [](consensus::LogIndex index) {
    consensus::Ready ready;
    consensus::LogEntry entry{};
    entry.index = index;
    entry.term = 1;
    entry.data = std::string(20000, 'x');
    ready.entries.push_back(entry);
    return ready;
  };
  {
    auto journal = ControlJournal::open(journal_in(folder.path()), 77);
    REQUIRE(journal.ok());
    consensus::LogIndex index = 0;
    absl::Status status = absl::OkStatus();
    while (status.ok()) {
      REQUIRE(++index < 100000);
      status = (*journal)->append(1, entry_at(index));
      if (status.ok()) status = (*journal)->sync();
    }
    consensus::StoredState state;
    state.hard.term = 5;
    REQUIRE((*journal)->checkpoint({{1, state}}).ok());
    CHECK((*journal)->append(1, entry_at(1)).ok());
    REQUIRE((*journal)->sync().ok());
  }
  for (int start = 0; start < 20; ++start) {  // each takes a segment
    auto journal = ControlJournal::open(journal_in(folder.path()), 78);
    REQUIRE(journal.ok());
    CHECK((*journal)->disk_id() == 77);
    const consensus::StoredState stored = (*journal)->take_stored_state(1);
    CHECK(stored.hard.term == 5);
    CHECK(stored.entries.size() == 1);
  }
}

TEST_CASE("the control journal gives back logs, votes and snapshots, also after a checkpoint") {
  TempDirectory folder;
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
    consensus::Ready replacing;  // replaces the log from entry 4 on, which came from another leader
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
    stored = (*journal)->take_stored_state(1);
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
  const consensus::StoredState back = (*journal)->take_stored_state(1);
  REQUIRE(back.snapshot);
  CHECK(back.snapshot->state == "folded");
  CHECK(back.entries.size() == 2);
  CHECK((*journal)->take_stored_state(5).entries.empty());
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
  TempDirectory folder;
  boost::asio::io_context io;
  TcpMessenger network(io, "127.0.0.1:1", [](const std::string&, std::string_view) {});
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
    CHECK(host->has_no_state());
    consensus::Member self{};
    self.id = host->disk_id();
    host->replica(0).bootstrap({self});
    host->tick(1000);
    REQUIRE(host->replica(0).has_lease(1000));
    REQUIRE_CALL(machine, apply(_, _)).WITH(_2.index == 3 && _2.data == "first");
    REQUIRE(host->replica(0).propose(1000, "first"));
    host->process_ready(1000);
  }
  StateMachineMock machine;
  auto host = open(machine, 2000);
  CHECK_FALSE(host->has_no_state());
  REQUIRE_CALL(machine, apply(_, _)).WITH(_2.index == 3 && _2.data == "first");
  host->tick(5000);
  host->tick(9000);
  CHECK(host->replica(0).has_lease(9000));
}

// ---------------------------------------------------------------- damage, and what was never synced

namespace {

// Writes three records to one segment, each synced by itself, and returns the path of that segment.
std::string write_synced(const RingOptions& options) {
  auto ring = SegmentRing::open(options, [](std::string_view, Generation) {});
  REQUIRE(ring.ok());
  for (const char* record : {"record one", "record two", "record three"}) {
    REQUIRE((*ring)->append(record).ok());
    REQUIRE((*ring)->sync().ok());
  }
  return newest_segment(options.directory, "record two");
}

absl::Status open_status(const RingOptions& options) {
  return SegmentRing::open(options, [](std::string_view, Generation) {}).status();
}

void flip(const std::string& path, std::size_t at) {
  std::string bytes = bytes_of(path);
  bytes.at(at) = static_cast<char>(bytes.at(at) ^ 1);
  write_bytes(path, bytes);
}

}  // namespace

TEST_CASE("damage to what was synced is told from a torn tail, wherever it is") {
  TempDirectory folder;
  const RingOptions options = options_in(folder.path(), 4096, 8);
  const std::string path = write_synced(options);
  const std::string whole = bytes_of(path);
  const std::size_t first = whole.find("record one"), last = whole.find("record three");
  SECTION("a byte of any record that others were synced behind") {
    for (std::size_t at = first; at < whole.find("record two") + 10; ++at) {
      TempDirectory copy;
      write_bytes(copy.path() + "/segment-0", whole);
      flip(copy.path() + "/segment-0", at);
      INFO("byte " << at);
      CHECK(absl::IsDataLoss(open_status(options_in(copy.path(), 4096, 8))));
    }
  }
  SECTION("the last record may be a torn one, which nobody was promised") {
    flip(path, last);
    CHECK(records_in(options) == std::vector<std::string>{"record one", "record two"});
  }
  SECTION("not in a segment that was sealed") {
    CHECK(records_in(options).size() == 3);
    flip(path, last);
    CHECK(absl::IsDataLoss(open_status(options)));
  }
  SECTION("a header that is gone leaves a gap") {
    CHECK(records_in(options).size() == 3);  // two segments now
    CHECK(records_in(options).size() == 3);  // three
    flip(folder.path() + "/segment-1", 9);
    CHECK(absl::IsDataLoss(open_status(options)));
  }
}

TEST_CASE("a damaged journal is begun anew under another identity, which has promised nothing") {
  TempDirectory folder;
  std::uint64_t before = 0;
  {
    auto journal = ControlJournal::open(journal_in(folder.path()), 11);
    REQUIRE(journal.ok());
    before = (*journal)->disk_id();
    for (consensus::Term term = 3; term < 6; ++term) {
      consensus::Ready ready;
      ready.hard = consensus::HardState{};
      ready.hard->term = term;
      REQUIRE((*journal)->append(0, ready).ok());
      REQUIRE((*journal)->sync().ok());
    }
  }
  flip(folder.path() + "/segment-0", 60);
  auto journal = ControlJournal::open(journal_in(folder.path()), 12);
  REQUIRE(journal.ok());
  CHECK((*journal)->disk_id() == 12);
  CHECK((*journal)->disk_id() != before);
  CHECK((*journal)->take_stored_state(0).hard.term == 0);
}

TEST_CASE("a folder of an earlier format is refused and left as it is") {
  TempDirectory folder;
  const std::string magic = GENERATE("NTLNGSG1", "NTLNGSG2");
  const std::string old = magic + std::string(200, 'x');
  write_bytes(folder.path() + "/segment-0", old);
  CHECK(absl::IsFailedPrecondition(open_status(options_in(folder.path()))));
  CHECK(bytes_of(folder.path() + "/segment-0") == old);
}

TEST_CASE("what a killed process wrote and did not sync is on the disk before a start shows it") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    simulate::SimulatedDisk disk(seed);
    RingOptions options = options_in("/data");
    options.files = &disk;
    {
      auto ring = SegmentRing::open(options, [](std::string_view, Generation) {});
      REQUIRE((*ring)->append("synced").ok());
      REQUIRE((*ring)->sync().ok());
      REQUIRE((*ring)->append("a vote that was written").ok());
      disk.set_syncs_ignored(true);  // the process is killed before its sync is done
      REQUIRE((*ring)->sync().ok());
      disk.set_syncs_ignored(false);
    }
    const std::vector<std::string> shown = records_in(options);
    CHECK(shown.size() == 2);
    disk.lose_power();
    INFO("seed " << seed);
    CHECK(records_in(options) == shown);
  }
}

TEST_CASE("a loss of power at any moment takes back nothing that was synced") {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    std::mt19937_64 random(seed);
    simulate::SimulatedDisk disk(seed);
    RingOptions options = options_in("/data", 400, 6);
    options.files = &disk;
    std::vector<std::string> synced, written;
    {
      auto ring = SegmentRing::open(options, [](std::string_view, Generation) {});
      for (int i = 0; i < 12; ++i) {
        written.push_back("record " + std::to_string(i));
        REQUIRE((*ring)->append(written.back()).ok());
        disk.set_syncs_ignored(random() % 4 == 0 && i > 8);
        REQUIRE((*ring)->sync().ok());
        if (i <= 8) synced = written;
      }
    }
    disk.set_syncs_ignored(false);
    disk.lose_power();
    std::vector<std::string> shown;
    auto ring =
        SegmentRing::open(options, [&](std::string_view record, Generation) { shown.emplace_back(record); });
    INFO("seed " << seed);
    if (!ring.ok()) continue;  // a later sync that did nothing is damage, and reported as such
    REQUIRE(shown.size() >= synced.size());
    CHECK(std::equal(synced.begin(), synced.end(), shown.begin()));
  }
}

// Guards against: two processes of one node write to the same disk.
TEST_CASE("a data directory has one owner at a time") {
  TempDirectory folder;
  const std::string path = folder.path() + "/data";  // created by the lock
  {
    auto first = storage::DirectoryLock::try_acquire(path);
    REQUIRE(first.ok());
    CHECK(absl::IsUnavailable(storage::DirectoryLock::try_acquire(path).status()));
    const storage::DirectoryLock moved = *std::move(first);
    CHECK(absl::IsUnavailable(storage::DirectoryLock::try_acquire(path).status()));
  }
  CHECK(storage::DirectoryLock::try_acquire(path).ok());
  CHECK_FALSE(storage::DirectoryLock::try_acquire(folder.path() + "/no/parent").ok());
}
