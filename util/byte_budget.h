// Memory budget for request and response bodies. Reservations may be made and released from any thread.
#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace nettlestand {

// A fixed number of bytes, of which parts are reserved by ByteReservation.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t bytes) : bytes_(bytes) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;
  std::size_t available() const {
    const std::size_t used = used_.load(std::memory_order_relaxed);
    return used < bytes_ ? bytes_ - used : 0;
  }
  std::size_t size() const { return bytes_; }

 private:
  friend class ByteReservation;
  const std::size_t bytes_;
  std::atomic<std::size_t> used_ = 0;
};

// A reserved part of a budget, returned to it on destruction. A default-constructed reservation belongs to no
// budget and grows without a limit.
class ByteReservation {
 public:
  ByteReservation() = default;
  explicit ByteReservation(ByteBudget& budget) : budget_(&budget) {}
  ByteReservation(ByteReservation&& other) noexcept
      : budget_(other.budget_), reserved_(std::exchange(other.reserved_, 0)) {}
  ByteReservation& operator=(ByteReservation&& other) noexcept {
    release();
    budget_ = other.budget_;
    reserved_ = std::exchange(other.reserved_, 0);
    return *this;
  }
  ~ByteReservation() { release(); }

  // Grows the reservation to `bytes` in total, provided that at least `headroom` bytes of the budget stay
  // free. Returns false, and changes nothing, if they are not available.
  bool grow_to(std::size_t bytes, std::size_t headroom = 0) {
    if (budget_ == nullptr || bytes <= reserved_) return true;
    const std::size_t more = bytes - reserved_;
    const std::size_t before = budget_->used_.fetch_add(more, std::memory_order_relaxed);
    if (before + more + headroom > budget_->bytes_) {
      budget_->used_.fetch_sub(more, std::memory_order_relaxed);
      return false;
    }
    reserved_ = bytes;
    return true;
  }
  // Returns all but `bytes` to the budget.
  void shrink_to(std::size_t bytes) {
    if (budget_ == nullptr || bytes >= reserved_) return;
    budget_->used_.fetch_sub(reserved_ - bytes, std::memory_order_relaxed);
    reserved_ = bytes;
  }
  void release() {
    if (budget_ != nullptr && reserved_ > 0) {
      budget_->used_.fetch_sub(std::exchange(reserved_, 0), std::memory_order_relaxed);
    }
  }

 private:
  ByteBudget* budget_ = nullptr;
  std::size_t reserved_ = 0;
};

}  // namespace nettlestand
