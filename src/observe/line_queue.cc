#include "observe/line_queue.h"

#include <thread>
#include <utility>

namespace plantainhead::observe {

line_queue::line_queue(std::size_t capacity,
                       write_function write,
                       dropped_function describe_dropped)
    : state_(std::make_shared<shared_state>()) {
  state_->capacity = capacity;
  state_->write = std::move(write);
  state_->describe_dropped = std::move(describe_dropped);
  std::thread([state = state_] { Run(state); }).detach();
}

line_queue::~line_queue() {
  constexpr std::chrono::milliseconds kLimit(2000);
  Stop(kLimit);
}

void line_queue::Push(std::string line) {
  {
    const std::lock_guard<std::mutex> lock(state_->mutex);
    if (state_->lines.size() >= state_->capacity) {
      ++state_->dropped;
      return;
    }
    state_->lines.push_back(std::move(line));
  }
  state_->changed.notify_all();
}

bool line_queue::Stop(std::chrono::milliseconds limit) {
  std::unique_lock<std::mutex> lock(state_->mutex);
  state_->stopping = true;
  state_->changed.notify_all();
  return state_->changed.wait_for(lock, limit,
                                  [this] { return state_->finished; });
}

void line_queue::Run(const std::shared_ptr<shared_state>& state) {
  std::unique_lock<std::mutex> lock(state->mutex);
  while (true) {
    state->changed.wait(
        lock, [&] { return state->stopping || !state->lines.empty(); });
    std::deque<std::string> lines = std::exchange(state->lines, {});
    const std::uint64_t dropped = std::exchange(state->dropped, 0);
    if (lines.empty()) {
      break;
    }
    if (dropped > 0) {
      lines.push_back(state->describe_dropped(dropped));
    }
    lock.unlock();
    for (const std::string& line : lines) {
      state->write(line);
    }
    lock.lock();
  }
  state->finished = true;
  state->changed.notify_all();
}

}  // namespace plantainhead::observe
