// What the stand-ins have seen, in plain structures: the checker's food. All times are seconds on now()'s
// clock; 0: it has not happened.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nettlestand::standins {

enum class Closer { kOpen, kPeer, kServer };

// A connection that a server accepted.
struct ConnectionRecord {
  std::string server;
  int port = 0;
  int peer_port = 0;  // of the far side, as the server sees it
  double accepted_at = 0, closed_at = 0;
  Closer closed_by = Closer::kOpen;
  bool reset = false;        // it ended with RST, whoever sent it
  std::uint64_t served = 0;  // requests that came whole on it
};

// A request that came to a server, whole or in part: what a node sees as an attempt.
struct AttemptRecord {
  std::string server;  // the name that discovery gives it
  int port = 0;
  std::size_t connection = 0;  // index among the recorder's connections
  std::string id, request_class, key, tenant;
  std::string method;
  std::uint64_t fencing_token = 0;             // of the duty that it was made under; 0: none
  double first_byte_at = 0, last_byte_at = 0;  // when they came to this machine, read or not
  std::uint64_t body_digest = 0;               // of the request's body
  bool executed = false;                       // begun: it had its effect, or may yet
  bool repeat = false;                         // dropped: the effect of its key was there already
  double finished_at = 0;                      // the work on it ended
  int status = 0;                              // of the answer it was given; 0: none
  bool not_started = false;                    // the answer says that it never ran
  std::uint64_t answer_digest = 0;             // of the answer's body, as a reader of it would frame it
  double answered_at = 0;                      // its answer's last byte was handed to the kernel
  double connection_lost_at = 0;               // its connection ended before that
  // Came whole, and was not turned away: it ran, or may have for all that the node can know.
  bool may_have_run() const { return last_byte_at > 0 && !not_started; }
};

// A cold server that was pushed over.
struct OverloadRecord {
  std::string server;
  double at = 0;
  double requested_work = 0,
         available_work = 0;  // seconds of work that came in the second before; that it could have done
};

// A change of the list as one node was told it.
struct ListChangeRecord {
  std::string node;  // the name of the endpoint at which the node asks
  std::string server;
  std::string state;                        // active, leaving or left
  double changed_at = 0, delivered_at = 0;  // told: written to a connection; 0: not yet
};

enum class CallEnd {
  kOpen,      // the load ended before it did
  kAnswered,  // a whole answer came
  kCut,       // the connection ended in the middle of the answer
  kClosed,    // or before its first byte
  kTimedOut,  // the caller gave up
  kNoConnect  // never sent: no connection came about
};

// A request as its caller saw it.
struct CallRecord {
  std::string node;  // the name of the target it went to
  std::string id, request_class, tenant, key;
  std::string first_id;  // of the first try, where clients come again
  double due_at = 0;     // when that was due
  double timeout = 0;    // s, its Request-Timeout-Ms
  double first_byte_at = 0;
  double sent_at = 0;      // its last byte was written; with a second writing, of the first one
  double resent_at = 0;    // it was written once more: the node had closed the connection it was on
  double answered_at = 0;  // the answer's last byte came, or the end of what there is
  CallEnd end = CallEnd::kOpen;
  int status = 0;
  std::uint64_t answer_digest = 0;
  bool has_extra_bytes =
      false;  // bytes came behind the whole answer, before the next request on the connection
};

// A node process, for what is forgiven to one that was ended.
struct ProcessLifetime {
  std::string node;
  double started_at = 0;
  double sigterm_at = 0;  // it was sent SIGTERM
  double ended_at = 0;    // it exited or was killed
  bool killed = false;    // by SIGKILL
};

}  // namespace nettlestand::standins
