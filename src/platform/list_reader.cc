#include "platform/list_reader.h"

#include <algorithm>

#include <caf/after.hpp>

namespace plantainhead::platform {

list_reader::list_reader(link_context* context)
    : link_worker(context, context->options.answer_timeout),
      vms_("vms", &core::vm_listing::vm),
      tasks_("tasks", &core::task_listing::job),
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
    vms_.ApplyResponse(vms.body);
    tasks_.ApplyResponse(tasks.body);
    return true;
  } catch (const codec_error&) {
    return false;
  }
}

}  // namespace plantainhead::platform
