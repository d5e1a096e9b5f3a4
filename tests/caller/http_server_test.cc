#include "plantainhead/caller/http_server.h"

#include <httplib.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "loopback.h"

namespace plantainhead::caller {
namespace {

using namespace std::chrono_literals;

// Stands for the decisions: keeps what was submitted until the test answers.
class fake_core {
 public:
  core::core_gateway Gateway() {
    core::core_gateway gateway;
    gateway.submit = [this](core::request_envelope envelope) {
      const std::lock_guard<std::mutex> lock(mutex_);
      ++submitted_;
      waiting_.push_back({std::move(envelope), {}});
      std::future<core::response> future = waiting_.back().promise.get_future();
      if (reply_at_once_) {
        Reply(*reply_at_once_);
      }
      changed_.notify_all();
      return future;
    };
    return gateway;
  }

  void AnswerAllWith(core::response answer) {
    reply_at_once_ = std::move(answer);
  }

  void AwaitSubmitted(int count) {
    std::unique_lock<std::mutex> lock(mutex_);
    changed_.wait(lock, [&] { return submitted_ >= count; });
  }

  void AnswerNext(core::response answer) {
    const std::lock_guard<std::mutex> lock(mutex_);
    Reply(std::move(answer));
  }

  core::request_envelope last() const { return last_; }
  int submitted() const { return submitted_; }

 private:
  struct submission {
    core::request_envelope envelope;
    std::promise<core::response> promise;
  };

  void Reply(core::response answer) {
    last_ = std::move(waiting_.front().envelope);
    waiting_.front().promise.set_value(std::move(answer));
    waiting_.pop_front();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<submission> waiting_;
  std::optional<core::response> reply_at_once_;
  core::request_envelope last_;
  int submitted_ = 0;
};

core::response Done(std::string body) {
  core::response answer;
  answer.status = 200;
  answer.headers = {{"Content-Type", "text/plain"}, {"X-From", "endpoint"}};
  answer.body = std::make_shared<const std::string>(std::move(body));
  answer.result = core::outcome::kDone;
  return answer;
}

http_server_options SmallOptions() {
  http_server_options options;
  options.threads = 4;
  options.body_limit = 64;
  options.read_limit = 100ms;
  options.now = [] { return core::time_point(1000s); };
  return options;
}

std::string Get(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: entry\r\n\r\n";
}

TEST_CASE("A caller gets an answer") {
  fake_core decisions;
  http_server server(SmallOptions(), decisions.Gateway(), {});
  httplib::Client caller("127.0.0.1", server.Start());

  SECTION("that is the endpoint's own") {
    decisions.AnswerAllWith(Done("hello"));
    const auto answer = caller.Post(
        "/s/intake/a?b=c",
        {{"Plantain-Class", "urgent"}, {"Plantain-Request-Id", "mine-7"}}, "{}",
        "application/json");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "hello");
    CHECK(answer->get_header_value("X-From") == "endpoint");
    CHECK(answer->get_header_value("Plantain-Outcome") == "done");
    CHECK(answer->get_header_value("Plantain-Request-Id") == "mine-7");

    const core::request_envelope seen = decisions.last();
    CHECK(seen.work.value() == "urgent");
    CHECK(seen.path == "/a?b=c");
    CHECK(*seen.body == "{}");
    CHECK_FALSE(seen.idempotent);
  }

  SECTION("that it was not run, and when to ask again") {
    core::response refused;
    refused.result = core::outcome::kNotRun;
    refused.reason = core::answer_reason::kOverload;
    refused.detail = "too much to do";
    refused.retry_after = 1200ms;
    decisions.AnswerAllWith(refused);
    const auto answer = caller.Get("/s/intake/");
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->get_header_value("Plantain-Outcome") == "not-run");
    CHECK(answer->get_header_value("Retry-After") == "2");
    CHECK(answer->get_header_value("Retry-After-Ms") == "1200");
    const auto body = nlohmann::json::parse(answer->body);
    CHECK(body["reason"] == "overload");
    CHECK(body["detail"] == "too much to do");
  }

