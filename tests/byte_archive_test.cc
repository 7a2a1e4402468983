// Tests of encoding and decoding values, including invalid bytes.
#include "base/byte_archive.h"

#include <boost/test/unit_test.hpp>
#include <limits>
#include <optional>
#include <variant>

#include "hornbeam/load_report.h"
#include "hornbeam/outcome.h"

namespace hornbeam {

namespace {

struct sample {
  std::string name;
  std::vector<load_report> reports;
  std::optional<std::uint64_t> revision;
  std::variant<std::uint32_t, std::string> number_or_text;
  outcome call_outcome = outcome::kUnknown;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, reports, revision, number_or_text, call_outcome);
  }
};

sample MakeSample() {
  return sample{.name = "guichet",
                .reports = {load_report{
                    .incarnation = 1, .slot_limit = 20, .draining = true}},
                .revision = 7,
                .number_or_text = "text",
                .call_outcome = outcome::kNotRun};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(byte_archive_test)

BOOST_AUTO_TEST_CASE(values_survive_round_trip) {
  const auto decoded = DecodeBytes<sample>(EncodeBytes(MakeSample()));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded.value().name == "guichet");
  BOOST_TEST((decoded.value().reports == MakeSample().reports));
  BOOST_TEST(decoded.value().revision.value() == 7U);
  BOOST_TEST(std::get<std::string>(decoded.value().number_or_text) == "text");
  BOOST_TEST((decoded.value().call_outcome == outcome::kNotRun));
}

BOOST_AUTO_TEST_CASE(every_proper_prefix_is_rejected) {
  const std::string bytes = EncodeBytes(MakeSample());
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!DecodeBytes<sample>(std::string_view(bytes).substr(0, size))
                    .has_value());
  }
  BOOST_TEST((DecodeBytes<sample>(bytes + "x").error() ==
              decode_error::kTrailingBytes));
}

BOOST_AUTO_TEST_CASE(invalid_length_is_rejected_before_allocation) {
  const std::string bytes("\xff\xff\xff\xff", 4);
  BOOST_TEST(
      (DecodeBytes<std::string>(bytes).error() == decode_error::kBadLength));
}

BOOST_AUTO_TEST_CASE(compact_numbers_survive_round_trip) {
  using limits = std::numeric_limits<std::int64_t>;
  for (const std::int64_t number :
       {std::int64_t{0}, std::int64_t{1}, std::int64_t{-1}, std::int64_t{123},
        std::int64_t{124}, std::int64_t{-300}, std::int64_t{1} << 40,
        limits::min(), limits::max()}) {
    const std::string bytes = EncodeBytes(number, number_form::kCompact);
    const auto read = DecodeBytes<std::int64_t>(bytes, number_form::kCompact);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value() == number);
  }
}

BOOST_AUTO_TEST_CASE(compact_form_takes_at_most_a_third_of_the_bytes) {
  const std::string bytes = EncodeBytes(MakeSample(), number_form::kCompact);
  BOOST_TEST(bytes.size() * 3 <= EncodeBytes(MakeSample()).size());
  const auto decoded = DecodeBytes<sample>(bytes, number_form::kCompact);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((decoded.value().reports == MakeSample().reports));
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    BOOST_TEST(!DecodeBytes<sample>(std::string_view(bytes).substr(0, size),
                                    number_form::kCompact)
                    .has_value());
  }
}

BOOST_AUTO_TEST_CASE(compact_number_out_of_range_is_rejected) {
  const std::string bytes =
      EncodeBytes(std::uint32_t{70000}, number_form::kCompact);
  BOOST_TEST(
      (DecodeBytes<std::uint16_t>(bytes, number_form::kCompact).error() ==
       decode_error::kBadValue));
}

BOOST_AUTO_TEST_CASE(overlong_compact_number_is_rejected) {
  using namespace std::string_view_literals;
  for (const std::string_view longer :
       {"\xf8\x07"sv, "\xf9\x01\x00"sv,
        "\xff\x01\x00\x00\x00\x00\x00\x00\x00"sv}) {
    const auto read = DecodeBytes<std::uint64_t>(longer, number_form::kCompact);
    BOOST_REQUIRE(!read.has_value());
    BOOST_TEST((read.error() == decode_error::kBadValue));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
