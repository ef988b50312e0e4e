"""The forwarding entry process as a process: start, serve, reload, stop. Handshakes only."""

import base64
import http.client
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path
from urllib.parse import urlencode

import orjson
import pytest

ROOT = Path(__file__).resolve().parents[2]
BIN = Path(sys.executable).parent
WAIT_SECONDS = 30
IP = "127.0.0.1"


def get(address, path, headers=None, method="GET", body=None):
    """Return (status, headers, body)."""
    conn = http.client.HTTPConnection(address, timeout=WAIT_SECONDS)
    conn.request(method, path, body, headers or {})
    res = conn.getresponse()
    answer = (res.status, dict(res.getheaders()), res.read())
    conn.close()
    return answer


class Processes:
    """A store, two endpoints and one forwarding entry process, on ports that the kernel picked."""

    def __init__(self, folder):
        self.folder = folder
        self.running = []
        self.lines = []
        self.store = self.standin("store", "--config", str(ROOT / "examples/forwarding.json"))
        for name, service in (("engine-1", "engines"), ("plain-1", "records")):
            self.endpoint(name, service)
        self.settings = folder / "front.conf"
        self.write_settings()
        self.front = self.start({"FLAMINGOFRONT_BOOT": str(self.settings)})
        self.ports = self.wait_event("listening")["ports"]

    def write_settings(self, **more):
        values = {
            "node_name": "front-1",
            "zone": "zone-a",
            "ip": IP,
            "listen.front": f"{IP}:0",
            "listen.ready": f"{IP}:0",
            "port_range": "0,0",
            "platform.address": self.store,
            "cloud_api.address": self.store,
            "cloud_api.duties": "usage,scaling",
            "bounds.grace_s": "20",
            **more,
        }
        lines = [f"{name}={value}\n" for name, value in values.items()]
        self.settings.write_text("".join(lines))

    def standin(self, name, *words):
        child = subprocess.Popen(
            [BIN / f"flamingofront-standin-{name}", "--bind", f"{IP}:0", *words],
            stdout=subprocess.PIPE,
            text=True,
        )
        self.running.append(child)
        return child.stdout.readline().split()[-1]

    def endpoint(self, name, service):
        """Start an endpoint, and register it under the address that it got."""
        address = self.start_endpoint(name)
        row = {"service": service, "address": address, "zone": "zone-a", "slots": 4}
        row |= {"state": "ready", "sequence": 2, "version": "v1", "cold_left_ms": 0}
        value = base64.b64encode(orjson.dumps(row)).decode()
        write = {"table": "servers", "part": "", "key": name, "value": value}
        body = orjson.dumps({"expected_rev": [], "writes": [write], "remove": []})
        assert get(self.store, "/api/rows-tx", method="POST", body=body)[0] == 200

    def start_endpoint(self, name):
        """Start an endpoint and return its address."""
        return self.standin("endpoint", "--store", self.store, "--endpoint-id", name)

    def start(self, environment):
        child = subprocess.Popen(
            [BIN / "flamingofront-forward", "--metrics-port", "0"],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, **environment},
        )
        self.running.append(child)
        return child

    def wait_event(self, event):
        """Return the next log line with this event."""
        for line in self.front.stdout:
            data = orjson.loads(line)
            self.lines.append(data)
            if data["event"] == event:
                return data
        raise AssertionError(f"no line {event!r} before the end of the log")

    def errors(self):
        """Return the events of all lines of severity error, once the process has ended."""
        self.lines += [orjson.loads(line) for line in self.front.stdout]
        return [each["event"] for each in self.lines if each["level"] == "error"]

    def address(self, name):
        return f"{IP}:{self.ports[name]}"

    def wait_ready(self):
        while get(self.address("ready"), "/api/ready")[0] != 200:
            self.wait_event("endpoint state changed")

    def stop(self):
        for child in self.running:
            child.kill()
            child.wait()
            for pipe in (child.stdout, child.stderr):
                if pipe is not None:
                    pipe.close()


@pytest.fixture
def processes(tmp_path):
    started = Processes(tmp_path)
    yield started
    started.stop()


CALL = {
    "Host": "desk.example",
    "X-Flamingofront-Request-Id": "r1",
    "Authorization": "Bearer demo-key",
}


