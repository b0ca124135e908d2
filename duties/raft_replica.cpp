#include "duties/raft_replica.h"

extern "C" {
#include <raft.h>
}

#include <algorithm>
#include <cstring>
#include <deque>
#include <functional>
#include <optional>
#include <pcg_random.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "duties/msgpack_codec.h"

namespace nettlestand::duties {
namespace {

// Limit for terms and indices: libraft adds to them without checks.
constexpr std::uint64_t kMaxTerm = std::uint64_t{1} << 62;
constexpr std::uint64_t kMaxId = (std::uint64_t{1} << 63) - 1;
constexpr std::size_t kMaxEntriesPerMessage = 65536;
constexpr std::size_t kMaxServers = 64;

// libraft also has a function of this name.
using ApplyRequest = struct ::raft_apply;

raft_buffer to_raft_buffer(std::string_view bytes) {
  raft_buffer out{raft_malloc(std::max<std::size_t>(bytes.size(), 1)), bytes.size()};
  if (out.base == nullptr) throw std::bad_alloc();
  std::memcpy(out.base, bytes.data(), bytes.size());
  return out;
}
std::string_view view(const raft_buffer& b) { return {static_cast<const char*>(b.base), b.len}; }

// Checks libraft's encoding of a configuration: a version, a count, and for each server its id, a
// zero-terminated address and a role. libraft reads past the end of a truncated one.
bool valid_configuration(std::string_view b) {
  const auto number = [&b]() -> std::optional<std::uint64_t> {
    if (b.size() < 8) return std::nullopt;
    std::uint64_t out = 0;
    std::memcpy(&out, b.data(), 8);
    b.remove_prefix(8);
    return out;
  };
  if (b.empty() || b[0] != 1) return false;
  b.remove_prefix(1);
  const auto n = number();
  if (!n || *n == 0 || *n > kMaxServers) return false;
  std::vector<std::uint64_t> ids;
  std::vector<std::string> names;
  for (std::uint64_t i = 0; i < *n; ++i) {
    const auto id = number();
    const std::size_t end = b.find('\0');
    if (!id || *id == 0 || end == std::string_view::npos || end == 0 || end > 512) return false;
    names.emplace_back(b.substr(0, end));
    b.remove_prefix(end + 1);
    if (b.empty() || static_cast<unsigned char>(b[0]) > RAFT_SPARE) return false;
    b.remove_prefix(1);
    ids.push_back(*id);
  }
  std::sort(ids.begin(), ids.end());
  std::sort(names.begin(), names.end());
  return std::adjacent_find(ids.begin(), ids.end()) == ids.end() &&
         std::adjacent_find(names.begin(), names.end()) == names.end();
}

std::vector<StoredServer> servers_of(const raft_configuration& c) {
  std::vector<StoredServer> out;
  for (unsigned i = 0; i < c.n; ++i)
    out.push_back({c.servers[i].id, c.servers[i].address, c.servers[i].role});
  return out;
}
void fill_configuration(raft_configuration& out, const std::vector<StoredServer>& servers) {
  raft_configuration_init(&out);
  for (const StoredServer& s : servers) {
    if (raft_configuration_add(&out, s.id, s.name.c_str(), s.role) != 0) {
      raft_configuration_close(&out);
      throw DecodeError("invalid server list");
    }
  }
}

std::uint64_t bounded(const msgpack::object& o, std::uint32_t i, std::uint32_t size,
                      std::uint64_t most = kMaxTerm) {
  const auto out = element_as<std::uint64_t>(o, i, size);
  if (out > most) throw DecodeError("number out of range");
  return out;
}

// Encodes a message as [type, numbers..., entries or servers and data].
std::string encode(const raft_message& m) {
  msgpack::sbuffer buffer;
  Packer out(buffer);
  const auto begin = [&](std::uint32_t parts) {
    out.pack_array(parts);
    out.pack(static_cast<std::uint8_t>(m.type));
  };
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE: {
      const auto& x = m.request_vote;
      begin(7);
      out.pack(x.term);
      out.pack(x.candidate_id);
      out.pack(x.last_log_index);
      out.pack(x.last_log_term);
      out.pack(x.disrupt_leader);
      out.pack(x.pre_vote);
      break;
    }
    case RAFT_IO_REQUEST_VOTE_RESULT: {
      const auto& x = m.request_vote_result;
      begin(4);
      out.pack(x.term);
      out.pack(x.vote_granted);
      out.pack(static_cast<std::uint8_t>(x.pre_vote));
      break;
    }
    case RAFT_IO_APPEND_ENTRIES: {
      const auto& x = m.append_entries;
      begin(6);
      out.pack(x.term);
      out.pack(x.prev_log_index);
      out.pack(x.prev_log_term);
      out.pack(x.leader_commit);
      out.pack_array(x.n_entries);
      for (unsigned i = 0; i < x.n_entries; ++i) {
        out.pack_array(3);
        out.pack(x.entries[i].term);
        out.pack(static_cast<std::uint8_t>(x.entries[i].type));
        pack_bytes(out, view(x.entries[i].buf));
      }
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT: {
      const auto& x = m.append_entries_result;
      begin(4);
      out.pack(x.term);
      out.pack(x.rejected);
      out.pack(x.last_log_index);
      break;
    }
    case RAFT_IO_INSTALL_SNAPSHOT: {
      const auto& x = m.install_snapshot;
      begin(7);
      out.pack(x.term);
      out.pack(x.last_index);
      out.pack(x.last_term);
      out.pack(x.conf_index);
      out.pack_array(x.conf.n);
      for (unsigned i = 0; i < x.conf.n; ++i) {
        out.pack_array(3);
        out.pack(x.conf.servers[i].id);
        out.pack(std::string(x.conf.servers[i].address));
        out.pack(x.conf.servers[i].role);
      }
      pack_bytes(out, view(x.data));
      break;
    }
    default: {
      const auto& x = m.timeout_now;
      begin(4);
      out.pack(x.term);
      out.pack(x.last_log_index);
      out.pack(x.last_log_term);
      break;
    }
  }
  return {buffer.data(), buffer.size()};
}

}  // namespace

struct RaftReplica::Impl {
  Impl(RaftSettings settings, Store& store, double now)
      : s(std::move(settings)), store(store), now(now), random(s.seed) {
    stored = store.load();
    last_index = stored.first_index + stored.entries.size() - 1;
    io.version = 1;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* io, raft_io_close_cb cb) { of(io).defer([io, cb] { cb(io); }); };
    io.load = load;
    io.start = [](raft_io* io, unsigned, raft_io_tick_cb tick, raft_io_recv_cb recv) {
      of(io).on_tick = tick;
      of(io).on_receive = recv;
      return 0;
    };
    io.bootstrap = [](raft_io*, const raft_configuration*) { return RAFT_INVALID; };
    io.recover = [](raft_io*, const raft_configuration*) { return RAFT_INVALID; };
    io.set_term = [](raft_io* io, raft_term term) {
      return of(io).guard_store([&] { of(io).store.set_term(term); });
    };
    io.set_vote = [](raft_io* io, raft_id id) {
      return of(io).guard_store([&] { of(io).store.set_vote(id); });
    };
    io.send = send;
    io.append = append;
    io.truncate = [](raft_io* io, raft_index index) {
      Impl& me = of(io);
      me.write_pending();  // appends that were requested before
      const int code = me.guard_store([&] { me.store.truncate(index); });
      if (code == 0) me.last_index = std::min<std::uint64_t>(me.last_index, index - 1);
      return code;
    };
    io.snapshot_put = put_snapshot;
    io.snapshot_get = get_snapshot;
    io.time = [](raft_io* io) { return static_cast<raft_time>(of(io).now * 1000); };
    io.random = [](raft_io* io, int min, int max) {
      return std::uniform_int_distribution<int>(min, std::max(min, max - 1))(of(io).random);
    };
    io.async_work = nullptr;
    fsm.version = 1;
    fsm.data = this;
    fsm.apply = apply;
    fsm.snapshot = [](raft_fsm* fsm, raft_buffer* bufs[], unsigned* n) {
      *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
      if (*bufs == nullptr) return RAFT_NOMEM;
      (*bufs)[0] = to_raft_buffer(of(fsm).table.snapshot());
      *n = 1;
      return 0;
    };
    fsm.restore = [](raft_fsm* fsm, raft_buffer* buf) {
      try {
        of(fsm).table.restore(view(*buf));
      } catch (const DecodeError&) {
        return RAFT_MALFORMED;
      }
      raft_free(buf->base);
      return 0;
    };
    if (raft_init(&raft, &io, &fsm, stored.id, s.name.c_str()) != 0)
      throw std::runtime_error(std::string("agreement: ") + raft_errmsg(&raft));
    started = true;
    raft_set_election_timeout(&raft, s.election_timeout_ms);
    raft_set_heartbeat_timeout(&raft, s.heartbeat_interval_ms);
    raft_set_snapshot_threshold(&raft, s.snapshot_threshold);
    raft_set_snapshot_trailing(&raft, s.snapshot_trailing);
    raft_set_pre_vote(&raft, true);
    const int code = raft_start(&raft);
    if (code != 0) {
      const std::string failure = raft_errmsg(&raft);
      close();
      throw std::runtime_error("agreement: " + (failure.empty() ? raft_strerror(code) : failure));
    }
    run_pending();
  }
  ~Impl() { close(); }

