#include "peers/owner_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <utility>

#include "jobs/clocks.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "peers/forwarded_request.h"

namespace plantainhead::peers {

using core::jobs::owner_address;
using jobs::BootTime;
using std::chrono::milliseconds;

class owner_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context, const owner_client_settings& settings)
      : context_(*context),
        settings_(settings),
        directory_(settings.directory) {}

  core::jobs::owner_directory& directory() { return directory_; }
  core::time_point answered_at() const { return answered_at_; }

  void Forward(std::uint32_t partition,
               const net::server_request& request,
               milliseconds timeout,
               const reply_handler& on_reply) {
    const auto owner = directory_.Choose(partition, BootTime());
    if (!owner) {
      on_reply({});
      return;
    }
    const auto call = std::make_shared<forwarded_call>(context_);
    call->partition = partition;
    call->owner = *owner;
    call->sent_at = BootTime();
    call->on_reply = on_reply;
    ConnectionTo(*owner).client->Send(
        MakeForwardedRequest(request, timeout), timeout,
        [self = weak_from_this(), call](const net::client_reply& reply) {
          if (const auto client_impl = self.lock()) {
            client_impl->OnReply(call, reply);
          }
        });
    StartSilenceTimer(call);
  }

 private:
  struct forwarded_call {
    explicit forwarded_call(boost::asio::io_context& context)
        : timer(context) {}
    std::uint32_t partition = 0;
    owner_address owner;
    core::time_point sent_at;
    reply_handler on_reply;
    boost::asio::steady_timer timer;
    bool is_finished = false;
  };
  using call_ptr = std::shared_ptr<forwarded_call>;

  struct owner_connection {
    std::unique_ptr<net::http_client> client;
    core::time_point answered_at;
  };

  owner_connection& ConnectionTo(const owner_address& owner) {
    owner_connection& found = connections_[owner.address];
    if (!found.client) {
      net::http_client_options options;
      options.max_connections = settings_.max_connections;
      found.client =
          std::make_unique<net::http_client>(&context_, owner.address, options);
    }
    return found;
  }

  void StartSilenceTimer(const call_ptr& call) {
    call->timer.expires_after(settings_.silence_timeout);
    call->timer.async_wait([self = weak_from_this(),
                            call](const boost::system::error_code& error) {
      const auto client_impl = self.lock();
      if (client_impl && !error && !call->is_finished) {
        client_impl->CheckSilence(call);
      }
    });
  }

  void CheckSilence(const call_ptr& call) {
    const core::time_point now = BootTime();
    const owner_connection& connection = ConnectionTo(call->owner);
    const core::time_point last_answer_at =
        std::max(connection.answered_at, call->sent_at);
    const bool is_silent = now - last_answer_at >= settings_.silence_timeout;
    if (is_silent) {
      directory_.NoteFailed(call->partition, call->owner.epoch, now);
      Finish(call, {forward_outcome::kUnknown, 0, {}});
    } else {
      StartSilenceTimer(call);
    }
  }

  void OnReply(const call_ptr& call, const net::client_reply& reply) {
    const core::time_point now = BootTime();
    if (reply.outcome == net::call_outcome::kAnswered) {
      ConnectionTo(call->owner).answered_at = now;
      answered_at_ = now;
    }
    if (call->is_finished) {
      return;
    }
    const bool is_refused = reply.outcome == net::call_outcome::kAnswered &&
                            reply.status == net::kMisdirected;
    const bool is_answered =
        reply.outcome == net::call_outcome::kAnswered && !is_refused;
    if (is_answered) {
      directory_.NoteAnswered(call->partition, call->owner.epoch);
      Finish(call, {forward_outcome::kAnswered, reply.status, reply.body});
      return;
    }
    directory_.NoteFailed(call->partition, call->owner.epoch, now);
    const bool may_be_accepted =
        reply.outcome == net::call_outcome::kUnanswered;
    Finish(call, {may_be_accepted ? forward_outcome::kUnknown
                                  : forward_outcome::kNotAccepted,
                  reply.status,
                  {}});
  }

  static void Finish(const call_ptr& call, const forward_reply& reply) {
    call->is_finished = true;
    call->timer.cancel();
    const reply_handler on_reply = std::move(call->on_reply);
    call->on_reply = nullptr;
    on_reply(reply);
  }

  boost::asio::io_context& context_;
  owner_client_settings settings_;
  core::jobs::owner_directory directory_;
  std::map<std::string, owner_connection> connections_;
  core::time_point answered_at_;
};

owner_client::owner_client(boost::asio::io_context* context,
                           const owner_client_settings& settings)
    : impl_(std::make_shared<impl>(context, settings)) {}

owner_client::~owner_client() = default;

core::jobs::owner_directory& owner_client::directory() {
  return impl_->directory();
}

void owner_client::Forward(std::uint32_t partition,
                           const net::server_request& request,
                           milliseconds timeout,
                           const reply_handler& on_reply) {
  impl_->Forward(partition, request, timeout, on_reply);
}

core::time_point owner_client::AnsweredAt() const {
  return impl_->answered_at();
}

}  // namespace plantainhead::peers
