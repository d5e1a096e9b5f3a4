#include "narrow_link.h"

#include <chrono>
#include <utility>

namespace plantainhead::fakes {
namespace {

constexpr std::int64_t kHeadBytes = 200;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;

}  // namespace

narrow_link::narrow_link(boost::asio::io_context* context,
                         std::int64_t bytes_per_second)
    : bytes_per_second(bytes_per_second), timer_(*context) {}

net::responder narrow_link::Carry(net::responder respond) {
  return [this, respond = std::move(respond)](net::server_response response) {
    waiting_.push_back({std::move(response), respond});
    if (!is_busy_) {
      CarryNext();
    }
  };
}

void narrow_link::CarryNext() {
  is_busy_ = !waiting_.empty();
  if (!is_busy_) {
    return;
  }
  const auto bytes = kHeadBytes + static_cast<std::int64_t>(
                                      waiting_.front().response.body.size());
  timer_.expires_after(
      std::chrono::microseconds(bytes * kMicrosPerSecond / bytes_per_second));
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    const answer carried = std::move(waiting_.front());
    waiting_.pop_front();
    carried.respond(carried.response);
    CarryNext();
  });
}

}  // namespace plantainhead::fakes
