#ifndef PLANTAINHEAD_SOAK_SOAK_SITE_H_
#define PLANTAINHEAD_SOAK_SOAK_SITE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "scheduler_process.h"
#include "site_store.h"
#include "site_vm.h"

namespace plantainhead::soak {

struct soak_options {
  std::string scheduler = "build/plantain-scheduler";
  std::string directory = "soak-logs";
  std::uint64_t seed = 1;
  /// How long faults come in any order.
  int seconds = 12;
  /// Episodes of silence that are run instead, if any.
  int silences = 0;
  /// VMs restart under their ids and are then cut off, besides.
  bool has_restarts = false;
  /// Hostile clients besides, at each process.
  bool has_hostile = false;
  /// Changes of the configuration and signals in series besides, and callers
  /// that keep sending until their process is gone.
  bool has_changes = false;
  /// No faults in any order.
  bool is_alone = false;
  int processes = 3;
  int vms = 4;
};

/// A VM behind its proxy.
struct soak_vm {
  std::unique_ptr<fakes::site_vm> vm;
  std::unique_ptr<fault_proxy> proxy;
  std::string pool;
  /// It doesn't come back at this address.
  bool is_gone = false;
};

/// A scheduler behind the proxy to its store.
struct soak_process {
  std::unique_ptr<fault_proxy> store;
  std::unique_ptr<scheduler_process> process;
  std::unique_ptr<net::http_client> caller;
  /// It isn't started again.
  bool is_down = false;
  bool is_too_large = false;
  /// It has answered an ordinary request in calm.
  bool has_answered = false;
};

/// Real scheduler processes, with a store and VMs that this process plays, and
/// proxies between. Not thread-safe.
class soak_site {
 public:
  using run_handler = std::function<void(const std::string& vm,
                                         fakes::vm_event event,
                                         const std::string& task,
                                         std::uint32_t run)>;

  /// `configuration` is the operator's. `on_run` is told what VMs do.
  soak_site(const soak_options& chosen,
            const std::string& configuration,
            run_handler on_run);
  soak_site(const soak_site&) = delete;
  soak_site& operator=(const soak_site&) = delete;

  /// Returns a number by the seed.
  int Draw(int least, int most);
  /// Calls `action` once, later.
  void After(std::chrono::milliseconds time, std::function<void()> action);
  /// Calls `action` again and again.
  void Every(std::chrono::milliseconds gap,
             const std::function<void()>& action);
  /// Adds a VM to the pool, and returns its id.
  std::string AddVm(const std::string& pool);
  /// Ends the life of a VM; the next one begins at the same address, and in
  /// half of the cases under the same id.
  void CrashVm(const std::string& id, std::chrono::milliseconds pause);
  /// Ends the life of a VM without a word; the next one begins under the same
  /// id, and calls that were sent between reach it.
  void RestartVm(const std::string& id, std::chrono::milliseconds pause);
  /// Ends silent members, and starts processes that have ended, but
  /// those that are to be down. Returns how
  /// those ended that did so by themselves, and which exceed the memory of
  /// their machine, once each.
  std::vector<std::string> Tend();
  soak_process& AnyProcess();
  /// Returns the most memory that a process held when it was looked at.
  std::uint64_t peak_bytes() const { return peak_bytes_; }

  boost::asio::io_context context;
  fakes::site_store store;
  std::map<std::string, soak_vm> vms;
  std::vector<soak_process> processes;

 private:
  void ListenTo(fakes::site_vm* vm);
  void ReportVm(const std::string& id, const soak_vm& one);
  void ReportVms();

  run_handler on_run_;
  std::mt19937_64 random_;
  std::unique_ptr<net::http_server> store_server_;
  int last_vm_ = 0;
  std::uint64_t peak_bytes_ = 0;
};

/// Returns a caller's request for a job of the queue, or for the queue itself
/// when `id` is empty.
net::client_request CallerRequest(net::method verb,
                                  const std::string& queue,
                                  const std::string& id);
/// Returns the id of a job by its number.
std::string JobIdOf(int number);

}  // namespace plantainhead::soak

#endif  // PLANTAINHEAD_SOAK_SOAK_SITE_H_
