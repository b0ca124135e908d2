// Fault injection into a process under test by a preloaded library, so that the program itself stays the
// shipped one: its wall clock may be wrong or jump, and the files below one folder may be slow, full or torn.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace nettlestand::standins {

// Settings shared with the process through a mapped file, whose name is in NETTLESTAND_SEAMS.
struct InterposedFaultSettings {
  std::atomic<double> wall_clock_offset = 0;       // s by which its wall clock is ahead
  std::atomic<std::int64_t> disk_delay_us = 0;     // delay before each write and sync
  std::atomic<std::int64_t> disk_bytes_left = -1;  // bytes that may still be written; negative: unlimited
  std::atomic<bool> torn_write = false;            // the next write stops half way and kills the process
  char folder[512] = {};                           // folder of the affected files
};

// The test's side of the shared settings. The destructor removes the file.
class InterposedFaults {
 public:
  // `folder`: its files are affected by disk faults. Throws std::runtime_error.
  explicit InterposedFaults(const std::string& folder);
  ~InterposedFaults();
  InterposedFaults(const InterposedFaults&) = delete;
  InterposedFaults& operator=(const InterposedFaults&) = delete;

  InterposedFaultSettings& settings() { return *settings_; }
  // Environment assignment that a process needs in addition to the library's.
  std::string environment() const { return "NETTLESTAND_SEAMS=" + path_; }

 private:
  std::string path_;
  InterposedFaultSettings* settings_ = nullptr;
};

// A folder for the state that a process keeps across restarts. Between two runs the state can be saved,
// rolled back or deleted.
class StateFolder {
 public:
  StateFolder();
  ~StateFolder();
  StateFolder(const StateFolder&) = delete;
  StateFolder& operator=(const StateFolder&) = delete;

  const std::string& path() const { return path_; }
  void save();       // copies the present contents
  void roll_back();  // restores the contents saved last
  void clear();      // deletes all contents

 private:
  std::string path_, saved_;
};

}  // namespace nettlestand::standins
