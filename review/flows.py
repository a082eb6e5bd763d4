"""Targets and clients that speak the packets of PROTOCOL.md on loopback, with `RoutingMode` echo."""
import asyncio
import ipaddress
import json
import random
import struct
import time

from deployment import HEARTBEAT_S
from operator_calls import SERVICE_ADDRESS, call

HEADER = struct.Struct(">IIIHIHHIBBI")
ACK, SYN, FIN, RST = 1, 2, 4, 64
# A client repeats its first packet after 200 and 600 ms and gives up after 1.4 s.
FIRST_PACKET_WAITS_S = (0.2, 0.4, 0.8)
# Data is repeated after 200 ms, then after twice the time, up to 1.6 s; a client gives up at its deadline.
DATA_WAITS_S = (0.2, 0.4, 0.8, 1.6)
MASK = 0xFFFFFFFF


def to_number(address):
    return int(ipaddress.IPv4Address(address))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, echo=0, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.echo, self.data = flags, seq & MASK, ack & MASK, echo, data

    def _sum(self):
        fields = (self.src, self.sport, self.dst, self.dport, self.flags, self.seq, self.ack, self.data)
        return hash(fields) & MASK

    def pack(self):
        return HEADER.pack(self.seq, self.ack, self.echo, len(self.data), self.dst, self.sport, self.dport, self.src,
                           self.flags, 0, self._sum()) + self.data

    @staticmethod
    def parse(datagram):
        """Returns the packet and whether it is as its sender wrote it; a reset of the system's own has the sum 0."""
        seq, ack, echo, length, dst, sport, dport, src, flags, _, given = HEADER.unpack_from(datagram)
        packet = Packet(src, sport, dst, dport, flags, seq, ack, echo, datagram[HEADER.size:])
        return packet, length == len(packet.data) and given == packet._sum()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data)


async def _open_datagrams(endpoint, handler):
    host, port = endpoint.rsplit(":", 1)
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: _Datagrams(handler), local_addr=(host, int(port)))
    return transport


class Target:
    """One machine of a service; start() after end() is a new incarnation under the same id."""

    def __init__(self, ident, service, endpoint, zone, controls, client_port, record):
        self.ident, self.service, self.endpoint, self.zone = ident, service, endpoint, zone
        self.number = int(ident.rsplit("-", 1)[1], 16)
        self.controls, self.client_port, self.record = list(controls), client_port, record
        self.opened = self.resets_sent = 0
        self.flows = {}
        self.transport = self.server = self.beats = None

    async def start(self):
        self.born, self.seq, self.state, self.flows = int(time.time() * 1000), 0, "ready", {}
        self.resets_sent = 0
        self.transport = await _open_datagrams(self.endpoint, self._receive)
        host, port = self.endpoint.rsplit(":", 1)
        self.server = await asyncio.start_server(self._answer_health, host, int(port))
        self.record(f"target {self.ident}: started, born {self.born}")
        self.beats = asyncio.create_task(self._send_heartbeats())

    def end(self):
        if self.transport is None:
            return
        self.beats.cancel()
        self.transport.close()
        self.server.close()
        self.transport = None
        self.record(f"target {self.ident}: ended")

    async def _answer_health(self, reader, writer):
        try:
            await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
            status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
            writer.write(f"HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n".encode())
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def _call(self, method, body=b""):
        """Calls one control host after the other until one answers; goes on with that one."""
        for endpoint in list(self.controls):
            status, _ = await call(endpoint, method, f"/v1/targets/{self.ident}", body)
            if 200 <= status < 300:
                return True
            self.record(f"target {self.ident}: {method} at {endpoint}: {status or 'no answer within a second'}")
            self.controls.append(self.controls.pop(0))
        return False

    async def _report(self):
        self.seq += 1
        return await self._call("PUT", json.dumps(
            {"Service": self.service, "Addr": self.endpoint, "Zone": self.zone, "Version": "v1", "Slots": 3,
             "State": self.state, "ColdLeftMs": 0, "Seq": self.seq, "born": self.born}).encode())

    async def _send_heartbeats(self):
        while True:
            await self._report()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain(self):
        self.state = "draining"
        acknowledged = await self._report()
        self.record(f"target {self.ident}: draining, " + ("acknowledged" if acknowledged else "not acknowledged"))
        return acknowledged

    async def leave(self):
        self.beats.cancel()
        self.record(f"target {self.ident}: sends DELETE")
        acknowledged = await self._call("DELETE")
        self.record(f"target {self.ident}: leave " + ("acknowledged" if acknowledged else "not acknowledged"))

    def _receive(self, datagram):
        meant = int.from_bytes(datagram[:8], "big")
        packet, _ = Packet.parse(datagram[8:])
        if meant not in (0, self.number) or packet.flags & RST:
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if packet.flags & SYN:
            seq = self.flows.setdefault(key, random.getrandbits(31))
            self._send(packet, SYN | ACK, seq, packet.seq + 1)
        elif key not in self.flows:
            self.resets_sent += 1
            self._send(packet, RST, packet.ack, 0)
        elif packet.flags & FIN:
            self._send(packet, ACK, packet.ack, packet.seq + 1)
            del self.flows[key]
        elif packet.data:
            self.record(f"target {self.ident}: runs {packet.data.decode()!r} of port {packet.sport}")
            self._send(packet, ACK, packet.ack, packet.seq + len(packet.data), b"done " + packet.data)
        else:
            self.opened += 1

    def _send(self, cause, flags, seq, ack, data=b""):
        packet = Packet(cause.dst, cause.dport, cause.src, cause.sport, flags, seq, ack, self.number & MASK, data)
        self.transport.sendto(packet.pack(), (str(ipaddress.IPv4Address(cause.src)), self.client_port))


