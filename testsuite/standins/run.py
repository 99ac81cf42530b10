"""Guards against emulators that do not implement the engine and platform interfaces correctly, which would invalidate
all tests that use them."""

import base64
import json
import pathlib
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from client import connect, expected_text, send, stream  # noqa: E402
from harness import Fleet, build_argument, show, wait_until  # noqa: E402


def base64_text(text):
    return base64.b64encode(text.encode()).decode()


class Engines:
    """Sends requests to a prefill and a decode engine."""

    def __init__(self, prefill, decode):
        self.prefill_address = prefill.address
        self.decode_address = decode.address

    def prefill(self, request_id, prompt):
        return send(self.prefill_address, "POST", "/v1/prefill",
                    {"request_id": request_id, "model": "model", "workspace": "w", "prompt": prompt, "priority": 1})

    def decode(self, request_id, handle, tokens, **options):
        return stream(self.decode_address, "/v1/decode",
                      {"request_id": request_id, "model": "model", "source": self.prefill_address, "handle": handle,
                       "max_tokens": tokens}, **options)

    def both(self, request_id, prompt, tokens, **options):
        return self.decode(request_id, self.prefill(request_id, prompt).json().get("handle", ""), tokens, **options)


def show_engine(prefill, decode):
    engines = Engines(prefill, decode)
    prompt = "hello world " * 200
    result = engines.prefill("a.1", prompt).json()
    show("prefill", {key: result[key] for key in ("request_id", "prompt_tokens", "cached_tokens", "kv_bytes")})
    answer = engines.decode("a.1", result["handle"], 5)
    show("decode", answer.status, answer.text() == expected_text(prompt, 5), answer.ended)
    show("the same prompt again", engines.prefill("a.2", prompt).json()["cached_tokens"], "cached")
    wait_until(lambda: prefill.counts()["evicted"] == 1, "the unused result is evicted")
    show("decode of an evicted result", engines.decode("a.2", "gone", 5).status)
    decode.fault("cut", path="/v1/decode", times=1, after=2)
    answer = engines.both("a.3", "x" * 40, 30)
    show("stream cut", len(answer.events), answer.ended)
    answer = stream(engines.decode_address, "/v1/resume", {"request_id": "a.3", "from_index": 2})
    show("resumed", len(answer.events), answer.events[0]["index"], answer.ended)
    decode.fault("no-end", path="/v1/decode", times=1)
    answer = engines.both("a.4", "y", 4)
    show("stream without end", len(answer.events), answer.ended)
    show("cancel", *(send(engines.decode_address, "POST", "/v1/cancel", {"request_id": "a.4"}).json()["cancelled"]
                     for _ in range(2)))
    decode.fault("gap", path="/v1/decode", times=1, after=1)
    show("stream with a gap", [event["index"] for event in engines.both("a.5", "z", 4).events])
    engines.both("a.6", "w", 1000, stop_after=1)
    wait_until(lambda: decode.counts()["expired"] == 1, "a stream without a reader is freed")
    show("freed after its reader left", decode.counts()["held"])


def show_crossed(prefill, decode):
    engines = Engines(prefill, decode)
    decode.fault("crossed", times=2)
    answers = {}

    def run(request_id):
        answers[request_id] = engines.both(request_id, "prompt of " + request_id, 3)
    threads = [threading.Thread(target=run, args=(name,)) for name in ("c.1", "c.2")]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    show("crossed", {name: answers[name].events[0]["request_id"] for name in sorted(answers)},
         answers["c.1"].text() == expected_text("prompt of c.2", 3))


def show_full(prefill, decode):
    engines = Engines(prefill, decode)
    threads = [threading.Thread(target=engines.both, args=(f"f.{n}", f"prompt {n}", 3000)) for n in range(3)]
    for thread in threads:
        thread.start()

    def listed():
        requests = send(decode.address, "GET", "/v1/requests").json()["requests"]
        return sorted((one["request_id"], one["stage"], one["attached"]) for one in requests)
    wait_until(lambda: [one[1] for one in listed()] == ["decoding"] * 3, "three streams fill the memory")
    answer = engines.both("f.3", "prompt 3", 5)
    show("full", answer.status, answer.outcome)
    show("requests", listed())
    for number in range(3):
        send(decode.address, "POST", "/v1/cancel", {"request_id": f"f.{number}"})
    show("held after cancel", decode.counts()["held"])
    for thread in threads:
        thread.join()


def show_orders(decode):
    def order(fencing):
        return send(decode.address, "POST", "/v1/orders", {"fencing": fencing, "kind": "load-model", "model": "m2"})
    show("orders", order(5).status, order(4).status, order(6).status)


def show_crash(prefill, decode):
    decode.fault("crash", path="/v1/decode", text="poison")
    engines = Engines(prefill, decode)
    show("harmless prompt", engines.both("p.1", "harmless", 2).ended)
    show("decode engine crashed by a prompt", engines.both("p.2", "a poison pill", 2).error, decode.wait_end())


