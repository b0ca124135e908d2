#include "daemon/peers_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

#include "json/reader.h"
#include "util/columns.h"

namespace nettlestand {
namespace {

namespace json = quinceusher::json;
using json::Json;

std::string text(const Json& o, const char* field) { return std::string(json::string(o, field)); }

std::string integer(const Json& o, const char* field) {
  return std::to_string(json::unsigned_integer(o, field));
}

std::string seconds(const Json& o, const char* field) {
  if (json::find(o, field) == nullptr) return "-";
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.1f", json::number(o, field));
  return out.data();
}

}  // namespace

std::string peers_table(const std::string& report) {
  const rapidjson::Document in = json::parse(report);
  const Json& copies = json::require(in, "copies");
  std::string out =
      text(in, "name") + " of " + text(in, "cluster") + " at " + text(in, "address") + ", life " +
      integer(in, "life") + ": " + integer(in, "living") + " living, copy " + integer(copies, "index") +
      " of " + integer(copies, "count") + (json::boolean(copies, "followed") ? "" : " (not followed)") +
      (json::boolean(in, "sealed") ? "" : ", not sealed") + ", health " + integer(in, "health") + "\n";
  if (json::boolean(in, "refused")) out += "REFUSED: another process holds this name\n";
  std::vector<std::vector<std::string>> rows = {
      {"member", "state", "for s", "heard s", "reached by", "doubted by", "zone", "tier", "address"}};
  for (const Json& m : json::array(in, "members").GetArray()) {
    rows.push_back({text(m, "name"), text(m, "state"), seconds(m, "for_s"), seconds(m, "heard_s"),
                    integer(m, "reached_by"), integer(m, "doubted_by"), text(m, "zone"), integer(m, "tier"),
                    text(m, "address")});
  }
  std::sort(rows.begin() + 1, rows.end());
  return out + align_columns(rows);
}

}  // namespace nettlestand