  void close() {
    if (!started) return;
    started = false;
    closing = true;
    raft.data = this;
    raft_close(&raft, [](struct raft* r) { static_cast<Impl*>(r->data)->closed = true; });
    while (!closed && !(pending_appends.empty() && deferred.empty())) run_pending();
  }

  static Impl& of(raft_io* io) { return *static_cast<Impl*>(io->impl); }
  static Impl& of(raft_fsm* fsm) { return *static_cast<Impl*>(fsm->data); }

  // libraft requires that callbacks come after the call that caused them, never from within it.
  void defer(std::function<void()> f) { deferred.push_back(std::move(f)); }

  int guard_store(const std::function<void()>& f) {
    try {
      f();
      ++counters.writes;
      return 0;
    } catch (const StoreError& error) {
      std::snprintf(io.errmsg, sizeof io.errmsg, "%s", error.what());
      failure = error.what();
      // After a failed write libraft's leader drops the entry but stays leader, and may put another entry at
      // the same index and term. So a failed write is treated as a crash: the replica is created anew from
      // the stored state.
      broken = true;
      return error.kind == StoreError::Kind::kFull ? RAFT_NOSPACE : RAFT_IOERR;
    }
  }

  static int load(raft_io* io, raft_term* term, raft_id* vote, raft_snapshot** snapshot, raft_index* start,
                  raft_entry* entries[], size_t* n) {
    Impl& me = of(io);
    *term = me.stored.term;
    *vote = me.stored.vote;
    *snapshot = me.stored.snapshot ? to_raft_snapshot(*me.stored.snapshot) : nullptr;
    *start = me.stored.first_index;
    *n = me.stored.entries.size();
    *entries = to_entries(me.stored.entries);
    return 0;
  }

