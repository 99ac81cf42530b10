"""The workspaces of a soak run, the API keys that callers show, and the checks of both."""
import itertools
import math
import time

IN_FORCE_SECONDS = 2.5  # time after which a change of the configuration is in force at routers without faults
FIXED_KEY, UNKNOWN_KEY = "wide-fixed", "unknown"
LIMITED, RATE, BURST = "limited", 4, 4  # workspace with a small quota in requests
WINDOW, FACTOR, SLACK = 8.0, 1.1, RATE / 2 + 5
BACKEND_FAULT_SECONDS = 5.0  # time for which a fault of a backend server may delay the begin of a run


class Key:
    """A key with the times of its changes. It may be refused from `leaving` on, when its removal begins to be written,
    and must be from `removed` on."""

    def __init__(self, workspace, added):
        self.workspace, self.added = workspace, added
        self.leaving = self.removed = math.inf


class Workspaces:
    """Keeps the keys and checks what callers and backend servers see."""

    def __init__(self, guarantees):
        self.guarantees = guarantees
        self.numbers = itertools.count(1)
        self.keys = {FIXED_KEY: Key("wide", 0), "wide-0": Key("wide", 0), "limited-0": Key(LIMITED, 0),
                     "tokens-0": Key("tokens", 0)}
        self.changing = "wide-0"
        self.most_limited = 0  # most requests of the limited workspace in any window

    def config(self):
        """Returns the workspaces for the configuration."""
        def workspace(name, priority, rate, burst, **more):
            keys = [text for text, key in self.keys.items() if key.workspace == name and key.leaving == math.inf]
            return {"Name": name, "ApiKeys": keys, "Priority": priority, "RatePerS": rate, "Burst": burst, **more}
        return [workspace("wide", 1, 100000, 100000), workspace(LIMITED, 2, RATE, BURST),
                workspace("tokens", 3, 10000000, 10000000, Unit="tokens", PlainTokens=100)]

    def choose(self, random):
        """Returns a key for a request, which may be unknown or removed, or None for no key."""
        removed = [text for text, key in self.keys.items() if key.leaving < math.inf][-2:]
        texts = [FIXED_KEY, self.changing, "limited-0", "tokens-0", UNKNOWN_KEY, None, *removed]
        return random.choices(texts, [6, 6, 6, 3, 1, 1, *(2 for _ in removed)])[0]

    async def replace_key(self, write):
        """Removes a key and adds another one with `write`, which writes the configuration."""
        old, self.changing = self.keys[self.changing], f"wide-{next(self.numbers)}"
        new = self.keys[self.changing] = Key("wide", math.inf)
        old.leaving = time.time()
        await write()
        old.removed = new.added = time.time()

    def is_served(self, sent):
        """Returns whether a request must be served without faults."""
        key = self.keys.get(sent["key"])
        return key is not None and key.workspace != LIMITED and key.leaving == math.inf \
            and sent["sent_at"] > key.added + IN_FORCE_SECONDS

    def on_seen(self, event, sent):
        """Checks the headers of a request that a backend server has read."""
        key = self.keys.get(sent["key"])
        sent.setdefault("seen", []).append(event["t"])
        if event["tenant"] != (key.workspace if key else None):
            self.guarantees.fail("workspace", f"{event['request']} with key {sent['key']} reaches {event['backend']} "
                                 f"as {event['tenant']}")

    def check_all(self, faults, is_fault_free, waits):
        """Performs the checks that need all observations. With `waits`, requests wait for capacity once admitted."""
        def in_force(changed, at):
            return at > changed + IN_FORCE_SECONDS and is_fault_free(at - IN_FORCE_SECONDS, at)
        fail = self.guarantees.fail
        for request, sent in self.guarantees.sent.items():
            key, status, seen = self.keys.get(sent["key"]), sent.get("status", 0), sent.get("seen", [])
            text = f"{request} ({sent['kind']}) with key {sent['key']}, sent {sent['sent_at']:.2f} to " \
                   f"{sent.get('router')}, status {status}, seen {[round(at, 2) for at in seen]}"
            if key is None and (seen or status not in (0, 401, 503)):
                fail("request without key", text)
            if key and any(in_force(key.removed, at) for at in seen):
                fail("removed key", f"{text}, removed {key.removed:.2f}")
            if key and status == 401 and sent["answered_at"] < key.leaving \
                    and (key.added == 0 or in_force(key.added, sent["sent_at"])):
                fail("proper key refused", f"{text}, added {key.added:.2f}")
            if status == 401 and seen and key and key.leaving == math.inf:
                fail("false refusal", text)
            if status == 429 and (seen or not sent.get("retry_after")):
                fail("quota refusal", f"{text}, Retry-After {sent.get('retry_after')}")
        self.check_quota(faults, waits)

    def check_quota(self, faults, waits):
        """Checks that the workspace with the small quota gets no more than that in any window. A request counts from
        its sending if a fault of its backend server or a wait for capacity may have delayed its run."""
        admitted = []  # (earliest time of the admission, begin of the run)
        for request, runs in self.guarantees.runs.items():
            sent = self.guarantees.sent.get(request, {})
            key = self.keys.get(sent.get("key"))
            if key is None or key.workspace != LIMITED:
                continue
            run = min(runs, key=lambda run: run["begin"])
            delayed = waits or any(what.endswith(f" {run['backend']}") and begin < run["begin"]
                                   < end + BACKEND_FAULT_SECONDS for begin, end, what in faults)
            admitted.append((sent["sent_at"] if delayed else run["begin"], run["begin"]))
        most, start = max(((sum(start <= first and last < start + WINDOW for first, last in admitted), start)
                           for start, _ in admitted), default=(0, 0))
        self.most_limited = most
        allowed = (RATE * WINDOW + BURST) * FACTOR + SLACK
        if most > allowed:
            self.guarantees.fail("quota", f"{most} requests in {WINDOW} s from {start:.2f}, allowed {allowed:.1f}")


def headers_of(key):
    """Returns the headers of a request with a key. Callers also try to name a workspace themselves."""
    return {"Tenant": "forged", **({} if key is None else {"X-Api-Key": key})}
