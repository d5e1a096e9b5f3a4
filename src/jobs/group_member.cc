#include "jobs/group_member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "jobs/clocks.h"

namespace plantainhead::jobs {

class group_member::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       const member_settings& settings,
       std::string member,
       change_handler on_dealt)
      : store_(*store),
        settings_(settings),
        member_(std::move(member)),
        on_dealt_(std::move(on_dealt)),
        timer_(*context) {}

  void Begin() {
    began_at_ = BootTime();
    LookForOthers();
  }

  void LookForOthers() {
    store_.ListMembers(
        settings_.group, settings_.timeout,
        [self = weak_from_this()](const adapter::members_reply& reply) {
          if (const auto member = self.lock()) {
            member->TakeMembers(reply);
          }
        });
  }

  void TakeMembers(const adapter::members_reply& reply) {
    if (has_left_) {
      return;
    }
    if (reply.is_read) {
      answered_at_ = BootTime();
    }
    const bool is_known = reply.members.count(member_) != 0;
    const bool is_enough = reply.members.size() >= settings_.enough_members;
    const bool is_early = BootTime() - began_at_ < settings_.join_delay;
    if (!reply.is_read || is_known || !is_enough || !is_early) {
      Renew();
      return;
    }
    timer_.expires_after(settings_.look_interval);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto member = self.lock();
          if (member && !error) {
            member->LookForOthers();
          }
        });
  }

  void Renew() {
    if (is_in_flight_ || has_left_) {
      return;
    }
    is_in_flight_ = true;
    timer_.cancel();
    const core::time_point sent_at = BootTime();
    store_.Join(
        {settings_.group, member_, settings_.topic, settings_.time_to_live,
         generation_},
        settings_.timeout,
        [self = weak_from_this(), sent_at](const adapter::join_reply& reply) {
          if (const auto member = self.lock()) {
            member->TakeReply(sent_at, reply);
          }
        });
  }

  void Leave(const std::function<void()>& on_left) {
    has_left_ = true;
    timer_.cancel();
    store_.Leave(settings_.group, member_, settings_.timeout, on_left);
  }

  core::time_point renewed_at() const { return renewed_at_; }
  core::time_point answered_at() const { return answered_at_; }

 private:
  void TakeReply(core::time_point sent_at, const adapter::join_reply& reply) {
    is_in_flight_ = false;
    if (has_left_) {
      return;
    }
    // A failed renewal is repeated sooner, so that a short outage of the store
    // doesn't use up the time to live.
    const auto pause =
        reply.is_joined ? settings_.renewal : settings_.renewal / 3;
    timer_.expires_after(pause);
    timer_.async_wait(
        [self = weak_from_this()](const boost::system::error_code& error) {
          const auto member = self.lock();
          if (member && !error) {
            member->Renew();
          }
        });
    if (reply.is_joined) {
      renewed_at_ = sent_at;
      answered_at_ = BootTime();
      generation_ = reply.generation;
      on_dealt_(generation_, std::set<std::uint32_t>(reply.partitions.begin(),
                                                     reply.partitions.end()));
    }
  }

  adapter::store_client& store_;
  member_settings settings_;
  std::string member_;
  change_handler on_dealt_;
  boost::asio::steady_timer timer_;
  std::uint64_t generation_ = 0;
  core::time_point renewed_at_;
  core::time_point answered_at_;
  core::time_point began_at_;
  bool is_in_flight_ = false;
  bool has_left_ = false;
};

group_member::group_member(boost::asio::io_context* context,
                           adapter::store_client* store,
                           const member_settings& settings,
                           std::string member,
                           change_handler on_dealt)
    : impl_(std::make_shared<impl>(context,
                                   store,
                                   settings,
                                   std::move(member),
                                   std::move(on_dealt))) {}

group_member::~group_member() = default;

void group_member::Start() {
  impl_->Begin();
}

void group_member::RenewNow() {
  impl_->Renew();
}

void group_member::Leave(const std::function<void()>& on_left) {
  impl_->Leave(on_left);
}

core::time_point group_member::RenewedAt() const {
  return impl_->renewed_at();
}

core::time_point group_member::AnsweredAt() const {
  return impl_->answered_at();
}

}  // namespace plantainhead::jobs
