#include "jobs/throttled_action.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "jobs/clocks.h"
#include "plantainhead/core/time.h"

namespace plantainhead::jobs {
namespace {

// Leaves at least three quarters of the time to all else.
constexpr int kPauseFactor = 3;

}  // namespace

class paced_action::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context, std::function<void()> action)
      : action_(std::move(action)), timer_(*context) {}

  void Request() {
    if (is_requested_) {
      return;
    }
    is_requested_ = true;
    timer_.expires_after(kPauseFactor * took_);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto paced = self.lock();
          if (paced && !error) {
            paced->Run();
          }
        });
  }

  void Close() { timer_.cancel(); }

 private:
  void Run() {
    is_requested_ = false;
    const core::time_point began = BootTime();
    action_();
    took_ = BootTime() - began;
  }

  std::function<void()> action_;
  boost::asio::steady_timer timer_;
  core::duration took_{};
  bool is_requested_ = false;
};

paced_action::paced_action(boost::asio::io_context* context,
                           std::function<void()> action)
    : impl_(std::make_shared<impl>(context, std::move(action))) {}

paced_action::~paced_action() {
  impl_->Close();
}

void paced_action::Request() {
  impl_->Request();
}

}  // namespace plantainhead::jobs
