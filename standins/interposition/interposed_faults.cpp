#include "standins/interposition/interposed_faults.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <new>
#include <stdexcept>

namespace nettlestand::standins {
namespace {

namespace fs = std::filesystem;

std::string base() {
  const char* dir = std::getenv("TMPDIR");
  return dir != nullptr ? dir : "/tmp";
}

std::string fresh_folder(const char* what) {
  std::string out = base() + "/nettlestand_" + what + "_XXXXXX";
  if (mkdtemp(out.data()) == nullptr) throw std::runtime_error("can't create a folder in " + base());
  return out;
}

}  // namespace

InterposedFaults::InterposedFaults(const std::string& folder) {
  path_ = base() + "/nettlestand_seams_XXXXXX";
  const int fd = mkstemp(path_.data());
  if (fd < 0 || ftruncate(fd, sizeof(InterposedFaultSettings)) != 0)
    throw std::runtime_error("can't create a file in " + base());
  void* at = mmap(nullptr, sizeof(InterposedFaultSettings), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  if (at == MAP_FAILED) throw std::runtime_error("can't map " + path_);
  settings_ = new (at) InterposedFaultSettings;
  if (folder.size() + 1 > sizeof settings_->folder) throw std::runtime_error(folder + ": path is too long");
  std::memcpy(settings_->folder, folder.c_str(), folder.size() + 1);
}

InterposedFaults::~InterposedFaults() {
  munmap(settings_, sizeof(InterposedFaultSettings));
  unlink(path_.c_str());
}

StateFolder::StateFolder() : path_(fresh_folder("state")), saved_(fresh_folder("saved")) {}

StateFolder::~StateFolder() {
  std::error_code ignored;
  fs::remove_all(path_, ignored);
  fs::remove_all(saved_, ignored);
}

// Copies files and folders; sockets belong to the process and are skipped.
void StateFolder::save() {
  fs::remove_all(saved_);
  fs::create_directory(saved_);
  for (const auto& entry : fs::directory_iterator(path_)) {
    if (!entry.is_socket())
      fs::copy(entry.path(), fs::path(saved_) / entry.path().filename(), fs::copy_options::recursive);
  }
}

void StateFolder::roll_back() {
  clear();
  fs::copy(saved_, path_, fs::copy_options::recursive);
}

void StateFolder::clear() {
  for (const auto& entry : fs::directory_iterator(path_)) fs::remove_all(entry.path());
}

}  // namespace nettlestand::standins
