// Cost of the codec and of a hop between two entries over 127.0.0.1.
//
//     build/peer_link_bench
#include <algorithm>
#include <caf/all.hpp>
#include <caf/io/all.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <mutex>
#include <vector>

#include "plantainhead/entry/peer_link.h"

namespace plantainhead::entry {
namespace {

using clock = std::chrono::steady_clock;
using microseconds = std::chrono::duration<double, std::micro>;

core::time_point Now() {
  return core::time_point(std::chrono::duration_cast<core::duration>(
      clock::now().time_since_epoch()));
}

core::peer_frame MakeRequest(std::size_t body_size) {
  core::forward_request item;
  item.request.service = core::service_name("intake");
  item.request.method = "POST";
  item.request.path = "/appeals";
  item.request.headers = {{"content-type", "application/json"}};
  item.request.body = std::make_shared<const std::string>(body_size, 'x');
  item.request.deadline = Now() + std::chrono::seconds(1);
  return {core::incarnation{1}, 1, item};
}

// Counts the frames that have arrived.
class arrivals {
 public:
  void Add() {
    std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }

  void Await(std::size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return count_ >= count; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t count_ = 0;
};

void MeasureCodec(std::size_t body_size) {
  constexpr int kFrames = 2000;
  const core::peer_frame frame = MakeRequest(body_size);
  const core::time_point now = Now();
  std::string bytes;
  const auto start = clock::now();
  for (int i = 0; i < kFrames; ++i) {
    bytes = EncodeFrame(frame, now);
  }
  const auto middle = clock::now();
  for (int i = 0; i < kFrames; ++i) {
    DecodeFrame(bytes, now);
  }
  const auto end = clock::now();
  std::printf(
      "codec, body %7zu B: frame %7zu B, encode %7.2f us, "
      "decode %7.2f us\n",
      body_size, bytes.size(), microseconds(middle - start).count() / kFrames,
      microseconds(end - middle).count() / kFrames);
}

void MeasureLink(std::size_t body_size, int frames) {
  caf::actor_system_config config;
  config.load<caf::io::middleman>();
  config.set("scheduler.max-threads", 2);
  caf::actor_system system(config);
  arrivals at_b;
  peer_link a(system, {}, Now, [](core::event) {});
  peer_link b(system, {}, Now, [&](core::event item) {
    if (std::holds_alternative<core::frame_received>(item)) {
      at_b.Add();
    }
  });
  a.Start();
  const std::uint16_t port = b.Start();
  const core::send_frame item{core::incarnation{2}, "127.0.0.1", port,
                              MakeRequest(body_size)};
  std::vector<double> hops;
  for (int i = 0; i < frames; ++i) {
    const auto start = clock::now();
    a.Send(item);
    at_b.Await(i + 1);
    hops.push_back(microseconds(clock::now() - start).count());
  }
  std::sort(hops.begin(), hops.end());
  std::printf("hop, body %7zu B: p50 %7.1f us, p99 %7.1f us, %d frames\n",
              body_size, hops[hops.size() / 2], hops[hops.size() * 99 / 100],
              frames);
}

}  // namespace
}  // namespace plantainhead::entry

int main() {
  for (const std::size_t size : {0, 1 << 10, 64 << 10, 1 << 20}) {
    plantainhead::entry::MeasureCodec(size);
  }
  plantainhead::entry::MeasureLink(0, 5000);
  plantainhead::entry::MeasureLink(64 << 10, 2000);
  plantainhead::entry::MeasureLink(1 << 20, 200);
}
