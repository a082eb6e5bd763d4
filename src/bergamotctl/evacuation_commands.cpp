// evacuation start, end and list: calls to the control hosts of cookie steering, on their metrics listeners.

#include "bergamotctl/commands.h"
#include "bergamotctl/flags.h"
#include "bergamotctl/table.h"

#include <array>
#include <cstdlib>
#include <ctime>
#include <event2/http.h>
#include <iostream>
#include <json/json.h>
#include <memory>
#include <thread>

namespace bergamotroute {

namespace {

    constexpr const char* evacuationsPath = "/evacuations";
    constexpr std::chrono::milliseconds pauseBetweenPolls { 200 };

    Json::Value parseObject(const std::string& text)
    {
        const Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        const bool isObject
            = reader->parse(text.data(), text.data() + text.size(), &value, nullptr) && value.isObject();
        return isObject ? value : Json::Value(Json::objectValue);
    }

    std::string encodeName(const std::string& name)
    {
        const std::unique_ptr<char, decltype(&std::free)> encoded(
            evhttp_uriencode(name.data(), static_cast<ev_ssize_t>(name.size()), 0), &std::free);
        return encoded.get();
    }

    std::string formatTime(std::uint64_t milliseconds)
    {
        constexpr std::uint64_t millisecondsPerSecond = 1000;
        const auto seconds = static_cast<std::time_t>(milliseconds / millisecondsPerSecond);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 32> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
        return text.data();
    }

    std::string describeCount(const Json::Value& value)
    {
        return value["acknowledged_hosts"].asString() + " of " + value["entry_hosts"].asString();
    }

    bool isAcknowledgedByAll(const Json::Value& list)
    {
        return list["entry_hosts"].asUInt64() > 0 && list["entry_hosts"] == list["acknowledged_hosts"];
    }

    /// Waits until all entry hosts that respond have applied the list.
    ExitStatus waitAcknowledged(Session& session)
    {
        session.restartDeadline(std::chrono::seconds(FLAGS_wait_seconds));
        Json::Value list;
        while (true) {
            const LeaderAnswer answer = session.callLeader(HttpMethod::Get, evacuationsPath);
            list = parseObject(answer.body);
            if (isAcknowledgedByAll(list)) {
                session.err() << "acknowledged by " << describeCount(list) << " entry hosts\n";
                return ExitStatus::Done;
            }
            if (session.isPastDeadline())
                break;
            std::this_thread::sleep_for(pauseBetweenPolls);
        }
        session.err() << "not acknowledged by all entry hosts: " << describeCount(list) << '\n';
        return ExitStatus::WaitTimedOut;
    }

    ExitStatus sendCall(Session& session, const std::string& name, HttpMethod method)
    {
        if (isFlagGiven("expect_revision")) {
            session.err() << "evacuation calls take no --expect-revision: the last call is in force\n";
            return ExitStatus::Usage;
        }
        if (FLAGS_dry_run) {
            session.out() << "would " << (method == HttpMethod::Post ? "start" : "end") << " the evacuation of " << name
                          << '\n';
            return ExitStatus::Done;
        }
        const LeaderAnswer answer = session.callLeader(method, std::string(evacuationsPath) + '/' + encodeName(name));
        const Json::Value result = parseObject(answer.body);
        if (answer.status == ExitStatus::Done && session.isJson())
            session.out() << result.toStyledString();
        else if (answer.status == ExitStatus::Done)
            session.out() << "accepted: revision " << result["revision"].asString() << '\n';
        if (answer.status == ExitStatus::Failed)
            session.out() << "not accepted: " << result["code"].asUInt() << ' ' << resultName(result["code"].asUInt())
                          << ": " << result["message"].asString() << '\n';
        session.out().flush();
        return answer.status == ExitStatus::Done && FLAGS_wait ? waitAcknowledged(session) : answer.status;
    }

}

ExitStatus runEvacuationStart(Session& session, Arguments arguments)
{
    return sendCall(session, arguments[0], HttpMethod::Post);
}

ExitStatus runEvacuationEnd(Session& session, Arguments arguments)
{
    return sendCall(session, arguments[0], HttpMethod::Delete);
}

ExitStatus runEvacuationList(Session& session, Arguments)
{
    const LeaderAnswer answer = session.callLeader(HttpMethod::Get, evacuationsPath);
    if (answer.status != ExitStatus::Done)
        return answer.status;
    const Json::Value list = parseObject(answer.body);
    if (session.isJson()) {
        session.out() << list.toStyledString();
        return ExitStatus::Done;
    }
    Table table({ "DATA CENTRE", "SINCE", "ORDERED BY", "REVISION", "ACKNOWLEDGED" });
    for (const Json::Value& item : list["evacuations"]) {
        table.add({ item["data_centre"].asString(), formatTime(item["since_ms"].asUInt64()),
            item["ordered_by"].asString(), item["revision"].asString(), describeCount(item) });
    }
    table.print(session.out());
    session.out() << "open flows at evacuated data centres: " << list["open_flows"].asUInt64() << '\n';
    return ExitStatus::Done;
}

}
