// A client connection to one node, used for as long as the node keeps it open.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>

#include "base/time.h"

namespace nettlestand::tier::standins {

// Outcome of one HTTP exchange.
struct HttpResult {
  int status = 0;                              // 0: no complete head was received
  bool complete = false;                       // the whole body was received
  bool whole_sent = false;                     // the whole request was written
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

// A blocking HTTP/1.1 client connection.
class PersistentConnection {
 public:
  // Connects; whether that succeeded.
  bool open(const std::string& address, Millis timeout);
  bool is_open() const { return stream_ != nullptr; }
  void close() { stream_.reset(); }
  // Sends a request and reads its answer. Closes the connection if the node does, or on any error.
  HttpResult exchange(const std::string& request, Millis timeout);

 private:
  boost::asio::io_context io_;
  std::unique_ptr<boost::beast::tcp_stream> stream_;
  boost::beast::flat_buffer buffer_;
};

}  // namespace nettlestand::tier::standins
