#pragma once

#include "entry_settings.h"
#include "quota_keeper.h"

#include <platform/platform.h>

#include <functional>
#include <string>

namespace daisystile {

/// The object in which keepers state their claims.
std::string quotaClaimsText(const quota_claims &claims);
/// Nothing if the text is no such object.
std::optional<quota_claims> parseQuotaClaims(const std::string &text);

/// Holds this daemon's claims on accounts' quotas in the store while it is a keeper. Used on the control thread only.
class quota_board
{
public:
    /// Hands the claims in force to the traffic thread; calls back on the control thread once they are applied there, with the parts
    /// that daemons still hold tokens of.
    using claims_consumer = std::function<void(claimed_quotas, std::function<void(const quota_parts &held)> applied)>;

    quota_board(reactor &loop, platform_client &store, const entry_settings &settings, claims_consumer claimed);

    /// Daemons of the failure domain ask this one first, or no longer do.
    void keep(bool keeper);
    /// It could use these parts. It is a keeper while it could use any or is asked first.
    void want(quota_parts parts);

private:
    void startTicking();
    void tick();
    void readIfDue();
    void readClaims();
    void claimsRead(const read_result &result);
    void prepareWrite();
    void readUnreadable(const std::string &version, monotonic_time now);
    void write(const quota_claims &claims);
    void claimsWritten(const write_result &result);
    void publish(std::function<void(const quota_parts &held)> applied);
    void finished(milliseconds pause);

    reactor &m_loop;
    platform_client &m_store;
    quota_claimer m_claimer;
    claims_consumer m_claimed;
    // Version of the object as it was read; empty if there is none.
    std::string m_version;
    // An object that can't be read, and since when.
    std::string m_unreadable;
    monotonic_time m_unreadableSince;
    bool m_firstStart = false;
    bool m_askedFirst = false;
    bool m_wants = false;
    bool m_ticking = false;
    bool m_busy = false;
    monotonic_time m_notBefore;
};

} // namespace daisystile
