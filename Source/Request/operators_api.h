#pragma once

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace daisystile {

/// Identity of the daemon and credentials for the operators' API.
struct operators_api_settings
{
    daemon_id self;
    failure_domain_name domain;
    region_name region;
    /// SHA-256 of the operators' token, lower-case hexadecimal.
    std::string tokenDigest;
};

/// Configuration number of one daemon.
struct member_config_number
{
    daemon_id id;
    failure_domain_name domain;
    std::uint64_t number = 0;
    /// False if the daemon did not answer; the number is then the last one received.
    bool answered = false;
};

/// The operators' API under /v1/admin/, on the control thread.
class operators_api
{
public:
    struct callbacks
    {
        /// Returns the newest published view.
        std::function<std::shared_ptr<const fleet_view>()> view;
        /// Returns the configuration number of this daemon.
        std::function<std::uint64_t()> number;
        /// Called when a change that was sent to this daemon has been accepted.
        std::function<void(const change_accepted &)> accepted;
        /// Requests the configuration numbers of all members; if empty, the status shows only this daemon's number.
        std::function<void(std::function<void(std::vector<member_config_number>)>)> requestNumbers;
    };

    operators_api(reactor &loop, platform_client &platform, operators_api_settings settings, callbacks handlers);

    /// Adds a handler for a path below /v1/admin/; it runs only after the token has been checked.
    void add(const std::string &path, http_handler handler);

    /// Answers a request whose path starts with /v1/admin/.
    void handle(http_request request, http_responder respond);

private:
    void serveObjects(config_kind kind, const std::string &rest, http_request request, http_responder respond);
    void listObjects(config_kind kind, const http_responder &respond);
    void showObject(const config_object &object, http_responder respond);
    void showHistory(const config_object &object, http_responder respond);
    void changeObject(const config_object &object, const http_request &request, http_responder respond);
    void serveDomains(const std::string &rest, const http_request &request, http_responder respond);
    void changeDomain(const domain_state_change &change, const http_request &request, unsigned attempt, http_responder respond);
    void applyDomains(const current_object &current, const domain_state_change &change, const http_request &request, unsigned attempt, http_responder respond);
    std::vector<failure_domain> observedDomains(const fleet_view &view) const;
    void serveStatus(http_responder respond);
    void apply(change_request change, std::function<void(const change_outcome &)> done);

    operators_api_settings m_settings;
    platform_client &m_platform;
    config_writer m_writer;
    callbacks m_callbacks;
    std::map<std::string, http_handler> m_pathHandlers;
};

} // namespace daisystile
