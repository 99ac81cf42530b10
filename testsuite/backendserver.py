"""Backend servers of a session's own process."""

import asyncio
import pathlib
import sys

sys.path.append(str(pathlib.Path(__file__).resolve().parent / "soak"))
import wirehttp  # noqa: E402


async def start_backend(name, service, zone, answer):
    """Starts a backend server. Returns the server and its entry for the store.

    answer(name, head, body) returns the status and the body of an answer.
    """
    async def serve(reader, writer):
        try:
            while head := await wirehttp.read_head(reader):
                status, body = answer(name, head, await wirehttp.read_body(reader, head[1]))
                request = head[1].get("request-id", "")
                headers = {"Request-Id": request, "Server-Stamp": f"{name}.{request}"}
                writer.write(wirehttp.message(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (wirehttp.ConnectionBroken, OSError):
            pass
        writer.close()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    return server, {"Service": service, "Address": address, "Zone": zone, "Version": "v1", "Slots": 8,
                    "State": "ready", "ColdLeftMs": 0, "Sequence": 1}
