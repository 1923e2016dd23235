// cereal archives over bytes in memory: little-endian, as cereal's portable binary archive writes on such
// machines. Two things differ from that one: no streams, since every event of a stream would pay for them;
// and a length that the bytes left cannot hold is refused before anything is allocated for it.
#ifndef BITTERNMUX_SRC_FLEET_MESSAGES_ARCHIVE_H_
#define BITTERNMUX_SRC_FLEET_MESSAGES_ARCHIVE_H_

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <string>
#include <string_view>

namespace bitternmux::fleet {

static_assert(std::endian::native == std::endian::little, "the archives write what is in memory");

class ByteOutput : public cereal::OutputArchive<ByteOutput, cereal::AllowEmptyClassElision> {
 public:
  explicit ByteOutput(std::string& out) : OutputArchive(this), out_(out) {}
  void Write(const void* bytes, std::size_t count) { out_.append(static_cast<const char*>(bytes), count); }
  // cereal's own types call it by this name.
  void saveBinary(const void* bytes, std::streamsize count) { Write(bytes, static_cast<std::size_t>(count)); }

 private:
  std::string& out_;
};

class ByteInput : public cereal::InputArchive<ByteInput, cereal::AllowEmptyClassElision> {
 public:
  explicit ByteInput(std::string_view in) : InputArchive(this), in_(in) {}
  void Read(void* bytes, std::size_t count) {
    if (count > in_.size()) throw cereal::Exception("the bytes end too soon");
    std::memcpy(bytes, in_.data(), count);
    in_.remove_prefix(count);
  }
  void loadBinary(void* bytes, std::streamsize count) { Read(bytes, static_cast<std::size_t>(count)); }
  std::size_t left() const { return in_.size(); }

 private:
  std::string_view in_;
};

template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(ByteOutput& archive, const Number& number) {
  archive.Write(&number, sizeof number);
}

template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(ByteInput& archive, Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    unsigned char byte = 0;
    archive.Read(&byte, 1);
    number = byte != 0;
  } else {
    archive.Read(&number, sizeof number);
  }
}

template <class Value>
void CEREAL_SAVE_FUNCTION_NAME(ByteOutput& archive, const cereal::BinaryData<Value>& data) {
  archive.saveBinary(data.data, static_cast<std::streamsize>(data.size));
}

template <class Value>
void CEREAL_LOAD_FUNCTION_NAME(ByteInput& archive, cereal::BinaryData<Value>& data) {
  archive.loadBinary(data.data, static_cast<std::streamsize>(data.size));
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(ByteOutput& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(ByteInput& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <class Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(ByteOutput& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
}

// Each element takes a byte at least.
template <class Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(ByteInput& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  if (tag.size > archive.left()) throw cereal::Exception("a length beyond the bytes");
}

}  // namespace bitternmux::fleet

CEREAL_REGISTER_ARCHIVE(bitternmux::fleet::ByteOutput)
CEREAL_REGISTER_ARCHIVE(bitternmux::fleet::ByteInput)
CEREAL_SETUP_ARCHIVE_TRAITS(bitternmux::fleet::ByteInput, bitternmux::fleet::ByteOutput)

#endif  // BITTERNMUX_SRC_FLEET_MESSAGES_ARCHIVE_H_
