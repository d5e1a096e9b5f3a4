#include "jobs/job_service.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/group_member.h"
#include "jobs/job_archiver.h"
#include "jobs/job_meters.h"
#include "jobs/job_metrics.h"
#include "jobs/loop_lag_monitor.h"
#include "jobs/ownership.h"
#include "jobs/process_state.h"
#include "jobs/store_outage_tracker.h"
#include "jobs/store_view.h"
#include "jobs/submissions.h"
#include "net/http_server.h"
#include "net/http_status.h"
#include "peers/owner_client.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Connections for short calls to the store. A takeover refreshes 18 partitions
// concurrently. When the store is slow (0.2 s for each response), the last
// reads would time out with fewer connections, and the takeover would start
// again.
constexpr std::size_t kStoreConnections = 20;
// A process that has reached neither the store nor the owner of a pool for this
// time reports that it is not ready, because it cannot store callers' jobs.
// Longer than three renewals.
constexpr milliseconds kReadinessTimeout = milliseconds(2800);
// Minimum time between a stop request and the end. Clients keep opening
// connections until two readiness probes, one second apart, have failed, and
// for a short time after that.
constexpr milliseconds kMinStopTime = milliseconds(2300);
// Minimum number of processor cores of a pool owner. With 60 to 85 VMs an owner
// starts up to 870 tasks/s and uses 0.06 to 0.11 of a core over its busiest 5
// s, with higher peaks; with only 0.12 of a core it falls behind and places
// tasks late. With 9 to 12 VMs 0.25 of a core is ample.
constexpr double kOwnerCores = 0.2;
// Maximum number of connections for probes, and of those for metrics.
constexpr std::size_t kOperatorConnections = 64;
constexpr milliseconds kStopPollInterval = milliseconds(50);
// Event loop lag that is logged. Responses of VMs take some milliseconds, and a
// renewal that is seconds late loses the process its pools.
constexpr milliseconds kLoopLate = milliseconds(250);
// The process ends this long before the grace period does, whatever is still
// open.
constexpr milliseconds kStopMargin = milliseconds(700);

}  // namespace

