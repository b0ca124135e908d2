// A message parser whose header fields are allocated in an arena, which is released as a whole with the next
// message.
#pragma once

#include <array>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <memory>
#include <memory_resource>
#include <tuple>
#include <utility>

namespace nettlestand {

using FieldAllocator = std::pmr::polymorphic_allocator<char>;
using Fields = boost::beast::http::basic_fields<FieldAllocator>;

// Parses messages with complete bodies. Heads of up to `Bytes` bytes need a single heap allocation.
template <bool IsRequest, std::size_t Bytes>
class ArenaParser {
 public:
  using Parser = boost::beast::http::parser<IsRequest, boost::beast::http::string_body, FieldAllocator>;

  ArenaParser() = default;
  ArenaParser(const ArenaParser&) = delete;
  ArenaParser& operator=(const ArenaParser&) = delete;

  explicit operator bool() const { return state_ != nullptr; }
  Parser* operator->() { return &state_->parser; }
  const Parser* operator->() const { return &state_->parser; }
  void emplace() { state_ = std::make_unique_for_overwrite<State>(); }
  void reset() { state_.reset(); }

 private:
  // Allocated separately, so that an idle connection uses no memory for it.
  struct State {
    std::array<std::byte, Bytes> bytes;
    std::pmr::monotonic_buffer_resource memory{bytes.data(), bytes.size()};
    Parser parser{std::piecewise_construct, std::make_tuple(), std::make_tuple(FieldAllocator(&memory))};
  };
  std::unique_ptr<State> state_;
};

}  // namespace nettlestand
