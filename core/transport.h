// The core's interface to a transport, which reaches servers by one protocol. The core never reads what it
// carries; only the front ends and transports of a protocol know the types behind Payload.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/server_list.h"
#include "quinceusher/balancer.h"

namespace nettlestand {

// A request on its way to a server, or an answer on its way to a caller. Both are complete; a streamed answer
// would be a Payload that its front end pulls from.
struct Payload {
  Payload() = default;
  Payload(const Payload&) = delete;
  Payload& operator=(const Payload&) = delete;
  virtual ~Payload() = default;
};

// Identifies an attempt by its request's number and its position among that request's attempts, from 0. An
// attempt need not have a connection of its own.
struct AttemptId {
  std::uint64_t request = 0;
  int attempt = 0;
  bool operator==(const AttemptId&) const = default;
};

// Progress of an incomplete answer.
struct Progress {
  double arriving = 0, quiet = 0;     // s since its head came (below 0: it has not) and since its last byte
  double received = 0, expected = 0;  // bytes of its body; expected is 0 if the length is unknown
};

// Called only on the thread of the event loop.
class Transport {
 public:
  // Receives the events of attempts: the core.
  class Sink {
   public:
    // The one outcome of an attempt, never reported inside start(). `answer` is set if it was delivered.
    virtual void ended(const AttemptId& attempt, quinceusher::Outcome outcome,
                       std::unique_ptr<Payload> answer) = 0;
    // An answer's head has come without all of its body, or the time of an attempt that was written is up.
    // May call extend(); if it doesn't, a timeout that caused the call stands.
    virtual void arriving(const AttemptId& attempt, const Progress& progress) = 0;

   protected:
    ~Sink() = default;
  };

  virtual ~Transport() = default;

  // Must come before any other call. The sink outlives the attempts.
  virtual void attach(Sink& sink) = 0;

  // Starts an attempt with a timeout of `timeout` s at a server that apply() has listed; for another server
  // it ends as not sent. If its last byte is not written within `within` s it never is, and the attempt ends
  // as not sent. Exactly one outcome follows.
  virtual void start(const AttemptId& attempt, const std::string& server,
                     std::shared_ptr<const Payload> request, double timeout, double within) = 0;
  // Sets the attempt's timeout to `timeout` s from now.
  virtual void extend(const AttemptId& attempt, double timeout) = 0;
  // Abandons an attempt. It ends with `outcome`, perhaps before this returns, unless it has ended already.
  virtual void stop(const AttemptId& attempt, quinceusher::Outcome outcome) = 0;
  // Nobody waits for the attempt any more: ends it as not sent if its last byte is not written, so that it
  // never runs. One that is written continues.
  virtual void withdraw(const AttemptId& attempt) = 0;

  // Applies a list, or the changes in it. Servers that drain or are gone get nothing more: returns the
  // attempts whose first byte was not written and must not be, for the core to stop as not sent.
  virtual std::vector<AttemptId> apply(const ServerList& list) = 0;
  virtual std::size_t servers() const = 0;  // that may be sent to

  // Closes every connection without reporting outcomes; the sink is not called afterwards.
  virtual void shut_down() = 0;
};

}  // namespace nettlestand
