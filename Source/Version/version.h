#pragma once

/// Public header of the version library: contracts, service catalogue, failure domains, host list and daemon settings, with
/// their versions in the platform.

#include "change_acceptance.h"
#include "config_builder.h"
#include "config_error.h"
#include "config_record.h"
#include "config_sync.h"
#include "config_writer.h"
#include "configuration.h"
#include "domain_states.h"
#include "fleet_view.h"
#include "settings.h"
#include "settings_findings.h"
#include <platform/platform.h>
