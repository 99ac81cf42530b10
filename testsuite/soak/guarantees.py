"""Checks the guarantees of the routers against what callers and backend servers have observed."""
import collections
import time

from requestkinds import KINDS, ONCE_KINDS, STREAM_KINDS, event_count, plain_answer

CANCEL_SECONDS = 0.5  # time after which the work of a caller that disconnected must have ended
SLACK_SECONDS = 0.7  # tolerance for scheduling on a busy machine and for the delivery of events to this process
DRAIN_SECONDS = 2.0  # time after which a draining backend server must not receive new requests
RETRY_WINDOW, RETRY_RATIO, RETRY_SLACK = 10, 0.2, 30
CONTACT_SECONDS = 3.0  # time in which routers without faults learn of crashes and limits
LIMIT_WINDOW, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
GRACE_SECONDS, LAST_SHARE = 8.0, 1 / 6  # grace time of a stop, and the part of it in which running work may be cut
ACCEPTED_SECONDS = 3.0  # time after a stop signal from which what a router accepts must not be cut
LOSS_SECONDS = 0.2  # time in which a router that has not passed a request on may close its connection
CRASHES, RUNS_AFTER_CRASHES = 5, 3  # crashes by a part after which only so many requests with it may be run


class GuaranteeChecker:
    """Collects observations and lists the violated guarantees."""

    def __init__(self):
        self.sent = {}  # request id -> what the caller sent
        self.runs = collections.defaultdict(list)  # request id -> runs
        self.drained = {}  # backend server -> time at which its draining was acknowledged
        self.limits = collections.defaultdict(list)  # backend server -> (time, limit or None)
        self.crashes = collections.defaultdict(list)  # prompt part -> crashes (time, backend server)
        self.stops = []  # planned stops: (router, front port, begin, end)
        self.cuts = collections.Counter()  # judgement -> requests that planned stops cut
        self.violations = []
        self.counts = collections.Counter()
        self.workspaces = None  # the workspaces of a run that has some

    def fail(self, guarantee, text):
        """Records the violation of a guarantee."""
        self.violations.append(f"{guarantee}: {text}")

    def on_backend_event(self, event):
        """Processes an event of a backend server."""
        kind, request = event["event"], event["request"]
        if kind == "seen":
            if event["key"]:
                self.fail("key passed on", f"{request} reaches {event['backend']} with an API key")
            if self.workspaces and request in self.sent:
                self.workspaces.on_seen(event, self.sent[request])
        if kind == "drain-acknowledged":
            self.drained[event["backend"]] = event["t"]
        if kind == "limit":
            self.limits[event["backend"]].append((event["t"], event["limit"]))
        if kind == "crash":
            self.crashes[event["part"]].append((event["t"], event["backend"]))
        if kind == "run":
            sent = self.sent.get(request)
            if sent is None:
                self.fail("unknown request", f"{event['backend']} runs {request!r}")
            elif (event["method"], event["target"], event["body"]) != (sent["method"], sent["target"], sent["body"]):
                self.fail("changed request", f"{request} at {event['backend']}")
            elif event["left"] < 0 or event["left"] > sent["deadline_ms"] + 500:
                self.fail("deadline", f"{request} was passed on with {event['left']} ms")
            if event["forged"]:
                self.fail("forged header", f"{request} reaches {event['backend']} with a caller's header")
            self.runs[request].append({"backend": event["backend"], "begin": event["t"], "end": None})
        if kind == "end":
            for run in self.runs[request]:
                if run["backend"] == event["backend"] and run["end"] is None:
                    run.update(end=event["t"], complete=event["complete"], missing=event["missing"],
                               broke_off=event["broke_off"])
        if kind in ("gone", "crash"):
            for runs in self.runs.values():
                for run in runs:
                    if run["backend"] == event["backend"] and run["end"] is None:
                        run.update(end=event["t"], complete=False, broke_off=True)

    def on_answer(self, request, status, body, whole):
        """Processes the result of a request; status 0 means no answer, whole that the answer was complete."""
        sent = self.sent[request]
        sent.update(status=status, whole=whole, answered_at=time.time())
        end = "" if whole else " left by caller" if "left_at" in sent else " cut"
        self.counts[(sent["kind"], f"{status}{end}")] += 1
        if status == 200 and whole and sent["kind"] not in (*STREAM_KINDS, "bad-part", "probe") \
                and body != plain_answer(sent["target"], request):
            self.fail("wrong answer", f"{request} got {body[:60]!r}")
        if sent["kind"].startswith("stream") and status == 200:
            events = [event for event in body.split("\n\n") if event]
            for number, event in enumerate(events, 1):
                if event != f"id: {number}\ndata: {request}":
                    self.fail("stream order", f"{request}: event {number} is {event!r}")
                    break
            if whole and len(events) != event_count(sent["target"]):
                self.fail("stream end", f"{request} looks complete after {len(events)} events")

    def is_past_deadline(self, sent):
        """Returns whether a request ended when its deadline or the timeout of its route had been reached."""
        kind = KINDS[sent["kind"]]
        return sent["cut_at"] - sent["begun_at"] >= min(kind.deadline_ms, kind.timeout_ms) / 1000

    def judge_cut(self, request, sent, begin):
        """Returns how a planned stop that began at a time answers for a request that ended without a whole answer."""
        runs, cut = self.runs.get(request), sent["cut_at"]
        if not sent["whole_sent"]:
            return "not whole"
        if self.is_past_deadline(sent):
            return "past deadline"
        if runs is None:
            if cut <= sent["sent_at"] + LOSS_SECONDS:
                return "not accepted"
            return "not accepted, in slack" if cut <= sent["sent_at"] + LOSS_SECONDS + SLACK_SECONDS else "LOST"
        last = runs[-1]
        if last.get("broke_off"):
            return "broken off by engine"
        ran_at_end = (last["end"] or cut) >= begin + GRACE_SECONDS * (1 - LAST_SHARE)
        if sent["sent_at"] > begin + ACCEPTED_SECONDS or not ran_at_end:
            return "LOST"
        if sent["sent_at"] > begin:
            return "excused, sent after the signal"
        needed = (last["end"] or cut) + last.get("missing", 0)
        return "excused, unavoidable" if needed > begin + GRACE_SECONDS else "excused, sent before the signal"

    def check_stops(self, is_fault_free):
        """Judges the requests that planned stops without other faults have cut. Returns these requests."""
        judged = set()
        for router, front, begin, end in self.stops:
            for request, sent in self.sent.items():
                cut = sent.get("cut_at", 0)
                if not sent.get("router", "").endswith(f":{front}") or cut < begin or sent["begun_at"] > end:
                    continue
                if request in judged:
                    continue
                judged.add(request)
                judgement = self.judge_cut(request, sent, begin) if is_fault_free(begin, end) else "beside a fault"
                self.cuts[judgement] += 1
                kept = ", kept connection" if sent["kept"] else ""
                text = f"{request} ({sent['kind']}{kept}), sent {sent['sent_at'] - begin:.2f} s after the stop " \
                       f"signal of {router}, was cut at {cut - begin:.2f} s, {self.describe_runs(request, begin)}"
                sent["judgement"] = f"{judgement}: {text}"
                if judgement == "LOST":
                    self.fail("planned stop", text)
        return judged

    def describe_runs(self, request, begin):
        """Returns where and when a request ran, relative to a time."""
        runs = [f"ran at {run['backend']} {run['begin'] - begin:.2f} to {(run['end'] or 0) - begin:.2f} s, "
                f"{run.get('missing', 0):.2f} s of work missing" for run in self.runs.get(request, [])]
        return "; ".join(runs) or "was not passed on"

    def check_broken_streams(self, is_fault_free, judged):
        """Checks that routers without faults break off no stream whose engine still works."""
        for request, sent in self.sent.items():
            runs = self.runs.get(request)
            if sent["kind"] not in STREAM_KINDS or "cut_at" not in sent or request in judged or not runs:
                continue
            last = runs[-1]
            if not last.get("complete") and not last.get("broke_off") and not self.is_past_deadline(sent) \
                    and is_fault_free(sent["begun_at"], sent["cut_at"]):
                begin = sent["sent_at"]
                self.fail("stream broken off", f"{request} ({sent['kind']}) by {sent['router']} after "
                          f"{sent['cut_at'] - begin:.2f} s, {self.describe_runs(request, begin)}")

    def summary_of_stops(self):
        """Returns how many requests planned stops have cut, by judgement."""
        excused = {name: self.cuts[f"excused, {name}"]
                   for name in ("sent before the signal", "sent after the signal", "unavoidable")}
        self.cuts["without a stop"] = sum("cut_at" in sent and "judgement" not in sent for sent in self.sent.values())
        others = {name: count for name, count in sorted(self.cuts.items())
                  if name != "LOST" and not name.startswith("excused")}
        excused["sent before the signal"] += excused["unavoidable"]
        details = ", ".join(f"{count} {name}" for name, count in excused.items())
        return f"{len(self.stops)} stops, {self.cuts['LOST']} cut and LOST, " \
               f"{sum(excused.values()) - excused['unavoidable']} cut but excused ({details}), other cuts {others}"

    def check_all(self, is_fault_free):
        """Performs the checks that need all observations. `is_fault_free(begin, end)` returns whether no fault was
        injected in or shortly before an interval; guarantees with a time limit are only checked then."""
        for request, sent in self.sent.items():
            runs = self.runs.get(request, [])
            if sent["kind"] in ONCE_KINDS and len(runs) > 1:
                self.fail("executed twice", f"{request} at {[run['backend'] for run in runs]}")
            if sent["kind"] in ONCE_KINDS and sent.get("status") in (429, 503) and runs:
                self.fail("false refusal", f"{request} was answered {sent['status']} and ran at {runs[0]['backend']}")
            left = sent.get("left_at")
            for run in runs:
                end = run["end"] or run["begin"]
                if left and end > left + CANCEL_SECONDS + SLACK_SECONDS and is_fault_free(left - 3, end):
                    self.fail("not cancelled",
                              f"{request} at {run['backend']}: {end - left:.2f} s after its caller left")
        for request, runs in self.runs.items():
            for run in runs:
                drain_time = self.drained.get(run["backend"])
                if drain_time and run["begin"] > drain_time + DRAIN_SECONDS + SLACK_SECONDS \
                        and is_fault_free(drain_time - 3, run["begin"]):
                    self.fail("drain", f"{request} reaches {run['backend']} {run['begin'] - drain_time:.2f} s "
                              "after it began to drain")
        self.check_retries()
        self.check_limits(is_fault_free)

    def check_limits(self, is_fault_free):
        """Checks that backend servers get no more requests than the limits allow that they name."""
        for backend, changes in self.limits.items():
            runs = sorted(run["begin"] for runs in self.runs.values() for run in runs if run["backend"] == backend)
            for (begin, limit), (end, _) in zip(changes, changes[1:] + [(time.time(), None)]):
                if limit is None:
                    continue
                for start in runs:
                    window = [at for at in runs if start <= at < start + LIMIT_WINDOW]
                    if begin + CONTACT_SECONDS + SLACK_SECONDS < start and start + LIMIT_WINDOW < end \
                            and len(window) > LIMIT_FACTOR * limit * LIMIT_WINDOW + LIMIT_SLACK \
                            and is_fault_free(begin, start + LIMIT_WINDOW):
                        self.fail("limit", f"{backend} got {len(window)} requests in {LIMIT_WINDOW} s, limit {limit}")
                        break

    def check_crashes(self, is_fault_free):
        """Checks that requests with a part that crashes engines are stopped. `is_fault_free(begin, end)` returns
        whether no fault but the crashes themselves was injected in or shortly before an interval."""
        for part, crashes in self.crashes.items():
            if len(crashes) <= CRASHES:
                continue
            fifth = crashes[CRASHES - 1][0]
            late = [at for at, _ in crashes
                    if at > fifth + CONTACT_SECONDS + SLACK_SECONDS and is_fault_free(crashes[0][0], at)]
            if len(late) > RUNS_AFTER_CRASHES:
                self.fail("crashing part", f"{len(late)} engines ran {part} later than {CONTACT_SECONDS} s after "
                          f"the fifth crash")

    def check_retries(self):
        """Checks the retry budget over sliding windows."""
        plain_kinds = [kind for kind in KINDS if kind not in (*STREAM_KINDS, "bad-part")]
        for kinds in (plain_kinds, STREAM_KINDS):
            request_times = sorted(sent["sent_at"] for sent in self.sent.values() if sent["kind"] in kinds)
            retry_times = sorted(run["begin"] for request, runs in self.runs.items()
                                 if self.sent.get(request, {}).get("kind") in kinds for run in runs[1:])
            for start in retry_times:
                retries = sum(start <= at < start + RETRY_WINDOW for at in retry_times)
                window = sum(start - RETRY_WINDOW <= at < start + RETRY_WINDOW for at in request_times)
                if retries > RETRY_RATIO * window + RETRY_SLACK:
                    self.fail("retry budget", f"{retries} retries for {window} requests from {start:.1f}")
                    return
