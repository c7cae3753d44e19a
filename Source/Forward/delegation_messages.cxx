#include "delegation_messages.h"

#include <Connection/connection.h>
#include <Connection/frame_archive.h>

namespace daisystile {

std::string encodeDelegation(const delegation_message &message)
{
    return encodeFields(message);
}

leaf::result<delegation_message> decodeDelegation(std::string_view bytes)
{
    delegation_message message;
    if (!decodeFields(bytes, message)) {
        return leaf::new_error(connection_error {connection_failure::frame_malformed, "delegation"});
    }
    return message;
}

delegated_query makeDelegatedQuery(delegation_id delegation, routing_version version, const request_message &message)
{
    delegated_query query;
    query.delegation = delegation;
    query.configurationVersion = version.value;
    query.method = message.method;
    query.target = message.target;
    for (const auto &header : message.headers) {
        query.headers.push_back({header.name, header.value});
    }
    query.body = message.body;
    return query;
}

request_message toRequestMessage(delegated_query query)
{
    request_message message;
    message.method = std::move(query.method);
    message.target = std::move(query.target);
    for (auto &header : query.headers) {
        message.headers.push_back({std::move(header.name), std::move(header.value)});
    }
    message.body = std::move(query.body);
    return message;
}

} // namespace daisystile
