"""An engine as PROTOCOL.md describes it. Usage: engine.py ID IP SLOTS WORK_MS FAULT SHARE SEED SERVICE STREAMS
ANSWER_BYTES

Prints its address first, then a JSON line for each request that begins to run. With STREAMS 1 it answers with a stream
of events. FAULT is none, or endless-head or endless-body: to a SHARE of the requests the engine sends bytes in a head or
in a body that never become an answer, until the caller closes. With FAULT crash-MS the engine crashes that many
milliseconds after it has begun to run a request whose body is the word poison.
"""
import json
import os
import random
import socket
import sys
import threading
import time

ID, IP, SLOTS, WORK_MS, FAULT, SHARE, SEED, SERVICE, STREAMS, ANSWER_BYTES = sys.argv[1:11]
SLOTS, WORK, SHARE = int(SLOTS), int(WORK_MS) / 1000, float(SHARE)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2600
PIECES = b"1\r\na\r\n" * 10000
EVENTS = 20

slots = threading.Semaphore(SLOTS)
lock = threading.Lock()
state = {"running": 0, "count": 0}
draws = random.Random(SEED + ID)


def log(**event):
    """Prints an event."""
    with lock:
        print(json.dumps({"t": time.time(), "engine": ID, **event}), flush=True)


def message(status, headers, body=b""):
    """Returns an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(name, load):
    """Returns the head of a stream."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"Request-Id: {name}", f"Server-Stamp: {ID}.{name}",
             *(f"{key}: {value}" for key, value in load.items()), "Transfer-Encoding: chunked"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def stream(connection, name, load):
    """Sends a whole stream of events."""
    connection.sendall(stream_head(name, load))
    for number in range(1, EVENTS + 1):
        event = f"id: {number}\ndata: {name}\n\n".encode()
        connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        time.sleep(WORK / EVENTS)
    connection.sendall(b"0\r\n\r\n")


def crash(name, delay):
    """Ends the process after a while, as a crash does."""
    time.sleep(delay)
    log(event="crash", request=name)
    os._exit(139)


def read_request(connection, buffer):
    """Returns the head's first line, the headers, the body and the bytes that follow; None at the end."""
    while b"\r\n\r\n" not in buffer:
        part = connection.recv(65536)
        if not part:
            return None
        buffer += part
    head, rest = buffer.split(b"\r\n\r\n", 1)
    lines = head.decode("latin1").split("\r\n")
    headers = {line.split(":", 1)[0].lower(): line.split(":", 1)[1].strip() for line in lines[1:]}
    length = int(headers.get("content-length", "0"))
    while len(rest) < length:
        part = connection.recv(65536)
        if not part:
            return None
        rest += part
    return lines[0], headers, rest[:length], rest[length:]


def serve(connection):
    """Serves the requests of one connection."""
    buffer = b""
    try:
        while True:
            request = read_request(connection, buffer)
            if request is None:
                return
            first, headers, body, buffer = request
            target = first.split(" ")[1]
            name = headers.get("request-id", "")
            load = {"Server-Load": f"{state['running']},0,{SLOTS}"}
            if target == "/health":
                connection.sendall(message(200, {"Instance-Id": ID, **load}))
                continue
            if headers.get("expect-instance") not in (None, ID):
                connection.sendall(message(421, {"Request-Id": name, "Not-Executed": "1", **load}))
                continue
            if not name:
                connection.sendall(message(400, {"Not-Executed": "1", **load}))
                continue
            with lock:
                faulty = FAULT.startswith("endless") and draws.random() < SHARE
            if faulty:
                log(event="faulty", request=name)
                if FAULT == "endless-body":
                    connection.sendall(stream_head(name, load))
                while True:
                    connection.sendall(INTERIM if FAULT == "endless-head" else PIECES)
            with slots:
                state["running"] += 1
                log(event="run", request=name, service=SERVICE)
                if FAULT.startswith("crash-") and body == b"poison":
                    threading.Thread(target=crash, args=(name, int(FAULT[6:]) / 1000), daemon=True).start()
                if STREAMS == "1":
                    stream(connection, name, load)
                else:
                    time.sleep(WORK)
                state["running"] -= 1
            if STREAMS == "1":
                continue
            connection.sendall(message(200, {"Request-Id": name, "Server-Stamp": f"{ID}.{name}", **load},
                                       f"{ID} {name}".encode().ljust(int(ANSWER_BYTES), b".")))
            log(event="end", request=name)
    except OSError:
        if buffer is not None:
            log(event="closed")
    finally:
        connection.close()


def main():
    """Serves connections until the process is ended."""
    listener = socket.create_server((IP, 0), backlog=256)
    print(f"{IP}:{listener.getsockname()[1]}", flush=True)
    while True:
        connection, _ = listener.accept()
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
