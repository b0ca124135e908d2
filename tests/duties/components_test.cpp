// The components of leases by themselves: the wire format, the selection of a voter, the lease holder, a
// voter's store under I/O errors and kills, hostile Raft messages, and the report's database.
#include <gtest/gtest.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <random>

#include "cluster.h"
#include "duties/sqlite.h"
#include "duties/sqlite_fencing_checker.h"
#include "report/report_store.h"

namespace nettlestand::duties::testing {
namespace {

// A directory that is removed with the object.
struct TemporaryDirectory {
  TemporaryDirectory() {
    std::string name = ::testing::TempDir() + "nettlestand_duties_XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
    path = name;
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path, ignored);
  }
  std::string path;
};

// Wire format

Frame make_hello(const std::string& name) {
  Frame f;
  f.kind = Frame::Kind::kHello;
  f.cluster = "c";
  f.sender = {name, 7, "a", "west"};
  f.nonce = std::string(kNonceBytes, name[0]);
  return f;
}
Frame make_requests_frame() {
  Frame f;
  f.kind = Frame::Kind::kRequests;
  Request r;
  r.kind = Request::Kind::kDefine;
  r.duty = "d";
  r.settings = {"d", 2.5, {"a"}, {"x", "y"}, {"n9"}};
  f.requests = {r, Request()};
  f.requests[1].kind = Request::Kind::kRenew;
  f.requests[1].token = 99;
  return f;
}
// Two ends of a connection that have sent each other their hello.
struct ChannelPair {
  explicit ChannelPair(Keys a_keys = {}, Keys b_keys = {})
      : a(a_keys, std::string(kNonceBytes, 'a'), kMaxFrameBytes),
        b(b_keys, std::string(kNonceBytes, 'b'), kMaxFrameBytes) {
    b.append_received(a.seal(make_hello("a")));
    a.append_received(b.seal(make_hello("b")));
  }
  Channel a, b;
};

TEST(DutiesWire, CarriesAllThatFramesSay) {
  ChannelPair pair;
  EXPECT_EQ(pair.b.next_frame()->sender.zone, "a");
  ASSERT_TRUE(pair.a.next_frame());
  const std::string bytes = pair.a.seal(make_requests_frame());
  for (const char c : bytes) pair.b.append_received({&c, 1});
  const auto f = pair.b.next_frame();
  ASSERT_TRUE(f && f->requests.size() == 2);
  EXPECT_EQ(f->requests[0].settings, make_requests_frame().requests[0].settings);
  EXPECT_EQ(f->requests[1].token, 99U);
  EXPECT_FALSE(pair.b.next_frame());
}

TEST(DutiesWire, WhatIsChangedDoubledLeftOutOrOfAnotherConnectionIsNotTaken) {
  const auto expect_rejected = [](ChannelPair& pair, const std::string& bytes) {
    pair.b.append_received(bytes);
    EXPECT_THROW(pair.b.next_frame(), DecodeError);
  };
  const auto exchange_hellos = [](ChannelPair& pair) {
    pair.a.next_frame();
    pair.b.next_frame();
  };
  std::string recorded;
  {
    ChannelPair pair;
    exchange_hellos(pair);
    recorded = pair.a.seal(make_requests_frame());
    pair.b.append_received(recorded);
    EXPECT_TRUE(pair.b.next_frame());
    expect_rejected(pair, recorded);  // replayed
  }
  for (std::size_t i = 4; i < recorded.size(); i += 7) {
    ChannelPair pair;
    exchange_hellos(pair);
    std::string changed = pair.a.seal(make_requests_frame());
    changed[i] = static_cast<char>(changed[i] ^ 1);
    expect_rejected(pair, changed);
  }
  {
    ChannelPair pair;
    exchange_hellos(pair);
    pair.a.seal(make_requests_frame());
    expect_rejected(pair, pair.a.seal(make_requests_frame()));  // the frame before it is missing
  }
  {  // recorded on another connection, which has another nonce
    ChannelPair pair;
    Channel b({}, std::string(kNonceBytes, 'z'), kMaxFrameBytes);
    b.append_received(pair.a.seal(make_hello("a")));
    ASSERT_TRUE(b.next_frame());
    b.append_received(recorded);
    EXPECT_THROW(b.next_frame(), DecodeError);
  }
}

TEST(DutiesWire, KeysAreNeededAndTwoAreTakenForAChange) {
  const std::string one(32, '1'), two(32, '2');
  const auto accepted = [](Keys a, Keys b) {
    ChannelPair pair(a, b);
    try {
      return pair.b.next_frame().has_value();
    } catch (const DecodeError&) {
      return false;
    }
  };
  EXPECT_TRUE(accepted({{one}}, {{one}}));
  EXPECT_TRUE(accepted({{one}}, {{two, one}}));
  EXPECT_FALSE(accepted({{one}}, {{two}}));
  EXPECT_FALSE(accepted({}, {{one}}));
  EXPECT_THROW(Channel({{"short"}}, std::string(kNonceBytes, 'n'), 100), std::runtime_error);
}

TEST(DutiesWire, BytesThatAreNoneEndTheConnectionAndNothingElse) {
  std::mt19937_64 random(3);
  const std::string frame = encode(make_requests_frame());
  for (int i = 0; i < 20000; ++i) {
    std::string bytes = frame;
    for (std::uint64_t k = 1 + random() % 4; k > 0; --k)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 4 == 0) bytes.resize(random() % bytes.size());
    try {
      decode_frame(bytes);
    } catch (const DecodeError&) {
    }
  }
  ChannelPair pair;
  pair.b.append_received(std::string(2000, '\x7f'));
  EXPECT_THROW(pair.b.next_frame() && pair.b.next_frame(), DecodeError);
}

