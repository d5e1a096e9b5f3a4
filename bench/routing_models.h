#ifndef PLANTAINHEAD_BENCH_ROUTING_MODELS_H_
#define PLANTAINHEAD_BENCH_ROUTING_MODELS_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "plantainhead/core/time.h"

/// A service's requests in virtual time, and the ways of routing that were
/// weighed against one owner for each endpoint.
namespace plantainhead::bench {

using core::duration;
using core::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr std::size_t kServices = 5;
inline constexpr std::size_t kEntries = 9;
inline constexpr std::size_t kEndpoints = 50;
inline constexpr std::size_t kZones = 3;
inline constexpr std::uint32_t kSlots = 8;
inline constexpr duration kNear = std::chrono::microseconds(100);
inline constexpr duration kFar = std::chrono::microseconds(1000);

inline duration Latency(std::size_t from_zone, std::size_t to_zone) {
  return from_zone == to_zone ? kNear : kFar;
}

/// Runs what was scheduled in the order of its time.
class virtual_time {
 public:
  void At(time_point when, std::function<void()> what) {
    last_ += 1;
    queue_.push({when, last_, std::move(what)});
  }
  void After(duration delay, std::function<void()> what) {
    At(now_ + delay, std::move(what));
  }
  void RunUntil(time_point end) {
    while (!queue_.empty() && queue_.top().when <= end) {
      const item next = queue_.top();
      queue_.pop();
      now_ = next.when;
      next.what();
    }
    now_ = end;
  }
  time_point now() const { return now_; }

 private:
  struct item {
    time_point when;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const item& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::priority_queue<item> queue_;
  std::uint64_t last_ = 0;
  time_point now_{std::chrono::hours(1)};
};

/// One recorded arrival.
struct arrival {
  time_point at;
  std::size_t entry = 0;
  std::size_t service = 0;
  duration service_time{};
};

/// What became of it.
struct ending {
  bool started = false;
  bool done = false;
  bool refused = false;
  bool unknown = false;
  duration wait{};
  int hops = 0;
};

/// An endpoint that runs `kSlots` requests at once and lets more wait inside.
class endpoint_model {
 public:
  endpoint_model(virtual_time* time, std::size_t number)
      : number_(number), time_(time) {}

  std::size_t zone() const { return number_ % kZones; }
  std::size_t service() const { return number_ % kServices; }
  std::uint32_t load() const {
    return running_ + static_cast<std::uint32_t>(waiting_.size());
  }

  void Arrive(duration service_time,
              std::function<void()> on_start,
              std::function<void()> on_end) {
    calls += 1;
    overshoots += running_ >= kSlots ? 1 : 0;
    waiting_.push_back({service_time, std::move(on_start), std::move(on_end)});
    Start();
  }

  std::uint64_t calls = 0;
  std::uint64_t overshoots = 0;

 private:
  struct job {
    duration service_time;
    std::function<void()> on_start;
    std::function<void()> on_end;
  };

  void Start() {
    while (running_ < kSlots && !waiting_.empty()) {
      const job next = std::move(waiting_.front());
      waiting_.pop_front();
      running_ += 1;
      next.on_start();
      time_->After(next.service_time, [this, end = next.on_end] {
        running_ -= 1;
        end();
        Start();
      });
    }
  }

  std::size_t number_;
  virtual_time* time_;
  std::uint32_t running_ = 0;
  std::deque<job> waiting_;
};

/// Endpoints, recorded arrivals and their endings: what all ways share.
struct scene {
  virtual_time time;
  std::vector<endpoint_model> endpoints;
  std::vector<arrival> arrivals;
  std::vector<ending> endings;

  scene(double load, duration length, std::uint64_t seed) {
    for (std::size_t i = 0; i < kEndpoints; ++i) {
      endpoints.emplace_back(&time, i);
    }
    constexpr double kMeanUs = 20000;
    std::mt19937_64 random(seed);
    const double rate = load * kEndpoints * kSlots / kMeanUs;
    std::exponential_distribution<double> gap(rate);
    std::exponential_distribution<double> service(1 / kMeanUs);
    const time_point end = time.now() + length;
    time_point at = time.now();
    while (at < end) {
      at += duration(static_cast<std::int64_t>(gap(random)));
      arrivals.push_back(
          {at, random() % kEntries, random() % kServices,
           duration(static_cast<std::int64_t>(service(random)))});
    }
    endings.resize(arrivals.size());
  }

  std::vector<std::size_t> EndpointsOf(std::size_t service) const {
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
      if (endpoints[i].service() == service) {
        found.push_back(i);
      }
    }
    return found;
  }

