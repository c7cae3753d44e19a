#pragma once

#include "server_entry.h"

#include <map>
#include <optional>
#include <string>

namespace daisystile {

/// An operator's order that a service's requests move to servers of a version.
struct rollout_order
{
    service_name service;
    software_version target;
    milliseconds duration {0};

    bool operator==(const rollout_order &) const = default;
};

enum class rollout_stage {
    /// A small share of the first attempts goes to the target.
    trial,
    half,
    all,
};

enum class rollout_verdict {
    running,
    succeeded,
    rolled_back,
};

/// What the daemons have decided about an order.
struct rollout_status
{
    software_version target;
    rollout_verdict verdict = rollout_verdict::running;
    rollout_stage stage = rollout_stage::trial;
    /// Differs for each order, also for the same target.
    std::string order;

    bool operator==(const rollout_status &) const = default;
};

/// Shares and times of the stages, such that their sum over an order's time stays below the exposure share.
struct rollout_shares
{
    double trial = 0;
    double half = 0;
    /// Part of the order's time that the second stage takes.
    double halfTime = 0;
};
rollout_shares rolloutShares(double exposureShare);

/// What a daemon knows of the versions of a service.
struct version_rule
{
    software_version base;
    /// Nothing without an order, and until its status was written.
    std::optional<rollout_status> rollout;

    bool operator==(const version_rule &) const = default;

    /// Whether servers of this version may get any request.
    bool mayServe(const software_version &version) const;
    /// The version that gets most requests.
    const software_version &main() const;
    /// The share of first attempts that goes to the target. A daemon without fresh knowledge keeps to the lowest stage, but for the
    /// last: the servers of the base may be gone.
    double targetShare(double exposureShare, bool fresh) const;
};

/// Rules by service, for all services with servers.
using version_rules = std::map<service_name, version_rule>;

/// The version of the server that was born first; there must be one.
software_version firstVersion(const std::vector<server_entry> &servers);
/// Base versions as they are to be recorded: those of orders that succeeded, the recorded ones, and for services without either the
/// first version there is.
std::map<service_name, software_version>
baseVersions(const server_catalog &servers, const std::map<service_name, software_version> &recorded, const std::map<service_name, rollout_status> &rollouts);
version_rules
versionRules(const server_catalog &servers, const std::map<service_name, software_version> &recorded, const std::map<service_name, rollout_status> &rollouts);

} // namespace daisystile
