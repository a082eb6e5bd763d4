/// @file
/// Guards against a wrong count of entry hosts that have applied an evacuation, against a state in which nobody notices
/// that no data centre is left, and against a return to service that is not told or told for too long.

#include "bergamotroute/data_centre_returns.h"
#include "bergamotroute/evacuation.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

void setDataCentre(schema::Configuration& configuration, const std::string& name, bool stopped, std::uint64_t revision)
{
    schema::DataCentre& dataCentre = *configuration.add_data_centres();
    dataCentre.set_name(name);
    dataCentre.set_stopped(stopped);
    dataCentre.set_changed_revision(revision);
    configuration.set_data_centres_revision(revision);
}

schema::EntryHostRecord makeHost(std::uint64_t revision, std::uint32_t flows)
{
    schema::EntryHostRecord host;
    host.set_data_centres_revision(revision);
    host.set_flows_at_stopped(flows);
    return host;
}

}

TEST_CASE("a host counts for an order as soon as it has applied a list at least as new as that order")
{
    schema::Configuration configuration;
    setDataCentre(configuration, "east", true, 5);
    setDataCentre(configuration, "north", false, 6);
    setDataCentre(configuration, "west", true, 7);
    const std::vector<schema::EntryHostRecord> hosts { makeHost(7, 2), makeHost(5, 3), makeHost(0, 0) };
    const EvacuationSummary summary = summarizeEvacuations(configuration, hosts);
    CHECK(summary.revision == 7);
    CHECK(summary.entryHosts == 3);
    CHECK(summary.acknowledgedHosts == 1);
    CHECK(summary.openFlows == 5);
    REQUIRE(summary.evacuations.size() == 2);
    CHECK(summary.evacuations[0].dataCentre == "east");
    CHECK(summary.evacuations[0].acknowledgedHosts == 2);
    CHECK(summary.evacuations[1].acknowledgedHosts == 1);
}

TEST_CASE("the acknowledgement by all hosts is reported once for each change and not while a host lacks it")
{
    schema::Configuration configuration;
    AcknowledgementWatch watch;
    const std::vector<schema::EntryHostRecord> none;
    const std::vector<schema::EntryHostRecord> old { makeHost(0, 0), makeHost(0, 0) };
    // Nothing was ever ordered.
    CHECK_FALSE(watch.isNewlyAcknowledged(summarizeEvacuations(configuration, old)));
    setDataCentre(configuration, "east", true, 5);
    const std::vector<schema::EntryHostRecord> partly { makeHost(5, 0), makeHost(0, 0) };
    const std::vector<schema::EntryHostRecord> all { makeHost(5, 0), makeHost(5, 0) };
    CHECK_FALSE(watch.isNewlyAcknowledged(summarizeEvacuations(configuration, none)));
    CHECK_FALSE(watch.isNewlyAcknowledged(summarizeEvacuations(configuration, partly)));
    CHECK(watch.isNewlyAcknowledged(summarizeEvacuations(configuration, all)));
    CHECK_FALSE(watch.isNewlyAcknowledged(summarizeEvacuations(configuration, all)));
    configuration.set_data_centres_revision(6);
    CHECK_FALSE(watch.isNewlyAcknowledged(summarizeEvacuations(configuration, all)));
}

TEST_CASE("all data centres count as evacuated only if each one that has targets is stopped")
{
    schema::Configuration configuration;
    setDataCentre(configuration, "east", true, 5);
    CHECK(areAllStopped(configuration, { "east" }));
    CHECK_FALSE(areAllStopped(configuration, { "east", "west" }));
    CHECK_FALSE(areAllStopped(configuration, {}));
}

// Guards against an entry host that keeps an ended evacuation because an empty list is not sent, and against a control
// host that lags behind and sends what the entry host has applied already.
TEST_CASE("a list is sent exactly to entry hosts that have applied an older one, also if it is empty")
{
    schema::Configuration configuration;
    setDataCentre(configuration, "east", false, 6);
    REQUIRE(findNewerList(configuration, 5).has_value());
    CHECK(findNewerList(configuration, 5)->revision() == 6);
    CHECK(findNewerList(configuration, 5)->names().empty());
    CHECK_FALSE(findNewerList(configuration, 6).has_value());
    CHECK_FALSE(findNewerList(configuration, 7).has_value());
}

// Guards against bytes on small links for a feature that nobody uses.
TEST_CASE("without an order no list is sent and the record of an entry host has no further bytes")
{
    schema::Configuration configuration;
    configuration.set_revision(9);
    CHECK_FALSE(findNewerList(configuration, 0).has_value());
    schema::EntryHostRecord record;
    record.set_data_centres_revision(0);
    record.set_flows_at_stopped(0);
    CHECK(record.ByteSizeLong() == 0);
}

// Guards against a return that entry hosts do not hear of because the control host lagged behind or was restarted, and
// against bytes for returns that matter no more.
TEST_CASE("a return is told with its age, only to hosts that have not applied it, until it is old")
{
    ManualClock clock;
    DataCentreReturns returns;
    returns.setMemory(Duration(2600));
    const auto apply = [&clock](DataCentreReturns& host, bool stopped, std::uint64_t revision) {
        schema::Configuration configuration;
        setDataCentre(configuration, "east", stopped, revision);
        setDataCentre(configuration, "west", false, 0);
        host.update(configuration, clock.now());
    };
    const auto tell = [&clock](const DataCentreReturns& host, std::uint64_t appliedRevision) {
        schema::StoppedDataCentres list;
        host.addTo(list, appliedRevision, clock.now());
        return describeReturned(list);
    };
    // A host that lagged behind sees only the result of the order and its withdrawal.
    apply(returns, false, 6);
    clock.advance(Duration(700));
    apply(returns, false, 6);
    CHECK(tell(returns, 5) == "east:700");
    CHECK(tell(returns, 6).empty());
    apply(returns, true, 7);
    CHECK(tell(returns, 0).empty());
    apply(returns, false, 10);
    clock.advance(Duration(2599));
    CHECK_FALSE(returns.advance(clock.now()));
    CHECK(tell(returns, 9) == "east:2599");
    clock.advance(Duration(1));
    CHECK(tell(returns, 0).empty());
    CHECK(returns.advance(clock.now()));
    // After a restart only later returns count as new.
    DataCentreReturns restarted;
    restarted.setMemory(Duration(2600));
    restarted.restore(returns.settledRevision());
    apply(restarted, false, 10);
    CHECK(tell(restarted, 0).empty());
    apply(restarted, false, 12);
    CHECK(tell(restarted, 0) == "east:0");
}
