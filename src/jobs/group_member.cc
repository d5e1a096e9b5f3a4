#include "jobs/group_member.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"

namespace plantainhead::jobs {
namespace {

// What the names of reserves end with, in the store's list of members.
constexpr std::string_view kReserveMark = "+reserve";

bool IsReserveName(std::string_view member) {
  return member.size() > kReserveMark.size() &&
         member.substr(member.size() - kReserveMark.size()) == kReserveMark;
}

std::string NameIn(member_role role, std::string process) {
  if (role == member_role::kReserve) {
    process += kReserveMark;
  }
  return process;
}

}  // namespace

std::set<std::string> ProcessesOf(const std::set<std::string>& members) {
  std::set<std::string> processes;
  for (const std::string& member : members) {
    processes.insert(IsReserveName(member)
                         ? member.substr(0, member.size() - kReserveMark.size())
                         : member);
  }
  return processes;
}

class group_member::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(boost::asio::io_context* context,
       adapter::store_client* store,
       const member_settings& settings,
       std::string member,
       change_handler on_dealt)
      : store_(*store),
        settings_(settings),
        member_(NameIn(settings.role, std::move(member))),
        on_dealt_(std::move(on_dealt)),
        timer_(*context),
        look_timer_(*context) {}

  void set_used_partitions(std::size_t count) { used_partitions_ = count; }

  // Reserves look at different moments, so that those that look later see that
  // others have joined.
  void Begin() {
    if (settings_.role == member_role::kReserve) {
      const auto spread = settings_.reserve_look_interval;
      LookLater(
          std::chrono::milliseconds(std::hash<std::string>()(member_) %
                                    static_cast<std::size_t>(spread.count())));
    } else {
      LookForOthers();
    }
  }

  void LookForOthers() {
    if (has_left_ || is_looking_) {
      return;
    }
    is_looking_ = true;
    store_.ListMembers(
        settings_.group, settings_.timeout,
        [self = weak_from_this()](const adapter::members_reply& reply) {
          if (const auto member = self.lock()) {
            member->TakeMembers(reply);
          }
        });
  }

  void TakeMembers(const adapter::members_reply& reply) {
    is_looking_ = false;
    if (has_left_) {
      return;
    }
    if (reply.is_read) {
      answered_at_ = BootTime();
    } else {
      LogMembersUnknown(reply);
    }
    const auto regular = static_cast<std::size_t>(
        std::count_if(reply.members.begin(), reply.members.end(),
                      [](const auto& name) { return !IsReserveName(name); }));
    const std::size_t needed =
        std::max(settings_.enough_members, used_partitions_);
    if (settings_.role == member_role::kReserve) {
      if (reply.is_read) {
        const bool is_short = regular < settings_.enough_for_reserves;
        UpdateReserve(is_short, reply.members.size() < needed);
      }
      LookLater(settings_.reserve_look_interval);
      return;
    }
    if (HasJoined()) {
      ReturnOrStayOutside(reply, regular);
      return;
    }
    const bool is_known = reply.members.count(member_) != 0;
    if (!reply.is_read || is_known || regular < needed) {
      Renew();
      return;
    }
    LookLater(settings_.look_interval);
  }

  void ReturnOrStayOutside(const adapter::members_reply& reply,
                           std::size_t regular) {
    if (!HasLapsed()) {
      // A join was answered since the members were asked for.
      return;
    }
    const auto spare = static_cast<std::size_t>(
        settings_.spare_members * static_cast<double>(used_partitions_));
    const std::size_t enough =
        std::max(settings_.enough_members, used_partitions_ + spare);
    const bool is_known = reply.members.count(member_) != 0;
    // A store that refuses each look may take joins, which cost it less.
    const bool looks_in_vain =
        !reply.is_read && reply.status != 0 &&
        BootTime() - looking_since_ > settings_.time_to_live;
    const bool is_short = reply.is_read && regular < enough;
    if (is_short && is_outside_ && !is_known && regular > 0 && !has_waited_) {
      // Others that stay outside see the same. Those that look later see that
      // it has joined.
      has_waited_ = true;
      const auto spread =
          static_cast<std::size_t>(settings_.return_spread.count());
      LookLater(std::chrono::milliseconds(std::hash<std::string>()(member_) %
                                          spread));
      return;
    }
    has_waited_ = false;
    if (looks_in_vain || is_short || (reply.is_read && is_known)) {
      if (!has_decided_) {
        LogLapse(regular, is_known, "joins");
      }
      has_decided_ = true;
      is_outside_ = false;
      has_looked_ = true;
      Renew();
      return;
    }
    if (!reply.is_read) {
      LookLater(settings_.renewal);
      return;
    }
    if (!is_outside_) {
      LogLapse(regular, is_known, "isn't needed");
    }
    StayOutside();
    LookLater(settings_.look_interval);
  }

