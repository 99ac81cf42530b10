"""A loopback TCP proxy that can delay, reset or silently drop traffic in one or both directions."""
import asyncio


class FaultProxy:
    """Forwards connections to a target. `mode` applies to open and to new connections:

    pass, delay (each block of data is delayed), refuse (new connections are reset), silent (all data is dropped),
    to-target or to-caller (data in that direction is dropped).

    silence_open() lets the open connections go silent for good while new ones work.

    While the target refuses connections, as after a crash, the proxy refuses them too.
    """

    DELAY_SECONDS = 0.12
    RELISTEN_SECONDS = 0.05

    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = "pass"
        self.port = 0
        self.server = None
        self.writers = set()
        self.silenced = set()

    async def start(self):
        """Starts listening on a free port, which is set as `port`."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def target_accepts(self):
        """Returns whether the target accepts connections."""
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            return False
        writer.close()
        return True

    async def follow_target(self):
        """Stops listening if the target refuses connections, until it accepts them again."""
        if self.server is None or await self.target_accepts() or self.server is None:
            return
        self.server.close()
        self.server = None
        asyncio.ensure_future(self.relisten())

    async def relisten(self):
        """Waits until the target accepts connections and starts listening again."""
        while not await self.target_accepts():
            await asyncio.sleep(self.RELISTEN_SECONDS)
        await self.start()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open(self):
        """Drops all further data of the open connections without a reset."""
        self.silenced |= self.writers

    async def pump(self, reader, writer, direction):
        """Forwards the data of one direction until the end of the stream."""
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(self.DELAY_SECONDS)
                if self.mode in ("silent", direction) or writer in self.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            if direction == "to-caller":
                await self.follow_target()
            if self.mode == "pass" and writer not in self.silenced:
                writer.close()
        except (ConnectionError, OSError):
            if direction == "to-caller":
                await self.follow_target()
            writer.transport.abort()

    async def serve(self, reader, writer):
        """Forwards one connection."""
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except OSError:
            await self.follow_target()
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        await asyncio.gather(self.pump(reader, target_writer, "to-target"),
                             self.pump(target_reader, writer, "to-caller"))
        self.writers -= {writer, target_writer}
        self.silenced -= {writer, target_writer}
        for end in (writer, target_writer):
            end.close()
