#ifndef PLANTAINHEAD_TESTS_JOBS_SMALL_SITE_H_
#define PLANTAINHEAD_TESTS_JOBS_SMALL_SITE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "free_address.h"
#include "jobs/job_partitions.h"
#include "jobs/job_service.h"
#include "narrow_link.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "plantainhead/settings/scheduler_settings.h"
#include "run_until.h"
#include "site_store.h"
#include "site_vm.h"

namespace plantainhead::jobs {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::FreeAddress;
using testing::RunUntil;

inline constexpr const char* kConfiguration =
    R"({"version":3,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/",
        "service":"pool","max_attempts":2,"stretch":2}],
        "services":[{"name":"pool"}]})";
inline constexpr const char* kJob =
    R"({"spec":"x","steps":[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":50},
        {"count":1,"cpu":1000,"mem_mb":10,"estimate_ms":50,"depends_on":[0]}]})";
inline constexpr const char* kId = "0123456789abcdef";

/// A deployment in one thread: a store, VMs and scheduler processes, which
/// communicate over loopback.
class site {
 public:
  site()
      : store(&context), report_timer_(context), store_address_(FreeAddress()) {
    net::http_server_options options;
    options.body_limit = std::size_t{4} << 20U;
    store_server_ = std::make_unique<net::http_server>(
        &context, store_address_, options,
        [this](const net::server_request& request,
               const net::responder& respond) {
          CountStoreCall(request.target);
          store.Handle(request,
                       store_link_ ? store_link_->Carry(respond) : respond);
        });
    store.Put("keyed.op", "config", kConfiguration);
  }

  /// Counts appends, reads that do not wait, and reads of the newest records,
  /// in total and by topic.
  void CountStoreCall(const std::string& target) {
    const bool waits = target.find("wait_ms=") != std::string::npos &&
                       target.find("wait_ms=0") == std::string::npos;
    const std::size_t topic = target.find("topic=");
    for (const std::string kind : {"append", "read", "newest"}) {
      if (!waits && target.find("/log-" + kind) != std::string::npos) {
        ++store_calls[kind];
        ++store_calls[kind + " " +
                      target.substr(topic + 6,
                                    target.find('&', topic) - topic - 6)];
      }
    }
  }

  /// Limits all responses of the store to one link of this capacity.
  /// Precondition: no process has been added yet.
  void NarrowStoreLink(std::int64_t bytes_per_second) {
    store_link_ =
        std::make_unique<fakes::narrow_link>(&context, bytes_per_second);
  }

  fakes::site_vm& AddVm(const std::string& id, milliseconds task_time) {
    const std::string address = FreeAddress();
    vms[id] =
        std::make_unique<fakes::site_vm>(&context, id, address, task_time);
    store.Put("keyed.servers", id, vms[id]->RegistryValue("pool"));
    return *vms[id];
  }

  /// Writes the VM's registry entry periodically, as the platform does.
  void ReportRegularly(const std::string& id) {
    constexpr milliseconds kReportEvery(300);
    if (!vms.at(id)->is_silent) {
      store.Put("keyed.servers", id, vms.at(id)->RegistryValue("pool"));
    }
    report_timer_.expires_after(kReportEvery);
    report_timer_.async_wait(
        [this, id](const boost::system::error_code& error) {
          if (!error) {
            ReportRegularly(id);
          }
        });
  }

  /// `fleet_address`: address of the fleet's interface; empty for none.
  void AddProcess(const std::string& name,
                  const std::string& fleet_address = "") {
    settings::scheduler_process_settings settings;
    settings.name = name;
    settings.caller_address = FreeAddress();
    settings.probe_address = FreeAddress();
    settings.peer_address = FreeAddress();
    peer_addresses_[name] = settings.peer_address;
    settings.store_address = store_address_;
    settings.fleet_address = fleet_address;
    settings.job_memory = job_memory;
    addresses[name] = settings.caller_address;
    probes_[name] = settings.probe_address;
    settings.metrics_address = FreeAddress();
    metrics_[name] = settings.metrics_address;
    processes[name] = std::make_unique<job_service>(&context, settings);
    processes[name]->Start();
  }

