"""Targets and clients of a small deployment, as PROTOCOL.md describes them: packets, flows and heartbeats."""
import http.server
import json
import random
import socket
import struct
import threading
import time
import zlib

from small_site_2 import CONTROL_PORT, PACKET_PORT, READY_PORT

SYN, ACK, FIN, RST = 2, 1, 4, 64
HEAD = struct.Struct(">IIIH4sHH4sBBI")
SYN_COPIES_S, OPEN_LIMIT_S = (0.2, 0.6), 1.4
RESEND_S, MAX_RESEND_S = 0.2, 1.6


def pack(seq, ack, echo, src, sport, dst, dport, flags, data=b"", checksum=0x5EED5EED):
    return HEAD.pack(seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, echo, len(data), socket.inet_aton(dst), sport, dport,
                     socket.inet_aton(src), flags, 0, checksum) + data


class Packet:
    def __init__(self, raw):
        (self.seq, self.ack, self.echo, length, dst, self.sport, self.dport, src, self.flags, _, self.sum) = \
            HEAD.unpack_from(raw)
        self.src, self.dst = socket.inet_ntoa(src), socket.inet_ntoa(dst)
        self.data = raw[HEAD.size:HEAD.size + length]

    def flow(self):
        return self.src, self.sport, self.dst, self.dport


class Health(http.server.BaseHTTPRequestHandler):
    def do_GET(self):
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


class Target:
    """A target of one service: health over TCP and flows over UDP at one address, and heartbeats."""

    def __init__(self, site, number, service, ip, port=8080, zone="zone-a", beat_s=1.0, work_s=0.02, born=None):
        self.site, self.number, self.service, self.ip, self.port = site, number, service, ip, port
        self.id, self.zone, self.beat_s, self.work_s = f"i-{number:08x}", zone, beat_s, work_s
        self.born = born or int(time.time() * 1000)
        self.state, self.sequence, self.running = "ready", 0, True
        self.flows, self.foreign, self.runs, self.resets = {}, 0, {}, 0
        self.lock = threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, port))
        self.socket.settimeout(0.2)
        self.health = http.server.ThreadingHTTPServer((ip, port), Health)
        self.health.daemon_threads = True
        for work in (self.health.serve_forever, self._receive, self._beat):
            threading.Thread(target=work, daemon=True).start()

    def beat(self, timeout=1.0):
        """@return whether a control host has acknowledged the heartbeat."""
        for machine in random.sample(self.site.controls, len(self.site.controls)):
            self.sequence += 1
            body = json.dumps({"Service": self.service, "Addr": f"{self.ip}:{self.port}", "Zone": self.zone,
                               "Version": "v1", "Slots": 2, "State": self.state, "ColdLeftMs": 0, "Seq": self.sequence,
                               "born": self.born})
            status, _, _ = self.site.call(machine.ip, "PUT", f"/v1/targets/{self.id}", body, timeout, source=self.ip)
            if status == 200:
                return machine
        return None

    def _beat(self):
        while self.running:
            self.beat()
            time.sleep(self.beat_s)

    def drain(self):
        self.state = "draining"
        return self.beat()

    def leave(self):
        for machine in random.sample(self.site.controls, len(self.site.controls)):
            status, _, _ = self.site.call(machine.ip, "DELETE", f"/v1/targets/{self.id}", source=self.ip)
            if status == 200:
                return machine
        return None

    def close(self):
        self.running = False
        self.health.shutdown()
        self.health.server_close()
        time.sleep(0.25)
        self.socket.close()

    def _receive(self):
        while self.running:
            try:
                raw, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            if len(raw) < 8 + HEAD.size:
                continue
            intended = int.from_bytes(raw[:8], "big")
            if intended not in (0, self.number):
                self.foreign += 1
                continue
            self._handle(Packet(raw[8:]))

    def _send(self, packet, seq, ack, flags, data=b""):
        raw = pack(seq, ack, packet.echo, packet.dst, packet.dport, packet.src, packet.sport, flags, data)
        try:
            self.socket.sendto(raw, (packet.src, PACKET_PORT))
        except OSError:
            pass

    def _handle(self, packet):
        key = packet.flow()
        with self.lock:
            flow = self.flows.get(key)
            if packet.flags & SYN:
                if flow is None or flow["open"]:
                    flow = self.flows[key] = {"seq": random.getrandbits(32), "next": packet.seq + 1, "open": False,
                                              "answers": {}}
                self._send(packet, flow["seq"], packet.seq + 1, SYN | ACK)
                return
            if packet.flags & RST:
                self.flows.pop(key, None)
                return
            if flow is None or (not flow["open"] and packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF):
                self.resets += 1
                self._send(packet, packet.ack, packet.seq, RST)
                return
            flow["open"] = True
            if packet.flags & FIN:
                self._send(packet, packet.ack, packet.seq + 1, FIN | ACK)
                return
            if not packet.data:
                return
            known = flow["answers"].get(packet.seq)
            if known is None:
                request = packet.data.decode()
                self.runs[request] = self.runs.get(request, 0) + 1
                self.site.record.write(f"target {self.id} runs {request}")
                known = flow["answers"][packet.seq] = (packet.ack, f"{request} done by {self.id}".encode())
                time.sleep(self.work_s)
            self._send(packet, known[0], packet.seq + len(packet.data), ACK, known[1])


