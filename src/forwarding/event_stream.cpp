#include "forwarding/event_stream.h"

#include <algorithm>
#include <charconv>

namespace nettlestand::tier {
namespace {

// Calls `on_field(name, value)` for each line of an event that has a colon.
template <class Handler>
void for_each_field(std::string_view event, Handler&& on_field) {
  while (!event.empty()) {
    const std::size_t end = std::min(event.find('\n'), event.size());
    std::string_view line = event.substr(0, end);
    event.remove_prefix(std::min(end + 1, event.size()));
    if (line.ends_with('\r')) line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    if (line.empty() || colon == std::string_view::npos) continue;
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) value.remove_prefix(1);
    on_field(line.substr(0, colon), value);
  }
}

}  // namespace

std::size_t EventStreamParser::end_of_event(std::size_t begin) {
  for (std::size_t at = std::max(begin, scanned_); at < buffer_.size(); ++at) {
    if (buffer_[at] != '\n') continue;
    const bool blank = at == begin || buffer_[at - 1] == '\n' ||
                       (buffer_[at - 1] == '\r' && (at - 1 == begin || buffer_[at - 2] == '\n'));
    if (blank && at > begin) return at + 1;
    if (blank) return at + 1;  // a blank line that ends no event is passed on unchanged
  }
  return std::string::npos;
}

std::optional<std::uint64_t> EventStreamParser::id_of(std::string_view event) {
  std::optional<std::uint64_t> out;
  for_each_field(event, [&](std::string_view name, std::string_view value) {
    if (name != "id") return;
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
    if (parsed.ec == std::errc() && parsed.ptr == value.data() + value.size()) out = id;
  });
  return out;
}

std::string EventStreamParser::data_of(std::string_view event) {
  std::string out;
  bool first = true;
  for_each_field(event, [&](std::string_view name, std::string_view value) {
    if (name != "data") return;
    if (!first) out.push_back('\n');
    first = false;
    out.append(value);
  });
  return out;
}

}  // namespace nettlestand::tier
