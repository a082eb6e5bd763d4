"""A small deployment on loopback: the project's own programs as processes, started with the commands of the deploy file.

Only processes that are started here are ever signalled. Every address is in 127.0.0.0/8, every file in a temporary
folder that is removed at the end.
"""
import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the small sites (ccawa-edge and pcrec-entries have the same ones).
STABLE_WINDOW_S = 4.0
CATCH_UP_S = 4.0
RECOVER_S = 12.0
DRAIN_S = 3.0
HEARTBEAT_S = 1.2
RESTART_DELAY_S = 0.5


class Record:
    """Writes what was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
        self.file.flush()


def _is_free(address, port, kind):
    with socket.socket(socket.AF_INET, kind) as probe:
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Host:
    """One program on a machine of its own, that is on a loopback address of its own."""

    def __init__(self, name, command, settings, folder):
        self.name, self.command, self.settings, self.folder = name, command, settings, folder
        self.process = None

    def start(self):
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        words = [str(path) if word.startswith("/etc/") else word for word in shlex.split(self.command)]
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def send(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def lose_disk(self):
        """The process has been killed; it comes back with an empty folder."""
        shutil.rmtree(self.settings["data_folder"], ignore_errors=True)
        os.mkdir(self.settings["data_folder"])


class Deployment:
    """Control hosts and entry hosts in the zones a, b and c."""

    ZONES = ("a", "b", "c")

    def __init__(self, record, entry_count=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="bergamot-review-"))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {role: roles[role]["run"] for role in ("directory", "entry")}
        for command in self.commands.values():
            if not (ROOT / shlex.split(command)[0]).exists():
                raise FileNotFoundError(f"{shlex.split(command)[0]} is not built")
        self._choose_addresses()
        self.controls = []
        self.entries = []
        self.seeds = [f"{self.address(1, i)}:{self.operator_port}" for i in range(3)]
        for i in range(3):
            self.add_control(self.ZONES[i], bootstrap=True)
        for i in range(entry_count):
            self._add_entry(self.ZONES[i % 3])

    def _choose_addresses(self):
        for _ in range(50):
            self.net = random.randrange(100, 250)
            first = random.randrange(20000, 30000)
            self.internal_port, self.operator_port, self.packet_port, self.ready_port, self.target_port = range(
                first, first + 5)
            addresses = [self.address(group, i) for group in (1, 2, 3, 9) for i in range(6)]
            if all(_is_free(address, port, kind) for address in addresses for port in range(first, first + 5)
                   for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
                return
        raise OSError("no free ports")

    def address(self, group, number):
        return f"127.{self.net}.{group}.{number + 1}"

    def _common(self, name, zone, address):
        return {"host": name, "data_centre": zone, "address": address, "internal_port": self.internal_port,
                "seeds": self.seeds, "target_heartbeat_ms": int(HEARTBEAT_S * 1000), "log": {"file": "-"}}

    def add_control(self, zone, bootstrap=False):
        """Makes a control host at a new address with an empty disk; the caller starts it."""
        number = len(self.controls)
        name, address = f"control-{number + 1}", self.address(1, number)
        disk = self.folder / f"disk-{number + 1}"
        disk.mkdir()
        settings = {**self._common(name, zone, address), "operator_listen": f"{address}:{self.operator_port}",
                    "data_folder": str(disk), "data_centres": list(self.ZONES), "bootstrap": bootstrap,
                    "metrics_port": 0}
        self.controls.append(Host(name, self.commands["directory"], settings, self.folder))
        return self.controls[-1]

    def _add_entry(self, zone):
        number = len(self.entries)
        name, address = f"entry-{number + 1}", self.address(2, number)
        settings = {**self._common(name, zone, address), "packet_listen": f"{address}:{self.packet_port}",
                    "readiness_listen": f"{address}:{self.ready_port}", "grace_seconds": 6,
                    "longest_flow_seconds": 60, "link_mbps": 1000.0, "metrics_port": 0}
        self.entries.append(Host(name, self.commands["entry"], settings, self.folder))

    def operators(self):
        """The operator's list: all control hosts that have been started."""
        return [host.settings["operator_listen"] for host in self.controls if host.process is not None]

    def start(self):
        for host in self.controls + self.entries:
            host.start()

    def stop(self):
        for host in self.controls + self.entries:
            host.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, case):
    """Runs case(record) and ends the process with its verdict."""
    record = Record(folder)
    record("disruption on" if TROUBLE else "disruption off (TROUBLE=0)")
    try:
        verdict = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as error:  # A case that cannot run must not look like one that held.
        record(f"could not run: {type(error).__name__}: {error}")
        verdict = COULD_NOT_RUN
    record(f"exit status {verdict}")
    sys.exit(verdict)