class Client:
    """One address with many flows. The router picks among the entry hosts that answer readiness checks."""

    def __init__(self, site, ip):
        self.site, self.ip, self.flows, self.port = site, ip, {}, 20000
        self.ready = {machine.name: 0 for machine in site.entries}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, PACKET_PORT))
        self.socket.settimeout(0.2)
        threading.Thread(target=self._receive, daemon=True).start()
        for machine in site.entries:
            threading.Thread(target=self._check, args=(machine,), daemon=True).start()

    def _check(self, machine):
        """Out of rotation after two misses, in again with a 200."""
        while not self.site.stopping:
            status, _, _ = self.site.call(machine.ip, "GET", "/v1/readiness", timeout=0.5, port=READY_PORT)
            self.ready[machine.name] = 2 if status == 200 else max(0, self.ready[machine.name] - 1)
            time.sleep(0.5)

    def route(self, key):
        machines = [machine for machine in self.site.entries if self.ready[machine.name]]
        if len(machines) * 2 < len(self.site.entries):
            machines = self.site.entries
        return machines[zlib.crc32(repr(key).encode()) % len(machines)]

    def open(self, host, port):
        with threading.Lock():
            self.port += 1
            flow = Flow(self, host, port, self.port)
            self.flows[(host, port, flow.sport)] = flow
        flow.connect()
        return flow

    def _receive(self):
        while not self.site.stopping:
            try:
                raw, sender = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            packet = Packet(raw)
            flow = self.flows.get((packet.src, packet.sport, packet.dport))
            if flow:
                flow.receive(packet, sender)


class Flow:
    def __init__(self, client, host, port, sport):
        self.client, self.host, self.port, self.sport = client, host, port, sport
        self.seq, self.peer, self.echo = random.getrandbits(31), 0, 0
        self.opened, self.resets, self.answer = False, [], None
        self.target, self.event = None, threading.Event()

    def name(self):
        return f"{self.client.ip}:{self.sport}>{self.host}:{self.port}"

    def send(self, seq, ack, flags, data=b""):
        machine = self.client.route((self.client.ip, self.sport, self.host, self.port))
        self.client.socket.sendto(
            pack(seq, ack, self.echo, self.client.ip, self.sport, self.host, self.port, flags, data),
            (machine.ip, PACKET_PORT))

    def connect(self):
        begin = time.monotonic()
        for copy, wait in enumerate((SYN_COPIES_S[0], SYN_COPIES_S[1] - SYN_COPIES_S[0], OPEN_LIMIT_S - SYN_COPIES_S[1])):
            self.send(self.seq, copy, SYN)
            if self.event.wait(wait):
                break
        if self.opened:
            self.send(self.seq + 1, self.peer, ACK)
            self.seq += 1
        self.client.site.record.write(f"flow {self.name()} {'opened at ' + self.target if self.opened else 'did not open'}"
                                      f" after {time.monotonic() - begin:.3f} s")
        return self.opened

    def receive(self, packet, sender):
        if packet.flags & RST:
            own = packet.sum == 0 and not packet.data
            self.resets.append((time.monotonic(), own, sender[0]))
            self.client.site.record.write(f"flow {self.name()} {'open' if self.opened else 'opening'}: reset "
                                          f"{'of the system' if own else 'of a target'} from {sender[0]}")
            self.event.set()
            return
        if packet.flags & SYN:
            if not self.opened and not self.resets:
                self.opened, self.peer, self.echo, self.target = True, (packet.seq + 1) & 0xFFFFFFFF, packet.echo, sender[0]
                self.event.set()
            return
        self.echo = packet.echo
        if packet.data:
            self.answer = packet.data.decode()
            self.peer = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            self.event.set()

    def request(self, text, deadline_s=3.0):
        """@return the answer, or None after the deadline or a reset."""
        data, end, wait = text.encode(), time.monotonic() + deadline_s, RESEND_S
        self.answer = None
        self.event.clear()
        while time.monotonic() < end and not self.resets and self.answer is None:
            self.send(self.seq, self.peer, ACK, data)
            self.event.wait(min(wait, max(0.0, end - time.monotonic())))
            wait = min(MAX_RESEND_S, wait * 2)
        self.seq += len(data)
        self.client.site.record.write(f"flow {self.name()} {text} -> {self.answer!r}")
        if self.answer is not None:
            self.send(self.seq, self.peer, ACK)
        return self.answer
