// What the core asks of a transport, and nothing else: the way to servers of one protocol. The core never
// reads what it carries; only fronts and transports of one protocol know what a Cargo is.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/server_list.h"
#include "quinceusher/balancer.h"

namespace nettlestand {

// A request on its way to a server, or an answer on its way to a caller. Today both are whole. An answer in
// pieces is a Cargo that its front pulls from.
struct Payload {
  Payload() = default;
  Payload(const Payload&) = delete;
  Payload& operator=(const Payload&) = delete;
  virtual ~Payload() = default;
};

// An attempt is named by its request's number and its place among that request's attempts, from 0. It need
// not have a connection of its own.
struct AttemptId {
  std::uint64_t request = 0;
  int attempt = 0;
  bool operator==(const AttemptId&) const = default;
};

// How far an answer has come that is not there yet.
struct Progress {
  double arriving = 0, quiet = 0;  // s since its head was there (below 0: it is not), and since its last byte
  double received = 0, expected = 0;  // bytes of its body; expected is 0 where its length is not told
};

// All calls are made on the thread of the one event loop.
class Transport {
 public:
  // Whom a transport tells of its attempts: the core.
  class Sink {
   public:
    // The one outcome of an attempt, never told inside start(). `answer` is there where it was delivered.
    virtual void ended(const AttemptId& attempt, quinceusher::Outcome outcome,
                       std::unique_ptr<Payload> answer) = 0;
    // An answer's head has come without all of its body, or the time of an attempt that is written is up. May
    // call extend(); where it doesn't, a time-out that led to it stands.
    virtual void arriving(const AttemptId& attempt, const Progress& progress) = 0;

   protected:
    ~Sink() = default;
  };

  virtual ~Transport() = default;

  // Before any other call. The sink outlives the attempts.
  virtual void attach(Sink& sink) = 0;

  // Starts an attempt of `timeout` s at a server that apply() has told of; where it has not, the attempt ends
  // as not sent. Where its last byte is not written within `within` s it never is, and it ends as not
  // sent. Exactly one outcome follows.
  virtual void start(const AttemptId& attempt, const std::string& server,
                     std::shared_ptr<const Payload> request, double timeout, double within) = 0;
  // Gives an attempt so many seconds from now on.
  virtual void extend(const AttemptId& attempt, double timeout) = 0;
  // Stops waiting for an attempt. It ends so, perhaps before this returns, unless it has ended.
  virtual void stop(const AttemptId& attempt, quinceusher::Outcome outcome) = 0;
  // Nobody waits for it any more: ends it as not sent where its last byte is not written, so that it never
  // runs. One that is written goes on.
  virtual void withdraw(const AttemptId& attempt) = 0;

  // Takes over a list, or the changes in it. Servers that drain or are gone get nothing more: returns the
  // attempts whose first byte is not written and must not be any more, for the core to stop as not sent.
  virtual std::vector<AttemptId> apply(const ServerList& list) = 0;
  virtual std::size_t servers() const = 0;  // that may be sent to

  // Ends every connection, and tells nobody. The sink is not called from here on.
  virtual void shut_down() = 0;
};

}  // namespace nettlestand