  // All data in one batch, as libraft expects of entries that it frees.
  static raft_entry* to_entries(const std::vector<StoredEntry>& from) {
    if (from.empty()) return nullptr;
    std::size_t size = 8;
    for (const StoredEntry& e : from) size += (e.data.size() + 7) / 8 * 8;
    auto* batch = static_cast<char*>(raft_malloc(size));
    auto* out = static_cast<raft_entry*>(raft_calloc(from.size(), sizeof(raft_entry)));
    if (batch == nullptr || out == nullptr) throw std::bad_alloc();
    std::size_t at = 0;
    for (std::size_t i = 0; i < from.size(); ++i) {
      std::memcpy(batch + at, from[i].data.data(), from[i].data.size());
      out[i].term = from[i].term;
      out[i].type = from[i].type;
      out[i].buf = {batch + at, from[i].data.size()};
      out[i].batch = batch;
      at += (from[i].data.size() + 7) / 8 * 8;
    }
    return out;
  }

  static raft_snapshot* to_raft_snapshot(const StoredSnapshot& from) {
    auto* out = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    if (out == nullptr) throw std::bad_alloc();
    out->index = from.index;
    out->term = from.term;
    fill_configuration(out->configuration, from.servers);
    out->configuration_index = from.configuration_index;
    out->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    out->bufs[0] = to_raft_buffer(from.data);
    out->n_bufs = 1;
    return out;
  }

