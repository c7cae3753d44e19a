#pragma once

#include "forwarder.h"

#include <string>

namespace daisystile {

/// Lists the quarantined requests for operators and lifts quarantines: GET /v1/admin/quarantine, and DELETE with /SERVICE/CONTENT
/// appended, as the command-line tool calls it. A lift needs the operators' token and holds for the request at all services.
class quarantine_api
{
public:
    static constexpr std::string_view path = "/v1/admin/quarantine";

    /// Handles calls on the control loop; the requests are used on the traffic loop only. The digest is the SHA-256 of the
    /// operators' token in hexadecimal; nothing can be lifted if it is empty.
    quarantine_api(reactor &control, reactor &traffic, forwarder &requests, std::string tokenDigest);

    void handle(const http_request &request, const http_responder &respond);

private:
    bool authorized(const http_request &request) const;
    void list(const http_responder &respond);
    void lift(const http_request &request, const http_responder &respond);

    reactor &m_control;
    reactor &m_traffic;
    forwarder &m_requests;
    std::string m_tokenDigest;
};

} // namespace daisystile
