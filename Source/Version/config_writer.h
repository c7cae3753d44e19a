#pragma once

#include "change_acceptance.h"

#include <deque>
#include <functional>
#include <memory>

namespace daisystile {

/// Executes configuration changes one at a time, in order. Not thread-safe: only the reactor's thread may use it.
class config_writer
{
public:
    config_writer(reactor &loop, platform_client &platform);

    /// Queues a change and calls back once with its outcome.
    void apply(change_request request, std::function<void(change_outcome)> done);

private:
    struct queued_change
    {
        change_request request;
        std::function<void(change_outcome)> done;
    };

    void startNext();
    void handle(const change_event &event);
    void perform(change_action action);
    void finish(change_outcome outcome);
    void prune(const config_record &newest);

    reactor &m_loop;
    platform_client &m_platform;
    std::deque<queued_change> m_queue;
    std::unique_ptr<change_acceptance> m_current;
};

/// The current state of a configuration object in the platform.
struct current_object
{
    config_head head;
    /// Empty when no change of the object was accepted yet.
    std::optional<config_record> record;
};

using current_result = std::variant<current_object, platform_unavailable>;

/// Reads the head and the record in force.
void readCurrent(platform_client &platform, const config_object &object, std::function<void(current_result)> done);

/// The accepted records of an object that are still retained, newest first.
using history_result = std::variant<std::vector<config_record>, platform_unavailable>;
void readHistory(platform_client &platform, const config_object &object, std::function<void(history_result)> done);

/// The records on the chain of predecessors that starts at the head, newest first; all others were never accepted.
std::vector<config_record> acceptedRecords(const config_head &head, const config_object &object, const std::vector<platform_object> &stored);

/// Keys of the records that are older than the retained history.
std::vector<std::string> expiredRecords(const config_record &newest, const std::vector<platform_object> &stored);

} // namespace daisystile
