#ifndef PLANTAINHEAD_CORE_JOBS_INDEX_RANGES_H_
#define PLANTAINHEAD_CORE_JOBS_INDEX_RANGES_H_

#include <cstdint>
#include <map>

namespace plantainhead::core::jobs {

/// A set of numbers, stored as ranges of consecutive ones. Its memory and the
/// time of its operations depend on the number of ranges. Not thread-safe.
class index_ranges {
 public:
  /// Maps the begin of each range to its end, which it excludes.
  using range_map = std::map<std::uint32_t, std::uint32_t>;

  bool Contains(std::uint32_t index) const;
  /// Returns whether the number is new.
  bool Add(std::uint32_t index);
  /// Adds the numbers from `begin` to `end`, which is excluded. Precondition:
  /// `begin` is not greater than `end`.
  void AddRange(std::uint32_t begin, std::uint32_t end);
  /// Returns whether the number was contained.
  bool Remove(std::uint32_t index);
  /// Returns the lowest number from `begin` on that is not contained.
  std::uint32_t NextAbsent(std::uint32_t begin) const;
  /// Returns the number of elements.
  std::uint64_t size() const { return size_; }
  bool empty() const { return ranges_.empty(); }
  const range_map& ranges() const { return ranges_; }

 private:
  /// Returns the range that contains the number, or the end of the map.
  range_map::const_iterator Find(std::uint32_t index) const;

  range_map ranges_;
  std::uint64_t size_ = 0;
};

}  // namespace plantainhead::core::jobs

#endif  // PLANTAINHEAD_CORE_JOBS_INDEX_RANGES_H_
