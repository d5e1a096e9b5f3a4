#include "jobs/ownership.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "jobs/clocks.h"
#include "jobs/event_log.h"
#include "jobs/record_outbox.h"

namespace plantainhead::jobs {

class ownership::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(const dependencies& dependencies,
       const owner_settings& owner_settings,
       const fleet_settings& fleet_settings)
      : deps_(dependencies),
        owner_settings_(owner_settings),
        fleet_settings_(fleet_settings),
        announcements_(dependencies.context,
                       dependencies.store,
                       {adapter::kAddressTopic, 0},
                       {}) {}

  void OnAssignment(std::uint64_t generation,
                    const std::set<std::uint32_t>& partitions) {
    generation_ = generation;
    assigned_ = partitions;
    Update();
  }

  void Release(const std::function<void()>& on_released) {
    is_releasing_ = true;
    fleet_.reset();
    auto left = std::make_shared<std::size_t>(owners_.size() + 1);
    const auto done = [left, on_released] {
      if (--*left == 0) {
        on_released();
      }
    };
    for (auto& [partition, owner] : owners_) {
      owner->Release(done);
    }
    done();
  }

  void OnJob(const std::shared_ptr<const core::jobs::job_spec>& job) {
    for (auto& [partition, owner] : owners_) {
      owner->OnJob(job);
    }
  }

  bool IsOwnerActive(std::uint32_t partition) const {
    const auto found = owners_.find(partition);
    return found != owners_.end() && found->second->IsActive();
  }

  void OnUnopenedJob(const core::jobs::job_id& job) {
    for (auto& [partition, owner] : owners_) {
      owner->OnUnopenedJob(job);
    }
  }

  void OnCancel(const core::jobs::job_id& job) {
    for (auto& [partition, owner] : owners_) {
      owner->OnCancel(job);
    }
  }

  void OnConfiguration() {
    // The fleet partition counts as one more.
    deps_.member->SetUsedPartitions(PartitionsWithPools().size() + 1);
    for (auto& [partition, owner] : owners_) {
      owner->OnConfiguration();
    }
    RecordQueues();
    Update();
  }

  void OnRegistry(const std::set<core::jobs::vm_id>& changed) {
    for (auto& [partition, owner] : owners_) {
      owner->OnRegistry(changed);
    }
  }

  void OnReport(const core::jobs::vm_id& vm, core::time_point trusted_until) {
    for (auto& [partition, owner] : owners_) {
      owner->OnReport(vm, trusted_until);
    }
  }

  void OnFleetRecords(const std::set<std::string>& keys) {
    for (auto& [partition, owner] : owners_) {
      owner->OnFleetRecords(keys);
    }
    if (fleet_) {
      fleet_->OnFleetRecords(keys);
    }
  }

  std::map<std::uint32_t, core::jobs::scheduler_counts> Counts() const {
    std::map<std::uint32_t, core::jobs::scheduler_counts> counts;
    for (const auto& [partition, owner] : owners_) {
      counts[partition] = owner->Counts();
    }
    return counts;
  }

  std::vector<owned_partition> HeldPartitions() const {
    std::vector<owned_partition> held;
    for (const auto& [partition, owner] : owners_) {
      held.push_back({partition, owner->epoch(), owner->IsActive()});
    }
    return held;
  }

  bool OwnsFleet() const { return fleet_ != nullptr; }

  std::uint64_t EpochOf(std::uint32_t partition) const {
    const auto found = owners_.find(partition);
    const bool is_active = found != owners_.end() && found->second->IsActive();
    return is_active ? found->second->epoch() : 0;
  }

  // A member that has not renewed within its time to live may have lost its
  // partitions, even if it was suspended meanwhile and has not noticed. If it
  // continued, it could start a task on a VM that the new owner cannot reach,
  // after the new owner has waited for the last lease there to end. The same
  // holds for a member that does not know the newest configuration, which may
  // have changed the assignment.
  bool IsOwnershipConfirmed() const {
    const core::time_point known_at =
        std::min(deps_.member->RenewedAt(), deps_.view->ConfigurationReadAt());
    return BootTime() < known_at + deps_.time_to_live;
  }

  void OnAnnouncement(const peers::owner_announcement& announcement) {
    const std::uint64_t epoch = EpochOf(announcement.partition);
    if (announcement.owner.epoch < epoch) {
      Announce(announcement.partition, epoch);
    }
  }

  // An older record may have been stored after a newer one.
  void OnOutdatedPolicy() {
    if (!is_releasing_) {
      RecordQueues();
    }
  }

