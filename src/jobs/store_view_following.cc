#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/store_view.h"

// Selects the partitions that a process follows, depending on what it owns.

namespace plantainhead::jobs {
namespace {

// Low priority, because an owner claims its pool before it knows all jobs, and
// an owner without the configuration issues no orders.
follower_settings JobSettings(follower_settings settings) {
  settings.load_priority = load_priority::kLow;
  return settings;
}

}  // namespace

log_follower& store_view::PoolFollower(std::uint32_t partition) {
  std::shared_ptr<log_follower>& follower = pool_followers_[partition];
  if (!follower) {
    follower = MakeFollower({kProgressTopic, partition},
                            [this, partition](const adapter::keyed_record& r) {
                              ApplyPoolRecord(partition, r);
                            });
    follower->Start(follow_mode::kBackground);
  }
  return *follower;
}

bool store_view::IsPoolFollowed(std::uint32_t partition) const {
  const auto owned = std::find(owned_pool_partitions_.begin(),
                               owned_pool_partitions_.end(), partition);
  return is_fleet_owned_ || owned != owned_pool_partitions_.end() ||
         former_reads_.count(partition) != 0;
}

// Discards the state of partitions that are no longer followed, because records
// that are dropped from the store in the meantime would never be removed from
// it.
void store_view::FollowPools() {
  for (auto it = pool_followers_.begin(); it != pool_followers_.end();) {
    const std::uint32_t partition = it->first;
    if (IsPoolFollowed(partition)) {
      ++it;
      continue;
    }
    used_vms_.erase(partition);
    vacant_vms_.erase(partition);
    owners_.erase(partition);
    if (partition == kFleetPartition) {
      ordered_hosts_.clear();
    }
    it = pool_followers_.erase(it);
  }
  for (const core::jobs::pool_settings& pool : routes_.configuration().pools) {
    const std::uint32_t partition = PoolPartitionOf(pool.id);
    if (!pool.is_spare && IsPoolFollowed(partition)) {
      PoolFollower(partition);
    }
  }
}

void store_view::SetOwned(const std::vector<std::uint32_t>& pool_partitions) {
  owned_pool_partitions_ = pool_partitions;
  UpdateFollowers();
}

void store_view::SetFleetOwned(bool is_owned) {
  is_fleet_owned_ = is_owned;
  changed_vacancies_.clear();
  UpdateFollowers();
}

// An owner must learn of new jobs immediately, and also of cancellations of
// jobs whose queue has since moved to another pool: with background reads these
// arrived 7 s late.
std::set<std::uint32_t> store_view::WatchedJobPartitions() const {
  std::set<std::uint32_t> watched;
  const auto watch = [&](const core::jobs::pool_id& pool,
                         const core::jobs::queue_id& queue) {
    const auto owned =
        std::find(owned_pool_partitions_.begin(), owned_pool_partitions_.end(),
                  PoolPartitionOf(pool));
    if (owned != owned_pool_partitions_.end()) {
      const auto partitions = JobPartitionsOf(queue);
      watched.insert(partitions.begin(), partitions.end());
    }
  };
  for (const core::jobs::queue_route& route : routes_.configuration().routes) {
    watch(route.pool, route.queue);
  }
  for (const auto& [pool_and_queue, count] : directory_.OpenJobs()) {
    watch(pool_and_queue.first, pool_and_queue.second);
  }
  for (const auto& [pool_and_queue, until] : former_routes_) {
    if (BootTime() < until) {
      watch(pool_and_queue.first, pool_and_queue.second);
    }
  }
  return watched;
}

void store_view::FollowJobs() {
  watched_job_partitions_ = WatchedJobPartitions();
  const bool reads_all = full_refreshes_ > 0;
  for (std::uint32_t i = 0; i < kJobPartitions; ++i) {
    const bool is_watched = watched_job_partitions_.count(i) != 0;
    if (!is_watched && !reads_all) {
      UnfollowJobs(i);
      continue;
    }
    const follow_mode mode =
        is_watched ? follow_mode::kWatch : follow_mode::kBackground;
    std::shared_ptr<log_follower>& follower = job_followers_[i];
    if (follower) {
      follower->SetMode(mode);
      continue;
    }
    follower = MakeFollower(
        {kJobTopic, i}, JobSettings(settings_),
        [this](const adapter::keyed_record& r) { ApplyJobRecord(r); });
    follower->Start(mode);
  }
}

void store_view::UnfollowJobs(std::uint32_t partition) {
  const auto found = job_followers_.find(partition);
  if (found != job_followers_.end()) {
    const auto follower = std::move(found->second);
    job_followers_.erase(found);
    follower->Abort();
  }
}

void store_view::UpdateFollowers() {
  FollowJobs();
  FollowPools();
  const bool owns_any = !owned_pool_partitions_.empty() || is_fleet_owned_;
  // An owner issues no orders while it does not know the operators'
  // configuration.
  operator_follower_->SetMode(owns_any ? follow_mode::kWatch
                                       : follow_mode::kBackground);
  if (!owns_any) {
    UnfollowFleet();
    return;
  }
  FollowFleet();
  // Also in a process that owns no pool yet, because tasks are started only on
  // VMs with fresh registry entries.
  registry_follower_->SetMode(follow_mode::kWatch);
}

void store_view::FollowFleet() {
  if (registry_follower_) {
    return;
  }
  registry_follower_ = MakeFollower(
      {adapter::kRegistryTopic, 0},
      [this](const adapter::keyed_record& r) { ApplyRegistryRecord(r); });
  registry_follower_->Start(follow_mode::kBackground);
  fleet_follower_ = MakeFollower(
      {kFleetTopic, 0},
      [this](const adapter::keyed_record& r) { ApplyFleetRecord(r); });
  fleet_follower_->Start(follow_mode::kWatch);
}

void store_view::UnfollowFleet() {
  registry_follower_.reset();
  fleet_follower_.reset();
  registry_ = core::jobs::vm_registry();
  report_validity_.Clear();
  fleet_records_.clear();
  changed_vms_.clear();
  changed_fleet_keys_.clear();
}

}  // namespace plantainhead::jobs
