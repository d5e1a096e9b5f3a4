#ifndef PLANTAINHEAD_SRC_PEERS_OWNER_ANNOUNCEMENT_H_
#define PLANTAINHEAD_SRC_PEERS_OWNER_ANNOUNCEMENT_H_

#include <cstdint>

#include "plantainhead/core/jobs/owner_directory.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "platform/store_client.h"

namespace plantainhead::peers {

/// The owner of a partition of pools tells where other processes reach it. Key:
/// the partition's number.
struct owner_announcement {
  std::uint32_t partition = 0;
  core::jobs::owner_address owner;
};

adapter::keyed_record Encode(const owner_announcement& announcement);

/// Returns a whole announcement, or what is wrong with the record.
/// Precondition: the record has a value.
core::jobs::decoded<owner_announcement> DecodeAnnouncement(
    const adapter::keyed_record& record);

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_OWNER_ANNOUNCEMENT_H_