// Selection of a voter

TEST(DutiesWay, GoesRoundTheVotersAndToTheLeaderAndBack) {
  VoterSelectorSettings settings;
  VoterSelector selector(3, 1, settings);
  EXPECT_EQ(selector.target(), 1U);
  selector.on_failed(0);
  EXPECT_EQ(selector.target(), 2U);
  selector.on_connected(0.1);
  EXPECT_FALSE(selector.on_leader_hint(0.1, 2));
  EXPECT_FALSE(selector.on_leader_hint(0.1, 7));
  EXPECT_FALSE(selector.on_leader_hint(0.1, 1)) << "it has just failed";
  ASSERT_TRUE(selector.on_leader_hint(0.2, 0));
  EXPECT_EQ(selector.target(), 0U);
  EXPECT_TRUE(selector.following_hint());
  selector.on_hint_failed(0.3);
  EXPECT_EQ(selector.target(), 2U) << "the voter that gave the hint still forwards requests";
  selector.on_connected(0.4);
  selector.on_request_sent(0.5);
  EXPECT_FALSE(selector.timed_out(1.4));
  EXPECT_TRUE(selector.timed_out(1.5));
  selector.on_frame_received(1.5);
  EXPECT_FALSE(selector.timed_out(1.6));
  EXPECT_TRUE(selector.wants_ping(1.5 + settings.ping_after_idle));
  EXPECT_FALSE(selector.on_leaderless(4));
  selector.on_leader_known();
  EXPECT_FALSE(selector.on_leaderless(5.5));
  EXPECT_TRUE(selector.on_leaderless(6.6));
  EXPECT_EQ(selector.target(), 0U);
}

TEST(DutiesWay, PausesGrowByRoundsToABound) {
  VoterSelectorSettings settings;
  VoterSelector selector(2, 0, settings);
  double at = 0, longest = 0;
  for (int i = 0; i < 40; ++i) {
    selector.on_failed(at);
    longest = selector.next_attempt_at() - at;
    at = selector.next_attempt_at();
  }
  EXPECT_EQ(longest, settings.max_backoff);
}

// Lease holder

