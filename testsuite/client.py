"""HTTP client with support for server-sent events, for the sessions, the demo and the benchmark."""

import dataclasses
import http.client
import json
import time

REQUEST_LIMIT_S = 60
OUTCOME_HEADER = "Run-Outcome"


def prompt_tag(prompt):
    """Returns the tag that the emulated engines put into each output of the answer to prompt."""
    value = 0xCBF29CE484222325
    for byte in prompt.encode():
        value = ((value ^ byte) * 0x100000001B3) & 0xFFFFFFFFFFFFFFFF
    return f"{value & 0xFFFFFFFF:08x}"


def expected_text(prompt, tokens):
    """Returns the complete text with which the emulated engines answer prompt."""
    tag = prompt_tag(prompt)
    return "".join(f"{tag}.{index} " for index in range(tokens))


@dataclasses.dataclass
class Reply:
    """A response. If none was received, status is 0 and error is the name of the exception."""

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
    """A streamed response: the decoded events and the arrival time of each, in seconds since the request was sent."""

    events: list = dataclasses.field(default_factory=list)
    times: list = dataclasses.field(default_factory=list)
    ended: bool = False  # Whether the end marker `[DONE]` was received.

    def text(self):
        return "".join(event_text(event) for event in self.events)


def event_text(event):
    """Returns the text of one event in the format of an engine, of a completion or of a chat completion."""
    if "text" in event:
        return event["text"]
    choice = (event.get("choices") or [{}])[0]
    return choice.get("text") or (choice.get("delta") or {}).get("content") or ""


def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=timeout)


def send(address, method, path, body=None, headers=None, timeout=REQUEST_LIMIT_S):
    """Sends one request on a new connection and returns the Reply. A dict or list as body is sent as JSON."""
    start = time.monotonic()
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
        except (OSError, http.client.HTTPException) as error:
            reply.error = type(error).__name__
    except (OSError, http.client.HTTPException) as error:
        reply = Reply(error=type(error).__name__)
    finally:
        connection.close()
    reply.seconds = time.monotonic() - start
    return reply


def stream(address, path, body, headers=None, timeout=REQUEST_LIMIT_S, stop_after=None):
    """Sends a POST whose response is a stream of events, and returns the Stream. With stop_after, closes the connection
    after that many events."""
    start = time.monotonic()
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
            read_events(response, answer, start, stop_after)
    except (OSError, http.client.HTTPException) as error:
        answer.error = type(error).__name__
    finally:
        connection.close()
    answer.seconds = time.monotonic() - start
    return answer


def read_events(response, answer, start, stop_after):
    """Adds the events of a response to answer until the body ends or stop_after events have been read."""
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
        answer.times.append(time.monotonic() - start)
