#include "plantainhead/core/fleet/pool_balance.h"

#include <algorithm>
#include <vector>

namespace plantainhead::core {
namespace {

std::uint32_t MaxCount(const std::map<zone_id, std::uint32_t>& counts) {
  std::uint32_t greatest = 0;
  for (const auto& [domain, count] : counts) {
    greatest = std::max(greatest, count);
  }
  return greatest;
}

}  // namespace

pool_balance::pool_balance(const pool_capacity& capacity,
                           std::uint32_t domains,
                           bool wants_spare)
    : capacity_(capacity), domains_(domains), wants_spare_(wants_spare) {}

void pool_balance::Add(const zone_id& domain) {
  ++counts_[domain];
  ++size_;
}

void pool_balance::Remove(const zone_id& domain) {
  --counts_[domain];
  --size_;
}

std::uint32_t pool_balance::CountIn(const zone_id& domain) const {
  const auto found = counts_.find(domain);
  return found == counts_.end() ? 0 : found->second;
}

std::uint32_t pool_balance::DemandShortage() const {
  return size_ < capacity_.need ? capacity_.need - size_ : 0;
}

std::uint32_t pool_balance::Shortage() const {
  if (!NeedsSpare()) {
    return DemandShortage();
  }
  // Adds VMs to the smallest domain until nothing is missing.
  std::vector<std::uint32_t> counts;
  for (const auto& [domain, count] : counts_) {
    counts.push_back(count);
  }
  counts.resize(std::max<std::size_t>(counts.size(), domains_));
  std::uint32_t size = size_;
  while (size < capacity_.need ||
         size - *std::max_element(counts.begin(), counts.end()) <
             capacity_.min_after_loss) {
    ++*std::min_element(counts.begin(), counts.end());
    ++size;
  }
  return size - size_;
}

std::uint32_t pool_balance::Surplus() const {
  if (!Satisfies(counts_, size_)) {
    return 0;
  }
  spread counts = counts_;
  std::uint32_t size = size_;
  while (size > 0) {
    const auto fullest = std::max_element(
        counts.begin(), counts.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    --fullest->second;
    if (!Satisfies(counts, size - 1)) {
      break;
    }
    --size;
  }
  return size_ - size;
}

bool pool_balance::CanRelease(const zone_id& domain, bool ignore_spare) const {
  if (CountIn(domain) == 0 || size_ <= capacity_.need) {
    return false;
  }
  if (ignore_spare) {
    return true;
  }
  spread counts = counts_;
  --counts[domain];
  return Satisfies(counts, size_ - 1);
}

bool pool_balance::Satisfies(const spread& counts, std::uint32_t size) const {
  return size >= capacity_.need &&
         (!NeedsSpare() || size - MaxCount(counts) >= capacity_.min_after_loss);
}

bool pool_balance::NeedsSpare() const {
  return wants_spare_ && domains_ >= 2;
}

}  // namespace plantainhead::core
