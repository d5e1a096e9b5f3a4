#include "plantainhead/core/jobs/maintenance_scheduler.h"

#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "plantainhead/core/jobs/host_order_tracker.h"

namespace plantainhead::core::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kWave = 7;
constexpr int kHosts = 6;
constexpr std::uint32_t kMaxConcurrent = 2;
constexpr seconds kServiceTime(2);
constexpr milliseconds kListInterval(600);
constexpr seconds kOrderTimeout(2);
constexpr milliseconds kMaxDelivery(300);
// Longer than the age of a list and the delivery of an order, so that a host
// never restarts unnoticed between them.
constexpr seconds kRestartTime(4);
constexpr seconds kTroubleTime(60);
constexpr seconds kCalmTime(60);

/// A platform with a maintenance wave whose orders, answers and lists are
/// delayed or lost, with hosts that restart by themselves and schedulers that
/// are replaced. Time is virtual.
class wave_model {
 public:
  explicit wave_model(std::uint32_t seed) : random_(seed) {
    for (int i = 0; i < kHosts; ++i) {
      hosts_["h" + std::to_string(i)].vm = NextVm();
    }
    Replace();
    RequestList();
  }

  void Run() {
    for (const time_point end = now_ + kTroubleTime; now_ < end;) {
      Step(true);
    }
    for (const time_point end = now_ + kCalmTime; now_ < end;) {
      Step(false);
    }
    if (!is_complete_) {
      violations.emplace_back("the wave is not complete");
    }
    for (const auto& [name, host] : hosts_) {
      if (closed_.count(host.vm) != 0) {
        violations.push_back("still closed: " + name);
      }
    }
  }

  std::vector<std::string> violations;

 private:
  struct model_host {
    vm_id vm;
    host_state state = host_state::kUp;
    bool is_serviced = false;
  };