TEST(DutiesHolding, WhatStopsSlowlyIsGivenBackOnceItHasStopped) {
  LeaseHolderSettings settings;
  settings.self = {"n", 1, "", ""};
  LeaseHolder holder(settings);
  LeaseHolder::Actions actions;
  holder.acquire(0, "d", actions, true);
  Reply granted;
  granted.kind = Reply::Kind::kGranted;
  granted.duty = "d";
  granted.token = 5;
  actions = {};
  holder.on_reply(0, granted, actions);
  Reply renewed = granted;
  renewed.kind = Reply::Kind::kRenewed;
  renewed.lease_seconds = 2;
  renewed.seq = actions.requests.at(0).seq;
  holder.on_reply(0.1, renewed, actions);
  ASSERT_EQ(holder.held_token(1, "d"), 5U);
  Reply hand_over = granted;
  hand_over.kind = Reply::Kind::kHandOver;
  actions = {};
  holder.on_reply(1, hand_over, actions);
  EXPECT_FALSE(holder.held_token(1, "d")) << "no further effect may begin";
  ASSERT_EQ(actions.changes.size(), 1U);
  EXPECT_TRUE(actions.requests.empty()) << "the lease must not be released before the work has stopped";
  EXPECT_NEAR(holder.held_until("d"), 2 * (1 - settings.drift), 1e-9);
  holder.tick(1.5, actions);
  holder.on_leader_changed(1.5, actions);
  EXPECT_TRUE(actions.requests.empty());
  holder.confirm_stopped(1.6, "d", actions);
  ASSERT_EQ(actions.requests.size(), 1U);
  EXPECT_EQ(actions.requests[0].kind, Request::Kind::kRelease);
}

TEST(DutiesHolding, AfterALapseItIsHeldAgainByANewTokenAlone) {
  LeaseHolderSettings settings;
  settings.self = {"n", 1, "", ""};
  LeaseHolder holder(settings);
  LeaseHolder::Actions actions;
  holder.acquire(0, "d", actions);
  Reply reply;
  reply.kind = Reply::Kind::kGranted;
  reply.duty = "d";
  reply.token = 5;
  actions = {};
  holder.on_reply(0, reply, actions);
  reply.kind = Reply::Kind::kRenewed;
  reply.lease_seconds = 1;
  reply.seq = actions.requests.at(0).seq;
  holder.on_reply(0.1, reply, actions);
  actions = {};
  holder.tick(1.1, actions);
  ASSERT_EQ(actions.changes.size(), 1U);
  EXPECT_EQ(actions.changes[0].loss_reason, LeaseHolder::LossReason::kExpired);
  ASSERT_FALSE(actions.requests.empty());
  EXPECT_EQ(actions.requests[0].kind, Request::Kind::kRelease);
  // A late confirmation of an earlier renewal changes nothing.
  holder.on_reply(1.2, reply, actions);
  EXPECT_FALSE(holder.held_token(1.2, "d"));
}

// Store of a voter

// SQLite's default VFS in which one chosen write, truncation or sync fails.
struct FailingVfs {
  static FailingVfs& instance() {
    static FailingVfs one;
    return one;
  }
  int fail_after_calls = -1;  // calls that still succeed before one fails; negative: none fails
  int call_count = 0;
  bool fails() {
    ++call_count;
    return fail_after_calls >= 0 && fail_after_calls-- == 0;
  }

