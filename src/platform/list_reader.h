#ifndef PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_
#define PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_

#include <map>
#include <string>
#include <vector>

#include "platform/link_worker.h"
#include "platform/platform_json.h"

namespace plantainhead::platform {

/// A list of the platform, kept up to date by the changes since the last read:
/// with hundreds of VMs a whole list each second would be most of an entry's
/// traffic. Thread safety: none.
template <typename Key, typename T>
class list_replica {
 public:
  /// `name` is that of the list in answers; `key` the key of an item.
  list_replica(const char* name, Key T::*key) : name_(name), key_(key) {}

  std::string Path() const {
    return std::string("/") + name_ + "?cursor=" + cursor_;
  }

  /// Takes an answer in. Throws `codec_error` and stays as it was.
  void ApplyAnswer(const std::string& text) {
    const json body = ParseObject(text);
    json_reader in(body, "");
    bool is_whole = true;
    std::string cursor;
    std::vector<T> changed;
    std::vector<Key> removed;
    in("whole", is_whole);
    in("cursor", cursor);
    in("gone", removed);
    json_reader::Read(in.Require(name_), changed, std::string("/") + name_);
    if (is_whole) {
      items_.clear();
    }
    for (const Key& key : removed) {
      items_.erase(key);
    }
    for (T& item : changed) {
      const Key key = item.*key_;
      items_[key] = std::move(item);
    }
    cursor_ = EscapePathSegment(cursor);
  }

  std::vector<T> Items() const {
    std::vector<T> items;
    items.reserve(items_.size());
    for (const auto& [key, item] : items_) {
      items.push_back(item);
    }
    return items;
  }

 private:
  const char* name_;
  Key T::*key_;
  std::string cursor_;
  std::map<Key, T> items_;
};

/// Reads the lists of VMs and tasks at an interval.
class list_reader : public link_worker {
 public:
  explicit list_reader(link_context* context);

  /// The body of the actor.
  void Run(caf::blocking_actor* self);

 private:
  bool ReadLists();

  list_replica<core::vm_id, core::vm_listing> vms_;
  list_replica<core::job_id, core::task_listing> tasks_;
  backoff backoff_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_
