#include "command.h"

#include "config_command.h"
#include "domain_commands.h"
#include "object_commands.h"
#include "quarantine_commands.h"
#include "report_command.h"
#include "status_command.h"
#include "trace_command.h"

namespace daisystile {

namespace {

using argument_list = std::vector<std::string>;
using object_function = int (*)(config_kind, const argument_list &);

template<config_kind kind, object_function function> int forKind(const argument_list &arguments)
{
    return function(kind, arguments);
}

} // namespace

std::vector<command> allCommands()
{
    constexpr auto contracts = config_kind::contract;
    constexpr auto services = config_kind::service;
    return {
        {"contract apply", "check a contract and put it in force", forKind<contracts, applyObject>},
        {"contract get", "print a contract's newest text", forKind<contracts, getObject>},
        {"contract list", "list the contracts in force", forKind<contracts, listObjects>},
        {"contract history", "list a contract's accepted changes", forKind<contracts, objectHistory>},
        {"contract diff", "show what changed between two versions", forKind<contracts, diffObject>},
        {"contract revert-to", "put an earlier version's text in force again", forKind<contracts, revertObject>},
        {"service apply", "check a service and put it in the catalogue", forKind<services, applyObject>},
        {"service get", "print a service's newest text", forKind<services, getObject>},
        {"service list", "list the services of the catalogue", forKind<services, listObjects>},
        {"service history", "list a service's accepted changes", forKind<services, objectHistory>},
        {"domain out", "take a failure domain out of service", takeDomainOut},
        {"domain in", "take a failure domain back into service", takeDomainIn},
        {"domain list", "list the failure domains", listDomains},
        {"status", "show a daemon, its configuration and the fleet", showStatus},
        {"report burn", "show service-level burn over all daemons, as text, json or html", reportBurn},
        {"quarantine list", "list requests that crashed servers and may not run for now", listQuarantine},
        {"quarantine lift", "let a quarantined request run again", liftQuarantine},
        {"trace get", "print what a daemon recorded of one backend server", getTrace},
        {"trace replay", "replay a recorded trace and tell the first difference", replayTrace},
        {"trace request", "print the lines of one request from many logs, in order of time", traceRequest},
        {"config check", "check a file without a daemon", checkConfig},
    };
}

} // namespace daisystile