 private:
  struct File {
    sqlite3_file base;
    sqlite3_file* real;
  };
  static sqlite3_file* real(sqlite3_file* f) { return reinterpret_cast<File*>(f)->real; }
  FailingVfs() {
    default_vfs_ = sqlite3_vfs_find(nullptr);
    vfs_ = *default_vfs_;
    vfs_.zName = "failing";
    vfs_.szOsFile = static_cast<int>(sizeof(File)) + default_vfs_->szOsFile;
    vfs_.xOpen = [](sqlite3_vfs*, const char* name, sqlite3_file* f, int flags, int* out) {
      File* file = reinterpret_cast<File*>(f);
      file->real = reinterpret_cast<sqlite3_file*>(file + 1);
      file->base.pMethods = nullptr;
      const int code = instance().default_vfs_->xOpen(instance().default_vfs_, name, file->real, flags, out);
      if (code == SQLITE_OK) file->base.pMethods = &instance().methods_;
      return code;
    };
    methods_.iVersion = 1;  // no shared memory: one process uses a voter's file
    methods_.xClose = [](sqlite3_file* f) { return real(f)->pMethods->xClose(real(f)); };
    methods_.xRead = [](sqlite3_file* f, void* to, int n, sqlite3_int64 at) {
      return real(f)->pMethods->xRead(real(f), to, n, at);
    };
    methods_.xWrite = [](sqlite3_file* f, const void* from, int n, sqlite3_int64 at) {
      if (instance().fails()) {  // a torn write: only half the data is written
        real(f)->pMethods->xWrite(real(f), from, n / 2, at);
        return SQLITE_FULL;
      }
      return real(f)->pMethods->xWrite(real(f), from, n, at);
    };
    methods_.xTruncate = [](sqlite3_file* f, sqlite3_int64 size) {
      return instance().fails() ? SQLITE_IOERR_TRUNCATE : real(f)->pMethods->xTruncate(real(f), size);
    };
    methods_.xSync = [](sqlite3_file* f, int flags) {
      return instance().fails() ? SQLITE_IOERR_FSYNC : real(f)->pMethods->xSync(real(f), flags);
    };
    methods_.xFileSize = [](sqlite3_file* f, sqlite3_int64* size) {
      return real(f)->pMethods->xFileSize(real(f), size);
    };
    methods_.xLock = [](sqlite3_file* f, int kind) { return real(f)->pMethods->xLock(real(f), kind); };
    methods_.xUnlock = [](sqlite3_file* f, int kind) { return real(f)->pMethods->xUnlock(real(f), kind); };
    methods_.xCheckReservedLock = [](sqlite3_file* f, int* out) {
      return real(f)->pMethods->xCheckReservedLock(real(f), out);
    };
    methods_.xFileControl = [](sqlite3_file* f, int op, void* arg) {
      return real(f)->pMethods->xFileControl(real(f), op, arg);
    };
    methods_.xSectorSize = [](sqlite3_file* f) { return real(f)->pMethods->xSectorSize(real(f)); };
    methods_.xDeviceCharacteristics = [](sqlite3_file* f) {
      return real(f)->pMethods->xDeviceCharacteristics(real(f));
    };
    sqlite3_vfs_register(&vfs_, 1);
  }
  sqlite3_vfs* default_vfs_ = nullptr;
  sqlite3_vfs vfs_{};
  sqlite3_io_methods methods_{};
};

// The content of a store as text.
std::string describe_state(const StoredState& s) {
  std::string out =
      "t" + std::to_string(s.term) + "v" + std::to_string(s.vote) + "f" + std::to_string(s.first_index);
  for (const StoredEntry& e : s.entries) out += "|" + std::to_string(e.term) + e.data;
  if (s.snapshot) out += "S" + std::to_string(s.snapshot->index) + s.snapshot->data;
  return out;
}
// Applies the i-th of a fixed sequence of store operations; `last` is the index of the last entry.
void apply_step(Store& s, int i, std::uint64_t& last) {
  switch (i % 6) {
    case 0:
      return s.set_term(static_cast<std::uint64_t>(i) + 1);
    case 1:
      return s.set_vote(77);
    case 2:
    case 3:
      s.append(last + 1, {{1, 1, "entry" + std::to_string(i)}, {1, 2, std::string(3000, 'x')}});
      last += 2;
      return;
    case 4:
      s.truncate(last);
      --last;
      return;
    default:
      s.put_snapshot({last, 1, {{5, "v0", 1}}, 1, "table" + std::to_string(i)}, 2);
      return;
  }
}

