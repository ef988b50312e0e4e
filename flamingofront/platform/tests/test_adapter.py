"""Tests of the platform adapter: decoding, error responses and confinement of wire names."""

import re
from pathlib import Path

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingofront.errors import (
    ConfigurationError,
    ErrorKind,
    Executed,
    PlatformError,
    RequestError,
)
from flamingofront.messages import InboundRequest, ResponseHead
from flamingofront.platform.cloud import PlatformCloud
from flamingofront.platform.config import decode_configuration
from flamingofront.platform.endpoints import decode_endpoint
from flamingofront.platform.requests import PlatformProtocol
from flamingofront.platform.settings import parse_settings
from flamingofront.process.forwarding.settings import ProcessResources
from flamingofront.process.store import ScalingRequest, UsageReport
from flamingofront.version.forwarding import Backend, ForwardedRoute, RequestKind

PACKAGE = Path(__file__).resolve().parents[2]
WIRE_NAMES = re.compile(
    r"x-flamingofront-(?!wire)|/api/(rows|report|kv|blob|hold)|rows-(tx|get|feed)|kv-(move|from)"
    r"|tombstone|expected_rev|desired|tenants|max_conns|latency_goal_ms|drain_ms|listen\.front",
    re.IGNORECASE,
)
SETTINGS = """
node_name=front-1
zone=zone-a
ip=127.0.0.1
listen.front=127.0.0.1:8221
listen.ready=127.0.0.1:8224
port_range=7600,7615
seeds=127.0.0.1:8229,127.0.0.2:8229
platform.address=127.0.0.1:8225
cloud_api.address=127.0.0.1:8226
cloud_api.duties=usage,scaling
bounds.grace_s=8
bounds.lease_ms=3000
some.new.key=ignored
"""


class TestWireNames:
    @pytest.mark.parametrize(
        "path",
        [
            each
            for each in PACKAGE.rglob("*.py")
            if not {"platform", "standins", "tests"} & set(each.relative_to(PACKAGE).parts)
        ],
        ids=lambda path: str(path.relative_to(PACKAGE)),
    )
    def test_wire_names_only_occur_in_the_adapter(self, path):
        assert not WIRE_NAMES.findall(path.read_text())


class TestSettings:
    def test_values_are_parsed_and_unknown_keys_ignored(self):
        settings = parse_settings(SETTINGS)
        assert settings.vm_id == "front-1"
        assert settings.rules.lease_seconds == 3.0
        assert settings.peer_port == 7600
        assert settings.duties == ("usage", "scaling")
        assert [each.host for each in settings.seeds] == ["127.0.0.1", "127.0.0.2"]
        assert settings.control_bind is None

    def test_memory_and_descriptors_are_those_of_the_process(self):
        settings = parse_settings(SETTINGS + "limits.memory_mb=300\nlimits.max_fds=4100\n")
        assert settings.resources == ProcessResources(300_000_000, 4100)

    @pytest.mark.parametrize("lines", ["", "limits.memory_mb=0\nlimits.max_fds=0\n"])
    def test_resources_that_are_not_limited_have_defaults(self, lines):
        assert parse_settings(SETTINGS + lines).resources == ProcessResources()

    @pytest.mark.parametrize(
        "line, expected_text",
        [
            ("listen.front=nonsense", "listen.front"),
            ("bounds.grace_s=soon", "bounds.grace_s"),
            ("port_range=x", "port_range"),
            ("limits.memory_mb=much", "limits.memory_mb"),
            ("limits.max_fds=-1", "limits.max_fds"),
            ("limits.memory_mb=inf", "limits.memory_mb"),
            ("node_name=", "node_name"),
            ("no equals sign", "no equals sign"),
        ],
    )
    def test_error_names_the_invalid_line(self, line, expected_text):
        with pytest.raises(Exception, match=re.escape(expected_text)):
            parse_settings(SETTINGS + line + "\n")