  static int send(raft_io* io, raft_io_send* req, const raft_message* message, raft_io_send_cb cb) {
    Impl& me = of(io);
    Event e;
    e.kind = Event::Kind::kSend;
    e.to = message->server_id;
    e.name = message->server_address;
    e.bytes = encode(*message);
    me.events.push_back(std::move(e));
    // A leadership transfer sends its message without a callback.
    if (cb != nullptr) me.defer([req, cb] { cb(req, 0); });
    return 0;
  }

  struct Append {
    std::vector<StoredEntry> entries;
    raft_io_append* req;
    raft_io_append_cb cb;
  };
  static int append(raft_io* io, raft_io_append* req, const raft_entry entries[], unsigned n,
                    raft_io_append_cb cb) {
    Impl& me = of(io);
    Append a{{}, req, cb};
    for (unsigned i = 0; i < n; ++i)
      a.entries.push_back({entries[i].term, entries[i].type, std::string(view(entries[i].buf))});
    me.pending_appends.push_back(std::move(a));
    return 0;
  }

  // Writes all pending appends in one transaction (group commit).
  void write_pending() {
    if (pending_appends.empty()) return;
    const std::vector<Append> now_written = std::exchange(pending_appends, {});
    std::vector<StoredEntry> all;
    for (const Append& a : now_written) all.insert(all.end(), a.entries.begin(), a.entries.end());
    if (!closing) {
      if (guard_store([&] { store.append(last_index + 1, all); }) != 0) {  // kept: close() runs the callbacks
        pending_appends = now_written;
        return;
      }
      last_index += all.size();
      counters.entries_written += all.size();
    }
    // libraft 0.15 frees an entry twice if its append is reported as failed. So no append is ever reported as
    // failed: while closing, when libraft only frees memory, it is reported as done.
    for (const Append& a : now_written) defer([req = a.req, cb = a.cb] { cb(req, 0); });
  }

