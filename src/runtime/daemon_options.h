#ifndef PLANTAINHEAD_SRC_RUNTIME_DAEMON_OPTIONS_H_
#define PLANTAINHEAD_SRC_RUNTIME_DAEMON_OPTIONS_H_

#include "plantainhead/caller/http_server.h"
#include "plantainhead/core/entry/entry_core.h"
#include "plantainhead/endpoint/endpoint_client.h"
#include "plantainhead/entry/peer_link.h"
#include "plantainhead/platform/platform_link.h"
#include "plantainhead/settings/entry_settings.h"

/// What the settings of an entry mean for each of its parts. Limits that must
/// agree between parts are set here together.
namespace plantainhead::runtime {

entry::peer_link_options PeerOptions(const settings::entry_settings& settings,
                                     core::incarnation self);

/// `now` isn't set.
caller::http_server_options HttpOptions(
    const settings::entry_settings& settings);

endpoint::endpoint_options EndpointOptions(
    const settings::entry_settings& settings);

platform::platform_options PlatformOptions(
    const settings::entry_settings& settings);

core::entry_core_options CoreOptions(const settings::entry_settings& settings,
                                     const core::entry_member& self);

}  // namespace plantainhead::runtime

#endif  // PLANTAINHEAD_SRC_RUNTIME_DAEMON_OPTIONS_H_