def show_faults(service):
    def call(body=b"1", key="k"):
        return send(service.address, "POST", "/x", body, {"Idempotency-Key": key})
    service.fault("close", times=1)
    show("closed", call().error, service.counts()["total"])
    service.fault("answer-lost", times=1)
    show("answer lost", call().error, service.counts()["keys"])
    service.fault("full", times=1)
    reply = call()
    show("full", reply.status, reply.outcome)
    service.fault("refuse", ms=500)
    wait_until(lambda: call().error == "ConnectionRefusedError", "connections are refused")
    wait_until(lambda: call().status == 200, "connections are accepted again")
    service.fault("stall", times=1)
    waiting = threading.Thread(target=call)
    waiting.start()
    wait_until(lambda: send(service.address, "GET", "/fault").json()[0]["times"] == 0, "a call is stalled")
    total = service.counts()["total"]
    service.clear_faults()
    waiting.join()
    show("executed after the stall was cleared", service.counts()["total"] - total)
    show("unknown kind", service.fault("no-such-kind").status)
    service.fault("crash", text="boom")
    show("crash on a text", call(b"harmless").status, call(b"a boom").error, service.wait_end())


class KeyValue:
    def __init__(self, platform):
        self.platform = platform

    def post(self, path, body):
        return send(self.platform.address, "POST", path, body).json()

    def create(self, key, value):
        created = self.post("/v3/kv/txn", {
            "compare": [{"key": base64_text(key), "target": "CREATE", "result": "EQUAL", "create_revision": "0"}],
            "success": [{"requestPut": {"key": base64_text(key), "value": base64_text(value)}}],
            "failure": [{"requestRange": {"key": base64_text(key)}}]})
        return created

    def put(self, key, value, lease="0"):
        return self.post("/v3/kv/put", {"key": base64_text(key), "value": base64_text(value), "lease": lease})


def read_watch(address, lines):
    """Opens a watch on all keys and appends its results to lines until the server ends it."""
    connection = connect(address, 60)
    connection.request("POST", "/v3/watch", json.dumps(
        {"create_request": {"key": base64_text("/"), "range_end": base64_text("0"), "start_revision": "2"}}))
    response = connection.getresponse()
    while line := response.readline():
        lines.append(json.loads(line)["result"])
    connection.close()


def watch_events(lines):
    """Yields the type, key and revision of each event in the received watch lines."""
    for line in lines:
        for event in line.get("events", []):
            key = event["kv"]
            yield event.get("type", "PUT"), base64.b64decode(key["key"]).decode(), key["mod_revision"]


def show_key_value(fleet):
    platform = fleet.platform
    store = KeyValue(platform)
    show("create", store.create("/k", "v1"))
    show("create again", store.create("/k", "v2"))
    lease = store.post("/v3/lease/grant", {"TTL": "1"})
    show("lease", lease["TTL"], store.post("/v3/lease/keepalive", {"ID": lease["ID"]})["result"].get("TTL"))
    store.put("/l", "x", lease["ID"])
    lines = []
    watching = threading.Thread(target=read_watch, args=(platform.address, lines))
    watching.start()
    wait_until(lambda: fleet.read_key("/l") is None, "the key of the expired lease is removed")
    wait_until(lambda: len(list(watch_events(lines))) == 3, "the watch shows the removal")
    show("keepalive of an expired lease", store.post("/v3/lease/keepalive", {"ID": lease["ID"]})["result"].get("TTL"))
    platform.fault("compact")
    watching.join()
    show("watch", list(watch_events(lines)), lines[-1].get("canceled"), lines[-1].get("compact_revision"))
    platform.fault("save-state")
    store.put("/k", "v3")
    platform.fault("restore-state")
    show("restored", fleet.read_key("/k"))
    platform.fault("answer-lost", path="/v3/kv/put", times=1)
    show("answer lost", store.put("/q", "v"), fleet.read_key("/q"))
    platform.fault("error", path="/v3/")
    show("outage", send(platform.address, "POST", "/v3/kv/range", {"key": base64_text("/k")}).status)
    platform.clear_faults()


def show_hosts(fleet):
    def states():
        return [host["state"] for host in send(fleet.platform.address, "GET", "/v1/hosts").json()["hosts"]]
    show("hosts", states())
    fleet.platform.fault("stale-hosts")
    fleet.set_host_state(fleet.hosts[0]["address"], "leaving")
    show("stale", states())
    fleet.platform.fault("stale-hosts", times=0)
    show("fresh", states())


def main():
    with Fleet(build_argument()) as fleet:
        fleet.start_platform()
        prefill, decode = fleet.start_engines(1, 1, prefill_flags={"result_ttl": 2000},
                                              decode_flags={"slots": 3, "resume_keep": 1500})
        service = fleet.start_service("desk", "desk0")
        show_engine(prefill[0], decode[0])
        show_crossed(prefill[0], decode[0])
        show_full(prefill[0], decode[0])
        show_orders(decode[0])
        show_faults(service)
        show_key_value(fleet)
        show_hosts(fleet)
        show_crash(prefill[0], decode[0])


if __name__ == "__main__":
    main()
