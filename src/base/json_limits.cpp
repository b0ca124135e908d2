#include "base/json_limits.h"

#include <rapidjson/encodedstream.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

namespace nettlestand::tier {
namespace {

// Counts values; parsing ends with the first one beyond a limit.
class CountingHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, CountingHandler> {
 public:
  explicit CountingHandler(const JsonLimits& limits) : limits_(limits) {}
  bool within_limits() const { return values_ <= limits_.max_values && depth_ <= limits_.max_depth; }

  bool Default() { return count(); }
  bool StartObject() { return enter(); }
  bool EndObject(rapidjson::SizeType) { return leave(); }
  bool StartArray() { return enter(); }
  bool EndArray(rapidjson::SizeType) { return leave(); }

 private:
  bool count() {
    ++values_;
    return within_limits();
  }
  bool enter() {
    ++depth_;
    return count();
  }
  bool leave() {
    --depth_;
    return true;
  }

  const JsonLimits& limits_;
  std::size_t values_ = 0, depth_ = 0;
};

}  // namespace

bool is_within_limits(std::string_view json, const JsonLimits& limits) {
  rapidjson::MemoryStream bytes(json.data(), json.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
  rapidjson::Reader reader;
  CountingHandler handler(limits);
  reader.Parse<rapidjson::kParseIterativeFlag>(stream, handler);
  return handler.within_limits();
}

}  // namespace nettlestand::tier