  /// Sends a request from an entry's zone to an endpoint; `on_end` runs at the
  /// entry once the answer is there.
  void Call(std::size_t request,
            std::size_t endpoint,
            std::size_t zone,
            std::function<void()> on_end) {
    const duration way = Latency(zone, endpoints[endpoint].zone());
    time.After(way, [this, request, endpoint, way, on_end] {
      endpoints[endpoint].Arrive(
          arrivals[request].service_time,
          [this, request] {
            endings[request].started = true;
            endings[request].wait = time.now() - arrivals[request].at;
          },
          [this, way, on_end] { time.After(way, on_end); });
    });
  }
};

/// Each entry has a fixed part of the slots: 8 slots over 9 entries don't
/// divide, so each entry has one slot at eight of nine endpoints.
class fixed_share_model {
 public:
  explicit fixed_share_model(scene* at) : scene_(at) {
    queues_.resize(kEntries * kServices);
    busy_.resize(kEntries * kEndpoints);
  }
  void Arrive(std::size_t request) {
    const arrival& item = scene_->arrivals[request];
    queues_[item.entry * kServices + item.service].push_back(request);
    Pump(item.entry, item.service);
  }

 private:
  void Pump(std::size_t entry, std::size_t service) {
    std::deque<std::size_t>& queue = queues_[entry * kServices + service];
    for (const std::size_t endpoint : scene_->EndpointsOf(service)) {
      const bool has_slot = (endpoint + entry) % kEntries != 0;
      std::vector<bool>::reference busy = busy_[entry * kEndpoints + endpoint];
      if (queue.empty()) {
        return;
      }
      if (!has_slot || busy) {
        continue;
      }
      busy = true;
      const std::size_t request = queue.front();
      queue.pop_front();
      scene_->Call(request, endpoint, entry % kZones,
                   [this, entry, service, endpoint, request] {
                     busy_[entry * kEndpoints + endpoint] = false;
                     scene_->endings[request].done = true;
                     Pump(entry, service);
                   });
    }
  }

  scene* scene_;
  std::vector<std::deque<std::size_t>> queues_;
  std::vector<bool> busy_;
};

/// Each entry sends at once, to the endpoint where it has the fewest itself.
class local_least_loaded_model {
 public:
  explicit local_least_loaded_model(scene* at) : scene_(at) {
    own_.resize(kEntries * kEndpoints);
  }
  void Arrive(std::size_t request) {
    const arrival& item = scene_->arrivals[request];
    const std::vector<std::size_t> all = scene_->EndpointsOf(item.service);
    const std::size_t first = random_() % all.size();
    std::size_t best = all[first];
    for (std::size_t i = 1; i < all.size(); ++i) {
      const std::size_t other = all[(first + i) % all.size()];
      best = Own(item.entry, other) < Own(item.entry, best) ? other : best;
    }
    Own(item.entry, best) += 1;
    scene_->Call(request, best, item.entry % kZones, [this, request, best] {
      Own(scene_->arrivals[request].entry, best) -= 1;
      scene_->endings[request].done = true;
    });
  }

 private:
  int& Own(std::size_t entry, std::size_t endpoint) {
    return own_[entry * kEndpoints + endpoint];
  }
  scene* scene_;
  std::vector<int> own_;
  std::mt19937_64 random_{3};
};

/// Each entry sends at once, to the less loaded of two endpoints by the load
/// that came with their last answers, and what it sent since.
class two_choices_model {
 public:
  explicit two_choices_model(scene* at) : scene_(at) {
    known_.resize(kEntries * kEndpoints);
  }
  void Arrive(std::size_t request) {
    const arrival& item = scene_->arrivals[request];
    const std::vector<std::size_t> all = scene_->EndpointsOf(item.service);
    const std::size_t first = all[random_() % all.size()];
    const std::size_t second = all[random_() % all.size()];
    const std::size_t best =
        Known(item.entry, second) < Known(item.entry, first) ? second : first;
    Known(item.entry, best) += 1;
    scene_->Call(request, best, item.entry % kZones, [this, request, best] {
      Known(scene_->arrivals[request].entry, best) =
          scene_->endpoints[best].load();
      scene_->endings[request].done = true;
    });
  }

 private:
  std::uint32_t& Known(std::size_t entry, std::size_t endpoint) {
    return known_[entry * kEndpoints + endpoint];
  }
  scene* scene_;
  std::vector<std::uint32_t> known_;
  std::mt19937_64 random_{5};
};

}  // namespace plantainhead::bench

#endif  // PLANTAINHEAD_BENCH_ROUTING_MODELS_H_
