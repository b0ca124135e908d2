#include "discovery/server_list_parser.h"

#include <chrono>
#include <string>
#include <utility>

#include "util/clock.h"
#include "util/endpoint.h"

namespace nettlestand {
namespace {

namespace json = quinceusher::json;
using json::Json;

constexpr std::size_t kMaxHostBytes = 255;  // of a server's name

int zone_index_of(std::string_view name, const std::vector<std::string>& zones) {
  for (std::size_t i = 0; i < zones.size(); ++i) {
    if (zones[i] == name) return static_cast<int>(i);
  }
  return static_cast<int>(zones.size());  // not in the settings, so it is not this node's own zone
}

ListedServer read_server(const Json& in, const std::vector<std::string>& zones) {
  ListedServer out;
  out.info.address = json::string(in, "host");
  if (out.info.address.empty() || out.info.address.size() > kMaxHostBytes) {
    json::reject_field("host", "a name of 1 to 255 bytes");
  }
  const std::string_view health = json::string(in, "health");
  if (health == "active") {
    out.info.state = quinceusher::ServerState::kReady;
  } else if (health == "leaving") {
    out.info.state = quinceusher::ServerState::kDraining;
  } else if (health == "left") {
    out.info.state = quinceusher::ServerState::kGone;
  } else {
    json::reject_field("health", "active, leaving or left");
  }
  if (out.info.state != quinceusher::ServerState::kGone)
    out.endpoint = read_endpoint(json::string(in, "dial"));
  if (json::find(in, "site") != nullptr) out.info.zone = zone_index_of(json::string(in, "site"), zones);
  out.info.cell = json::integer_or(in, "block", 0);
  out.info.weight = json::number_or(in, "share", 1);
  json::check_range(out.info.weight, "share", 0, 1e6);
  const double start_unix_ms = json::number_or(in, "born_ms", 0);
  json::check_range(start_unix_ms, "born_ms", 0, 1e15);
  out.info.started = unix_ms_to_steady(start_unix_ms);
  return out;
}

}  // namespace

ServerList server_list_from_json(const Json& in, const std::vector<std::string>& zones) {
  ServerList out;
  out.seq = json::unsigned_integer(in, "seq");
  out.is_full = json::boolean(in, "whole");
  for (const Json& item : json::array(in, "hosts").GetArray())
    out.servers.push_back(read_server(item, zones));
  return out;
}

ServerList parse_server_list(std::string_view text, const std::vector<std::string>& zones) {
  return server_list_from_json(json::parse(text), zones);
}

// Also ends a truncated list, which would otherwise never be complete. Discovery writes empty lines as
// keep-alives, but never within a list, so an empty line or a line break in a string means that the list is
// truncated.
std::optional<std::string_view> ServerListSplitter::next() {
  buffer_.erase(0, text_end_);
  scanned_ -= text_end_;
  text_end_ = 0;
  while (scanned_ < buffer_.size()) {
    const char c = buffer_[scanned_++];
    if (c == '\n') {
      const bool whole = depth_ == 0 || in_string_ || is_line_blank_;
      is_line_blank_ = true;
      if (!whole) continue;
      depth_ = 0;
      in_string_ = escaped_ = false;
      text_end_ = scanned_;
      if (!std::exchange(is_blank_, true)) return std::string_view(buffer_).substr(0, text_end_ - 1);
      buffer_.erase(0, text_end_);
      scanned_ = text_end_ = 0;
      continue;
    }
    if (c == ' ' || c == '\t' || c == '\r') continue;
    is_blank_ = is_line_blank_ = false;
    if (in_string_) {
      const bool escaped = std::exchange(escaped_, !escaped_ && c == '\\');
      if (c == '"' && !escaped) in_string_ = false;
    } else if (c == '"') {
      in_string_ = true;
    } else if (c == '{' || c == '[') {
      ++depth_;
    } else if ((c == '}' || c == ']') && depth_ > 0) {
      --depth_;
    }
  }
  return std::nullopt;
}

double unix_ms_to_steady(double unix_ms) {
  static const double offset =
      now() - std::chrono::duration<double>(std::chrono::system_clock::now().time_since_epoch()).count();
  return unix_ms == 0 ? 0 : unix_ms / 1000 + offset;
}

boost::asio::ip::tcp::endpoint read_endpoint(std::string_view text) {
  const auto out = parse_endpoint(text);
  if (!out) throw json::MessageError("'" + std::string(text) + "' is not an address and a port");
  return *out;
}

}  // namespace nettlestand
