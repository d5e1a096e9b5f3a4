#include "jobs/fleet_owner.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>
#include <variant>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/fleet_owner_impl.h"
#include "platform/configuration_codec.h"

namespace plantainhead::jobs {
namespace {

std::string StatusKey(std::uint64_t wave) {
  return adapter::kWaveKeyPrefix + std::to_string(wave);
}

}  // namespace

fleet_owner::impl::impl(dependencies dependencies,
                        const fleet_settings& settings)
    : deps_(std::move(dependencies)),
      settings_(settings),
      client_(deps_.context, settings.address, deps_.holder),
      writer_(deps_.context,
              deps_.store,
              {kProgressTopic, kFleetPartition},
              settings.writer),
      fleet_outbox_(deps_.context, deps_.store, {kFleetTopic, 0}, {}),
      status_outbox_(deps_.context,
                     deps_.store,
                     {adapter::kStatusTopic, 0},
                     {}),
      timer_(*deps_.context),
      maintenance_(settings.maintenance),
      balancer_(settings.balancer),
      vacancy_checker_(settings.vacancies),
      order_tracker_(settings.orders, deps_.holder),
      queue_(settings.queue) {}

void fleet_owner::impl::Start(std::uint64_t generation) {
  generation_ = generation;
  ReadBeforeClaim();
}

void fleet_owner::impl::Close() {
  is_closed_ = true;
  timer_.cancel();
}

void fleet_owner::impl::OnFleetRecords(const std::set<std::string>& keys) {
  if (is_active_) {
    ApplyRecords(keys);
  }
}

void fleet_owner::impl::RunAfter(std::chrono::milliseconds pause,
                                 void (impl::*action)()) {
  timer_.expires_after(pause);
  timer_.async_wait([self = weak_from_this(),
                     action](const boost::system::error_code& error) {
    const auto owner = self.lock();
    if (owner && !error && !owner->is_closed_) {
      (owner.get()->*action)();
    }
  });
}

void fleet_owner::impl::ReadBeforeClaim() {
  deps_.view->RefreshProgress(
      kFleetPartition, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        if (is_read) {
          owner->Claim();
        } else {
          owner->RunAfter(owner->settings_.takeover_retry_delay,
                          &impl::ReadBeforeClaim);
        }
      });
}

void fleet_owner::impl::Claim() {
  if (!deps_.is_ownership_confirmed()) {
    RunAfter(settings_.takeover_retry_delay, &impl::ReadBeforeClaim);
    return;
  }
  const std::uint64_t before = deps_.view->OwnerOf(kFleetPartition).epoch;
  epoch_ = std::max({generation_, before + 1, epoch_ + 1});
  writer_.Claim(epoch_, deps_.member, deps_.view->CursorOf(kFleetPartition),
                [self = weak_from_this()](progress_writer::result result) {
                  const auto owner = self.lock();
                  if (!owner || owner->is_closed_) {
                    return;
                  }
                  if (result == progress_writer::result::kStored) {
                    owner->VerifyClaim();
                  } else {
                    owner->RunAfter(owner->settings_.takeover_retry_delay,
                                    &impl::ReadBeforeClaim);
                  }
                });
}

// Another process's claim may have been stored instead, as for `pool_owner`.
void fleet_owner::impl::VerifyClaim() {
  deps_.view->RefreshProgress(
      kFleetPartition, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        const owner_record newest = owner->deps_.view->OwnerOf(kFleetPartition);
        const bool is_own = is_read && newest.epoch == owner->epoch_ &&
                            newest.member == owner->deps_.member;
        if (is_own) {
          owner->ReadAfterClaim();
        } else {
          owner->RunAfter(owner->settings_.takeover_retry_delay,
                          &impl::ReadBeforeClaim);
        }
      });
}

// Records that this process may not have read yet state what an earlier owner
// has done. Without them it would close VMs of hosts that were already
// serviced, and order their service a second time.
void fleet_owner::impl::ReadAfterClaim() {
  deps_.view->RefreshFleetRecords([self = weak_from_this()] {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_) {
      owner->Activate();
    }
  });
}

void fleet_owner::impl::Activate() {
  LogEvent(job_event::kOwnershipGained,
           {{"partition", "fleet"}, {"epoch", std::to_string(epoch_)}});
  is_active_ = true;
  order_tracker_.Inherit(deps_.view->ordered_hosts(), BootTime());
  for (const auto& [key, value] : deps_.view->fleet_records()) {
    ApplyRecord(key);
  }
  ApplyRecords({});
  Tick();
}

