"""Heartbeats of another writer whose ids end in the digits of running targets, while flows are open at these."""
import json
import os
import pathlib
import sys
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import flows_2 as flows
import small_site_2 as deployment

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TARGETS, FLOWS, SERVICE, PORT = 4, 16, "service-1", 8080
CALM_S, WATCHED_S, BEAT_S, PAUSE_S = 6, 20, 1.0, 0.4


def use_flow(client, host, number, end, results):
    flow = client.open(host, PORT)
    results[number] = flow
    count = 0
    while time.monotonic() < end and flow.opened and not flow.resets:
        flow.request(f"request-{number}-{count}")
        count += 1
        time.sleep(PAUSE_S)


def write_foreign(site, targets, end):
    """The other writer knows the machines by the same digits, and gives them a service and an address of its own."""
    sequence = 0
    while time.monotonic() < end:
        sequence += 1
        for index, target in enumerate(targets):
            body = {"Service": "other-writers-service", "Addr": f"{site.net}.{150 + index}:9000", "Zone": "zone-a",
                    "Version": "v1", "Slots": 2, "State": "ready", "ColdLeftMs": 0, "Seq": sequence}
            path = f"/v1/targets/vm-{target.number:08x}"
            status = site.call(site.controls[sequence % len(site.controls)].ip, "PUT", path, json.dumps(body))[0]
            site.record.write(f"other writer: PUT {path} -> {status}")
        time.sleep(BEAT_S)


def main():
    site = deployment.Site(pathlib.Path(__file__).parent, controls=3, entries=2)
    targets = []
    try:
        host = f"{site.net}.250"
        site.start()
        if site.operate("PUT", "/v1/config", deployment.document(
                1, [("r-1", host, PORT, "safe", 3000, SERVICE)], [SERVICE]))[0] != 200:
            return 2
        targets += [flows.Target(site, 0x7F3A9100 + i, SERVICE, f"{site.net}.{100 + i}", beat_s=BEAT_S)
                    for i in range(TARGETS)]
        client = flows.Client(site, f"{site.net}.200")
        time.sleep(4)
        end = time.monotonic() + CALM_S + WATCHED_S
        results = {}
        users = [threading.Thread(target=use_flow, args=(client, host, n, end, results)) for n in range(FLOWS)]
        for user in users:
            user.start()
        time.sleep(CALM_S)
        if sum(flow.opened and not flow.resets for flow in results.values()) < FLOWS:
            return 2
        if TROUBLE:
            write_foreign(site, targets[:TARGETS // 2], end - 2)
        for user in users:
            user.join()
        broken = [flow for flow in results.values() if any(own for _, own, _ in flow.resets)]
        site.record.write(f"open flows: {FLOWS}, reset by the system while their target lives: {len(broken)}")
        site.record.write("FLOW: broken" if broken else "FLOW: held")
        return 1 if broken else 0
    finally:
        for target in targets:
            target.close()
        site.stop()


if __name__ == "__main__":
    try:
        sys.exit(main())
    except SystemExit:
        raise
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
