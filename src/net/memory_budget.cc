#include "net/memory_budget.h"

#include <algorithm>
#include <utility>

namespace plantainhead::net {

memory_budget::holding::holding(std::shared_ptr<memory_budget> budget,
                                std::function<void()> evict)
    : budget_(std::move(budget)), evict_(std::move(evict)) {}

memory_budget::holding::~holding() {
  Pin();
  Resize(0);
}

void memory_budget::holding::BeginRequest() {
  if (budget_ && !is_evictable_) {
    place_ = budget_->evictable_.insert(budget_->evictable_.end(), this);
    is_evictable_ = true;
  }
}

void memory_budget::holding::Pin() {
  if (is_evictable_) {
    budget_->evictable_.erase(place_);
    is_evictable_ = false;
  }
}

bool memory_budget::holding::TryResize(std::size_t bytes) {
  if (!budget_ || bytes <= bytes_) {
    Resize(bytes);
    return true;
  }
  const std::size_t growth = bytes - bytes_;
  auto& candidates = budget_->evictable_;
  while (budget_->held_ + growth > budget_->limit_) {
    const auto first = std::find_if(
        candidates.begin(), candidates.end(), [this](const holding* candidate) {
          return candidate == this || candidate->bytes_ > 0;
        });
    if (first == candidates.end() || *first == this) {
      return false;
    }
    holding* const victim = *first;
    // The victim may be destroyed by its own function.
    const auto evict = victim->evict_;
    victim->Pin();
    victim->Resize(0);
    evict();
  }
  Resize(bytes);
  return true;
}

void memory_budget::holding::Resize(std::size_t bytes) {
  if (budget_) {
    budget_->held_ = budget_->held_ - bytes_ + bytes;
    bytes_ = bytes;
  }
}

}  // namespace plantainhead::net
