#include "duties/client_service.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <stdexcept>
#include <utility>

#include "util/clock.h"

namespace nettlestand::duties {
namespace {

using boost::system::error_code;

ClientSettings settings_of(const ClientServiceOptions& o) {
  ClientSettings out = o.client;
  out.voters.clear();
  for (const VoterAddress& v : o.voters) out.voters.push_back(v.name);
  return out;
}

}  // namespace

ClientService::ClientService(boost::asio::io_context& io, ClientServiceOptions options, Log log)
    : io_(io),
      options_(std::move(options)),
      log_(std::move(log)),
      client_(settings_of(options_)),
      timer_(io) {}

ClientService::~ClientService() {
  *alive_ = false;
  disconnect();
}

void ClientService::start() {
  running_ = true;
  connect();
  schedule_timer();
}

void ClientService::acquire(const Duty& duty, ChangeListener changed, bool stops_slowly) {
  listeners_[duty.name] = std::move(changed);
  Client::Actions out;
  client_.acquire(now(), duty, out, stops_slowly);
  apply_actions(out);
}

void ClientService::confirm_stopped(const std::string& duty) {
  Client::Actions out;
  client_.confirm_stopped(now(), duty, out);
  apply_actions(out);
}

void ClientService::release(const std::string& duty) {
  Client::Actions out;
  client_.release(now(), duty, out);
  apply_actions(out);
}

void ClientService::report_failure(const std::string& duty) {
  Client::Actions out;
  client_.report_failure(now(), duty, out);
  apply_actions(out);
}

void ClientService::release_all() {
  Client::Actions out;
  client_.release_all(now(), out);
  apply_actions(out);
}

void ClientService::close() {
  running_ = false;
  timer_.cancel();
  if (link_) std::exchange(link_, nullptr)->close(true);
}

void ClientService::send_operator_request(Request request, Client::RequestCallback done) {
  Client::Actions out;
  client_.send_operator_request(now(), std::move(request), std::move(done), out);
  apply_actions(out);
}

std::optional<Token> ClientService::held_token(const std::string& duty) const {
  return client_.held_token(now(), duty);
}

void ClientService::disconnect() {
  connecting_ = false;
  if (!link_) return;
  bytes_sent_ += link_->bytes_sent();
  bytes_received_ += link_->bytes_received();
  std::exchange(link_, nullptr)->close();
}

void ClientService::connect() {
  if (!running_ || link_ || now() < client_.voter_selector().next_attempt_at()) return;
  const VoterAddress& voter = options_.voters[client_.voter_selector().target()];
  FrameConnection::Options o;
  o.keys = options_.keys;
  o.handshake_timeout = options_.client.voter_selector.reply_timeout;
  link_ = std::make_shared<FrameConnection>(io_, o);
  connecting_ = true;
  Frame hello;
  hello.kind = Frame::Kind::kHello;
  hello.cluster = options_.cluster;
  hello.sender = self();
  FrameConnection::Handlers h;
  h.on_handshake = [this, alive = alive_](const Frame& other) {
    if (!*alive) return;
    connecting_ = false;
    Client::Actions out;
    if (other.cluster != options_.cluster || other.voter_id == 0) {
      client_.on_disconnected(now(), out);
    } else {
      client_.on_connected(now(), out);
      if (std::exchange(unreachable_logged_, false))
        log_({LogLevel::kInfo,
              "duties",
              "voters_reached",
              "reconnected to a voter",
              {{"voter", other.sender.name}}});
    }
    apply_actions(out);
  };
  h.on_frame = [this, alive = alive_](const Frame& f) {
    if (!*alive) return;
    Client::Actions out;
    client_.on_frame(now(), f, out);
    apply_actions(out);
  };
  h.on_closed = [this, alive = alive_](const std::string&) {
    if (!*alive) return;
    Client::Actions out;
    client_.on_disconnected(now(), out);
    apply_actions(out);
  };
  link_->connect(voter.endpoint, hello, std::move(h));
}

void ClientService::apply_actions(Client::Actions& out) {
  // Before anything is sent: code on this node must know that a lease is lost before its release can reach
  // the voters.
  if (state_listener_) state_listener_();
  if (out.reconnect) {
    disconnect();
    if (!client_.voter_selector().connected() && !unreachable_logged_ &&
        client_.voter_selector().next_attempt_at() > now() + 0.5) {
      unreachable_logged_ = true;
      log_({LogLevel::kWarning,
            "duties",
            "voters_not_reached",
            "no voter can be reached; held duties end when their leases expire",
            {}});
    }
  }
  for (const Frame& f : out.frames) {
    if (link_) link_->send(f);
  }
  for (const LeaseHolder::Change& c : out.changes) report_change(c);
  if (running_) connect();
  schedule_timer();
}

void ClientService::report_change(const LeaseHolder::Change& c) {
  if (c.gained) {
    log_({LogLevel::kInfo,
          "duties",
          "gained",
          "acquired duty " + c.duty + " with fencing token " + std::to_string(c.token),
          {{"duty", c.duty}, {"token", static_cast<std::int64_t>(c.token)}}});
  } else {
    log_({c.loss_reason == LeaseHolder::LossReason::kExpired ||
                  c.loss_reason == LeaseHolder::LossReason::kRevoked
              ? LogLevel::kWarning
              : LogLevel::kInfo,
          "duties",
          "lost",
          "lost duty " + c.duty + ": " + name_of(c.loss_reason),
          {{"duty", c.duty},
           {"token", static_cast<std::int64_t>(c.token)},
           {"why", std::string(name_of(c.loss_reason))}}});
  }
  const auto it = listeners_.find(c.duty);
  if (it != listeners_.end() && it->second) it->second(c);
}

void ClientService::schedule_timer() {
  if (!running_) return;
  double next = client_.next_deadline();
  // While connecting, the connection's own timeout applies.
  if (connecting_) next = std::max(next, now() + 0.05);
  timer_.expires_at(to_time_point(std::max(next, now() + 0.001)));
  timer_.async_wait([this, alive = alive_](const error_code& error) {
    if (error || !*alive || !running_) return;
    Client::Actions out;
    client_.tick(now(), out);
    apply_actions(out);
  });
}

std::string ClientService::report() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&](const char* name, const std::string& value) {
    w.Key(name);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  w.StartObject();
  text("name", self().name);
  w.Key("life");
  w.Uint64(self().generation);
  text("voter",
       client_.voter_selector().connected() ? options_.voters[client_.voter_selector().target()].name : "");
  w.Key("duties");
  w.StartArray();
  for (const auto& [name, ignored] : listeners_) {
    w.StartObject();
    text("duty", name);
    const auto token = held_token(name);
    w.Key("held");
    w.Bool(token.has_value());
    w.Key("token");
    w.Uint64(token.value_or(0));
    w.EndObject();
  }
  w.EndArray();
  const auto& c = client_.counters();
  w.Key("counters");
  w.StartObject();
  const auto number = [&](const char* name, std::uint64_t value) {
    w.Key(name);
    w.Uint64(value);
  };
  number("gained", c.gained);
  number("lost", c.lost);
  number("connections", c.connections);
  number("silent", c.timed_out);
  number("bytes_sent", bytes_sent_ + (link_ ? link_->bytes_sent() : 0));
  number("bytes_received", bytes_received_ + (link_ ? link_->bytes_received() : 0));
  w.EndObject();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::duties
