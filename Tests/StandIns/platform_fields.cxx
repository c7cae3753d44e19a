#include "platform_fields.h"

#include <fstream>

namespace daisystile {

nlohmann::json platformFields()
{
    return nlohmann::json::parse(R"({
        "node_name": "edge-sfax-medina-1", "ip": "10.1.0.39", "zone": "sfax-medina", "region": "sfax",
        "bind_addrs": {"frontend": "10.1.0.39:8226", "readiness": "10.1.0.39:8227"}, "internal_port_range": [7740, 7755],
        "bootstrap": true, "limits": {"cpu_share": 0.25, "memory_mb": 260}, "platform": {"address": "10.200.1.7:8229"},
        "bounds": {"grace_s": 6, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56, "warmup_overage": 1.5, "warmup_slack": 5,
            "config_apply_ms": 3000, "expose_share": 0.1, "expose_slack": 50, "rollback_ms": 5000, "strict_revocation": false, "revoke_ms": 5000,
            "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20}})");
}

std::string platformTemplate()
{
    std::ifstream file(DAISYSTILE_TEMPLATE);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace daisystile
