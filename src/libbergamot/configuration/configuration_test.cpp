#include "bergamotroute/configuration_fetcher.h"
#include "bergamotroute/configuration_machine.h"

#include <doctest/doctest.h>

using namespace bergamotroute;

namespace {

schema::Service makeService(const std::string& name, const std::string& address)
{
    schema::Service service;
    service.set_name(name);
    service.set_address(address);
    service.add_ports(443);
    service.set_protocol(schema::TCP);
    return service;
}

schema::Command addService(const std::string& requestId, const schema::Service& service)
{
    schema::Command command;
    command.set_request_id(requestId);
    *command.add_changes()->mutable_add_service() = service;
    return command;
}

schema::Command stopDataCentre(const std::string& requestId, const std::string& name)
{
    schema::Command command;
    command.set_request_id(requestId);
    command.add_changes()->mutable_set_data_centre()->set_name(name);
    command.mutable_changes(0)->mutable_set_data_centre()->set_stopped(true);
    return command;
}

schema::LogEntry makeEntry(std::uint64_t index, const schema::Command& command, std::uint64_t timeMs = 0)
{
    schema::LogEntry entry;
    entry.set_index(index);
    entry.set_term(1);
    entry.set_time_ms(timeMs);
    *entry.mutable_command() = command;
    return entry;
}

ResultCode codeOf(const schema::CommandResult& result) { return static_cast<ResultCode>(result.code()); }

class RecordingSink final : public FetchSink {
public:
    void fetch(const FetchRequest& request) override { requests.push_back(request); }
    void apply(const schema::Configuration& configuration) override { applied.push_back(configuration.revision()); }
    void logEvent(ResultCode code, std::string_view) override { events.push_back(code); }

    std::vector<FetchRequest> requests;
    std::vector<std::uint64_t> applied;
    std::vector<ResultCode> events;
};

schema::ConfigurationAnswer makeAnswer(std::uint64_t revision, std::uint64_t term = 1)
{
    schema::ConfigurationAnswer answer;
    answer.set_revision(revision);
    answer.set_committed(true);
    answer.mutable_configuration()->set_revision(revision);
    answer.mutable_configuration()->set_term(term);
    return answer;
}

}

// Guards against a command that is applied only in part, and against two commands that are both accepted for one
// expected revision.
TEST_CASE("a command with a rejected change or an outdated expected revision changes nothing")
{
    ConfigurationMachine machine;
    CHECK(machine.apply(makeEntry(2, addService("a", makeService("ordering", "10.0.0.1")))).revision() == 2);
    schema::Command both = addService("b", makeService("manifest", "10.0.0.2"));
    *both.add_changes()->mutable_add_service() = makeService("ordering", "10.0.0.3");
    CHECK(codeOf(machine.apply(makeEntry(3, both))) == ResultCode::ServiceExists);
    CHECK(machine.configuration().services_size() == 1);
    CHECK(machine.configuration().revision() == 2);
    schema::Command compare = addService("c", makeService("manifest", "10.0.0.2"));
    compare.set_expect_revision(2);
    CHECK(machine.apply(makeEntry(4, compare)).outcome() == schema::OUTCOME_ACCEPTED);
    schema::Command staleCommand = addService("d", makeService("heat", "10.0.0.4"));
    staleCommand.set_expect_revision(2);
    const schema::CommandResult staleResult = machine.apply(makeEntry(5, staleCommand));
    CHECK(codeOf(staleResult) == ResultCode::RevisionStale);
    CHECK(staleResult.revision() == 4);
}

// Guards against values that entry hosts cannot use, and against two services with the same address and port.
TEST_CASE("a service with an invalid value or an address in use is rejected")
{
    ConfigurationMachine machine;
    machine.apply(makeEntry(2, addService("a", makeService("ordering", "10.0.0.1"))));
    CHECK(machine.check(addService("b", makeService("x", "10.0.0.1"))).code == ResultCode::AddressInUse);
    CHECK(machine.check(addService("c", makeService("x", "nowhere"))).code == ResultCode::InvalidValue);
    schema::Service network = makeService("x", "10.0.0.2");
    network.add_allowed_networks("10.0.0.0/64");
    CHECK(machine.check(addService("d", network)).code == ResultCode::InvalidValue);
    CHECK(machine.check(addService("", makeService("x", "10.0.0.2"))).code == ResultCode::CommandMalformed);
}

