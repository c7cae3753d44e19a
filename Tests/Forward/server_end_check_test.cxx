#include <Forward/forward.h>
#include <no_more_descriptors.h>
#include <open_listener.h>

#include <cerrno>
#include <optional>

using namespace daisystile;

namespace {

std::optional<bool> checkEnd(const ip_address &address)
{
    reactor loop;
    std::optional<bool> result;
    server_end_check check(loop, address, [&](bool ended) {
        result = ended;
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace

TEST(server_end_check, processThatListensHasNotEnded)
{
    const open_listener listener(4);
    EXPECT_EQ(checkEnd(listener.listenAddress()), false);
}

TEST(server_end_check, addressThatRefusesConnectionsBelongsToAProcessThatHasEnded)
{
    const auto address = open_listener(4).listenAddress();
    EXPECT_EQ(checkEnd(address), true);
}

// A cut link must not look like the end of a server.
TEST(server_end_check, addressThatDoesNotAnswerSaysNothing)
{
    const open_listener full(0);
    // The listener's queue holds few connections that nobody accepts; further ones get no answer.
    std::vector<int> filling;
    for (int i = 0; i < 4; ++i) {
        filling.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        const bool connected = connect(filling.back(), reinterpret_cast<const sockaddr *>(&full.address), sizeof full.address) == 0;
        EXPECT_TRUE(connected || errno == EINPROGRESS);
    }
    EXPECT_EQ(checkEnd(full.listenAddress()), false);
    for (const int handle : filling) {
        close(handle);
    }
}

// A daemon without descriptors took each server whose connection had broken for ended, and blamed the request.
TEST(server_end_check, addressThatCannotBeTriedSaysNothing)
{
    const open_listener listener(4);
    reactor loop;
    std::optional<bool> result;
    const no_more_descriptors shortage;
    server_end_check check(loop, listener.listenAddress(), [&](bool ended) {
        result = ended;
        loop.stop();
    });
    loop.run();
    EXPECT_EQ(result, false);
}
