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
      has_event_ = true;
    }
    buffer_.erase(0, begin);
    scanned_ = 0;
  }
  // Calls `on_event` for the bytes of an event that no blank line has ended, at the end of a stream that is
  // known to be whole.
  template <class Handler>
  void finish(Handler&& on_event) {
    if (buffer_.empty()) return;
    on_event(StreamEvent{buffer_, id_of(buffer_)});
    reset();
  }
  // The bytes of the last event as long as it is incomplete.
  const std::string& partial() const { return buffer_; }
  // Whether the last byte so far ended an event. A stream whose end nothing else shows can be whole only
  // there: a server that fails cuts it before the first event, within one, or between two.
  bool is_between_events() const { return has_event_ && buffer_.empty(); }
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
  bool has_event_ = false;
};

}  // namespace nettlestand::tier
