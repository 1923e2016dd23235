// Stands in for the fuzzer where there is none: gives a target each file of the folders that are named, and
// each with one byte changed after the other.
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  const auto run = [](const std::string& bytes) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
  };
  std::size_t files = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& entry : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream file(entry.path(), std::ios::binary);
      std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
      run(bytes);
      for (char& byte : bytes) {
        const char before = byte;
        for (const int flip : {0x01, 0x80, 0xff}) {
          byte = static_cast<char>(before ^ flip);
          run(bytes);
        }
        byte = before;
      }
      ++files;
    }
  }
  std::cout << files << " files\n";
  return files > 0 ? 0 : 1;
}
