// Parser for server-sent events (WHATWG HTML, "Server-sent events"): splits a byte stream into complete
// events. Does no I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::tier {

// One complete event; `bytes` is valid only during the call that passes it.
struct StreamEvent {
  std::string_view bytes;           // unchanged, with the blank line that ends the event
  std::optional<std::uint64_t> id;  // value of the "id" field, if it is a number
};

// Incremental parser: bytes may arrive cut at any place.
class EventStreamParser {
 public:
  // Appends bytes and calls `on_event(const StreamEvent&)` for each event that is now complete.
  template <class Handler>
  void feed(std::string_view bytes, Handler&& on_event) {
    buffer_.append(bytes);
    std::size_t begin = 0;
    for (std::size_t end; (end = end_of_event(begin)) != std::string::npos; begin = end) {
      const std::string_view event = std::string_view(buffer_).substr(begin, end - begin);
      on_event(StreamEvent{event, id_of(event)});
    }
    buffer_.erase(0, begin);
    scanned_ = 0;
  }
  // The bytes of the last event as long as it is incomplete.
  const std::string& partial() const { return buffer_; }
  void reset() {
    buffer_.clear();
    scanned_ = 0;
  }

  // The value of the last "id" field that is a number.
  static std::optional<std::uint64_t> id_of(std::string_view event);
  // The values of the "data" fields, joined by line feeds.
  static std::string data_of(std::string_view event);

 private:
  // Offset behind the first complete event from `begin` on, npos if there is none.
  std::size_t end_of_event(std::size_t begin);
  std::string buffer_;
  std::size_t scanned_ = 0;
};

}  // namespace nettlestand::tier
