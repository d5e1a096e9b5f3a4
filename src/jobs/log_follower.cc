#include "jobs/log_follower.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"

namespace plantainhead::jobs {

namespace asio = boost::asio;
using adapter::read_outcome;
using std::chrono::milliseconds;

namespace {

// Handling times from this value on are logged.
constexpr milliseconds kSlowHandling(200);

}  // namespace

class log_follower::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context* context,
       adapter::store_client* store,
       partition_loader* loader,
       adapter::store_partition partition,
       const follower_settings& settings,
       record_handler on_record,
       contact_handler on_contact)
      : store_(*store),
        loader_(*loader),
        partition_(std::move(partition)),
        settings_(settings),
        on_record_(std::move(on_record)),
        on_contact_(std::move(on_contact)),
        timer_(*context),
        pause_(settings.min_pause) {}

  void Start(follow_mode mode) {
    mode_ = mode;
    Load("");
  }

  // A background read waits for up to 10 s, and for another 0.9 s if its
  // connection has stopped delivering data. If the new owner of a pool waited
  // for it, new jobs and cancellations would reach it late by that time, and
  // cancelled tasks ran on for 7 s. So a new read is sent immediately. The
  // records that the older read returns are applied if they are new, but it is
  // not continued.
  void SetMode(follow_mode mode) {
    const bool starts_watching =
        mode == follow_mode::kWatch && mode_ != follow_mode::kWatch;
    mode_ = mode;
    if (!starts_watching) {
      return;
    }
    if (is_pausing_) {
      timer_.cancel();
      is_pausing_ = false;
      Resume();
    } else if (is_loaded_) {
      ReadNext();
    }
  }

  void Refresh(std::function<void(bool)> on_done) {
    if (!is_loaded_) {
      on_done(false);
      return;
    }
    next_refresh_.push_back(std::move(on_done));
    if (current_refresh_.empty()) {
      StartRefresh();
    }
  }

  void ReadAgain(std::function<void(bool)> on_done) {
    next_reread_.push_back(std::move(on_done));
    if (current_reread_.empty()) {
      current_reread_.swap(next_reread_);
      ReadPageAgain("");
    }
  }

  void AwaitLoaded(std::function<void()> on_loaded) {
    if (is_loaded_) {
      on_loaded();
    } else {
      awaiting_load_.push_back(std::move(on_loaded));
    }
  }

  void Close() {
    is_closed_ = true;
    timer_.cancel();
    awaiting_load_.clear();
    next_refresh_.clear();
    current_refresh_.clear();
    next_reread_.clear();
    current_reread_.clear();
  }

  void Abort() {
    std::vector<std::function<void(bool)>> done;
    done.swap(current_refresh_);
    for (const auto* more : {&next_refresh_, &current_reread_, &next_reread_}) {
      done.insert(done.end(), more->begin(), more->end());
    }
    Close();
    for (const auto& on_done : done) {
      on_done(false);
    }
  }

  bool is_loaded() const { return is_loaded_; }
  core::time_point complete_at() const { return complete_at_; }
  const adapter::store_partition& partition() const { return partition_; }
  std::uint64_t cursor() const { return cursor_; }

 private:
  /// A read in flight that the follower sent on its own, not for a refresh.
  struct sent_read {
    std::uint64_t number = 0;
    core::time_point at;
    follow_mode mode = follow_mode::kBackground;
  };

  // Loads the partition again if the first load failed. If the follower
  // continued from the first offset instead, it would never become loaded, and
  // an owner that waits for that would take over its pool and start no task.
  void Resume() {
    if (is_loaded_) {
      ReadNext();
    } else {
      Load("");
    }
  }

  // Calls `action` after `time`, unless the follower is closed or resumed
  // first.
  void Pause(milliseconds time, void (impl::*action)()) {
    is_pausing_ = true;
    timer_.expires_after(time);
    timer_.async_wait([self = weak_from_this(),
                       action](const boost::system::error_code& error) {
      const auto follower = self.lock();
      // The handler may already be queued when the pause is ended early.
      const bool is_due =
          follower && !error && !follower->is_closed_ && follower->is_pausing_;
      if (is_due) {
        follower->is_pausing_ = false;
        (follower.get()->*action)();
      }
    });
  }

  void PauseAfterFailure(void (impl::*action)()) {
    Pause(pause_, action);
    pause_ = std::min(2 * pause_, mode_ == follow_mode::kWatch
                                      ? settings_.max_watch_pause
                                      : settings_.max_pause);
  }

  void Reload() { Load(""); }

  // Reads the newest records page by page, starting after the key `after`.
  void Load(const std::string& after) {
    if (after.empty()) {
      load_began_at_ = BootTime();
    }
    const core::time_point asked_at = BootTime();
    loader_.Load({weak_from_this(), partition_, after, settings_.timeout,
                  settings_.load_priority},
                 [self = weak_from_this(), after,
                  asked_at](const adapter::newest_reply& reply) {
                   const auto follower = self.lock();
                   if (follower && !follower->is_closed_) {
                     if (!reply.is_read) {
                       follower->LogUnanswered("load", asked_at, reply.status);
                     }
                     follower->HandlePage(after, reply);
                   }
                 });
  }

  void HandlePage(const std::string& after,
                  const adapter::newest_reply& reply) {
    on_contact_(reply.is_read);
    // A page whose last key equals its start key would be read again forever.
    const bool is_stuck = reply.has_more && reply.last_key == after;
    if (!reply.is_read || is_stuck) {
      PauseAfterFailure(&impl::Reload);
      return;
    }
    pause_ = settings_.min_pause;
    if (after.empty()) {
      // Later pages may contain records that are newer than this end; all
      // records before it are in the pages.
      load_end_ = reply.end;
    }
    const core::time_point began = BootTime();
    for (const adapter::keyed_record& record : reply.records) {
      on_record_(record);
    }
    LogIfSlow(reply.records.size(), began);
    if (reply.has_more) {
      Load(reply.last_key);
      return;
    }
    cursor_ = std::max(cursor_, load_end_);
    is_loaded_ = true;
    AdvanceCompleteAt(load_began_at_);
    ReadNext();
    std::vector<std::function<void()>> awaiting;
    awaiting.swap(awaiting_load_);
    for (const auto& on_loaded : awaiting) {
      on_loaded();
    }
  }

  void ReadPageAgain(const std::string& after) {
    loader_.Load(
        {weak_from_this(), partition_, after, settings_.timeout,
         settings_.load_priority},
        [self = weak_from_this(), after](const adapter::newest_reply& reply) {
          const auto follower = self.lock();
          if (follower && !follower->is_closed_) {
            follower->HandlePageAgain(after, reply);
          }
        });
  }

  void HandlePageAgain(const std::string& after,
                       const adapter::newest_reply& reply) {
    on_contact_(reply.is_read);
    const core::time_point began = BootTime();
    for (const adapter::keyed_record& record : reply.records) {
      on_record_(record);
    }
    LogIfSlow(reply.records.size(), began);
    if (reply.is_read && reply.has_more && reply.last_key != after) {
      ReadPageAgain(reply.last_key);
      return;
    }
    std::vector<std::function<void(bool)>> done;
    done.swap(current_reread_);
    for (const auto& on_done : done) {
      on_done(reply.is_read);
    }
    if (!is_closed_ && current_reread_.empty() && !next_reread_.empty()) {
      current_reread_.swap(next_reread_);
      ReadPageAgain("");
    }
  }

  // After a failure the first read does not wait for a record: an owner starts
  // no task until it knows the state of the partition again, and for a
  // partition without new records a long-poll read confirms that only when its
  // wait is over.
  milliseconds NextWait() const {
    if (has_failed_) {
      return milliseconds(0);
    }
    return mode_ == follow_mode::kWatch ? settings_.watch_wait
                                        : settings_.background_wait;
  }

  // Supersedes any read in flight: only the newest one is continued.
  void ReadNext() {
    const milliseconds wait = NextWait();
    const sent_read sent{++last_read_, BootTime(), mode_};
    store_.Read(
        partition_, cursor_, wait, settings_.timeout,
        [self = weak_from_this(), sent](const adapter::read_reply& reply) {
          const auto follower = self.lock();
          if (follower && !follower->is_closed_) {
            follower->HandleReadReply(sent, reply);
          }
        });
  }

  void HandleReadReply(const sent_read& sent,
                       const adapter::read_reply& reply) {
    const bool is_failed = reply.outcome == read_outcome::kFailed;
    if (is_failed) {
      LogUnanswered(core::NameOf(sent.mode), sent.at, reply.status);
    }
    const bool has_new_records = ApplyRecords(reply);
    if (reply.outcome == read_outcome::kRead && cursor_ >= reply.end) {
      AdvanceCompleteAt(sent.at);
    }
    // The handler of a record may have changed the mode of this follower, too.
    const bool is_superseded = sent.number != last_read_;
    if (is_superseded) {
      return;
    }
    on_contact_(!is_failed);
    has_failed_ = is_failed;
    if (is_failed) {
      PauseAfterFailure(&impl::ReadNext);
      return;
    }
    // The same bytes would be returned forever. Only the newest record of each
    // key matters, and pages of those are framed differently.
    if (reply.outcome == read_outcome::kInvalidFraming) {
      LogUnframed();
      PauseAfterFailure(&impl::Reload);
      return;
    }
    pause_ = settings_.min_pause;
    if (reply.outcome == read_outcome::kTrimmed) {
      Load("");
      return;
    }
    if (has_new_records && mode_ == follow_mode::kBackground) {
      Pause(settings_.background_pause, &impl::ReadNext);
    } else {
      ReadNext();
    }
  }

  // A read that hung may have withheld records from this process for as long.
  void LogUnanswered(std::string_view mode,
                     core::time_point sent_at,
                     unsigned status) const {
    LogEvent(job_event::kReadUnanswered,
             {{"topic", partition_.topic},
              {"part", std::to_string(partition_.number)},
              {"mode", std::string(mode)},
              {"status", std::to_string(status)},
              {"waited_ms", MillisOf(BootTime() - sent_at)}});
  }

  void LogUnframed() const {
    LogEvent(job_event::kRecordInvalid,
             {{"topic", partition_.topic},
              {"part", std::to_string(partition_.number)},
              {"offset", std::to_string(cursor_)},
              {"fault", "invalid record framing"}});
  }

  void AdvanceCompleteAt(core::time_point asked_at) {
    complete_at_ = std::max(complete_at_, asked_at);
  }

  // Returns true if any of the records had not been read before.
  bool ApplyRecords(const adapter::read_reply& reply) {
    bool has_new_records = false;
    const core::time_point began = BootTime();
    for (const adapter::keyed_record& record : reply.records) {
      if (record.offset >= cursor_) {
        cursor_ = record.offset + 1;
        on_record_(record);
        has_new_records = true;
      }
    }
    LogIfSlow(reply.records.size(), began);
    return has_new_records;
  }

  // Everything else in the process is delayed in the meantime, renewals
  // included.
  void LogIfSlow(std::size_t records, core::time_point began) const {
    const core::duration took = BootTime() - began;
    if (took >= kSlowHandling) {
      LogEvent(job_event::kRecordsSlow,
               {{"topic", partition_.topic},
                {"part", std::to_string(partition_.number)},
                {"records", std::to_string(records)},
                {"ms", MillisOf(took)}});
    }
  }

  // A read in flight may have been answered before the records that the caller
  // expects were stored, so each refresh needs a read that starts after it.
  void StartRefresh() {
    current_refresh_.swap(next_refresh_);
    ReadForRefresh();
  }

  void ReadForRefresh() {
    const core::time_point sent_at = BootTime();
    store_.Read(
        partition_, cursor_, milliseconds(0), settings_.timeout,
        [self = weak_from_this(), sent_at](const adapter::read_reply& reply) {
          const auto follower = self.lock();
          if (follower && !follower->is_closed_) {
            follower->HandleRefreshReply(sent_at, reply);
          }
        });
  }

  void HandleRefreshReply(core::time_point sent_at,
                          const adapter::read_reply& reply) {
    const bool is_read = reply.outcome == read_outcome::kRead;
    on_contact_(reply.outcome != read_outcome::kFailed);
    if (is_read) {
      ApplyRecords(reply);
      if (cursor_ < reply.end && !reply.records.empty()) {
        ReadForRefresh();
        return;
      }
      AdvanceCompleteAt(sent_at);
    }
    std::vector<std::function<void(bool)>> done;
    done.swap(current_refresh_);
    for (const auto& on_done : done) {
      on_done(is_read);
    }
    if (!is_closed_ && current_refresh_.empty() && !next_refresh_.empty()) {
      StartRefresh();
    }
  }

  adapter::store_client& store_;
  partition_loader& loader_;
  adapter::store_partition partition_;
  follower_settings settings_;
  record_handler on_record_;
  contact_handler on_contact_;
  asio::steady_timer timer_;
  milliseconds pause_;
  follow_mode mode_ = follow_mode::kBackground;
  std::uint64_t cursor_ = 0;
  std::uint64_t load_end_ = 0;
  std::uint64_t last_read_ = 0;
  core::time_point load_began_at_;
  core::time_point complete_at_;
  bool is_loaded_ = false;
  /// True if the last read outside refreshes failed.
  bool has_failed_ = false;
  bool is_pausing_ = false;
  bool is_closed_ = false;
  std::vector<std::function<void()>> awaiting_load_;
  std::vector<std::function<void(bool)>> current_refresh_;
  std::vector<std::function<void(bool)>> next_refresh_;
  std::vector<std::function<void(bool)>> current_reread_;
  std::vector<std::function<void(bool)>> next_reread_;
};

