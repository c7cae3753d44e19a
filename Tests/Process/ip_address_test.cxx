#include "Process/process.h"

#include <gtest/gtest.h>

using namespace daisystile;

TEST(ip_address, parsesAddressAndPort)
{
    const auto address = parseIpAddress("127.0.0.1:8080");
    ASSERT_TRUE(address);
    EXPECT_EQ(address.value(), (ip_address {"127.0.0.1", 8080}));
}

TEST(ip_address, rejectsMalformedAddresses)
{
    for (const char *text : {"", "127.0.0.1", "127.0.0.1:", "host:80", "127.0.0.1:99999", "127.0.0.1:8x"}) {
        EXPECT_FALSE(parseIpAddress(text)) << text;
    }
}
