#pragma once

#include "operators_api.h"

#include <Process/process.h>

namespace daisystile {

/// Returns an error as application/problem+json with an outcome.
http_response operatorsProblem(int status, const std::string &outcome, const std::string &why);
http_response errorsResponse(const config_errors &errors);
http_response outcomeResponse(const change_outcome &outcome);
http_response recordResponse(const config_record &record);
http_response historyResponse(const std::vector<config_record> &records);
http_response objectListResponse(config_kind kind, const configuration &config);
http_response domainsResponse(config_version version, const std::vector<failure_domain> &states);
http_response lossesResponse(const std::vector<std::string> &losses);
http_response
statusResponse(const operators_api_settings &self, std::uint64_t number, const fleet_view &view, const std::vector<member_config_number> &members);

} // namespace daisystile
