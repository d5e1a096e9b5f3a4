#include "peers/owner_links.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <utility>

#include "jobs/clocks.h"
#include "net/http_client.h"
#include "net/http_status.h"
#include "peers/passed_request.h"

namespace plantainhead::peers {

using core::jobs::owner_address;
using jobs::BootTime;
using std::chrono::milliseconds;

class owner_links::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context, const owner_link_settings& settings)
      : context_(*context), settings_(settings), book_(settings.book) {}

  core::jobs::owner_directory& book() { return book_; }
  core::time_point answered_at() const { return answered_at_; }

  void Pass(std::uint32_t partition,
            const net::server_request& request,
            milliseconds patience,
            const reply_handler& on_reply) {
    const auto owner = book_.Choose(partition, BootTime());
    if (!owner) {
      on_reply({});
      return;
    }
    const auto call = std::make_shared<passed_call>(context_);
    call->partition = partition;
    call->owner = *owner;
    call->sent_at = BootTime();
    call->on_reply = on_reply;
    LinkTo(*owner).client->Send(
        PassOn(request, patience), patience,
        [self = weak_from_this(), call](const net::client_reply& reply) {
          if (const auto links = self.lock()) {
            links->TakeReply(call, reply);
          }
        });
    AwaitSilence(call);
  }

 private:
  struct passed_call {
    explicit passed_call(boost::asio::io_context& context) : timer(context) {}
    std::uint32_t partition = 0;
    owner_address owner;
    core::time_point sent_at;
    reply_handler on_reply;
    boost::asio::steady_timer timer;
    bool is_over = false;
  };
  using call_ptr = std::shared_ptr<passed_call>;

  struct link {
    std::unique_ptr<net::http_client> client;
    core::time_point answered_at;
  };

  link& LinkTo(const owner_address& owner) {
    link& found = links_[owner.address];
    if (!found.client) {
      net::http_client_options options;
      options.most_connections = settings_.most_connections;
      found.client =
          std::make_unique<net::http_client>(&context_, owner.address, options);
    }
    return found;
  }

  void AwaitSilence(const call_ptr& call) {
    call->timer.expires_after(settings_.silence_limit);
    call->timer.async_wait([self = weak_from_this(),
                            call](const boost::system::error_code& error) {
      const auto links = self.lock();
      if (links && !error && !call->is_over) {
        links->CheckSilence(call);
      }
    });
  }

  void CheckSilence(const call_ptr& call) {
    const core::time_point now = BootTime();
    const link& used = LinkTo(call->owner);
    const core::time_point heard = std::max(used.answered_at, call->sent_at);
    const bool is_silent = now - heard >= settings_.silence_limit;
    if (is_silent) {
      book_.NoteFailed(call->partition, call->owner.epoch, now);
      End(call, {pass_outcome::kUnknown, 0, {}});
    } else {
      AwaitSilence(call);
    }
  }

  void TakeReply(const call_ptr& call, const net::client_reply& reply) {
    const core::time_point now = BootTime();
    if (reply.reached == net::delivery::kAnswered) {
      LinkTo(call->owner).answered_at = now;
      answered_at_ = now;
    }
    if (call->is_over) {
      return;
    }
    const bool is_refused = reply.reached == net::delivery::kAnswered &&
                            reply.status == net::kMisdirected;
    const bool is_answered =
        reply.reached == net::delivery::kAnswered && !is_refused;
    if (is_answered) {
      book_.NoteAnswered(call->partition, call->owner.epoch);
      End(call, {pass_outcome::kAnswered, reply.status, reply.body});
      return;
    }
    book_.NoteFailed(call->partition, call->owner.epoch, now);
    const bool may_be_taken = reply.reached == net::delivery::kUnanswered;
    End(call, {may_be_taken ? pass_outcome::kUnknown : pass_outcome::kNotTaken,
               reply.status,
               {}});
  }

  static void End(const call_ptr& call, const pass_reply& reply) {
    call->is_over = true;
    call->timer.cancel();
    const reply_handler on_reply = std::move(call->on_reply);
    call->on_reply = nullptr;
    on_reply(reply);
  }

  boost::asio::io_context& context_;
  owner_link_settings settings_;
  core::jobs::owner_directory book_;
  std::map<std::string, link> links_;
  core::time_point answered_at_;
};

owner_links::owner_links(boost::asio::io_context* context,
                         const owner_link_settings& settings)
    : impl_(std::make_shared<impl>(context, settings)) {}

owner_links::~owner_links() = default;

core::jobs::owner_directory& owner_links::book() {
  return impl_->book();
}

void owner_links::Pass(std::uint32_t partition,
                       const net::server_request& request,
                       milliseconds patience,
                       const reply_handler& on_reply) {
  impl_->Pass(partition, request, patience, on_reply);
}

core::time_point owner_links::AnsweredAt() const {
  return impl_->answered_at();
}

}  // namespace plantainhead::peers
