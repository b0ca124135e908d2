// Records of what the test doubles saw, as plain structures: the input of the checker. All times are seconds
// on the clock of now(); 0: has not happened.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nettlestand::standins {

// Who closed a connection; kOpen: not closed yet.
enum class Closer { kOpen, kPeer, kServer };

// A connection that a server accepted.
struct ConnectionRecord {
  std::string server;
  int port = 0;
  int peer_port = 0;  // port of the peer as the server sees it
  double accepted_at = 0, closed_at = 0;
  Closer closed_by = Closer::kOpen;
  bool reset = false;        // ended with RST, sent by either side
  std::uint64_t served = 0;  // requests received whole
};

// A request that a server received, whole or in part: an attempt from the node's point of view.
struct AttemptRecord {
  std::string server;  // its name in discovery
  int port = 0;
  std::size_t connection = 0;  // index of the recorder's connection record
  std::string id, request_class, key, tenant;
  std::string method;
  std::uint64_t fencing_token = 0;             // of the duty under which it was made; 0: none
  double first_byte_at = 0, last_byte_at = 0;  // arrival at this machine, read or not
  std::uint64_t body_digest = 0;               // digest of the request body
  bool executed = false;                       // started: had its effect, or may still have it
  bool repeat = false;              // dropped as a duplicate: the effect of its key existed already
  double finished_at = 0;           // end of the work on it
  int status = 0;                   // status of its answer; 0: none
  bool not_started = false;         // the answer states that it never ran
  std::uint64_t answer_digest = 0;  // digest of the answer body as its reader frames it
  double answered_at = 0;           // last byte of the answer handed to the kernel
  double connection_lost_at = 0;    // its connection ended before the answer was written
  // Received whole and not rejected: it ran, or may have run for all that the node can know.
  bool may_have_run() const { return last_byte_at > 0 && !not_started; }
};

// A cold server that was overloaded.
struct OverloadRecord {
  std::string server;
  double at = 0;
  // Work in seconds that arrived in the second before, and that the server could have done.
  double requested_work = 0, available_work = 0;
};

// A change of discovery's server list as delivered to one node.
struct ListChangeRecord {
  std::string node;  // name of the endpoint that the node queries
  std::string server;
  std::string state;                        // active, leaving or left
  double changed_at = 0, delivered_at = 0;  // delivered: written to a connection; 0: not yet
};

// How a call ended for its client.
enum class CallEnd {
  kOpen,      // the load ended first
  kAnswered,  // a complete answer arrived
  kCut,       // the connection ended within the answer
  kClosed,    // the connection ended before the answer
  kTimedOut,  // the client gave up
  kNoConnect  // never sent: connecting failed
};

// A request from the client's point of view.
struct CallRecord {
  std::string node;  // name of the target node
  std::string id, request_class, tenant, key;
  std::string first_id;  // id of the first try, if clients retry
  double due_at = 0;     // scheduled time of the first try
  double timeout = 0;    // s, its Request-Timeout-Ms
  double first_byte_at = 0;
  double sent_at = 0;      // last byte written; after a resend, that of the first sending
  double resent_at = 0;    // resent, since the node had closed the connection
  double answered_at = 0;  // last byte of the answer, or the end of a partial one
  CallEnd end = CallEnd::kOpen;
  int status = 0;
  std::uint64_t answer_digest = 0;
  // Bytes followed the complete answer before the next request on the connection.
  bool has_extra_bytes = false;
};

// The lifetime of one node process, for excusing requests lost when it was ended.
struct ProcessLifetime {
  std::string node;
  double started_at = 0;
  double listening_at = 0;  // when it listened for requests; 0: it never did
  double sigterm_at = 0;    // when it was sent SIGTERM
  double killed_at = 0;     // when it was sent SIGKILL: it died between this time and `ended_at`
  double ended_at = 0;      // when its end was noticed
  bool killed = false;      // by SIGKILL
};

}  // namespace nettlestand::standins
