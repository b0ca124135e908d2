#include "duties/frame_connection.h"

#include <sodium.h>

#include <array>
#include <boost/asio/write.hpp>
#include <stdexcept>
#include <utility>

#include "util/clock.h"

namespace nettlestand::duties {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr double kFlushTimeout = 0.2;  // s

}  // namespace

std::string random_nonce() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't be initialized");
  std::string out(kNonceBytes, '\0');
  randombytes_buf(out.data(), out.size());
  return out;
}

FrameConnection::FrameConnection(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      socket_(io),
      timer_(io),
      channel_(options_.keys, random_nonce(), options_.max_frame_bytes) {}

void FrameConnection::connect(const Tcp::endpoint& to, const Frame& hello, Handlers handlers) {
  handlers_ = std::move(handlers);
  arm_timeout(options_.handshake_timeout);
  socket_.async_connect(to, [self = shared_from_this(), hello](const error_code& error) {
    if (self->closed_) return;
    if (error) return self->fail(error.message());
    self->start_handshake(hello);
  });
}

void FrameConnection::accept(Tcp::socket socket, const Frame& hello, Handlers handlers) {
  handlers_ = std::move(handlers);
  socket_ = std::move(socket);
  arm_timeout(options_.handshake_timeout);
  start_handshake(hello);
}

void FrameConnection::start_handshake(const Frame& hello) {
  connected_ = true;
  error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  last_byte_at_ = now();
  Frame mine = hello;
  mine.nonce = channel_.nonce();
  queued_ += channel_.seal(mine);
  write();
  read();
}

bool FrameConnection::send(const Frame& frame) {
  if (closed_ || closing_ || !channel_.handshake_done()) return false;
  if (queued_.size() + writing_.size() > options_.max_queued_bytes) return false;
  queued_ += channel_.seal(frame);
  write();
  return true;
}

void FrameConnection::write() {
  if (!writing_.empty() || queued_.empty() || closed_) return;
  std::swap(writing_, queued_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const error_code& error, std::size_t n) {
                      self->sent_ += n;
                      self->writing_.clear();
                      if (self->closed_) return;
                      if (error) return self->fail(error.message());
                      if (self->closing_ && self->queued_.empty()) return self->close();
                      self->write();
                    });
}

void FrameConnection::read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this()](const error_code& error, std::size_t n) {
                            if (self->closed_) return;
                            if (error) return self->fail(error.message());
                            self->last_byte_at_ = now();
                            self->received_ += n;
                            self->channel_.append_received({self->read_buffer_.data(), n});
                            try {
                              while (!self->closed_) {
                                const bool first = !self->channel_.handshake_done();
                                const auto frame = self->channel_.next_frame();
                                if (!frame) break;
                                if (first) {
                                  self->arm_timeout(self->options_.idle_timeout);
                                  if (self->handlers_.on_handshake) self->handlers_.on_handshake(*frame);
                                } else if (frame->kind == Frame::Kind::kPing && frame->number % 2 == 0) {
                                  Frame back;
                                  back.number = frame->number + 1;
                                  self->send(back);
                                } else if (self->handlers_.on_frame) {
                                  self->handlers_.on_frame(*frame);
                                }
                              }
                            } catch (const DecodeError& bad) {
                              return self->fail(bad.what());
                            }
                            if (!self->closed_) self->read();
                          });
}

// Before the hello the timeout covers the whole handshake; afterwards it counts from the last received byte.
void FrameConnection::arm_timeout(double seconds) {
  if (seconds <= 0) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(to_duration(seconds));
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closed_) return;
    if (!self->channel_.handshake_done() || self->closing_) return self->fail("timed out");
    const double left = self->last_byte_at_ + self->options_.idle_timeout - now();
    if (left <= 0) return self->fail("no data received");
    self->arm_timeout(left);
  });
}

void FrameConnection::fail(const std::string& why) {
  if (closed_) return;
  const Handlers handlers = std::move(handlers_);
  close();
  if (handlers.on_closed && !closing_) handlers.on_closed(why);
}

void FrameConnection::close(bool flush) {
  if (closed_) return;
  if (flush && connected_ && (!queued_.empty() || !writing_.empty())) {
    closing_ = true;
    handlers_ = {};
    return arm_timeout(kFlushTimeout);
  }
  closed_ = true;
  handlers_ = {};
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace nettlestand::duties
