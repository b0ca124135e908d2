// Lists of servers as discovery writes them: JSON, one object a list.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/server_list.h"
#include "json/read.h"

namespace nettlestand {

// Both throw std::exception with a plain text on what can't be used. `zones`: their names, in the order of
// the settings.
ServerList server_list_from_json(const quinceusher::json::Json& in, const std::vector<std::string>& zones);
ServerList parse_server_list(std::string_view json, const std::vector<std::string>& zones);

// Cuts what a watch writes into its lists: one JSON object a line, or over several lines where it is
// indented. Holds what is not whole yet. What can't be a list any more is cut off as it is, for
// parse_server_list() to say why.
class ServerListSplitter {
 public:
  void add(std::string_view bytes) { buffer_.append(bytes); }
  std::size_t buffered_bytes() const { return buffer_.size(); }  // bytes
  // The next whole list's text; none until more has come. Holds until the next call.
  std::optional<std::string_view> next();

 private:
  std::string buffer_;
  std::size_t text_end_ = 0;  // of the text that next() has given last, the end
  std::size_t scanned_ = 0;   // up to here it has been looked at
  std::size_t depth_ = 0;     // of objects and arrays
  bool in_string_ = false, escaped_ = false;
  bool is_blank_ = true, is_line_blank_ = true;  // so far: the text, and its last line
};

// Throws for what is no address and port.
boost::asio::ip::tcp::endpoint read_endpoint(std::string_view text);

// Unix milliseconds on the steady clock. 0 stays 0 (long ago). The offset is taken once: with a new one for
// each list the same start would get new times, and the module would take each for a restart.
double unix_ms_to_steady(double unix_ms);

}  // namespace nettlestand
