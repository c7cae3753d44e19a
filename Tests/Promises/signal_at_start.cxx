#include <csignal>
#include <cstdlib>

// Loaded before a daemon's other libraries: sends it a signal after the loader has run and before the libraries are initialized, a moment
// that a test can't meet from outside.
[[gnu::constructor]] static void raiseSignal()
{
    if (const auto *number = std::getenv("DAISYSTILE_TEST_SIGNAL")) {
        std::raise(std::atoi(number));
    }
}