  SECTION("that nobody knows what became of it") {
    core::response lost;
    lost.result = core::outcome::kUnknown;
    lost.reason = core::answer_reason::kEndpointLost;
    decisions.AnswerAllWith(lost);
    const auto answer = caller.Get("/s/intake/");
    REQUIRE(answer);
    CHECK(answer->status == 502);
    CHECK(answer->get_header_value("Plantain-Outcome") == "unknown");
    CHECK_FALSE(answer->has_header("Retry-After"));
  }

  SECTION("with bytes that the HTTP library leaves alone") {
    // cpp-httplib unpacks bodies, takes forms apart, packs answers and cuts
    // ranges out of them by itself. An endpoint that does the same would then
    // get or send something that differs from what its headers say.
    core::response packed = Done("not really gzip");
    packed.headers = {{"Content-Type", "text/plain"},
                      {"Content-Encoding", "gzip"}};
    decisions.AnswerAllWith(packed);
    const httplib::Headers headers = {{"Accept-Encoding", "gzip, br"},
                                      {"Range", "bytes=0-1"},
                                      {"Content-Encoding", "gzip"}};
    const std::string form = "a=1&b=2";
    caller.set_decompress(false);
    const auto answer = caller.Post("/s/intake/", headers, form,
                                    "application/x-www-form-urlencoded");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "not really gzip");
    CHECK(answer->get_header_value_count("Content-Encoding") == 1);
    CHECK(*decisions.last().body == form);

    std::vector<std::string> names;
    for (const auto& [name, value] : decisions.last().headers) {
      names.push_back(name);
    }
    CHECK(std::count(names.begin(), names.end(), "Range") == 1);
    CHECK(std::count(names.begin(), names.end(), "Accept-Encoding") == 1);
    CHECK(std::count(names.begin(), names.end(), "Content-Type") == 1);
    CHECK(std::count(names.begin(), names.end(), "REMOTE_ADDR") == 0);

    const std::string part = "--x\r\n\r\nsmall\r\n--x--\r\n";
    REQUIRE(caller.Post("/s/intake/", part, "multipart/form-data; boundary=x"));
    CHECK(*decisions.last().body == part);
  }
}

TEST_CASE("A request that can't be taken is refused") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const std::uint16_t port = server.Start();

  const auto answer_to = [&](const std::string& bytes) {
    const testing::raw_connection caller = testing::ConnectTo(port);
    caller.Send(bytes);
    return caller.ReadAll();
  };

  SECTION("when its body is announced as too long, before it is read") {
    const std::string answer = answer_to(
        "POST /s/intake/ HTTP/1.1\r\nContent-Length: 9999999999\r\n\r\n");
    CHECK(answer.find("HTTP/1.1 413 ") == 0);
    CHECK(answer.find("body-too-large") != std::string::npos);
  }

  SECTION("when its body grows too long chunk by chunk") {
    const std::string chunk = "20\r\n" + std::string(32, 'x') + "\r\n";
    const std::string answer = answer_to(
        "POST /s/intake/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
        chunk + chunk + chunk);
    CHECK(answer.find("HTTP/1.1 413 ") == 0);
  }

  SECTION("when the length of its body is in doubt") {
    // Two readers that disagree about where a request ends take the rest of one
    // caller's body for another caller's request. The connection is closed, so
    // the second request below must never be seen.
    const std::string smuggled = Get("/s/intake/smuggled");
    for (const std::string head :
         {"POST /s/intake/ HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: "
          "5\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
          "chunked\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\nContent-Length: 0x4\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\n Transfer-Encoding: chunked\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\nA: b\rTransfer-Encoding: "
          "chunked\r\n\r\n",
          "POST /s/intake/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabcXX\r\n0\r\n\r\n",
          "GET /s/intake/ HTTP/1.1\r\nContent-Length: 99\r\n\r\n"}) {
      INFO(head);
      const std::string answer = answer_to(head + smuggled);
      CHECK(answer.find("HTTP/1.1 400 ") == 0);
      CHECK(answer.find("Connection: close") != std::string::npos);
      CHECK(answer.find("HTTP/1.1 200") == std::string::npos);
    }
    CHECK(decisions.submitted() == 0);
  }

  SECTION("when it isn't all there in time") {
    const std::string answer =
        answer_to("POST /s/intake/ HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
    CHECK(answer.find("HTTP/1.1 400 ") == 0);
    CHECK(answer_to("POST /s/in").find("HTTP/1.1 200") == std::string::npos);
    CHECK(decisions.submitted() == 0);
  }

  SECTION("when it isn't HTTP, and nothing after it is read") {
    const std::string answer =
        answer_to("BREW /s/intake/ HTTP/1.1\r\n\r\n" + Get("/s/intake/"));
    CHECK(answer.find("HTTP/1.1 400 ") == 0);
    CHECK(answer.find("\"outcome\":\"not-run\"") != std::string::npos);
    CHECK(decisions.submitted() == 0);
  }
}

