// Server-sent events (WHATWG HTML, "Server-sent events"): splits a stream into whole events. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nettlestand::tier {

struct StreamEvent {
  std::string_view bytes;           // as it came, with the blank line that ends it
  std::optional<std::uint64_t> id;  // of its "id" field
};

class EventStreamParser {
 public:
  // Takes bytes and calls `take(const StreamEvent&)` for each event that is whole.
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
  // What has come of an event that is not whole yet.
  const std::string& partial() const { return buffer_; }
  void reset() {
    buffer_.clear();
    scanned_ = 0;
  }

  static std::optional<std::uint64_t> id_of(std::string_view event);
  // The values of its "data" fields, joined by line feeds.
  static std::string data_of(std::string_view event);

 private:
  std::size_t end_of_event(std::size_t begin);
  std::string buffer_;
  std::size_t scanned_ = 0;
};

}  // namespace nettlestand::tier
