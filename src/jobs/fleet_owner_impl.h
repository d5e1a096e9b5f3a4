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

#include "jobs/fleet_owner.h"
#include "jobs/fleet_records.h"
#include "jobs/progress_writer.h"
#include "jobs/record_codec.h"
#include "jobs/record_outbox.h"
#include "jobs/work_meter.h"
#include "platform/fleet_client.h"

namespace plantainhead::jobs {

using core::jobs::host_order;

/// The state of a `fleet_owner`. Three files share it: what is read of the
/// fleet (`fleet_owner_reading.cc`), how orders for hosts are recorded and sent
/// (`fleet_owner_orders.cc`), and takeover and the work between them
/// (`fleet_owner.cc`).
class fleet_owner::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(dependencies dependencies, const fleet_settings& settings);
  void Start(std::uint64_t generation);
  void Close();
  void OnFleetRecords(const std::set<std::string>& keys);

 private:
  // Takeover.
  void After(std::chrono::milliseconds pause, void (impl::*action)());
  void ReadBeforeClaim();
  void Claim();
  void ReadClaim();
  void ReadAfterClaim();
  void Begin();
  void Lose();

  // Work.
  work_meter::scope Meter() {
    return {&deps_.meters->work(), loop_work::kFleet};
  }
  void Tick();
  void Work();
  /// Logs what holds up hosts that pools want, if that has changed.
  void LogFigures(core::time_point now);
  void Do(const core::jobs::close_vm& action);
  void Do(const core::jobs::release_vm& action);
  void Do(const core::jobs::service_host& action);
  void Do(const core::jobs::complete_wave& action);

  // Reading.
  void TakeRecords(const std::set<std::string>& keys);
  void TakeRecord(const std::string& key);
  void NoteWanted(const core::jobs::pool_id& pool, const std::string* value);
  void TakeVacancies();
  void TakeReading(std::uint32_t partition, bool is_read);
  void List();
  void ListPage(const std::string& page);
  void TakePage(const adapter::fleet_page& reply);
  void AddUnreadableHosts();
  void DropOffersOfGoneVms();

  // Orders.
  /// Returns the hosts that are in the hands of a wave, or for which an earlier
  /// owner may have given an order not long ago.
  std::set<core::jobs::host_id> HostsNotToMove(core::time_point now) const;
  void SendOrders(core::time_point now);
  std::vector<host_order> TakeDueOrders(core::time_point now);
  std::vector<adapter::keyed_record> RecordsOf(
      const std::vector<host_order>& batch,
      core::time_point now);
  /// `asked_at`: when the record of the batch was asked for.
  void TakeRecorded(const std::vector<host_order>& batch,
                    core::time_point asked_at,
                    progress_writer::result result);
  bool MaySend(core::time_point recorded_at) const;
  void Send(const core::jobs::move_host& move, core::time_point recorded_at);
  void Send(const core::jobs::service_host& action,
            core::time_point recorded_at);
  /// Returns what tells whether an order may still be sent.
  std::function<bool()> SendGate(core::time_point recorded_at);
  void TakeMove(const core::jobs::move_host& move,
                adapter::duty_outcome outcome);
  void TakeService(const core::jobs::service_host& action,
                   adapter::duty_outcome outcome);

  dependencies deps_;
  fleet_settings settings_;
  adapter::fleet_client client_;
  progress_writer writer_;
  /// What pools' owners and later owners of the fleet are told.
  record_outbox records_;
  record_outbox status_;
  boost::asio::steady_timer timer_;
  core::jobs::maintenance_scheduler keeper_;
  core::jobs::fleet_balancer balancer_;
  core::jobs::vacancy_checker vacancies_;
  core::jobs::host_order_tracker ledger_;
  /// Pools that have fewer VMs than they want.
  std::set<core::jobs::pool_id> short_pools_;
  std::uint64_t generation_ = 0;
  std::uint64_t epoch_ = 0;
  bool is_active_ = false;
  bool is_closed_ = false;
  bool is_listing_ = false;
  core::time_point listed_at_;
  core::time_point requested_at_;
  core::jobs::balancer_stats figures_;
  core::time_point figures_at_;
  core::jobs::host_order_queue queue_;
  std::vector<core::jobs::fleet_host> page_hosts_;
  std::vector<adapter::faulty_host> page_faults_;
  /// Of the newest list.
  std::vector<core::jobs::fleet_host> known_hosts_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_SRC_JOBS_FLEET_OWNER_IMPL_H_