// Guards against lines and trailers that grow until the process has no memory.
TEST_CASE("A request is refused when its parts beside the body are too large") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server_options options = SmallOptions();
  options.head_limit = 200;
  options.trailer_limit = 20;
  http_server server(options, decisions.Gateway(), {});
  const std::uint16_t port = server.Start();
  const std::string chunked =
      "POST /s/intake/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  // None of them comes to an end.
  for (const std::string& bytes :
       {"GET /s/" + std::string(200, 'x'),
        "GET /s/intake/ HTTP/1.1\r\nX-A: " + std::string(200, 'x'),
        "GET /s/intake/ HTTP/1.1\r\n" + std::string(100, '\n') + "X-A: 1\r\n" +
            std::string(100, '\n'),
        chunked + "5;" + std::string(21, 'x'),
        chunked + "1;aaaaaaaaaa\r\nx\r\n1;aaaaaaaaaaa",
        chunked + "0000000000000000",
        chunked + "0\r\nX: 1\r\nX: 2\r\nX: 3\r\nX: 4\r\nX: 5\r\nX",
        chunked + "0\r\nX-A: " + std::string(21, 'x')}) {
    INFO(bytes);
    const testing::raw_connection caller = testing::ConnectTo(port);
    caller.Send(bytes);
    const std::string answer = caller.ReadAll();
    CHECK(answer.find("HTTP/1.1 400 ") == 0);
    CHECK(answer.find("Plantain-Outcome: not-run") != std::string::npos);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.find("ended early") == std::string::npos);
  }
  CHECK(decisions.submitted() == 0);

  SECTION("and served when they are as large as allowed") {
    const testing::raw_connection caller = testing::ConnectTo(port);
    std::string bytes = chunked;
    for (int i = 0; i < 64; ++i) {
      bytes += "1\r\nx\r\n";
    }
    caller.Send(bytes + "0;" + std::string(10, 'x') + "\r\nX-A: 12345\r\n\r\n" +
                Get("/s/intake/2"));
    CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
    CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
    CHECK(decisions.submitted() == 2);
    CHECK(decisions.last().path == "/2");
  }
}

// Guards against many bodies that stop short of their end and stay open.
TEST_CASE("The bodies of all requests share one budget") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server_options options = SmallOptions();
  options.read_limit = 10min;
  options.body_limit = 1000;
  options.bodies_limit = 2000;
  http_server server(options, decisions.Gateway(), {});
  const std::uint16_t port = server.Start();
  const std::string nearly =
      "POST /s/intake/ HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" +
      std::string(999, 'x');
  std::vector<testing::raw_connection> crowd;
  for (std::size_t held = 0; crowd.size() < 2;) {
    crowd.push_back(testing::ConnectTo(port));
    crowd.back().Send(nearly);
    while (server.counters().body_bytes == held) {
      std::this_thread::yield();
    }
    held = server.counters().body_bytes;
  }

  const testing::raw_connection caller = testing::ConnectTo(port);
  caller.Send(nearly + "x");
  CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
  const std::string refused = crowd.front().ReadAll();
  CHECK(refused.find("HTTP/1.1 503 ") == 0);
  CHECK(refused.find("Plantain-Outcome: not-run") != std::string::npos);
  CHECK(refused.find("Plantain-Reason: overload") != std::string::npos);
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(server.counters().interrupted == 1);
  CHECK(decisions.submitted() == 1);

  crowd.back().Send("x");
  CHECK(crowd.back().ReadMessage(5).find("hello") != std::string::npos);
}

