// A folder of a test's own, removed with all that is in it.
#ifndef BITTERNMUX_TESTS_SUPPORT_TEMPORARY_FOLDER_H_
#define BITTERNMUX_TESTS_SUPPORT_TEMPORARY_FOLDER_H_

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace bitternmux::tests {

class TemporaryFolder {
 public:
  // kMemory: on the file system in memory, where there is one. For tests of what is written, not of what
  // outlasts a loss of power: thousands of syncs hold up everybody else's on the same disk.
  enum class Place { kDisk, kMemory };

  explicit TemporaryFolder(Place place = Place::kDisk) {
    std::string path = (Root(place) / "bitternmux-test-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("no folder can be made at " + path);
    path_ = path;
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }
  std::string File(const std::string& name) const { return path_ + "/" + name; }
  // Of all files in it.
  std::uintmax_t Bytes() const {
    std::uintmax_t bytes = 0;
    for (const auto& entry : std::filesystem::directory_iterator(path_)) bytes += entry.file_size();
    return bytes;
  }

 private:
  static std::filesystem::path Root(Place place) {
    const std::filesystem::path memory = "/dev/shm";
    const bool use_memory = place == Place::kMemory && std::filesystem::is_directory(memory);
    return use_memory ? memory : std::filesystem::temp_directory_path();
  }

  std::string path_;
};

}  // namespace bitternmux::tests

#endif  // BITTERNMUX_TESTS_SUPPORT_TEMPORARY_FOLDER_H_
