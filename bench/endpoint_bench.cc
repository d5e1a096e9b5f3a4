// Compares requests sent by cpp-httplib itself with requests sent through
// endpoint_client, against a stand-in runner on 127.0.0.1.
//
//     endpoint_bench [REQUESTS [CONCURRENCY]]

#include <httplib.h>

#include <algorithm>
#include <caf/all.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "../fakes/runner.h"
#include "measure.h"
#include "plantainhead/endpoint/endpoint_client.h"

namespace {

using namespace plantainhead;
using bench::clock_type;
using bench::Measure;

constexpr std::size_t kDefaultRequests = 20000;
constexpr std::size_t kDefaultConcurrency = 8;
constexpr std::size_t kBodyBytes = 256;

core::time_point Now() {
  return core::time_point(std::chrono::duration_cast<core::duration>(
      clock_type::now().time_since_epoch()));
}

// Lets a thread wait for the event of its own call.
class waiter {
 public:
  void Post(bool replied) {
    const std::lock_guard<std::mutex> lock(mutex_);
    replied_ = replied;
    ready_ = true;
    changed_.notify_one();
  }
  bool Await() {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return ready_; });
    ready_ = false;
    return replied_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool ready_ = false;
  bool replied_ = false;
};

void Post(const core::event& what) {
  const auto* replied = std::get_if<core::endpoint_replied>(&what);
  const auto* failed = std::get_if<core::endpoint_failed>(&what);
  const core::call_id call = replied != nullptr ? replied->call : failed->call;
  reinterpret_cast<waiter*>(static_cast<std::uintptr_t>(call))
      ->Post(replied != nullptr && replied->status == 200);
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t count =
      argc > 1 ? std::strtoul(argv[1], nullptr, 10) : kDefaultRequests;
  const std::size_t threads =
      argc > 2 ? std::strtoul(argv[2], nullptr, 10) : kDefaultConcurrency;
  if (count < threads || threads == 0) {
    std::fprintf(stderr, "usage: endpoint_bench [REQUESTS [CONCURRENCY]]\n");
    return EXIT_FAILURE;
  }

  fakes::runner_options options;
  options.slots = static_cast<std::uint32_t>(threads);
  options.threads = threads * 4 + 4;
  options.keep_alive = std::chrono::seconds(1);
  fakes::runner runner(options);
  const int port = runner.Start(0);
  const std::string body(kBodyBytes, 'x');

  // A tenth, since each leaves a port behind that can't be used for a minute.
  Measure("httplib, new connections", std::max(count / 10, threads), threads,
          [&] {
            return [&] {
              httplib::Client client("127.0.0.1", port);
              client.set_tcp_nodelay(true);
              const auto answer = client.Post("/work", body, "text/plain");
              return answer && answer->status == 200;
            };
          });
  Measure("httplib, kept connections", count, threads, [&] {
    auto client = std::make_shared<httplib::Client>("127.0.0.1", port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return [client, &body] {
      const auto answer = client->Post("/work", body, "text/plain");
      return answer && answer->status == 200;
    };
  });
  caf::actor_system_config config;
  caf::actor_system system(config);
  endpoint::endpoint_client link(system, {}, Now, Post);
  const auto shared = std::make_shared<const std::string>(body);
  Measure("endpoint_link", count, threads, [&] {
    auto own = std::make_shared<waiter>();
    return [&, own] {
      core::call_endpoint call;
      call.call = core::call_id{reinterpret_cast<std::uintptr_t>(own.get())};
      call.host = "127.0.0.1";
      call.port = static_cast<std::uint16_t>(port);
      call.envelope.method = "POST";
      call.envelope.path = "/work";
      call.envelope.body = shared;
      call.envelope.deadline = Now() + std::chrono::seconds(10);
      link.Call(std::move(call));
      return own->Await();
    };
  });
  return EXIT_SUCCESS;
}
