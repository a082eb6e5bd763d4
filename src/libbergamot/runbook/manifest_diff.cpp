#include "bergamotroute/manifest_diff.h"

#include <algorithm>
#include <google/protobuf/util/message_differencer.h>

namespace bergamotroute {

namespace {

    using google::protobuf::util::MessageDifferencer;

    template <typename List> bool hasService(const List& services, const std::string& name)
    {
        return std::any_of(
            services.begin(), services.end(), [&](const schema::Service& service) { return service.name() == name; });
    }

    /// @return true if another service uses the same address, protocol and one of the ports.
    bool hasAddressConflict(const schema::Service& wanted, const schema::Configuration& configuration)
    {
        for (const schema::Service& other : configuration.services()) {
            if (other.name() == wanted.name() || other.address() != wanted.address()
                || other.protocol() != wanted.protocol())
                continue;
            for (const std::uint32_t port : wanted.ports()) {
                if (std::find(other.ports().begin(), other.ports().end(), port) != other.ports().end())
                    return true;
            }
        }
        return false;
    }

    /// Collects changes and tracks the configuration that results from them.
    class ChangeList {
    public:
        explicit ChangeList(const schema::Configuration& configuration)
            : m_configuration(configuration)
        {
        }

        void add(const schema::Change& change)
        {
            if (applyToConfiguration(change, m_configuration))
                m_changes.push_back(change);
        }

        void addService(const schema::Service& service)
        {
            schema::Change change;
            if (hasService(m_configuration.services(), service.name()))
                *change.mutable_edit_service() = service;
            else
                *change.mutable_add_service() = service;
            add(change);
        }

        const schema::Configuration& configuration() const { return m_configuration; }
        std::vector<schema::Change> take() { return std::move(m_changes); }

    private:
        schema::Configuration m_configuration;
        std::vector<schema::Change> m_changes;
    };

    void removeUnlistedServices(
        const schema::Manifest& manifest, const schema::Configuration& configuration, ChangeList& list)
    {
        for (const schema::Service& service : configuration.services()) {
            if (hasService(manifest.services(), service.name()))
                continue;
            schema::Change change;
            change.mutable_remove_service()->set_name(service.name());
            list.add(change);
        }
    }

    /// Adds changes for new services or for existing ones. A service whose address is still used by another service
    /// follows after the change that frees the address. Services that wait for each other in a cycle come last, in the
    /// order of the manifest; the control host refuses them.
    void addServices(const std::vector<const schema::Service*>& services, ChangeList& list)
    {
        std::vector<const schema::Service*> pending = services;
        bool hasProgress = true;
        while (!pending.empty() && hasProgress) {
            std::vector<const schema::Service*> deferred;
            for (const schema::Service* service : pending) {
                if (hasAddressConflict(*service, list.configuration()))
                    deferred.push_back(service);
                else
                    list.addService(*service);
            }
            hasProgress = deferred.size() < pending.size();
            pending = std::move(deferred);
        }
        for (const schema::Service* service : pending)
            list.addService(*service);
    }

    void addAllServices(const schema::Manifest& manifest, const schema::Configuration& configuration, ChangeList& list)
    {
        std::vector<const schema::Service*> existing;
        std::vector<const schema::Service*> added;
        for (const schema::Service& service : manifest.services())
            (hasService(configuration.services(), service.name()) ? existing : added).push_back(&service);
        addServices(existing, list);
        addServices(added, list);
    }

    /// An explicit change that adds an existing service becomes an edit, so that the manifest can be applied again.
    void addExplicitChange(const schema::Change& change, ChangeList& list)
    {
        if (change.has_add_service())
            list.addService(change.add_service());
        else
            list.add(change);
    }

    bool isSameState(const schema::Configuration& left, const schema::Configuration& right)
    {
        MessageDifferencer differencer;
        differencer.set_repeated_field_comparison(MessageDifferencer::AS_SET);
        return differencer.Compare(left, right);
    }

}

std::vector<schema::Change> diffManifest(const schema::Manifest& manifest, const schema::Configuration& configuration)
{
    ChangeList list(configuration);
    if (manifest.prune())
        removeUnlistedServices(manifest, configuration, list);
    addAllServices(manifest, configuration, list);
    for (const schema::DataCentre& dataCentre : manifest.data_centres()) {
        schema::Change change;
        *change.mutable_set_data_centre() = dataCentre;
        list.add(change);
    }
    for (const schema::BackendOverride& backend : manifest.backends()) {
        schema::Change change;
        *change.mutable_set_backend() = backend;
        list.add(change);
    }
    for (const schema::Change& change : manifest.changes())
        addExplicitChange(change, list);
    // Explicit changes that cancel each other lead back to the current configuration.
    if (isSameState(list.configuration(), configuration))
        return {};
    return list.take();
}

}