// Guards against a method whose body the library reads without any limit.
TEST_CASE("The first line of HTTP/2 is refused before a body is read") {
  fake_core decisions;
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const testing::raw_connection caller = testing::ConnectTo(server.Start());
  caller.Send("PRI / HTTP/1.1\r\nHost: entry\r\n\r\n");
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("HTTP/1.1 400 ") == 0);
  CHECK(answer.find("HTTP/2") != std::string::npos);
}

TEST_CASE("An answer to HEAD has no body, and the connection stays in step") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const testing::raw_connection caller = testing::ConnectTo(server.Start());
  caller.Send("HEAD /s/intake/ HTTP/1.1\r\nHost: entry\r\n\r\n");
  const std::string head = caller.ReadMessage();
  CHECK(head.find("HTTP/1.1 200 ") == 0);
  CHECK(head.find("Content-Length: 0\r\n") != std::string::npos);
  caller.Send(Get("/s/intake/"));
  CHECK(caller.ReadMessage(5).find("HTTP/1.1 200 ") == 0);
}

TEST_CASE("Header values go through unchanged") {
  // cpp-httplib decodes %XX in header values. A caller that writes an encoded
  // line end then puts a header of its own making into what the endpoint gets,
  // and values that hold a percent sign arrive changed.
  fake_core decisions;
  core::response answer = Done("hello");
  decisions.AnswerAllWith(answer);
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const testing::raw_connection caller = testing::ConnectTo(server.Start());
  const std::string value = "50%2525 a%0d%0aEvil: 1";
  for (const std::string name : {"X-A", "Location", "Referer"}) {
    INFO(name);
    // The lone line feed must not end the head for one reader only.
    caller.Send("GET /s/intake/ HTTP/1.1\r\nHost: entry\r\n\n" + name + ": " +
                value + "\r\n\r\n");
    REQUIRE(caller.ReadMessage(5).find("hello") != std::string::npos);
    const core::header_list seen = decisions.last().headers;
    const auto found =
        std::find_if(seen.begin(), seen.end(),
                     [&](const auto& header) { return header.first == name; });
    REQUIRE(found != seen.end());
    CHECK(found->second == value);
  }
}

TEST_CASE("A request without a length has no body") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const testing::raw_connection caller = testing::ConnectTo(server.Start());
  for (const std::string method : {"POST", "DELETE"}) {
    caller.Send(method + " /s/intake/ HTTP/1.1\r\nHost: entry\r\n\r\n");
    CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
    CHECK(decisions.last().body->empty());
  }
}

TEST_CASE("Connections without a request keep nobody waiting") {
  // cpp-httplib keeps a thread for each connection. With as many silent
  // connections as threads a new caller would see its request accepted and
  // never read, until one of the others times out.
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server_options options = SmallOptions();
  options.most_idle_connections = 10;
  http_server server(options, decisions.Gateway(), {});
  const std::uint16_t port = server.Start();

  std::vector<testing::raw_connection> silent;
  std::vector<testing::raw_connection> kept;
  for (int i = 0; i < 9; ++i) {
    silent.push_back(testing::ConnectTo(port));
    kept.push_back(testing::ConnectTo(port));
    kept.back().Send(Get("/s/intake/"));
    REQUIRE(kept.back().ReadMessage(5).find("hello") != std::string::npos);
  }

  SECTION("a new caller is answered") {
    const testing::raw_connection caller = testing::ConnectTo(port);
    caller.Send(Get("/s/intake/"));
    CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
  }

  SECTION("the oldest are closed when there are too many, the others work") {
    CHECK(silent.front().ReadAll().empty());
    kept.back().Send(Get("/s/intake/"));
    CHECK(kept.back().ReadMessage(5).find("hello") != std::string::npos);
    CHECK(server.IdleConnections() <= 10);
  }
}

