#include "support/standin_behaviour.h"

#include <boost/json.hpp>

namespace hornbeam {

namespace {

namespace json = boost::json;

// The largest status that a status line can carry.
constexpr std::size_t kMaxStatus = 999;

std::optional<reported_load> ParseReportedLoad(std::string_view text) {
  if (text == "true") return reported_load::kCurrent;
  if (text == "lagging") return reported_load::kLagging;
  if (text == "zero") return reported_load::kZero;
  return std::nullopt;
}

bool ReadNumber(const json::value& value, double& out) {
  if (!value.is_number()) return false;
  out = value.to_number<double>();
  return out >= 0;
}

bool ReadSize(const json::value& value, std::size_t& out) {
  double number = 0;
  if (!ReadNumber(value, number)) return false;
  out = static_cast<std::size_t>(number);
  return true;
}

bool ReadFlag(const json::value& value, bool& out) {
  if (!value.is_bool()) return false;
  out = value.as_bool();
  return true;
}

bool ReadReportedLoad(const json::value& value, reported_load& out) {
  if (!value.is_string()) return false;
  const auto reported = ParseReportedLoad(value.as_string());
  if (reported) out = *reported;
  return reported.has_value();
}

bool ReadMember(std::string_view name, const json::value& value,
                standin_behaviour& out) {
  if (name == "short_ms") return ReadNumber(value, out.short_ms);
  if (name == "long_ms") return ReadNumber(value, out.long_ms);
  if (name == "slow_factor") return ReadNumber(value, out.slow_factor);
  if (name == "fail_share") return ReadNumber(value, out.fail_share);
  if (name == "cold_start_ms") return ReadNumber(value, out.cold_start_ms);
  if (name == "cold_start_factor") {
    return ReadNumber(value, out.cold_start_factor);
  }
  if (name == "shed_above") return ReadSize(value, out.shed_above);
  if (name == "answer_bytes") return ReadSize(value, out.answer_bytes);
  if (name == "long_answer_bytes") {
    return ReadSize(value, out.long_answer_bytes);
  }
  if (name == "answer_status") {
    return ReadSize(value, out.answer_status) &&
           out.answer_status <= kMaxStatus;
  }
  if (name == "honour_cancel") return ReadFlag(value, out.honour_cancel);
  if (name == "draining") return ReadFlag(value, out.draining);
  if (name == "load") return ReadReportedLoad(value, out.load);
  return false;
}

}  // namespace

std::optional<standin_behaviour> MergeBehaviour(standin_behaviour base,
                                                std::string_view text) {
  boost::system::error_code error;
  const json::value parsed = json::parse(text, error);
  if (error || !parsed.is_object()) return std::nullopt;
  for (const auto& member : parsed.as_object()) {
    if (!ReadMember(member.key(), member.value(), base)) return std::nullopt;
  }
  return base;
}

}  // namespace hornbeam
