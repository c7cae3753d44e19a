#include "platform_standin.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace daisystile;

int main(int argc, char **argv)
{
    TCLAP::CmdLine options("Simulates the platform: objects, watches and the host list, with injected faults.");
    TCLAP::ValueArg<std::string> http("", "http", "Listening address of the object API.", false, "127.0.0.1:0", "IP:PORT", options);
    TCLAP::ValueArg<std::string> control("", "control", "Listening address of the control API.", false, "127.0.0.1:0", "IP:PORT", options);
    options.parse(argc, argv);

    blockStopSignals();
    reactor loop;
    platform_standin platform(loop);
    // Larger than the maximum value size, so that it is the store that rejects a value that is too large.
    const http_server_limits limits {.bodyBytes = 2 * platform_store::maximumValueBytes};
    const auto objectServer = listenOrExit(loop, http.getValue(), platform.objectApi(), limits);
    const auto controlServer = listenOrExit(loop, control.getValue(), platform.controlApi(), limits);
    std::cout << "ready http=" << toString(objectServer->address()) << " control=" << toString(controlServer->address()) << std::endl;
    runUntilStopSignal(loop);
}
