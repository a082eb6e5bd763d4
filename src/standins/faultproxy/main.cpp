/// @file
/// bergamot-faultproxy: passes TCP and UDP between real processes with faults that are set over HTTP.
///
/// POST /faults?NAME=VALUE&... with delay_ms, jitter_ms, loss, duplicate, reorder, reorder_ms and
/// cut=none|up|down|both; POST /freeze makes open connections silent for good; POST /cut_after?bytes=N closes the next
/// TCP connection inside a message; GET /faults shows what is in force. "up" is from the client to the target.

#include "bergamotroute/result_code.h"
#include "standins/common/http_listener.h"
#include "standins/faultproxy/proxy.h"

#include <charconv>
#include <csignal>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <gflags/gflags.h>
#include <iostream>
#include <json/json.h>

DEFINE_string(tcp, "", "TCP listeners: LISTEN=TARGET,... with endpoints; port 0 takes a free one.");
DEFINE_string(udp, "", "UDP listeners: LISTEN=TARGET,...");
DEFINE_string(control, "127.0.0.1:0", "Endpoint of the control interface.");
DEFINE_uint64(seed, 1, "Seed of all random decisions.");
DEFINE_string(ready_file, "", "File that gets the port of the control interface and those of the listeners in order.");

namespace bergamotroute {

namespace {

    using Proxies = std::vector<std::unique_ptr<Proxy>>;
    using Maker = std::unique_ptr<Proxy> (*)(EventLoop&, FaultPlan&, const Endpoint&, const Endpoint&);

    bool addProxies(const std::string& flag, Maker make, EventLoop& loop, FaultPlan& plan, Proxies& proxies)
    {
        std::string_view rest = flag;
        while (!rest.empty()) {
            const std::string_view part = rest.substr(0, rest.find(','));
            rest = part.size() < rest.size() ? rest.substr(part.size() + 1) : std::string_view();
            const std::size_t equals = part.find('=');
            std::error_code listenError;
            std::error_code targetError;
            const Endpoint listen = Endpoint::parse(part.substr(0, equals), listenError);
            const Endpoint target
                = Endpoint::parse(equals == part.npos ? std::string_view() : part.substr(equals + 1), targetError);
            if (listenError || targetError)
                return false;
            proxies.push_back(make(loop, plan, listen, target));
            if (proxies.back()->port() == 0)
                return false;
        }
        return true;
    }

    std::string describe(const FaultSettings& settings)
    {
        Json::Value root;
        root["delay_ms"] = Json::Int64(settings.delay.count());
        root["jitter_ms"] = Json::Int64(settings.jitter.count());
        root["loss"] = settings.loss;
        root["duplicate"] = settings.duplicate;
        root["reorder"] = settings.reorder;
        root["reorder_ms"] = Json::Int64(settings.reorderBy.count());
        root["cut_up"] = settings.isCutUp;
        root["cut_down"] = settings.isCutDown;
        return root.toStyledString();
    }

    ListenerAnswer answerWith(int status, const std::string& body)
    {
        ListenerAnswer answer;
        answer.status = status;
        answer.body = body;
        return answer;
    }

    ListenerAnswer setFaults(const std::string& query, FaultPlan& plan, Proxies& proxies)
    {
        evkeyvalq values {};
        evhttp_parse_query_str(query.c_str(), &values);
        std::string fault;
        for (const evkeyval* item = values.tqh_first; item != nullptr; item = item->next.tqe_next) {
            if (plan.set(item->key, item->value))
                fault = std::string(item->key) + '=' + item->value + " is not a fault\n";
        }
        evhttp_clear_headers(&values);
        for (const auto& proxy : proxies)
            proxy->resume();
        return fault.empty() ? answerWith(200, describe(plan.settings())) : answerWith(400, fault);
    }

    ListenerAnswer cutAfter(const std::string& query, Proxies& proxies)
    {
        const std::string text = queryValue(query, "bytes");
        std::size_t bytes = 0;
        const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), bytes);
        if (status != std::errc() || end != text.data() + text.size())
            return answerWith(400, "bytes is a number\n");
        for (const auto& proxy : proxies)
            proxy->cutAfter(bytes);
        return answerWith(200, "{}\n");
    }

    ListenerAnswer handle(const ListenerRequest& request, FaultPlan& plan, Proxies& proxies)
    {
        if (request.path == "/faults" && !request.isPost)
            return answerWith(200, describe(plan.settings()));
        if (request.path == "/faults")
            return setFaults(request.query, plan, proxies);
        if (request.path == "/cut_after" && request.isPost)
            return cutAfter(request.query, proxies);
        if (request.path != "/freeze" || !request.isPost)
            return answerWith(404, "{}\n");
        for (const auto& proxy : proxies)
            proxy->freeze();
        return answerWith(200, "{}\n");
    }

    int runProxy()
    {
        EventLoop loop;
        FaultPlan plan(FLAGS_seed);
        Proxies proxies;
        const bool isBound = addProxies(FLAGS_tcp, makeTcpProxy, loop, plan, proxies)
            && addProxies(FLAGS_udp, makeUdpProxy, loop, plan, proxies);
        HttpListener control(
            loop.base(), FLAGS_control, [&](const ListenerRequest& request) { return handle(request, plan, proxies); });
        if (!isBound || control.port() == 0) {
            std::cerr << "a listener is not of the form LISTEN=TARGET or cannot be bound\n";
            return 1;
        }
        std::string ports = std::to_string(control.port());
        for (const auto& proxy : proxies)
            ports += ' ' + std::to_string(proxy->port());
        if (!writeReadyFile(FLAGS_ready_file, ports + '\n'))
            return 1;
        loop.onSignal(SIGTERM, [&] { loop.stop(); });
        loop.run();
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("bergamot-faultproxy --tcp LISTEN=TARGET --udp LISTEN=TARGET --control ENDPOINT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return bergamotroute::runProxy();
}