log_follower::log_follower(asio::io_context* context,
                           adapter::store_client* store,
                           partition_loader* loader,
                           adapter::store_partition partition,
                           const follower_settings& settings,
                           record_handler on_record,
                           contact_handler on_contact)
    : impl_(std::make_shared<impl>(context,
                                   store,
                                   loader,
                                   std::move(partition),
                                   settings,
                                   std::move(on_record),
                                   std::move(on_contact))) {}

log_follower::~log_follower() {
  impl_->Close();
}

void log_follower::Start(follow_mode mode) {
  impl_->Start(mode);
}

void log_follower::SetMode(follow_mode mode) {
  impl_->SetMode(mode);
}

void log_follower::Refresh(std::function<void(bool)> on_done) {
  impl_->Refresh(std::move(on_done));
}

void log_follower::ReadAgain(std::function<void(bool)> on_done) {
  impl_->ReadAgain(std::move(on_done));
}

void log_follower::Abort() {
  impl_->Abort();
}

void log_follower::AwaitLoaded(std::function<void()> on_loaded) {
  impl_->AwaitLoaded(std::move(on_loaded));
}

bool log_follower::IsLoaded() const {
  return impl_->is_loaded();
}

core::time_point log_follower::CompleteAt() const {
  return impl_->complete_at();
}

const adapter::store_partition& log_follower::partition() const {
  return impl_->partition();
}

std::uint64_t log_follower::cursor() const {
  return impl_->cursor();
}

}  // namespace plantainhead::jobs
