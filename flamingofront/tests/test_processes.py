"""The programs as processes: start, serve, hand over, stop. Handshakes only, no sleeps."""

import http.client
import os
import signal
import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from flamingofront.standins.engine import compute_token
from flamingofront.tests.network import stream_texts

BIN = Path(sys.executable).parent
WAIT_SECONDS = 30
CONFIGURATION = """
[services.demo]
kind = "model"
model = "demo"
[services.records]
kind = "plain"
[workspaces.demo]
[routes.demo]
service = "demo"
[routes.records]
service = "records"
"""


def request(address, method, path, body=None, headers=None):
    """Return (status, headers, body); the body of a stream is read to its end."""
    conn = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
    data = None if body is None else orjson.dumps(body)
    conn.request(method, path, data, {"X-Workspace": "demo", **(headers or {})})
    res = conn.getresponse()
    answer = (res.status, dict(res.getheaders()), res.read())
    conn.close()
    return answer


class Processes:
    """Stand-ins and entry processes on ports that the kernel picked."""

    def __init__(self, folder):
        self.folder = folder
        self.running = {}
        self.platform = self.standin("platform", "--list-lag", "0")
        for name, zone in (("engine-a", "zone-a"), ("engine-b", "zone-b")):
            address = self.standin("engine", "--engine-id", name, "--step-seconds", "0.005")
            self.add(name, zone, "endpoint", address, "demo")
        address = self.standin("plain", "--endpoint-id", "plain-a")
        self.add("plain-a", "zone-a", "endpoint", address, "records")
        self.callers, self.controls = {}, {}
        for name, zone in (("entry-a", "zone-a"), ("entry-b", "zone-b")):
            self.entry(name, zone)

    def start(self, name, *words):
        log = open(self.folder / f"{name}.log", "w")  # noqa: SIM115 - the child keeps it
        process = subprocess.Popen(
            [str(BIN / words[0]), *words[1:]], stdout=subprocess.PIPE, stderr=log, text=True
        )
        self.running[name] = process
        return process

    def standin(self, kind, *words):
        name = f"{kind}-{len(self.running)}"
        process = self.start(name, f"flamingofront-standin-{kind}", "--bind", "127.0.0.1:0", *words)
        return process.stdout.readline().split()[-1]

    def add(self, name, zone, role, address, service=""):
        vm = {"vm_id": name, "zone": zone, "role": role, "address": address, "service": service}
        request(self.platform, "POST", "/control/add", vm)

    def entry(self, name, zone):
        words = ["--vm-id", name, "--zone", zone, "--platform", self.platform]
        words += ["--caller-bind", "127.0.0.1:0", "--control-bind", "127.0.0.1:0"]
        words += ["--drain-timeout", "0.2", "--gossip-period", "0.2", "--list-period", "0.2"]
        if self.controls:
            words += ["--peers", ",".join(self.controls.values())]
        process = self.start(name, "flamingofront-entry", *words)
        listening = orjson.loads(process.stdout.readline())
        self.callers[name], self.controls[name] = listening["callers"], listening["control"]
        self.add(name, zone, "entry", self.controls[name])
        while request(self.callers[name], "GET", "/readyz")[0] != 200:
            pass

    def command(self, *words):
        """Run the command line; return (exit code, output)."""
        environment = {**os.environ, "FLAMINGOFRONT_ENTRY": ",".join(self.controls.values())}
        done = subprocess.run(
            [str(BIN / "flamingofront"), *words],
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
            env=environment,
        )
        return done.returncode, done.stdout + done.stderr

    def engines(self):
        return [each for name, each in self.running.items() if name.startswith("engine")]

    def signal_engines(self, number):
        """Freeze or thaw the engines, so that a stream neither grows nor ends meanwhile."""
        for process in self.engines():
            if process.poll() is None:
                process.send_signal(number)

    def rows(self, entry, statement):
        body = {"statements": [statement], "operator": "test"}
        return orjson.loads(request(self.controls[entry], "POST", "/operate", body)[2])["rows"]

    def stop(self):
        for process in self.running.values():
            process.kill()
        for process in self.running.values():
            process.wait()
            process.stdout.close()


@pytest.fixture(scope="module")
def processes(tmp_path_factory):
    folder = tmp_path_factory.mktemp("processes")
    running = Processes(folder)
    file = folder / "configuration.toml"
    file.write_text(CONFIGURATION)
    code, output = running.command("apply", str(file))
    assert code == 0, output
    body = {"model": "demo", "prompt": "x", "max_tokens": 1}
    for address in running.callers.values():
        while request(address, "POST", "/v1/completions", body)[0] != 200:
            pass
    yield running
    running.stop()