TEST(DutiesStore, EachCallOfTheFileLayerMayFailInTurn) {
  FailingVfs& vfs = FailingVfs::instance();
  int calls = 0;
  for (int failing_call = 0; failing_call < 400; ++failing_call) {
    TemporaryDirectory directory;
    vfs.fail_after_calls = -1;
    SqliteStore::create(directory.path);
    std::string before, after;
    bool failed = false;
    {
      SqliteStore store(directory.path);
      store.load();
      MemoryStore model(1);
      std::uint64_t last = 0, model_last = 0;
      vfs.fail_after_calls = failing_call;
      for (int i = 0; i < 18 && !failed; ++i) {
        before = describe_state(model.load());
        apply_step(model, i, model_last);
        after = describe_state(model.load());
        try {
          apply_step(store, i, last);
        } catch (const StoreError&) {
          failed = true;
        }
      }
    }
    vfs.fail_after_calls = -1;
    SqliteStore reopened(directory.path);
    const std::string content = describe_state(reopened.load());
    // An operation is stored whole or not at all, and completed operations are kept.
    if (failed) {
      EXPECT_TRUE(content == before || content == after) << failing_call << ": " << content.substr(0, 200);
    } else {
      EXPECT_EQ(content, after) << failing_call;
      calls = failing_call;
      break;
    }
  }
  EXPECT_GT(calls, 40) << "too few calls were failed in turn to cover the whole sequence";
}

TEST(DutiesStore, KilledAtAnyMomentItHasWhatItHasAnsweredFor) {
  std::mt19937_64 random(11);
  for (int run = 0; run < 40; ++run) {
    TemporaryDirectory directory;
    SqliteStore::create(directory.path);
    int pipe_ends[2];
    ASSERT_EQ(pipe(pipe_ends), 0);
    const pid_t child = fork();
    if (child == 0) {
      close(pipe_ends[0]);
      SqliteStore store(directory.path);
      store.load();
      std::uint64_t last = 0;
      for (int i = 0; i < 6000; ++i) {
        apply_step(store, i, last);
        if (write(pipe_ends[1], &i, sizeof i) != sizeof i) _exit(1);
      }
      _exit(0);
    }
    close(pipe_ends[1]);
    usleep(static_cast<useconds_t>(2000 + random() % 30000));
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    int last_completed = -1;
    for (int i = 0; read(pipe_ends[0], &i, sizeof i) == sizeof i;) last_completed = i;
    close(pipe_ends[0]);
    MemoryStore model(1);
    std::uint64_t last = 0;
    for (int i = 0; i <= last_completed; ++i) apply_step(model, i, last);
    const std::string completed_content = describe_state(model.load());
    apply_step(model, last_completed + 1, last);
    const std::string next_content = describe_state(model.load());
    SqliteStore reopened(directory.path);
    const std::string content = describe_state(reopened.load());
    EXPECT_TRUE(content == completed_content || content == next_content)
        << "after " << last_completed << " steps: " << content.substr(0, 200);
  }
}

TEST(DutiesStore, IsOneProcesssAndOneIdentitys) {
  TemporaryDirectory directory;
  EXPECT_THROW(SqliteStore{directory.path}, StoreError);
  const std::uint64_t id = SqliteStore::create(directory.path);
  EXPECT_THROW(SqliteStore::create(directory.path), StoreError);
  SqliteStore store(directory.path);
  EXPECT_EQ(store.load().id, id);
  try {
    SqliteStore other(directory.path);
    other.load();
    FAIL() << "the same store was opened twice";
  } catch (const StoreError& error) {
    EXPECT_EQ(error.kind, StoreError::Kind::kLocked);
  }
  EXPECT_TRUE(store.record_peer_start(9, 3, 100));
  EXPECT_TRUE(store.record_peer_start(9, 3, 100));
  EXPECT_FALSE(store.record_peer_start(9, 3, 101)) << "another run with the same start count";
  EXPECT_FALSE(store.record_peer_start(9, 2, 90))
      << "an earlier start: its state was restored from an old copy";
  EXPECT_TRUE(store.record_peer_start(9, 4, 110));
}

