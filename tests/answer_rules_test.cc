// Rules for the head of an answer.
#include "base/answer_rules.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

namespace hornbeam {

namespace {

constexpr unsigned kCharacters = 256;

std::string Character(unsigned code) {
  return std::string(1, static_cast<char>(code));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_rules_test)

BOOST_AUTO_TEST_CASE(each_status_is_interim_final_or_invalid) {
  for (unsigned status = 0; status <= 1000; ++status) {
    BOOST_TEST(IsInterimStatus(status) == (status >= 100 && status <= 199));
    BOOST_TEST(IsFinalStatus(status) == (status >= 200 && status <= 599));
    const auto defect = FindAnswerDefect(status, {});
    BOOST_TEST(defect.has_value() == !IsFinalStatus(status));
    if (defect) BOOST_TEST((*defect == answer_defect::kStatus));
  }
}

BOOST_AUTO_TEST_CASE(field_name_is_a_token) {
  const std::string token =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
      "ABCDEFGHIJKLMNOPQRSTUVWXYZ";
  for (unsigned code = 0; code < kCharacters; ++code) {
    const std::string one = Character(code);
    const bool valid = token.find(one) != std::string::npos;
    for (const std::string& name : {one, "X" + one, one + "X", "X" + one + "Y"})
      BOOST_TEST(!FindFieldDefect(name, "1").has_value() == valid, code);
  }
  BOOST_TEST((FindFieldDefect("", "1") == answer_defect::kFieldName));
}

BOOST_AUTO_TEST_CASE(field_value_has_no_control_character) {
  for (unsigned code = 0; code < kCharacters; ++code) {
    const std::string one = Character(code);
    const bool valid = (code >= 0x20 && code != 0x7f) || one == "\t";
    for (const std::string& value : {one, "a" + one, one + "a"})
      BOOST_TEST(!FindFieldDefect("X", value).has_value() == valid, code);
  }
  BOOST_TEST(!FindFieldDefect("X", "").has_value());
}

BOOST_AUTO_TEST_CASE(every_field_of_an_answer_is_checked) {
  const std::vector<header_field> valid = {{"A", "1"}, {"B", ""}, {"C", "x y"}};
  BOOST_TEST(!FindAnswerDefect(200, valid).has_value());
  for (std::size_t i = 0; i < valid.size(); ++i) {
    auto fields = valid;
    fields[i].name += ' ';
    BOOST_TEST((FindAnswerDefect(200, fields) == answer_defect::kFieldName));
    fields = valid;
    fields[i].value += "\r\nX: 1";
    BOOST_TEST((FindAnswerDefect(200, fields) == answer_defect::kFieldValue));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace hornbeam
