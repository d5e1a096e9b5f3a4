#ifndef PLANTAINHEAD_SRC_PEERS_OWNER_ANNOUNCEMENT_H_
#define PLANTAINHEAD_SRC_PEERS_OWNER_ANNOUNCEMENT_H_

#include <cstdint>

#include "plantainhead/core/jobs/owner_directory.h"
#include "plantainhead/core/jobs/record_faults.h"
#include "platform/store_client.h"

namespace plantainhead::peers {

/// Record with which the owner of a partition of pools announces the address
/// at which other processes reach it. The record's key is the partition number.
struct owner_announcement {
  std::uint32_t partition = 0;
  core::jobs::owner_address owner;
};

/// Returns the announcement as a record for the store.
adapter::keyed_record Encode(const owner_announcement& announcement);

/// Decodes an announcement. Returns the fault if the record is invalid.
/// Precondition: the record has a value.
core::jobs::decoded<owner_announcement> DecodeAnnouncement(
    const adapter::keyed_record& record);

}  // namespace plantainhead::peers

#endif  // PLANTAINHEAD_SRC_PEERS_OWNER_ANNOUNCEMENT_H_
