#include "batch/job_json.h"

#include <absl/strings/escaping.h>
#include <rapidjson/encodedstream.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <set>
#include <string>
#include <utility>

#include "batch/item_digest.h"

namespace nettlestand::tier {
namespace {

constexpr std::size_t kMaxItems = 200;
constexpr double kMaxTokens = 1e12;   // of an item; sums over all jobs of a tenant stay in range
constexpr int kMaxIgnoredDepth = 64;  // of members that a submission need not have

bool has_no_line_break(std::string_view text) { return text.find_first_of("\r\n") == std::string_view::npos; }

// A value that is neither an object nor a list.
struct Scalar {
  enum class Kind { kText, kNumber, kOther };
  Kind kind = Kind::kOther;
  std::string_view text = {};
  double number = 0;
};

// Takes the items out of the parser's events. Of members that are repeated, the first one counts; members
// with other names are ignored.
class JobHandler : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, JobHandler> {
 public:
  const absl::Status& status() const { return status_; }
  bool has_requests() const { return has_requests_; }
  JobSpec take_spec() { return std::move(spec_); }

  bool Default() { return on_scalar({}); }
  bool Int(int value) { return on_number(value); }
  bool Uint(unsigned value) { return on_number(value); }
  bool Int64(std::int64_t value) { return on_number(static_cast<double>(value)); }
  bool Uint64(std::uint64_t value) { return on_number(static_cast<double>(value)); }
  bool Double(double value) { return on_number(value); }
  bool String(const char* text, rapidjson::SizeType size, bool) {
    return on_scalar({Scalar::Kind::kText, {text, size}});
  }
  bool Key(const char* text, rapidjson::SizeType size, bool) {
    if (ignored_depth_ == 0) key_.assign(text, size);
    return true;
  }
  bool StartObject() { return on_start(true); }
  bool EndObject(rapidjson::SizeType) { return on_end(); }
  bool StartArray() { return on_start(false); }
  bool EndArray(rapidjson::SizeType) { return on_end(); }

 private:
  // Where the parser is, unless it is within a value that is ignored.
  enum class Level { kOutside, kDocument, kRequests, kItem, kHeaders };

  // Which members of the current item have been seen.
  struct SeenMembers {
    bool id = false, path = false, body = false, tokens = false, headers = false;
  };

  // Ends the parsing.
  bool fail(const char* what) {
    status_ = absl::InvalidArgumentError(what);
    return false;
  }

  bool on_number(double value) { return on_scalar({Scalar::Kind::kNumber, {}, value}); }

  bool on_scalar(const Scalar& value) {
    if (ignored_depth_ > 0) return true;
    switch (level_) {
      case Level::kOutside:
        return fail("no whole JSON");
      case Level::kDocument:
        return key_ == "requests" && !has_requests_ ? fail("requests is not a list") : true;
      case Level::kRequests:
        return fail("an item is not an object");
      case Level::kItem:
        return on_item_member(value);
      case Level::kHeaders:
        return on_header(value);
    }
    return true;
  }

  bool on_start(bool is_object) {
    if (ignored_depth_ > 0) return ignore();
    switch (level_) {
      case Level::kOutside:
        level_ = Level::kDocument;
        return is_object ? true : fail("no whole JSON");
      case Level::kDocument:
        return on_start_in_document(is_object);
      case Level::kRequests:
        return is_object ? start_item() : fail("an item is not an object");
      case Level::kItem:
        return on_start_in_item(is_object);
      case Level::kHeaders:
        return fail("a header is not a text");
    }
    return true;
  }

  bool on_end() {
    if (ignored_depth_ > 0) {
      --ignored_depth_;
      return true;
    }
    switch (level_) {
      case Level::kHeaders:
        level_ = Level::kItem;
        return true;
      case Level::kItem:
        level_ = Level::kRequests;
        return end_item();
      case Level::kRequests:
        level_ = Level::kDocument;
        return spec_.items.empty() ? fail("too few or too many items") : true;
      case Level::kDocument:
      case Level::kOutside:
        level_ = Level::kOutside;
        return true;
    }
    return true;
  }

