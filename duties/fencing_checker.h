// Where effects of duties take place: takes those alone whose token is no lower than the highest it has seen.
// What keeps a former holder that was stopped between its check and its effect from doing harm. This one
// holds its memory in the process; a place that outlives its process has to keep the highest token as durably
// as the effects themselves, best in the same transaction.
#pragma once

#include <map>
#include <string>

#include "duties/lease_table.h"

namespace nettlestand::duties {

class FencingChecker {
 public:
  // Whether an effect of a duty may take place; false changes nothing.
  bool admit(const std::string& duty, Token token) {
    Token& highest = highest_[duty];
    if (token == 0 || token < highest) return false;
    highest = token;
    return true;
  }
  Token highest(const std::string& duty) const {
    const auto it = highest_.find(duty);
    return it == highest_.end() ? 0 : it->second;
  }

 private:
  std::map<std::string, Token> highest_;
};

}  // namespace nettlestand::duties