class Client:
    """Opens flows; the platform's router hands each packet to a daemon chosen by a hash of the flow."""

    def __init__(self, deployment, record):
        self.record = record
        self.address = deployment.address(9, 0)
        self.packet_port = deployment.packet_port
        self.entries = [host.settings["address"] for host in deployment.entries]
        self.waiting = {}
        self.next_port = 40000
        self.transport = None

    async def start(self):
        self.transport = await _open_datagrams(f"{self.address}:{self.packet_port}", self._receive)

    def _receive(self, datagram):
        packet, is_intact = Packet.parse(datagram)
        if packet.flags & RST:
            origin = "a target" if is_intact else "the system"
            self.record(f"client: port {packet.dport} gets a reset that {origin} sent")
        future = self.waiting.get(packet.dport)
        if future and not future.done():
            future.set_result(packet)

    async def exchange(self, packet, waits):
        """Sends a packet and its copies; returns the answer, or None."""
        for copy, wait in enumerate(waits):
            future = self.waiting[packet.sport] = asyncio.get_running_loop().create_future()
            if packet.flags == SYN:
                packet.ack = copy
            self.send(packet)
            try:
                return await asyncio.wait_for(future, wait)
            except asyncio.TimeoutError:
                continue
        return None

    def send(self, packet):
        entry = self.entries[hash((packet.src, packet.sport, packet.dst, packet.dport)) % len(self.entries)]
        self.transport.sendto(packet.pack(), (entry, self.packet_port))

    async def open(self, port):
        """Returns an open flow, or None."""
        self.next_port += 1
        first = Packet(to_number(self.address), self.next_port, to_number(SERVICE_ADDRESS), port, SYN,
                       random.getrandbits(30))
        answer = await self.exchange(first, FIRST_PACKET_WAITS_S)
        if answer is None or answer.flags & RST:
            return None
        flow = Flow(self, first, answer)
        flow.send(ACK)
        return flow


class Flow:
    def __init__(self, client, first, answer):
        self.client, self.first, self.echo = client, first, answer.echo
        self.seq, self.ack = (first.seq + 1) & MASK, (answer.seq + 1) & MASK
        self.was_reset = False

    def _packet(self, flags, data=b""):
        return Packet(self.first.src, self.first.sport, self.first.dst, self.first.dport, flags, self.seq, self.ack,
                      self.echo, data)

    def send(self, flags):
        self.client.send(self._packet(flags))

    async def ask(self, text):
        """Returns whether the request was served."""
        data = text.encode()
        answer = await self.client.exchange(self._packet(ACK, data), DATA_WAITS_S)
        if answer is None or answer.flags & RST:
            self.was_reset = answer is not None
            return False
        self.seq = (self.seq + len(data)) & MASK
        self.ack = (answer.seq + len(answer.data)) & MASK
        return answer.data == b"done " + data

    def close(self):
        self.send(FIN | ACK)


async def wait_until_ready(deployment, record):
    """The platform's routers use daemons that answer their readiness check."""
    for host in deployment.entries:
        for _ in range(100):
            endpoint = host.settings["readiness_listen"]
            status, _ = await call(endpoint, "GET", "/v1/readiness")
            if status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            raise TimeoutError(f"{host.name} is not ready")
    record("platform: all entry hosts are in rotation")
