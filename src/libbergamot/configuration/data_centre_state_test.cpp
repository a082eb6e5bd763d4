/// @file
/// Guards against an evacuation that is lost, brought back or dated wrongly when its order is sent again or late.

#include "bergamotroute/configuration_machine.h"
#include "bergamotroute/evacuation.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

/// Applies orders and withdrawals to a machine, each as the next log entry.
class Orders {
public:
    schema::CommandResult send(const std::string& dataCentre, bool stops, const std::string& caller = "10.0.0.1")
    {
        schema::LogEntry entry;
        entry.set_index(++m_index);
        entry.set_term(1);
        *entry.mutable_command()
            = makeEvacuationCommand({ dataCentre, stops, caller, m_index * 1000 }, "r" + std::to_string(m_index));
        return machine.apply(entry);
    }

    /// Adds a service that one data centre serves.
    void addServiceAt(const std::string& dataCentre)
    {
        schema::LogEntry entry;
        entry.set_index(1);
        entry.mutable_command()->set_request_id("service");
        schema::Service& service = *entry.mutable_command()->add_changes()->mutable_add_service();
        service.set_name("ordering");
        service.set_address("10.9.0.1");
        service.add_ports(443);
        service.set_protocol(schema::TCP);
        service.add_data_centres(dataCentre);
        REQUIRE(machine.apply(entry).outcome() == schema::OUTCOME_ACCEPTED);
    }

    const schema::Configuration& configuration() const { return machine.configuration(); }

    ConfigurationMachine machine;

private:
    std::uint64_t m_index = 1;
};

}

// Guards against an order that is sent again after a lost answer and then counts as a second, later one.
TEST_CASE("a repeated order is accepted and keeps revision, time and caller of the first")
{
    Orders orders;
    CHECK(orders.send("east", true).revision() == 2);
    const schema::DataCentre first = orders.configuration().data_centres(0);
    CHECK(first.changed_revision() == 2);
    CHECK(first.changed_time_ms() == 2000);
    CHECK(first.changed_by() == "10.0.0.1");
    const schema::CommandResult repeated = orders.send("east", true, "10.0.0.2");
    CHECK(repeated.outcome() == schema::OUTCOME_ACCEPTED);
    CHECK_FALSE(hasChangedDataCentre(orders.configuration(), "east", repeated.revision()));
    CHECK(orders.configuration().data_centres(0).SerializeAsString() == first.SerializeAsString());
    CHECK(orders.configuration().data_centres_revision() == 2);
}

// Guards against a withdrawal without an order that makes entry hosts apply a new list.
TEST_CASE("a withdrawal of what was never ordered is accepted and changes no revision")
{
    Orders orders;
    CHECK(orders.send("east", false).outcome() == schema::OUTCOME_ACCEPTED);
    CHECK(orders.configuration().data_centres_revision() == 0);
}

// Guards against an order after a withdrawal that is taken for a repetition of the first order.
TEST_CASE("the last order or withdrawal of each data centre is in force")
{
    Orders orders;
    orders.send("east", true);
    orders.send("west", true);
    orders.send("east", false);
    CHECK(listStoppedDataCentres(orders.configuration()).names_size() == 1);
    CHECK(listStoppedDataCentres(orders.configuration()).names(0) == "west");
    CHECK(orders.configuration().data_centres_revision() == 4);
    orders.send("east", true, "10.0.0.3");
    CHECK(listStoppedDataCentres(orders.configuration()).names_size() == 2);
    CHECK(orders.configuration().data_centres(0).changed_by() == "10.0.0.3");
    CHECK(orders.configuration().data_centres_revision() == 5);
}

// Guards against a refusal of the order that stops the last data centre of a service.
TEST_CASE("an order for the last data centre is carried out")
{
    Orders orders;
    orders.addServiceAt("east");
    CHECK(orders.send("east", true).outcome() == schema::OUTCOME_ACCEPTED);
    CHECK(listStoppedDataCentres(orders.configuration()).names_size() == 1);
}

// Guards against a rejected change that overwrites when and by whom a data centre was last returned to service.
TEST_CASE("a rejected stop keeps the record of the last withdrawal")
{
    Orders orders;
    orders.addServiceAt("east");
    orders.send("east", true);
    orders.send("east", false);
    const std::string before = orders.configuration().SerializeAsString();
    schema::LogEntry entry;
    entry.set_index(9);
    *entry.mutable_command() = makeEvacuationCommand({ "east", true, "10.0.0.9", 9000 }, "without-force");
    entry.mutable_command()->set_force(false);
    CHECK(static_cast<ResultCode>(orders.machine.apply(entry).code()) == ResultCode::LastBackend);
    CHECK(orders.configuration().SerializeAsString() == before);
}

// Guards against a replaced member that gets a snapshot and shows an evacuation as ended or newly ordered.
TEST_CASE("a snapshot holds evacuations with revision, time and caller")
{
    Orders orders;
    orders.send("east", true);
    orders.send("west", true);
    orders.send("west", false);
    ConfigurationMachine restored;
    restored.restore(orders.machine.snapshot());
    CHECK(restored.configuration().SerializeAsString() == orders.configuration().SerializeAsString());
    CHECK(restored.configuration().data_centres(0).changed_by() == "10.0.0.1");
}
