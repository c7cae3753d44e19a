#include <Route/route.h>

#include <gtest/gtest.h>

using namespace daisystile;

namespace {

const failure_domain_name port {"port"};
const failure_domain_name medina {"medina"};

using domains = std::set<failure_domain_name>;

} // namespace

TEST(evacuation_gate, beginsAtOnce)
{
    evacuation_gate gate;
    gate.evacuationsRead({port}, {110}, {90});
    EXPECT_EQ(gate.evacuated(), domains {port});
    EXPECT_FALSE(gate.waiting());
}

// Servers that had become cold shortly before the end of an evacuation got the requests of warm ones.
TEST(evacuation_gate, endsOnceTheServersAreKnownAsOfItsRevision)
{
    evacuation_gate gate;
    gate.evacuationsRead({port, medina}, {110}, {110});
    gate.evacuationsRead({medina}, {120}, {115});
    EXPECT_EQ(gate.evacuated(), (domains {port, medina}));
    EXPECT_TRUE(gate.waiting(port));
    EXPECT_FALSE(gate.waiting(medina));
    gate.serversRead({119});
    EXPECT_TRUE(gate.waiting());
    gate.serversRead({120});
    EXPECT_EQ(gate.evacuated(), domains {medina});
    EXPECT_FALSE(gate.waiting());
}

TEST(evacuation_gate, endsAtOnceIfTheServersAreKnownAsOfItsRevision)
{
    evacuation_gate gate;
    gate.evacuationsRead({port}, {110}, {100});
    gate.evacuationsRead({}, {120}, {121});
    EXPECT_TRUE(gate.evacuated().empty());
}

TEST(evacuation_gate, aDomainThatIsEvacuatedAgainWaitsForTheSecondEnd)
{
    evacuation_gate gate;
    gate.evacuationsRead({port}, {110}, {100});
    gate.evacuationsRead({}, {120}, {100});
    gate.evacuationsRead({port}, {130}, {100});
    gate.serversRead({125});
    EXPECT_EQ(gate.evacuated(), domains {port});
    gate.evacuationsRead({}, {140}, {125});
    EXPECT_TRUE(gate.waiting(port));
    gate.serversRead({140});
    EXPECT_TRUE(gate.evacuated().empty());
}

TEST(evacuation_gate, aStoreThatHasGoneBackHoldsNothingUp)
{
    evacuation_gate gate;
    gate.evacuationsRead({port}, {110}, {100});
    gate.evacuationsRead({}, {120}, {100});
    gate.evacuationsRead({}, {50}, {50});
    EXPECT_TRUE(gate.evacuated().empty());
}
