"""A link to one control host that can be cut.

While it is cut, no byte passes in either direction. Bytes that a sender has left behind pass when the cut has healed, as
TCP repeats them, also when the sender has closed its end in the meantime (but not when it has reset the connection).
"""
import asyncio


class Partition:
    def __init__(self, address, port, control, record):
        self.address, self.port, self.control, self.record = address, port, control, record
        self.endpoint = f"{address}:{port}"
        self.open = asyncio.Event()
        self.open.set()
        self.server = None
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.address, self.port)

    def stop(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def cut(self):
        self.record(f"partition: the link to {self.control} is cut")
        self.open.clear()

    def heal(self):
        self.record(f"partition: the link to {self.control} has healed")
        self.open.set()

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            host, port = self.control.rsplit(":", 1)
            await self.open.wait()
            control_reader, control_writer = await asyncio.open_connection(host, int(port))
            await asyncio.gather(self._pass(reader, control_writer), self._pass(control_reader, writer))
        except OSError:
            pass
        finally:
            self.tasks.discard(task)

    async def _pass(self, reader, writer):
        """Passes bytes and, at last, the end of the stream."""
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
            await self.open.wait()
        except OSError:
            pass
        # The peer may still have something to say; the other direction closes the connection.
        await asyncio.sleep(0.5)
        writer.close()
