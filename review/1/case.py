"""A control host is replaced, all control processes are killed once, and half a minute later one disk is lost."""
import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from deployment import (BROKEN, CATCH_UP_S, COULD_NOT_RUN, HELD, RECOVER_S, RESTART_DELAY_S, TROUBLE,  # noqa: E402
                        Deployment, run_case)
from operator_calls import Operator  # noqa: E402

# The operator reads back for this long after the disk is lost; the pages ask for the answer within RecoverS.
READ_BACK_S = 40.0


async def replace_first(deployment, record):
    """The machine of control-1 is removed for good; its successor starts 1 s later in the same zone."""
    deployment.controls[0].kill()
    record("control-1 is gone for good")
    await asyncio.sleep(1.0)
    successor = deployment.add_control("a")
    successor.start()
    record("control-4 started in its zone, at a new address, with an empty disk")


async def kill_all(deployment, record):
    """All processes of the core are killed at the same moment and are back within a second; disks are preserved."""
    running = [host for host in deployment.controls if host.is_running()]
    for host in running:
        host.kill()
    record("killed: " + ", ".join(host.name for host in running))
    await asyncio.sleep(RESTART_DELAY_S)
    for host in running:
        host.settings["bootstrap"] = False
        host.start()
    record("started again with their disks: " + ", ".join(host.name for host in running))


async def lose_disk(host, record):
    host.kill()
    host.lose_disk()
    record(f"{host.name} lost its disk right after the acknowledgement")
    await asyncio.sleep(1.0)
    host.settings["bootstrap"] = False
    host.start()
    record(f"{host.name} started again at its old address with an empty disk")


async def case(record):
    deployment = Deployment(record)
    operator = Operator(deployment, record)
    try:
        deployment.start()
        if not await operator.put(1, 20):
            return COULD_NOT_RUN
        await asyncio.sleep(8.0)
        if TROUBLE:
            await replace_first(deployment, record)
            await asyncio.sleep(1.0)
            await kill_all(deployment, record)
        if not await operator.put(2, RECOVER_S):
            return COULD_NOT_RUN
        # All machines are back: longer than RecoverS and CatchUpS together, so none counts as lost any more.
        await asyncio.sleep(RECOVER_S + CATCH_UP_S + 2.0)
        if await operator.read(5) != 2 or not await operator.put(3, 5):
            return COULD_NOT_RUN
        if TROUBLE:
            await lose_disk(deployment.controls[2], record)
        version = await operator.read(READ_BACK_S)
        await operator.put(4, 5)
        record(f"acknowledged: version 3; read back: {version}")
        return HELD if version is not None and version >= 3 else BROKEN
    finally:
        deployment.stop()


if __name__ == "__main__":
    run_case(FOLDER, case)