class TestConfigurationDocument:
    def test_routes_with_weighted_backends_and_with_one_service(self):
        cfg = decode_configuration(
            b'{"version": 3, "services": [], "routes": ['
            b'{"name": "a", "host": "h", "prefix": "/a/", "kind": "stream", "timeout_ms": 500,'
            b' "backends": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]},'
            b'{"name": "b", "host": "h", "prefix": "/b/", "kind": "idempotent",'
            b' "timeout_ms": 500, "service": "x"}]}'
        )
        assert cfg.version == 3
        assert cfg.routes[0].backends == (Backend("x", 90.0), Backend("y", 10.0))
        assert cfg.routes[1].backends == (Backend("x"),)
        assert cfg.routes[1].can_repeat and not cfg.routes[0].can_repeat

    @pytest.mark.parametrize(
        "data", [b"", b"[]", b"null", b'{"version": "x"}', b'{"version": 1, "routes": [{}]}']
    )
    def test_malformed_document_is_rejected(self, data):
        with pytest.raises(ConfigurationError):
            decode_configuration(data)

    def test_backends_are_chosen_by_weight(self):
        backends = (Backend("x", 90.0), Backend("y", 10.0))
        route = ForwardedRoute("r", "h", "/r/", RequestKind.IDEMPOTENT, backends)
        share = sum(route.select_backend(f"request-{n}") == "y" for n in range(5000)) / 5000
        assert 0.08 < share < 0.12


class TestEndpointRows:
    def test_row_of_a_draining_reclaimable_endpoint(self):
        row = decode_endpoint(
            "i-1",
            b'{"service": "s", "address": "127.0.0.1:1", "zone": "z", "state": "draining",'
            b' "spot": true, "leaves_ms": 2500, "sequence": 7, "slots": 8, "version": "v1",'
            b' "cold_left_ms": 0, "born": 1764721441000}',
        )
        assert row.order_key == (1764721441000, 7)
        assert (row.ready, row.reclaimable, row.leaves_in, row.sequence) == (False, True, 2.5, 7)

    @pytest.mark.parametrize("data", [b"", b"{}", b"[1]", b'{"service": 1}', b"\xff\xfe", b"1e999"])
    def test_malformed_row_is_rejected(self, data):
        with pytest.raises(PlatformError):
            decode_endpoint("i-1", data)

    ROW = {
        "service": "s",
        "address": "127.0.0.1:8080",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 4,
        "born": 1764721441000,
    }

    def test_complete_row_with_and_without_start_time(self):
        row = decode_endpoint("i-1", orjson.dumps(self.ROW))
        assert (row.ready, row.service, row.version, row.slots) == (True, "s", "v1", 8)
        without_start_time = {name: value for name, value in self.ROW.items() if name != "born"}
        assert decode_endpoint("i-1", orjson.dumps(without_start_time)).born == 0

    @pytest.mark.parametrize("name", [each for each in ROW if each != "born"])
    def test_row_without_a_required_field_is_rejected(self, name):
        row = {each: value for each, value in self.ROW.items() if each != name}
        with pytest.raises(PlatformError):
            decode_endpoint("i-1", orjson.dumps(row))

    @pytest.mark.parametrize(
        "name, value",
        [
            ("service", ["s"]),
            ("service", ""),
            ("address", 8080),
            ("address", "nowhere"),
            ("address", "127.0.0.1:0"),
            ("address", "127.0.0.1:99999"),
            ("address", "host.example:80"),
            ("zone", None),
            ("version", 1),
            ("slots", -1),
            ("slots", True),
            ("slots", 2.5),
            ("state", "sleeping"),
            ("state", ["ready"]),
            ("state", 1),
            ("sequence", 1e308),
            ("sequence", "4"),
            ("cold_left_ms", "0"),
            ("cold_left_ms", True),
            ("cold_left_ms", -1),
            ("spot", "yes"),
            ("leaves_ms", "soon"),
            ("leaves_ms", [1]),
            ("born", 1764721441000.5),
            ("born", "1764721441000"),
            ("born", None),
        ],
    )
    def test_field_with_invalid_type_or_value_is_rejected(self, name, value):
        with pytest.raises(PlatformError):
            decode_endpoint("i-1", orjson.dumps({**self.ROW, name: value}))

    @settings(max_examples=300, deadline=None)
    @given(
        st.dictionaries(
            st.sampled_from([*ROW, "spot", "leaves_ms"]),
            st.none()
            | st.booleans()
            | st.integers(-(2**63), 2**63 - 1)
            | st.floats(allow_nan=False)
            | st.text(max_size=8)
            | st.lists(st.integers(0, 3), max_size=2),
        )
    )
    def test_any_row_is_either_decoded_to_valid_values_or_rejected(self, changes):
        try:
            row = decode_endpoint("i-1", orjson.dumps({**self.ROW, **changes}))
        except PlatformError:
            return
        host, _, port = row.address.rpartition(":")
        assert host.count(".") == 3 and 0 < int(port) < 65536
        assert type(row.slots) is int and row.slots >= 0
        assert row.order_key >= (0, 0) and row.ready in (True, False)


