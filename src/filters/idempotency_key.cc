#include "filters/idempotency_key.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <ranges>
#include <string>

namespace hornbeam {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr auto kHyphens = std::to_array<std::size_t>({8, 13, 18, 23});
constexpr std::uint64_t kVersionMask = 0xF000;
constexpr std::uint64_t kVersion7 = 0x7000;
constexpr unsigned kVariantShift = 62;
constexpr std::uint64_t kVariantRfc = 2;

constexpr auto kIdempotentMethods = std::to_array<std::string_view>(
    {"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"});

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

std::optional<request_id> ParseIdempotencyKey(std::string_view text) {
  if (text.size() != kUuidLength) return std::nullopt;
  const auto is_hyphen = [text](std::size_t at) { return text[at] == '-'; };
  if (!std::ranges::all_of(kHyphens, is_hyphen)) return std::nullopt;
  std::string digits;
  std::ranges::copy(text | std::views::filter([](char c) { return c != '-'; }) |
                        std::views::transform(ToLower),
                    std::back_inserter(digits));
  const auto key = request_id::Parse(digits);
  if (!key) return std::nullopt;
  const bool is_version_7 = (key->high & kVersionMask) == kVersion7;
  const bool is_rfc_variant = key->low >> kVariantShift == kVariantRfc;
  if (!is_version_7 || !is_rfc_variant) return std::nullopt;
  return key;
}

bool IsIdempotentMethod(std::string_view method) {
  return std::ranges::find(kIdempotentMethods, method) !=
         kIdempotentMethods.end();
}

}  // namespace hornbeam
