#include "caller/idle_connections.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace plantainhead::caller {
namespace {

using clock = endpoint::socket_stream::clock;

constexpr std::chrono::milliseconds kSweepInterval{200};
constexpr std::chrono::milliseconds kBusySweepInterval{20};
constexpr std::size_t kEventsAtOnce = 64;

int OrThrow(int descriptor, const char* what) {
  if (descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), what);
  }
  return descriptor;
}

bool Watch(int epoll, int socket) {
  epoll_event event = {};
  event.events = EPOLLIN;
  event.data.fd = socket;
  return epoll_ctl(epoll, EPOLL_CTL_ADD, socket, &event) == 0;
}

}  // namespace

connection::connection(int socket, std::chrono::milliseconds write_limit)
    : socket(socket), stream(socket, clock::now(), write_limit) {}

connection::~connection() {
  shutdown(socket, SHUT_RDWR);
  close(socket);
}

idle_connections::idle_connections(limits bounds,
                                   std::function<void(connection_ptr)> wake,
                                   std::function<bool()> sweep)
    : limits_(bounds), wake_(std::move(wake)), sweep_(std::move(sweep)) {
  epoll_ = OrThrow(epoll_create1(EPOLL_CLOEXEC), "epoll_create1");
  stop_event_ = OrThrow(eventfd(0, EFD_CLOEXEC), "eventfd");
  Watch(epoll_, stop_event_);
  thread_ = std::thread([this] { Run(); });
}

idle_connections::~idle_connections() {
  Stop();
  close(stop_event_);
  close(epoll_);
}

connection_ptr idle_connections::Add(connection_ptr item) {
  // Closed after the lock is released.
  connection_ptr oldest;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (stopped_) {
    return item;
  }
  if (parked_.size() >= limits_.most) {
    oldest = Remove(parked_.begin());
  }
  const int socket = item->socket;
  parked_.push_back({std::move(item), clock::now()});
  by_socket_[socket] = std::prev(parked_.end());
  if (!Watch(epoll_, socket)) {
    // Nobody would ever wake it: close it instead of keeping it unwatched.
    oldest = Remove(std::prev(parked_.end()));
  }
  return nullptr;
}

void idle_connections::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (stopped_) {
      return;
    }
    stopped_ = true;
  }
  eventfd_write(stop_event_, 1);
  thread_.join();
  parked_list rest;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    rest.swap(parked_);
    by_socket_.clear();
  }
  for (parked& entry : rest) {
    // A request that has already arrived is answered; without this a caller
    // that sent it just before the stop would see its connection reset.
    if (endpoint::WaitFor(entry.item->socket, POLLIN, clock::now())) {
      wake_(std::move(entry.item));
    }
  }
}

std::size_t idle_connections::size() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return parked_.size();
}

connection_ptr idle_connections::Remove(parked_list::iterator position) {
  connection_ptr item = std::move(position->item);
  epoll_ctl(epoll_, EPOLL_CTL_DEL, item->socket, nullptr);
  by_socket_.erase(item->socket);
  parked_.erase(position);
  return item;
}

connection_ptr idle_connections::Take(int socket) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = by_socket_.find(socket);
  return found == by_socket_.end() ? nullptr : Remove(found->second);
}

connection_ptr idle_connections::TakeOldest(clock::time_point before) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (parked_.empty() || parked_.front().since > before) {
    return nullptr;
  }
  return Remove(parked_.begin());
}

void idle_connections::Run() {
  std::array<epoll_event, kEventsAtOnce> events;
  bool busy = false;
  while (true) {
    const auto wait = busy ? kBusySweepInterval : kSweepInterval;
    const int count =
        epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                   static_cast<int>(wait.count()));
    for (int i = 0; i < count; ++i) {
      const int socket = events[static_cast<std::size_t>(i)].data.fd;
      if (socket == stop_event_) {
        return;
      }
      if (connection_ptr item = Take(socket)) {
        wake_(std::move(item));
      }
    }
    busy = sweep_();
    while (TakeOldest(clock::now() - limits_.timeout) != nullptr) {
    }
  }
}

}  // namespace plantainhead::caller