class TestErrorResponses:
    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_not_executed_status_is_only_sent_if_certain(self, kind):
        for ran in (Executed.UNKNOWN, Executed.YES):
            status, fields, _ = PlatformProtocol().render_error(RequestError(kind, ran=ran))
            assert status not in (408, 421, 429, 503)
            assert "Retry-After" not in dict(fields)

    def test_retry_after_has_fractional_seconds(self):
        exc = RequestError(ErrorKind.OVERLOADED, ran=Executed.NO, retry_after=0.25)
        status, fields, _ = PlatformProtocol().render_error(exc)
        assert status == 503 and dict(fields)["Retry-After"] == "0.250"


class TestCloudCalls:
    def test_unacknowledged_calls_are_discarded_before_the_call_timeout(self):
        # Otherwise a call delayed by a partition could arrive after one of the next lease holder.
        cloud = PlatformCloud("127.0.0.1:1", 1.0)
        for task in (
            cloud.request_endpoints("front-1", 2, ScalingRequest("s", "z", 1, True)),
            cloud.report_usage("front-1", 2, UsageReport(7, {})),
        ):
            call = next(task)
            assert call.ack_timeout < call.timeout
            assert dict(call.headers)["X-Flamingofront-Fencing-Token"] == "2"


class TestHeaders:
    def test_prompt_parts_and_token_counts(self):
        headers = {
            "x-flamingofront-request-id": "r",
            "x-flamingofront-token-counts": "1460,80",
            "x-flamingofront-prompt-prefix": "5c:800,e4:660",
            "host": "h",
        }
        caller = PlatformProtocol().decode(InboundRequest("POST", "/a/", {}, headers, b""))
        assert (caller.prompt_tokens, caller.output_tokens) == (1460, 80)
        assert [each.tokens for each in caller.prompt] == [800, 660]

    def test_error_names_missing_request_id_and_invalid_deadline(self):
        protocol = PlatformProtocol()
        with pytest.raises(RequestError, match="request-id"):
            protocol.decode(InboundRequest("GET", "/", {}, {}, b""))
        headers = {"x-flamingofront-request-id": "r", "x-flamingofront-deadline-ms": "soon"}
        with pytest.raises(RequestError, match="soon"):
            protocol.decode(InboundRequest("GET", "/", {}, headers, b""))

    @pytest.mark.parametrize("reused", [False, True])
    def test_response_without_an_id_on_a_connection_that_was_used_before(self, reused):
        """A second response to a request for an endpoint's state was passed on as a success."""
        head = ResponseHead(200, {}, (), reused)
        assert PlatformProtocol().decode_response_head("r-1", head).is_mismatched is reused

    @pytest.mark.parametrize(
        "headers, not_run, crossed",
        [
            ({"x-flamingofront-request-id": "r"}, False, False),
            ({"x-flamingofront-request-id": "q"}, False, True),
            ({"x-flamingofront-not-executed": "1"}, True, False),
        ],
    )
    def test_execution_and_request_id_of_responses(self, headers, not_run, crossed):
        response = PlatformProtocol().decode_response_head("r", ResponseHead(503, headers))
        assert (response.not_run, response.is_mismatched) == (not_run, crossed)
