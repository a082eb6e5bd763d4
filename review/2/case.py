"""Another writer sends heartbeats that cannot be read; then a target drains and a route is dropped."""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import (BROKEN, COULD_NOT_RUN, DRAIN_S, HELD, STABLE_WINDOW_S, TROUBLE, Deployment,  # noqa: E402
                        run_case)
from flows import Client, Target, wait_until_ready  # noqa: E402
from operator_calls import Operator  # noqa: E402
from other_writer import send_unreadable_heartbeats  # noqa: E402

PORT = 443
TARGETS = 3
# New flows are opened for this long after DrainMs; the target goes on serving a little longer than DrainMs.
WATCHED_S = 4.0


async def open_for(client, seconds):
    """Opens a flow each 20 ms and sends one request on it; returns the numbers of the targets that took them."""
    taken = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        flow = await client.open(PORT)
        if flow:
            await flow.ask(f"request {client.next_port}")
            taken.append(flow.echo)
            flow.close()
        await asyncio.sleep(0.02)
    return taken


async def case(record):
    deployment = Deployment(record, entry_count=3)
    operator = Operator(deployment, record)
    targets = []
    try:
        deployment.start()
        if not await operator.put(1, 20):
            return COULD_NOT_RUN
        for i in range(TARGETS):
            controls = deployment.operators()
            # Each target calls the control host of its zone first and stays with it while it answers.
            controls = controls[i % 3:] + controls[:i % 3]
            target = Target(f"i-7f3a91c{i}", "orders", f"{deployment.address(3, i)}:{deployment.target_port}",
                            "abc"[i % 3], controls, deployment.packet_port, record)
            targets.append(target)
            await target.start()
        leaving = targets[0]
        client = Client(deployment, record)
        await client.start()
        await wait_until_ready(deployment, record)
        await asyncio.sleep(STABLE_WINDOW_S + 2.0)
        if TROUBLE:
            await send_unreadable_heartbeats(deployment.operators(), "i-0badc0de",
                                             f"{deployment.address(3, 5)}:{deployment.target_port}", record)
        await asyncio.sleep(STABLE_WINDOW_S + 2.0)
        before = await open_for(client, 1.0)
        record(f"client: {before.count(leaving.number)} of {len(before)} new flows at {leaving.ident} before it drains")
        if not before.count(leaving.number) or not await leaving.drain():
            return COULD_NOT_RUN
        acknowledged = time.monotonic()
        await asyncio.sleep(DRAIN_S + 0.5)
        late = (await open_for(client, WATCHED_S)).count(leaving.number)
        record(f"client: {late} new flows were opened at {leaving.ident} and sent a request between {DRAIN_S + 0.5:g} "
               f"and {time.monotonic() - acknowledged:.1f} s after the acknowledgement of its drain")
        return BROKEN if late else HELD
    finally:
        for target in targets:
            target.end()
        deployment.stop()


if __name__ == "__main__":
    run_case(FOLDER, case)
