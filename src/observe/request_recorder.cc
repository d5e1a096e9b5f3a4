#include "plantainhead/observe/request_recorder.h"

#include <mutex>
#include <set>
#include <string>

#include "plantainhead/core/names.h"

namespace plantainhead::observe {

class request_recorder::impl {
 public:
  explicit impl(metrics* all) : all(all) {}

  std::mutex mutex;
  metrics* all;
  core::generation targets_version = 0;
  std::set<core::class_name> classes;
};

request_recorder::request_recorder(metrics* all)
    : impl_(std::make_unique<impl>(all)) {}
request_recorder::~request_recorder() = default;

void request_recorder::FollowTargets(const core::fleet_state& fleet) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  if (impl_->targets_version == fleet.targets_version) {
    return;
  }
  impl_->targets_version = fleet.targets_version;
  impl_->classes.clear();
  for (const core::work_class& work : fleet.targets.classes) {
    impl_->classes.insert(work.name);
  }
}

void request_recorder::Record(const core::request_envelope& request,
                              const core::response& answer,
                              core::time_point arrived,
                              core::time_point now) {
  const std::lock_guard<std::mutex> lock(impl_->mutex);
  if (!impl_->classes.contains(request.work)) {
    return;
  }
  const std::string& name = request.work.value();
  const std::string outcome(core::NameOf(answer.result));
  impl_->all
      ->Counter("plantainhead_answers_total", "Answers to callers.",
                {{"class", name}, {"outcome", outcome}})
      .Add();
  impl_->all
      ->Latency("plantainhead_answer_seconds",
                "Time from a request's arrival to its answer.",
                {{"class", name}})
      .Record(now - arrived);
}

}  // namespace plantainhead::observe