  static int put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* req,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
    Impl& me = of(io);
    me.defer([&me, trailing, req, snapshot, cb] {
      if (me.closing) return cb(req, RAFT_CANCELED);
      me.write_pending();
      StoredSnapshot s{snapshot->index, snapshot->term, servers_of(snapshot->configuration),
                       snapshot->configuration_index, ""};
      for (unsigned i = 0; i < snapshot->n_bufs; ++i) s.data += view(snapshot->bufs[i]);
      const int code = me.guard_store([&] { me.store.put_snapshot(s, trailing); });
      if (code == 0) {
        ++me.counters.snapshots;
        if (trailing == 0) me.last_index = s.index;
      }
      cb(req, code);
    });
    return 0;
  }

  static int get_snapshot(raft_io* io, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
    Impl& me = of(io);
    me.defer([&me, req, cb] {
      if (me.closing) return cb(req, nullptr, RAFT_CANCELED);
      std::optional<StoredSnapshot> s;
      const int code = me.guard_store([&] { s = me.store.load_snapshot(); });
      if (code != 0 || !s) return cb(req, nullptr, code != 0 ? code : RAFT_NOTFOUND);
      cb(req, to_raft_snapshot(*s), 0);
    });
    return 0;
  }

  static int apply(raft_fsm* fsm, const raft_buffer* buf, void** result) {
    Impl& me = of(fsm);
    *result = nullptr;
    Event e;
    e.kind = Event::Kind::kApplied;
    try {
      e.command = decode(view(*buf));
    } catch (const DecodeError&) {
      return 0;  // of another version: ignored by all voters alike
    }
    e.result = me.table.apply(e.command);
    me.events.push_back(std::move(e));
    return 0;
  }

  // Runs everything that a call has caused, until nothing is left.
  void run_pending() {
    while ((!pending_appends.empty() || !deferred.empty()) && (!broken || closing)) {
      write_pending();
      if (broken && !closing) break;
      std::deque<std::function<void()>> now_deferred = std::exchange(deferred, {});
      for (auto& f : now_deferred) f();
    }
    if (closing) return;
    const int state = raft_state(&raft);
    broken = broken || state == RAFT_UNAVAILABLE;
    if (broken) {
      lose_leadership();
      if (!std::exchange(failure_reported, true))
        emit(Event::Kind::kFailed, failure.empty() ? std::string(raft_errmsg(&raft)) : failure);
      return;
    }
    if (state != RAFT_LEADER) {
      lose_leadership();
      led_term = 0;
    } else if (led_term != raft.current_term) {
      lose_leadership();
      led_term = raft.current_term;
      // Once this barrier is applied, all entries of earlier terms are.
      if (!start_barrier(0)) led_term = 0;  // retried with the next call
      run_pending();
    }
  }
  void lose_leadership() {
    if (std::exchange(is_leader, false)) emit(Event::Kind::kLostLeadership, "");
  }
  void emit(Event::Kind kind, std::string bytes) {
    Event e;
    e.kind = kind;
    e.bytes = std::move(bytes);
    events.push_back(std::move(e));
  }

  struct Barrier {
    struct raft_barrier req {};
    Impl* me = nullptr;
    std::uint64_t number = 0, term = 0;
  };
  bool start_barrier(std::uint64_t number) {
    auto b = std::make_unique<Barrier>();
    b->me = this;
    b->number = number;
    b->term = raft.current_term;
    b->req.data = b.get();
    const int code = raft_barrier(&raft, &b->req, [](struct raft_barrier* req, int status) {
      const std::unique_ptr<Barrier> done(static_cast<Barrier*>(req->data));
      Impl& me = *done->me;
      if (status != 0 || me.closing) return;
      if (done->number == 0) {
        if (me.led_term == done->term && raft_state(&me.raft) == RAFT_LEADER &&
            !std::exchange(me.is_leader, true))
          me.emit(Event::Kind::kBecameLeader, "");
        return;
      }
      Event e;
      e.kind = Event::Kind::kBarrierDone;
      e.number = done->number;
      me.events.push_back(std::move(e));
    });
    if (code != 0) return false;
    b.release();
    return true;
  }

  struct Change {
    struct raft_change req {};
    Impl* me = nullptr;
    std::uint64_t id = 0;
    bool promote = false;
  };
  void finish_change(int status) {
    change_pending = false;
    emit(Event::Kind::kMembershipChanged, status == 0 ? "" : raft_strerror(status));
  }
  bool promote(std::uint64_t id) {
    auto c = std::make_unique<Change>();
    c->me = this;
    c->req.data = c.get();
    const int code = raft_assign(&raft, &c->req, id, RAFT_VOTER, [](raft_change* req, int status) {
      const std::unique_ptr<Change> done(static_cast<Change*>(req->data));
      done->me->finish_change(status);
    });
    if (code != 0) {
      finish_change(code);
      return false;
    }
    c.release();
    return true;
  }

  // Decodes and validates a message; false if no voter can have sent it. libraft is built without its
  // assertions and would process invalid messages. Memory that libraft frees later is allocated with its
  // allocator.
  bool decode_message(const msgpack::object& o, raft_message& m) {
    if (o.type != msgpack::type::ARRAY || o.via.array.size == 0) throw DecodeError("not a message");
    const std::uint32_t n = o.via.array.size;
    m.type = element_as<std::uint8_t>(o, 0, n);
    const bool leads_too = raft_state(&raft) == RAFT_LEADER;
    switch (m.type) {
      case RAFT_IO_REQUEST_VOTE: {
        auto& x = m.request_vote;
        x.term = bounded(o, 1, 7);
        x.candidate_id = bounded(o, 2, 7, kMaxId);
        x.last_log_index = bounded(o, 3, 7);
        x.last_log_term = bounded(o, 4, 7);
        x.disrupt_leader = element_as<bool>(o, 5, 7);
        x.pre_vote = element_as<bool>(o, 6, 7);
        return x.term > 0 && x.candidate_id == m.server_id;
      }
      case RAFT_IO_REQUEST_VOTE_RESULT: {
        auto& x = m.request_vote_result;
        x.term = bounded(o, 1, 4);
        x.vote_granted = element_as<bool>(o, 2, 4);
        x.pre_vote = static_cast<raft_tribool>(bounded(o, 3, 4, raft_tribool_false));
        return true;
      }
      case RAFT_IO_APPEND_ENTRIES: {
        auto& x = m.append_entries;
        x.term = bounded(o, 1, 6);
        x.prev_log_index = bounded(o, 2, 6);
        x.prev_log_term = bounded(o, 3, 6);
        x.leader_commit = bounded(o, 4, 6);
        if (x.term == 0 || x.prev_log_term > x.term || (x.prev_log_index == 0) != (x.prev_log_term == 0))
          return false;
        // There can't be two leaders in one term: one of the messages is forged.
        if (leads_too && x.term <= raft.current_term && x.term == raft.current_term) return false;
        std::vector<StoredEntry> entries;
        std::uint64_t before = x.prev_log_term;
        for (const msgpack::object* e : array_elements(element(o, 5, 6), kMaxEntriesPerMessage)) {
          StoredEntry one;
          one.term = bounded(*e, 0, 3);
          one.type = static_cast<std::uint16_t>(bounded(*e, 1, 3, RAFT_CHANGE));
          one.data = string_value(element(*e, 2, 3), 1 << 26);
          if (one.term == 0 || one.term < before || one.term > x.term || one.type == 0) return false;
          if (one.type == RAFT_CHANGE && !valid_configuration(one.data)) return false;
          if (x.prev_log_index == 0 && entries.empty() && one.type != RAFT_CHANGE) return false;
          before = one.term;
          entries.push_back(std::move(one));
        }
        x.n_entries = static_cast<unsigned>(entries.size());
        x.entries = to_entries(entries);
        return true;
      }
      case RAFT_IO_APPEND_ENTRIES_RESULT: {
        auto& x = m.append_entries_result;
        x.term = bounded(o, 1, 4);
        x.rejected = bounded(o, 2, 4);
        x.last_log_index = bounded(o, 3, 4);
        return true;
      }
      case RAFT_IO_INSTALL_SNAPSHOT: {
        auto& x = m.install_snapshot;
        x.term = bounded(o, 1, 7);
        x.last_index = bounded(o, 2, 7);
        x.last_term = bounded(o, 3, 7);
        x.conf_index = bounded(o, 4, 7);
        if (x.term == 0 || x.last_index == 0 || x.last_term == 0 || x.last_term > x.term ||
            x.conf_index == 0 || x.conf_index > x.last_index || (leads_too && x.term == raft.current_term)) {
          return false;
        }
        std::vector<StoredServer> servers;
        for (const msgpack::object* e : array_elements(element(o, 5, 7), kMaxServers)) {
          servers.push_back({bounded(*e, 0, 3, kMaxId), string_value(element(*e, 1, 3), 512),
                             static_cast<int>(bounded(*e, 2, 3, RAFT_SPARE))});
          const std::string& name = servers.back().name;
          if (servers.back().id == 0 || name.empty() || name.find('\0') != std::string::npos) return false;
        }
        const std::string data = string_value(element(o, 6, 7), 1 << 26);
        LeaseTable().restore(data);  // throws if the data is invalid
        if (servers.empty()) return false;
        fill_configuration(x.conf, servers);
        x.data = to_raft_buffer(data);
        return true;
      }
      case RAFT_IO_TIMEOUT_NOW: {
        auto& x = m.timeout_now;
        x.term = bounded(o, 1, 4);
        x.last_log_index = bounded(o, 2, 4);
        x.last_log_term = bounded(o, 3, 4);
        return x.term > 0;
      }
      default:
        return false;
    }
  }

  RaftSettings s;
  Store& store;
  double now;
  pcg64 random;
  StoredState stored;
  raft_io io{};
  raft_fsm fsm{};
  struct raft raft {};
  raft_io_tick_cb on_tick = nullptr;
  raft_io_recv_cb on_receive = nullptr;
  LeaseTable table;
  std::uint64_t last_index = 0;  // index of the last stored entry
  std::vector<Append> pending_appends;
  std::deque<std::function<void()>> deferred;
  std::vector<Event> events;
  bool started = false, closing = false, closed = false, is_leader = false, failure_reported = false,
       change_pending = false, broken = false;
  struct raft_transfer transfer {};
  bool transferring = false;
  std::uint64_t led_term = 0;
  std::string failure;
  Counters counters;
};

