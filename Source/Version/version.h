#pragma once

/// Public header of the version library: contracts, catalogue, failure domains, host list, settings, platform.

#include "config_mistake.h"
#include "configuration.h"
#include "fleet_view.h"
#include "platform_client.h"
#include "settings.h"