// Hostile and replayed Raft messages

TEST(DutiesAgreement, HostileMessagesNeitherEndAVoterNorChangeWhatIsAgreed) {
  ClusterSettings s;
  s.duties = {{"d0", 1, {}, {}, {}}};
  std::vector<std::string> recorded;
  std::mt19937_64 random(5);
  for (int round = 0; round < 6; ++round) {
    Cluster cluster(s, static_cast<std::uint64_t>(round) + 1);
    ASSERT_TRUE(cluster.start());
    cluster.on_raft_message = [&](const std::string& bytes) {
      if (recorded.size() < 500) recorded.push_back(bytes);
    };
    cluster.run(3);
    cluster.on_raft_message = {};
    ASSERT_FALSE(recorded.empty());
    for (int i = 0; i < 3000; ++i) {
      std::string bytes = recorded[random() % recorded.size()];
      for (std::uint64_t k = 1 + random() % 3; k > 0; --k)
        bytes[random() % bytes.size()] = static_cast<char>(random());
      if (random() % 8 == 0) bytes.resize(random() % bytes.size());
      // To any voter, as if from any voter or from one that is not a member.
      const std::size_t to = random() % 3, from = random() % 4;
      auto* v = cluster.voter(to);
      if (v == nullptr || !v->voter || v->voter->failed()) continue;
      Frame frame;
      frame.kind = Frame::Kind::kRaft;
      frame.bytes = bytes;
      Voter::OutgoingFrames outgoing;
      const std::uint64_t id =
          from < 3 && cluster.voter(from)->voter ? cluster.voter(from)->voter->raft().id() : 4242;
      v->voter->on_voter_frame(100 + cluster.sim.now(), id, "v" + std::to_string(from % 3), frame, outgoing);
      if (i % 300 == 0) cluster.run(0.1);
    }
    // The voters go on, and each duty has at most one holder.
    for (int i = 0; i < 500 && !cluster.all_held(); ++i) cluster.run(0.02);
    EXPECT_EQ(cluster.violation, "");
  }
}

TEST(DutiesAgreement, MessagesThatComeTwiceAndAMinuteLateChangeNothing) {
  ClusterSettings s;
  s.duties = {{"d0", 1, {}, {}, {}}};
  Cluster cluster(s, 21);
  ASSERT_TRUE(cluster.start());
  std::vector<std::string> recorded;
  cluster.on_raft_message = [&](const std::string& bytes) {
    if (recorded.size() < 3000) recorded.push_back(bytes);
  };
  cluster.run(5);
  // Another leader takes over before the recorded messages are delivered again, about a minute late.
  cluster.sim.kill(static_cast<emulator::ActorId>(cluster.leader()->index));
  cluster.run(5);
  for (emulator::ActorId v = 0; v < 3; ++v) cluster.sim.start(v);
  cluster.run(50);
  cluster.on_raft_message = {};
  ASSERT_TRUE(cluster.all_held());
  const std::uint64_t term = cluster.leader()->voter->raft().term();
  const Token token = cluster.leader()->voter->raft().table().last_token();
  for (int round = 0; round < 2; ++round) {
    for (const std::string& bytes : recorded) {
      for (std::size_t to = 0; to < 3; ++to) {
        for (std::size_t from = 0; from < 3; ++from) {
          if (from == to || cluster.voter(to)->voter->failed()) continue;
          Frame frame;
          frame.kind = Frame::Kind::kRaft;
          frame.bytes = bytes;
          Voter::OutgoingFrames outgoing;
          cluster.voter(to)->voter->on_voter_frame(100 + cluster.sim.now(),
                                                   cluster.voter(from)->voter->raft().id(),
                                                   "v" + std::to_string(from), frame, outgoing);
        }
      }
    }
    cluster.run(1);
  }
  for (int i = 0; i < 300 && !cluster.all_held(); ++i) cluster.run(0.02);
  EXPECT_EQ(cluster.violation, "");
  EXPECT_TRUE(cluster.all_held());
  ASSERT_NE(cluster.leader(), nullptr);
  EXPECT_GE(cluster.leader()->voter->raft().term(), term);
  EXPECT_GE(cluster.leader()->voter->raft().table().last_token(), token);
}

