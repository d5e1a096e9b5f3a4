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

// Suffix of the names of reserves in the store's member list.
constexpr std::string_view kReserveSuffix = "+reserve";

bool IsReserveName(std::string_view member) {
  return member.size() > kReserveSuffix.size() &&
         member.substr(member.size() - kReserveSuffix.size()) == kReserveSuffix;
}

std::string MemberName(member_role role, std::string process) {
  if (role == member_role::kReserve) {
    process += kReserveSuffix;
  }
  return process;
}

}  // namespace

std::set<std::string> ProcessesOf(const std::set<std::string>& members) {
  std::set<std::string> processes;
  for (const std::string& member : members) {
    processes.insert(
        IsReserveName(member)
            ? member.substr(0, member.size() - kReserveSuffix.size())
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
       change_handler on_assigned)
      : store_(*store),
        settings_(settings),
        member_(MemberName(settings.role, std::move(member))),
        on_assigned_(std::move(on_assigned)),
        timer_(*context),
        check_timer_(*context) {}

  void set_used_partitions(std::size_t count) { used_partitions_ = count; }

  // Reserves start their checks at different moments, so that later checks see
  // which others have joined.
  void StartChecks() {
    if (settings_.role == member_role::kReserve) {
      const auto jitter = settings_.reserve_check_interval;
      ScheduleCheck(
          std::chrono::milliseconds(std::hash<std::string>()(member_) %
                                    static_cast<std::size_t>(jitter.count())));
    } else {
      CheckMembers();
    }
  }

  void CheckMembers() {
    if (has_left_ || is_checking_) {
      return;
    }
    is_checking_ = true;
    store_.ListMembers(
        settings_.group, settings_.timeout,
        [self = weak_from_this()](const adapter::members_reply& reply) {
          if (const auto member = self.lock()) {
            member->TakeMembers(reply);
          }
        });
  }

  void TakeMembers(const adapter::members_reply& reply) {
    is_checking_ = false;
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
        std::max(settings_.sufficient_members, used_partitions_);
    if (settings_.role == member_role::kReserve) {
      if (reply.is_read) {
        const bool is_below_minimum = regular < settings_.min_regular_members;
        UpdateReserve(is_below_minimum, reply.members.size() < needed);
      }
      ScheduleCheck(settings_.reserve_check_interval);
      return;
    }
    if (HasJoined()) {
      RejoinOrStandBy(reply, regular);
      return;
    }
    const bool is_known = reply.members.count(member_) != 0;
    if (!reply.is_read || is_known || regular < needed) {
      Renew();
      return;
    }
    ScheduleCheck(settings_.check_interval);
  }

  void RejoinOrStandBy(const adapter::members_reply& reply,
                       std::size_t regular) {
    if (!HasLapsed()) {
      // A join was answered since the member list was requested.
      return;
    }
    const auto spare = static_cast<std::size_t>(
        settings_.spare_member_ratio * static_cast<double>(used_partitions_));
    const std::size_t sufficient =
        std::max(settings_.sufficient_members, used_partitions_ + spare);
    const bool is_known = reply.members.count(member_) != 0;
    // A store that rejects each request for the member list may accept joins,
    // which cost it less.
    const bool are_checks_rejected =
        !reply.is_read && reply.status != 0 &&
        BootTime() - checking_since_ > settings_.time_to_live;
    const bool is_below_minimum = reply.is_read && regular < sufficient;
    if (is_below_minimum && is_standby_ && !is_known && regular > 0 &&
        !has_waited_jitter_) {
      // Other members on standby see the same. Those that check later will see
      // that this member has joined.
      has_waited_jitter_ = true;
      const auto jitter =
          static_cast<std::size_t>(settings_.rejoin_jitter.count());
      ScheduleCheck(std::chrono::milliseconds(
          std::hash<std::string>()(member_) % jitter));
      return;
    }
    has_waited_jitter_ = false;
    if (are_checks_rejected || is_below_minimum ||
        (reply.is_read && is_known)) {
      if (!has_decided_to_rejoin_) {
        LogMembershipLapse(regular, is_known, "joins");
      }
      has_decided_to_rejoin_ = true;
      is_standby_ = false;
      has_checked_ = true;
      Renew();
      return;
    }
    if (!reply.is_read) {
      ScheduleCheck(settings_.renewal);
      return;
    }
    if (!is_standby_) {
      LogMembershipLapse(regular, is_known, "not needed");
    }
    EnterStandby();
    ScheduleCheck(settings_.check_interval);
  }

  void LogMembershipLapse(std::size_t regular,
                          bool is_known,
                          const std::string& decision) const {
    observe::log_fields fields = {{"decision", decision},
                                  {"members", std::to_string(regular)},
                                  {"listed", is_known ? "yes" : "no"}};
    AppendAge("renewed_ms_ago", renewed_at_, &fields);
    LogEvent(job_event::kMembershipLapsed, fields);
  }

  // Gives up the partitions, which have other owners by now.
  void EnterStandby() {
    if (!is_standby_) {
      is_standby_ = true;
      on_assigned_(generation_, {});
    }
  }

  // `is_below_minimum`: there are too few regular members; `has_room`: one more
  // member would be useful.
  void UpdateReserve(bool is_below_minimum, bool has_room) {
    const bool was_below_minimum = is_below_minimum_;
    is_below_minimum_ = is_below_minimum;
    if (is_below_minimum && was_below_minimum && has_room && !is_member_) {
      is_member_ = true;
      Renew();
    } else if (!is_below_minimum && is_member_) {
      Withdraw();
    }
  }

  // The owners record their releases before the member leaves, so that the next
  // owners need not wait.
  void Withdraw() {
    is_member_ = false;
    is_withdrawing_ = true;
    on_assigned_(generation_, {});
    ScheduleRenewal(settings_.withdraw_timeout);
  }

  void ScheduleCheck(std::chrono::milliseconds pause) {
    ScheduleCall(&check_timer_, pause, &impl::CheckMembers);
  }

  void Renew() {
    if (is_in_flight_ || has_left_ || is_standby_) {
      return;
    }
    timer_.cancel();
    if (settings_.role == member_role::kReserve && !is_member_) {
      LeaveAfterWithdrawal();
      return;
    }
    if (HasLapsed() && !has_checked_) {
      if (checking_since_ == core::time_point()) {
        checking_since_ = BootTime();
      }
      CheckMembers();
      return;
    }
    is_in_flight_ = true;
    const renewal sent{++last_renewal_, BootTime()};
    net::late_response_policy late;
    late.extra_wait = settings_.time_to_live - settings_.late_threshold;
    late.on_late = [self = weak_from_this(), sent] {
      if (const auto member = self.lock()) {
        member->OnRenewalLate(sent);
      }
    };
    store_.Join(
        {settings_.group, member_, settings_.topic, settings_.time_to_live,
         generation_},
        settings_.late_threshold, std::move(late),
        [self = weak_from_this(), sent](const adapter::join_reply& reply) {
          if (const auto member = self.lock()) {
            member->OnJoinReply(sent, reply);
          }
        });
  }

  void Leave(const std::function<void()>& on_left) {
    has_left_ = true;
    timer_.cancel();
    check_timer_.cancel();
    store_.Leave(settings_.group, member_, settings_.timeout, on_left);
  }

  core::time_point renewed_at() const { return renewed_at_; }
  core::time_point answered_at() const { return answered_at_; }

 private:
  struct renewal {
    std::uint64_t number = 0;
    core::time_point sent_at;
  };

  // A lost call is harmless: the membership then ends with its time to live.
  void LeaveAfterWithdrawal() {
    if (is_withdrawing_) {
      is_withdrawing_ = false;
      store_.Leave(settings_.group, member_, settings_.timeout, [] {});
    }
  }

  // If a member whose time to live has passed rejoined immediately, all
  // partitions would be reassigned, and the pools of healthy owners would
  // change owners at the same time. It therefore checks first whether it is
  // needed.
  bool HasLapsed() const {
    return settings_.role == member_role::kRegular && HasJoined() &&
           BootTime() >= renewed_at_ + settings_.time_to_live;
  }

  bool HasJoined() const { return renewed_at_ != core::time_point(); }

  bool IsRenewalStopped() const {
    return has_left_ ||
           (settings_.role == member_role::kReserve && !is_member_);
  }

  void OnRenewalLate(const renewal& sent) {
    is_in_flight_ = false;
    if (!IsRenewalStopped()) {
      LogRenewalUnanswered(sent.sent_at, 0);
      ScheduleRenewal(settings_.renewal / 3);
    }
  }

  void ScheduleRenewal(std::chrono::milliseconds pause) {
    ScheduleCall(&timer_, pause, &impl::Renew);
  }

  // Replaces the pending call of the timer.
  void ScheduleCall(boost::asio::steady_timer* timer,
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

  void OnJoinReply(const renewal& sent, const adapter::join_reply& reply) {
    const bool is_late = !is_in_flight_ || sent.number != last_renewal_;
    is_in_flight_ = is_in_flight_ && is_late;
    if (IsRenewalStopped()) {
      LeaveAgain(reply);
      return;
    }
    if (!is_late) {
      // A failed renewal is retried sooner, so that a short outage of the store
      // does not exhaust the time to live.
      const bool is_urgent = !reply.is_joined && !HasLapsed();
      ScheduleRenewal(is_urgent ? settings_.renewal / 3 : settings_.renewal);
    }
    has_checked_ = false;
    if (!reply.is_joined) {
      if (!is_late) {
        LogRenewalUnanswered(sent.sent_at, reply.status);
      }
      return;
    }
    renewed_at_ = std::max(renewed_at_, sent.sent_at);
    answered_at_ = BootTime();
    checking_since_ = {};
    has_decided_to_rejoin_ = false;
    if (is_standby_) {
      // The store accepted a join that was not answered in time.
      is_standby_ = false;
      ScheduleRenewal(settings_.renewal);
    }
    if (!IsNewAssignment(sent, reply)) {
      return;
    }
    generation_ = reply.generation;
    assigned_by_ = sent.number;
    on_assigned_(generation_, std::set<std::uint32_t>(reply.partitions.begin(),
                                                      reply.partitions.end()));
  }

  // The store may have processed a join after the leave.
  void LeaveAgain(const adapter::join_reply& reply) {
    const bool is_withdrawing = !has_left_ && is_withdrawing_;
    if (reply.is_joined && !is_withdrawing) {
      store_.Leave(settings_.group, member_, settings_.timeout, [] {});
    }
  }

  // Returns false if the answer of a later renewal arrived earlier, or if the
  // time to live has passed, after which the partitions may belong to others.
  bool IsNewAssignment(const renewal& sent,
                       const adapter::join_reply& reply) const {
    const bool is_later =
        reply.generation > generation_ ||
        (reply.generation == generation_ && sent.number > assigned_by_);
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
  void LogRenewalUnanswered(core::time_point sent_at, unsigned status) const {
    observe::log_fields fields = {
        {"status", std::to_string(status)},
        {"waited_ms", MillisOf(BootTime() - sent_at)}};
    AppendAge("renewed_ms_ago", renewed_at_, &fields);
    LogEvent(job_event::kRenewalUnanswered, fields);
  }

  adapter::store_client& store_;
  member_settings settings_;
  std::string member_;
  change_handler on_assigned_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer check_timer_;
  std::size_t used_partitions_ = 0;
  std::uint64_t last_renewal_ = 0;
  /// Number of the renewal whose answer was last passed to `on_assigned_`.
  std::uint64_t assigned_by_ = 0;
  std::uint64_t generation_ = 0;
  core::time_point renewed_at_;
  core::time_point answered_at_;
  bool is_in_flight_ = false;
  bool has_left_ = false;
  bool is_checking_ = false;
  /// When the checks before rejoining started; unset if none are running.
  core::time_point checking_since_;
  /// The decision to rejoin has been made, and logged once.
  bool has_decided_to_rejoin_ = false;
  /// After the membership expired, a check found that this member is needed.
  bool has_checked_ = false;
  /// After the membership expired, a check found that this member is not
  /// needed.
  bool is_standby_ = false;
  /// The member is needed again, and the rejoin delay has started.
  bool has_waited_jitter_ = false;
  /// State of a reserve.
  bool is_member_ = false;
  bool is_below_minimum_ = false;
  bool is_withdrawing_ = false;
};

group_member::group_member(boost::asio::io_context* context,
                           adapter::store_client* store,
                           const member_settings& settings,
                           std::string member,
                           change_handler on_assigned)
    : impl_(std::make_shared<impl>(context,
                                   store,
                                   settings,
                                   std::move(member),
                                   std::move(on_assigned))) {}

group_member::~group_member() = default;

void group_member::Start() {
  impl_->StartChecks();
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
