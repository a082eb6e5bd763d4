"""A small deployment on loopback: the project's two daemons as processes, and an operator that follows the pages."""
import http.client
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import threading
import time

REPOSITORY = pathlib.Path(__file__).resolve().parents[1]
CONTROL_PORT, READY_PORT, PACKET_PORT, INTERNAL_PORT, METRICS_PORT = 8166, 8167, 8172, 7720, 9464
RESTART_DELAY_S = 0.5
ZONES = ["zone-a", "zone-b", "zone-c", "zone-d"]


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")
            self.file.flush()


class Machine:
    """One machine with one process. A supervisor starts the process again after it has ended."""

    def __init__(self, site, name, program, settings):
        self.site, self.name, self.program, self.settings = site, name, program, settings
        self.ip = settings["address"]
        self.process = None
        self.exits = []  # (time, status) of ends that the test didn't cause
        self.wanted = False
        self.path = site.folder / f"{name}.json"

    def write_settings(self):
        self.path.write_text(json.dumps(self.settings), encoding="utf-8")

    def start(self):
        self.write_settings()
        log = open(self.site.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen([str(REPOSITORY / "target/bin" / self.program), "--settings", str(self.path)],
                                        cwd=REPOSITORY, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env={k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ})
        log.close()
        # Not earlier, or the supervisor would see the former process as one that has ended by itself.
        self.wanted = True
        self.site.record.write(f"start {self.name} at {self.ip}")

    def signal(self, number):
        self.site.record.write(f"signal {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.wanted = False
        self.signal(signal.SIGKILL)
        self.process.wait()


class Site:
    def __init__(self, case_folder, controls=3, entries=2, beat_ms=1000):
        self.record = Record(case_folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bergamot-review-"))
        pid = os.getpid()
        self.net = f"127.{64 + (pid // 250) % 128}.{1 + pid % 250}"
        self.controls, self.entries, self.stopping, self.supervisor = [], [], False, None
        control_ips = [f"{self.net}.{20 + i}" for i in range(controls)]
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in control_ips[:3]]
        common = {"internal_port": INTERNAL_PORT, "seeds": self.seeds, "target_heartbeat_ms": beat_ms,
                  "metrics_port": METRICS_PORT, "log": {"file": "-"}}
        for i, ip in enumerate(control_ips):
            data = self.folder / f"control-{i}"
            data.mkdir()
            self.controls.append(Machine(self, f"control-{i}", "bergamot-directory", common | {
                "host": f"control-{i}", "data_centre": ZONES[i % 4], "address": ip,
                "operator_listen": f"{ip}:{CONTROL_PORT}", "data_folder": str(data), "data_centres": ZONES,
                "bootstrap": True}))
        for i in range(entries):
            ip = f"{self.net}.{40 + i}"
            self.entries.append(Machine(self, f"entry-{i}", "bergamot-entry", common | {
                "host": f"entry-{i}", "data_centre": ZONES[i % 4], "address": ip,
                "packet_listen": f"{ip}:{PACKET_PORT}", "readiness_listen": f"{ip}:{READY_PORT}",
                "grace_seconds": 6, "longest_flow_seconds": 60, "link_mbps": 1000.0}))

    def machines(self):
        return self.controls + self.entries

    def start(self):
        for machine in self.machines():
            machine.start()
        for machine in self.controls:
            # Bootstrap is true only when the whole system starts for the first time.
            machine.settings["bootstrap"] = False
        self.supervisor = threading.Thread(target=self._supervise, daemon=True)
        self.supervisor.start()

    def _supervise(self):
        while not self.stopping:
            for machine in self.machines():
                if not machine.wanted or machine.process.poll() is None:
                    continue
                ended, status = machine.process, machine.process.returncode
                machine.exits.append((time.monotonic(), status))
                self.record.write(f"ENDED BY ITSELF {machine.name} status {status}")
                time.sleep(RESTART_DELAY_S)
                if not self.stopping and machine.wanted and machine.process is ended:
                    machine.start()
            time.sleep(0.02)

    def stop(self):
        self.stopping = True
        if self.supervisor:
            self.supervisor.join()
        for machine in self.machines():
            machine.wanted = False
            if machine.process and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines():
            if machine.process:
                machine.process.wait()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    # The operator.

    def call(self, ip, method, path, body=None, timeout=1.0, port=CONTROL_PORT, source=None):
        connection = http.client.HTTPConnection(ip, port, timeout=timeout,
                                                source_address=(source, 0) if source else None)
        try:
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, path, body, headers)
            response = connection.getresponse()
            return response.status, response.read(), response.getheader("Location")
        except (OSError, http.client.HTTPException) as error:
            return 0, repr(error).encode(), None
        finally:
            connection.close()

    def follow(self, ip, method, path, body=None, timeout=1.0):
        """One attempt, which follows a 307 twice."""
        port = CONTROL_PORT
        for _ in range(3):
            status, answer, location = self.call(ip, method, path, body, timeout, port)
            self.record.write(f"{method} {path} at {ip}:{port} -> {status} {answer[:80]!r} {location or ''}")
            if status != 307:
                break
            ip, port = location.split("/")[2].split(":")
            port = int(port)
        return status, answer

    def operate(self, method, path, body=None, within=20.0, machines=None):
        """Repeats a call at one daemon after the other until it has a clear answer."""
        end, pause, turn = time.monotonic() + within, 0.1, 0
        machines = machines or self.controls
        while time.monotonic() < end:
            status, answer = self.follow(machines[turn % len(machines)].ip, method, path, body)
            if status == 200 or status in (400, 409, 412, 413, 422):
                return status, answer
            turn += 1
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return 0, b""


def document(version, routes, services, idle_ms=15000):
    """@param routes (name, host, port, kind, timeout_ms, service)"""
    return json.dumps({
        "Version": version,
        "Routes": [{"Name": n, "Host": h, "PathPrefix": f"/{p}/", "Kind": k, "TimeoutMs": t, "SloMs": 200,
                    "Priority": 1, "Service": s, "MaxAttempts": 2} for n, h, p, k, t, s in routes],
        "Services": [{"Name": s, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False}
                     for s in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": idle_ms}})