  void LogLapse(std::size_t regular,
                bool is_known,
                const std::string& decision) const {
    observe::log_fields fields = {{"decision", decision},
                                  {"members", std::to_string(regular)},
                                  {"listed", is_known ? "yes" : "no"}};
    AppendAge("renewed_ms_ago", renewed_at_, &fields);
    LogEvent(job_event::kMembershipLapsed, fields);
  }

  // Its partitions are others' by now.
  void StayOutside() {
    if (!is_outside_) {
      is_outside_ = true;
      on_dealt_(generation_, {});
    }
  }

  // `is_short`: regular members are missing; `has_room`: one more member is of
  // use.
  void UpdateReserve(bool is_short, bool has_room) {
    const bool was_short = is_short_;
    is_short_ = is_short;
    if (is_short && was_short && has_room && !is_member_) {
      is_member_ = true;
      Renew();
    } else if (!is_short && is_member_) {
      Withdraw();
    }
  }

  // Its owners record their ends first, so that the next ones needn't wait.
  void Withdraw() {
    is_member_ = false;
    is_withdrawing_ = true;
    on_dealt_(generation_, {});
    RenewLater(settings_.leave_limit);
  }

  void LookLater(std::chrono::milliseconds pause) {
    CallLater(&look_timer_, pause, &impl::LookForOthers);
  }

  void Renew() {
    if (is_in_flight_ || has_left_ || is_outside_) {
      return;
    }
    timer_.cancel();
    if (settings_.role == member_role::kReserve && !is_member_) {
      LeaveForNow();
      return;
    }
    if (HasLapsed() && !has_looked_) {
      if (looking_since_ == core::time_point()) {
        looking_since_ = BootTime();
      }
      LookForOthers();
      return;
    }
    is_in_flight_ = true;
    const renewal sent{++last_renewal_, BootTime()};
    net::late_response_policy late;
    late.extra_wait = settings_.time_to_live - settings_.late_after;
    late.on_late = [self = weak_from_this(), sent] {
      if (const auto member = self.lock()) {
        member->TakeLateness(sent);
      }
    };
    store_.Join(
        {settings_.group, member_, settings_.topic, settings_.time_to_live,
         generation_},
        settings_.late_after, std::move(late),
        [self = weak_from_this(), sent](const adapter::join_reply& reply) {
          if (const auto member = self.lock()) {
            member->TakeReply(sent, reply);
          }
        });
  }

  void Leave(const std::function<void()>& on_left) {
    has_left_ = true;
    timer_.cancel();
    look_timer_.cancel();
    store_.Leave(settings_.group, member_, settings_.timeout, on_left);
  }

  core::time_point renewed_at() const { return renewed_at_; }
  core::time_point answered_at() const { return answered_at_; }

 private:
  struct renewal {
    std::uint64_t number = 0;
    core::time_point sent_at;
  };

  // A call that is lost does no harm: the time to live ends the membership.
  void LeaveForNow() {
    if (is_withdrawing_) {
      is_withdrawing_ = false;
      store_.Leave(settings_.group, member_, settings_.timeout, [] {});
    }
  }

  // If a member whose time to live has passed joined at once, all partitions
  // would be dealt anew: pools of owners that did their work all the while
  // would change hands together. So it looks first whether it is needed.
  bool HasLapsed() const {
    return settings_.role == member_role::kRegular && HasJoined() &&
           BootTime() >= renewed_at_ + settings_.time_to_live;
  }

  bool HasJoined() const { return renewed_at_ != core::time_point(); }

  bool IsOver() const {
    return has_left_ ||
           (settings_.role == member_role::kReserve && !is_member_);
  }

  void TakeLateness(const renewal& sent) {
    is_in_flight_ = false;
    if (!IsOver()) {
      LogUnanswered(sent.sent_at, 0);
      RenewLater(settings_.renewal / 3);
    }
  }

  void RenewLater(std::chrono::milliseconds pause) {
    CallLater(&timer_, pause, &impl::Renew);
  }

