#ifndef PLANTAINHEAD_TESTS_OPERATORS_ENTRY_SERVER_H_
#define PLANTAINHEAD_TESTS_OPERATORS_ENTRY_SERVER_H_

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <thread>

#include "operators/operator_fixture.h"
#include "plantainhead/operators/client.h"

namespace plantainhead::operators {

/// Serves a fixture's routes on a free port of 127.0.0.1.
class entry_server {
 public:
  explicit entry_server(operator_fixture* entry) : entry_(entry) {
    const auto handle = [this](const httplib::Request& request,
                               httplib::Response& response) {
      Handle(request, response);
    };
    server_.Get(".*", handle).Put(".*", handle).Post(".*", handle);
    port_ = static_cast<std::uint16_t>(server_.bind_to_any_port("127.0.0.1"));
    thread_ = std::thread([this] { server_.listen_after_bind(); });
  }

  ~entry_server() {
    // A stop before the thread has begun to listen would be lost.
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
    server_.stop();
    thread_.join();
  }

  entry_address address() const { return {"127.0.0.1", port_}; }

  /// Carries out changes, but cuts the connection in place of an answer.
  std::atomic<bool> loses_answers = false;
  /// Called after each change that was carried out.
  std::function<void()> after_change = [] {};
  std::atomic<int> requests = 0;

 private:
  void Handle(const httplib::Request& request, httplib::Response& response) {
    ++requests;
    caller::http_request asked{
        request.method, request.path, {}, {}, request.body};
    for (const auto& [name, value] : request.headers) {
      std::string lower = name;
      for (char& character : lower) {
        character = static_cast<char>(std::tolower(character));
      }
      asked.headers.emplace(lower, value);
    }
    for (const auto& [name, value] : request.params) {
      asked.query.emplace(name, value);
    }
    const caller::http_answer answer = entry_->Ask(asked);
    if (request.method != "GET") {
      after_change();
      if (loses_answers) {
        response.set_content_provider(
            1, "text/plain",
            [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        return;
      }
    }
    response.status = answer.status;
    response.set_content(answer.body, answer.content_type);
  }

  operator_fixture* entry_;
  httplib::Server server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

/// Holds a port of 127.0.0.1. `kClosed` refuses connections, as a VM whose
/// process has ended; `kSilent` takes them and never answers, as a frozen one.
class dead_entry {
 public:
  enum class kind { kClosed, kSilent };

  explicit dead_entry(kind what = kind::kClosed)
      : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
    address_.sin_family = AF_INET;
    address_.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address_);
    auto* const plain = reinterpret_cast<sockaddr*>(&address_);
    ::bind(socket_, plain, size);
    ::getsockname(socket_, plain, &size);
    if (what == kind::kSilent) {
      ::listen(socket_, 8);
    }
  }
  dead_entry(const dead_entry&) = delete;
  dead_entry& operator=(const dead_entry&) = delete;
  ~dead_entry() { ::close(socket_); }

  entry_address address() const {
    return {"127.0.0.1", ntohs(address_.sin_port)};
  }

 private:
  int socket_;
  sockaddr_in address_{};
};

}  // namespace plantainhead::operators

#endif  // PLANTAINHEAD_TESTS_OPERATORS_ENTRY_SERVER_H_
