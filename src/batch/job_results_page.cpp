#include "batch/job_results_page.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstddef>

namespace nettlestand::tier {
namespace {

constexpr std::size_t kMaxPageBytes = 900U << 10;
constexpr std::size_t kResultOverheadBytes = 128;  // approximate, of a result in JSON

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_text(Writer& writer, const std::string& value) {
  writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_result(Writer& writer, const Job& job, const JobResult& result) {
  writer.StartObject();
  writer.Key("id");
  write_text(writer, job.spec.items[result.item].id);
  writer.Key("state");
  writer.String(result.state == ResultState::kCompleted ? "completed" : "dead_letter");
  writer.Key("text");
  write_text(writer, result.text);
  writer.EndObject();
}

}  // namespace

std::string results_page(const Job& job, std::uint64_t start) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  writer.Key("total");
  writer.Uint64(job.spec.items.size());
  writer.Key("results");
  writer.StartArray();
  std::uint64_t next = std::min<std::uint64_t>(start, job.results.size());
  for (std::size_t bytes = 0; next < job.results.size(); ++next) {
    const JobResult& result = job.results[next];
    bytes += result.text.size() + kResultOverheadBytes;
    if (next > start && bytes > kMaxPageBytes) break;
    write_result(writer, job, result);
  }
  writer.EndArray();
  writer.Key("next_token");
  writer.Uint64(std::max(next, start));
  writer.EndObject();
  return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace nettlestand::tier
