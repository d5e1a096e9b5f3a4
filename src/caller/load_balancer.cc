#include "caller/load_balancer.h"

#include <httplib.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <limits>

#include "plantainhead/core/findings.h"

namespace plantainhead::caller {
namespace {

constexpr std::chrono::milliseconds kProbeInterval{200};
constexpr std::chrono::milliseconds kProbeTimeout{500};

bool IsReady(const entry_address& entry) {
  httplib::Client probe(entry.first, entry.second);
  probe.set_connection_timeout(kProbeTimeout);
  probe.set_read_timeout(kProbeTimeout);
  const auto answer = probe.Get("/readyz");
  return answer && answer->status == 200;
}

}  // namespace

entry_address ParseAddress(const std::string& text) {
  const auto colon = text.rfind(':');
  unsigned port = 0;
  const bool has_host = colon != std::string::npos && colon > 0;
  const char* end = text.data() + text.size();
  const char* begin = has_host ? text.data() + colon + 1 : end;
  const auto [stop, error] = std::from_chars(begin, end, port);
  constexpr unsigned kMostPort = std::numeric_limits<std::uint16_t>::max();
  if (error != std::errc() || stop != end || port == 0 || port > kMostPort) {
    throw core::findings_error({{{}, "'" + text + "' isn't HOST:PORT"}});
  }
  return {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

load_balancer::load_balancer(std::vector<entry_address> entries)
    : entries_(std::move(entries)), ready_(entries_.size(), false) {
  ProbeAll();
  prober_ = std::thread([this] {
    std::unique_lock<std::mutex> lock(mutex_);
    while (!stopping_changed_.wait_for(lock, kProbeInterval,
                                       [&] { return stopping_; })) {
      lock.unlock();
      ProbeAll();
      lock.lock();
    }
  });
}

load_balancer::~load_balancer() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  stopping_changed_.notify_all();
  prober_.join();
}

void load_balancer::ProbeAll() {
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const bool ready = IsReady(entries_[i]);
    const std::lock_guard<std::mutex> lock(mutex_);
    ready_[i] = ready;
  }
}

std::optional<entry_address> load_balancer::Next() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    const std::size_t candidate = next_;
    next_ = (next_ + 1) % entries_.size();
    if (ready_[candidate]) {
      return entries_[candidate];
    }
  }
  return std::nullopt;
}

void load_balancer::MarkDown(const entry_address& entry) {
  const auto found = std::find(entries_.begin(), entries_.end(), entry);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (found != entries_.end()) {
    ready_[static_cast<std::size_t>(found - entries_.begin())] = false;
  }
}

}  // namespace plantainhead::caller