TEST_CASE("Waiting requests leave threads for probes and operators") {
  // Every thread waits for the decisions. The balancer's probe would wait
  // behind the callers, so the balancer would take the entry for dead, and no
  // operator could act just when it matters.
  fake_core decisions;
  http_server server(
      SmallOptions(), decisions.Gateway(),
      {{"GET", "/readyz", [](const http_request&) { return http_answer{}; }}});
  const std::uint16_t port = server.Start();
  std::vector<testing::raw_connection> waiting;
  for (int i = 0; i < 3; ++i) {
    waiting.push_back(testing::ConnectTo(port));
    waiting.back().Send(Get("/s/intake/"));
  }
  decisions.AwaitSubmitted(3);

  httplib::Client caller("127.0.0.1", port);
  const auto refused = caller.Get("/s/intake/");
  REQUIRE(refused);
  CHECK(refused->status == 503);
  CHECK(refused->get_header_value("Plantain-Outcome") == "not-run");
  CHECK(refused->get_header_value("Plantain-Reason") == "overload");
  CHECK(caller.Get("/readyz")->status == 200);

  // They may have been submitted in any order.
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    decisions.AnswerNext(Done("hello"));
  }
  for (const testing::raw_connection& one : waiting) {
    CHECK(one.ReadMessage(5).find("hello") != std::string::npos);
  }
  CHECK(decisions.submitted() == 3);
}

// Guards against slow requests that keep all threads from everybody else.
TEST_CASE("Requests that aren't there whole give way to others") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server_options options = SmallOptions();
  options.read_limit = 10min;
  http_server server(
      options, decisions.Gateway(),
      {{"GET", "/readyz", [](const http_request&) { return http_answer{}; }}});
  const std::uint16_t port = server.Start();
  std::string part;
  SECTION("when a part of the first line is missing") {
    part = "GET /s/in";
  }
  SECTION("when a part of the head is missing") {
    part = "GET /s/intake/ HTTP/1.1\r\nHost:";
  }
  SECTION("when a part of the body is missing") {
    part = "POST /s/intake/ HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf";
  }
  std::vector<testing::raw_connection> slow;
  const auto add_slow = [&] {
    for (int i = 0; i < 12; ++i) {
      slow.push_back(testing::ConnectTo(port));
      slow.back().Send(part);
    }
  };
  add_slow();

  const testing::raw_connection caller = testing::ConnectTo(port);
  caller.Send(Get("/s/intake/"));
  CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
  caller.Send(Get("/readyz"));
  CHECK(caller.ReadMessage().find("HTTP/1.1 200 ") == 0);
  add_slow();
  const std::string refused = slow.front().ReadAll();
  CHECK(refused.find("HTTP/1.1 503 ") == 0);
  CHECK(refused.find("Plantain-Outcome: not-run") != std::string::npos);
  CHECK(refused.find("Retry-After: ") != std::string::npos);
  CHECK(decisions.submitted() == 1);
}

// Guards against connections that wait for a thread without a limit.
TEST_CASE("Connections beyond those that may wait for a thread are told so") {
  fake_core decisions;
  http_server_options options = SmallOptions();
  options.threads = 1;
  options.most_idle_connections = 2;
  http_server server(options, decisions.Gateway(), {});
  const std::uint16_t port = server.Start();
  const testing::raw_connection busy = testing::ConnectTo(port);
  busy.Send(Get("/s/intake/"));
  decisions.AwaitSubmitted(1);
  std::vector<testing::raw_connection> others;
  for (int i = 0; i < 5; ++i) {
    others.push_back(testing::ConnectTo(port));
    others.back().Send("GET /s/intake/ HTTP/1.1\r\nConnection: close\r\n\r\n");
  }
  while (server.counters().turned_away < 3) {
    std::this_thread::yield();
  }
  decisions.AnswerAllWith(Done("hello"));
  decisions.AnswerNext(Done("hello"));
  int answered = 0;
  for (const testing::raw_connection& one : others) {
    const std::string answer = one.ReadAll();
    answered += answer.find("HTTP/1.1 200 ") == 0 ? 1 : 0;
    const bool refused =
        answer.find("HTTP/1.1 503 ") == 0 &&
        answer.find("Plantain-Outcome: not-run") != std::string::npos;
    CHECK((refused || answer.find("hello") != std::string::npos));
  }
  CHECK(answered == 2);
  CHECK(busy.ReadMessage(5).find("hello") != std::string::npos);
}

TEST_CASE("Two requests sent at once on one connection are both answered") {
  fake_core decisions;
  decisions.AnswerAllWith(Done("hello"));
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const testing::raw_connection caller = testing::ConnectTo(server.Start());
  caller.Send(Get("/s/intake/1") + Get("/s/intake/2"));
  CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
  CHECK(caller.ReadMessage(5).find("hello") != std::string::npos);
  CHECK(decisions.last().path == "/2");
}