  bool ignore() { return ++ignored_depth_ <= kMaxIgnoredDepth ? true : fail("nested too deeply"); }

  bool on_start_in_document(bool is_object) {
    if (key_ != "requests" || has_requests_) return ignore();
    if (is_object) return fail("requests is not a list");
    has_requests_ = true;
    level_ = Level::kRequests;
    return true;
  }

  bool start_item() {
    if (spec_.items.size() >= kMaxItems) return fail("too few or too many items");
    spec_.items.push_back(JobItem{});
    seen_ = {};
    level_ = Level::kItem;
    return true;
  }

  bool on_start_in_item(bool is_object) {
    if (key_ == "headers" && !seen_.headers) {
      seen_.headers = true;
      level_ = Level::kHeaders;
      return is_object ? true : fail("headers is not an object");
    }
    return on_item_member({}) && ignore();
  }

  bool on_item_member(const Scalar& value) {
    JobItem& item = spec_.items.back();
    const bool is_text = value.kind == Scalar::Kind::kText;
    if (key_ == "id" && !std::exchange(seen_.id, true)) {
      if (is_text) item.id = value.text;
    } else if (key_ == "path" && !std::exchange(seen_.path, true)) {
      if (is_text) item.path = value.text;
    } else if (key_ == "body" && !std::exchange(seen_.body, true)) {
      if (is_text && !absl::Base64Unescape({value.text.data(), value.text.size()}, &item.body))
        return fail("a body is not base64");
    } else if (key_ == "tokens" && !std::exchange(seen_.tokens, true)) {
      if (value.kind != Scalar::Kind::kNumber || value.number < 0) return fail("tokens is not a number");
      if (value.number > kMaxTokens) return fail("tokens is out of range");
      item.tokens = static_cast<std::int64_t>(value.number);
    } else if (key_ == "headers" && !std::exchange(seen_.headers, true)) {
      return fail("headers is not an object");
    }
    return true;
  }

  bool on_header(const Scalar& value) {
    if (value.kind != Scalar::Kind::kText) return fail("a header is not a text");
    if (!has_no_line_break(key_) || !has_no_line_break(value.text) || key_.find(':') != std::string::npos)
      return fail("a header can't be sent");
    JobItem& item = spec_.items.back();
    item.header_names.push_back(key_);
    item.header_values.emplace_back(value.text);
    return true;
  }

  bool end_item() {
    JobItem& item = spec_.items.back();
    if (item.id.empty() || !has_no_line_break(item.id)) return fail("an item has no id");
    if (!item.path.starts_with('/') || !has_no_line_break(item.path) ||
        item.path.find(' ') != std::string::npos) {
      return fail("an item has no path");
    }
    if (!ids_.insert(item.id).second) return fail("two items share an id");
    set_digest(item);
    return true;
  }

  absl::Status status_;
  JobSpec spec_{};
  std::set<std::string> ids_;
  Level level_ = Level::kOutside;
  int ignored_depth_ = 0;
  bool has_requests_ = false;
  std::string key_;  // of the value that comes next
  SeenMembers seen_;
};

}  // namespace

absl::StatusOr<JobSpec> parse_job(std::string_view json) {
  rapidjson::MemoryStream bytes(json.data(), json.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream> stream(bytes);
  rapidjson::Reader reader;
  JobHandler handler;
  // Iterative parsing, so that deeply nested input cannot overflow the stack.
  const bool whole = reader.Parse<rapidjson::kParseIterativeFlag>(stream, handler);
  if (!handler.status().ok()) return handler.status();
  if (!whole) return absl::InvalidArgumentError("no whole JSON");
  if (!handler.has_requests()) return absl::InvalidArgumentError("requests is not a list");
  return handler.take_spec();
}

}  // namespace nettlestand::tier
