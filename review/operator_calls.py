"""The operator: sends configurations and reads them back as PROTOCOL.md says."""
import asyncio
import json
import time

CALL_TIMEOUT_S = 1.0
SERVICES = ("orders", "manifests")
SERVICE_ADDRESS = "127.18.0.1"


def make_config(version):
    """Two routes, one for each service."""
    routes = [{"Name": f"r-{port}", "Host": SERVICE_ADDRESS, "PathPrefix": f"/{port}/", "Kind": kind,
               "TimeoutMs": 3000, "SloMs": 200, "Priority": 1, "Service": service, "MaxAttempts": 2}
              for port, kind, service in ((443, "unsafe", "orders"), (8080, "safe", "manifests"))]
    services = [{"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": False}
                for name in SERVICES]
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    return {"Version": version, "Routes": routes, "Services": services, "Limits": limits}


def make_request(endpoint, method, path, body=b"", close=True):
    head = f"{method} {path} HTTP/1.1\r\nHost: {endpoint}\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    if close:
        head += "Connection: close\r\n"
    return head.encode() + b"\r\n" + body


async def read_response(reader):
    """Returns (status, headers, body)."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    headers = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(head.split(" ", 2)[1]), headers, body


async def _call(endpoint, method, path, body, redirects):
    host, port = endpoint.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(make_request(endpoint, method, path, body))
        status, headers, answer = await read_response(reader)
    finally:
        writer.close()
    if status == 307 and redirects > 0:
        place, _, rest = headers["location"].removeprefix("http://").partition("/")
        return await _call(place, method, "/" + rest, body, redirects - 1)
    return status, answer


async def call(endpoint, method, path, body=b""):
    """Returns (status, body); status 0 means that no clear answer came within a second."""
    try:
        return await asyncio.wait_for(_call(endpoint, method, path, body, 2), CALL_TIMEOUT_S)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""


class Operator:
    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    async def _try_all(self, method, body, limit_s):
        """Asks one daemon after the other, again and again; returns the first clear answer's body, or None."""
        end = time.monotonic() + limit_s
        last = {}
        while time.monotonic() < end:
            for endpoint in self.deployment.operators():
                status, answer = await call(endpoint, method, "/v1/config", body)
                if status == 200:
                    return answer
                if last.get(endpoint) != status:
                    self.record(f"operator: {method} at {endpoint}: {status or 'no answer'} {answer.decode()[:90]}")
                    last[endpoint] = status
            await asyncio.sleep(0.2)
        return None

    async def put(self, version, limit_s):
        """Returns whether the version was acknowledged within the time."""
        self.record(f"operator: sends version {version}")
        body = json.dumps(make_config(version)).encode()
        answer = await self._try_all("PUT", body, limit_s)
        self.record(f"operator: version {version} " + ("acknowledged" if answer is not None else
                                                       f"not acknowledged within {limit_s:g} s"))
        return answer is not None

    async def read(self, limit_s):
        """Returns the version that is read back within the time, or None."""
        answer = await self._try_all("GET", b"", limit_s)
        version = None if answer is None else json.loads(answer)["Version"]
        self.record("operator: reads back " + (f"version {version}" if version is not None else
                                               f"nothing within {limit_s:g} s"))
        return version
