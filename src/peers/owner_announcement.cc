#include "peers/owner_announcement.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "jobs/job_partitions.h"
#include "net/address.h"
#include "platform/record_reader.h"

namespace plantainhead::peers {
namespace {

using adapter::value_reader;
using core::jobs::fault_kind;
using core::jobs::record_fault;

core::jobs::owner_address ReadOwner(const value_reader& record) {
  core::jobs::owner_address owner;
  owner.epoch = static_cast<std::uint64_t>(
      record.At("epoch").Whole(1, adapter::kMostNumber));
  const value_reader address = record.At("address");
  owner.address = address.Text(core::jobs::kMaxNameBytes);
  if (!address.HasFault() && !net::IsAddress(owner.address)) {
    address.Fail(fault_kind::kOutOfRange);
  }
  return owner;
}

}  // namespace

adapter::keyed_record Encode(const owner_announcement& announcement) {
  const nlohmann::json value = {{"epoch", announcement.owner.epoch},
                                {"address", announcement.owner.address}};
  return {std::to_string(announcement.partition), value.dump()};
}

core::jobs::decoded<owner_announcement> DecodeAnnouncement(
    const adapter::keyed_record& record) {
  if (record.fault) {
    return *record.fault;
  }
  owner_announcement announcement;
  const char* end = record.key.data() + record.key.size();
  const auto parsed =
      std::from_chars(record.key.data(), end, announcement.partition);
  const bool is_partition = parsed.ec == std::errc() && parsed.ptr == end &&
                            announcement.partition < jobs::kPoolPartitions;
  if (!is_partition) {
    return record_fault{fault_kind::kUnknownName, "key"};
  }
  auto owner =
      adapter::DecodeText<core::jobs::owner_address>(*record.value, ReadOwner);
  if (!owner) {
    return owner.fault();
  }
  announcement.owner = std::move(*owner);
  return announcement;
}

}  // namespace plantainhead::peers
