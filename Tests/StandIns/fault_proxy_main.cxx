#include "fault_proxy.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace daisystile;

int main(int argc, char **argv)
{
    TCLAP::CmdLine options("Relays TCP and UDP between processes and injects faults; the control API creates links and sets their faults.");
    TCLAP::ValueArg<std::string> control("", "control", "Listening address of the control API.", false, "127.0.0.1:0", "IP:PORT", options);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of losses and delays.", false, 1, "NUMBER", options);
    options.parse(argc, argv);

    blockStopSignals();
    reactor loop;
    fault_proxy proxy(loop, seed.getValue());
    const auto server = listenOrExit(loop, control.getValue(), proxy.controlApi());
    std::cout << "ready control=" << toString(server->address()) << std::endl;
    runUntilStopSignal(loop);
}
