// Reads HTTP messages from a connection on a fiber.
//
// Include this only in .cc files of this module: Beast is slow to compile.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <exception>

#include "io/fiber_token.h"

namespace hornbeam {

namespace detail {

// Parses the bytes in `buffer` and removes those that were used. The library
// throws for a field that it cannot store, and its own read functions let that
// escape into the event loop, which ends the process.
template <bool IsRequest>
boost::system::error_code ParseBuffered(
    boost::beast::flat_buffer& buffer,
    boost::beast::http::basic_parser<IsRequest>& parser) {
  boost::system::error_code error;
  try {
    buffer.consume(parser.put(buffer.data(), error));
  } catch (const std::exception&) {
    return boost::beast::http::error::header_limit;
  }
  return error;
}

}  // namespace detail

// Parses what is in `buffer` or, if that is not enough, what arrives next. The
// parser has made progress unless an error is returned: one of the library's,
// or header_limit for a field that is too long to be stored.
template <bool IsRequest>
boost::system::error_code ReadSome(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    boost::beast::http::basic_parser<IsRequest>& parser) {
  namespace http = boost::beast::http;
  constexpr std::size_t kMaxReadBytes = 64UL * 1024;
  while (true) {
    if (buffer.size() > 0) {
      const auto error = detail::ParseBuffered(buffer, parser);
      if (error != http::error::need_more) return error;
    }
    const std::size_t size = boost::beast::read_size(buffer, kMaxReadBytes);
    if (size == 0) return http::error::buffer_overflow;
    boost::system::error_code error;
    buffer.commit(
        stream.async_read_some(buffer.prepare(size), FiberWait(error)));
    if (error == boost::asio::error::eof) {
      if (!parser.got_some()) return http::error::end_of_stream;
      error = {};
      parser.put_eof(error);
      return error;
    }
    if (error) return error;
  }
}

}  // namespace hornbeam
