#include "jobs/throttled_action.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "jobs/clocks.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {
namespace {

// The delay before a run, as a multiple of the duration of the previous run.
// Leaves at least three quarters of the time to other work.
constexpr int kIdleFactor = 3;

}  // namespace

class throttled_action::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context, std::function<void()> action)
      : action_(std::move(action)), timer_(*context) {}

  void Request() {
    if (is_requested_) {
      return;
    }
    is_requested_ = true;
    timer_.expires_after(kIdleFactor * last_run_time_);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto locked_self = self.lock();
          if (locked_self && !error) {
            locked_self->Run();
          }
        });
  }

  void Close() { timer_.cancel(); }

 private:
  void Run() {
    is_requested_ = false;
    const core::time_point started_at = BootTime();
    action_();
    last_run_time_ = BootTime() - started_at;
  }

  std::function<void()> action_;
  boost::asio::steady_timer timer_;
  core::duration last_run_time_{};
  bool is_requested_ = false;
};

throttled_action::throttled_action(boost::asio::io_context* context,
                                   std::function<void()> action)
    : impl_(std::make_shared<impl>(context, std::move(action))) {}

throttled_action::~throttled_action() {
  impl_->Close();
}

void throttled_action::Request() {
  impl_->Request();
}

}  // namespace plantainhead::jobs
