#include "platform/list_reader.h"

#include <algorithm>

#include <caf/after.hpp>

#include "plantainhead/observe/logging.h"

namespace plantainhead::platform {
namespace {

void LogFaults(const std::vector<std::string>& faults) {
  for (const std::string& fault : faults) {
    observe::WriteLog(core::log_severity::kWarning,
                      "cannot decode an entry of the platform's lists",
                      {{"fault", fault}});
  }
}

}  // namespace

list_reader::list_reader(link_context* context)
    : link_worker(context, context->options.answer_timeout),
      vms_("vms", "vm", &core::vm_listing::vm),
      tasks_("tasks", "job", &core::task_listing::job),
      backoff_(context->MakeBackoff()) {}

void list_reader::Run(caf::blocking_actor* self) {
  while (!IsStopping()) {
    core::duration delay = options().list_interval;
    if (ReadLists()) {
      backoff_.Reset();
      Post(core::vm_list_read{vms_.Items(), tasks_.Items()});
    } else {
      delay = std::max(delay, backoff_.Next());
      Post(core::vm_list_unavailable{});
    }
    if (!IsStopping()) {
      self->receive([](stop_message) {}, caf::after(delay) >> [] {});
    }
  }
}

bool list_reader::ReadLists() {
  const http_reply vms = client_.Get(vms_.Path());
  if (!vms.IsSuccess()) {
    return false;
  }
  const http_reply tasks = client_.Get(tasks_.Path());
  if (!tasks.IsSuccess()) {
    return false;
  }
  try {
    LogFaults(vms_.ApplyResponse(vms.body));
    LogFaults(tasks_.ApplyResponse(tasks.body));
    return true;
  } catch (const codec_error& error) {
    LogFaults({error.what()});
    return false;
  }
}

}  // namespace plantainhead::platform