// Guards against stopping the last data centre of a service by mistake; force does so deliberately.
TEST_CASE("the last data centre of a service is stopped only with force")
{
    ConfigurationMachine machine;
    schema::Service service = makeService("ordering", "10.0.0.1");
    service.add_data_centres("east");
    service.add_data_centres("west");
    machine.apply(makeEntry(2, addService("a", service)));
    CHECK(machine.apply(makeEntry(3, stopDataCentre("b", "east"))).code() == 0);
    CHECK(codeOf(machine.apply(makeEntry(4, stopDataCentre("c", "west")))) == ResultCode::LastBackend);
    CHECK(machine.configuration().data_centres_size() == 1);
    schema::Command forced = stopDataCentre("d", "west");
    forced.set_force(true);
    CHECK(machine.apply(makeEntry(5, forced)).code() == 0);
}

// Guards against results that are removed too early: they must exceed both limits.
TEST_CASE("a result is removed only when it exceeds both the count limit and the age limit")
{
    ConfigurationMachine machine({ 2, 1000 });
    for (std::uint64_t i = 1; i <= 4; ++i)
        machine.apply(
            makeEntry(i + 1, addService("r" + std::to_string(i), makeService("ordering", "10.0.0.1")), i * 100));
    CHECK(machine.findResult("r1") != nullptr);
    machine.apply(makeEntry(9, addService("r5", makeService("ordering", "10.0.0.1")), 1350));
    CHECK(machine.findResult("r1") == nullptr);
    CHECK(machine.findResult("r3") == nullptr);
    CHECK(machine.findResult("r4") != nullptr);
    ConfigurationMachine restored({ 2, 1000 });
    restored.restore(machine.snapshot());
    CHECK(restored.findResult("r4") != nullptr);
    CHECK(restored.snapshot().SerializeAsString() == machine.snapshot().SerializeAsString());
}

// Guards against an entry host that returns to an older revision or adopts a different log history.
TEST_CASE("an accepted configuration is replaced only by a newer committed one")
{
    AcceptedConfiguration accepted;
    CHECK(accepted.update(makeAnswer(5, 2)) == ResultCode::Ok);
    CHECK(accepted.update(makeAnswer(5, 3)) == ResultCode::RevisionOlderRefused);
    CHECK(accepted.update(makeAnswer(4, 2)) == ResultCode::RevisionOlderRefused);
    CHECK(accepted.update(makeAnswer(9, 1)) == ResultCode::RevisionOlderRefused);
    schema::ConfigurationAnswer uncommitted = makeAnswer(6, 2);
    uncommitted.set_committed(false);
    CHECK(accepted.update(uncommitted) == ResultCode::RevisionOlderRefused);
    schema::ConfigurationAnswer entries;
    entries.set_committed(true);
    entries.set_revision(7);
    *entries.add_entries() = makeEntry(7, addService("a", makeService("ordering", "10.0.0.1")));
    entries.mutable_entries(0)->set_term(2);
    CHECK(accepted.update(entries) == ResultCode::Ok);
    CHECK(accepted.current().services_size() == 1);
    entries.set_revision(8);
    CHECK(accepted.update(entries) == ResultCode::InvalidValue);
    CHECK(accepted.current().revision() == 7);
}

// Guards against a host that stays outdated because its control host does not answer, has failed or is on the other
// side of a partition.
TEST_CASE("the fetcher tries other control hosts after a failure and a peer that has a newer revision")
{
    ManualClock clock;
    RecordingSink sink;
    FetcherOptions options;
    options.controlEndpoints = { "127.0.0.1:1", "127.0.0.1:2" };
    ConfigurationFetcher fetcher(options, {}, sink, clock.now());
    fetcher.advance(clock.now());
    REQUIRE(sink.requests.size() == 1);
    fetcher.handleFailure(sink.requests[0].id, clock.now());
    fetcher.advance(clock.now());
    REQUIRE(sink.requests.size() == 2);
    CHECK(sink.requests[1].endpoint != sink.requests[0].endpoint);
    fetcher.handleAnswer(sink.requests[1].id, makeAnswer(3), clock.now());
    CHECK(sink.applied == std::vector<std::uint64_t> { 3 });
    fetcher.advance(clock.now());
    REQUIRE(sink.requests.size() == 3);
    CHECK(sink.requests[2].longPollTimeout == options.longPollTimeout);
    // The open request gets no answer while a peer has a newer revision.
    fetcher.handlePeerRevision("127.0.0.1:9", 4, clock.now());
    fetcher.advance(clock.now());
    CHECK(sink.requests.size() == 3);
    clock.advance(options.peerDelay);
    CHECK(fetcher.nextDeadline() <= clock.now());
    fetcher.advance(clock.now());
    REQUIRE(sink.requests.size() == 4);
    CHECK(sink.requests[3].endpoint == "127.0.0.1:9");
    fetcher.handleAnswer(sink.requests[3].id, makeAnswer(4), clock.now());
    fetcher.handleAnswer(sink.requests[2].id, makeAnswer(3), clock.now());
    CHECK(sink.applied == std::vector<std::uint64_t> { 3, 4 });
}
