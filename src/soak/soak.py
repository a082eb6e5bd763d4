#!/usr/bin/env python3
"""Randomized soak of cookie steering: real programs on loopback, faults from outside, promises checked while it runs.

usage: soak.py BINARIES FOLDER [--seed N] [--seconds S] [--controls N] [--entries N] [--net N]

Prints one line for each broken promise and a summary as JSON; exit status 1 if a promise was broken. The same seed gives
the same series of faults; their effect also depends on timing, so keep the folder of a failed run.
"""
import argparse
import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import PACKET_PORT, READY_PORT, ZONES, Fleet  # noqa: E402
from standins import Client, Flow, Target, call_http  # noqa: E402

SERVICE_ADDRESS = "198.18.0.1"
REPEATABLE_PORT, ONCE_PORT, ABSENT_PORT = 443, 80, 9
SERVICES = {REPEATABLE_PORT: "orders", ONCE_PORT: "manifests"}
# After the last fault everything must be well again within this time.
RECOVERY_SECONDS = 12.0
# An acknowledged evacuation is in force on every entry host that can be reached within this time.
EVACUATION_SECONDS = 3.0


class Journal:
    """What clients, targets and operators saw, and the promises that it must keep."""

    def __init__(self):
        self.faults = []
        self.counts = Counter()
        self.runs = {}
        # Time of the acknowledgement of each evacuation whose withdrawal has not begun.
        self.evacuations = {}
        self.started = time.monotonic()

    def fault(self, promise, detail):
        at = time.monotonic() - self.started
        self.faults.append({"at": round(at, 3), "promise": promise, "detail": detail})
        print(f"broken at {at:.3f} s: {promise}: {detail}", flush=True)

    def ran(self, request, target):
        self.counts["requests run"] += 1
        # Each attempt has an id of its own and runs once at most.
        if request in self.runs:
            self.fault("a request ran twice", f"{request} at {self.runs[request]} and {target}")
        self.runs[request] = target

    def is_evacuated(self, zone):
        """True if the zone must not get new flows."""
        return time.monotonic() - self.evacuations.get(zone, float("inf")) > EVACUATION_SECONDS

    @staticmethod
    def allowed_services(port):
        return {SERVICES.get(port)}


