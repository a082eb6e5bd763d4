#include "bergamotroute/manifest_diff.h"

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

std::vector<std::string> describe(const std::vector<schema::Change>& changes)
{
    std::vector<std::string> lines;
    lines.reserve(changes.size());
    for (const schema::Change& change : changes)
        lines.push_back(describeChange(change));
    return lines;
}

schema::Configuration applyAll(schema::Configuration configuration, const std::vector<schema::Change>& changes)
{
    for (const schema::Change& change : changes)
        applyToConfiguration(change, configuration);
    return configuration;
}

}

// Guards against a manifest that changes the configuration again when it is applied a second time.
TEST_CASE("a manifest that was applied already results in no changes")
{
    schema::Manifest manifest;
    *manifest.add_services() = makeService("ordering", "10.9.0.1");
    schema::BackendOverride& backend = *manifest.add_backends();
    backend.set_service("ordering");
    backend.set_address("10.1.0.7");
    backend.set_state(schema::BACKEND_DRAIN);
    backend.set_weight_percent(100);
    schema::DataCentre& dataCentre = *manifest.add_data_centres();
    dataCentre.set_name("east");
    dataCentre.set_stopped(true);
    manifest.add_changes()->mutable_remove_service()->set_name("manifests");
    *manifest.add_changes()->mutable_add_service() = makeService("extra", "10.9.0.5");

    schema::Configuration configuration;
    *configuration.add_services() = makeService("manifests", "10.9.0.2");
    const auto changes = diffManifest(manifest, configuration);
    CHECK(describe(changes)
        == std::vector<std::string> { "add service ordering 10.9.0.1:443", "stop data centre east",
            "set backend 10.1.0.7 of ordering: drain, weight 100%", "remove service manifests",
            "add service extra 10.9.0.5:443" });
    CHECK(diffManifest(manifest, applyAll(configuration, changes)).empty());
}

// Guards against an order in which a service gets an address that another service still uses.
TEST_CASE("a service gets the address of another service only after that one has moved")
{
    schema::Configuration configuration;
    *configuration.add_services() = makeService("a", "10.9.0.1");
    *configuration.add_services() = makeService("b", "10.9.0.2");
    schema::Manifest manifest;
    *manifest.add_services() = makeService("new", "10.9.0.1");
    *manifest.add_services() = makeService("a", "10.9.0.2");
    *manifest.add_services() = makeService("b", "10.9.0.3");
    CHECK(describe(diffManifest(manifest, configuration))
        == std::vector<std::string> {
            "edit service b 10.9.0.3:443", "edit service a 10.9.0.2:443", "add service new 10.9.0.1:443" });
}

// Guards against removal of services that the manifest does not list.
TEST_CASE("services that the manifest does not list are removed only with prune")
{
    schema::Configuration configuration;
    *configuration.add_services() = makeService("a", "10.9.0.1");
    schema::Manifest manifest;
    CHECK(diffManifest(manifest, configuration).empty());
    manifest.set_prune(true);
    CHECK(describe(diffManifest(manifest, configuration)) == std::vector<std::string> { "remove service a" });
}

// Guards against a manifest whose explicit changes cancel each other, so that it never counts as applied.
TEST_CASE("explicit changes that cancel each other result in no changes")
{
    schema::Configuration configuration;
    *configuration.add_services() = makeService("a", "10.9.0.1");
    schema::Manifest manifest;
    manifest.add_changes()->mutable_remove_service()->set_name("a");
    *manifest.add_changes()->mutable_add_service() = makeService("a", "10.9.0.1");
    CHECK(diffManifest(manifest, configuration).empty());
}