// Database of the report

TEST(DutiesBook, CountsNothingTwiceAndLosesNothingWhoeverWrites) {
  TemporaryDirectory directory;
  const std::string path = directory.path + "/book.db";
  std::mt19937_64 random(9);
  std::uint64_t expected_total = 0;
  std::map<std::string, report::AnswerCounter> nodes;
  std::vector<report::NodeCounts> old;
  Token token = 1;
  for (int period = 0; period < 60; ++period) {
    std::vector<report::NodeCounts> node_counts;
    for (int n = 0; n < 4; ++n) {
      const std::string name = "n" + std::to_string(n);
      auto& counter = nodes.try_emplace(name, 0, "a", std::vector<std::string>{"x", "y"}).first->second;
      for (std::uint64_t k = random() % 20; k > 0; --k) {
        counter.add(random() % 2, report::AnswerOutcome::kServed, 0.01);
        ++expected_total;
      }
      if (random() % 3 != 0 || period == 59) node_counts.push_back({name, 1, counter.counts()});
    }
    // Late counts of earlier periods in any order, a writer that dies before its commit, and a writer whose
    // lease has passed to another.
    if (!old.empty()) node_counts.push_back(old[random() % old.size()]);
    std::shuffle(node_counts.begin(), node_counts.end(), random);
    old.insert(old.end(), node_counts.begin(), node_counts.end());
    report::ReportStore store(path);
    if (random() % 4 == 0) {
      store.before_commit = [] { throw std::runtime_error("died"); };
      EXPECT_THROW(store.close_period(token, "n0", 1000 + period, node_counts), std::runtime_error);
      store.before_commit = {};
    }
    if (random() % 3 == 0) ++token;
    EXPECT_EQ(store.close_period(token, "n0", 1000 + period, node_counts),
              report::ReportStore::CloseResult::kWritten);
    if (token > 1) {
      EXPECT_EQ(store.close_period(token - 1, "n1", 1000 + period, node_counts),
                report::ReportStore::CloseResult::kStale);
    }
  }
  std::uint64_t sum = 0;
  const auto periods = report::ReportStore(path).periods(1000);
  ASSERT_EQ(periods.size(), 60U);
  for (std::size_t i = 0; i < periods.size(); ++i) {
    EXPECT_EQ(periods[i].number, i + 1);
    for (const auto& [key, counts] : periods[i].counts) sum += counts.served;
  }
  EXPECT_EQ(sum, expected_total);
  EXPECT_NE(report::to_csv(periods).find("\n60,"), std::string::npos);
  const std::string plot_path = directory.path + "/plot.svg";
  report::write_plot(periods, plot_path);
  EXPECT_GT(std::filesystem::file_size(plot_path), 1000U);
}

TEST(DutiesBook, CountsAreReadOrRefusedWhole) {
  report::AnswerCounter counter(1, "a", {"x"});
  counter.add(0, report::AnswerOutcome::kServed, 0.0004);
  counter.add(0, report::AnswerOutcome::kServed, 1e9);
  counter.add(0, report::AnswerOutcome::kRefused, 0);
  counter.add(5, report::AnswerOutcome::kFailed, 0);
  const std::string bytes = report::encode(counter.counts());
  EXPECT_EQ(report::decode(bytes), counter.counts());
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    EXPECT_THROW(report::decode(bytes.substr(0, i)), std::runtime_error);
  }
  EXPECT_NEAR(report::quantile(counter.counts().begin()->second, 0.1), 0.0005, 1e-9);
}

}  // namespace
}  // namespace nettlestand::duties::testing
