// Compares cpp-httplib's own server, which keeps a thread for each connection,
// with http_server, which keeps one for each request.
//
//     http_server_bench [REQUESTS [CONCURRENCY]]

#include <httplib.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include "measure.h"
#include "plantainhead/caller/http_server.h"

namespace {

using namespace plantainhead;
using bench::Measure;

constexpr std::size_t kDefaultRequests = 20000;
constexpr std::size_t kDefaultConcurrency = 8;
constexpr std::size_t kThreads = 256;

std::function<std::function<bool()>()> Caller(int port) {
  return [port] {
    auto client = std::make_shared<httplib::Client>("127.0.0.1", port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    return [client] {
      const auto answer = client->Post("/s/intake/a", "abc", "text/plain");
      return answer && answer->status == 200;
    };
  };
}

}  // namespace

int main(int argc, char** argv) {
  const std::size_t count =
      argc > 1 ? std::strtoul(argv[1], nullptr, 10) : kDefaultRequests;
  const std::size_t threads =
      argc > 2 ? std::strtoul(argv[2], nullptr, 10) : kDefaultConcurrency;
  if (count < threads || threads == 0) {
    std::fprintf(stderr, "usage: http_server_bench [REQUESTS [CONCURRENCY]]\n");
    return EXIT_FAILURE;
  }

  httplib::Server plain;
  plain.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  plain.set_tcp_nodelay(true);
  plain.set_keep_alive_max_count(count + 1);
  plain.set_keep_alive_timeout(1);
  plain.Post(".*", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("hello", "text/plain");
  });
  const int plain_port = plain.bind_to_any_port("127.0.0.1");
  std::thread listener([&] { plain.listen_after_bind(); });
  Measure("httplib's own server", count, threads, Caller(plain_port));
  plain.stop();
  listener.join();

  caller::http_server_options options;
  options.threads = kThreads;
  options.most_requests_per_connection = count + 1;
  options.now = [] { return core::time_point(); };
  core::core_gateway gateway;
  gateway.submit = [](core::request_envelope) {
    std::promise<core::response> promise;
    core::response answer;
    answer.status = 200;
    answer.result = core::outcome::kDone;
    answer.body = std::make_shared<const std::string>("hello");
    promise.set_value(std::move(answer));
    return promise.get_future();
  };
  caller::http_server server(options, gateway, {});
  Measure("http_server", count, threads, Caller(server.Start()));
  return EXIT_SUCCESS;
}
