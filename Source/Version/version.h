#pragma once

/// Public header of the version library: contracts, catalogue, failure domains, host list, settings.

#include "configuration.h"
#include "fleet_view.h"
#include "settings.h"
