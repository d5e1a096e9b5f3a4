#include "jobs/job_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/group_member.h"
#include "jobs/job_archiver.h"
#include "jobs/job_meters.h"
#include "jobs/job_metrics.h"
#include "jobs/job_world.h"
#include "jobs/loop_watch.h"
#include "jobs/ownership.h"
#include "jobs/state_line.h"
#include "jobs/store_contact.h"
#include "jobs/submissions.h"
#include "net/http_server.h"
#include "net/http_status.h"
#include "peers/owner_links.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Connections for short calls to the store. A takeover refreshes 18 partitions
// at once; when the store is slow (0.2 s an answer) fewer connections would
// make the last reads wait until they time out, and the takeover begin again.
constexpr std::size_t kStoreConnections = 20;
// A process that has reached neither the store nor an owner of a pool for this
// time tells that it isn't ready: callers' jobs can't be stored here. Longer
// than three renewals.
constexpr milliseconds kReadyWithoutStore = milliseconds(2800);
// After a request to stop new connections come for two more probes, a second
// apart, and a little longer.
constexpr milliseconds kProbesMissed = milliseconds(2300);
// Cores that an owner of a pool needs. With 60 to 85 VMs it starts up to 870
// tasks a second and takes 0.06 to 0.11 of a core over its busiest 5 s, more in
// bursts; with 0.12 of a core it falls behind, and what it places is late. With
// 9 to 12 VMs 0.25 of a core is plenty.
constexpr double kOwnerCores = 0.2;
constexpr milliseconds kStopTick = milliseconds(50);
// A loop that is this far behind is worth a line: answers of VMs take some
// milliseconds, and a renewal that is late by seconds loses what is owned.
constexpr milliseconds kLoopLate = milliseconds(250);
// Left of the grace when the process ends whatever is open.
constexpr milliseconds kStopReserve = milliseconds(700);

}  // namespace

