#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/store_view.h"

// Refreshes that a caller waits for.

namespace plantainhead::jobs {

void store_view::RefreshJobs(std::uint32_t partition,
                             std::function<void(bool)> on_done) {
  const auto found = job_followers_.find(partition);
  if (found == job_followers_.end()) {
    on_done(false);
    return;
  }
  found->second->Refresh(std::move(on_done));
}

void store_view::RefreshQueue(const core::jobs::queue_route& route,
                              std::function<void(bool)> on_done) {
  struct refresh_state {
    std::size_t remaining = 0;
    bool is_read = true;
    std::function<void(bool)> on_done;
  };
  const auto state = std::make_shared<refresh_state>();
  state->on_done = std::move(on_done);
  const auto partitions = JobPartitionsOf(route.queue);
  state->remaining = partitions.size();
  for (const std::uint32_t partition : partitions) {
    RefreshJobs(partition, [state](bool is_read) {
      state->is_read = state->is_read && is_read;
      if (--state->remaining == 0) {
        state->on_done(state->is_read);
      }
    });
  }
}

void store_view::RefreshAllJobs(const std::function<void()>& on_done) {
  const core::time_point began = BootTime();
  ++full_refreshes_;
  if (AreJobsWaitingForTakeover()) {
    // Jobs that are read before a new owner claims its pool come in any order.
    is_overfull_ = true;
    UnopenOtherJobs();
  }
  FollowJobs();
  const auto remaining = std::make_shared<std::size_t>(job_followers_.size());
  const auto on_all_read = [this, began, on_done] {
    all_jobs_read_at_ = std::max(all_jobs_read_at_, began);
    on_done();
    EndFullRefresh();
  };
  const auto on_read = [this, remaining, on_all_read] {
    if (--*remaining > 0) {
      return;
    }
    if (is_overfull_) {
      EndOverfullRefresh(on_all_read);
    } else {
      on_all_read();
    }
  };
  for (const auto& [partition, follower] : job_followers_) {
    RefreshUntilRead(follower, on_read);
  }
}

// Posted, because the callers of this function may include followers that are
// to be removed.
void store_view::EndFullRefresh() {
  boost::asio::post(*context_, [this] {
    --full_refreshes_;
    FollowJobs();
  });
}

// Retries only the partition whose read failed. A partition that is no longer
// followed need not be read.
void store_view::RefreshUntilRead(const std::weak_ptr<log_follower>& reader,
                                  const std::function<void()>& on_read) {
  const auto follower = reader.lock();
  if (!follower) {
    return;
  }
  follower->AwaitLoaded([this, reader, on_read] {
    const auto loaded = reader.lock();
    if (!loaded) {
      return;
    }
    loaded->Refresh([this, reader, on_read](bool is_read) {
      if (is_read) {
        on_read();
      } else {
        RetryRefresh(reader, on_read);
      }
    });
  });
}

void store_view::RetryRefresh(const std::weak_ptr<log_follower>& reader,
                              const std::function<void()>& on_read) {
  const auto follower = reader.lock();
  if (!follower) {
    return;
  }
  LogEvent(job_event::kReadRepeated,
           {{"topic", follower->partition().topic},
            {"part", std::to_string(follower->partition().number)}});
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(settings_.min_pause);
  timer->async_wait([this, reader, on_read,
                     timer](const boost::system::error_code& /*error*/) {
    RefreshUntilRead(reader, on_read);
  });
}

void store_view::RefreshProgress(std::uint32_t partition,
                                 std::function<void(bool)> on_done) {
  log_follower& follower = PoolFollower(partition);
  const std::weak_ptr<log_follower> reader = pool_followers_.at(partition);
  follower.AwaitLoaded([reader, on_done = std::move(on_done)] {
    if (const auto loaded = reader.lock()) {
      loaded->Refresh(on_done);
    }
  });
}

std::set<std::uint32_t> store_view::FormerPartitions(
    std::uint32_t partition) const {
  std::set<std::uint32_t> former;
  for (const auto& [queue, pools] : history_.pools()) {
    std::set<std::uint32_t> partitions;
    for (const core::jobs::pool_id& pool : pools) {
      partitions.insert(PoolPartitionOf(pool));
    }
    if (partitions.erase(partition) != 0) {
      former.merge(partitions);
    }
  }
  return former;
}

void store_view::RefreshFormerProgress(std::uint32_t partition,
                                       const std::function<void()>& on_done) {
  address_follower_->AwaitLoaded([this, partition, on_done] {
    const std::set<std::uint32_t> former = FormerPartitions(partition);
    if (former.empty()) {
      on_done();
      return;
    }
    const auto remaining = std::make_shared<std::size_t>(former.size());
    for (const std::uint32_t other : former) {
      ++former_reads_[other];
      PoolFollower(other);
      RefreshUntilRead(pool_followers_.at(other),
                       [this, other, remaining, on_done] {
                         EndFormerRead(other);
                         if (--*remaining == 0) {
                           on_done();
                         }
                       });
    }
  });
}

// Posted for the same reason as in `EndFullRefresh`.
void store_view::EndFormerRead(std::uint32_t partition) {
  boost::asio::post(*context_, [this, partition] {
    if (--former_reads_.at(partition) == 0) {
      former_reads_.erase(partition);
    }
    FollowPools();
  });
}

void store_view::RefreshRegistry(const std::function<void()>& on_done) {
  RefreshUntilRead(registry_follower_, on_done);
}

void store_view::RefreshFleetRecords(const std::function<void()>& on_done) {
  RefreshUntilRead(fleet_follower_, on_done);
}

}  // namespace plantainhead::jobs
