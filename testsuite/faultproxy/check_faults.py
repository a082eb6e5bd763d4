"""Sends traffic to the echo server through the fault proxy and checks each kind of fault."""
import socket
import sys
import time
import urllib.error
import urllib.request

control, tcp_port, udp_port = (int(argument) for argument in sys.argv[1:])
quiet = 0.3


def post(path):
    urllib.request.urlopen(urllib.request.Request(f"http://127.0.0.1:{control}/{path}", method="POST"), timeout=5).read()


def connect():
    stream = socket.create_connection(("127.0.0.1", tcp_port), timeout=5)
    return stream


def receive(stream, size):
    data = b""
    while len(data) < size and (part := stream.recv(65536)):
        data += part
    return data


def is_silent(stream):
    stream.settimeout(quiet)
    try:
        stream.recv(1)
        return False
    except TimeoutError:
        return True
    finally:
        stream.settimeout(5)


def check(condition, text):
    if not condition:
        sys.exit("fault proxy: " + text)


def echo(stream, data=b"ping"):
    stream.sendall(data)
    return receive(stream, len(data)) == data


def datagrams(count):
    """Sends numbered datagrams and returns those that come back, in the order of their arrival."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
        udp.settimeout(quiet)
        for i in range(count):
            udp.sendto(str(i).encode(), ("127.0.0.1", udp_port))
        arrived = []
        try:
            while True:
                arrived.append(int(udp.recv(64)))
        except TimeoutError:
            return arrived


# Healthy traffic passes unchanged, a large stream and the end of a stream as well.
with connect() as stream:
    large = bytes(range(256)) * 4096
    stream.sendall(b"x")
    check(receive(stream, 1) == b"x", "a byte does not come back")
    check(echo(stream, large[:65536]), "a large message is altered")
    stream.shutdown(socket.SHUT_WR)
    check(stream.recv(1) == b"", "the end of a stream does not pass")
check(datagrams(50) == list(range(50)), "healthy datagrams are altered")

# Delay counts in both directions.
post("faults?delay_ms=100")
with connect() as stream:
    start = time.monotonic()
    check(echo(stream), "a delayed message does not come back")
    check(time.monotonic() - start >= 0.2, "a message is not delayed")
post("faults?delay_ms=0")

# One direction is cut: nothing comes back, and what was held passes after the repair.
with connect() as stream:
    check(echo(stream), "a message does not come back")
    post("faults?cut=down")
    stream.sendall(b"held")
    check(is_silent(stream), "a cut direction passes data")
    post("faults?cut=none")
    check(receive(stream, 4) == b"held", "held data is lost")

# Open connections go silent for good while new ones work.
with connect() as old, connect() as new:
    check(echo(old), "a message does not come back")
    post("freeze")
    old.sendall(b"lost")
    check(is_silent(old), "a frozen connection passes data")
    with connect() as later:
        check(echo(later), "a new connection does not work after a freeze")

# A connection ends in the middle of a message.
post("cut_after?bytes=10")
with connect() as stream:
    stream.sendall(b"0123456789abcdef")
    received = b""
    try:
        received = receive(stream, 16)
    except ConnectionError:
        pass
    check(len(received) <= 10, "a connection passes more than it should before its cut")
with connect() as stream:
    check(echo(stream), "only one connection should be cut")

# Datagrams: loss, duplicates and another order.
post("faults?loss=0.2")
count = len(datagrams(200))
check(80 <= count <= 180, f"loss of 0.2 in both directions lets {count} of 200 pass")
post("faults?loss=0&duplicate=0.5")
check(len(datagrams(100)) > 100, "no datagram is duplicated")
post("faults?duplicate=0&reorder=0.3")
arrived = datagrams(100)
check(sorted(arrived) == list(range(100)), "reordering loses datagrams")
check(arrived != sorted(arrived), "no datagram is reordered")
post("faults?reorder=0")
try:
    post("faults?lost=1")
    check(False, "an unknown fault is accepted")
except urllib.error.HTTPError as error:
    check(error.code == 400, "an unknown fault is not refused with 400")
