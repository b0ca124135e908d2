// The check of fencing tokens at the resource that carries out a duty's effects: rejects a token lower than
// the highest seen. It protects against a former holder that was paused between checking its lease and its
// effect. This one keeps the tokens in memory. A resource that outlives its process must store the highest
// token as durably as the effects themselves, best in the same transaction (sqlite_fencing_checker.h).
#pragma once

#include <map>
#include <string>

#include "duties/lease_table.h"

namespace nettlestand::duties {

class FencingChecker {
 public:
  // Whether an effect with this token may take place. Raises the highest token seen, unless it returns false.
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
