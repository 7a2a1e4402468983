// A temporary directory that is removed with the object.
#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace hornbeam {

class temporary_folder {
 public:
  temporary_folder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "hornbeam-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("mkdtemp failed");
    }
    path_ = pattern;
  }
  ~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;

  [[nodiscard]] const std::filesystem::path& Path() const { return path_; }

 private:
  std::filesystem::path path_;
};

}  // namespace hornbeam
