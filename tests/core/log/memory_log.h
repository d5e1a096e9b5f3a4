#ifndef PLANTAINHEAD_TESTS_CORE_LOG_MEMORY_LOG_H_
#define PLANTAINHEAD_TESTS_CORE_LOG_MEMORY_LOG_H_

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/log/control_log.h"

namespace plantainhead::core {

// In-memory log with behavior that tests control.
class memory_log {
 public:
  // Type of a record that the log always rejects.
  static constexpr char kTooLarge[] = "too-large";

  static bool Takes(const std::vector<record>& records) {
    return std::none_of(records.begin(), records.end(), [](const record& item) {
      const auto* body = std::get_if<unknown_record>(&item.body);
      return body != nullptr && body->type == kTooLarge;
    });
  }

  struct stream {
    std::vector<record> records;
    log_offset begin = 1;
  };

  log_offset Append(const stream_name& name, std::vector<record> records) {
    stream& target = streams[name];
    const log_offset first = target.records.size() + 1;
    for (record& item : records) {
      target.records.push_back(std::move(item));
    }
    return first;
  }

  log_read Read(const stream_name& name, log_offset after) const {
    log_read event;
    event.stream = name;
    event.begin = 1;
    const auto it = streams.find(name);
    if (it == streams.end()) {
      return event;
    }
    event.begin = it->second.begin;
    event.end = it->second.records.size();
    const log_offset first = std::max(after + 1, event.begin);
    for (log_offset at = first; at <= event.end; ++at) {
      event.entries.push_back({at, it->second.records[at - 1]});
    }
    return event;
  }

  std::map<stream_name, stream> streams;
};

// An entry's control_log with an adapter that executes its actions immediately.
class control_log_harness {
 public:
  control_log_harness(memory_log* log,
                      std::uint64_t self,
                      const std::string& name)
      : log_(log), random_(self), who{self} {
    control_log_settings settings;
    settings.name = entry_id(name);
    settings.queue.self = who;
    settings.snapshot_records = 20;
    core.emplace(settings, &ids_, &random_);
  }

  void Start() {
    Do([&](effects& out) { core->Start(now, out); });
    Settle();
  }
  void Join() {
    join_entry body;
    body.who = who;
    body.name = entry_id("entry-" + std::to_string(int(who)));
    Submit(body);
  }
  void Submit(record_body body) {
    Do([&](effects& out) { core->Submit(now, {std::move(body)}, out); });
    Settle();
  }
  void Command(std::uint64_t sequence, std::string author, record_body body) {
    now += std::chrono::seconds(1);
    const operator_command event{sequence, std::move(author), std::move(body)};
    Do([&](effects& out) { core->OnCommand(now, event, out); });
    Settle();
  }
  void Tick(duration passed) {
    now += passed;
    Do([&](effects& out) { core->OnTick(now, out); });
    Settle();
  }
  void ReceivePeerOffset(log_offset offset,
                         std::uint64_t digest,
                         incarnation from) {
    Do([&](effects& out) { core->OnPeerOffset(offset, digest, from, out); });
  }
  void DisconnectLog() {
    is_down = true;
    const log_unavailable event{kControlStream, "timeout"};
    Do([&](effects& out) { core->OnLogUnavailable(now, event, out); });
  }
  // Reads the followed streams repeatedly until no new records arrive.
  void Settle() {
    constexpr int kRounds = 20;
    for (int round = 0; round < kRounds && !is_down; ++round) {
      const auto followed = followed_;
      for (const auto& [name, after] : followed) {
        Read(name, after);
      }
    }
  }
  void Read(const stream_name& name, log_offset after) {
    const log_read event = log_->Read(name, after);
    if (name == kSnapshotStream) {
      snapshots_read += event.entries.size();
    }
    if (!event.entries.empty()) {
      followed_[name] = event.entries.back().offset;
    }
    Do([&](effects& out) { core->OnLogRead(now, event, out); });
  }

  bool HasLogMessage(const std::string& part) const {
    return std::any_of(log_messages.begin(), log_messages.end(),
                       [&](const auto& note) {
                         return note.message.find(part) != std::string::npos;
                       });
  }

  const fleet_state& state() const { return core->state(); }

  memory_log* log_;
  append_ids ids_;
  random_source random_;
  incarnation who;
  std::optional<control_log> core;
  time_point now{};
  bool is_down = false;
  // Result of the next appends, and whether their records are written.
  append_result next_result = append_result::kAppended;
  bool next_is_written = true;
  std::vector<answer_operator> answers;
  std::vector<write_log_message> log_messages;
  std::vector<append_records> appends;
  std::size_t snapshots_read = 0;

 private:
  template <typename Call>
  void Do(Call call) {
    effects out;
    call(out);
    for (action& item : out.actions) {
      std::visit([&](auto& body) { Execute(body); }, item);
    }
  }
  template <typename Action>
  void Execute(Action& /*item*/) {}
  void Execute(answer_operator& item) { answers.push_back(item); }
  void Execute(write_log_message& item) { log_messages.push_back(item); }
  void Execute(follow_stream& item) { followed_[item.stream] = item.after; }
  void Execute(unfollow_stream& item) { followed_.erase(item.stream); }
  void Execute(append_records& item) {
    appends.push_back(item);
    const append_result result =
        is_down ? append_result::kUnknown : next_result;
    append_finished event{item.append, result, 0};
    if (!is_down && !memory_log::Takes(item.records)) {
      event.result = append_result::kRejected;
    } else if (next_is_written && !is_down) {
      event.first = log_->Append(item.stream, item.records);
    }
    Do([&](effects& out) { core->OnAppendFinished(now, event, out); });
  }

  std::map<stream_name, log_offset> followed_;
};

}  // namespace plantainhead::core

#endif  // PLANTAINHEAD_TESTS_CORE_LOG_MEMORY_LOG_H_