class Operator:
    """Changes and reads the configuration and remembers what was acknowledged."""

    def __init__(self, fleet, journal, rng):
        self.fleet, self.journal, self.rng = fleet, journal, rng
        self.version = 0
        self.sent = {}
        self.acknowledged = 0
        self.read = 0

    def _document(self, version):
        routes = [{"Name": f"r-{port}", "Host": SERVICE_ADDRESS, "PathPrefix": f"/{port}/",
                   "Kind": "safe" if port == REPEATABLE_PORT else "unsafe", "TimeoutMs": 1000 + version,
                   "SloMs": 200, "Priority": 1, "Service": service} for port, service in SERVICES.items()]
        return json.dumps({"Version": version, "Routes": routes, "Limits": {"IdleTimeoutMs": 15000},
                           "Services": [{"Name": name} for name in SERVICES.values()]}).encode()

    async def change(self, tries=20):
        self.version += self.rng.randint(1, 3)
        version = self.version
        self.sent[version] = self._document(version)
        for _ in range(tries):
            status, _ = await call_http(self.rng.choice(self.fleet.operators), "PUT", "/v1/config", self.sent[version])
            if status == 200:
                self.acknowledged = max(self.acknowledged, version)
                self.journal.counts["changes acknowledged"] += 1
                return True
            if status in (400, 409, 412, 413, 422):
                self.journal.fault("a valid change was refused", f"version {version}, status {status}")
                return False
            await asyncio.sleep(0.2)
        return False

    async def send_invalid(self):
        body = self._document(self.version + 1)
        body = self.rng.choice((body[:len(body) // 2], body.replace(b'"orders"}', b'"nobody"}', 1),
                                body.replace(b'"TimeoutMs": 1', b'"TimeoutMs": 0, "X": 1')))
        status, _ = await call_http(self.rng.choice(self.fleet.operators), "PUT", "/v1/config", body)
        if status == 200:
            self.journal.fault("an invalid change was acknowledged", body[:80].decode())

    async def check_read(self):
        acknowledged, read = self.acknowledged, self.read
        status, body = await call_http(self.rng.choice(self.fleet.operators), "GET", "/v1/config")
        if status != 200:
            return False
        version = json.loads(body)["Version"]
        if version < acknowledged:
            self.journal.fault("a read is older than an acknowledged change", f"{version} < {acknowledged}")
        if version < read:
            self.journal.fault("a read is older than an earlier read", f"{version} < {read}")
        if body != self.sent.get(version):
            self.journal.fault("a read is not what was sent", f"version {version}")
        self.read = max(self.read, version)
        self.journal.counts["reads"] += 1
        return True


class Evacuator:
    """Evacuates one zone after the other and returns it to service; repeats calls as the platform's callers do."""

    def __init__(self, fleet, journal, seed):
        # A series of its own, so that the faults of a seed are those of a run without evacuations.
        self.fleet, self.journal, self.rng = fleet, journal, random.Random(f"evacuations {seed}")

    async def call(self, method, zone, tries=40):
        for _ in range(tries):
            status, _ = await call_http(self.rng.choice(self.fleet.operators), method, f"/v1/evacuations/{zone}")
            if status == 200:
                self.journal.counts["evacuations" if method == "POST" else "withdrawals"] += 1
                return True
            if status in (400, 404, 405, 409, 412, 413, 422):
                self.journal.fault("a valid evacuation call was refused", f"{method} {zone}: status {status}")
                return False
            await asyncio.sleep(0.1)
        self.journal.counts[f"evacuation calls without an answer ({method})"] += 1
        return False

    async def run(self, is_over):
        while not is_over():
            zone = self.rng.choice(ZONES)
            if await self.call("POST", zone):
                self.journal.evacuations[zone] = time.monotonic()
            await asyncio.sleep(self.rng.uniform(3, 6))
            if self.rng.random() < 0.3:
                await self.call("POST", zone)
            self.journal.evacuations.pop(zone, None)
            while not await self.call("DELETE", zone) and not is_over():
                pass
            await asyncio.sleep(self.rng.uniform(0, 2))


class Restarter:
    """Restarts targets under their ids; the call with which the former incarnation left comes again later, at any control
    host, while the later one runs or drains."""

    def __init__(self, soak, seed):
        # A series of its own, so that the faults of a seed are those of a run without restarts.
        self.soak, self.rng = soak, random.Random(f"restarts {seed}")

    async def send_late_leaves(self, ident):
        for _ in range(self.rng.randint(1, 3)):
            await asyncio.sleep(self.rng.uniform(0, 3))
            endpoint = self.rng.choice(self.soak.fleet.operators)
            status, _ = await call_http(endpoint, "DELETE", f"/v1/targets/{ident}")
            self.soak.journal.counts["late leaves" if status == 200 else "late leaves without an answer"] += 1

    async def restart(self, former):
        await former.drain()
        await asyncio.sleep(3.2)
        await former.leave()
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        later = await self.soak.restart_target(former)
        late = asyncio.create_task(self.send_late_leaves(later.ident))
        if self.rng.random() < 0.4:
            # It drains, and goes on serving its open flows.
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            if later.alive and later.state == "ready":
                await later.drain()
        await late

    async def run(self, is_over):
        while not is_over():
            victims = [target for target in self.soak.targets if target.alive and target.state == "ready"]
            if len(victims) > 5:
                self.soak.journal.counts["targets restarted"] += 1
                await self.restart(self.rng.choice(victims))
            await asyncio.sleep(self.rng.uniform(0, 1))


class Soak:
    """One run."""

    def __init__(self, arguments):
        self.arguments = arguments
        self.rng = random.Random(arguments.seed)
        self.journal = Journal()
        net = arguments.net or 100 + os.getpid() % 100
        self.net = net
        self.fleet = Fleet(arguments.binaries, arguments.folder, net, arguments.controls, arguments.entries)
        for host in self.fleet.entries:
            # Two entry hosts of the first data centre then have a group of targets each.
            host.settings.update(hosts_per_target_group=1, learn_capacity=True)
        self.operator = Operator(self.fleet, self.journal, self.rng)
        self.evacuator = Evacuator(self.fleet, self.journal, arguments.seed)
        self.restarter = Restarter(self, arguments.seed)
        self.ready = set()
        self.last_fault = 0.0
        self.targets = []
        self.client = Client(f"127.{net}.9.1", PACKET_PORT, self.choose_entry)
        self.ids = 0
        self.stopping = False

    def choose_entry(self):
        """The fabric: entry hosts in rotation, or all if none is."""
        choices = [host for host in self.fleet.entries if host.name in self.ready] or self.fleet.entries
        return random.choice(choices).address

    async def probe_readiness(self):
        misses = Counter()
        while not self.stopping:
            for host in self.fleet.entries:
                status, _ = await call_http(f"{host.address}:{READY_PORT}", "GET", "/v1/readiness", timeout=0.3)
                misses[host.name] = 0 if status == 200 else misses[host.name] + 1
                if status == 200:
                    self.ready.add(host.name)
                elif misses[host.name] >= 2:
                    self.ready.discard(host.name)
            await asyncio.sleep(0.3)

    async def add_target(self, service):
        self.ids += 1
        zone = "abc"[self.ids % 3]
        target = Target(f"i-{self.net:02x}{self.ids:06x}", service, f"127.{self.net}.3.{self.ids % 250 + 1}", 18200,
                        zone, PACKET_PORT, self.fleet.operators, self.journal)
        await target.start()
        self.targets.append(target)
        return target

    async def restart_target(self, former):
        """Starts a target again under its id; it holds and knows nothing of before."""
        target = Target(former.ident, former.service, former.address, former.port, former.zone, PACKET_PORT,
                        self.fleet.operators, self.journal)
        self.targets.remove(former)
        await target.start()
        self.targets.append(target)
        return target

    async def run_client(self, number):
        """Opens flows and keeps asking on them."""
        flow, asked, opened = None, 0, 0.0
        while not self.stopping:
            if not isinstance(flow, Flow):
                opened = time.time()
                flow, asked = await self.client.open(SERVICE_ADDRESS, self.rng.choice((REPEATABLE_PORT, ONCE_PORT))), 0
                self.journal.counts["flows opened" if isinstance(flow, Flow) else f"flows {flow}"] += 1
                if not isinstance(flow, Flow):
                    await asyncio.sleep(0.2)
                    continue
            asked += 1
            request = f"{number}-{flow.own}-{asked}-{random.getrandbits(40)}"
            outcome = await flow.ask(request)
            self.journal.counts[f"requests {outcome}"] += 1
            if outcome == "mixed":
                self.journal.fault("a client got an answer of another request", request)
            if outcome == "reset" and not self.target_may_be_gone(flow, opened):
                self.journal.fault("an open flow was reset while its target lives", f"{request} echo {flow.echo:#x}")
            if outcome != "served" or asked > 40:
                flow = None
            await asyncio.sleep(0.03)

    def target_may_be_gone(self, flow, opened):
        """Returns whether the incarnation that the flow was opened at has ended."""
        target = next((item for item in self.targets if int(item.ident[2:], 16) == flow.echo), None)
        return target is None or not target.alive or target.born > opened * 1000

    async def run_operator(self):
        while not self.stopping:
            action = self.rng.random()
            if action < 0.3:
                await self.operator.change()
            elif action < 0.4:
                await self.operator.send_invalid()
            else:
                await self.operator.check_read()
            await asyncio.sleep(0.15)

    async def inject(self):
        """One fault; overlaps with others."""
        kind = self.rng.choice(("entry kill", "entry stop", "entry pause", "control kill", "control pause",
                                "control wipe", "all controls kill", "target crash", "target drain", "entries restart"))
        self.journal.counts[f"fault {kind}"] += 1
        pause = self.rng.uniform(0.2, 2.5)
        if kind.startswith("target"):
            await self.end_target(crash=kind == "target crash")
        elif kind == "all controls kill":
            await self.restart_together(self.fleet.controls, pause / 4)
        elif kind == "entries restart":
            await self.restart_together(self.fleet.entries, 0)
        else:
            host = self.rng.choice(self.fleet.entries if kind.startswith("entry") else self.fleet.controls)
            async with host.lock:
                await self.disturb(host, kind, pause)

    async def restart_together(self, hosts, pause):
        async with contextlib.AsyncExitStack() as locks:
            for host in hosts:
                await locks.enter_async_context(host.lock)
            for host in hosts:
                host.kill()
            await asyncio.sleep(pause)
            for host in hosts:
                host.start()

    async def disturb(self, host, kind, pause):
        if kind.endswith("pause"):
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(pause)
            host.signal(signal.SIGCONT)
            return
        if kind == "control wipe":
            await self.wipe(host, pause)
            return
        if kind == "entry stop":
            host.signal(signal.SIGTERM)
            while host.is_running():
                await asyncio.sleep(0.1)
        host.kill()
        await asyncio.sleep(pause)
        host.start()

    async def wipe(self, host, pause):
        # One disk may be lost at a time, and only while the others hold everything: they run and are in touch.
        others = [other for other in self.fleet.controls if other is not host]
        if self.wiping or any(not other.is_running() or other.paused for other in others):
            return
        self.wiping = True
        host.kill()
        host.wipe()
        await asyncio.sleep(pause)
        host.start()
        deadline = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < deadline and not await self.operator.check_read():
            await asyncio.sleep(0.2)
        await asyncio.sleep(4)
        self.wiping = False

    async def end_target(self, crash):
        victims = [target for target in self.targets if target.alive and target.state == "ready"]
        victim = self.rng.choice(victims)
        await self.add_target(victim.service)
        if crash:
            victim.crash()
            return
        await victim.drain()
        await asyncio.sleep(4)
        await victim.leave()

    async def run_faults(self, seconds):
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.inject()))
            await asyncio.sleep(self.rng.choice((0.1, 0.5, 1.0, 2.5)))
        await asyncio.gather(*tasks)

    async def check_recovery(self):
        """After the last fault: reads and requests work again."""
        deadline = time.monotonic() + RECOVERY_SECONDS
        while time.monotonic() < deadline:
            if await self.operator.check_read() and len(self.ready) == len(self.fleet.entries):
                break
            await asyncio.sleep(0.2)
        else:
            self.journal.fault("not well again in time after the last fault", f"ready: {sorted(self.ready)}")
        served = self.journal.counts["requests served"]
        await asyncio.sleep(3)
        if self.journal.counts["requests served"] - served < 50:
            self.journal.fault("hardly any request is served after the last fault", str(dict(self.journal.counts)))

    async def run(self):
        self.wiping = False
        self.fleet.start()
        try:
            await self.client.start()
            for service in ("orders",) * 5 + ("manifests",) * 3:
                await self.add_target(service)
            if not await self.operator.change(tries=60):
                self.journal.fault("the first change was not acknowledged", "")
            background = [asyncio.create_task(self.probe_readiness())]
            await asyncio.sleep(2)
            background += [asyncio.create_task(self.run_client(i)) for i in range(12)]
            background.append(asyncio.create_task(self.run_operator()))
            end = time.monotonic() + self.arguments.seconds
            evacuations = asyncio.create_task(self.evacuator.run(lambda: time.monotonic() >= end))
            restarts = asyncio.create_task(self.restarter.run(lambda: time.monotonic() >= end))
            await self.run_faults(self.arguments.seconds)
            await asyncio.gather(evacuations, restarts)
            await self.check_recovery()
            self.stopping = True
            await asyncio.gather(*background)
        finally:
            self.fleet.stop()
            for target in self.targets:
                if target.alive:
                    target.crash()
        summary = {"seed": self.arguments.seed, "seconds": self.arguments.seconds, "broken": len(self.journal.faults),
                   "counts": dict(sorted(self.journal.counts.items()))}
        print(json.dumps(summary))
        return 1 if self.journal.faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("binaries")
    parser.add_argument("folder")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--controls", type=int, default=4)
    parser.add_argument("--entries", type=int, default=4)
    parser.add_argument("--net", type=int, default=0, help="second byte of the addresses; 0 takes one by process number")
    sys.exit(asyncio.run(Soak(parser.parse_args()).run()))


if __name__ == "__main__":
    main()