RaftReplica::RaftReplica(RaftSettings settings, Store& store, double now)
    : impl_(std::make_unique<Impl>(std::move(settings), store, now)) {}
RaftReplica::~RaftReplica() = default;

void RaftReplica::bootstrap(Store& store, const std::string& name) {
  const StoredState there = store.load();
  if (there.term != 0 || there.snapshot || !there.entries.empty())
    throw std::runtime_error("this voter's state is not new: it can't be used to found a cluster");
  raft_configuration c;
  raft_configuration_init(&c);
  raft_buffer buf{};
  if (raft_configuration_add(&c, there.id, name.c_str(), RAFT_VOTER) != 0 ||
      raft_configuration_encode(&c, &buf) != 0) {
    raft_configuration_close(&c);
    throw std::runtime_error("invalid voter name");
  }
  const std::string data(view(buf));
  raft_free(buf.base);
  raft_configuration_close(&c);
  store.set_term(1);
  store.append(1, {{1, RAFT_CHANGE, data}});
}

std::vector<RaftReplica::Event> RaftReplica::take_events() { return std::exchange(impl_->events, {}); }

void RaftReplica::tick(double now) {
  impl_->now = now;
  if (impl_->broken) return;
  impl_->on_tick(&impl_->io);
  impl_->run_pending();
}