void fleet_owner::impl::LoseOwnership() {
  LogEvent(job_event::kOwnershipLost,
           {{"partition", "fleet"},
            {"epoch", std::to_string(epoch_)},
            {"reason", "a newer owner has claimed the fleet partition"}});
  const auto on_fenced = deps_.on_fenced;
  Close();
  on_fenced();
}

void fleet_owner::impl::Tick() {
  // Retries failed reads.
  UpdateVacancies();
  RunCycle();
  RunAfter(settings_.tick, &impl::Tick);
}

void fleet_owner::impl::RunCycle() {
  const auto work = Meter();
  const core::time_point now = BootTime();
  if (!deps_.is_ownership_confirmed()) {
    return;
  }
  if (!is_listing_ && now - listed_at_ >= settings_.list_interval) {
    List();
  }
  maintenance_.UpdateBlocked(order_tracker_.BlockedHosts(now));
  for (const core::jobs::wave_action& action : maintenance_.Plan(now)) {
    std::visit([this](const auto& kind) { Execute(kind); }, action);
  }
  LogPhaseChanges();
  balancer_.UpdateLeaving(deps_.view->registry().Draining());
  for (const core::jobs::move_host& move :
       balancer_.Plan(HostsExcludedFromMoves(now), now)) {
    queue_.Add(move);
  }
  SendOrders(now);
  LogStats(now);
}

void fleet_owner::impl::LogStats(core::time_point now) {
  if (now - stats_logged_at_ < settings_.min_stats_interval) {
    return;
  }
  stats_logged_at_ = now;
  const std::set<core::jobs::host_id> serviced = maintenance_.BusyHosts();
  const std::set<core::jobs::host_id> held = order_tracker_.BlockedHosts(now);
  const core::jobs::balancer_stats stats =
      balancer_.Stats(HostsExcludedFromMoves(now));
  if (stats == logged_stats_) {
    return;
  }
  logged_stats_ = stats;
  LogEvent(job_event::kFleetSized,
           {{"wanted", std::to_string(stats.wanted)},
            {"missing", std::to_string(stats.missing)},
            {"free", std::to_string(stats.free)},
            {"ordered", std::to_string(stats.ordered)},
            {"unsent", std::to_string(queue_.waiting())},
            {"moving", std::to_string(stats.moving)},
            {"in_waves", std::to_string(serviced.size())},
            {"held_back", std::to_string(held.size())},
            {"list_ms", MillisOf(now - list_requested_at_)}});
}

void fleet_owner::impl::LogPhaseChanges() {
  for (const core::jobs::host_phase_change& change :
       maintenance_.TakePhaseChanges()) {
    observe::log_fields fields = {
        {"host", change.host},
        {"wave", std::to_string(change.wave)},
        {"from", std::string(core::NameOf(change.from))},
        {"to", std::string(core::NameOf(change.to))},
        {"vm", change.vm}};
    if (change.listed_state) {
      fields.emplace_back("listed",
                          std::string(core::NameOf(*change.listed_state)));
      fields.emplace_back("listed_vm", change.listed_vm);
    }
    AppendAge("listed_ms_ago", change.listed_at, &fields);
    LogEvent(job_event::kHostPhaseChanged, fields);
  }
}

void fleet_owner::impl::Execute(const core::jobs::close_vm& action) {
  fleet_outbox_.Put(EncodeClosedVm(action.vm));
}

void fleet_owner::impl::Execute(const core::jobs::release_vm& action) {
  fleet_outbox_.Put(EncodeClosedVmRemoval(action.vm));
  fleet_outbox_.Put(EncodeEmptyVmRemoval(action.vm));
}

void fleet_owner::impl::Execute(const core::jobs::service_host& action) {
  queue_.Add(action);
}

void fleet_owner::impl::Execute(const core::jobs::record_service& action) {
  fleet_outbox_.Put(EncodeServicedHost({action.wave, action.host}));
}

void fleet_owner::impl::Execute(const core::jobs::complete_wave& action) {
  LogEvent(job_event::kWaveCompleted, {{"wave", std::to_string(action.wave)}});
  fleet_outbox_.Put(EncodeCompletedWave(action.wave));
  status_outbox_.Put({StatusKey(action.wave), adapter::EncodeWaveStatus(true)});
}

fleet_owner::fleet_owner(dependencies dependencies,
                         const fleet_settings& settings)
    : impl_(std::make_shared<impl>(std::move(dependencies), settings)) {}

fleet_owner::~fleet_owner() {
  impl_->Close();
}

void fleet_owner::Start(std::uint64_t generation) {
  impl_->Start(generation);
}

void fleet_owner::OnFleetRecords(const std::set<std::string>& keys) {
  impl_->OnFleetRecords(keys);
}

}  // namespace plantainhead::jobs
