"""The kinds of requests that callers of the soak test send, and what backend servers answer to them."""
from typing import NamedTuple

EVENT_SECONDS = 0.03  # time between two events of a stream
SHORT_EVENTS, LONG_EVENTS = 12, 150
VARIED_EVENTS = (33, 300)  # streams of 1 to 9 s
LARGE_BYTES = 400000  # body of an answer that callers read for seconds


class Kind(NamedTuple):
    """What a caller sends."""
    method: str
    path: str
    deadline_ms: int
    timeout_ms: int = 6000  # timeout of the route


KINDS = {"once": Kind("POST", "/plain/", 1500), "read": Kind("GET", "/read/", 1500),
         "read-patient": Kind("GET", "/patient/", 14000, 14000), "read-large": Kind("GET", "/large/", 20000, 20000),
         "stream": Kind("POST", "/stream/", 6000), "stream-once": Kind("POST", "/once/", 6000),
         "stream-long": Kind("POST", "/long/", 14000, 14000), "bad-part": Kind("POST", "/stream/", 6000),
         "stream-varied": Kind("POST", "/varied/", 20000, 20000),
         "stream-varied-once": Kind("POST", "/varied-once/", 20000, 20000)}
ONCE_KINDS = ("once", "stream-once", "stream-long", "stream-varied-once")  # may run at most once
STREAM_KINDS = tuple(kind for kind in KINDS if kind.startswith("stream"))
STREAM_PATHS = tuple(KINDS[kind].path for kind in STREAM_KINDS)


def event_count(target):
    """Returns the number of events of a stream. The target of a stream of varied length ends with it."""
    if target.startswith("/varied"):
        return int(target.rsplit("/", 1)[1])
    return LONG_EVENTS if target.startswith("/long/") else SHORT_EVENTS


def plain_answer(target, request):
    """Returns the body of the answer to a request that is no stream."""
    answer = f"answer to {request}"
    return answer.ljust(LARGE_BYTES, "x") if target.startswith("/large/") else answer