void RaftReplica::receive(double now, std::uint64_t from, const std::string& name, std::string_view bytes) {
  impl_->now = now;
  if (impl_->broken) return;
  raft_message m{};
  m.server_id = from;
  m.server_address = name.c_str();
  bool good = false;
  try {
    good = from != 0 &&
           decode_msgpack(bytes, [&](const msgpack::object& o) { return impl_->decode_message(o, m); });
  } catch (const DecodeError&) {
  }
  if (!good) {
    ++impl_->counters.rejected_messages;
    return;
  }
  impl_->on_receive(&impl_->io, &m);
  impl_->run_pending();
}

bool RaftReplica::propose(double now, const std::vector<Command>& commands) {
  if (commands.empty()) return true;
  impl_->now = now;
  if (impl_->broken) return false;
  std::vector<raft_buffer> bufs;
  for (const Command& c : commands) bufs.push_back(to_raft_buffer(nettlestand::duties::encode(c)));
  auto* req = new ApplyRequest{};
  const int code = raft_apply(&impl_->raft, req, bufs.data(), static_cast<unsigned>(bufs.size()),
                              [](struct raft_apply* done, int, void*) { delete done; });
  if (code != 0) {
    for (const raft_buffer& b : bufs) raft_free(b.base);
    delete req;
  }
  impl_->run_pending();
  return code == 0;
}

