"""Starts three control hosts on loopback and talks to them as an operator does."""

import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

TOKEN = "test-token"


def free_ports(count):
    """Returns free loopback ports. All sockets stay open until the last port is known."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class ControlHost:
    def __init__(self, binary, folder, name, rpc_port, http_port, members, **extra):
        self.binary = binary
        self.name = name
        self.folder = os.path.join(folder, name)
        self.rpc = f"127.0.0.1:{rpc_port}"
        self.url = f"http://127.0.0.1:{http_port}"
        self.process = None
        os.makedirs(self.folder, exist_ok=True)
        token_file = os.path.join(self.folder, "token")
        with open(token_file, "w") as out:
            out.write(TOKEN + "\n")
        self.settings_file = os.path.join(self.folder, "settings.json")
        self.log_file = os.path.join(self.folder, "log.txt")
        self.data = os.path.join(self.folder, "data")
        settings = {
            "host": name, "data_centre": "dc-" + name, "rpc_listen": self.rpc,
            "operators": {"listen": f"127.0.0.1:{http_port}", "token_file": token_file},
            "data_folder": self.data, "initial_members": members, "log": {"file": self.log_file},
        }
        settings.update(extra)
        with open(self.settings_file, "w") as out:
            json.dump(settings, out)

    def start(self, wrapper=()):
        command = list(wrapper) + [self.binary, "--settings", self.settings_file]
        self.process = subprocess.Popen(command)

    def stop(self, number=signal.SIGTERM):
        self.process.send_signal(number)
        return self.process.wait(timeout=10)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def request(self, path, body=None, token=TOKEN, timeout=10):
        """Returns status, headers and text; status 0 if the host cannot be reached."""
        data = None if body is None else json.dumps(body).encode()
        call = urllib.request.Request(self.url + path, data=data, headers={"Authorization": "Bearer " + token})
        try:
            with urllib.request.urlopen(call, timeout=timeout) as answer:
                return answer.status, answer.headers, answer.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, error.headers, error.read().decode()
        except (urllib.error.URLError, OSError):
            return 0, {}, ""

    def get(self, path):
        status, _, text = self.request(path)
        return json.loads(text) if status == 200 else None

    def state(self):
        return self.get("/v1/state")

    def configuration(self):
        return self.get("/v1/configuration?stale=1")

    def log_text(self):
        with open(self.log_file) as text:
            return text.read()


def make_hosts(binaries, folder, count=3, **extra):
    ports = free_ports(2 * count)
    names = [f"control-{chr(ord('a') + i)}" for i in range(count)]
    members = [{"host": name, "rpc_endpoint": f"127.0.0.1:{ports[i]}"} for i, name in enumerate(names)]
    binary = os.path.join(binaries, "bergamot-control")
    return [ControlHost(binary, folder, name, ports[i], ports[count + i], members, **extra)
            for i, name in enumerate(names)]


def wait_for(check, what, seconds=15):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        result = check()
        if result:
            return result
        time.sleep(0.05)
    raise SystemExit(f"no {what} within {seconds} s")


def find_leader(hosts):
    for host in hosts:
        state = host.state() if host.is_running() else None
        if state and state["role"] == "leader" and state["lease_valid"]:
            return host
    return None


def wait_for_leader(hosts):
    return wait_for(lambda: find_leader(hosts), "leader")


def command(request_id, *changes, **extra):
    return {"request_id": request_id, "changes": list(changes), **extra}


def add_service(name, address, port=443):
    return {"add_service": {"name": name, "address": address, "ports": [port]}}


def weight(service, address, percent):
    return {"set_backend": {"service": service, "address": address, "weight_percent": percent}}


def submit(hosts, body, seconds=20):
    """Sends a command to one host after another until one of them decides it."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for host in hosts:
            status, _, text = host.request("/v1/command", body, timeout=5) if host.is_running() else (0, {}, "")
            if status in (200, 400, 409):
                return status, json.loads(text)
        time.sleep(0.05)
    raise SystemExit(f"no decision for {body['request_id']} within {seconds} s")


def expect(actual, wanted, what):
    if actual != wanted:
        raise SystemExit(f"{what}: expected {wanted!r}, got {actual!r}")
