#include "simulate/history.h"

#include <algorithm>

namespace nettlestand::tier::simulate {
namespace {

constexpr Millis kCancelMs = 3000;  // after the end of a job none of its items reaches a server

}  // namespace

void History::fail(const std::string& what) {
  if (broken_.empty()) broken_ = what;
}

// ---------------------------------------------------------------- the configuration

void History::on_order_sent(OrderId id, Version base, Version version, const std::string& body) {
  Order order;
  order.base = base;
  order.version = version;
  order.body = body;
  orders_.emplace(id, std::move(order));
  by_body_.emplace(body, id);
}

void History::on_order_acknowledged(Millis now, OrderId id) {
  Order& order = orders_.at(id);
  if (order.refused) fail("an order that was refused was acknowledged");
  const auto [winner, first] = winners_.emplace(order.base, id);
  if (!first && winner->second != id) fail("two orders on one version were acknowledged");
  if (order.acknowledged) return;
  order.acknowledged = true;
  acknowledged_orders_.insert(id);
  acknowledged_.push_back({now, std::max(order.version, acknowledged())});
}

void History::on_order_refused(OrderId id) {
  Order& order = orders_.at(id);
  if (order.acknowledged) fail("an order that was acknowledged was refused");
  order.refused = true;
}

const History::Order* History::order_with(const std::string& text) const {
  const auto found = by_body_.find(text);
  return found == by_body_.end() ? nullptr : &orders_.at(found->second);
}

void History::on_version_held(const std::string& text) {
  if (order_with(text) == nullptr) fail("a node holds a configuration that nobody sent");
}

void History::on_read(Millis started, Millis now, const std::string& text) {
  const Order* order = order_with(text);
  if (order == nullptr) return fail("a read gave a configuration that nobody sent");
  if (order->refused) fail("a read gave an order that was refused");
  if (order->version < acknowledged_at(started))
    fail("a read was older than what was acknowledged before it");
  for (const Acknowledged& earlier : reads_) {
    if (earlier.time < started && earlier.version > order->version)
      return fail("a read was older than an earlier read");
  }
  reads_.push_back({now, order->version});
}

void History::check_final(const std::string& text) {
  const Order* order = order_with(text);
  if (order == nullptr) return fail("the last read gave a configuration that nobody sent");
  std::set<Version> chain;
  while (order != nullptr) {
    chain.insert(order->version);
    const Order* before = nullptr;
    for (const auto& [id, candidate] : orders_) {
      const bool fits = candidate.version == order->base && !candidate.refused;
      if (fits && (before == nullptr || candidate.acknowledged)) before = &candidate;
    }
    order = before;
  }
  for (const OrderId id : acknowledged_orders_) {
    if (!chain.contains(orders_.at(id).version)) fail("an acknowledged order is lost");
  }
}

Version History::acknowledged_at(Millis time) const {
  Version out = 0;
  for (const Acknowledged& each : acknowledged_) {
    if (each.time <= time) out = each.version;
  }
  return out;
}

// ---------------------------------------------------------------- batch jobs

void History::on_job_sent(const std::string& job, std::map<std::string, std::string> bodies) {
  jobs_[job].bodies = std::move(bodies);
}

void History::on_job_accepted(const std::string& job) {
  jobs_[job].accepted = true;
  if (jobs_[job].refused) fail("a job was accepted after all its tries were refused");
}

void History::on_job_refused(const std::string& job) {
  jobs_[job].refused = true;
  if (jobs_[job].started) fail("items ran of a job whose tries were all refused");
}

void History::on_item_sent(Millis now, const std::string& job, const std::string& item,
                           const std::string& body) {
  JobRecord& record = jobs_[job];
  record.started = true;
  if (record.refused) fail("an item ran of a job whose tries were all refused");
  const auto sent = record.bodies.find(item);
  if (sent == record.bodies.end() || sent->second != body)
    fail("an item was sent with another body: " + item);
  const bool is_ended = record.end_acknowledged > 0 && now > record.end_acknowledged + kCancelMs;
  if (is_ended) fail("an item was sent long after the end of its job: " + item);
}

void History::on_body(const std::string& job, const std::string& item, const std::string& body) {
  if (jobs_[job].bodies[item] != body) fail("a body has other bytes: " + item);
}

void History::on_job_end_asked(const std::string& job) { jobs_[job].end_asked = true; }

void History::on_job_end_acknowledged(Millis now, const std::string& job) {
  if (jobs_[job].end_acknowledged == 0) jobs_[job].end_acknowledged = now;
}

void History::on_results(const std::string& job, std::size_t listed_before,
                         const std::vector<std::string>& items, const std::vector<std::string>& texts) {
  JobRecord& record = jobs_[job];
  if (items.size() < listed_before) return fail("a result that was read is gone: " + job);
  for (std::size_t position = 0; position < items.size(); ++position) {
    if (position < record.listed.size()) {
      const bool same =
          record.listed[position] == items[position] && record.texts[position] == texts[position];
      if (!same) return fail("a position holds another result: " + job);
      continue;
    }
    if (is_listed(job, items[position])) return fail("an item stands at two positions: " + job);
    record.listed.push_back(items[position]);
    record.texts.push_back(texts[position]);
  }
}

void History::on_job_missing(const std::string& job, const std::string& what) {
  if (jobs_[job].accepted) fail(what + " is not there: " + job);
}

std::size_t History::listed(const std::string& job) const {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? 0 : found->second.listed.size();
}

bool History::is_listed(const std::string& job, const std::string& item) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return false;
  return std::find(found->second.listed.begin(), found->second.listed.end(), item) !=
         found->second.listed.end();
}

std::vector<std::string> History::accepted_jobs() const {
  std::vector<std::string> out;
  for (const auto& [job, record] : jobs_) {
    if (record.accepted) out.push_back(job);
  }
  return out;
}

std::vector<std::string> History::open_jobs() const {
  std::vector<std::string> out;
  for (const auto& [job, record] : jobs_) {
    if (record.accepted && !record.end_asked && record.listed.size() < record.bodies.size())
      out.push_back(job);
  }
  return out;
}

std::size_t History::results() const {
  std::size_t sum = 0;
  for (const auto& [job, record] : jobs_) sum += record.listed.size();
  return sum;
}

}  // namespace nettlestand::tier::simulate
