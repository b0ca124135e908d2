// Seams of a process under test, put in by a preloaded library so that the program itself stays the shipped
// one: its wall clock may be wrong or step, and the files below one folder may be slow, full or torn.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace nettlestand::standins {

// Shared with the process through a file, whose name it finds in NETTLESTAND_SEAMS.
struct InterposedFaultSettings {
  std::atomic<double> wall_clock_offset = 0;    // s that its wall clock is ahead
  std::atomic<std::int64_t> disk_delay_us = 0;  // before each write and sync
  std::atomic<std::int64_t> disk_bytes_left =
      -1;                                // bytes that may still be written; below 0: without a bound
  std::atomic<bool> torn_write = false;  // the next write stops half way, and the process with it
  char folder[512] = {};                 // of the files that it is about
};

// The test's end. Ends the file with itself.
class InterposedFaults {
 public:
  // `folder`: whose files are slow, full or torn. Throws std::runtime_error.
  explicit InterposedFaults(const std::string& folder);
  ~InterposedFaults();
  InterposedFaults(const InterposedFaults&) = delete;
  InterposedFaults& operator=(const InterposedFaults&) = delete;

  InterposedFaultSettings& settings() { return *settings_; }
  // What a process needs in its environment; `library` is the preloaded one's file.
  std::string environment() const { return "NETTLESTAND_SEAMS=" + path_; }

 private:
  std::string path_;
  InterposedFaultSettings* settings_ = nullptr;
};

// A folder in which a process keeps what must outlive it, and what may become of that between two lives.
class StateFolder {
 public:
  StateFolder();
  ~StateFolder();
  StateFolder(const StateFolder&) = delete;
  StateFolder& operator=(const StateFolder&) = delete;

  const std::string& path() const { return path_; }
  void save();       // remembers what is there now
  void roll_back();  // what was there when it was saved last
  void clear();      // nothing is there

 private:
  std::string path_, saved_;
};

}  // namespace nettlestand::standins