class job_service::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       const settings::scheduler_process_settings& settings)
      : context_(context),
        settings_(settings),
        // The name of the VM, and not of this life: after a restart the group
        // knows the member again, and needn't wait for its time to live.
        member_name_(settings.name),
        member_settings_(MakeMemberSettings(settings)),
        store_(context, settings.store_address, kStoreConnections),
        world_(context,
               &store_,
               {},
               settings.configuration_apply,
               MakeListeners()),
        owners_(context, {}),
        submissions_(MakeSubmissionDependencies(), {}),
        archiver_(context, &store_, MakeArchiverSettings()),
        member_(context,
                &store_,
                member_settings_,
                member_name_,
                [this](std::uint64_t generation,
                       const std::set<std::uint32_t>& partitions) {
                  ownership_.TakeDeal(generation, partitions);
                }),
        ownership_(MakeOwnershipDependencies(),
                   MakeOwnerSettings(),
                   MakeFleetSettings()),
        loop_watch_(context, [this](core::duration lag) { NoteLag(lag); }),
        state_timer_(*context),
        stop_timer_(*context) {}

  void Start() {
    store_.SetObserver(
        [this](adapter::store_call call, std::chrono::nanoseconds time) {
          meters_.NoteStoreCall(
              call, std::chrono::duration_cast<core::duration>(time));
        });
    callers_ = std::make_unique<net::http_server>(
        context_, settings_.caller_address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) {
          submissions_.Handle(request, respond);
        });
    probes_ = std::make_unique<net::http_server>(
        context_, settings_.probe_address, net::http_server_options(),
        [this](const net::server_request& request,
               const net::responder& respond) { Probe(request, respond); });
    if (!settings_.peer_address.empty()) {
      peers_ = std::make_unique<net::http_server>(
          context_, settings_.peer_address, net::http_server_options(),
          [this](const net::server_request& request,
                 const net::responder& respond) {
            submissions_.Handle(request, respond);
          });
    }
    if (!settings_.metrics_address.empty()) {
      metrics_ = std::make_unique<net::http_server>(
          context_, settings_.metrics_address, net::http_server_options(),
          [this](const net::server_request& /*request*/,
                 const net::responder& respond) { respond(Metrics()); });
    }
    world_.Start();
    member_.Start();
    loop_watch_.Start();
    AwaitState();
  }

  void SetStopGrace(core::duration grace) { settings_.stop_grace = grace; }

  void Stop(std::function<void()> on_stopped) {
    if (is_stopping_) {
      return;
    }
    is_stopping_ = true;
    on_stopped_ = std::move(on_stopped);
    stop_began_ = BootTime();
    callers_->BeginStop();
    ownership_.Release(
        [self = shared_from_this()] { self->member_.Leave([] {}); });
    StopTick();
  }

 private:
  static member_settings MakeMemberSettings(
      const settings::scheduler_process_settings& settings) {
    member_settings made;
    if (settings.processor_cores < kOwnerCores) {
      made.role = member_role::kReserve;
    }
    return made;
  }

  static outbox_settings MakeArchiverSettings() {
    outbox_settings made;
    made.gap = kArchiveGap;
    return made;
  }

  ownership::dependencies MakeOwnershipDependencies() {
    ownership::dependencies made;
    made.context = context_;
    made.store = &store_;
    made.world = &world_;
    made.archiver = &archiver_;
    made.meters = &meters_;
    made.member = &member_;
    made.member_name = member_name_;
    made.peer_address = settings_.peer_address;
    made.holder = settings_.name;
    made.time_to_live = member_settings_.time_to_live;
    return made;
  }

  submissions::dependencies MakeSubmissionDependencies() {
    submissions::dependencies made;
    made.context = context_;
    made.store = &store_;
    made.world = &world_;
    made.meters = &meters_;
    made.relay.owners = &owners_;
    made.relay.epoch_of = [this](std::uint32_t partition) {
      return ownership_.EpochOf(partition);
    };
    made.relay.is_sure = [this] { return ownership_.IsSure(); };
    return made;
  }

  owner_settings MakeOwnerSettings() const {
    owner_settings made;
    made.time_to_live = member_settings_.time_to_live;
    made.scheduler.lease =
        std::min(made.scheduler.lease, settings_.longest_lease);
    return made;
  }

  fleet_settings MakeFleetSettings() const {
    fleet_settings made;
    made.address = settings_.fleet_address;
    made.orders.holder_lease = settings_.holder_lease;
    return made;
  }

  job_world::listeners MakeListeners() {
    job_world::listeners listeners;
    listeners.on_job =
        [this](const std::shared_ptr<const core::jobs::job_spec>& job) {
          const work_meter::scope work(&meters_.work(), loop_work::kJobs);
          ownership_.OnJob(job);
        };
    listeners.on_cancel = [this](const core::jobs::job_id& job) {
      ownership_.OnCancel(job);
    };
    listeners.on_configuration = [this] { ownership_.OnConfiguration(); };
    listeners.on_registry = [this] {
      const work_meter::scope work(&meters_.work(), loop_work::kRegistry);
      ownership_.OnRegistry(world_.TakeChangedVms());
    };
    listeners.on_report = [this](const core::jobs::vm_id& vm,
                                 core::time_point trusted_until) {
      ownership_.OnReport(vm, trusted_until);
    };
    listeners.on_fleet_records = [this] {
      const work_meter::scope work(&meters_.work(), loop_work::kFleetRecords);
      ownership_.OnFleetRecords(world_.TakeChangedFleetKeys());
    };
    listeners.on_announcement =
        [this](const peers::owner_announcement& announcement) {
          owners_.book().NoteAnnouncement(announcement.partition,
                                          announcement.owner);
          ownership_.OnAnnouncement(announcement);
        };
    listeners.on_store_contact = [this](bool is_answered) {
      NoteStoreContact(is_answered);
    };
    return listeners;
  }

  void NoteStoreContact(bool is_answered) {
    const core::time_point now = BootTime();
    if (!is_answered) {
      if (store_contact_.NoteFailure(now)) {
        observe::log_fields fields;
        AppendAge("renewed_ms_ago", member_.RenewedAt(), &fields);
        LogEvent(job_event::kStoreLost, fields);
      }
      return;
    }
    if (const auto regained = store_contact_.NoteAnswer(now)) {
      observe::log_fields fields = {
          {"losses", std::to_string(regained->losses)},
          {"lost_ms", MillisOf(regained->lost_for)},
          {"held_ms", MillisOf(regained->held_for)}};
      AppendAge("renewed_ms_ago", member_.RenewedAt(), &fields);
      LogEvent(job_event::kStoreRegained, fields);
    }
  }

  // Readiness and metrics.

  core::time_point AnsweredAt() const {
    return std::max(member_.AnsweredAt(), owners_.AnsweredAt());
  }

  bool IsReady() const {
    return !is_stopping_ && world_.IsLoaded() &&
           BootTime() - AnsweredAt() < kReadyWithoutStore;
  }

  void Probe(const net::server_request& request,
             const net::responder& respond) {
    if (adapter::DecodePath(request.target) != adapter::kReadinessPath) {
      respond(adapter::EncodeFault(net::kNotFound, "unknown path"));
      return;
    }
    const bool is_ready = IsReady();
    if (is_ready != was_ready_) {
      was_ready_ = is_ready;
      observe::log_fields fields = {
          {"ready", is_ready ? "yes" : "no"},
          {"loaded", world_.IsLoaded() ? "yes" : "no"},
          {"stopping", is_stopping_ ? "yes" : "no"}};
      AppendAge("answered_ms_ago", AnsweredAt(), &fields);
      LogEvent(job_event::kReadinessChanged, fields);
    }
    respond(is_ready ? net::server_response{net::kOk, {}, "{}"}
                     : adapter::EncodeFault(net::kUnavailable, "not ready"));
  }

  net::server_response Metrics() {
    job_figures figures;
    figures.submissions = submissions_.counts();
    figures.is_ready = IsReady();
    figures.pools = ownership_.Counts();
    figures.known_jobs = world_.directory().entries().size();
    if (!ownership_.Held().empty()) {
      figures.job_copy_age = world_.WatchedJobCopyAge();
    }
    figures.configuration_version = world_.routes().configuration().version;
    figures.faults = world_.faults().ledger().counts();
    figures.faulty_keys = world_.faults().ledger().FaultyKeys();
    net::server_response response;
    response.body = FormatMetrics(figures) + meters_.ToText();
    response.content_type = "text/plain; version=0.0.4";
    return response;
  }

  void AwaitState() {
    state_timer_.expires_after(kStateLook);
    state_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto service = self.lock();
          if (service && !error) {
            if (service->state_pace_.IsDue(BootTime(), LinesWritten())) {
              service->LogState();
            }
            service->AwaitState();
          }
        });
  }

  void NoteLag(core::duration lag) {
    meters_.NoteLoopLag(lag);
    if (lag >= kLoopLate) {
      LogEvent(job_event::kLoopLate, {{"ms", MillisOf(lag)}});
    }
  }

  void LogState() {
    process_state state;
    state.loop_lag = loop_watch_.TakeMost();
    state.pools = ownership_.Held();
    state.owns_fleet = ownership_.OwnsFleet();
    state.is_ready = IsReady();
    state.configuration_version = world_.routes().configuration().version;
    if (member_.RenewedAt() != core::time_point()) {
      state.renewed_ago = BootTime() - member_.RenewedAt();
    }
    if (!state.pools.empty()) {
      state.job_copy_age = world_.WatchedJobCopyAge();
    }
    state.busy = TakeBusy();
    state.busy_within = BootTime() - std::exchange(busy_taken_at_, BootTime());
    LogEvent(job_event::kProcessState, FormatState(state));
  }

  // Returns what was used since the last call.
  work_times TakeBusy() {
    const work_times totals = meters_.work().Totals();
    work_times busy{};
    for (std::size_t kind = 0; kind < busy.size(); ++kind) {
      busy[kind] = totals[kind] - busy_taken_[kind];
    }
    busy_taken_ = totals;
    return busy;
  }

  // Stop.

  void StopTick() {
    const core::duration age = BootTime() - stop_began_;
    const bool is_quiet =
        age > kProbesMissed && callers_->ActiveRequests() == 0;
    if (is_quiet || age > settings_.stop_grace - kStopReserve) {
      callers_->CloseIdle();
      on_stopped_();
      return;
    }
    stop_timer_.expires_after(kStopTick);
    stop_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto service = self.lock();
          if (service && !error) {
            service->StopTick();
          }
        });
  }

  boost::asio::io_context* context_;
  settings::scheduler_process_settings settings_;
  std::string member_name_;
  member_settings member_settings_;
  job_meters meters_;
  store_contact store_contact_;
  state_pace state_pace_;
  work_times busy_taken_{};
  core::time_point busy_taken_at_ = BootTime();
  adapter::store_client store_;
  job_world world_;
  peers::owner_links owners_;
  submissions submissions_;
  job_archiver archiver_;
  group_member member_;
  ownership ownership_;
  std::unique_ptr<net::http_server> callers_;
  std::unique_ptr<net::http_server> peers_;
  std::unique_ptr<net::http_server> probes_;
  std::unique_ptr<net::http_server> metrics_;
  loop_watch loop_watch_;
  boost::asio::steady_timer state_timer_;
  boost::asio::steady_timer stop_timer_;
  std::function<void()> on_stopped_;
  core::time_point stop_began_;
  bool is_stopping_ = false;
  bool was_ready_ = false;
};

job_service::job_service(boost::asio::io_context* context,
                         const settings::scheduler_process_settings& settings)
    : impl_(std::make_shared<impl>(context, settings)) {}

job_service::~job_service() = default;

void job_service::Start() {
  impl_->Start();
}

void job_service::SetStopGrace(core::duration grace) {
  impl_->SetStopGrace(grace);
}

void job_service::Stop(std::function<void()> on_stopped) {
  impl_->Stop(std::move(on_stopped));
}

}  // namespace plantainhead::jobs
