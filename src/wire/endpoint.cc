#include "wire/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace hornbeam {

namespace {

std::string_view WithoutBrackets(std::string_view host) {
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  return bracketed ? host.substr(1, host.size() - 2) : host;
}

}  // namespace

std::string endpoint::ToString() const {
  const bool is_ipv6 = host.find(':') != std::string::npos;
  const std::string shown = is_ipv6 ? "[" + host + "]" : host;
  return shown + ":" + std::to_string(port);
}

std::optional<endpoint> endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  endpoint parsed{.host = std::string(WithoutBrackets(text.substr(0, colon)))};
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  const auto number = std::from_chars(digits.data(), end, parsed.port);
  if (number.ec != std::errc() || number.ptr != end) return std::nullopt;
  boost::system::error_code error;
  boost::asio::ip::make_address(parsed.host, error);
  if (error) return std::nullopt;
  return parsed;
}

}  // namespace hornbeam
