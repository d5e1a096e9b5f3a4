#ifndef PLANTAINHEAD_FAKES_CHANGE_FEED_H_
#define PLANTAINHEAD_FAKES_CHANGE_FEED_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "plantainhead/core/time.h"

namespace plantainhead::fakes {

/// A map that readers see with a lag, whole or as the changes since they last
/// read. Thread safety: none.
template <typename Key, typename T>
class change_feed {
 public:
  struct view {
    /// True when `items` is the whole map, false for changes only.
    bool is_whole = false;
    std::uint64_t version = 0;
    /// Nothing for a key that is gone.
    std::map<Key, std::optional<T>> items;
  };

  /// Sets or, with nothing, removes `key`. A time before that of the last
  /// change counts as that time.
  void Set(core::time_point at, const Key& key, std::optional<T> value) {
    if (!changes_.empty()) {
      at = std::max(at, changes_.back().at);
    }
    changes_.push_back({at, key, std::move(value)});
  }

  /// Returns what changed after version `since` up to the time `horizon`; the
  /// whole map if `since` is 0 or a version that isn't kept any more.
  view Read(std::uint64_t since, core::time_point horizon) {
    const std::uint64_t visible = VersionAt(horizon);
    view result;
    result.version = visible;
    result.is_whole = since == 0 || since < base_version_ || since > visible;
    if (result.is_whole) {
      for (const auto& [key, value] : base_) {
        result.items[key] = value;
      }
    }
    const std::uint64_t from = result.is_whole ? base_version_ : since;
    for (std::uint64_t i = from - base_version_; i < visible - base_version_;
         ++i) {
      result.items[changes_[i].key] = changes_[i].value;
    }
    if (result.is_whole) {
      std::erase_if(result.items,
                    [](const auto& item) { return !item.second.has_value(); });
    }
    Compact(visible);
    return result;
  }

 private:
  struct change {
    core::time_point at;
    Key key;
    std::optional<T> value;
  };

  static constexpr std::size_t kKeptChanges = 4096;
  // Versions start at 1, so that 0 asks for the whole map.
  static constexpr std::uint64_t kFirstVersion = 1;

  std::uint64_t VersionAt(core::time_point horizon) const {
    const auto end =
        std::upper_bound(changes_.begin(), changes_.end(), horizon,
                         [](core::time_point time, const change& item) {
                           return time < item.at;
                         });
    return base_version_ + static_cast<std::uint64_t>(end - changes_.begin());
  }

  void Compact(std::uint64_t visible) {
    while (changes_.size() > kKeptChanges && base_version_ < visible) {
      change& oldest = changes_.front();
      if (oldest.value.has_value()) {
        base_[oldest.key] = std::move(*oldest.value);
      } else {
        base_.erase(oldest.key);
      }
      changes_.pop_front();
      ++base_version_;
    }
  }

  std::map<Key, T> base_;
  std::uint64_t base_version_ = kFirstVersion;
  std::deque<change> changes_;
};

}  // namespace plantainhead::fakes

#endif  // PLANTAINHEAD_FAKES_CHANGE_FEED_H_
