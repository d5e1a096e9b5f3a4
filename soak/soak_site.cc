#include "soak_site.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace plantainhead::soak {
namespace {

constexpr std::chrono::milliseconds kReportGap(1500);

constexpr std::chrono::milliseconds kTaskTime(300);
// Longer than a lease of the owner (4.6 s), so that a task that is started
// elsewhere after its end may meet the first run.
constexpr std::chrono::milliseconds kLongTaskTime(9000);
constexpr std::chrono::milliseconds kLeaseLimit(10000);
constexpr std::chrono::seconds kIdleLimit(20);
constexpr std::size_t kMostCalls = 32;
constexpr std::size_t kIdLength = 16;
// The memory of a machine of the users' sites, in bytes.
constexpr std::uint64_t kMachineMemory = 260'000'000;

}  // namespace

soak_site::soak_site(const soak_options& chosen,
                     const std::string& configuration,
                     run_handler on_run)
    : store(&context), on_run_(std::move(on_run)), random_(chosen.seed) {
  store.Put("keyed.op", "config", configuration);
  const std::string address = NextAddress();
  store_server_ = std::make_unique<net::http_server>(
      &context, address, net::http_server_options(),
      [this](const net::server_request& request,
             const net::responder& respond) {
        store.Handle(request, respond);
      });
  for (int i = 0; i < chosen.processes; ++i) {
    soak_process one;
    one.store = std::make_unique<fault_proxy>(&context, address);
    one.process = std::make_unique<scheduler_process>(
        chosen.scheduler, chosen.directory, "s" + std::to_string(i),
        one.store->address());
    one.caller = std::make_unique<net::http_client>(
        &context, one.process->callers(),
        net::http_client_options{kMostCalls, kIdleLimit});
    processes.push_back(std::move(one));
  }
  Every(kReportGap, [this] { ReportVms(); });
}

int soak_site::Draw(int least, int most) {
  return std::uniform_int_distribution<int>(least, most)(random_);
}

void soak_site::After(std::chrono::milliseconds time,
                      std::function<void()> action) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context);
  timer->expires_after(time);
  timer->async_wait(
      [timer, action = std::move(action)](
          const boost::system::error_code& /*error*/) { action(); });
}

void soak_site::Every(std::chrono::milliseconds gap,
                      const std::function<void()>& action) {
  After(gap, [this, gap, action] {
    action();
    Every(gap, action);
  });
}

std::string soak_site::AddVm(const std::string& pool) {
  const std::string id = "vm-" + std::to_string(++last_vm_);
  const std::string address = NextAddress();
  soak_vm& one = vms[id];
  one.pool = pool;
  one.vm = std::make_unique<fakes::site_vm>(&context, id, address, kTaskTime);
  one.vm->long_task_time = kLongTaskTime;
  one.vm->lease_limit = kLeaseLimit;
  ListenTo(one.vm.get());
  one.proxy = std::make_unique<fault_proxy>(&context, address);
  ReportVm(id, one);
  return id;
}

void soak_site::ReportVm(const std::string& id, const soak_vm& one) {
  store.Put("keyed.servers", id,
            one.vm->RegistryValue(one.pool, one.proxy->address()));
}

void soak_site::ListenTo(fakes::site_vm* vm) {
  vm->on_event = [this, id = vm->id()](
                     fakes::vm_event event, const std::string& task,
                     std::uint32_t run) { on_run_(id, event, task, run); };
}

void soak_site::CrashVm(const std::string& id,
                        std::chrono::milliseconds pause) {
  const auto found = vms.find(id);
  if (found == vms.end() || found->second.is_gone) {
    return;
  }
  found->second.vm->Crash();
  found->second.proxy->ResetAll();
  After(pause, [this, id] {
    if (vms.at(id).is_gone) {
      return;
    }
    auto life = vms.extract(id);
    const bool keeps_id = Draw(0, 1) == 0;
    if (!keeps_id) {
      life.key() = "vm-" + std::to_string(++last_vm_);
      store.Put("keyed.servers", id, std::nullopt);
    }
    soak_vm& one = life.mapped();
    one.vm->BeginLife(life.key());
    ListenTo(one.vm.get());
    ReportVm(life.key(), one);
    vms.insert(std::move(life));
  });
}

void soak_site::RestartVm(const std::string& id,
                          std::chrono::milliseconds pause) {
  soak_vm& one = vms.at(id);
  one.vm->Crash();
  one.proxy->SetFault(link_fault::kDark);
  // Owners notice at once in half of the cases, and connect again.
  if (Draw(0, 1) == 0) {
    one.proxy->ResetAll();
  }
  After(pause, [this, id] {
    const auto found = vms.find(id);
    if (found == vms.end() || found->second.is_gone) {
      return;
    }
    soak_vm& back = found->second;
    back.vm->BeginLife(id);
    ListenTo(back.vm.get());
    back.proxy->ResetAll();
    back.proxy->SetFault(link_fault::kNone);
    ReportVm(id, back);
  });
}

// As the platform's VMs do, whether or not anything has changed.
void soak_site::ReportVms() {
  for (const auto& [id, one] : vms) {
    if (!one.is_gone && !one.vm->is_silent) {
      ReportVm(id, one);
    }
  }
}

std::vector<std::string> soak_site::Tend() {
  std::vector<std::string> ends;
  store.ExpireSilent();
  for (soak_process& one : processes) {
    if (const auto end = one.process->Reap()) {
      ends.push_back(*end);
    }
    const std::uint64_t held = one.process->ResidentBytes();
    peak_bytes_ = std::max(peak_bytes_, held);
    if (held > kMachineMemory && !one.is_too_large) {
      one.is_too_large = true;
      ends.push_back(one.process->name() + " holds " + std::to_string(held) +
                     " bytes");
    }
    if (!one.process->is_running() && !one.is_down) {
      one.process->Start();
    }
  }
  return ends;
}

soak_process& soak_site::AnyProcess() {
  return processes[static_cast<std::size_t>(
      Draw(0, static_cast<int>(processes.size()) - 1))];
}

net::client_request CallerRequest(net::method verb,
                                  const std::string& queue,
                                  const std::string& id) {
  net::client_request request;
  request.verb = verb;
  request.target = "/" + queue + "/" + id;
  request.headers.emplace_back("Host", "a.example");
  return request;
}

std::string JobIdOf(int number) {
  std::string id = std::to_string(number);
  id.insert(0, kIdLength - id.size(), '0');
  return id;
}

}  // namespace plantainhead::soak
