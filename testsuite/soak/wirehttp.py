"""A minimal asynchronous HTTP/1.1 implementation for the emulated servers and the callers of the soak test."""
import asyncio


class ConnectionBroken(Exception):
    """The connection could not be opened, or it was closed, reset or timed out before a message was complete."""


async def read_head(reader):
    """Returns the first line and the headers, with names in lower case and repeated ones joined. Returns None if
    the connection was closed before the first byte."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionBroken("head") from error
        return None
    except (ConnectionError, asyncio.LimitOverrunError, OSError) as error:
        raise ConnectionBroken(str(error)) from error
    lines = raw.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            name, value = name.lower(), value.strip()
            headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return lines[0], headers


async def read_exactly(reader, count):
    """Returns exactly count bytes."""
    try:
        return await reader.readexactly(count)
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise ConnectionBroken("body") from error


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at the end of the body."""
    try:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"x", 16)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise ConnectionBroken("chunk") from error
    data = await read_exactly(reader, size + 2)
    return data[:-2]


async def read_body(reader, headers):
    """Returns the body of a message, chunked or with a content length as the headers say."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await read_exactly(reader, int(headers.get("content-length", "0")))


def message(first_line, headers, body=b""):
    """Returns the bytes of a message with a Content-Length header."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + body


def chunked_message(first_line, headers, body):
    """Returns the bytes of a message whose body is sent in two chunks."""
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()] + ["Transfer-Encoding: chunked"]
    parts = [body[:len(body) // 2], body[len(body) // 2:]]
    chunks = b"".join(f"{len(part):x}\r\n".encode() + part + b"\r\n" for part in parts if part) + b"0\r\n\r\n"
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1") + chunks


async def exchange(address, method, target, headers=None, body=b"", timeout=2.0):
    """Sends one request on a new connection and returns status, headers and body. Raises ConnectionBroken."""
    host, port = address.split(":")
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(message(f"{method} {target} HTTP/1.1", {"Host": address, **(headers or {})}, body))
                head = await read_head(reader)
                if head is None:
                    raise ConnectionBroken("no answer")
                return int(head[0].split()[1]), head[1], await read_body(reader, head[1])
            finally:
                writer.close()
    except (OSError, TimeoutError) as error:
        raise ConnectionBroken(str(error)) from error
