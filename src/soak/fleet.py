"""The programs of cookie steering as processes on loopback. Only processes started here are ever signalled."""
import asyncio
import json
import shutil
import signal
import subprocess
from pathlib import Path

ZONES = ("a", "b", "c")
INTERNAL_PORT, OPERATOR_PORT, PACKET_PORT, READY_PORT = 17720, 18166, 18172, 18167


class Host:
    """One program with its settings, log and, for control hosts, disk."""

    def __init__(self, program, name, zone, address, settings, folder):
        self.program, self.name, self.zone, self.address, self.folder = program, name, zone, address, folder
        self.settings = {"host": name, "data_centre": zone, "address": address, "internal_port": INTERNAL_PORT,
                         "target_heartbeat_ms": 600, "log": {"file": "-"}, **settings}
        self.log = folder / f"{name}.log"
        self.process = None
        self.paused = False
        # Held by the fault that acts on this host, so that overlapping faults never start it twice.
        self.lock = asyncio.Lock()

    def start(self):
        if self.is_running():
            raise RuntimeError(f"{self.name} runs already")
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        with self.log.open("ab") as log:
            self.process = subprocess.Popen([self.program, "--settings", path], stdout=log, stderr=log)
        self.paused = False

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)
            self.paused = number == signal.SIGSTOP

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def wipe(self):
        """Loses the disk; a control host that comes back then must not form a quorum."""
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)
        self.settings["bootstrap"] = False


class Fleet:
    """Control hosts and entry hosts of one deployment."""

    def __init__(self, binaries, folder, net, control_count=3, entry_count=3):
        self.folder = Path(folder)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.binaries, self.net = binaries, net
        self.operators, self.controls = [], []
        self.seeds = [f"{self._control_address(i)}:{OPERATOR_PORT}" for i in range(min(control_count, 3))]
        for i in range(control_count):
            self.add_control(ZONES[i % len(ZONES)], bootstrap=True)
        self.entries = [
            Host(f"{binaries}/bergamot-entry", f"entry-{i + 1}", ZONES[i % len(ZONES)], f"127.{net}.2.{i + 1}",
                 {"packet_listen": f"127.{net}.2.{i + 1}:{PACKET_PORT}",
                  "readiness_listen": f"127.{net}.2.{i + 1}:{READY_PORT}", "seeds": self.seeds, "grace_seconds": 2},
                 self.folder)
            for i in range(entry_count)]

    def _control_address(self, number):
        return f"127.{self.net}.1.{number + 1}"

    def add_control(self, zone, bootstrap=False):
        """Makes a control host at a new address with an empty disk; the caller starts it."""
        number = len(self.controls)
        address = self._control_address(number)
        self.operators.append(f"{address}:{OPERATOR_PORT}")
        settings = {"operator_listen": self.operators[-1], "data_folder": str(self.folder / f"disk-{number + 1}"),
                    "seeds": self.seeds, "data_centres": list(ZONES), "bootstrap": bootstrap}
        self.controls.append(Host(f"{self.binaries}/bergamot-directory", f"control-{number + 1}", zone, address, settings,
                                  self.folder))
        return self.controls[-1]

    def hosts(self):
        return self.controls + self.entries

    def start(self):
        for host in self.hosts():
            host.start()

    def stop(self):
        for host in self.hosts():
            host.kill()

    def logs(self):
        return [str(host.log) for host in self.hosts()]
