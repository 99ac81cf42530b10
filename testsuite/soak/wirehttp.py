"""A small asynchronous HTTP/1.1 reader and writer for the stand-ins and callers of the soak."""
import asyncio


class Broken(Exception):
    """The peer closed or reset the connection in the middle of a message."""


async def read_head(reader):
    """Returns the first line and the headers, or None at a clean end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as end:
        if end.partial:
            raise Broken("head") from end
        return None
    except (ConnectionError, asyncio.LimitOverrunError, OSError) as fault:
        raise Broken(str(fault)) from fault
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return lines[0], headers


async def read_exactly(reader, count):
    """Returns exactly that many bytes."""
    try:
        return await reader.readexactly(count)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as fault:
        raise Broken("body") from fault


async def read_chunk(reader):
    """Returns the next chunk of a chunked body, empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"x", 16)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as fault:
        raise Broken("chunk") from fault
    data = await read_exactly(reader, size + 2)
    return data[:-2]


async def read_body(reader, headers):
    """Returns the body that the headers announce."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await read_exactly(reader, int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    """Returns a message with a length."""
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


async def exchange(address, method, target, headers=None, body=b"", timeout=2.0):
    """Makes one call on a connection of its own and returns status, headers and body; raises Broken."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(message(f"{method} {target} HTTP/1.1", {"Host": address, **(headers or {})}, body))
                head = await read_head(reader)
                if head is None:
                    raise Broken("no answer")
                return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
            finally:
                writer.close()
    except (OSError, TimeoutError) as fault:
        raise Broken(str(fault)) from fault