class TestForwardProcess:
    def test_serves_reloads_and_stops(self, processes):
        processes.wait_ready()
        address = processes.address("callers")
        assert get(address, "/lookup/1", CALL)[::2] == (200, b"from plain-1")
        status, _, body = get(address, "/stream/letter/1", CALL, "POST", b"x")
        assert status == 200 and body.count(b"id: ") == 8
        ended = processes.wait_event("request ended")
        assert ended["request"].startswith("r1#") and ended["endpoints"] == ["plain-1"]
        text = get(processes.address("metrics"), "/metrics")[2]
        assert b"flamingofront_first_token_seconds_bucket" in text

        processes.write_settings(**{"bounds.grace_s": "nonsense"})
        processes.front.send_signal(signal.SIGHUP)
        assert "bounds.grace_s" in processes.wait_event("settings rejected")["detail"]
        processes.write_settings(**{"bounds.grace_s": "15"})
        processes.front.send_signal(signal.SIGHUP)
        assert processes.wait_event("settings reloaded")["changed"] is True
        assert get(address, "/lookup/1", CALL)[0] == 200

        processes.front.send_signal(signal.SIGTERM)
        processes.wait_event("stopping")
        assert get(processes.address("ready"), "/api/ready")[0] == 503
        status, headers, _ = get(address, "/lookup/1", CALL)
        assert status == 200 and headers["Connection"] == "close"
        assert processes.wait_event("exit")["unanswered"] == 0
        assert processes.front.wait(WAIT_SECONDS) == 0
        assert processes.errors() == ["settings rejected"]

    def test_proxies_attempts_for_peers(self, processes):
        # A peer without a path to the endpoint sends its attempts here.
        processes.write_settings(**{"listen.control": f"{IP}:0"})
        processes.front.terminate()
        processes.front.wait(WAIT_SECONDS)
        processes.front = processes.start({"FLAMINGOFRONT_BOOT": str(processes.settings)})
        processes.ports = processes.wait_event("listening")["ports"]
        processes.wait_ready()
        control = processes.address("control")
        body = b"x" * 3_000_000
        query = {"endpoint": "plain-1", "request": "r#1", "sender": "vm-2", "method": "POST"}
        query |= {"target": "/lookup/1", "timeout": "5", "connect": "0.5", "new": "1"}
        headers = {**CALL, "X-Flamingofront-Expect-Instance": "plain-1"}
        status, fields, answer = get(control, f"/proxy?{urlencode(query)}", headers, "POST", body)
        assert (status, answer) == (200, b"from plain-1")
        assert fields["X-Flamingofront-Response-Seal"] == "plain-1"
        ended = processes.wait_event("proxied attempt ended")
        assert (ended["request"], ended["sender"], ended["outcome"]) == ("r#1", "vm-2", "complete")

        query["endpoint"] = "nobody"
        status, fields, _ = get(control, f"/proxy?{urlencode(query)}", headers, "POST", body)
        assert status == 502 and "wrote=0" in fields["proxy-failure"]
        query["target"] = "nonsense"
        assert get(control, f"/proxy?{urlencode(query)}", headers, "POST")[0] == 400
        text = get(control, "/metrics")[2]
        assert b'flamingofront_proxied_attempts_total{role="proxy"' in text

    @pytest.mark.parametrize(
        "settings, named", [(None, b"FLAMINGOFRONT_BOOT"), ("node_name=x\n", b"zone")]
    )
    def test_bad_settings_end_the_start_with_one_line(self, processes, settings, named, tmp_path):
        environment = {"FLAMINGOFRONT_BOOT": ""}
        if settings is not None:
            path = tmp_path / "bad.conf"
            path.write_text(settings)
            environment = {"FLAMINGOFRONT_BOOT": str(path)}
        child = processes.start(environment)
        _, errors = child.communicate(timeout=WAIT_SECONDS)
        assert child.returncode == 2
        assert named in errors and errors.count(b"\n") == 1

    @pytest.mark.parametrize("taken", ["callers", "ready", "metrics"])
    def test_port_that_is_taken_ends_the_start_with_one_line(self, processes, taken):
        """Guards against a traceback that names neither the address nor what it is for."""
        address = processes.address(taken)
        words = ["--metrics-port", address.rpartition(":")[2] if taken == "metrics" else "0"]
        names = {"callers": "listen.front", "ready": "listen.ready"}
        processes.write_settings(**{names[taken]: address} if taken in names else {})
        child = subprocess.run(
            [BIN / "flamingofront-forward", *words],
            capture_output=True,
            text=True,
            env={**os.environ, "FLAMINGOFRONT_BOOT": str(processes.settings)},
            timeout=WAIT_SECONDS,
        )
        line = f"cannot listen on {address} for {taken}: Address already in use"
        assert (child.returncode, child.stderr.strip()) == (2, f"flamingofront-forward: {line}")


