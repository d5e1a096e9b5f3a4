#ifndef PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_
#define PLANTAINHEAD_SRC_PLATFORM_LIST_READER_H_

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform/link_worker.h"
#include "platform/platform_json.h"
#include "text/json_list.h"

namespace plantainhead::platform {

/// A local copy of a list of the platform, updated incrementally with the
/// changes since the last read. With hundreds of VMs, reading the whole list
/// every second would make up most of the traffic of an entry.
/// Thread safety: none.
template <typename Key, typename T>
class list_replica {
 public:
  /// `name` is the name of the list in responses; `key` is the key field of an
  /// item, and `key_name` its name there.
  list_replica(const char* name, const char* key_name, Key T::*key)
      : name_(name), key_name_(key_name), key_(key) {}

  /// Returns the path and query that read the changes since the last read.
  std::string Path() const {
    return std::string("/") + name_ + "?cursor=" + cursor_;
  }

  /// Applies a response to the copy. Returns the faults of items that cannot be
  /// decoded; those keep what was known of them. If an item's key cannot be
  /// decoded either, the item may be any of those that are missing in a whole
  /// list. Throws `codec_error` and leaves the copy unchanged if the rest of
  /// the response is malformed.
  std::vector<std::string> ApplyResponse(const std::string& text) {
    const auto list = text::SplitList(text, name_);
    const json body = ParseObject(list ? list->rest : text);
    json_reader in(body, "");
    bool is_whole = true;
    std::string cursor;
    std::vector<T> changed;
    std::vector<Key> removed;
    in("whole", is_whole);
    in("cursor", cursor);
    in("gone", removed);
    json_reader::Read(in.Require(name_), changed, std::string("/") + name_);
    item_faults faults;
    if (list) {
      ReadItems(list->rows, &changed, &faults);
    }
    if (is_whole) {
      std::erase_if(items_, [&faults](const auto& known) {
        return !faults.has_unnamed && faults.keys.count(known.first) == 0;
      });
    }
    for (const Key& key : removed) {
      items_.erase(key);
    }
    for (T& item : changed) {
      const Key key = item.*key_;
      items_[key] = std::move(item);
    }
    cursor_ = EscapePathSegment(cursor);
    return faults.texts;
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
  /// The items of a response that cannot be decoded.
  struct item_faults {
    std::vector<std::string> texts;
    std::set<Key> keys;
    bool has_unnamed = false;
  };

  void ReadItems(const std::vector<std::string>& rows,
                 std::vector<T>* items,
                 item_faults* faults) const {
    for (std::size_t i = 0; i < rows.size(); ++i) {
      const std::string place =
          std::string("/") + name_ + "/" + std::to_string(i);
      T item;
      bool has_key = false;
      try {
        const json row = ParseObject(rows[i]);
        const json_reader fields(row, place);
        json_reader::Read(fields.Require(key_name_), item.*key_, place);
        has_key = true;
        json_reader::Read(row, item, place);
        items->push_back(std::move(item));
      } catch (const codec_error& error) {
        faults->texts.emplace_back(place + ": " + error.what());
        if (has_key) {
          faults->keys.insert(item.*key_);
        } else {
          faults->has_unnamed = true;
        }
      }
    }
  }

  const char* name_;
  const char* key_name_;
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
