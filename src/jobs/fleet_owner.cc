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
      records_(deps_.context, deps_.store, {kFleetTopic, 0}, {}),
      status_(deps_.context, deps_.store, {adapter::kStatusTopic, 0}, {}),
      timer_(*deps_.context),
      keeper_(settings.waves),
      balancer_(settings.balancer),
      vacancies_(settings.vacancies),
      ledger_(settings.orders, deps_.holder),
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
    TakeRecords(keys);
  }
}

void fleet_owner::impl::After(std::chrono::milliseconds pause,
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
  deps_.world->RefreshProgress(
      kFleetPartition, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        if (is_read) {
          owner->Claim();
        } else {
          owner->After(owner->settings_.takeover_retry, &impl::ReadBeforeClaim);
        }
      });
}

void fleet_owner::impl::Claim() {
  if (!deps_.is_sure()) {
    After(settings_.takeover_retry, &impl::ReadBeforeClaim);
    return;
  }
  const std::uint64_t before = deps_.world->OwnerOf(kFleetPartition).epoch;
  epoch_ = std::max({generation_, before + 1, epoch_ + 1});
  writer_.Claim(epoch_, deps_.member, deps_.world->CursorOf(kFleetPartition),
                [self = weak_from_this()](progress_writer::result result) {
                  const auto owner = self.lock();
                  if (!owner || owner->is_closed_) {
                    return;
                  }
                  if (result == progress_writer::result::kStored) {
                    owner->ReadClaim();
                  } else {
                    owner->After(owner->settings_.takeover_retry,
                                 &impl::ReadBeforeClaim);
                  }
                });
}

// See `pool_owner`: another process's claim may have been stored in its place.
void fleet_owner::impl::ReadClaim() {
  deps_.world->RefreshProgress(
      kFleetPartition, [self = weak_from_this()](bool is_read) {
        const auto owner = self.lock();
        if (!owner || owner->is_closed_) {
          return;
        }
        const owner_record newest =
            owner->deps_.world->OwnerOf(kFleetPartition);
        const bool is_own = is_read && newest.epoch == owner->epoch_ &&
                            newest.member == owner->deps_.member;
        if (is_own) {
          owner->ReadAfterClaim();
        } else {
          owner->After(owner->settings_.takeover_retry, &impl::ReadBeforeClaim);
        }
      });
}

// What an earlier owner has done is told by records that this process may not
// have read yet. Without them it would close VMs of hosts that were serviced
// already, and order their service a second time.
void fleet_owner::impl::ReadAfterClaim() {
  deps_.world->RefreshFleetRecords([self = weak_from_this()] {
    const auto owner = self.lock();
    if (owner && !owner->is_closed_) {
      owner->Begin();
    }
  });
}

void fleet_owner::impl::Begin() {
  LogEvent(job_event::kOwnershipGained,
           {{"partition", "fleet"}, {"epoch", std::to_string(epoch_)}});
  is_active_ = true;
  ledger_.Inherit(deps_.world->ordered_hosts(), BootTime());
  for (const auto& [key, value] : deps_.world->fleet_records()) {
    TakeRecord(key);
  }
  TakeRecords({});
  Tick();
}

void fleet_owner::impl::Lose() {
  LogEvent(job_event::kOwnershipLost,
           {{"partition", "fleet"},
            {"epoch", std::to_string(epoch_)},
            {"reason", "a newer owner has claimed it"}});
  const auto on_fenced = deps_.on_fenced;
  Close();
  on_fenced();
}

void fleet_owner::impl::Tick() {
  // Repeats readings that have failed.
  TakeVacancies();
  Work();
  After(settings_.tick, &impl::Tick);
}

void fleet_owner::impl::Work() {
  const auto work = Meter();
  const core::time_point now = BootTime();
  if (!deps_.is_sure()) {
    return;
  }
  if (!is_listing_ && now - listed_at_ >= settings_.list_interval) {
    List();
  }
  for (const core::jobs::wave_action& action : keeper_.Plan(now)) {
    std::visit([this](const auto& kind) { Do(kind); }, action);
  }
  balancer_.UpdateLeaving(deps_.world->registry().Draining());
  for (const core::jobs::move_host& move :
       balancer_.Plan(HostsNotToMove(now), now)) {
    queue_.Add(move);
  }
  SendOrders(now);
  LogFigures(now);
}

void fleet_owner::impl::LogFigures(core::time_point now) {
  if (now - figures_at_ < settings_.figures_gap) {
    return;
  }
  figures_at_ = now;
  const std::set<core::jobs::host_id> serviced = keeper_.BusyHosts();
  const std::set<core::jobs::host_id> held = ledger_.BlockedHosts(now);
  const core::jobs::balancer_stats figures =
      balancer_.Stats(HostsNotToMove(now));
  if (figures == figures_) {
    return;
  }
  figures_ = figures;
  LogEvent(job_event::kFleetSized,
           {{"wanted", std::to_string(figures.wanted)},
            {"missing", std::to_string(figures.missing)},
            {"free", std::to_string(figures.free)},
            {"ordered", std::to_string(figures.ordered)},
            {"unsent", std::to_string(queue_.waiting())},
            {"moving", std::to_string(figures.moving)},
            {"in_waves", std::to_string(serviced.size())},
            {"held_back", std::to_string(held.size())},
            {"list_ms", MillisOf(now - requested_at_)}});
}

void fleet_owner::impl::Do(const core::jobs::close_vm& action) {
  records_.Put(EncodeClosedVm(action.vm));
}

void fleet_owner::impl::Do(const core::jobs::release_vm& action) {
  records_.Put(DropClosedVm(action.vm));
  records_.Put(DropEmptyVm(action.vm));
}

void fleet_owner::impl::Do(const core::jobs::service_host& action) {
  queue_.Add(action);
}

void fleet_owner::impl::Do(const core::jobs::complete_wave& action) {
  LogEvent(job_event::kWaveCompleted, {{"wave", std::to_string(action.wave)}});
  records_.Put(EncodeCompletedWave(action.wave));
  status_.Put({StatusKey(action.wave), adapter::EncodeWaveStatus(true)});
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
