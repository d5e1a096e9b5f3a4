#include "plantainhead/observe/request_recorder.h"

#include <algorithm>
#include <mutex>
#include <optional>
#include <set>

#include "plantainhead/core/configuration.h"
#include "plantainhead/core/names.h"

namespace plantainhead::observe {
namespace {

// Returns the pools with VMs that a wave keeps from serving.
std::set<core::pool_id> PoolsInWaves(const core::fleet_state& fleet) {
  std::set<core::pool_id> pools;
  for (const auto& [id, vm] : fleet.vms) {
    if (!vm.wave.empty() && vm.phase != core::vm_phase::kServing) {
      pools.insert(vm.pool);
    }
  }
  return pools;
}

bool IsInWave(const core::configuration& targets,
              const core::work_class& work,
              const std::set<core::pool_id>& pools) {
  const core::service_spec* const service = targets.FindService(work.service);
  return service != nullptr &&
         std::any_of(
             service->pools.begin(), service->pools.end(),
             [&](const core::pool_id& pool) { return pools.contains(pool); });
}

}  // namespace

class request_recorder::impl {
 public:
  impl(core::time_point start, metrics* all) : counter(start), all(all) {}

  mutable std::mutex mutex;
  burn_counter counter;
  metrics* all;
  std::optional<core::log_offset> offset;
  core::configuration targets;
  core::generation targets_version = 0;
  std::set<core::class_name> in_waves;
};

request_recorder::request_recorder(core::time_point start, metrics* all)
    : impl_(std::make_unique<impl>(start, all)) {}
request_recorder::~request_recorder() = default;

void request_recorder::FollowFleet(const core::fleet_state& fleet) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  if (impl_->offset == fleet.offset) {
    return;
  }
  impl_->offset = fleet.offset;
  if (impl_->targets_version != fleet.targets_version) {
    impl_->targets_version = fleet.targets_version;
    impl_->targets = fleet.targets;
    impl_->counter.SetTargets(fleet.targets);
  }
  const std::set<core::pool_id> pools = PoolsInWaves(fleet);
  impl_->in_waves.clear();
  for (const core::work_class& work : impl_->targets.classes) {
    if (IsInWave(impl_->targets, work, pools)) {
      impl_->in_waves.insert(work.name);
    }
  }
}

void request_recorder::Record(const core::request_envelope& request,
                              const core::response& answer,
                              core::time_point arrived,
                              core::time_point now) {
  const core::duration elapsed = now - arrived;
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  const core::work_class* const work = impl_->targets.FindClass(request.work);
  if (work == nullptr) {
    return;
  }
  const bool wave = impl_->in_waves.contains(work->name);
  const auto judged = JudgeAnswer(answer, elapsed, work->within, wave);
  if (judged) {
    impl_->counter.Count(work->name, *judged, now);
  }
  const std::string name = work->name.value();
  const std::string outcome(core::NameOf(answer.result));
  impl_->all
      ->Counter("plantainhead_answers_total", "Answers to callers.",
                {{"class", name}, {"outcome", outcome}})
      .Add();
  impl_->all
      ->Latency("plantainhead_answer_seconds",
                "Time from a request's arrival to its answer.",
                {{"class", name}})
      .Record(elapsed);
}

burn_report request_recorder::Report(core::time_point now) const {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  return impl_->counter.Report(now);
}

}  // namespace plantainhead::observe
