#include "jobs/store_view.h"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <numeric>
#include <string_view>
#include <utility>
#include <variant>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "plantainhead/core/visit.h"
#include "platform/configuration_codec.h"

namespace plantainhead::jobs {
namespace {

// Processes that cannot read the store apply a configuration some seconds late,
// and what they store may itself arrive late.
constexpr std::chrono::seconds kFormerRouteRetention(30);

// Every process reads the operators' topic, and each idle read is a call to the
// store, so processes that own nothing use a longer wait. A read that hangs is
// abandoned, and the next one is answered, within the allowed time.
follower_settings OperatorSettings(follower_settings settings,
                                   core::duration apply) {
  constexpr int kReadsPerApplyTime = 2;
  const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(
      apply / kReadsPerApplyTime - settings.timeout);
  settings.background_wait = std::max(settings.watch_wait, wait);
  settings.background_pause = std::chrono::milliseconds(0);
  return settings;
}

// An address that is learned late only delays callers' requests.
follower_settings AddressSettings(follower_settings settings) {
  settings.watch_wait = std::chrono::seconds(5);
  return settings;
}

bool HasPrefix(const std::string& text, std::string_view prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

store_view::store_view(boost::asio::io_context* context,
                       adapter::store_client* store,
                       const follower_settings& settings,
                       core::duration configuration_apply,
                       listeners listeners)
    : context_(context),
      store_(store),
      loader_(store),
      settings_(settings),
      listeners_(std::move(listeners)),
      registry_notification_(context, [this] { listeners_.on_registry(); }),
      fleet_records_notification_(context,
                                  [this] { listeners_.on_fleet_records(); }),
      opening_timer_(*context) {
  operator_follower_ = MakeFollower(
      {adapter::kOperatorTopic, 0},
      OperatorSettings(settings, configuration_apply),
      [this](const adapter::keyed_record& r) { ApplyOperatorRecord(r); });
  address_follower_ = MakeFollower(
      {adapter::kAddressTopic, 0}, AddressSettings(settings),
      [this](const adapter::keyed_record& r) { ApplyAnnouncement(r); });
}

std::shared_ptr<log_follower> store_view::MakeFollower(
    const adapter::store_partition& partition,
    log_follower::record_handler on_record) {
  return MakeFollower(partition, settings_, std::move(on_record));
}

std::shared_ptr<log_follower> store_view::MakeFollower(
    const adapter::store_partition& partition,
    const follower_settings& settings,
    log_follower::record_handler on_record) {
  return std::make_shared<log_follower>(
      context_, store_, &loader_, partition, settings, std::move(on_record),
      [this](bool is_answered) { listeners_.on_store_contact(is_answered); });
}

void store_view::Start() {
  operator_follower_->Start(follow_mode::kBackground);
  address_follower_->Start(follow_mode::kWatch);
}

bool store_view::IsLoaded() const {
  return routes_.configuration().version > 0;
}

core::time_point store_view::ConfigurationReadAt() const {
  return operator_follower_->CompleteAt();
}

template <typename Partitions>
core::duration store_view::CopyAgeOf(const Partitions& partitions) const {
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

core::time_point store_view::AllJobsReadAt() const {
  std::array<std::uint32_t, kJobPartitions> all{};
  std::iota(all.begin(), all.end(), 0U);
  return std::max(all_jobs_read_at_, BootTime() - CopyAgeOf(all));
}

core::duration store_view::JobCopyAge(const core::jobs::queue_id& queue) const {
  return CopyAgeOf(JobPartitionsOf(queue));
}

core::duration store_view::WatchedJobCopyAge() const {
  return CopyAgeOf(watched_job_partitions_);
}

core::duration store_view::AgeOf(
    const std::shared_ptr<log_follower>& follower) {
  return BootTime() - (follower ? follower->CompleteAt() : core::time_point());
}

core::duration store_view::RegistryCopyAge() const {
  return AgeOf(registry_follower_);
}

core::duration store_view::FleetCopyAge() const {
  return AgeOf(fleet_follower_);
}

bool store_view::IsQueueLoaded(const core::jobs::queue_route& route) const {
  const auto partitions = JobPartitionsOf(route.queue);
  return std::all_of(
      partitions.begin(), partitions.end(), [this](std::uint32_t partition) {
        const auto found = job_followers_.find(partition);
        return found != job_followers_.end() && found->second->IsLoaded();
      });
}

core::jobs::queue_policy store_view::PolicyOf(
    const core::jobs::queue_id& queue) const {
  const core::jobs::queue_route* route = routes_.FindQueue(queue);
  return route != nullptr
             ? route->policy
             : history_.PolicyOf(queue).value_or(core::jobs::queue_policy());
}

owner_record store_view::OwnerOf(std::uint32_t pool_partition) const {
  const auto found = owners_.find(pool_partition);
  return found == owners_.end() ? owner_record() : found->second;
}

std::uint64_t store_view::CursorOf(std::uint32_t pool_partition) const {
  const auto found = pool_followers_.find(pool_partition);
  return found == pool_followers_.end() ? 0 : found->second->cursor();
}

void store_view::NoteJobRecord(std::uint32_t partition,
                               const adapter::keyed_record& record) {
  if (job_followers_.count(partition) != 0) {
    ApplyJobRecord(record);
  }
}

void store_view::NoteProgress(std::uint32_t pool_partition,
                              const core::jobs::job_id& id,
                              core::jobs::job_progress progress) {
  const bool is_final = core::jobs::IsFinal(progress.phase);
  directory_.NoteProgress(id, std::move(progress));
  directory_.NoteProgressPartition(id, pool_partition);
  if (is_final && !directory_.unopened().empty()) {
    ScheduleOpening();
  }
}

bool store_view::MayHaveOtherPool(const core::jobs::queue_route& route) const {
  return !address_follower_->IsLoaded() ||
         history_.HasOtherPool(route.queue, route.pool);
}

void store_view::ApplyJobRecord(const adapter::keyed_record& record) {
  const bool is_dropped = !record.value && !record.fault;
  if (is_dropped) {
    return;
  }
  // An owner reads back its own records. Only the first submission of an id
  // counts, so a second one need not be decoded.
  const bool is_repeated = IsSubmission(record) &&
                           directory_.Find(record.key) != nullptr &&
                           !directory_.IsWanted(record.key);
  if (is_repeated) {
    return;
  }
  auto decoded = DecodeJobRecord(record);
  if (!decoded) {
    faults_.Note(kJobTopic, record.key, decoded.fault());
    return;
  }
  std::visit(core::overloaded{[this](submission_record& submission) {
                                ApplySubmission(std::move(submission.spec));
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

void store_view::ApplyPoolRecord(std::uint32_t partition,
                                 const adapter::keyed_record& record) {
  auto decoded = DecodePoolRecord(record);
  if (!decoded) {
    if (record.value || record.fault) {
      ApplyPoolFault(partition, record, decoded.fault());
    }
    return;
  }
  std::visit(
      core::overloaded{[this, partition](progress_record& progress) {
                         NoteProgress(partition, progress.job,
                                      std::move(progress.progress));
                       },
                       [this, partition](owner_record& owner) {
                         owner_record& current = owners_[partition];
                         if (owner.epoch >= current.epoch) {
                           current = std::move(owner);
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
                         if (is_fleet_owned_) {
                           changed_vacancies_.emplace(partition, vacancy.vm);
                         }
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
                           ordered_hosts_[order.host] = std::move(order.holder);
                         }
                       }},
      *decoded);
}

void store_view::ApplyOperatorRecord(const adapter::keyed_record& record) {
  if (record.fault) {
    faults_.Note(adapter::kOperatorTopic, record.key, *record.fault);
    return;
  }
  if (!record.value) {
    return;
  }
  if (record.key == adapter::kConfigurationKey) {
    ApplyConfiguration(*record.value);
    return;
  }
  if (HasPrefix(record.key, adapter::kWaveKeyPrefix)) {
    auto wave = adapter::DecodeWave(record.key, *record.value);
    if (!wave) {
      faults_.Note(adapter::kOperatorTopic, record.key, wave.fault());
      return;
    }
    faults_.NoteValid(adapter::kOperatorTopic, record.key);
    if (operator_follower_->IsLoaded()) {
      wave->published_at = BootTime();
    }
    // Records may be read repeatedly; the first read determines the time.
    waves_.try_emplace(wave->number, std::move(*wave));
    fleet_records_notification_.Request();
  }
}

void store_view::RetainFormerRoutes(
    const core::jobs::routing_configuration& next) {
  for (const core::jobs::queue_route& route : routes_.configuration().routes) {
    const bool stays = std::any_of(
        next.routes.begin(), next.routes.end(), [&](const auto& other) {
          return other.queue == route.queue && other.pool == route.pool;
        });
    if (!stays) {
      former_routes_[{route.pool, route.queue}] =
          BootTime() + kFormerRouteRetention;
    }
  }
}

void store_view::ApplyConfiguration(const std::string& value) {
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
  faults_.NoteValid(adapter::kOperatorTopic, adapter::kConfigurationKey);
  // Pages and appends may return an older version after a newer one.
  if (decoded->version <= routes_.configuration().version) {
    return;
  }
  RetainFormerRoutes(*decoded);
  routes_ = core::jobs::routing_table(std::move(*decoded));
  for (const core::jobs::queue_route& route : routes_.configuration().routes) {
    history_.NoteConfigured({route.queue, route.pool});
    history_.NotePolicy(
        {route.queue, route.policy, routes_.configuration().version});
  }
  LogEvent(job_event::kConfigurationApplied,
           {{"version", std::to_string(routes_.configuration().version)},
            {"routes", std::to_string(routes_.configuration().routes.size())}});
  UpdateFollowers();
  listeners_.on_configuration();
}

void store_view::ApplyAnnouncement(const adapter::keyed_record& record) {
  if (!record.value && !record.fault) {
    return;
  }
  if (IsServedQueueKey(record.key)) {
    ApplyServedQueue(record);
    return;
  }
  if (IsPolicyKey(record.key)) {
    ApplyRecordedPolicy(record);
    return;
  }
  const auto decoded = peers::DecodeAnnouncement(record);
  if (!decoded) {
    faults_.Note(adapter::kAddressTopic, record.key, decoded.fault());
    return;
  }
  faults_.NoteValid(adapter::kAddressTopic, record.key);
  listeners_.on_announcement(*decoded);
}

void store_view::ApplyServedQueue(const adapter::keyed_record& record) {
  const auto served = DecodeServedQueue(record);
  if (!served) {
    faults_.Note(adapter::kAddressTopic, record.key, served.fault());
    return;
  }
  faults_.NoteValid(adapter::kAddressTopic, record.key);
  history_.NoteStored(*served);
  const core::jobs::queue_route* route = routes_.FindQueue(served->queue);
  if (route == nullptr || route->pool != served->pool) {
    // This process may have started after the configuration that removed the
    // route.
    former_routes_.try_emplace({served->pool, served->queue},
                               BootTime() + kFormerRouteRetention);
    FollowJobs();
  }
}

void store_view::ApplyRecordedPolicy(const adapter::keyed_record& record) {
  const auto recorded = DecodeRecordedPolicy(record);
  if (!recorded) {
    faults_.Note(adapter::kAddressTopic, record.key, recorded.fault());
    return;
  }
  faults_.NoteValid(adapter::kAddressTopic, record.key);
  if (history_.NoteStoredPolicy(*recorded)) {
    listeners_.on_outdated_policy();
  }
}

}  // namespace plantainhead::jobs
