#pragma once

#include "platform_client.h"

#include <string_view>

namespace daisystile {

/// A watch's reply with its 410; a body that can't be read counts as unavailable.
watch_result parseWatchReply(const http_reply &reply);
list_result parseListReply(const http_reply &reply);
host_result parseHostsReply(const http_reply &reply);

} // namespace daisystile