  // Replaces what the timer was to call.
  void CallLater(boost::asio::steady_timer* timer,
                 std::chrono::milliseconds pause,
                 void (impl::*action)()) {
    timer->expires_after(pause);
    timer->async_wait([self = weak_from_this(),
                       action](const boost::system::error_code& error) {
      const auto member = self.lock();
      if (member && !error) {
        (member.get()->*action)();
      }
    });
  }

  void TakeReply(const renewal& sent, const adapter::join_reply& reply) {
    const bool is_late = !is_in_flight_ || sent.number != last_renewal_;
    is_in_flight_ = is_in_flight_ && is_late;
    if (IsOver()) {
      LeaveAgain(reply);
      return;
    }
    if (!is_late) {
      // A failed renewal is repeated sooner, so that a short outage of the
      // store doesn't use up the time to live.
      const bool is_urgent = !reply.is_joined && !HasLapsed();
      RenewLater(is_urgent ? settings_.renewal / 3 : settings_.renewal);
    }
    has_looked_ = false;
    if (!reply.is_joined) {
      if (!is_late) {
        LogUnanswered(sent.sent_at, reply.status);
      }
      return;
    }
    renewed_at_ = std::max(renewed_at_, sent.sent_at);
    answered_at_ = BootTime();
    looking_since_ = {};
    has_decided_ = false;
    if (is_outside_) {
      // The store took a join that had no answer in time.
      is_outside_ = false;
      RenewLater(settings_.renewal);
    }
    if (!IsNews(sent, reply)) {
      return;
    }
    generation_ = reply.generation;
    dealt_by_ = sent.number;
    on_dealt_(generation_, std::set<std::uint32_t>(reply.partitions.begin(),
                                                   reply.partitions.end()));
  }

  // The store may have taken a join after it had taken the leave.
  void LeaveAgain(const adapter::join_reply& reply) {
    const bool is_withdrawing = !has_left_ && is_withdrawing_;
    if (reply.is_joined && !is_withdrawing) {
      store_.Leave(settings_.group, member_, settings_.timeout, [] {});
    }
  }

  // The answer of a later renewal may have come before; and after the time to
  // live the partitions may be dealt to others.
  bool IsNews(const renewal& sent, const adapter::join_reply& reply) const {
    const bool is_later =
        reply.generation > generation_ ||
        (reply.generation == generation_ && sent.number > dealt_by_);
    return is_later && BootTime() < sent.sent_at + settings_.time_to_live;
  }

  static void LogMembersUnknown(const adapter::members_reply& reply) {
    observe::log_fields fields = {{"status", std::to_string(reply.status)}};
    if (reply.fault) {
      fields.emplace_back("fault", core::NameOf(reply.fault->kind));
      fields.emplace_back("field", reply.fault->field);
    }
    LogEvent(job_event::kMembersUnknown, fields);
  }

  // A member whose time to live passes loses all its partitions.
  void LogUnanswered(core::time_point sent_at, unsigned status) const {
    observe::log_fields fields = {
        {"status", std::to_string(status)},
        {"waited_ms", MillisOf(BootTime() - sent_at)}};
    AppendAge("renewed_ms_ago", renewed_at_, &fields);
    LogEvent(job_event::kRenewalUnanswered, fields);
  }

  adapter::store_client& store_;
  member_settings settings_;
  std::string member_;
  change_handler on_dealt_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer look_timer_;
  std::size_t used_partitions_ = 0;
  std::uint64_t last_renewal_ = 0;
  /// The renewal whose answer was passed on last.
  std::uint64_t dealt_by_ = 0;
  std::uint64_t generation_ = 0;
  core::time_point renewed_at_;
  core::time_point answered_at_;
  bool is_in_flight_ = false;
  bool has_left_ = false;
  bool is_looking_ = false;
  /// Since when it looks at the others because its membership has run out.
  core::time_point looking_since_;
  /// To join again; logged once.
  bool has_decided_ = false;
  /// After its membership had run out it saw that it is needed.
  bool has_looked_ = false;
  /// After its membership had run out it saw that it isn't needed.
  bool is_outside_ = false;
  /// It saw that it is needed again, and gave others the time to join.
  bool has_waited_ = false;
  /// Of a reserve.
  bool is_member_ = false;
  bool is_short_ = false;
  bool is_withdrawing_ = false;
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

void group_member::SetUsedPartitions(std::size_t count) {
  impl_->set_used_partitions(count);
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
