#include "scenario/command_table.h"

#include <algorithm>

namespace bergamotroute::scenario {

namespace {

    constexpr auto name = ValueKind::Name;
    constexpr auto duration = ValueKind::Duration;
    constexpr auto rate = ValueKind::Rate;
    constexpr auto percent = ValueKind::Percent;
    constexpr auto number = ValueKind::Number;

    std::vector<CommandSpec> setupCommands()
    {
        return {
            { "seed", { number }, 1, false, {}, "seed NUMBER" },
            { "deployments", { name }, 1, true, {}, "deployments NAME..." },
            { "datacentre", { name }, 1, true, {}, "datacentre NAME..." },
            { "delays", {}, 0, false, { { "between", duration }, { "callers", duration }, { "jitter", duration } },
                "delays between=TIME callers=TIME jitter=TIME" },
            { "hosts", { number }, 1, false,
                { { "buckets", number }, { "cache", number }, { "lease", duration }, { "budget", number } },
                "hosts COUNT" },
            { "service", { name, name }, 2, false,
                { { "alias", name }, { "port", number }, { "protocol", name }, { "targets", number },
                    { "slots", number }, { "new", rate }, { "open", number }, { "probe-idle", duration },
                    { "udp-idle", duration }, { "lease", duration } },
                "service NAME ADDRESS" },
            { "fabric", {}, 0, false, { { "detect", duration } }, "fabric detect=TIME" },
            { "start", {}, 0, false, {}, "start" },
        };
    }

    std::vector<CommandSpec> trafficCommands()
    {
        return {
            { "feeds", { name }, 1, false,
                { { "count", number }, { "rate", rate }, { "every", duration }, { "life", duration } },
                "feeds SERVICE count=N rate=N/s every=TIME" },
            { "requests", { name }, 1, false, { { "rate", rate }, { "for", duration } },
                "requests SERVICE rate=N/s for=TIME" },
            { "datagrams", { name }, 1, false,
                { { "count", number }, { "rate", rate }, { "every", duration }, { "life", duration } },
                "datagrams SERVICE count=N rate=N/s every=TIME" },
            { "silence", { name, number }, 2, false, {}, "silence SERVICE COUNT" },
        };
    }

    std::vector<CommandSpec> faultCommands()
    {
        return {
            { "kill", { name }, 1, true, {}, "kill HOST|TARGET..." },
            { "restart", { name }, 1, true, {}, "restart HOST|TARGET..." },
            { "freeze", { name }, 1, true, { { "for", duration } }, "freeze HOST|TARGET... for=TIME" },
            { "partition", { name }, 1, true, {}, "partition DATACENTRE|HOST..." },
            { "cut", { name, name }, 2, false, {}, "cut PLACE PLACE" },
            { "cut-one-way", { name, name }, 2, false, {}, "cut-one-way FROM TO" },
            { "heal", {}, 0, false, {}, "heal" },
            { "loss", { percent }, 1, false, {}, "loss PERCENT" },
            { "duplicate", { percent }, 1, false, {}, "duplicate PERCENT" },
            { "slow", { duration }, 1, false, {}, "slow TIME" },
            { "uneven", {}, 0, false, { { "configuration", duration }, { "messages", duration } },
                "uneven configuration=TIME messages=TIME" },
            { "reports", { name, name }, 2, false, { { "lag", duration } }, "reports TARGET honest|lagging|idle|busy" },
        };
    }

    std::vector<CommandSpec> changeCommands()
    {
        return {
            { "announce", { name, name }, 2, false, { { "as", name } }, "announce TARGET ready|draining|gone|silent" },
            { "add-targets", { name, number }, 2, false, {}, "add-targets SERVICE COUNT" },
            { "backend", { name, name }, 2, true, {}, "backend drain|ready|maintenance|remove TARGET..." },
            { "weight", { name, percent }, 2, false, {}, "weight TARGET PERCENT" },
            { "stop-datacentre", { name }, 1, false, {}, "stop-datacentre NAME" },
            { "start-datacentre", { name }, 1, false, {}, "start-datacentre NAME" },
            { "limit", { name }, 1, false, { { "new", rate }, { "open", number } }, "limit SERVICE new=N/s open=N" },
            { "move-service", { name }, 1, false, { { "address", name }, { "datacentres", name } },
                "move-service SERVICE address=IP datacentres=A,B" },
            { "host", { name, name }, 2, false, {}, "host drain|leave|ready HOST" },
            { "old-revision", { name }, 1, true, {}, "old-revision HOST..." },
            { "leave", { name }, 1, true, {}, "leave HOST..." },
        };
    }

    std::vector<CommandSpec> checkCommands()
    {
        return {
            { "advance", { duration }, 1, false, {}, "advance TIME" },
            { "mark", {}, 0, false, {}, "mark" },
            { "expect", { name, name, name, name }, 3, false, { { "within", duration } },
                "expect FIGURE [SUBJECT] =|<=|>=|<|> VALUE [within=TIME]" },
        };
    }

}

std::string_view describe(ValueKind kind)
{
    switch (kind) {
    case ValueKind::Name:
        return "a name";
    case ValueKind::Duration:
        return "a time such as 500ms, 3s or 2min";
    case ValueKind::Rate:
        return "a rate such as 100/s";
    case ValueKind::Percent:
        return "a percentage such as 5%";
    case ValueKind::Number:
        return "a number";
    }
    return "a value";
}

const std::vector<CommandSpec>& commandTable()
{
    static const std::vector<CommandSpec> table = [] {
        std::vector<CommandSpec> all = setupCommands();
        for (const auto& part : { trafficCommands(), faultCommands(), changeCommands(), checkCommands() })
            all.insert(all.end(), part.begin(), part.end());
        return all;
    }();
    return table;
}

const CommandSpec* findCommand(std::string_view name)
{
    const auto& table = commandTable();
    const auto entry
        = std::find_if(table.begin(), table.end(), [name](const CommandSpec& spec) { return spec.name == name; });
    return entry == table.end() ? nullptr : &*entry;
}

}
