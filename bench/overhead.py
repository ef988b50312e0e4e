"""What an entry process adds to a call of an endpoint, as ratios from one run of real processes."""

import http.client
import statistics
import subprocess
import sys
import time
from pathlib import Path

import orjson

BIN = Path(sys.executable).parent
CALLS = 300
STREAMS = 12
STREAM_TOKENS = 300
ROUNDS = 3
WAIT_SECONDS = 30


def _start(*words):
    return subprocess.Popen(
        [str(BIN / words[0]), *words[1:]],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )


def _standin(kind, *words):
    process = _start(f"flamingofront-standin-{kind}", "--bind", "127.0.0.1:0", *words)
    return process, process.stdout.readline().split()[-1]


def _post(conn, path, body):
    conn.request("POST", path, orjson.dumps(body), {"X-Workspace": "demo"})
    res = conn.getresponse()
    return res.status, res.read()


def _cpu_seconds(process):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / 100.0


def _latencies(address, path, body, count=CALLS):
    conn = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
    times = []
    for _ in range(count):
        start = time.perf_counter()
        status, _ = _post(conn, path, body)
        assert status == 200, status
        times.append(time.perf_counter() - start)
    conn.close()
    times.sort()
    return statistics.median(times), times[int(len(times) * 0.99)]


def _read_streams(address, path, body):
    """Read several streams at once; return the number of chunks."""
    conns = []
    for _ in range(STREAMS):
        conn = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
        conn.request("POST", path, orjson.dumps(body), {"X-Workspace": "demo"})
        conns.append(conn)
    chunks = 0
    for conn in conns:
        res = conn.getresponse()
        assert res.status == 200, res.status
        chunks += res.read().count(b"\n\n" if path.startswith("/v1") else b"\n")
        conn.close()
    return chunks


def _idle_of_eight(seconds=8.0):
    """Return the part of a core that one of eight idle entry processes uses."""
    platform, address = _standin("platform", "--list-lag", "0")
    entries, controls = [], []
    for number in range(8):
        words = ["--vm-id", f"entry-{number}", "--zone", f"zone-{number % 4}"]
        words += ["--platform", address, "--log-level", "error"]
        words += ["--caller-bind", "127.0.0.1:0", "--control-bind", "127.0.0.1:0"]
        if controls:
            words += ["--peers", controls[0]]
        entries.append(_start("flamingofront-entry", *words))
        controls.append(orjson.loads(entries[-1].stdout.readline())["control"])
    time.sleep(4.0)
    before, start = [_cpu_seconds(each) for each in entries], time.perf_counter()
    time.sleep(seconds)
    elapsed = time.perf_counter() - start
    used = [_cpu_seconds(each) - known for each, known in zip(entries, before, strict=True)]
    for process in (*entries, platform):
        process.kill()
        process.wait()
    return statistics.median(used) / elapsed


class Setup:
    """One platform, one engine, one plain endpoint, one entry process."""

    def __init__(self):
        self.platform, platform = _standin("platform", "--list-lag", "0")
        self.engine, self.engine_address = _standin(
            "engine", "--engine-id", "engine-a", "--step-seconds", "0.002"
        )
        self.plain, self.plain_address = _standin("plain", "--endpoint-id", "plain-a")
        control = http.client.HTTPConnection(platform, timeout=WAIT_SECONDS)
        for name, address, service in (
            ("engine-a", self.engine_address, "demo"),
            ("plain-a", self.plain_address, "records"),
        ):
            vm = {
                "vm_id": name,
                "zone": "zone-a",
                "role": "endpoint",
                "address": address,
                "service": service,
            }
            _post(control, "/control/add", vm)
        self.entry = _start(
            "flamingofront-entry",
            *("--vm-id", "entry-a", "--zone", "zone-a", "--platform", platform),
            *("--caller-bind", "127.0.0.1:0", "--control-bind", "127.0.0.1:0"),
        )
        listening = orjson.loads(self.entry.stdout.readline())
        self.callers, self.control = listening["callers"], listening["control"]
        self._configure()

    def _configure(self):
        conn = http.client.HTTPConnection(self.control, timeout=WAIT_SECONDS)
        statements = [
            "create service demo model=demo slots=64",
            "create service records kind=plain slots=256",
            "create workspace demo max_in_flight=256",
            "create route demo service=demo",
            "create route records service=records",
        ]
        state = ""
        while state != "accepted":
            _, body = _post(conn, "/operate", {"statements": statements, "operator": "bench"})
            state = orjson.loads(body).get("state")
        conn = http.client.HTTPConnection(self.callers, timeout=WAIT_SECONDS)
        body = {"model": "demo", "prompt": "x", "max_tokens": 1}
        while _post(conn, "/v1/completions", body)[0] != 200:
            pass

    def stop(self):
        for process in (self.entry, self.engine, self.plain, self.platform):
            process.kill()
            process.wait()


