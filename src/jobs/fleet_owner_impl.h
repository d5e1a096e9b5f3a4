#ifndef PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_IMPL_H_
#define PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_IMPL_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobs/cpu_time_meter.h"
#include "jobs/fleet_owner.h"
#include "jobs/fleet_records.h"
#include "jobs/progress_writer.h"
#include "jobs/record_codec.h"
#include "jobs/record_outbox.h"
#include "platform/fleet_client.h"

namespace plantainhead::jobs {

using core::jobs::host_order;

/// Implementation of `fleet_owner`, split over three files: processing of fleet
/// records and the host list (`fleet_owner_reading.cc`), recording and sending
/// of orders for hosts (`fleet_owner_orders.cc`), and takeover and planning
/// (`fleet_owner.cc`).
class fleet_owner::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(dependencies dependencies, const fleet_settings& settings);
  void Start(std::uint64_t generation);
  void Close();
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  // Takeover.
  void RunAfter(std::chrono::milliseconds pause, void (impl::*action)());
  void ReadBeforeClaim();
  void Claim();
  void VerifyClaim();
  void ReadAfterClaim();
  void Activate();
  void LoseOwnership();

  // Planning.
  cpu_time_meter::scope Meter() {
    return {&deps_.meters->work(), loop_work::kFleet};
  }
  void Tick();
  void RunCycle();
  /// Logs the state of the hosts that pools want, if it has changed.
  void LogStats(core::time_point now);
  /// Logs how the hosts of waves have progressed since the last call.
  void LogPhaseChanges();
  void Execute(const core::jobs::close_vm& action);
  void Execute(const core::jobs::release_vm& action);
  void Execute(const core::jobs::service_host& action);
  void Execute(const core::jobs::record_service& action);
  void Execute(const core::jobs::complete_wave& action);

  // Fleet records and the host list.
  void ApplyRecords(const std::set<std::string>& keys);
  void ApplyRecord(const std::string& key);
  void NoteWanted(const core::jobs::pool_id& pool, const std::string* value);
  void UpdateVacancies();
  void OnPartitionRefreshed(std::uint32_t partition, bool is_read);
  void List();
  void ListPage(const std::string& page);
  void OnPage(const adapter::fleet_page& reply);
  /// Tells the vacancy checker which pools have the VMs of the list.
  void UpdatePlaces();
  void AddUnreadableHosts();
  void RemoveStaleOffers();

  // Orders.
  /// Returns the hosts that a wave services, or that an earlier owner may have
  /// ordered recently.
  std::set<core::jobs::host_id> HostsExcludedFromMoves(
      core::time_point now) const;
  void SendOrders(core::time_point now);
  /// Drops queued orders whose hosts are no longer as they were planned.
  void DropStaleOrders(core::time_point now);
  bool IsStale(const core::jobs::move_host& move) const;
  bool IsStale(const core::jobs::service_host& action) const;
  void NoteNotSent(const core::jobs::move_host& move, core::time_point now);
  void NoteNotSent(const core::jobs::service_host& action,
                   core::time_point now);
  std::vector<host_order> TakeDueOrders(core::time_point now);
  std::vector<adapter::keyed_record> MakeOrderRecords(
      const std::vector<host_order>& batch,
      core::time_point now);
  /// `asked_at`: when the write of the batch's records was requested.
  void OnOrdersRecorded(const std::vector<host_order>& batch,
                        core::time_point asked_at,
                        progress_writer::result result);
  bool MaySend(core::time_point recorded_at) const;
  void Send(const core::jobs::move_host& move, core::time_point recorded_at);
  void Send(const core::jobs::service_host& action,
            core::time_point recorded_at);
  /// Returns a predicate that tells whether an order may still be sent.
  std::function<bool()> MakeSendCheck(core::time_point recorded_at);
  void OnMoveReply(const core::jobs::move_host& move,
                   adapter::host_order_outcome outcome);
  void OnServiceReply(const core::jobs::service_host& action,
                      adapter::host_order_outcome outcome);

  dependencies deps_;
  fleet_settings settings_;
  adapter::fleet_client client_;
  progress_writer writer_;
  /// Records for the pool owners and for later fleet owners.
  record_outbox fleet_outbox_;
  record_outbox status_outbox_;
  boost::asio::steady_timer timer_;
  core::jobs::maintenance_scheduler maintenance_;
  core::jobs::fleet_balancer balancer_;
  core::jobs::vacancy_checker vacancy_checker_;
  core::jobs::host_order_tracker order_tracker_;
  /// Pools that have fewer VMs than they want.
  std::set<core::jobs::pool_id> undersized_pools_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  bool is_active_ = false;
  bool is_closed_ = false;
  bool is_listing_ = false;
  core::time_point listed_at_;
  core::time_point list_requested_at_;
  core::jobs::balancer_stats logged_stats_;
  core::time_point stats_logged_at_;
  core::jobs::host_order_queue queue_;
  std::vector<core::jobs::fleet_host> page_hosts_;
  std::vector<adapter::unreadable_host> page_faults_;
  /// Hosts of the last complete list.
  std::vector<core::jobs::fleet_host> known_hosts_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_IMPL_H_
