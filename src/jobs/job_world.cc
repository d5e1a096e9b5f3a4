#include "jobs/job_world.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
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

// Each process reads what operators publish, and each idle read is a call to
// the store, so that those who own nothing wait longer. A read that hangs is
// given up, and the next one answered, within the time that is allowed.
follower_settings OperatorSettings(follower_settings settings,
                                   core::duration apply) {
  constexpr int kReadsWithin = 2;
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      apply / kReadsWithin - settings.timeout);
  settings.background_wait = std::max(settings.watch_wait, wait);
  settings.background_pause = std::chrono::milliseconds(0);
  return settings;
}

// An address that is known late costs callers a wait, and no more.
follower_settings AddressSettings(follower_settings settings) {
  settings.watch_wait = std::chrono::seconds(5);
  return settings;
}

bool HasPrefix(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

job_world::job_world(boost::asio::io_context* context,
                     adapter::store_client* store,
                     const follower_settings& settings,
                     core::duration configuration_apply,
                     listeners listeners)
    : context_(context),
      store_(store),
      settings_(settings),
      listeners_(std::move(listeners)) {
  operators_ = MakeFollower(
      {adapter::kOperatorTopic, 0},
      OperatorSettings(settings, configuration_apply),
      [this](const adapter::keyed_record& r) { TakeOperatorRecord(r); });
  addresses_ = MakeFollower(
      {adapter::kAddressTopic, 0}, AddressSettings(settings),
      [this](const adapter::keyed_record& r) { TakeAnnouncement(r); });
}

std::shared_ptr<log_follower> job_world::MakeFollower(
    const adapter::store_partition& partition,
    log_follower::record_handler on_record) {
  return MakeFollower(partition, settings_, std::move(on_record));
}

std::shared_ptr<log_follower> job_world::MakeFollower(
    const adapter::store_partition& partition,
    const follower_settings& settings,
    log_follower::record_handler on_record) {
  return std::make_shared<log_follower>(
      context_, store_, partition, settings, std::move(on_record),
      [this](bool is_answered) { listeners_.on_store_contact(is_answered); });
}

void job_world::Start() {
  operators_->Start(follow_mode::kBackground);
  addresses_->Start(follow_mode::kWatch);
}

bool job_world::IsLoaded() const {
  return routes_.configuration().version > 0;
}

core::time_point job_world::ConfigurationReadAt() const {
  return operators_->CompleteAt();
}

template <typename Partitions>
core::duration job_world::CopyAgeOf(const Partitions& partitions) const {
  const core::time_point now = BootTime();
  core::time_point oldest = now;
  for (const std::uint32_t partition : partitions) {
    const auto found = job_followers_.find(partition);
    oldest = std::min(oldest, found == job_followers_.end()
                                  ? core::time_point()
                                  : found->second->CompleteAt());
  }
  return now - oldest;
}

core::time_point job_world::AllJobsReadAt() const {
  std::array<std::uint32_t, kJobPartitions> all{};
  std::iota(all.begin(), all.end(), 0U);
  return std::max(all_read_at_, BootTime() - CopyAgeOf(all));
}

core::duration job_world::JobCopyAge(const core::jobs::queue_id& queue) const {
  return CopyAgeOf(JobPartitionsOf(queue));
}

core::duration job_world::WatchedJobCopyAge() const {
  return CopyAgeOf(watched_);
}

bool job_world::KnowsQueue(const core::jobs::queue_route& route) const {
  const auto partitions = JobPartitionsOf(route.queue);
  return std::all_of(
      partitions.begin(), partitions.end(), [this](std::uint32_t partition) {
        const auto found = job_followers_.find(partition);
        return found != job_followers_.end() && found->second->IsLoaded();
      });
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

void job_world::NoteJobRecord(std::uint32_t partition,
                              const adapter::keyed_record& record) {
  if (job_followers_.count(partition) != 0) {
    TakeJobRecord(record);
  }
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
  // An owner reads back what it has stored itself. The first submission of an
  // id counts, so that a second one needn't be decoded.
  const bool is_repeated =
      IsSubmission(record) && directory_.Find(record.key) != nullptr;
  if (is_repeated) {
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
  UpdateFollowers();
  listeners_.on_configuration();
}

log_follower& job_world::PoolFollower(std::uint32_t partition) {
  std::shared_ptr<log_follower>& follower = pool_followers_[partition];
  if (!follower) {
    follower = MakeFollower({kProgressTopic, partition},
                            [this, partition](const adapter::keyed_record& r) {
                              TakePoolRecord(partition, r);
                            });
    follower->Start(follow_mode::kBackground);
  }
  return *follower;
}

bool job_world::IsPoolFollowed(std::uint32_t partition) const {
  const auto owned = std::find(owned_.begin(), owned_.end(), partition);
  return is_fleet_owned_ || owned != owned_.end();
}

// What the partitions told is forgotten when they are read no more: nothing
// would take out of it what is dropped from the store meanwhile.
void job_world::FollowPools() {
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

void job_world::SetOwned(const std::vector<std::uint32_t>& pool_partitions) {
  owned_ = pool_partitions;
  UpdateFollowers();
}

void job_world::SetFleetOwned(bool is_owned) {
  is_fleet_owned_ = is_owned;
  UpdateFollowers();
}

// An owner must learn of new jobs at once, and of cancellations also of jobs
// whose queue has moved to another pool since: read in the background these
// came 7 s late.
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

void job_world::FollowJobs() {
  watched_ = WatchedJobPartitions();
  const bool reads_all = readings_of_all_ > 0;
  for (std::uint32_t i = 0; i < kJobPartitions; ++i) {
    const bool is_watched = watched_.count(i) != 0;
    if (!is_watched && !reads_all) {
      LeaveJobs(i);
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
        {kJobTopic, i},
        [this](const adapter::keyed_record& r) { TakeJobRecord(r); });
    follower->Start(mode);
  }
}

void job_world::LeaveJobs(std::uint32_t partition) {
  const auto found = job_followers_.find(partition);
  if (found != job_followers_.end()) {
    const auto follower = std::move(found->second);
    job_followers_.erase(found);
    follower->Abandon();
  }
}

void job_world::UpdateFollowers() {
  FollowJobs();
  FollowPools();
  const bool owns_any = !owned_.empty() || is_fleet_owned_;
  // An owner gives no orders while it doesn't know what operators want.
  operators_->SetMode(owns_any ? follow_mode::kWatch
                               : follow_mode::kBackground);
  if (!owns_any) {
    LeaveFleet();
    return;
  }
  FollowFleet();
  registry_follower_->SetMode(owned_.empty() ? follow_mode::kBackground
                                             : follow_mode::kWatch);
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
  fleet_follower_->Start(follow_mode::kWatch);
}

void job_world::LeaveFleet() {
  registry_follower_.reset();
  fleet_follower_.reset();
  registry_ = core::jobs::vm_registry();
  fleet_records_.clear();
}

void job_world::TakeAnnouncement(const adapter::keyed_record& record) {
  if (!record.value && !record.fault) {
    return;
  }
  const auto decoded = peers::DecodeAnnouncement(record);
  if (!decoded) {
    faults_.Note(adapter::kAddressTopic, record.key, decoded.fault());
    return;
  }
  faults_.NoteSound(adapter::kAddressTopic, record.key);
  listeners_.on_announcement(*decoded);
}

void job_world::RefreshJobs(std::uint32_t partition,
                            std::function<void(bool)> on_done) {
  const auto found = job_followers_.find(partition);
  if (found == job_followers_.end()) {
    on_done(false);
    return;
  }
  found->second->Refresh(std::move(on_done));
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
  const auto partitions = JobPartitionsOf(route.queue);
  state->left = partitions.size();
  for (const std::uint32_t partition : partitions) {
    RefreshJobs(partition, [state](bool is_read) {
      state->is_read = state->is_read && is_read;
      if (--state->left == 0) {
        state->on_done(state->is_read);
      }
    });
  }
}

void job_world::RefreshAllJobs(const std::function<void()>& on_done) {
  const core::time_point began = BootTime();
  ++readings_of_all_;
  FollowJobs();
  const auto left = std::make_shared<std::size_t>(job_followers_.size());
  for (const auto& [partition, follower] : job_followers_) {
    RefreshUntilRead(follower, [this, left, began, on_done] {
      if (--*left == 0) {
        all_read_at_ = std::max(all_read_at_, began);
        on_done();
        EndReadingOfAll();
      }
    });
  }
}

// Followers that aren't needed any more may be among the callers of this.
void job_world::EndReadingOfAll() {
  boost::asio::post(*context_, [this] {
    --readings_of_all_;
    FollowJobs();
  });
}

// Repeats what has failed, and not what other partitions have read already. A
// partition that isn't read here any more needs no reading.
void job_world::RefreshUntilRead(const std::weak_ptr<log_follower>& reader,
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
        RepeatRefresh(reader, on_read);
      }
    });
  });
}