 private:
  // An earlier owner's announcement may be stored after this one; see
  // `OnAnnouncement`.
  void Announce(std::uint32_t partition, std::uint64_t epoch) {
    if (!deps_.peer_address.empty()) {
      announcements_.Put(
          peers::Encode({partition, {epoch, deps_.peer_address}}));
    }
  }

  // Returns whether this process is the owner of a pool that the queue has, or
  // has had.
  bool OwnsPoolOf(const core::jobs::queue_id& queue) const {
    const auto& pools = deps_.view->history().pools();
    const auto found = pools.find(queue);
    return found != pools.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [this](const core::jobs::pool_id& pool) {
                         return EpochOf(PoolPartitionOf(pool)) != 0;
                       });
  }

  // A configuration states neither the former pools of a queue that was moved
  // nor the policy of one whose route was removed, so that both are recorded
  // before that.
  void RecordQueues() {
    const queue_history& history = deps_.view->history();
    for (const auto& [queue, pools] : history.pools()) {
      const bool is_own = std::any_of(
          pools.begin(), pools.end(), [this](const core::jobs::pool_id& pool) {
            return EpochOf(PoolPartitionOf(pool)) != 0;
          });
      for (const core::jobs::pool_id& pool : pools) {
        if (is_own && !history.IsStored({queue, pool})) {
          announcements_.Put(Encode(served_queue{queue, pool}));
        }
      }
    }
    for (const recorded_policy& policy : history.PoliciesToStore()) {
      if (OwnsPoolOf(policy.queue)) {
        announcements_.Put(Encode(policy));
      }
    }
  }

  // Returns the partitions with pools, ordered by pool name. The group assigns
  // its partitions to the members in turn, so adjacent ones go to different
  // members: the member that is assigned the group partition with the index of
  // an element owns that element's pools. With the partitions' own numbers,
  // which are derived from the pool names, one member got two large pools while
  // others got none.
  std::vector<std::uint32_t> PartitionsWithPools() const {
    std::vector<std::uint32_t> partitions;
    for (const core::jobs::pool_id& pool :
         deps_.view->routes().WorkingPools()) {
      const std::uint32_t partition = PoolPartitionOf(pool);
      const bool is_new = std::find(partitions.begin(), partitions.end(),
                                    partition) == partitions.end();
      if (is_new) {
        partitions.push_back(partition);
      }
    }
    return partitions;
  }

  bool IsAssigned(std::size_t position) const {
    return assigned_.count(static_cast<std::uint32_t>(position)) != 0;
  }

  void Update() {
    if (is_releasing_) {
      return;
    }
    const std::vector<std::uint32_t> with_pools = PartitionsWithPools();
    std::set<std::uint32_t> wanted;
    for (std::size_t position = 0; position < with_pools.size(); ++position) {
      if (IsAssigned(position)) {
        wanted.insert(with_pools[position]);
      }
    }
    StopOtherOwners(wanted);
    // New owners read what `store_view` follows from now on.
    deps_.view->SetOwned({wanted.begin(), wanted.end()});
    for (const std::uint32_t partition : wanted) {
      if (owners_.count(partition) == 0) {
        StartOwner(partition);
      }
    }
    UpdateFleet(IsAssigned(with_pools.size()));
  }

  void StopOtherOwners(const std::set<std::uint32_t>& wanted) {
    for (auto it = owners_.begin(); it != owners_.end();) {
      if (wanted.count(it->first) != 0) {
        ++it;
        continue;
      }
      LogEvent(job_event::kOwnershipLost,
               {{"partition", std::to_string(it->first)},
                {"epoch", std::to_string(it->second->epoch())},
                {"generation", std::to_string(generation_)},
                {"reason", "assigned to another group member"}});
      ReleaseOwner(std::move(it->second));
      it = owners_.erase(it);
    }
  }

  // The release records let the next owner start immediately.
  void ReleaseOwner(std::unique_ptr<pool_owner> owner) {
    const std::shared_ptr<pool_owner> leaving = std::move(owner);
    leaving->Release([self = weak_from_this(), leaving] {
      if (const auto held = self.lock()) {
        held->deps_.member->RenewNow();
      }
    });
  }

  void StartOwner(std::uint32_t partition) {
    pool_owner::dependencies deps;
    deps.context = deps_.context;
    deps.store = deps_.store;
    deps.view = deps_.view;
    deps.archiver = deps_.archiver;
    deps.meters = deps_.meters;
    deps.member = deps_.member_name;
    deps.is_ownership_confirmed = [this] { return IsOwnershipConfirmed(); };
    deps.on_active = [this, partition](std::uint64_t epoch) {
      Announce(partition, epoch);
      RecordQueues();
    };
    deps.on_fenced = [this, partition] {
      boost::asio::post(*deps_.context, [self = weak_from_this(), partition] {
        const auto held = self.lock();
        if (held && !held->is_releasing_) {
          held->owners_.erase(partition);
          // The renewal shows whether the partition still belongs to this
          // member; if so, it is claimed again.
          held->deps_.member->RenewNow();
        }
      });
    };
    auto& owner = owners_[partition];
    owner = std::make_unique<pool_owner>(std::move(deps), partition,
                                         owner_settings_);
    owner->Start(generation_);
  }

  void UpdateFleet(bool is_assigned) {
    const bool is_wanted = is_assigned && !fleet_settings_.address.empty();
    deps_.view->SetFleetOwned(is_wanted);
    if (!is_wanted) {
      fleet_.reset();
      return;
    }
    if (fleet_) {
      return;
    }
    fleet_owner::dependencies deps;
    deps.context = deps_.context;
    deps.store = deps_.store;
    deps.view = deps_.view;
    deps.meters = deps_.meters;
    deps.member = deps_.member_name;
    deps.holder = deps_.holder;
    deps.is_ownership_confirmed = [this] { return IsOwnershipConfirmed(); };
    deps.on_fenced = [this] {
      boost::asio::post(*deps_.context, [self = weak_from_this()] {
        if (const auto held = self.lock()) {
          held->fleet_.reset();
          held->deps_.member->RenewNow();
        }
      });
    };
    fleet_ = std::make_unique<fleet_owner>(std::move(deps), fleet_settings_);
    fleet_->Start(generation_);
  }

  dependencies deps_;
  owner_settings owner_settings_;
  fleet_settings fleet_settings_;
  std::uint64_t generation_ = 0;
  std::set<std::uint32_t> assigned_;
  std::map<std::uint32_t, std::unique_ptr<pool_owner>> owners_;
  std::unique_ptr<fleet_owner> fleet_;
  record_outbox announcements_;
  bool is_releasing_ = false;
};

