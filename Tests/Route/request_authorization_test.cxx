#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

const monotonic_time start {seconds {100}};

route_table tableOf(std::vector<client_account> accounts)
{
    routing_configuration configuration;
    configuration.accounts = std::move(accounts);
    return route_table(std::move(configuration));
}

class request_authorization_test : public testing::Test
{
protected:
    access_decision decide(const stated_key &key, milliseconds passed = milliseconds {0})
    {
        return authorize(m_table, m_route, key, m_age, start + passed);
    }

    static key_refusal refusalOf(const access_decision &decision)
    {
        return std::get<key_refusal>(decision);
    }

    route_table m_table = tableOf({{{"a"}, {sha256("k1"), sha256("shared")}, urgency_rank {0}, {}}, {{"b"}, {sha256("k2"), sha256("shared")}, {}, {}}});
    route m_route {.urgency = urgency_rank {5}};
    configuration_age m_age {.newestAt = start, .maxForUnknownKeys = milliseconds {5000}, .maxForKeys = milliseconds {4900}};
};

} // namespace

TEST_F(request_authorization_test, findsTheAccountAndItsUrgency)
{
    const auto first = std::get<request_access>(decide(sha256("k1")));
    EXPECT_EQ(first.account, account_name {"a"});
    EXPECT_EQ(first.urgency, urgency_rank {0});
    const auto second = std::get<request_access>(decide(sha256("k2")));
    EXPECT_EQ(second.account, account_name {"b"});
    EXPECT_EQ(second.urgency, urgency_rank {5});
    // All daemons take the first of two accounts that hold the same key.
    EXPECT_EQ(std::get<request_access>(decide(sha256("shared"))).account, account_name {"a"});
}

TEST_F(request_authorization_test, refusesWhatBearsNoKeyOfTheConfiguration)
{
    EXPECT_EQ(refusalOf(decide(no_key {})), key_refusal::missing);
    EXPECT_EQ(refusalOf(decide(malformed_key {})), key_refusal::malformed);
    EXPECT_EQ(refusalOf(decide(sha256("k3"))), key_refusal::unknown);
}

// A key may be newer than the configuration, and a key of the configuration may have been taken away.
TEST_F(request_authorization_test, refusesForNowIfTheConfigurationMayBeOld)
{
    EXPECT_EQ(refusalOf(decide(sha256("k3"), milliseconds {5000})), key_refusal::unknown);
    EXPECT_EQ(refusalOf(decide(sha256("k3"), milliseconds {5001})), key_refusal::not_current);
    EXPECT_EQ(refusalOf(decide(no_key {}, milliseconds {5001})), key_refusal::not_current);
    EXPECT_TRUE(std::holds_alternative<request_access>(decide(sha256("k1"), milliseconds {4900})));
    EXPECT_EQ(refusalOf(decide(sha256("k1"), milliseconds {4901})), key_refusal::not_current);
    m_age.newestAt.reset();
    EXPECT_EQ(refusalOf(decide(sha256("k1"))), key_refusal::not_current);
    EXPECT_EQ(refusalOf(decide(sha256("k3"))), key_refusal::not_current);
    m_age.maxForKeys.reset();
    EXPECT_TRUE(std::holds_alternative<request_access>(decide(sha256("k1"))));
}

TEST_F(request_authorization_test, needsNoKeyOnAnonymousRoutesNorWithoutAccounts)
{
    m_route.anonymous = true;
    m_age.newestAt.reset();
    for (const stated_key &key : {stated_key {no_key {}}, stated_key {malformed_key {}}, stated_key {sha256("k3")}}) {
        EXPECT_EQ(std::get<request_access>(decide(key)).account, std::nullopt);
    }
    // A key that is held counts for its account, and only while it is known to be valid.
    EXPECT_EQ(refusalOf(decide(sha256("k1"))), key_refusal::not_current);
    m_age.newestAt = start;
    EXPECT_EQ(std::get<request_access>(decide(sha256("k1"))).account, account_name {"a"});
    m_route.anonymous = false;
    m_table = tableOf({});
    EXPECT_TRUE(std::holds_alternative<request_access>(decide(no_key {}, seconds {60})));
}
