"""A caller's connection with a link delay in each direction, which can be read slowly."""
import asyncio
import socket
import time

RECEIVE_BYTES = 16384  # receive buffer of the kernel for a slow reader
PIECE_BYTES = 8192  # bytes that a slow reader takes at a time


class Link:
    """Offers the data of a connection in `reader`, delayed. As after a reset on Linux, data that had arrived before
    can still be read."""

    def __init__(self, delay, read_pause):
        self.delay, self.read_pause = delay, read_pause
        self.reader = asyncio.StreamReader(limit=1 << 20)
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if read_pause:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.outgoing = asyncio.Queue()
        self.unsent = 0  # blocks of data that have not been passed to the socket
        self.last_sent = 0.0  # time at which the caller sent the last block that was passed to the socket
        self.tasks = []

    async def open(self, host, port):
        """Connects to a router."""
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(self.socket, (host, port))
        except BaseException:
            self.socket.close()
            raise
        self.tasks = [asyncio.ensure_future(self.receive(loop)), asyncio.ensure_future(self.send(loop))]

    def write(self, data):
        """Sends data after the delay."""
        self.unsent += 1
        self.outgoing.put_nowait((asyncio.get_running_loop().time() + self.delay, data))

    def abort(self):
        """Closes the connection after the delay."""
        self.tasks[0].cancel()
        self.write(None)

    async def send(self, loop):
        """Passes written data to the socket, and closes it at the end."""
        try:
            while True:
                due, data = await self.outgoing.get()
                await asyncio.sleep(due - loop.time())
                if data is None:
                    break
                await loop.sock_sendall(self.socket, data)
                self.unsent -= 1
                # Later than the call of write() if this process has got no processor time.
                self.last_sent = time.time() - self.delay
        except OSError:
            while (await self.outgoing.get())[1] is not None:
                pass  # The reader reports the failure.
        self.socket.close()

    async def receive(self, loop):
        """Passes received data to the reader."""
        reader = self.reader
        try:
            while data := await loop.sock_recv(self.socket, PIECE_BYTES if self.read_pause else 65536):
                loop.call_later(self.delay, reader.feed_data, data)
                await asyncio.sleep(self.read_pause)
            loop.call_later(self.delay, reader.feed_eof)
        except OSError as error:
            loop.call_later(self.delay, reader.set_exception, error)
