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

  void TakeDeal(std::uint64_t generation,
                const std::set<std::uint32_t>& partitions) {
    generation_ = generation;
    dealt_ = partitions;
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

  void OnCancel(const core::jobs::job_id& job) {
    for (auto& [partition, owner] : owners_) {
      owner->OnCancel(job);
    }
  }

  void OnConfiguration() {
    // The fleet's comes on top.
    deps_.member->SetUsedPartitions(PartitionsWithPools().size() + 1);
    for (auto& [partition, owner] : owners_) {
      owner->OnConfiguration();
    }
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

  std::vector<owned_partition> Held() const {
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

  // A member that hasn't renewed for its time to live may have lost its
  // partitions, also when it was suspended meanwhile and hasn't noticed. If it
  // went on, it could start a task on a VM that the new owner can't reach,
  // after that has waited for the last lease there to end.
  // The same holds for one that doesn't know the newest configuration: that may
  // have changed who is dealt what.
  bool IsSure() const {
    const core::time_point known_at =
        std::min(deps_.member->RenewedAt(), deps_.world->ConfigurationReadAt());
    return BootTime() < known_at + deps_.time_to_live;
  }

  void OnAnnouncement(const peers::owner_announcement& announcement) {
    const std::uint64_t epoch = EpochOf(announcement.partition);
    if (announcement.owner.epoch < epoch) {
      Announce(announcement.partition, epoch);
    }
  }

 private:
  // An earlier owner's announcement may be stored after this one's; see
  // `OnAnnouncement`.
  void Announce(std::uint32_t partition, std::uint64_t epoch) {
    if (!deps_.peer_address.empty()) {
      announcements_.Put(
          peers::Encode({partition, {epoch, deps_.peer_address}}));
    }
  }

  // The partitions with pools, in the order of the pools' names. The group
  // deals its partitions to the members in turn, so that neighbours go to
  // different members: who is dealt the one of this place owns the pools. With
  // the partitions' own numbers, which follow from the pools' names, one member
  // got two large pools beside others that got none.
  std::vector<std::uint32_t> PartitionsWithPools() const {
    std::vector<std::uint32_t> partitions;
    for (const core::jobs::pool_id& pool :
         deps_.world->routes().WorkingPools()) {
      const std::uint32_t partition = PoolPartitionOf(pool);
      const bool is_new = std::find(partitions.begin(), partitions.end(),
                                    partition) == partitions.end();
      if (is_new) {
        partitions.push_back(partition);
      }
    }
    return partitions;
  }

  bool IsDealt(std::size_t place) const {
    return dealt_.count(static_cast<std::uint32_t>(place)) != 0;
  }

  void Update() {
    if (is_releasing_) {
      return;
    }
    const std::vector<std::uint32_t> with_pools = PartitionsWithPools();
    std::set<std::uint32_t> wanted;
    for (std::size_t place = 0; place < with_pools.size(); ++place) {
      if (IsDealt(place)) {
        wanted.insert(with_pools[place]);
      }
    }
    EndOthers(wanted);
    // New owners read what the world follows from then on.
    deps_.world->SetOwned({wanted.begin(), wanted.end()});
    for (const std::uint32_t partition : wanted) {
      if (owners_.count(partition) == 0) {
        Own(partition);
      }
    }
    UpdateFleet(IsDealt(with_pools.size()));
  }

  void EndOthers(const std::set<std::uint32_t>& wanted) {
    for (auto it = owners_.begin(); it != owners_.end();) {
      if (wanted.count(it->first) != 0) {
        ++it;
        continue;
      }
      LogEvent(job_event::kOwnershipLost,
               {{"partition", std::to_string(it->first)},
                {"epoch", std::to_string(it->second->epoch())},
                {"generation", std::to_string(generation_)},
                {"reason", "dealt to another member"}});
      Retire(std::move(it->second));
      it = owners_.erase(it);
    }
  }

  // The records of the end of an ownership let the next owner begin at once.
  void Retire(std::unique_ptr<pool_owner> owner) {
    const std::shared_ptr<pool_owner> leaving = std::move(owner);
    leaving->Release([self = weak_from_this(), leaving] {
      if (const auto held = self.lock()) {
        held->deps_.member->RenewNow();
      }
    });
  }

  void Own(std::uint32_t partition) {
    pool_owner::dependencies deps;
    deps.context = deps_.context;
    deps.store = deps_.store;
    deps.world = deps_.world;
    deps.archiver = deps_.archiver;
    deps.meters = deps_.meters;
    deps.member = deps_.member_name;
    deps.is_sure = [this] { return IsSure(); };
    deps.on_active = [this, partition](std::uint64_t epoch) {
      Announce(partition, epoch);
    };
    deps.on_fenced = [this, partition] {
      boost::asio::post(*deps_.context, [self = weak_from_this(), partition] {
        const auto held = self.lock();
        if (held && !held->is_releasing_) {
          held->owners_.erase(partition);
          // Tells whether the partition is still this member's; if it is, it is
          // claimed again.
          held->deps_.member->RenewNow();
        }
      });
    };
    auto& owner = owners_[partition];
    owner = std::make_unique<pool_owner>(std::move(deps), partition,
                                         owner_settings_);
    owner->Start(generation_);
  }

  void UpdateFleet(bool is_dealt) {
    const bool is_wanted = is_dealt && !fleet_settings_.address.empty();
    deps_.world->SetFleetOwned(is_wanted);
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
    deps.world = deps_.world;
    deps.meters = deps_.meters;
    deps.member = deps_.member_name;
    deps.holder = deps_.holder;
    deps.is_sure = [this] { return IsSure(); };
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
  std::set<std::uint32_t> dealt_;
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

void ownership::TakeDeal(std::uint64_t generation,
                         const std::set<std::uint32_t>& partitions) {
  impl_->TakeDeal(generation, partitions);
}

void ownership::Release(const std::function<void()>& on_released) {
  impl_->Release(on_released);
}

void ownership::OnJob(const std::shared_ptr<const core::jobs::job_spec>& job) {
  impl_->OnJob(job);
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

std::vector<owned_partition> ownership::Held() const {
  return impl_->Held();
}

std::uint64_t ownership::EpochOf(std::uint32_t pool_partition) const {
  return impl_->EpochOf(pool_partition);
}

bool ownership::IsSure() const {
  return impl_->IsSure();
}

void ownership::OnAnnouncement(const peers::owner_announcement& announcement) {
  impl_->OnAnnouncement(announcement);
}

bool ownership::OwnsFleet() const {
  return impl_->OwnsFleet();
}

}  // namespace plantainhead::jobs
