#include "duties/link.h"

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

constexpr double kLinger = 0.2;  // s

}  // namespace

std::string fresh_nonce() {
  if (sodium_init() < 0) throw std::runtime_error("libsodium can't start");
  std::string out(kNonce, '\0');
  randombytes_buf(out.data(), out.size());
  return out;
}

Link::Link(asio::io_context& io, Options options)
    : io_(io),
      options_(std::move(options)),
      socket_(io),
      timer_(io),
      channel_(options_.keys, fresh_nonce(), options_.most) {}

void Link::connect(const Tcp::endpoint& to, const Frame& hello, Handlers handlers) {
  handlers_ = std::move(handlers);
  watch(options_.patience);
  socket_.async_connect(to, [self = shared_from_this(), hello](const error_code& error) {
    if (self->closed_) return;
    if (error) return self->end(error.message());
    self->begin(hello);
  });
}

void Link::accept(Tcp::socket socket, const Frame& hello, Handlers handlers) {
  handlers_ = std::move(handlers);
  socket_ = std::move(socket);
  watch(options_.patience);
  begin(hello);
}

void Link::begin(const Frame& hello) {
  up_ = true;
  error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  heard_at_ = now();
  Frame mine = hello;
  mine.nonce = channel_.nonce();
  out_ += channel_.seal(mine);
  write();
  read();
}

bool Link::send(const Frame& frame) {
  if (closed_ || closing_ || !channel_.met()) return false;
  if (out_.size() + writing_.size() > options_.most_queued) return false;
  out_ += channel_.seal(frame);
  write();
  return true;
}

void Link::write() {
  if (!writing_.empty() || out_.empty() || closed_) return;
  std::swap(writing_, out_);
  asio::async_write(socket_, asio::buffer(writing_),
                    [self = shared_from_this()](const error_code& error, std::size_t n) {
                      self->sent_ += n;
                      self->writing_.clear();
                      if (self->closed_) return;
                      if (error) return self->end(error.message());
                      if (self->closing_ && self->out_.empty()) return self->close();
                      self->write();
                    });
}

void Link::read() {
  socket_.async_read_some(asio::buffer(in_),
                          [self = shared_from_this()](const error_code& error, std::size_t n) {
                            if (self->closed_) return;
                            if (error) return self->end(error.message());
                            self->heard_at_ = now();
                            self->received_ += n;
                            self->channel_.put({self->in_.data(), n});
                            try {
                              while (!self->closed_) {
                                const bool first = !self->channel_.met();
                                const auto frame = self->channel_.next();
                                if (!frame) break;
                                if (first) {
                                  self->watch(self->options_.silence);
                                  if (self->handlers_.met) self->handlers_.met(*frame);
                                } else if (frame->kind == Frame::Kind::kPing && frame->number % 2 == 0) {
                                  Frame back;
                                  back.number = frame->number + 1;
                                  self->send(back);
                                } else if (self->handlers_.frame) {
                                  self->handlers_.frame(*frame);
                                }
                              }
                            } catch (const BadBytes& bad) {
                              return self->end(bad.what());
                            }
                            if (!self->closed_) self->read();
                          });
}

// Until the hello is there the time is one for all; then it is one since the last byte.
void Link::watch(double seconds) {
  if (seconds <= 0) {
    timer_.cancel();
    return;
  }
  timer_.expires_after(duration(seconds));
  timer_.async_wait([self = shared_from_this()](const error_code& error) {
    if (error || self->closed_) return;
    if (!self->channel_.met() || self->closing_) return self->end("no answer in time");
    const double left = self->heard_at_ + self->options_.silence - now();
    if (left <= 0) return self->end("silent");
    self->watch(left);
  });
}

void Link::end(const std::string& why) {
  if (closed_) return;
  const Handlers handlers = std::move(handlers_);
  close();
  if (handlers.closed && !closing_) handlers.closed(why);
}

void Link::close(bool flush) {
  if (closed_) return;
  if (flush && up_ && (!out_.empty() || !writing_.empty())) {
    closing_ = true;
    handlers_ = {};
    return watch(kLinger);
  }
  closed_ = true;
  handlers_ = {};
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace nettlestand::duties