class TestSecondProcess:
    """ONE: two processes of a VM under the same settings, of which each took the other's lease."""

    @pytest.fixture
    def fixed(self, processes, request):
        """The same processes; the entry process has a fixed port for its peers."""
        processes.write_settings(port_range=f"{request.param},{request.param}")
        processes.front.kill()
        processes.front.wait(WAIT_SECONDS)
        processes.front = processes.start({"FLAMINGOFRONT_BOOT": str(processes.settings)})
        processes.wait_event("leader lease acquired")
        return processes

    @staticmethod
    def start_second(processes):
        return processes.start({"FLAMINGOFRONT_BOOT": str(processes.settings)})

    @staticmethod
    def fencing(processes):
        """Return the fencing token in the row of the leader lease."""
        path = "/api/rows-get?" + urlencode({"table": "duties", "part": "duties"})
        status, _, body = get(processes.store, path)
        assert status == 200
        (row,) = (each for each in orjson.loads(body)["rows"] if each["key"] == "all")
        return orjson.loads(base64.b64decode(row["value"]))["fencing"]

    @pytest.mark.parametrize("fixed", [21007], indirect=True)
    def test_ends_before_it_tries_the_lease(self, fixed):
        before = self.fencing(fixed)
        second = self.start_second(fixed)
        output, errors = second.communicate(timeout=WAIT_SECONDS)
        line = f"cannot listen on {IP}:21007 for datagrams: Address already in use"
        assert second.returncode == 2
        assert errors.decode().strip() == f"flamingofront-forward: {line}"
        assert output == b""
        assert self.fencing(fixed) == before

    @pytest.mark.parametrize("fixed", [21008], indirect=True)
    def test_starts_only_once_the_event_loop_of_the_first_has_ended(self, fixed):
        """No call is begun by a process whose port another one has."""
        fixed.front.send_signal(signal.SIGTERM)
        for _ in range(100):
            second = self.start_second(fixed)
            if second.stdout.readline():
                break
            assert second.wait(WAIT_SECONDS) == 2
        events = [orjson.loads(line)["event"] for line in fixed.front.stdout]
        assert events[-1] == "stopped"
        assert fixed.front.wait(WAIT_SECONDS) == 0


class TestEarlyReload:
    def test_reload_signal_during_the_imports_does_not_end_the_process(self):
        # A process that was started and told to reload at once was ended by the signal.
        program = (
            "import builtins, os, signal\n"
            "imported = builtins.__import__\n"
            "def send_first(name, *rest, **more):\n"
            "    module = imported(name, *rest, **more)\n"
            "    if name == 'flamingofront.connection.client':\n"
            "        os.kill(os.getpid(), signal.SIGHUP)\n"
            "    return module\n"
            "builtins.__import__ = send_first\n"
            "import flamingofront.forward_daemon as daemon\n"
            "print(daemon.was_reload_requested())\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, timeout=WAIT_SECONDS
        )
        assert (done.returncode, done.stdout.strip()) == (0, "True")


class TestDeployFile:
    def test_dependencies_are_kept_once(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())
        required = (ROOT / "requirements.txt").read_text().split()
        assert project["project"]["dependencies"] == required

    def test_deploy_file_names_the_program(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        assert "requirements.txt" in deploy["build"]
        (role,) = deploy["roles"].values()
        assert role["run"].split() == ["python3", "-S", "-m", "flamingofront.forward_daemon"]

    def test_program_starts_without_the_site_packages(self):
        """The deploy file runs it with -S: only its declared dependencies are on the path."""
        packages = Path(orjson.__file__).parent.parent
        done = subprocess.run(
            [sys.executable, "-S", "-c", "import flamingofront.forward_daemon"],
            cwd=ROOT,
            env={"PYTHONPATH": f"{ROOT}{os.pathsep}{packages}"},
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert (done.returncode, done.stderr) == (0, "")
