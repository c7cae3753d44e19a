#pragma once

#include "change_acceptance.h"

#include <deque>
#include <functional>
#include <memory>

namespace daisystile {

/// Carries out changes one after another; a reactor's thread alone uses it.
class config_writer
{
public:
    config_writer(reactor &loop, platform_client &platform);

    /// Calls back once with the outcome.
    void apply(change_request request, std::function<void(change_outcome)> done);

private:
    struct waiting_change
    {
        change_request request;
        std::function<void(change_outcome)> done;
    };

    void startNext();
    void step(const change_event &event);
    void carryOut(change_action action);
    void finish(change_outcome outcome);
    void prune(const config_record &newest);

    reactor &m_loop;
    platform_client &m_platform;
    std::deque<waiting_change> m_waiting;
    std::unique_ptr<change_acceptance> m_running;
};

/// An object as the platform holds it now.
struct current_object
{
    config_head head;
    /// Nothing when it was never accepted.
    std::optional<config_record> record;
};

using current_result = std::variant<current_object, platform_unavailable>;

/// Reads the head and the record in force.
void readCurrent(platform_client &platform, const config_object &object, std::function<void(current_result)> done);

/// The accepted records of an object, newest first, of all that are kept.
using history_result = std::variant<std::vector<config_record>, platform_unavailable>;
void readHistory(platform_client &platform, const config_object &object, std::function<void(history_result)> done);

/// Records reached from the head, newest first; others were never accepted.
std::vector<config_record> acceptedRecords(const config_head &head, const config_object &object, const std::vector<platform_object> &kept);

/// Keys of records that are older than the history that is kept.
std::vector<std::string> expiredRecords(const config_record &newest, const std::vector<platform_object> &kept);

} // namespace daisystile