  net::client_reply Call(const std::string& address,
                         net::method verb,
                         const std::string& target,
                         const std::string& body = "") {
    net::http_client client(&context, address, {});
    net::client_request request;
    request.verb = verb;
    request.target = target;
    request.headers.emplace_back("Host", "a.example");
    request.body = body;
    std::optional<net::client_reply> reply;
    client.Send(request, seconds(30),
                [&](net::client_reply got) { reply = std::move(got); });
    RunUntil(&context, [&] { return reply.has_value(); });
    return reply.value_or(net::client_reply());
  }

  net::client_reply Submit(const std::string& process, const std::string& id) {
    return Call(addresses.at(process), net::method::kPost, "/q/" + id, kJob);
  }

  std::string StateOf(const std::string& process, const std::string& id) {
    return Call(addresses.at(process), net::method::kGet, "/q/" + id).body;
  }

  bool IsReady(const std::string& process) {
    return Call(probes_.at(process), net::method::kGet, "/plantainhead/ready")
               .status == 200;
  }

  std::string MetricsOf(const std::string& process) {
    return Call(metrics_.at(process), net::method::kGet, "/metrics").body;
  }

  bool AwaitReady(const std::string& process) {
    for (int i = 0; i < 500 && !IsReady(process); ++i) {
      RunFor(milliseconds(20));
    }
    return IsReady(process);
  }

  bool AwaitState(const std::string& process,
                  const std::string& state,
                  const std::string& id = kId) {
    const std::string wanted = "{\"state\":\"" + state + "\"}";
    for (int i = 0; i < 1500; ++i) {
      if (StateOf(process, id) == wanted) {
        return true;
      }
      RunFor(milliseconds(20));
    }
    return false;
  }

  /// Returns the process that was the last to announce itself as the owner of
  /// the pool; empty if there is none.
  std::string OwnerOf(const std::string& pool) const {
    const auto announced = store.Newest("keyed.plantain-addresses",
                                        std::to_string(PoolPartitionOf(pool)));
    for (const auto& [name, address] : peer_addresses_) {
      if (announced && announced->find(address) != std::string::npos) {
        return name;
      }
    }
    return "";
  }

  /// Ends a process as a crash does. Its membership stays until `Expire`.
  void Crash(const std::string& process) { processes.erase(process); }

  /// Lets the membership of a crashed process expire.
  void Expire(const std::string& process) { store.Expire(process); }

  void RunFor(milliseconds time) { context.run_for(time); }

  int StartsOf(const std::string& task) const {
    int starts = 0;
    for (const auto& [id, vm] : vms) {
      const auto found = vm->starts().find(task);
      starts += found == vm->starts().end() ? 0 : found->second;
    }
    return starts;
  }

  boost::asio::io_context context;
  fakes::site_store store;
  std::map<std::string, std::unique_ptr<fakes::site_vm>> vms;
  std::map<std::string, std::unique_ptr<job_service>> processes;
  std::map<std::string, std::string> addresses;
  /// See `CountStoreCall`.
  std::map<std::string, int> store_calls;
  /// The memory for jobs of processes that are added later.
  std::uint64_t job_memory = settings::scheduler_process_settings().job_memory;

 private:
  boost::asio::steady_timer report_timer_;
  std::string store_address_;
  std::unique_ptr<fakes::narrow_link> store_link_;
  std::unique_ptr<net::http_server> store_server_;
  std::map<std::string, std::string> probes_;
  std::map<std::string, std::string> peer_addresses_;
  std::map<std::string, std::string> metrics_;
};

}  // namespace plantainhead::jobs

#endif  // PLANTAINHEAD_TESTS_JOBS_SMALL_SITE_H_
