"""Another writer than the targets, whose heartbeats to the same path cannot be read."""
import asyncio
import json

from deployment import HEARTBEAT_S
from operator_calls import make_request, read_response

# No UTF-8, so the body is no JSON text.
UNREADABLE = b"\xff\xfe"


async def send_unreadable_heartbeats(endpoints, ident, address, record):
    """Sends a heartbeat to each control host, one each heartbeat interval."""
    for sequence, endpoint in enumerate(endpoints, 1):
        body = json.dumps({"Service": "other", "Addr": address, "Zone": "a", "Version": "VERSION", "Slots": 1,
                           "State": "ready", "ColdLeftMs": 0, "Seq": sequence, "born": 1}).encode()
        body = body.replace(b"VERSION", UNREADABLE)
        host, port = endpoint.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(make_request(endpoint, "PUT", f"/v1/targets/{ident}", body))
        status, _, _ = await asyncio.wait_for(read_response(reader), 1)
        writer.close()
        record(f"other writer: a heartbeat that cannot be read, at {endpoint}: {status}")
        await asyncio.sleep(HEARTBEAT_S)
