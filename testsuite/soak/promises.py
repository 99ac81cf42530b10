"""Checks the promises from what callers and backend servers have seen."""
import collections

GONE_SECONDS = 0.5  # after a caller has left, its work may go on this long
SLACK_SECONDS = 0.7  # scheduling of a busy test machine, and the way of the event to this process
DRAIN_SECONDS = 2.0  # after this a leaving backend server gets nothing new
RETRY_WINDOW, RETRY_RATIO, RETRY_SLACK = 10, 0.2, 30


class Promises:
    """Collects what is seen and lists the promises that were broken."""

    def __init__(self):
        self.sent = {}  # request id -> what the caller sent
        self.runs = collections.defaultdict(list)  # request id -> runs
        self.drained = {}  # backend server -> time of its acknowledged leaving
        self.broken = []
        self.counts = collections.Counter()

    def fail(self, promise, text):
        """Records a broken promise."""
        self.broken.append(f"{promise}: {text}")

    def on_backend_event(self, event):
        """Takes an event of a backend server."""
        kind, request = event["event"], event["request"]
        if kind == "drain-acknowledged":
            self.drained[event["backend"]] = event["t"]
        if kind == "run":
            sent = self.sent.get(request)
            if sent is None:
                self.fail("unknown request", f"{event['backend']} runs {request!r}")
            elif (event["method"], event["target"], event["body"]) != (sent["method"], sent["target"], sent["body"]):
                self.fail("changed request", f"{request} at {event['backend']}")
            elif event["left"] < 0 or event["left"] > sent["deadline_ms"] + 500:
                self.fail("deadline", f"{request} is handed {event['left']} ms")
            if event["forged"]:
                self.fail("forged header", f"{request} reaches {event['backend']} with a caller's header")
            self.runs[request].append({"backend": event["backend"], "begin": event["t"], "end": None})
        if kind == "end":
            for run in self.runs[request]:
                if run["backend"] == event["backend"] and run["end"] is None:
                    run["end"] = event["t"]
                    run["complete"] = event["complete"]

    def on_answer(self, request, status, body, whole):
        """Takes what a caller got; status 0 means no answer."""
        sent = self.sent[request]
        sent.update(status=status, whole=whole)
        self.counts[(sent["kind"], status if whole or status == 0 else f"{status} cut")] += 1
        if status == 200 and whole and sent["kind"] in ("once", "read") and body != f"answer to {request}":
            self.fail("mixed answer", f"{request} got {body[:60]!r}")
        if sent["kind"].startswith("stream") and status == 200:
            events = [event for event in body.split("\n\n") if event]
            for number, event in enumerate(events, 1):
                if event != f"id: {number}\ndata: {request}":
                    self.fail("stream order", f"{request}: event {number} is {event!r}")
                    break
            if whole and len(events) != 12:
                self.fail("stream end", f"{request} looks complete after {len(events)} events")

    def check_all(self, routers_at_peace):
        """Checks what can be judged at the end; `routers_at_peace(begin, end)` tells whether no fault was near."""
        for request, sent in self.sent.items():
            runs = self.runs.get(request, [])
            if sent["kind"] in ("once", "stream-once") and len(runs) > 1:
                self.fail("ran twice", f"{request} at {[run['backend'] for run in runs]}")
            if sent["kind"] in ("once", "stream-once") and sent.get("status") in (429, 503) and runs:
                self.fail("false refusal", f"{request} was answered {sent['status']} and ran at {runs[0]['backend']}")
            left = sent.get("left_at")
            for run in runs:
                end = run["end"] or run["begin"]
                if left and end > left + GONE_SECONDS + SLACK_SECONDS and routers_at_peace(left - 3, end):
                    self.fail("worked for nobody", f"{request} at {run['backend']}: {end - left:.2f} s after its caller")
        for request, runs in self.runs.items():
            for run in runs:
                since = self.drained.get(run["backend"])
                if since and run["begin"] > since + DRAIN_SECONDS + SLACK_SECONDS \
                        and routers_at_peace(since - 3, run["begin"]):
                    self.fail("drain", f"{request} reaches {run['backend']} {run['begin'] - since:.2f} s after it left")
        self.check_retries()

    def check_retries(self):
        """Checks the budget of retries over sliding windows."""
        for kinds in (("once", "read"), ("stream", "stream-once")):
            asked = sorted(sent["sent_at"] for sent in self.sent.values() if sent["kind"] in kinds)
            again = sorted(run["begin"] for request, runs in self.runs.items()
                           if self.sent.get(request, {}).get("kind") in kinds for run in runs[1:])
            for start in again:
                retries = sum(start <= at < start + RETRY_WINDOW for at in again)
                window = sum(start - RETRY_WINDOW <= at < start + RETRY_WINDOW for at in asked)
                if retries > RETRY_RATIO * window + RETRY_SLACK:
                    self.fail("retry budget", f"{retries} retries for {window} requests from {start:.1f}")
                    return
