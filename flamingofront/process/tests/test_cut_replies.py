"""Replies of engines and peers without framing that were cut: the task that called goes on."""

from types import SimpleNamespace

import pytest

from flamingofront.messages import ResponseData, ResponseEnd, ResponseHead
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.orders import EngineReconciler
from flamingofront.process.peers import PeerLinks
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.process.watch import EndpointWatch
from flamingofront.request.migration import _transfer_cache
from flamingofront.version.model import ServiceKind

ENGINE = Fact("e-1", 1, VmState.LIVE, Role.ENDPOINT, "zone-a", "10.0.0.1:80", "demo")
PEER = Fact("p-1", 1, VmState.LIVE, Role.ENTRY, "zone-a", "10.0.0.2:80", "")


class CutTransport:
    """Transport whose calls get a successful response, whose body was cut."""

    def __init__(self, body):
        self.body = body
        self.calls = []

    def start(self, call, listener):
        self.calls.append(call)
        for event in (ResponseHead(200, {}), ResponseData(self.body), ResponseEnd()):
            listener(event)


@pytest.fixture(params=[b"", b'{"load": 1', b'{"model'], ids=["empty", "load", "model"])
def tasks(request):
    faults = []
    yield TaskRunner(CutTransport(request.param), TimerService(ManualClock()), faults.append)
    assert not faults


def gossip():
    cfg = SimpleNamespace(
        find_service=lambda name: SimpleNamespace(kind=ServiceKind.MODEL, model="demo")
    )
    facts = SimpleNamespace(get={"me": PEER, "p-1": PEER}.get, select=lambda role: [ENGINE])
    return SimpleNamespace(
        facts=facts, own_id="me", configuration=cfg, peers=lambda: (PEER,), make_digest=None
    )


def run(tasks, task):
    results = []
    tasks.start(task, results.append)
    return results


class TestEngines:
    def test_load_is_asked_again(self, tasks):
        """Guards against an engine whose load is never read again."""
        watch = EndpointWatch(gossip(), tasks, tasks.timers, lambda *_: None, lambda *_: None)
        watch._list_assigned_endpoints = lambda: (ENGINE,)
        watch.poll()
        watch.poll()
        assert len(tasks.transport.calls) == 2

    def test_state_is_asked_again_and_no_model_is_loaded(self, tasks):
        lease = SimpleNamespace(valid_lease=lambda: SimpleNamespace(fencing=1))
        reconciler = EngineReconciler(lease, gossip(), tasks, Metrics())
        reconciler.reconcile()
        reconciler.reconcile()
        assert [each.path for each in tasks.transport.calls] == ["/state", "/state"]

    def test_transfer_of_a_cache_fails(self, tasks):
        assert run(tasks, _transfer_cache("10.0.0.1:80", "10.0.0.3:80", "r", "a")) == [""]


class TestPeers:
    @pytest.fixture
    def links(self):
        links = SimpleNamespace(_gossip=gossip(), headers=(), _metrics=Metrics())
        links._post = lambda *args: PeerLinks._post(links, *args)
        return links

    def test_claim_counts_as_run(self, tasks, links):
        """Guards against a request with a key that is never answered."""
        assert run(tasks, PeerLinks.query_not_run(links, "p-1", "r")) == [False]

    def test_rows_count_as_missing(self, tasks, links):
        assert run(tasks, PeerLinks.fetch_rows(links, PEER, "vms")) == [None]

    def test_exchange_of_digests_counts_as_failed(self, tasks, links):
        links._timers = tasks.timers
        links._gossip.make_digest = lambda now: SimpleNamespace(to_json=dict)
        assert run(tasks, PeerLinks._exchange_digests_with(links, PEER.address)) == [None]
        assert links._metrics.value("gossip_total", kind="digest", result="failed") == 1
