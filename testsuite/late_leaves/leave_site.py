"""A deployment of real programs on loopback and a target that leaves it, for the tests of leaves."""
import asyncio
import json
import os
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "src" / "soak"))
import soak  # noqa: E402
from fleet import PACKET_PORT, READY_PORT, Fleet  # noqa: E402
from standins import Client, Flow, Target, call_http  # noqa: E402

ADDRESS, PORT = "198.18.0.1", 443
HEARTBEAT_SECONDS = 0.6
# A target is silent after four heartbeat intervals; a meant leave counts within this time.
COUNTS_SECONDS = 4 * HEARTBEAT_SECONDS + 2.0
# Entry hosts avoid a target that has come back for 1.5 s.
RESTART_KNOWN_SECONDS = 1.5
FLOWS = 4
DOCUMENT = {"Version": 1, "Services": [{"Name": "orders"}], "Limits": {},
            "Routes": [{"Name": "r", "Host": ADDRESS, "PathPrefix": f"/{PORT}/", "Kind": "safe", "TimeoutMs": 3000,
                        "Service": "orders"}]}


def check(condition, what):
    if not condition:
        raise AssertionError(what)


class Site:
    """Three control hosts, two entry hosts, and two targets of one service."""

    def __init__(self, binaries, scratch, name, net):
        self.journal = soak.Journal()
        self.journal.allowed_services = lambda port: {"orders"}
        self.fleet = Fleet(binaries, os.path.join(scratch, name), net, control_count=3, entry_count=2)
        self.net = net
        self.client = Client(f"127.{net}.9.1", PACKET_PORT, lambda: random.choice(self.fleet.entries).address)
        self.first, self.second = self.make_target(1), self.make_target(2)

    def make_target(self, place):
        return Target(f"i-5c00000{place}", "orders", f"127.{self.net}.3.{place}", 18200, "abc"[place], PACKET_PORT,
                      list(self.fleet.operators), self.journal)

    async def start(self):
        self.fleet.start()
        await self.client.start()
        for _ in range(50):
            if (await call_http(self.fleet.operators[0], "PUT", "/v1/config", json.dumps(DOCUMENT).encode()))[0] == 200:
                break
            await asyncio.sleep(0.1)
        await self.first.start()
        await self.second.start()
        for host in self.fleet.entries:
            await self.wait_for(lambda host=host: self.is_ready(host), f"{host.name} is not ready")
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)

    async def is_ready(self, host):
        return (await call_http(f"{host.address}:{READY_PORT}", "GET", "/v1/readiness"))[0] == 200

    @staticmethod
    async def wait_for(condition, failure, seconds=10.0):
        deadline = time.monotonic() + seconds
        while not await condition():
            check(time.monotonic() < deadline, failure)
            await asyncio.sleep(0.05)

    async def leave(self, control):
        """The call with which the first target leaves, as the platform sends it: without a body."""
        status, _ = await call_http(self.fleet.operators[control], "DELETE", f"/v1/targets/{self.first.ident}")
        check(status == 200, f"status {status} for a leave at control host {control + 1}")

    async def restart_target(self):
        """The first target drains, leaves and starts again under its id."""
        await self.first.drain()
        await asyncio.sleep(HEARTBEAT_SECONDS)
        await self.first.leave()
        await asyncio.sleep(0.3)
        self.first = self.make_target(1)
        await self.first.start()
        await asyncio.sleep(RESTART_KNOWN_SECONDS + HEARTBEAT_SECONDS)

    async def open_flows(self):
        """Opens flows at the first target."""
        flows = []
        for _ in range(FLOWS * 20):
            flow = await self.client.open(ADDRESS, PORT)
            if isinstance(flow, Flow) and flow.echo == int(self.first.ident[2:], 16):
                check(await flow.ask(f"request-{random.getrandbits(40)}") == "served", "a first request was not served")
                flows.append(flow)
            if len(flows) == FLOWS:
                return flows
        raise AssertionError(f"only {len(flows)} flows opened at the first target")

    async def check_served(self, flows, what):
        answers = [await flow.ask(f"request-{random.getrandbits(40)}") for flow in flows]
        check(answers == ["served"] * len(flows), f"{what}: {answers}")

    async def check_runs(self, flows, what):
        """Open flows live and new flows open, now and after the time in which a leave counts."""
        await self.check_served(flows, f"open flows after {what}")
        await asyncio.sleep(COUNTS_SECONDS)
        await self.check_served(flows, f"open flows some time after {what}")
        await self.open_flows()

    def events(self, entry, code):
        """Returns how many events with this code an entry host has logged of the first target."""
        lines = self.fleet.entries[entry].log.read_text().splitlines()
        return sum(f'"{code}"' in line and self.first.ident in line for line in lines)

    async def check_gone(self, since, what):
        for entry in range(len(self.fleet.entries)):
            async def is_gone(entry=entry):
                return self.events(entry, "TargetGone") > since
            await self.wait_for(is_gone, f"entry host {entry + 1} does not take the target for gone after {what}",
                                COUNTS_SECONDS)

    def check_last_event(self, code, what):
        """Checks the last event that each entry host has logged of the first target."""
        for host in self.fleet.entries:
            events = [json.loads(line) for line in host.log.read_text().splitlines() if self.first.ident in line]
            names = [event["name"] for event in events if event.get("message") == "target event"]
            check(names[-1:] == [code], f"{host.name} has {names} of the target {what}")

    async def lose_disk(self, control):
        host = self.fleet.controls[control]
        host.kill()
        host.wipe()
        host.start()

        async def listens():
            return (await call_http(self.fleet.operators[control], "DELETE", "/v1/targets/i-0badc0de"))[0] == 200
        await self.wait_for(listens, "the control host does not come back")


async def _run_course(course, net):
    site = Site(sys.argv[1], sys.argv[2], course.__name__, net)
    try:
        await site.start()
        await course(site)
        check(not site.journal.faults, str(site.journal.faults))
    except AssertionError as error:
        return f"{course.__name__}: {error}"
    finally:
        site.fleet.stop()
    return None


async def run_courses(courses, first_net):
    """Runs all courses at once, each on a network of its own, and ends with status 1 if one fails."""
    outcomes = await asyncio.gather(*(_run_course(course, first_net + place) for place, course in enumerate(courses)))
    failures = [text for text in outcomes if text]
    if failures:
        raise SystemExit("FAILED: " + "; ".join(failures))
