#pragma once

#include <Connection/connection.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace daisystile {

/// What the operators' API needs of the daemon around it.
struct operators_api_settings
{
    daemon_id self;
    failure_domain_name domain;
    region_name region;
    /// SHA-256 of the operators' token, lower-case hexadecimal.
    std::string tokenDigest;
};

/// How new the configuration of one daemon is.
struct member_number
{
    daemon_id id;
    failure_domain_name domain;
    std::uint64_t number = 0;
    /// False when it did not answer; its number is what was last heard.
    bool answered = false;
};

/// The operators' API under /v1/admin/, on the control thread.
class operators_api
{
public:
    struct callbacks
    {
        /// The newest published view.
        std::function<std::shared_ptr<const fleet_view>()> view;
        /// This daemon's own number of configuration.
        std::function<std::uint64_t()> number;
        /// A change was accepted through this daemon.
        std::function<void(const change_accepted &)> accepted;
        /// Asks all members for their numbers; may be empty, then only this daemon is known.
        std::function<void(std::function<void(std::vector<member_number>)>)> requestNumbers;
    };

    operators_api(reactor &loop, platform_client &platform, operators_api_settings settings, callbacks handlers);

    /// Adds a path below /v1/admin/ that another part serves; the token has been checked when the handler runs.
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