def _plain(setup):
    direct = _latencies(setup.plain_address, "/x", {"a": 1})
    before = _cpu_seconds(setup.entry)
    through = _latencies(setup.callers, "/services/records/x", {"a": 1})
    cpu = (_cpu_seconds(setup.entry) - before) / CALLS
    return direct, through, cpu


def _streams(setup):
    body = {"model": "demo", "prompt": "x", "max_tokens": STREAM_TOKENS, "stream": True}
    raw = {
        "request": "r",
        "attempt": "r.1.0",
        "model": "demo",
        "prompt": ["x"],
        "resume": [],
        "max_tokens": STREAM_TOKENS,
    }
    start = time.perf_counter()
    direct_chunks = _read_streams(setup.engine_address, "/generate", raw)
    direct = time.perf_counter() - start
    before = _cpu_seconds(setup.entry)
    start = time.perf_counter()
    chunks = _read_streams(setup.callers, "/v1/completions", body)
    through = time.perf_counter() - start
    cpu = _cpu_seconds(setup.entry) - before
    return direct, through, direct_chunks, chunks, cpu


def main():
    """Print the medians of several rounds."""
    setup = Setup()
    try:
        plain = [_plain(setup) for _ in range(ROUNDS)]
        streams = [_streams(setup) for _ in range(ROUNDS)]
        before, start = _cpu_seconds(setup.entry), time.perf_counter()
        time.sleep(5.0)
        idle = (_cpu_seconds(setup.entry) - before) / (time.perf_counter() - start)
    finally:
        setup.stop()
    print("\nplain call, one connection (median and p99, entry against the endpoint directly)")
    for index, name in enumerate(("median", "p99")):
        direct = statistics.median(each[0][index] for each in plain)
        through = statistics.median(each[1][index] for each in plain)
        print(
            f"  {name:7} direct {direct * 1e3:6.2f} ms, through {through * 1e3:6.2f} ms, "
            f"added {1e3 * (through - direct):6.2f} ms, ratio {through / direct:.2f}"
        )
    cpu = statistics.median(each[2] for each in plain)
    print(f"  processor time of the entry process for one request: {cpu * 1e3:.2f} ms")
    print(f"\n{STREAMS} streams of {STREAM_TOKENS} tokens at once")
    direct = statistics.median(each[0] for each in streams)
    through = statistics.median(each[1] for each in streams)
    chunks = statistics.median(each[3] for each in streams)
    cpu = statistics.median(each[4] for each in streams)
    print(f"  time direct {direct:.2f} s, through {through:.2f} s, ratio {through / direct:.2f}")
    print(
        f"  {STREAMS * STREAM_TOKENS} tokens in {chunks:.0f} chunks; processor time of the entry "
        f"process {1e6 * cpu / chunks:.0f} us a chunk, "
        f"{1e6 * cpu / (STREAMS * STREAM_TOKENS):.0f} us a token"
    )
    print(f"\nidle entry process, alone: {100 * idle:.2f}% of a core")
    print(f"idle entry process, one of eight: {100 * _idle_of_eight():.2f}% of a core")


if __name__ == "__main__":
    main()
