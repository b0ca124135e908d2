// Parses the server lists of the discovery service: one JSON object per list.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/server_list.h"
#include "json/reader.h"

namespace nettlestand {

// Both throw std::exception with a readable text if the list is invalid. `zones`: zone names, in the order of
// the settings.
ServerList server_list_from_json(const quinceusher::json::Json& in, const std::vector<std::string>& zones);
ServerList parse_server_list(std::string_view json, const std::vector<std::string>& zones);

// Splits the byte stream of a watch into lists: one JSON object per line, or over several lines if it is
// indented. Buffers an incomplete list. A text that can't become a valid list is returned as it is, so that
// parse_server_list() reports why.
class ServerListSplitter {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }
  std::size_t buffered_bytes() const { return buffer_.size(); }  // bytes
  // The text of the next complete list, valid until the next call; nullopt if more input is needed.
  std::optional<std::string_view> next();

 private:
  std::string buffer_;
  std::size_t text_end_ = 0;  // end of the text that next() returned last
  std::size_t scanned_ = 0;   // end of the input examined so far
  std::size_t depth_ = 0;     // nesting of objects and arrays
  bool in_string_ = false, escaped_ = false;
  bool is_blank_ = true, is_line_blank_ = true;  // the text so far, and its last line
};

// Parses an address with a port; throws if the text is anything else.
boost::asio::ip::tcp::endpoint read_endpoint(std::string_view text);

// Converts Unix milliseconds to steady clock seconds. 0 stays 0 (long ago). The offset is determined only
// once: with a new one for each list the same start would get different times, and the decision module would
// take each for a restart.
double unix_ms_to_steady(double unix_ms);

}  // namespace nettlestand
