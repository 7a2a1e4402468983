// cereal archives over byte strings, safe to use on untrusted bytes.
//
// Include this only in the .cc files of codecs: cereal is slow to compile.
// Numbers are written in little-endian order: at full width in files and
// replicated commands, or in as few bytes as they need (compact) on
// connections.
#pragma once

#include <bit>
#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "hornbeam/result.h"

namespace hornbeam {

static_assert(std::endian::native == std::endian::little);

// Why bytes could not be decoded.
enum class decode_error : std::uint8_t {
  kTruncated,      // The bytes end inside a value.
  kBadLength,      // A length exceeds the remaining bytes.
  kTrailingBytes,  // Bytes remain after the value.
  kBadValue,       // A tag or value is out of range.
};

namespace detail {

// A first byte of at least this value gives the number of bytes that follow; a
// lower one is the number itself.
constexpr std::uint8_t kFirstLengthByte = 248;
constexpr int kNumberBits = 64;

// Returns the number of bytes of `number` without leading zero bytes.
constexpr std::size_t SignificantBytes(std::uint64_t number) {
  return (static_cast<std::size_t>(std::bit_width(number)) + 7) / 8;
}

}  // namespace detail

enum class number_form : std::uint8_t { kFullWidth, kCompact };

// Appends values to a byte string that the caller owns.
class byte_writer
    : public cereal::OutputArchive<byte_writer,
                                   cereal::AllowEmptyClassElision> {
 public:
  explicit byte_writer(std::string& out,
                       number_form form = number_form::kFullWidth)
      : OutputArchive(this), out_(out), form_(form) {}

  void SaveBytes(const void* data, std::size_t size) {
    out_.append(static_cast<const char*>(data), size);
  }

  // Writes one byte, or a byte count followed by that many bytes.
  void SaveCompact(std::uint64_t number) {
    if (number < detail::kFirstLengthByte) {
      out_.push_back(static_cast<char>(number));
      return;
    }
    const std::size_t size = detail::SignificantBytes(number);
    out_.push_back(static_cast<char>(detail::kFirstLengthByte + size - 1));
    SaveBytes(&number, size);
  }

  [[nodiscard]] bool IsCompact() const {
    return form_ == number_form::kCompact;
  }

 private:
  std::string& out_;
  const number_form form_;
};

// Reads values from a byte string. Throws every error as a cereal::Exception.
// Lengths are checked against the remaining bytes before anything is allocated,
// so memory stays bounded by the input. Use DecodeBytes, which returns the
// exception as an error.
class byte_reader
    : public cereal::InputArchive<byte_reader, cereal::AllowEmptyClassElision> {
 public:
  explicit byte_reader(std::string_view bytes,
                       number_form form = number_form::kFullWidth)
      : InputArchive(this), remaining_(bytes), form_(form) {}

  void LoadBytes(void* data, std::size_t size) {
    if (size > remaining_.size()) throw cereal::Exception("truncated");
    std::memcpy(data, remaining_.data(), size);
    remaining_.remove_prefix(size);
  }

  // Reads a number that SaveCompact wrote.
  std::uint64_t LoadCompact() {
    std::uint8_t first = 0;
    LoadBytes(&first, sizeof(first));
    if (first < detail::kFirstLengthByte) return first;
    const std::size_t size = first - detail::kFirstLengthByte + 1U;
    std::uint64_t number = 0;
    LoadBytes(&number, size);
    // Only the shortest form is valid, so that a decoded value encodes to the
    // same bytes.
    if (number < detail::kFirstLengthByte ||
        detail::SignificantBytes(number) != size) {
      throw cereal::Exception("bad number");
    }
    return number;
  }

  [[nodiscard]] bool IsCompact() const {
    return form_ == number_form::kCompact;
  }
  [[nodiscard]] std::size_t Remaining() const { return remaining_.size(); }

 private:
  std::string_view remaining_;
  const number_form form_;
};

namespace detail {

template <class T>
constexpr bool kHasCompactForm = std::is_integral_v<T> && (sizeof(T) > 1);

// Zigzag encoding: maps numbers of small magnitude to small unsigned ones.
template <class T>
std::uint64_t ToCompact(T value) {
  if constexpr (std::is_signed_v<T>) {
    const auto wide = static_cast<std::int64_t>(value);
    return (static_cast<std::uint64_t>(wide) << 1) ^
           static_cast<std::uint64_t>(wide >> (kNumberBits - 1));
  } else {
    return value;
  }
}

template <class T>
T FromCompact(std::uint64_t number) {
  if constexpr (std::is_signed_v<T>) {
    const auto wide =
        static_cast<std::int64_t>((number >> 1) ^ (~(number & 1) + 1));
    if (!std::in_range<T>(wide)) throw cereal::Exception("bad number");
    return static_cast<T>(wide);
  } else {
    if (!std::in_range<T>(number)) throw cereal::Exception("bad number");
    return static_cast<T>(number);
  }
}

}  // namespace detail

template <class T>
  requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(byte_writer& archive, const T& value) {
  if constexpr (detail::kHasCompactForm<T>) {
    if (archive.IsCompact()) {
      archive.SaveCompact(detail::ToCompact(value));
      return;
    }
  }
  archive.SaveBytes(&value, sizeof(value));
}

template <class T>
  requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(byte_reader& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.LoadBytes(&byte, sizeof(byte));
    if (byte > 1) throw cereal::Exception("bad bool");
    value = byte == 1;
  } else {
    if constexpr (detail::kHasCompactForm<T>) {
      if (archive.IsCompact()) {
        value = detail::FromCompact<T>(archive.LoadCompact());
        return;
      }
    }
    archive.LoadBytes(&value, sizeof(value));
  }
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(byte_writer& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(byte_reader& archive,
                                    cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

// Lengths of containers are 32-bit numbers in the archive's number form. Each
// element takes at least one byte, so a length above the remaining bytes is
// invalid.
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(byte_writer& archive,
                               const cereal::SizeTag<T>& tag) {
  const auto size = static_cast<std::uint32_t>(tag.size);
  archive(size);
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(byte_reader& archive, cereal::SizeTag<T>& tag) {
  std::uint32_t size = 0;
  archive(size);
  if (size > archive.Remaining()) throw cereal::Exception("bad length");
  tag.size = size;
}

template <class T>
void CEREAL_SAVE_FUNCTION_NAME(byte_writer& archive,
                               const cereal::BinaryData<T>& data) {
  archive.SaveBytes(data.data, static_cast<std::size_t>(data.size));
}

template <class T>
void CEREAL_LOAD_FUNCTION_NAME(byte_reader& archive,
                               cereal::BinaryData<T>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

// Returns the encoding of `value`.
template <class T>
std::string EncodeBytes(const T& value,
                        number_form form = number_form::kFullWidth) {
  std::string out;
  byte_writer writer(out, form);
  writer(value);
  return out;
}

// Decodes `bytes`, which must hold exactly one value. Returns an error for
// truncated, malformed or trailing bytes.
template <class T>
result<T, decode_error> DecodeBytes(
    std::string_view bytes, number_form form = number_form::kFullWidth) {
  try {
    T value{};
    byte_reader reader(bytes, form);
    reader(value);
    if (reader.Remaining() != 0) return decode_error::kTrailingBytes;
    return value;
  } catch (const cereal::Exception& error) {
    const std::string_view text = error.what();
    if (text == "truncated") return decode_error::kTruncated;
    if (text == "bad length") return decode_error::kBadLength;
    return decode_error::kBadValue;
  }
}

}  // namespace hornbeam

CEREAL_REGISTER_ARCHIVE(hornbeam::byte_writer)
CEREAL_REGISTER_ARCHIVE(hornbeam::byte_reader)
CEREAL_SETUP_ARCHIVE_TRAITS(hornbeam::byte_reader, hornbeam::byte_writer)