  bool IsChance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
  }
  milliseconds RandomTime(milliseconds most) {
    return milliseconds(random_() % static_cast<unsigned>(most.count()));
  }
  vm_id NextVm() { return "vm-" + std::to_string(++vms_); }
  void After(milliseconds time, std::function<void()> event) {
    events_.emplace(now_ + time, std::move(event));
  }

  void Step(bool has_trouble) {
    has_trouble_ = has_trouble;
    now_ += milliseconds(20);
    while (!events_.empty() && events_.begin()->first <= now_) {
      const auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    if (has_trouble && random_() % 400 == 0) {
      Crash(&hosts_.at("h" + std::to_string(random_() % kHosts)));
    }
    if (has_trouble && random_() % 600 == 0) {
      Replace();
    }
    scheduler_->UpdateBlocked(tracker_->BlockedHosts(now_));
    for (const wave_action& action : scheduler_->Plan(now_)) {
      std::visit([this](const auto& kind) { Execute(kind); }, action);
    }
  }

  void Crash(model_host* host) {
    if (host->state != host_state::kUp) {
      return;
    }
    host->state = host_state::kDown;
    After(kRestartTime, [this, host] { Return(host); });
  }

  void Return(model_host* host) {
    host->state = host_state::kUp;
    host->vm = NextVm();
  }

  // The next scheduler knows what was recorded. Orders that were sent may still
  // arrive, and their answers reach nobody.
  void Replace() {
    ++generation_;
    std::map<host_id, std::string> holders;
    for (const host_id& host : ordered_) {
      holders[host] = "p" + std::to_string(generation_ - 1);
    }
    tracker_ = std::make_unique<host_order_tracker>(
        host_order_settings(), "p" + std::to_string(generation_));
    tracker_->Inherit(holders, now_);
    scheduler_ =
        std::make_unique<maintenance_scheduler>(maintenance_settings());
    maintenance_wave wave;
    wave.number = kWave;
    wave.max_concurrent = kMaxConcurrent;
    for (const auto& [name, host] : hosts_) {
      wave.hosts.push_back(name);
    }
    scheduler_->AddWave(wave);
    for (const host_id& host : recorded_) {
      scheduler_->NoteServiced(kWave, host);
    }
    scheduler_->UpdateClosed(closed_);
    scheduler_->UpdateEmpty(empty_);
    if (is_complete_) {
      scheduler_->NoteCompleted(kWave);
    }
  }

  void RequestList() {
    const time_point requested_at = now_;
    After(RandomTime(milliseconds(100)), [this, requested_at] {
      std::vector<fleet_host> list;
      for (const auto& [name, host] : hosts_) {
        fleet_host row;
        row.host = name;
        row.pool = "p";
        row.state = host.state;
        row.vm = host.state == host_state::kUp ? host.vm : "";
        list.push_back(std::move(row));
      }
      const int generation = generation_;
      After(RandomTime(milliseconds(100)), [this, list, requested_at,
                                            generation] {
        const bool is_lost = has_trouble_ && IsChance(30) && ++lost_lists_ <= 2;
        if (generation == generation_ && !is_lost) {
          lost_lists_ = 0;
          scheduler_->UpdateHosts(list, {}, requested_at);
        }
      });
    });
    After(kListInterval, [this] { RequestList(); });
  }

  void Execute(const close_vm& action) {
    const vm_id vm = action.vm;
    closed_.insert(vm);
    scheduler_->NoteClosed(vm, true);
    After(RandomTime(seconds(2)), [this, vm] {
      if (closed_.count(vm) != 0) {
        empty_.insert(vm);
        scheduler_->NoteEmpty(vm, true);
      }
    });
  }

  void Execute(const release_vm& action) {
    closed_.erase(action.vm);
    empty_.erase(action.vm);
    scheduler_->NoteClosed(action.vm, false);
    scheduler_->NoteEmpty(action.vm, false);
  }

  void Execute(const record_service& action) { recorded_.insert(action.host); }

  void Execute(const complete_wave& /*action*/) {
    is_complete_ = true;
    for (const auto& [name, host] : hosts_) {
      if (!host.is_serviced) {
        violations.push_back("complete without " + name);
      }
    }
  }

  void Execute(const service_host& action) {
    const host_id name = action.host;
    ordered_.insert(name);
    const int generation = generation_;
    if (has_trouble_ && IsChance(15)) {
      Answer(name, kOrderTimeout, service_result::kUnknown, generation);
      return;
    }
    if (has_trouble_ && IsChance(10)) {
      Answer(name, kMaxDelivery, service_result::kTemporaryFailure, generation);
      return;
    }
    After(RandomTime(kMaxDelivery), [this, name, generation] {
      const service_result result = Service(name);
      if (has_trouble_ && IsChance(40)) {
        Answer(name, RandomTime(kOrderTimeout), service_result::kUnknown,
               generation);
      } else {
        Answer(name, RandomTime(milliseconds(50)), result, generation);
      }
    });
  }

  service_result Service(const host_id& name) {
    model_host& host = hosts_.at(name);
    if (host.state != host_state::kUp) {
      return service_result::kTemporaryFailure;
    }
    if (host.is_serviced) {
      return service_result::kAccepted;
    }
    if (empty_.count(host.vm) == 0) {
      violations.push_back("serviced with tasks: " + name);
    }
    const auto down =
        std::count_if(hosts_.begin(), hosts_.end(), [](const auto& entry) {
          return entry.second.state == host_state::kInService;
        });
    if (down >= kMaxConcurrent) {
      violations.push_back("one too many: " + name);
    }
    host.state = host_state::kInService;
    host.is_serviced = true;
    After(kServiceTime, [this, &host] { Return(&host); });
    return service_result::kAccepted;
  }

  void Answer(const host_id& name,
              milliseconds delay,
              service_result result,
              int generation) {
    After(delay, [this, name, result, generation] {
      if (generation != generation_) {
        return;
      }
      scheduler_->OnServiceAnswer(kWave, name, result, now_);
      if (result == service_result::kAccepted) {
        recorded_.insert(name);
      }
    });
  }

  std::mt19937 random_;
  time_point now_{std::chrono::hours(1)};
  std::multimap<time_point, std::function<void()>> events_;
  std::map<host_id, model_host> hosts_;
  std::unique_ptr<maintenance_scheduler> scheduler_;
  std::unique_ptr<host_order_tracker> tracker_;
  /// Records that a later scheduler reads.
  std::set<host_id> ordered_;
  std::set<host_id> recorded_;
  std::set<vm_id> closed_;
  std::set<vm_id> empty_;
  bool is_complete_ = false;
  bool has_trouble_ = true;
  /// Lists in a row that were lost.
  int lost_lists_ = 0;
  int generation_ = 0;
  int vms_ = 0;
};

// Guards against a wave that stops, terminates tasks or exceeds its limit
// because orders, their answers or lists are lost.
TEST_CASE("A wave survives lost answers, restarts and new schedulers") {
  CHECK(rc::check([] {
    wave_model model(*rc::gen::arbitrary<std::uint32_t>());
    model.Run();
    RC_ASSERT(model.violations == std::vector<std::string>());
  }));
}

}  // namespace
}  // namespace plantainhead::core::jobs