class job_service::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       const settings::scheduler_process_settings& settings)
      : context_(context),
        settings_(settings),
        // The name of the VM rather than of this incarnation, so that the group
        // recognizes the member after a restart and does not wait for its
        // previous lease to expire.
        member_name_(settings.name),
        member_settings_(MakeMemberSettings(settings)),
        store_(context, settings.store_address, kStoreConnections),
        view_(context,
              &store_,
              {},
              settings.configuration_apply,
              MakeListeners()),
        owner_links_(context, {}),
        submissions_(MakeSubmissionDependencies(), {}),
        archiver_(context, &store_, MakeArchiverSettings()),
        member_(context,
                &store_,
                member_settings_,
                member_name_,
                [this](std::uint64_t generation,
                       const std::set<std::uint32_t>& partitions) {
                  ownership_.OnAssignment(generation, partitions);
                }),
        ownership_(MakeOwnershipDependencies(),
                   MakeOwnerSettings(),
                   MakeFleetSettings()),
        request_budget_(
            std::make_shared<net::memory_budget>(settings.http.request_memory)),
        loop_lag_monitor_(context,
                          [this](core::duration lag) { NoteLag(lag); }),
        state_timer_(*context),
        stop_timer_(*context) {}

  void Start() {
    store_.SetObserver(
        [this](adapter::store_call call, std::chrono::nanoseconds time) {
          meters_.NoteStoreCall(
              call, std::chrono::duration_cast<core::duration>(time));
        });
    caller_server_ = std::make_unique<net::http_server>(
        context_, settings_.caller_address,
        MakeServerOptions("callers", settings_.http.connections),
        [this](const net::server_request& request,
               const net::responder& respond) {
          submissions_.Handle(request, respond);
        });
    probe_server_ = std::make_unique<net::http_server>(
        context_, settings_.probe_address,
        MakeServerOptions("probes", kOperatorConnections),
        [this](const net::server_request& request,
               const net::responder& respond) { Probe(request, respond); });
    if (!settings_.peer_address.empty()) {
      peer_server_ = std::make_unique<net::http_server>(
          context_, settings_.peer_address,
          MakeServerOptions("peers", settings_.http.connections),
          [this](const net::server_request& request,
                 const net::responder& respond) {
            submissions_.Handle(request, respond);
          });
    }
    if (!settings_.metrics_address.empty()) {
      metrics_server_ = std::make_unique<net::http_server>(
          context_, settings_.metrics_address,
          MakeServerOptions("metrics", kOperatorConnections),
          [this](const net::server_request& /*request*/,
                 const net::responder& respond) { respond(Metrics()); });
    }
    view_.SetJobMemory(settings_.job_memory);
    view_.Start();
    member_.Start();
    loop_lag_monitor_.Start();
    ScheduleStateLog();
  }

  void SetStopGrace(core::duration grace) { settings_.stop_grace = grace; }

  void Stop(std::function<void()> on_stopped) {
    if (is_stopping_) {
      return;
    }
    is_stopping_ = true;
    on_stopped_ = std::move(on_stopped);
    stop_began_ = BootTime();
    caller_server_->BeginStop();
    ownership_.Release(
        [self = shared_from_this()] { self->member_.Leave([] {}); });
    PollStop();
  }

 private:
  net::http_server_options MakeServerOptions(const std::string& listener,
                                             std::size_t max_connections) {
    net::http_server_options result;
    result.head_limit = settings_.http.head_limit;
    result.request_timeout = std::chrono::duration_cast<milliseconds>(
        settings_.http.request_timeout);
    result.max_connections = max_connections;
    result.budget = request_budget_;
    result.on_limit = [this, listener](net::server_limit limit) {
      ++server_limits_[{listener, limit}];
      LogEvent(job_event::kServerLimitReached,
               {{"listener", listener},
                {"limit", std::string(core::NameOf(limit))}});
    };
    return result;
  }

  static member_settings MakeMemberSettings(
      const settings::scheduler_process_settings& settings) {
    member_settings result;
    if (settings.processor_cores < kOwnerCores) {
      result.role = member_role::kReserve;
    }
    return result;
  }

  static outbox_settings MakeArchiverSettings() {
    outbox_settings result;
    result.batch_delay = kArchiveInterval;
    return result;
  }

  ownership::dependencies MakeOwnershipDependencies() {
    ownership::dependencies result;
    result.context = context_;
    result.store = &store_;
    result.view = &view_;
    result.archiver = &archiver_;
    result.meters = &meters_;
    result.member = &member_;
    result.member_name = member_name_;
    result.peer_address = settings_.peer_address;
    result.holder = settings_.name;
    result.time_to_live = member_settings_.time_to_live;
    return result;
  }

  submissions::dependencies MakeSubmissionDependencies() {
    submissions::dependencies result;
    result.context = context_;
    result.store = &store_;
    result.view = &view_;
    result.meters = &meters_;
    result.relay.owners = &owner_links_;
    result.relay.epoch_of = [this](std::uint32_t partition) {
      return ownership_.EpochOf(partition);
    };
    result.relay.is_ownership_confirmed = [this] {
      return ownership_.IsOwnershipConfirmed();
    };
    return result;
  }

  owner_settings MakeOwnerSettings() const {
    owner_settings result;
    result.time_to_live = member_settings_.time_to_live;
    result.scheduler.lease =
        std::min(result.scheduler.lease, settings_.max_vm_lease);
    return result;
  }

  fleet_settings MakeFleetSettings() const {
    fleet_settings result;
    result.address = settings_.fleet_address;
    result.orders.holder_lease = settings_.holder_lease;
    return result;
  }

  store_view::listeners MakeListeners() {
    store_view::listeners listeners;
    listeners.on_job =
        [this](const std::shared_ptr<const core::jobs::job_spec>& job) {
          const cpu_time_meter::scope work(&meters_.work(), loop_work::kJobs);
          ownership_.OnJob(job);
        };
    listeners.on_unopened_job = [this](const core::jobs::job_id& job) {
      ownership_.OnUnopenedJob(job);
    };
    listeners.is_owner_active = [this](std::uint32_t partition) {
      return ownership_.IsOwnerActive(partition);
    };
    listeners.on_cancel = [this](const core::jobs::job_id& job) {
      ownership_.OnCancel(job);
    };
    listeners.on_configuration = [this] { ownership_.OnConfiguration(); };
    listeners.on_registry = [this] {
      const cpu_time_meter::scope work(&meters_.work(), loop_work::kRegistry);
      ownership_.OnRegistry(view_.TakeChangedVms());
    };
    listeners.on_report = [this](const core::jobs::vm_id& vm,
                                 core::time_point trusted_until) {
      ownership_.OnReport(vm, trusted_until);
    };
    listeners.on_fleet_records = [this] {
      const cpu_time_meter::scope work(&meters_.work(),
                                       loop_work::kFleetRecords);
      ownership_.OnFleetRecords(view_.TakeChangedFleetKeys());
    };
    listeners.on_announcement =
        [this](const peers::owner_announcement& announcement) {
          owner_links_.directory().NoteAnnouncement(announcement.partition,
                                                    announcement.owner);
          ownership_.OnAnnouncement(announcement);
        };
    listeners.on_outdated_policy = [this] { ownership_.OnOutdatedPolicy(); };
    listeners.on_store_contact = [this](bool is_answered) {
      NoteStoreContact(is_answered);
    };
    return listeners;
  }

  void NoteStoreContact(bool is_answered) {
    const core::time_point now = BootTime();
    if (!is_answered) {
      if (store_outage_tracker_.NoteFailure(now)) {
        observe::log_fields fields;
        AppendAge("renewed_ms_ago", member_.RenewedAt(), &fields);
        LogEvent(job_event::kStoreLost, fields);
      }
      return;
    }
    if (const auto regained = store_outage_tracker_.NoteAnswer(now)) {
      observe::log_fields fields = {
          {"losses", std::to_string(regained->interruptions)},
          {"lost_ms", MillisOf(regained->lost_for)},
          {"held_ms", MillisOf(regained->answered_for)}};
      AppendAge("renewed_ms_ago", member_.RenewedAt(), &fields);
      LogEvent(job_event::kStoreRegained, fields);
    }
  }

  // Readiness and metrics.

  core::time_point AnsweredAt() const {
    return std::max(member_.AnsweredAt(), owner_links_.AnsweredAt());
  }

  bool IsReady() const {
    return !is_stopping_ && view_.IsLoaded() &&
           BootTime() - AnsweredAt() < kReadinessTimeout;
  }

  void Probe(const net::server_request& request,
             const net::responder& respond) {
    if (adapter::DecodePath(request.target) != adapter::kReadinessPath) {
      respond(adapter::EncodeError(net::kNotFound, "unknown path"));
      return;
    }
    const bool is_ready = IsReady();
    if (is_ready != was_ready_) {
      was_ready_ = is_ready;
      observe::log_fields fields = {{"ready", is_ready ? "yes" : "no"},
                                    {"loaded", view_.IsLoaded() ? "yes" : "no"},
                                    {"stopping", is_stopping_ ? "yes" : "no"}};
      AppendAge("answered_ms_ago", AnsweredAt(), &fields);
      LogEvent(job_event::kReadinessChanged, fields);
    }
    respond(is_ready ? net::server_response{net::kOk, {}, "{}"}
                     : adapter::EncodeError(net::kUnavailable, "not ready"));
  }

  net::server_response Metrics() {
    job_metrics_snapshot figures;
    figures.submissions = submissions_.counts();
    figures.is_ready = IsReady();
    figures.pools = ownership_.Counts();
    figures.known_jobs = view_.directory().entries().size();
    figures.job_memory = view_.directory().memory();
    figures.unopened_jobs = view_.directory().unopened().size();
    if (!ownership_.HeldPartitions().empty()) {
      figures.job_copy_age = view_.WatchedJobCopyAge();
    }
    figures.configuration_version = view_.routes().configuration().version;
    figures.faults = view_.faults().counter().counts();
    figures.server_limits = server_limits_;
    figures.request_memory = request_budget_->held();
    figures.faulty_keys = view_.faults().counter().FaultyKeys();
    net::server_response response;
    response.body = FormatMetrics(figures) + meters_.ToText();
    response.content_type = "text/plain; version=0.0.4";
    return response;
  }

  void ScheduleStateLog() {
    state_timer_.expires_after(kStateCheckInterval);
    state_timer_.async_wait([self = weak_from_this()](
                                const boost::system::error_code& error) {
      const auto service = self.lock();
      if (service && !error) {
        if (service->state_log_schedule_.IsDue(BootTime(), LinesWritten())) {
          service->LogState();
        }
        service->ScheduleStateLog();
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
    state.loop_lag = loop_lag_monitor_.TakeMaxLag();
    state.pools = ownership_.HeldPartitions();
    state.owns_fleet = ownership_.OwnsFleet();
    state.is_ready = IsReady();
    state.configuration_version = view_.routes().configuration().version;
    if (member_.RenewedAt() != core::time_point()) {
      state.renewed_ago = BootTime() - member_.RenewedAt();
    }
    if (!state.pools.empty()) {
      state.job_copy_age = view_.WatchedJobCopyAge();
    }
    state.cpu_time = TakeBusy();
    state.cpu_time_interval =
        BootTime() - std::exchange(last_busy_at_, BootTime());
    LogEvent(job_event::kProcessState, FormatProcessState(state));
  }

  // Returns the processor time used since the last call.
  cpu_times TakeBusy() {
    const cpu_times totals = meters_.work().Totals();
    cpu_times cpu_time{};
    for (std::size_t kind = 0; kind < cpu_time.size(); ++kind) {
      cpu_time[kind] = totals[kind] - last_busy_totals_[kind];
    }
    last_busy_totals_ = totals;
    return cpu_time;
  }

  // Stop.

  void PollStop() {
    const core::duration age = BootTime() - stop_began_;
    const bool is_quiet =
        age > kMinStopTime && caller_server_->ActiveRequests() == 0;
    if (is_quiet || age > settings_.stop_grace - kStopMargin) {
      caller_server_->CloseIdle();
      on_stopped_();
      return;
    }
    stop_timer_.expires_after(kStopPollInterval);
    stop_timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto service = self.lock();
          if (service && !error) {
            service->PollStop();
          }
        });
  }

  boost::asio::io_context* context_;
  settings::scheduler_process_settings settings_;
  std::string member_name_;
  member_settings member_settings_;
  job_meters meters_;
  store_outage_tracker store_outage_tracker_;
  state_log_schedule state_log_schedule_;
  cpu_times last_busy_totals_{};
  core::time_point last_busy_at_ = BootTime();
  adapter::store_client store_;
  store_view view_;
  peers::owner_client owner_links_;
  submissions submissions_;
  job_archiver archiver_;
  group_member member_;
  ownership ownership_;
  std::shared_ptr<net::memory_budget> request_budget_;
  std::map<std::pair<std::string, net::server_limit>, std::uint64_t>
      server_limits_;
  std::unique_ptr<net::http_server> caller_server_;
  std::unique_ptr<net::http_server> peer_server_;
  std::unique_ptr<net::http_server> probe_server_;
  std::unique_ptr<net::http_server> metrics_server_;
  loop_lag_monitor loop_lag_monitor_;
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
