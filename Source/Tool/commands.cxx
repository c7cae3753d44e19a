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

template<config_kind kind, object_function function> int runForKind(const argument_list &arguments)
{
    return function(kind, arguments);
}

} // namespace

std::vector<command> allCommands()
{
    constexpr auto contracts = config_kind::contract;
    constexpr auto services = config_kind::service;
    return {
        {"contract apply", "check and apply a contract", runForKind<contracts, applyObject>},
        {"contract get", "print a contract's newest text", runForKind<contracts, getObject>},
        {"contract list", "list the contracts in force", runForKind<contracts, listObjects>},
        {"contract history", "list a contract's accepted changes", runForKind<contracts, objectHistory>},
        {"contract diff", "show the differences between two versions", runForKind<contracts, diffObject>},
        {"contract revert-to", "apply an earlier version's text as a new version", runForKind<contracts, revertObject>},
        {"service apply", "check and apply a service", runForKind<services, applyObject>},
        {"service get", "print a service's newest text", runForKind<services, getObject>},
        {"service list", "list the services in the catalog", runForKind<services, listObjects>},
        {"service history", "list a service's accepted changes", runForKind<services, objectHistory>},
        {"domain out", "take a failure domain out of service", takeDomainOutOfService},
        {"domain in", "put a failure domain back into service", putDomainIntoService},
        {"domain list", "list the failure domains", listDomains},
        {"status", "show the status of a daemon, its configuration and the fleet", showStatus},
        {"report burn", "show error budget burn over all daemons as text, json or html", reportBurn},
        {"quarantine list", "list requests quarantined because they crashed servers", listQuarantine},
        {"quarantine lift", "lift the quarantine of a request", liftQuarantine},
        {"trace get", "print the recorded trace of one backend server", getTrace},
        {"trace replay", "replay a recorded trace and report the first difference", replayTrace},
        {"trace request", "print the log lines of one request from several logs, sorted by time", traceRequest},
        {"config check", "check a configuration file without a daemon", checkConfig},
    };
}

} // namespace daisystile
