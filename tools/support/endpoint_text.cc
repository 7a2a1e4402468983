#include "support/endpoint_text.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdint>

namespace hornbeam {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  if (error) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

std::string FormatEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  return fmt::format("{}:{}", endpoint.address().to_string(), endpoint.port());
}

}  // namespace hornbeam
