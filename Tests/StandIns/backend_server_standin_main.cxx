#include "backend_fleet_control.h"

#include <tclap/CmdLine.h>

#include <iostream>

using namespace daisystile;

int main(int argc, char **argv)
{
    TCLAP::CmdLine options("Simulates backend servers, each on its own port; the control API creates them and sets their faults.");
    TCLAP::ValueArg<std::string> control("", "control", "Listening address of the control API.", false, "127.0.0.1:0", "IP:PORT", options);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "Seed of service times and faults.", false, 1, "NUMBER", options);
    options.parse(argc, argv);

    blockStopSignals();
    reactor loop;
    backend_fleet_control fleet(loop, seed.getValue());
    const auto server = listenOrExit(loop, control.getValue(), fleet.controlApi());
    std::cout << "ready control=" << toString(server->address()) << std::endl;
    runUntilStopSignal(loop);
}
