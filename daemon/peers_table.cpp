#include "daemon/peers_table.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <vector>

#include "json/read.h"
#include "util/columns.h"

namespace nettlestand {
namespace {

namespace json = quinceusher::json;
using json::Json;

std::string text(const Json& o, const char* field) { return std::string(json::text(o, field)); }

std::string whole(const Json& o, const char* field) { return std::to_string(json::token(o, field)); }

std::string ago(const Json& o, const char* field) {
  if (json::find(o, field) == nullptr) return "-";
  std::array<char, 32> out{};
  std::snprintf(out.data(), out.size(), "%.1f", json::number(o, field));
  return out.data();
}

}  // namespace

std::string peers_table(const std::string& report) {
  const rapidjson::Document in = json::parse(report);
  const Json& copies = json::need(in, "copies");
  std::string out =
      text(in, "name") + " of " + text(in, "cluster") + " at " + text(in, "address") + ", life " +
      whole(in, "life") + ": " + whole(in, "living") + " living, copy " + whole(copies, "index") + " of " +
      whole(copies, "count") + (json::flag(copies, "followed") ? "" : " (not followed)") +
      (json::flag(in, "sealed") ? "" : ", not sealed") + ", health " + whole(in, "health") + "\n";
  if (json::flag(in, "refused")) out += "REFUSED: another process holds this name\n";
  std::vector<std::vector<std::string>> rows = {
      {"member", "state", "for s", "heard s", "reached by", "doubted by", "zone", "tier", "address"}};
  for (const Json& m : json::array(in, "members").GetArray()) {
    rows.push_back({text(m, "name"), text(m, "state"), ago(m, "for_s"), ago(m, "heard_s"),
                    whole(m, "reached_by"), whole(m, "doubted_by"), text(m, "zone"), whole(m, "tier"),
                    text(m, "address")});
  }
  std::sort(rows.begin() + 1, rows.end());
  return out + columns(rows);
}

}  // namespace nettlestand