TEST_CASE("A planned stop cuts no request off") {
  fake_core decisions;
  http_server server(SmallOptions(), decisions.Gateway(), {});
  const std::uint16_t port = server.Start();
  const testing::raw_connection busy = testing::ConnectTo(port);
  busy.Send(Get("/s/intake/slow"));
  decisions.AwaitSubmitted(1);
  const testing::raw_connection idle = testing::ConnectTo(port);

  SECTION("the request in progress gets its answer, the idle one is closed") {
    std::thread stopping([&] { server.Stop(); });
    CHECK(idle.ReadAll().empty());
    decisions.AnswerNext(Done("hello"));
    const std::string answer = busy.ReadAll();
    stopping.join();
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(answer.find("hello") != std::string::npos);
  }

  SECTION("from its announcement on, each answer ends its connection") {
    server.BeginStop();
    decisions.AnswerNext(Done("hello"));
    CHECK(busy.ReadAll().find("hello") != std::string::npos);
    idle.Send(Get("/s/intake/late"));
    decisions.AwaitSubmitted(2);
    decisions.AnswerNext(Done("late"));
    const std::string answer = idle.ReadAll();
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.find("late") != std::string::npos);
  }
}

TEST_CASE("A stop ends although an answer never comes") {
  // The decisions hang while the entry is told to stop. Its caller is told that
  // nobody knows, and the process can end.
  fake_core decisions;
  http_server_options options = SmallOptions();
  options.stop_limit = 1ms;
  http_server server(options, decisions.Gateway(), {});
  const testing::raw_connection caller = testing::ConnectTo(server.Start());
  caller.Send(Get("/s/intake/"));
  decisions.AwaitSubmitted(1);
  server.Stop();
  const std::string answer = caller.ReadAll();
  CHECK(answer.find("Plantain-Outcome: unknown") != std::string::npos);
  CHECK(answer.find("Plantain-Reason: stopping") != std::string::npos);
}

TEST_CASE("A caller is told when the decisions give no answer") {
  // The runtime ends or fails with a request in hand. Whether it went on to an
  // endpoint isn't known here, so the caller must not read "not run".
  core::core_gateway gateway;
  std::string reason;
  SECTION("because the promise of one was dropped") {
    gateway.submit = [](core::request_envelope) {
      return std::promise<core::response>().get_future();
    };
    reason = "stopping";
  }
  SECTION("because they threw") {
    gateway.submit = [](core::request_envelope) -> std::future<core::response> {
      throw std::runtime_error("out of order");
    };
    reason = "internal";
  }
  http_server server(SmallOptions(), gateway, {});
  httplib::Client caller("127.0.0.1", server.Start());
  const auto answer = caller.Get("/s/intake/");
  REQUIRE(answer);
  CHECK(answer->get_header_value("Plantain-Outcome") == "unknown");
  CHECK(answer->get_header_value("Plantain-Reason") == reason);
}

TEST_CASE("Operators' routes are found by method and path") {
  fake_core decisions;
  const route_list routes = {
      {"GET", "/readyz",
       [](const http_request&) {
         return http_answer{503, "text/plain", {}, "no"};
       }},
      {"POST", "/v1/pools/[^/]+",
       [](const http_request& request) {
         return http_answer{200,
                            "text/plain",
                            {},
                            request.path + request.query.at("a") +
                                request.headers.at("x-who") + request.body};
       }},
      {"GET", "/broken", [](const http_request&) -> http_answer {
         throw std::runtime_error("it broke");
       }}};
  http_server server(SmallOptions(), decisions.Gateway(), routes);
  httplib::Client caller("127.0.0.1", server.Start());

  CHECK(caller.Get("/readyz")->status == 503);
  CHECK(caller.Post("/v1/pools/p%20q?a=1", {{"X-Who", "ann"}}, "!", "a/b")
            ->body == "/v1/pools/p q1ann!");
  CHECK(caller.Get("/v1/pools/p")->status == 405);
  CHECK(caller.Get("/nothing")->status == 404);
  // The handler may have done its work before it failed.
  const auto broken = caller.Get("/broken");
  CHECK(broken->status == 500);
  CHECK(broken->get_header_value("Plantain-Outcome") == "unknown");
}

}  // namespace
}  // namespace plantainhead::caller
