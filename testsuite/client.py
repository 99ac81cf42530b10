"""HTTP and server-sent events over loopback for the sessions, the demo and the benchmark."""

import dataclasses
import http.client
import json
import time

REQUEST_LIMIT_S = 60
OUTCOME_HEADER = "Run-Outcome"


def prompt_tag(prompt):
    """Returns the tag that the stand-in engines put into each output of the answer to prompt."""
    value = 0xCBF29CE484222325
    for byte in prompt.encode():
        value = ((value ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return f"{value & 0xFFFFFFFF:08x}"


def expected_text(prompt, tokens):
    """Returns the whole text of the stand-in engines' answer to prompt."""
    tag = prompt_tag(prompt)
    return "".join(f"{tag}.{index} " for index in range(tokens))


@dataclasses.dataclass
class Reply:
    """An answer, or the lack of one: status 0 and the fault in error."""

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    seconds: float = 0.0

    @property
    def outcome(self):
        return self.headers.get(OUTCOME_HEADER.lower(), "")

    def json(self):
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


@dataclasses.dataclass
class Stream(Reply):
    """A streamed answer: the decoded events with the time at which each came, in seconds since the request."""

    events: list = dataclasses.field(default_factory=list)
    times: list = dataclasses.field(default_factory=list)
    ended: bool = False  # Whether the end marker came.

    def text(self):
        return "".join(event_text(event) for event in self.events)


def event_text(event):
    """Returns the text of one event, of an engine or of a completions answer."""
    if "text" in event:
        return event["text"]
    choice = (event.get("choices") or [{}])[0]
    return choice.get("text") or (choice.get("delta") or {}).get("content") or ""


def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=timeout)


def send(address, method, path, body=None, headers=None, timeout=REQUEST_LIMIT_S):
    """Sends one request on a connection of its own. A dict or list as body is sent as JSON."""
    began = time.monotonic()
    headers = dict(headers or {})
    if isinstance(body, (dict, list)):
        body = json.dumps(body)
        headers.setdefault("Content-Type", "application/json")
    connection = connect(address, timeout)
    try:
        connection.request(method, path, body, headers)
        response = connection.getresponse()
        reply = Reply(response.status, {name.lower(): value for name, value in response.getheaders()})
        try:
            reply.body = response.read()
        except (OSError, http.client.HTTPException) as fault:
            reply.error = type(fault).__name__
    except (OSError, http.client.HTTPException) as fault:
        reply = Reply(error=type(fault).__name__)
    finally:
        connection.close()
    reply.seconds = time.monotonic() - began
    return reply


def stream(address, path, body, headers=None, timeout=REQUEST_LIMIT_S, stop_after=None):
    """Sends a POST whose answer is a stream of events. With stop_after, closes after that many events."""
    began = time.monotonic()
    connection = connect(address, timeout)
    answer = Stream()
    try:
        connection.request("POST", path, json.dumps(body), {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {name.lower(): value for name, value in response.getheaders()}
        if "event-stream" not in answer.headers.get("content-type", ""):
            answer.body = response.read()
        else:
            read_events(response, answer, began, stop_after)
    except (OSError, http.client.HTTPException) as fault:
        answer.error = type(fault).__name__
    finally:
        connection.close()
    answer.seconds = time.monotonic() - began
    return answer


def read_events(response, answer, began, stop_after):
    while stop_after is None or len(answer.events) < stop_after:
        line = response.readline()
        if not line:
            return
        if not line.startswith(b"data: "):
            continue
        data = line[len(b"data: "):].strip()
        if data == b"[DONE]":
            answer.ended = True
            continue
        answer.events.append(json.loads(data))
        answer.times.append(time.monotonic() - began)
