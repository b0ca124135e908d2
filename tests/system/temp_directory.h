// A temporary directory that is removed with its object.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

class TempDirectory {
 public:
  TempDirectory() {
    std::string name = (std::filesystem::temp_directory_path() / "nettlestand-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
    path_ = name;
  }
  ~TempDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TempDirectory(const TempDirectory&) = delete;
  TempDirectory& operator=(const TempDirectory&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};
