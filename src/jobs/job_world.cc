#include "jobs/job_world.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <numeric>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "plantainhead/core/visit.h"
#include "platform/configuration_codec.h"

namespace plantainhead::jobs {
namespace {

bool HasPrefix(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

job_world::job_world(boost::asio::io_context* context,
                     adapter::store_client* store,
                     const follower_settings& settings,
                     listeners listeners)
    : context_(context),
      store_(store),
      settings_(settings),
      listeners_(std::move(listeners)) {
  operators_ = MakeFollower(
      {adapter::kOperatorTopic, 0},
      [this](const adapter::keyed_record& r) { TakeOperatorRecord(r); });
  for (std::uint32_t i = 0; i < kJobPartitions; ++i) {
    job_followers_.push_back(MakeFollower(
        {kJobTopic, i},
        [this](const adapter::keyed_record& r) { TakeJobRecord(r); }));
  }
}

std::unique_ptr<log_follower> job_world::MakeFollower(
    const adapter::store_partition& partition,
    log_follower::record_handler on_record) {
  return std::make_unique<log_follower>(
      context_, store_, partition, settings_, std::move(on_record),
      [this](bool is_answered) { listeners_.on_store_contact(is_answered); });
}

void job_world::Start(bool expects_pools) {
  if (expects_pools) {
    FollowFleet();
  }
  operators_->Start(follow_mode::kWatch);
  for (const auto& follower : job_followers_) {
    follower->Start(follow_mode::kBackground);
  }
}

bool job_world::IsLoaded() const {
  const auto is_loaded = [](const std::unique_ptr<log_follower>& follower) {
    return follower->IsLoaded();
  };
  return routes_.configuration().version > 0 &&
         std::all_of(job_followers_.begin(), job_followers_.end(), is_loaded) &&
         std::all_of(
             pool_followers_.begin(), pool_followers_.end(),
             [&](const auto& entry) { return is_loaded(entry.second); });
}

template <typename Partitions>
core::duration job_world::CopyAgeOf(const Partitions& partitions) const {
  const core::time_point now = BootTime();
  core::time_point oldest = now;
  for (const std::uint32_t partition : partitions) {
    oldest = std::min(oldest, job_followers_[partition]->CompleteAt());
  }
  return now - oldest;
}

core::duration job_world::JobCopyAge() const {
  std::array<std::uint32_t, kJobPartitions> all{};
  std::iota(all.begin(), all.end(), 0U);
  return CopyAgeOf(all);
}

core::duration job_world::JobCopyAge(const core::jobs::queue_id& queue) const {
  return CopyAgeOf(JobPartitionsOf(queue));
}

core::duration job_world::WatchedJobCopyAge() const {
  return CopyAgeOf(watched_);
}

core::jobs::queue_policy job_world::PolicyOf(
    const core::jobs::queue_id& queue) const {
  const auto found = policies_.find(queue);
  return found == policies_.end() ? core::jobs::queue_policy() : found->second;
}

owner_record job_world::OwnerOf(std::uint32_t pool_partition) const {
  const auto found = owners_.find(pool_partition);
  return found == owners_.end() ? owner_record() : found->second;
}

std::uint64_t job_world::CursorOf(std::uint32_t pool_partition) const {
  const auto found = pool_followers_.find(pool_partition);
  return found == pool_followers_.end() ? 0 : found->second->cursor();
}

void job_world::NoteProgress(const core::jobs::job_id& id,
                             core::jobs::job_progress progress) {
  directory_.NoteProgress(id, std::move(progress));
}

void job_world::TakeJobRecord(const adapter::keyed_record& record) {
  const bool is_dropped = !record.value && !record.fault;
  if (is_dropped) {
    return;
  }
  auto decoded = DecodeJobRecord(record);
  if (!decoded) {
    faults_.Note(kJobTopic, record.key, decoded.fault());
    return;
  }
  std::visit(core::overloaded{
                 [this](submission_record& submission) {
                   auto spec = std::make_shared<const core::jobs::job_spec>(
                       std::move(submission.spec));
                   if (directory_.AddJob(spec)) {
                     listeners_.on_job(spec);
                   }
                 },
                 [this](const ended_record& ended) {
                   directory_.NoteEnded(ended.job, ended.phase);
                 },
                 [this](const cancel_record& cancel) {
                   if (directory_.NoteCancel(cancel.job)) {
                     listeners_.on_cancel(cancel.job);
                   }
                 }},
             *decoded);
}

void job_world::TakePoolRecord(std::uint32_t partition,
                               const adapter::keyed_record& record) {
  auto decoded = DecodePoolRecord(record);
  if (!decoded) {
    if (record.value || record.fault) {
      TakePoolFault(partition, record, decoded.fault());
    }
    return;
  }
  std::visit(core::overloaded{[this](progress_record& progress) {
                                directory_.NoteProgress(
                                    progress.job, std::move(progress.progress));
                              },
                              [this, partition](owner_record& owner) {
                                owner_record& note = owners_[partition];
                                if (owner.epoch >= note.epoch) {
                                  note = std::move(owner);
                                }
                              },
                              [this, partition](vm_record& vm) {
                                if (vm.is_dropped) {
                                  used_vms_[partition].erase(vm.vm);
                                } else {
                                  used_vms_[partition][vm.vm] = vm.address;
                                }
                              },
                              [this, partition](vacancy_record& vacancy) {
                                if (vacancy.is_dropped) {
                                  vacant_vms_[partition].erase(vacancy.vm);
                                } else {
                                  vacant_vms_[partition].insert(vacancy.vm);
                                }
                              },
                              [this](order_record& order) {
                                if (order.is_dropped) {
                                  ordered_hosts_.erase(order.host);
                                } else {
                                  ordered_hosts_[order.host] =
                                      std::move(order.holder);
                                }
                              }},
             *decoded);
}

void job_world::TakeOperatorRecord(const adapter::keyed_record& record) {
  if (record.fault) {
    faults_.Note(adapter::kOperatorTopic, record.key, *record.fault);
    return;
  }
  if (!record.value) {
    return;
  }
  if (record.key == adapter::kConfigurationKey) {
    TakeConfiguration(*record.value);
    return;
  }
  if (HasPrefix(record.key, adapter::kWaveKeyPrefix)) {
    auto wave = adapter::DecodeWave(record.key, *record.value);
    if (!wave) {
      faults_.Note(adapter::kOperatorTopic, record.key, wave.fault());
      return;
    }
    faults_.NoteSound(adapter::kOperatorTopic, record.key);
    if (operators_->IsLoaded()) {
      wave->published_at = BootTime();
    }
    // Records may be read again; the first reading tells the time.
    waves_.try_emplace(wave->number, std::move(*wave));
    listeners_.on_fleet_records();
  }
}

void job_world::TakeConfiguration(const std::string& value) {
  auto decoded = adapter::DecodeConfiguration(value);
  if (!decoded) {
    faults_.Note(adapter::kOperatorTopic, adapter::kConfigurationKey,
                 decoded.fault());
    LogEvent(job_event::kConfigurationInvalid,
             {{"fault", std::string(core::NameOf(decoded.fault().kind))},
              {"field", decoded.fault().field},
              {"in_force", std::to_string(routes_.configuration().version)}});
    return;
  }
  faults_.NoteSound(adapter::kOperatorTopic, adapter::kConfigurationKey);
  // Pages and appends may show an older version after a newer one.
  if (decoded->version <= routes_.configuration().version) {
    return;
  }
  routes_ = core::jobs::routing_table(std::move(*decoded));
  for (const core::jobs::queue_route& route : routes_.configuration().routes) {
    policies_[route.queue] = route.policy;
  }
  LogEvent(job_event::kConfigurationApplied,
           {{"version", std::to_string(routes_.configuration().version)},
            {"routes", std::to_string(routes_.configuration().routes.size())}});
  FollowPools();
  listeners_.on_configuration();
}

log_follower& job_world::PoolFollower(std::uint32_t partition) {
  std::unique_ptr<log_follower>& follower = pool_followers_[partition];
  if (!follower) {
    follower = MakeFollower({kProgressTopic, partition},
                            [this, partition](const adapter::keyed_record& r) {
                              TakePoolRecord(partition, r);
                            });
    follower->Start(follow_mode::kBackground);
  }
  return *follower;
}

void job_world::FollowPools() {
  for (const core::jobs::pool_settings& pool : routes_.configuration().pools) {
    if (!pool.is_spare) {
      PoolFollower(PoolPartitionOf(pool.id));
    }
  }
  UpdateModes();
}

void job_world::SetOwned(const std::vector<std::uint32_t>& pool_partitions) {
  owned_ = pool_partitions;
  UpdateModes();
}

void job_world::SetFleetOwned(bool is_owned) {
  is_fleet_owned_ = is_owned;
  UpdateModes();
}

// An owner must learn of new jobs at once, and of cancellations also of jobs
// whose queue has moved to another pool since: read in the background these
// came 7 s late. For all others the background is enough, since they refresh
// before they answer.
std::set<std::uint32_t> job_world::WatchedJobPartitions() const {
  std::set<std::uint32_t> watched;
  const auto watch = [&](const core::jobs::pool_id& pool,
                         const core::jobs::queue_id& queue) {
    const auto owned =
        std::find(owned_.begin(), owned_.end(), PoolPartitionOf(pool));
    if (owned != owned_.end()) {
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
  return watched;
}

void job_world::UpdateModes() {
  watched_ = WatchedJobPartitions();
  for (std::uint32_t i = 0; i < job_followers_.size(); ++i) {
    job_followers_[i]->SetMode(watched_.count(i) != 0
                                   ? follow_mode::kWatch
                                   : follow_mode::kBackground);
  }
  const bool owns_any = !owned_.empty() || is_fleet_owned_;
  if (owns_any) {
    FollowFleet();
  }
  if (registry_follower_) {
    registry_follower_->SetMode(owned_.empty() ? follow_mode::kBackground
                                               : follow_mode::kWatch);
    fleet_follower_->SetMode(owns_any ? follow_mode::kWatch
                                      : follow_mode::kBackground);
  }
}

void job_world::FollowFleet() {
  if (registry_follower_) {
    return;
  }
  registry_follower_ = MakeFollower(
      {adapter::kRegistryTopic, 0},
      [this](const adapter::keyed_record& r) { TakeRegistryRecord(r); });
  registry_follower_->Start(follow_mode::kBackground);
  fleet_follower_ = MakeFollower(
      {kFleetTopic, 0},
      [this](const adapter::keyed_record& r) { TakeFleetRecord(r); });
  fleet_follower_->Start(follow_mode::kBackground);
}

void job_world::RefreshJobs(std::uint32_t partition,
                            std::function<void(bool)> on_done) {
  job_followers_[partition]->Refresh(std::move(on_done));
}

void job_world::RefreshQueue(const core::jobs::queue_route& route,
                             std::function<void(bool)> on_done) {
  struct reading {
    std::size_t left = 0;
    bool is_read = true;
    std::function<void(bool)> on_done;
  };
  const auto state = std::make_shared<reading>();
  state->on_done = std::move(on_done);
  std::vector<log_follower*> followers = {
      &PoolFollower(PoolPartitionOf(route.pool))};
  for (const std::uint32_t partition : JobPartitionsOf(route.queue)) {
    followers.push_back(job_followers_[partition].get());
  }
  state->left = followers.size();
  for (log_follower* follower : followers) {
    follower->Refresh([state](bool is_read) {
      state->is_read = state->is_read && is_read;
      if (--state->left == 0) {
        state->on_done(state->is_read);
      }
    });
  }
}

void job_world::RefreshAllJobs(const std::function<void()>& on_done) {
  const auto left = std::make_shared<std::size_t>(job_followers_.size());
  for (const auto& follower : job_followers_) {
    RefreshUntilRead(follower.get(), [left, on_done] {
      if (--*left == 0) {
        on_done();
      }
    });
  }
}

// Repeats what has failed, and not what other partitions have read already.
void job_world::RefreshUntilRead(log_follower* follower,
                                 const std::function<void()>& on_read) {
  follower->AwaitLoaded([this, follower, on_read] {
    follower->Refresh([this, follower, on_read](bool is_read) {
      if (is_read) {
        on_read();
        return;
      }
      LogEvent(job_event::kReadRepeated,
               {{"topic", follower->partition().topic},
                {"part", std::to_string(follower->partition().number)}});
      const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
      timer->expires_after(settings_.least_pause);
      timer->async_wait([this, follower, on_read,
                         timer](const boost::system::error_code& /*error*/) {
        RefreshUntilRead(follower, on_read);
      });
    });
  });
}

void job_world::RefreshProgress(std::uint32_t partition,
                                std::function<void(bool)> on_done) {
  PoolFollower(partition).Refresh(std::move(on_done));
}

void job_world::RefreshRegistry(const std::function<void()>& on_done) {
  RefreshUntilRead(registry_follower_.get(), on_done);
}

void job_world::RefreshFleetRecords(const std::function<void()>& on_done) {
  RefreshUntilRead(fleet_follower_.get(), on_done);
}

}  // namespace plantainhead::jobs
