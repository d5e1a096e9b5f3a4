#include "jobs/pending_job_counter.h"

#include <string>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/unavailable_response.h"
#include "platform/ingress_codec.h"

namespace plantainhead::jobs {

class pending_job_counter::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(store_view* view, std::chrono::seconds retry_after)
      : view_(*view), retry_after_(retry_after) {}

  void Answer(const core::jobs::queue_route& route,
              const net::responder& respond) {
    // Until all stored jobs have been read, the count would be far too low.
    if (!view_.IsQueueLoaded(route)) {
      RefuseCount(route.queue, "the jobs have not been read yet", respond);
      return;
    }
    view_.RefreshQueue(route, [self = weak_from_this(), queue = route.queue,
                               respond](bool is_read) {
      const auto counter = self.lock();
      if (!counter) {
        return;
      }
      if (is_read) {
        counter->RespondWithCount(queue, respond);
      } else {
        counter->RefuseCount(queue, "the store cannot be read", respond);
      }
    });
  }

 private:
  void RefuseCount(const core::jobs::queue_id& queue,
                   const std::string& reason,
                   const net::responder& respond) const {
    LogEvent(job_event::kCountRefused, {{"queue", queue}, {"reason", reason}});
    respond(MakeUnavailableResponse(reason, retry_after_));
  }

  void RespondWithCount(const core::jobs::queue_id& queue,
                        const net::responder& respond) const {
    const std::size_t waiting = view_.directory().Pending(queue);
    LogEvent(job_event::kCountTold,
             {{"queue", queue},
              {"waiting", std::to_string(waiting)},
              {"copy_age_ms", MillisOf(view_.JobCopyAge(queue))}});
    respond(adapter::EncodePendingCount(waiting));
  }

  store_view& view_;
  std::chrono::seconds retry_after_;
};

pending_job_counter::pending_job_counter(store_view* view,
                                         std::chrono::seconds retry_after)
    : impl_(std::make_shared<impl>(view, retry_after)) {}

pending_job_counter::~pending_job_counter() = default;

void pending_job_counter::Answer(const core::jobs::queue_route& route,
                                 const net::responder& respond) {
  impl_->Answer(route, respond);
}

}  // namespace plantainhead::jobs
