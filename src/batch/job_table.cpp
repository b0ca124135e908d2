#include "batch/job_table.h"

#include "base/digest.h"
#include "batch/item_digest.h"
#include "control/placement.h"

namespace nettlestand::tier {
namespace {

std::uint64_t extend_digest(std::uint64_t chain, const JobResult& result) {
  return digest_of(encode(result), chain);
}

constexpr std::size_t kAllocationOverheadBytes = 16;
constexpr std::size_t kTableEntryBytes = 256;  // of a job in the table and in the indexes on it

std::size_t heap_bytes_of(const std::string& text) {
  const bool is_inline = text.capacity() <= std::string().capacity();
  return is_inline ? 0 : text.capacity() + 1 + kAllocationOverheadBytes;
}

std::size_t heap_bytes_of(const std::vector<std::string>& texts) {
  std::size_t bytes = kAllocationOverheadBytes + texts.capacity() * sizeof(std::string);
  for (const std::string& text : texts) bytes += heap_bytes_of(text);
  return bytes;
}

}  // namespace

std::size_t memory_of(const JobSpec& spec) {
  std::size_t bytes = kTableEntryBytes + sizeof(Job);
  for (const JobItem& item : spec.items) {
    bytes += sizeof(JobItem) + heap_bytes_of(item.id) + heap_bytes_of(item.path) + heap_bytes_of(item.body) +
             heap_bytes_of(item.header_names) + heap_bytes_of(item.header_values);
  }
  return bytes;
}

std::size_t memory_of(const JobResult& result) { return sizeof(JobResult) + heap_bytes_of(result.text); }

bool Job::is_intact(std::uint32_t item) const { return tier::is_intact(spec.items[item]); }

JobKey key_of(const JobChange& change) { return {change.tenant, change.job}; }

void JobTable::apply(Millis now, const JobChange& change) {
  const JobKey key = key_of(change);
  auto found = jobs_.find(key);
  if (change.removed) {
    if (found == jobs_.end()) return;
    found->second.ended = true;
    update_open_jobs(key, found->second);
    erase(found);
    return;
  }
  if (!change.spec.empty() && (found == jobs_.end() || change.reset)) {
    Job job;
    job.spec = change.spec.front();
    job.has_result.assign(job.spec.items.size(), false);
    job.accepted_at = found == jobs_.end() ? now : found->second.accepted_at;
    for (const JobItem& item : job.spec.items) job.waiting_tokens += item.tokens;
    insert(key, std::move(job));
    found = jobs_.find(key);
  }
  if (found == jobs_.end()) return;
  add_results(found->second, change.first_position, change.results);
  if (change.ended) found->second.ended = true;
  update_open_jobs(key, found->second);
}

void JobTable::insert(const JobKey& key, Job job) {
  if (const auto found = jobs_.find(key); found != jobs_.end()) erase(found);
  job.memory_bytes = memory_of(job.spec);
  memory_bytes_ += job.memory_bytes;
  jobs_.emplace(key, std::move(job));
}

void JobTable::erase(std::map<JobKey, Job>::iterator job) {
  memory_bytes_ -= job->second.memory_bytes;
  jobs_.erase(job);
}

void JobTable::update_open_jobs(const JobKey& key, const Job& job) {
  const OpenJob entry{job.accepted_at, key.id};
  if (job.open()) {
    open_jobs_[key.tenant].insert(entry);
    return;
  }
  const auto tenant = open_jobs_.find(key.tenant);
  if (tenant == open_jobs_.end()) return;
  tenant->second.erase(entry);
  if (tenant->second.empty()) open_jobs_.erase(tenant);
}

std::vector<std::string> JobTable::open_tenants() const {
  std::vector<std::string> out;
  out.reserve(open_jobs_.size());
  for (const auto& [tenant, jobs] : open_jobs_) out.push_back(tenant);
  return out;
}

std::optional<OpenJob> JobTable::next_open_job(const std::string& tenant,
                                               const std::optional<OpenJob>& after) const {
  const auto jobs = open_jobs_.find(tenant);
  if (jobs == open_jobs_.end()) return std::nullopt;
  const auto next = after ? jobs->second.upper_bound(*after) : jobs->second.begin();
  if (next == jobs->second.end()) return std::nullopt;
  return *next;
}

void JobTable::add_results(Job& job, std::uint32_t first, const std::vector<JobResult>& results) {
  std::uint32_t position = first;
  for (const JobResult& result : results) {
    // A position is assigned once, and positions are filled in order.
    const bool next = position++ == job.results.size();
    if (!next || result.item >= job.spec.items.size() || job.has_result[result.item]) continue;
    job.results_digest = extend_digest(job.results_digest, result);
    job.has_result[result.item] = true;
    job.waiting_tokens -= job.spec.items[result.item].tokens;
    // The body is not needed any more: an item with a result is neither sent nor read.
    std::string& body = job.spec.items[result.item].body;
    const std::size_t freed = heap_bytes_of(body), added = memory_of(result);
    std::string().swap(body);
    job.results.push_back(result);
    job.memory_bytes = job.memory_bytes + added - freed;
    memory_bytes_ = memory_bytes_ + added - freed;
  }
}

Job* JobTable::find(const JobKey& key) {
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : &found->second;
}

const Job* JobTable::find(const JobKey& key) const {
  const auto found = jobs_.find(key);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::vector<JobKey> JobTable::keys_in_shard(std::uint32_t shard) const {
  std::vector<JobKey> out;
  for (const auto& [key, job] : jobs_) {
    if (batch_shard_of(key.tenant) == shard) out.push_back(key);
  }
  return out;
}

JobDigest JobTable::digest(const JobKey& key) const {
  JobDigest out{};
  out.tenant = key.tenant;
  out.job = key.id;
  if (const Job* job = find(key)) {
    out.results = static_cast<std::uint32_t>(job->results.size());
    out.chain = job->results_digest;
    out.ended = job->ended;
  }
  return out;
}

JobChange JobTable::snapshot_of(const JobKey& key) const {
  JobChange out{};
  out.tenant = key.tenant;
  out.job = key.id;
  const Job* job = find(key);
  if (job == nullptr) {
    out.removed = true;
    return out;
  }
  out.spec.push_back(job->spec);
  out.reset = true;
  out.results = job->results;
  out.ended = job->ended;
  return out;
}

std::int64_t JobTable::waiting_tokens(const std::string& tenant, const std::string& route) const {
  std::int64_t sum = 0;
  for (auto at = jobs_.lower_bound(JobKey{tenant, {}}); at != jobs_.end() && at->first.tenant == tenant;
       ++at) {
    if (at->second.spec.route == route && !at->second.ended) sum += at->second.waiting_tokens;
  }
  return sum;
}

}  // namespace nettlestand::tier