bool RaftReplica::barrier(double now, std::uint64_t number) {
  impl_->now = now;
  if (impl_->broken) return false;
  const bool out = impl_->start_barrier(number);
  impl_->run_pending();
  return out;
}

bool RaftReplica::add_voter(double now, std::uint64_t id, const std::string& name) {
  impl_->now = now;
  if (impl_->change_pending || impl_->broken) return false;
  auto c = std::make_unique<Impl::Change>();
  c->me = impl_.get();
  c->id = id;
  c->req.data = c.get();
  const int code = raft_add(&impl_->raft, &c->req, id, name.c_str(), [](raft_change* req, int status) {
    const std::unique_ptr<Impl::Change> done(static_cast<Impl::Change*>(req->data));
    Impl& me = *done->me;
    if (status != 0 || me.closing) return me.finish_change(status);
    me.defer([&me, id = done->id] { me.promote(id); });
  });
  if (code != 0) return false;
  impl_->change_pending = true;
  c.release();
  impl_->run_pending();
  return true;
}

bool RaftReplica::promote_voter(double now, std::uint64_t id) {
  impl_->now = now;
  if (impl_->change_pending || impl_->broken) return false;
  impl_->change_pending = true;
  const bool out = impl_->promote(id);
  impl_->run_pending();
  return out;
}

bool RaftReplica::remove_voter(double now, std::uint64_t id) {
  impl_->now = now;
  if (impl_->change_pending || impl_->broken) return false;
  auto c = std::make_unique<Impl::Change>();
  c->me = impl_.get();
  c->req.data = c.get();
  const int code = raft_remove(&impl_->raft, &c->req, id, [](raft_change* req, int status) {
    const std::unique_ptr<Impl::Change> done(static_cast<Impl::Change*>(req->data));
    done->me->finish_change(status);
  });
  if (code != 0) return false;
  impl_->change_pending = true;
  c.release();
  impl_->run_pending();
  return true;
}

void RaftReplica::transfer_leadership(double now) {
  impl_->now = now;
  if (impl_->transferring || impl_->broken || raft_state(&impl_->raft) != RAFT_LEADER) return;
  impl_->transfer.data = impl_.get();
  impl_->transferring = raft_transfer(&impl_->raft, &impl_->transfer, 0, [](struct raft_transfer* t) {
                          static_cast<Impl*>(t->data)->transferring = false;
                        }) == 0;
  impl_->run_pending();
}

bool RaftReplica::is_leader() const { return impl_->is_leader; }
std::uint64_t RaftReplica::id() const { return impl_->stored.id; }
std::uint64_t RaftReplica::start_count() const { return impl_->stored.start_count; }
std::uint64_t RaftReplica::start_id() const { return impl_->stored.start_id; }
std::uint64_t RaftReplica::term() const { return impl_->raft.current_term; }
const char* RaftReplica::state_name() const {
  switch (raft_state(&impl_->raft)) {
    case RAFT_FOLLOWER:
      return "follower";
    case RAFT_CANDIDATE:
      return "candidate";
    case RAFT_LEADER:
      return "leader";
    default:
      return "unavailable";
  }
}
std::uint64_t RaftReplica::last_index() const { return raft_last_index(&impl_->raft); }
const LeaseTable& RaftReplica::table() const { return impl_->table; }
const RaftReplica::Counters& RaftReplica::counters() const { return impl_->counters; }

std::uint64_t RaftReplica::leader_id(std::string* name) const {
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(&impl_->raft, &id, &address);
  if (name != nullptr) *name = address != nullptr ? address : "";
  return id;
}

std::vector<VoterInfo> RaftReplica::voters() const {
  std::vector<VoterInfo> out;
  for (const StoredServer& s : servers_of(impl_->raft.configuration))
    out.push_back({s.id, s.name, static_cast<VoterRole>(s.role)});
  return out;
}

}  // namespace nettlestand::duties