ownership::ownership(const dependencies& dependencies,
                     const owner_settings& owner_settings,
                     const fleet_settings& fleet_settings)
    : impl_(std::make_shared<impl>(dependencies,
                                   owner_settings,
                                   fleet_settings)) {}

ownership::~ownership() = default;

void ownership::OnAssignment(std::uint64_t generation,
                             const std::set<std::uint32_t>& partitions) {
  impl_->OnAssignment(generation, partitions);
}

void ownership::Release(const std::function<void()>& on_released) {
  impl_->Release(on_released);
}

void ownership::OnJob(const std::shared_ptr<const core::jobs::job_spec>& job) {
  impl_->OnJob(job);
}

bool ownership::IsOwnerActive(std::uint32_t partition) const {
  return impl_->IsOwnerActive(partition);
}

void ownership::OnUnopenedJob(const core::jobs::job_id& job) {
  impl_->OnUnopenedJob(job);
}

void ownership::OnCancel(const core::jobs::job_id& job) {
  impl_->OnCancel(job);
}

void ownership::OnConfiguration() {
  impl_->OnConfiguration();
}

void ownership::OnRegistry(const std::set<core::jobs::vm_id>& changed) {
  impl_->OnRegistry(changed);
}

void ownership::OnReport(const core::jobs::vm_id& vm,
                         core::time_point trusted_until) {
  impl_->OnReport(vm, trusted_until);
}

void ownership::OnFleetRecords(const std::set<std::string>& keys) {
  impl_->OnFleetRecords(keys);
}

std::map<std::uint32_t, core::jobs::scheduler_counts> ownership::Counts()
    const {
  return impl_->Counts();
}

std::vector<owned_partition> ownership::HeldPartitions() const {
  return impl_->HeldPartitions();
}

std::uint64_t ownership::EpochOf(std::uint32_t pool_partition) const {
  return impl_->EpochOf(pool_partition);
}

bool ownership::IsOwnershipConfirmed() const {
  return impl_->IsOwnershipConfirmed();
}

void ownership::OnOutdatedPolicy() {
  impl_->OnOutdatedPolicy();
}

void ownership::OnAnnouncement(const peers::owner_announcement& announcement) {
  impl_->OnAnnouncement(announcement);
}

bool ownership::OwnsFleet() const {
  return impl_->OwnsFleet();
}

}  // namespace plantainhead::jobs
