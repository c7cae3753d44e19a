#include "fault_proxy.h"
#include "relay_socket.h"

#include <nlohmann/json.hpp>

#include <gtest/gtest.h>

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>

using namespace daisystile;
using nlohmann::json;

class relay : public testing::Test
{
protected:
    void SetUp() override
    {
        m_target = http_server::listen(m_loop, {"127.0.0.1", 0}, [](http_request request, http_responder respond) { respond({.body = request.body}); }).value();
        m_control = http_server::listen(m_loop, {"127.0.0.1", 0}, m_proxy.controlApi()).value();
        const auto reply = post("/links", json::array({{{"name", "l"}, {"target", toString(m_target->address())}, {"groups", {"g"}}}}));
        m_link = parseIpAddress(json::parse(reply.body)[0]["address"].get<std::string>()).value();
    }

    http_result call(const ip_address &address, const std::string &path, const std::string &body, milliseconds timeout)
    {
        http_result received;
        m_client.send({.method = "POST", .address = address, .path = path, .body = body, .timeout = timeout}, [&](http_result result) {
            received = std::move(result);
            m_loop.stop();
        });
        m_loop.run();
        return received;
    }

    http_reply post(const std::string &path, const json &body)
    {
        return std::get<http_reply>(call(m_control->address(), path, body.dump(), seconds {5}));
    }

    void setFaults(const json &set)
    {
        EXPECT_EQ(post("/control/faults", {{"groups", {"g"}}, {"set", set}}).status, 200);
    }

    // Returns false if no complete response arrived in time.
    bool echoSucceeds(milliseconds timeout = seconds {5}, const std::string &body = "text")
    {
        const auto result = call(m_link, "/", body, timeout);
        const auto *reply = std::get_if<http_reply>(&result);
        return reply != nullptr && reply->body == body;
    }

    static constexpr milliseconds shortWait {100};

    reactor m_loop;
    http_client m_client {m_loop};
    fault_proxy m_proxy {m_loop, 1};
    std::unique_ptr<http_server> m_target;
    std::unique_ptr<http_server> m_control;
    ip_address m_link;
};

TEST_F(relay, relaysBeforeAndAfterAPartition)
{
    EXPECT_TRUE(echoSucceeds());
    setFaults({{"cut", true}});
    EXPECT_FALSE(echoSucceeds(shortWait));
    setFaults({{"cut", false}});
    EXPECT_TRUE(echoSucceeds());
}

TEST_F(relay, blocksOneDirection)
{
    setFaults({{"cut_backward", true}});
    const auto before = m_target->openRequests();
    EXPECT_FALSE(echoSucceeds(shortWait));
    setFaults({{"clear", true}, {"cut_forward", true}});
    EXPECT_FALSE(echoSucceeds(shortWait));
    EXPECT_EQ(m_target->openRequests(), before);
    setFaults({{"clear", true}});
    EXPECT_TRUE(echoSucceeds());
}

TEST_F(relay, resetsAndRefusesConnections)
{
    setFaults({{"refuse", true}});
    EXPECT_FALSE(echoSucceeds());
    setFaults({{"refuse", false}, {"reset", true}});
    EXPECT_TRUE(echoSucceeds());
}

TEST_F(relay, leavesConnectionsHalfOpen)
{
    setFaults({{"half_open", true}});
    EXPECT_FALSE(echoSucceeds(shortWait));
    EXPECT_EQ(m_target->openConnections(), 0U);
}

TEST_F(relay, delaysAndLimitsTheRate)
{
    const auto start = m_loop.now();
    setFaults({{"delay_ms", 30}});
    EXPECT_TRUE(echoSucceeds());
    EXPECT_GE(m_loop.now() - start, milliseconds {60});
    setFaults({{"clear", true}, {"bytes_per_second", 20000}});
    const auto throttleStart = m_loop.now();
    EXPECT_TRUE(echoSucceeds(seconds {10}, std::string(4000, 'x')));
    EXPECT_GE(m_loop.now() - throttleStart, milliseconds {200});
}

TEST_F(relay, relaysALargeBody)
{
    EXPECT_TRUE(echoSucceeds(seconds {20}, std::string(1000000, 'y')));
}

class datagram_relay : public testing::Test
{
protected:
    datagram_relay()
    {
        m_relay.setTarget(boundAddress(m_targetHandle));
        m_loop.watch(m_targetHandle, {.read = true}, [this] {
            char byte = 0;
            while (recv(m_targetHandle, &byte, 1, 0) == 1) {
                m_received.push_back(byte);
            }
        });
    }

    ~datagram_relay() override
    {
        m_loop.unwatch(m_targetHandle);
        close(m_targetHandle);
        close(m_client);
    }

    // Sends the given number of datagrams, numbered from 0, and returns the numbers that the target has received.
    std::string sendAll(int count)
    {
        const auto address = toSocketAddress(m_address);
        for (int i = 0; i < count; ++i) {
            const char byte = static_cast<char>(i);
            sendto(m_client, &byte, 1, 0, reinterpret_cast<const sockaddr *>(&address), sizeof address);
        }
        waitUntilSettled(static_cast<std::uint64_t>(count));
        return m_received;
    }

    // Waits until the relay has received all datagrams and the target has received all that the relay did not drop.
    void waitUntilSettled(std::uint64_t count)
    {
        const auto expected = count - m_counts.dropped + m_counts.duplicated;
        if (m_counts.datagrams >= count && m_received.size() >= expected) {
            return;
        }
        m_loop.after(milliseconds {1}, [this] { m_loop.stop(); });
        m_loop.run();
        waitUntilSettled(count);
    }

    reactor m_loop;
    link_fault_table m_faults;
    fault_random m_faultRandom {1};
    link_counts m_counts;
    int m_handle = bindSocket(SOCK_DGRAM, {"127.0.0.1", 0});
    ip_address m_address = boundAddress(m_handle);
    int m_targetHandle = bindSocket(SOCK_DGRAM, {"127.0.0.1", 0});
    int m_client = bindSocket(SOCK_DGRAM, {"127.0.0.1", 0});
    std::string m_received;
    udp_relay m_relay {m_loop, m_handle, m_faults, m_faultRandom, m_counts};
};

TEST_F(datagram_relay, dropsDuplicatesAndReorders)
{
    static constexpr int count = 100;
    EXPECT_EQ(sendAll(count).size(), 100U);
    EXPECT_TRUE(std::is_sorted(m_received.begin(), m_received.end()));
    m_received.clear();
    m_counts = {};
    m_faults.edit("") = {.loss = 0.3, .duplicate = 0.3, .reorder = 0.5, .reorderMs = 20};
    sendAll(count);
    EXPECT_GT(m_counts.dropped, 10U);
    EXPECT_GT(m_counts.duplicated, 10U);
    EXPECT_FALSE(std::is_sorted(m_received.begin(), m_received.end()));
}

TEST_F(datagram_relay, blocksOneSourceOnly)
{
    m_faults.edit("127.0.0.1").cutForward = true;
    EXPECT_EQ(sendAll(5), "");
    m_counts = {};
    m_faults.edit("127.0.0.1").cutForward = false;
    m_faults.edit("127.0.0.9").cutForward = true;
    EXPECT_EQ(sendAll(5).size(), 5U);
}
