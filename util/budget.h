// The bytes that bodies may take up in this process, in both directions: one budget, from the memory limit.
#pragma once

#include <cstddef>
#include <utility>

namespace nettlestand {

class ByteBudget {
 public:
  explicit ByteBudget(std::size_t bytes) : bytes_(bytes) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;
  std::size_t left() const { return bytes_ - used_; }
  std::size_t size() const { return bytes_; }

 private:
  friend class Claim;
  std::size_t bytes_, used_ = 0;
};

// A part of the budget that somebody holds; it goes back with its holder.
class Claim {
 public:
  Claim() = default;
  explicit Claim(ByteBudget& budget) : budget_(&budget) {}
  Claim(Claim&& other) noexcept : budget_(other.budget_), held_(std::exchange(other.held_, 0)) {}
  Claim& operator=(Claim&& other) noexcept {
    release();
    budget_ = other.budget_;
    held_ = std::exchange(other.held_, 0);
    return *this;
  }
  ~Claim() { release(); }

  // Holds so many bytes in all, and `spare` must be left over; false, and no change, where they are not
  // there.
  bool grow_to(std::size_t bytes, std::size_t spare = 0) {
    if (budget_ == nullptr || bytes <= held_) return true;
    if (budget_->left() < bytes - held_ + spare) return false;
    budget_->used_ += bytes - held_;
    held_ = bytes;
    return true;
  }
  void release() {
    if (budget_ != nullptr) budget_->used_ -= std::exchange(held_, 0);
  }

 private:
  ByteBudget* budget_ = nullptr;
  std::size_t held_ = 0;
};

}  // namespace nettlestand