class TestServing:
    def test_stream_and_whole_answer_agree(self, processes):
        body = {"model": "demo", "prompt": "one two three", "max_tokens": 30}
        address = processes.callers["entry-a"]
        _, _, whole = request(address, "POST", "/v1/completions", body)
        status, headers, stream = request(
            address, "POST", "/v1/completions", {**body, "stream": True}
        )
        assert (status, headers["Content-Type"]) == (200, "text/event-stream")
        assert "".join(stream_texts(stream)) == orjson.loads(whole)["choices"][0]["text"]

    def test_plain_call(self, processes):
        status, _, body = request(
            processes.callers["entry-b"], "POST", "/services/records/a?b=c", {"d": 1}
        )
        assert status == 200
        assert orjson.loads(body)["path"] == "/a"

    def test_metrics_and_health(self, processes):
        assert request(processes.callers["entry-a"], "GET", "/healthz")[0] == 200
        status, _, body = request(processes.controls["entry-a"], "GET", "/metrics")
        assert status == 200
        assert b"flamingofront_requests_accepted_total" in body


class TestCommandLine:
    def test_query_as_table_and_json(self, processes):
        code, output = processes.command("show", "vms", "where", "role=entry", "fields", "vm,zone")
        assert code == 0
        assert output.split() == ["vm", "zone", "entry-a", "zone-a", "entry-b", "zone-b"]
        code, output = processes.command("show", "routes", "--json")
        assert [row["name"] for row in orjson.loads(output)["rows"]] == ["demo", "records"]

    def test_exit_codes_tell_outcomes_apart(self, processes):
        code, output = processes.command("change", "workspace", "demo", "weight=2")
        assert (code, output.split(":")[0]) == (0, "accepted")
        code, output = processes.command("change", "workspace", "demo", "weight=3", "--base", "0")
        assert (code, output.split(":")[0]) == (4, "conflict")
        code, output = processes.command("create", "route", "r", "service=missing")
        assert (code, output.split(":")[0]) == (3, "refused")
        assert processes.command("show", "cats")[0] == 2
        assert processes.command("settle", "op-nobody")[0] == 3

    def test_drain_and_wait(self, processes):
        assert processes.command("drain", "endpoint", "engine-b")[0] == 0
        code, output = processes.command("wait", "endpoint", "engine-b")
        assert (code, output) == (0, "drained: endpoint engine-b\n")
        assert processes.command("undrain", "endpoint", "engine-b")[0] == 0


class TestSettingsOfTheProgram:
    def test_bad_value_ends_the_start_with_one_line(self):
        done = subprocess.run(
            [str(BIN / "flamingofront-entry"), "--vm-id", "a", "--zone", "z", "--platform", "x"],
            capture_output=True,
            text=True,
            timeout=WAIT_SECONDS,
        )
        assert done.returncode == 2
        assert done.stderr == "flamingofront-entry: --platform: got 'x', must be IP:PORT\n"


class TestDeathAndStop:
    """Runs last: it ends processes that the other tests use."""

    def test_graceful_stop_hands_a_stream_over(self, processes):
        address = processes.callers["entry-a"]
        conn = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
        body = {"model": "demo", "prompt": "long", "max_tokens": 600, "stream": True}
        conn.request("POST", "/v1/completions", orjson.dumps(body), {"X-Workspace": "demo"})
        res = conn.getresponse()
        request_id = res.getheader("X-Request-Id")
        first = res.read1(65536)
        processes.signal_engines(signal.SIGSTOP)
        processes.running["entry-a"].send_signal(signal.SIGTERM)
        data = first + res.read()
        conn.close()
        assert b"event: reattach" in data
        assert processes.running["entry-a"].wait(WAIT_SECONDS) == 0
        processes.signal_engines(signal.SIGCONT)
        ids = [line[4:] for line in data.decode().split("\n") if line.startswith("id: ")]
        status, _, rest = request(
            processes.callers["entry-b"],
            "GET",
            f"/v1/requests/{request_id}",
            headers={"Last-Event-ID": ids[-1]},
        )
        text = "".join(stream_texts(data) + stream_texts(rest))
        assert status == 200
        assert text == "".join(compute_token(["long"], index) for index in range(600))

    def test_killed_engine_is_resumed_elsewhere(self, processes):
        address = processes.callers["entry-b"]
        conn = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
        body = {"model": "demo", "prompt": "kill", "max_tokens": 400, "stream": True}
        conn.request("POST", "/v1/completions", orjson.dumps(body), {"X-Workspace": "demo"})
        res = conn.getresponse()
        data = res.read1(65536)
        processes.signal_engines(signal.SIGSTOP)
        (row,) = processes.rows("entry-b", "show requests")
        victim = next(each for each in processes.engines() if row["endpoint"] in each.args)
        victim.kill()
        processes.signal_engines(signal.SIGCONT)
        data += res.read()
        conn.close()
        text = "".join(stream_texts(data))
        assert text == "".join(compute_token(["kill"], index) for index in range(400))
