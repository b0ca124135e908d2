// Memory for the fields of one message at a time: what a parser takes for them is given back at once with the
// next.
#pragma once

#include <array>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <memory_resource>
#include <optional>
#include <tuple>
#include <utility>

namespace nettlestand {

using FieldAllocator = std::pmr::polymorphic_allocator<char>;
using Fields = boost::beast::http::basic_fields<FieldAllocator>;

// A parser of messages with whole bodies; heads of up to `Bytes` take nothing from the heap.
template <bool IsRequest, std::size_t Bytes>
class ArenaParser {
 public:
  using Parser = boost::beast::http::parser<IsRequest, boost::beast::http::string_body, FieldAllocator>;

  ArenaParser() = default;
  ArenaParser(const ArenaParser&) = delete;
  ArenaParser& operator=(const ArenaParser&) = delete;

  explicit operator bool() const { return parser_.has_value(); }
  Parser* operator->() { return &*parser_; }
  const Parser* operator->() const { return &*parser_; }
  void emplace() {
    reset();
    parser_.emplace(std::piecewise_construct, std::make_tuple(), std::make_tuple(FieldAllocator(&memory_)));
  }
  void reset() {
    parser_.reset();
    memory_.release();
  }

 private:
  std::array<std::byte, Bytes> bytes_;
  std::pmr::monotonic_buffer_resource memory_{bytes_.data(), bytes_.size()};
  std::optional<Parser> parser_;
};

}  // namespace nettlestand
