// Cancels requests and kills, drains and cold-starts servers at random for 30 s, and then checks what the
// stand-in servers saw against four rules: no request is lost, no effect happens twice, draining servers get
// no new requests, and cold servers are not overloaded. NETTLESTAND_RANDOM_SECONDS sets another duration. The
// seed is fixed but timing is not, so only the rules decide the result.
#include <atomic>
#include <cstdlib>
#include <future>
#include <iostream>
#include <random>
#include <thread>

#include "standins/common/http.h"
#include "standins/standins.h"
#include "tests/library/application.h"

namespace nettlestand::testing {
namespace {

namespace si = standins;

double run_seconds() {
  const char* other = std::getenv("NETTLESTAND_RANDOM_SECONDS");
  return other != nullptr ? std::atof(other) : 30;
}

// A class of requests: for the gateway and for the checker of the rules.
struct Class {
  const char* name;
  Effect effect;
  si::CheckedClass::Effect checked;
};
constexpr Class kClasses[] = {{"look", Effect::kSafe, si::CheckedClass::Effect::kSafe},
                              {"mark", Effect::kKeyed, si::CheckedClass::Effect::kKeyed},
                              {"close", Effect::kUnsafe, si::CheckedClass::Effect::kUnsafe}};

TEST(RandomRules, HoldOverLoopback) {
  si::LoopThread thread;
  si::Recorder recorder;
  si::ScriptedDiscovery discovery(thread.loop(), &recorder, 0.5);
  std::vector<std::unique_ptr<si::ScriptedServer>> servers;
  std::vector<si::ServerEntry> listings;
  const auto add = [&](int cell) {
    si::ServerSettings settings;
    settings.name = "s" + std::to_string(servers.size());
    settings.seed = servers.size() + 1;
    settings.cores = 4;
    settings.service_time = 0.002;
    settings.exponential = true;
    settings.recorder = &recorder;
    servers.push_back(std::make_unique<si::ScriptedServer>(thread.loop(), settings));
    si::ServerEntry listing;
    listing.host = settings.name;
    listing.port = servers.back()->port();
    listing.block = cell;
    listings.push_back(listing);
  };
  for (int i = 0; i < 6; ++i) add(i / 2);
  discovery.update(listings);

  Options custom = options({}, 1500);
  custom.discovery = "127.0.0.1:" + std::to_string(discovery.endpoint("n1"));
  custom.classes[1].dedup = Dedup::kCell;
  custom.start_capacity = 0.3;
  custom.ramp_time = std::chrono::seconds(6);
  std::mutex log_mutex;
  std::string log;  // printed if NETTLESTAND_RANDOM_LOG is set, to find the cause of a failure
  custom.logger = [&](std::string_view line) {
    const std::lock_guard lock(log_mutex);
    log.append(line).append("\n");
  };
  auto gateway = open(custom);
  until([&] { return gateway->ready(); });

  struct SubmittedRequest {
    std::size_t record = 0;
    Ticket ticket = 0;
    std::atomic<bool> done = false;
    std::atomic<int> completions = 0;
  };
  std::atomic<bool> finished = false;
  std::atomic<std::uint64_t> outcomes[7] = {};
  std::atomic<int> completion_errors = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&, t] {
      std::mt19937_64 random(static_cast<std::uint64_t>(t) + 1);
      std::vector<std::shared_ptr<SubmittedRequest>> submitted;
      for (std::uint64_t i = 0; !finished; ++i) {
        const Class& c = kClasses[random() % 3];
        Request r = request(c.name, std::string(random() % 2000, 'q'));
        r.id = "t" + std::to_string(t) + "-" + std::to_string(i);
        if (c.effect == Effect::kKeyed) r.idempotency_key = "k" + r.id;
        r.timeout = std::chrono::milliseconds(200 + random() % 1200);
        si::CallRecord record;
        record.node = "n1";
        record.id = r.id;
        record.request_class = c.name;
        record.key = r.idempotency_key;
        record.timeout = std::chrono::duration<double>(r.timeout).count();
        record.first_byte_at = record.sent_at = si::now();
        auto tracked = std::make_shared<SubmittedRequest>();
        tracked->record = recorder.open(record);
        const std::uint64_t digest = si::digest_of(r.body);
        tracked->ticket =
            gateway->submit(std::move(r), [&, tracked, digest, id = record.id](Response response) {
              const double at = si::now();
              if (++tracked->completions != 1) ++completion_errors;
              ++outcomes[static_cast<std::size_t>(response.outcome)];
              if (response.outcome == Outcome::kServed && response.body != si::answer_body(id, digest, 0))
                ++completion_errors;
              recorder.call(tracked->record, [&](si::CallRecord& call) {
                call.answered_at = at;
                call.end = si::CallEnd::kAnswered;
                call.status = response.status();
                call.answer_digest = si::digest_of(response.body);
              });
              tracked->done = true;
            });
        submitted.push_back(tracked);
        // About a tenth of the requests are cancelled, at random moments.
        if (random() % 5 == 0) gateway->cancel(submitted[random() % submitted.size()]->ticket);
        while (submitted.size() > 16 && !finished) {
          std::erase_if(submitted, [](const auto& m) { return m->done.load(); });
          std::this_thread::sleep_for(std::chrono::microseconds(300));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1 + random() % 6));
      }
    });
  }

  // Injects one fault after another into the servers. Each cell keeps one healthy server.
  std::mt19937_64 random(7);
  const double started_at = si::now();
  const auto pause = [&](double min, double max) {
    std::this_thread::sleep_for(
        std::chrono::duration<double>(min + (max - min) * static_cast<double>(random() % 1000) / 1000));
  };
  int kills = 0, drains = 0, cold_starts = 0;
  while (si::now() - started_at < run_seconds()) {
    const std::size_t index = random() % 6;
    si::ServerEntry& listing = listings[index];
    switch (random() % 3) {
      case 0:  // killed and restarted shortly after
        ++kills;
        servers[index]->run("crash for " + std::to_string(0.1 + static_cast<double>(random() % 8) / 10));
        pause(0.3, 1.2);
        break;
      case 1:  // drains and returns
        ++drains;
        discovery.set_health(listing.host, "leaving");
        pause(0.3, 1.5);
        discovery.set_health(listing.host, "active");
        break;
      default:  // replaced by a cold server with the same name and address
        ++cold_starts;
        discovery.set_health(listing.host, "leaving");
        pause(0.2, 0.6);
        listing.born_ms = si::unix_ms();
        servers[index]->clear_faults();
        servers[index]->run("cold 0.3 6 4");
        discovery.update(listing);
        pause(0.3, 1);
        break;
    }
    if (random() % 4 == 0) servers[random() % 6]->run("at 0 reset-after-request for 0.2");
  }
  finished = true;
  for (std::thread& caller : threads) caller.join();
  std::promise<void> stopped;
  gateway->stop([&] { stopped.set_value(); });
  stopped.get_future().get();
  gateway.reset();

  si::CheckerSettings checker_settings;
  checker_settings.late_slack = 2.5;  // the result must not depend on the load of the machine
  checker_settings.answer_race_slack = 0.5;
  checker_settings.drain_slack = 0.5;
  checker_settings.window_slack = 0.5;
  for (const Class& c : kClasses) {
    checker_settings.classes.push_back({c.name, c.checked, si::CheckedClass::Group::kCell, 4});
  }
  for (const si::ServerEntry& s : listings) checker_settings.servers.push_back({s.host, s.site, s.block});
  const auto violations =
      si::Checker(checker_settings)
          .check({recorder.calls(), recorder.attempts(), recorder.list_changes(), recorder.overloads(), {}});
  EXPECT_TRUE(violations.empty()) << si::to_text(violations).substr(0, 4000);
  EXPECT_EQ(completion_errors, 0);
  std::uint64_t all = 0;
  for (const auto& count : outcomes) all += count;
  EXPECT_EQ(all, recorder.calls().size()) << "each request has exactly one completion";
  EXPECT_GT(outcomes[static_cast<std::size_t>(Outcome::kServed)], all / 10);
  EXPECT_GT(outcomes[static_cast<std::size_t>(Outcome::kCancelled)], 0U);
  EXPECT_EQ(outcomes[static_cast<std::size_t>(Outcome::kShutDown)], 0U);
  std::cout << all << " requests: " << outcomes[0] << " served, " << outcomes[1] << " refused, "
            << outcomes[2] << " failed, " << outcomes[3] << " timed out, " << outcomes[5] << " cancelled; "
            << kills << " kills, " << drains << " drains, " << cold_starts << " cold starts\n";
  if (std::getenv("NETTLESTAND_RANDOM_LOG") != nullptr) std::cout << log;
}

}  // namespace
}  // namespace nettlestand::testing
