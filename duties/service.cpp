#include "duties/service.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <stdexcept>
#include <utility>

#include "util/clock.h"

namespace nettlestand::duties {
namespace {

using boost::system::error_code;

ClientSettings settings_of(const ServiceOptions& o) {
  ClientSettings out = o.client;
  out.voters.clear();
  for (const VoterAddress& v : o.voters) out.voters.push_back(v.name);
  return out;
}

}  // namespace

Service::Service(boost::asio::io_context& io, ServiceOptions options, Log log)
    : io_(io),
      options_(std::move(options)),
      log_(std::move(log)),
      client_(settings_of(options_)),
      timer_(io) {}

Service::~Service() {
  *alive_ = false;
  disconnect();
}

void Service::start() {
  running_ = true;
  connect();
  arm();
}

void Service::want(const Duty& duty, Changed changed, bool slowly) {
  listeners_[duty.name] = std::move(changed);
  Client::Actions out;
  client_.want(now(), duty, out, slowly);
  act(out);
}

void Service::stopped(const std::string& duty) {
  Client::Actions out;
  client_.stopped(now(), duty, out);
  act(out);
}

void Service::unwant(const std::string& duty) {
  Client::Actions out;
  client_.unwant(now(), duty, out);
  act(out);
}

void Service::failed(const std::string& duty) {
  Client::Actions out;
  client_.failed(now(), duty, out);
  act(out);
}

void Service::leave() {
  Client::Actions out;
  client_.leave(now(), out);
  act(out);
}

void Service::close() {
  running_ = false;
  timer_.cancel();
  if (link_) std::exchange(link_, nullptr)->close(true);
}

void Service::ask(Request request, Client::Done done) {
  Client::Actions out;
  client_.ask(now(), std::move(request), std::move(done), out);
  act(out);
}

std::optional<Token> Service::holds(const std::string& duty) const { return client_.holds(now(), duty); }

void Service::disconnect() {
  connecting_ = false;
  if (!link_) return;
  bytes_sent_ += link_->bytes_sent();
  bytes_received_ += link_->bytes_received();
  std::exchange(link_, nullptr)->close();
}

void Service::connect() {
  if (!running_ || link_ || now() < client_.way().try_at()) return;
  const VoterAddress& voter = options_.voters[client_.way().target()];
  Link::Options o;
  o.keys = options_.keys;
  o.patience = options_.client.way.patience;
  link_ = std::make_shared<Link>(io_, o);
  connecting_ = true;
  Frame hello;
  hello.kind = Frame::Kind::kHello;
  hello.cluster = options_.cluster;
  hello.who = self();
  Link::Handlers h;
  h.met = [this, alive = alive_](const Frame& other) {
    if (!*alive) return;
    connecting_ = false;
    Client::Actions out;
    if (other.cluster != options_.cluster || other.voter == 0) {
      client_.went_down(now(), out);
    } else {
      client_.came_up(now(), out);
      if (std::exchange(told_away_, false))
        log_({LogLevel::kInfo,
              "duties",
              "voters_reached",
              "the voters are reached again",
              {{"voter", other.who.name}}});
    }
    act(out);
  };
  h.frame = [this, alive = alive_](const Frame& f) {
    if (!*alive) return;
    Client::Actions out;
    client_.frame(now(), f, out);
    act(out);
  };
  h.closed = [this, alive = alive_](const std::string&) {
    if (!*alive) return;
    Client::Actions out;
    client_.went_down(now(), out);
    act(out);
  };
  link_->connect(voter.at, hello, std::move(h));
}

void Service::act(Client::Actions& out) {
  // Before anything is sent: what is given back must be nobody's here by the time that another one has it.
  if (turned_) turned_();
  if (out.reconnect) {
    disconnect();
    if (!client_.way().connected() && !told_away_ && client_.way().try_at() > now() + 0.5) {
      told_away_ = true;
      log_({LogLevel::kWarning,
            "duties",
            "voters_not_reached",
            "none of the voters can be reached: duties end with their leases",
            {}});
    }
  }
  for (const Frame& f : out.frames) {
    if (link_) link_->send(f);
  }
  for (const Holding::Change& c : out.changes) tell(c);
  if (running_) connect();
  arm();
}

void Service::tell(const Holding::Change& c) {
  if (c.gained) {
    log_({LogLevel::kInfo,
          "duties",
          "gained",
          "holds the duty " + c.duty + " by token " + std::to_string(c.token),
          {{"duty", c.duty}, {"token", static_cast<std::int64_t>(c.token)}}});
  } else {
    log_({c.why == Holding::Lost::kLapsed || c.why == Holding::Lost::kTaken ? LogLevel::kWarning
                                                                            : LogLevel::kInfo,
          "duties",
          "lost",
          "holds the duty " + c.duty + " no more: " + name_of(c.why),
          {{"duty", c.duty},
           {"token", static_cast<std::int64_t>(c.token)},
           {"why", std::string(name_of(c.why))}}});
  }
  const auto it = listeners_.find(c.duty);
  if (it != listeners_.end() && it->second) it->second(c);
}

void Service::arm() {
  if (!running_) return;
  double next = client_.next();
  // While it connects, the connection's own patience counts.
  if (connecting_) next = std::max(next, now() + 0.05);
  timer_.expires_at(at(std::max(next, now() + 0.001)));
  timer_.async_wait([this, alive = alive_](const error_code& error) {
    if (error || !*alive || !running_) return;
    Client::Actions out;
    client_.tick(now(), out);
    act(out);
  });
}

std::string Service::report() const {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  const auto text = [&](const char* name, const std::string& value) {
    w.Key(name);
    w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  };
  w.StartObject();
  text("name", self().name);
  w.Key("life");
  w.Uint64(self().life);
  text("voter", client_.way().connected() ? options_.voters[client_.way().target()].name : "");
  w.Key("duties");
  w.StartArray();
  for (const auto& [name, ignored] : listeners_) {
    w.StartObject();
    text("duty", name);
    const auto token = holds(name);
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
  number("silent", c.silent);
  number("bytes_sent", bytes_sent_ + (link_ ? link_->bytes_sent() : 0));
  number("bytes_received", bytes_received_ + (link_ ? link_->bytes_received() : 0));
  w.EndObject();
  w.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::duties
