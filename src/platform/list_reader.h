#ifndef PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_
#define PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_

#include <map>
#include <string>
#include <vector>

#include "platform/link_worker.h"
#include "platform/platform_json.h"

namespace plantainhead::platform {

/// A local copy of a list of the platform, updated incrementally with the
/// changes since the last read. With hundreds of VMs, reading the whole list
/// every second would make up most of the traffic of an entry.
/// Thread safety: none.
template <typename Key, typename T>
class list_replica {
 public:
  /// `name` is the name of the list in responses; `key` is the key field of an
  /// item.
  list_replica(const char* name, Key T::*key) : name_(name), key_(key) {}

  /// Returns the path and query that read the changes since the last read.
  std::string Path() const {
    return std::string("/") + name_ + "?cursor=" + cursor_;
  }

  /// Applies a response to the copy. Throws `codec_error` and leaves the copy
  /// unchanged if the response is malformed.
  void ApplyResponse(const std::string& text) {
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

/// Reads the lists of VMs and tasks periodically and posts them.
class list_reader : public link_worker {
 public:
  explicit list_reader(link_context* context);

  /// Runs the loop of the actor until the worker is stopped.
  void Run(caf::blocking_actor* self);

 private:
  bool ReadLists();

  list_replica<core::vm_id, core::vm_listing> vms_;
  list_replica<core::job_id, core::task_listing> tasks_;
  backoff backoff_;
};

}  // namespace plantainhead::platform

#endif  // PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_