void job_world::RepeatRefresh(const std::weak_ptr<log_follower>& reader,
                              const std::function<void()>& on_read) {
  const auto follower = reader.lock();
  if (!follower) {
    return;
  }
  LogEvent(job_event::kReadRepeated,
           {{"topic", follower->partition().topic},
            {"part", std::to_string(follower->partition().number)}});
  const auto timer = std::make_shared<boost::asio::steady_timer>(*context_);
  timer->expires_after(settings_.least_pause);
  timer->async_wait([this, reader, on_read,
                     timer](const boost::system::error_code& /*error*/) {
    RefreshUntilRead(reader, on_read);
  });
}

void job_world::RefreshProgress(std::uint32_t partition,
                                std::function<void(bool)> on_done) {
  log_follower& follower = PoolFollower(partition);
  const std::weak_ptr<log_follower> reader = pool_followers_.at(partition);
  follower.AwaitLoaded([reader, on_done = std::move(on_done)] {
    if (const auto loaded = reader.lock()) {
      loaded->Refresh(on_done);
    }
  });
}

void job_world::RefreshRegistry(const std::function<void()>& on_done) {
  RefreshUntilRead(registry_follower_, on_done);
}

void job_world::RefreshFleetRecords(const std::function<void()>& on_done) {
  RefreshUntilRead(fleet_follower_, on_done);
}

}  // namespace plantainhead::jobs
