"""Orders that are on their way when the lease of their process ends, or is released."""

import random
from types import SimpleNamespace

import pytest

from flamingofront.connection.call_guard import MAX_DELIVERY_SECONDS
from flamingofront.messages import ResponseData, ResponseEnd, ResponseHead, Sleep
from flamingofront.process.documents import Document
from flamingofront.process.leases import LeaseKeeper
from flamingofront.process.membership import Fact, Role, VmState
from flamingofront.process.metrics import Metrics
from flamingofront.process.orders import EngineReconciler
from flamingofront.process.tasks import TaskRunner
from flamingofront.process.timers import ManualClock, TimerService
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.world import demo_world
from flamingofront.version.model import ServiceKind

LEASE_SECONDS = 6.0
STORE_SECONDS = 0.01
# Time until a write arrives at the store.
WRITE_SECONDS = 0.03
ENGINE = Fact("e-1", 1, VmState.LIVE, Role.ENDPOINT, "zone-a", "10.0.0.1:80", "demo")
OWN = Fact("me", 1, VmState.LIVE, Role.ENTRY, "zone-a", "10.0.0.2:80", "")


class SlowDocuments:
    """The row of a lease, in a store that takes a moment for each call."""

    def __init__(self):
        self.row = Document("lease")

    def read(self, keys):
        """Return the row as it is when the call arrives."""
        row = self.row
        yield Sleep(STORE_SECONDS)
        return (row,)

    def replace(self, document, value):
        """Write the row if it is unchanged when the call arrives."""
        yield Sleep(WRITE_SECONDS)
        is_unchanged = document.revision == self.row.revision
        if is_unchanged:
            self.row = Document("lease", value, self.row.revision + 1)
        yield Sleep(STORE_SECONDS)
        return is_unchanged


class OpenTransport:
    """Transport whose calls stay open until the test ends them."""

    def __init__(self):
        self.calls = []

    def start(self, call, listener):
        self.calls.append((call, listener))
        return SimpleNamespace(cancel=lambda: None, wrote=False)


class Process:
    """One process with a lease and a reconciler, in virtual time."""

    def __init__(self, documents=None, name="me/1"):
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.transport = OpenTransport()
        self.faults = []
        self.tasks = TaskRunner(self.transport, self.timers, self.faults.append)
        self.documents = documents or SlowDocuments()
        self.lease = LeaseKeeper(
            self.documents, "models/a", name, self.timers.now, random.Random(1), LEASE_SECONDS
        )
        self.model = "demo"
        service = SimpleNamespace(kind=ServiceKind.MODEL)
        cfg = SimpleNamespace(
            find_service=lambda name: SimpleNamespace(kind=service.kind, model=self.model)
        )
        facts = SimpleNamespace(get={"me": OWN}.get, select=lambda role: [ENGINE])
        gossip = SimpleNamespace(facts=facts, own_id="me", configuration=cfg)
        self.reconciler = EngineReconciler(self.lease, gossip, self.tasks, Metrics())

    def run(self, seconds, step=0.005):
        """Let time pass."""
        until = self.clock.time + seconds
        while self.clock.time < until:
            self.clock.time = min(until, self.clock.time + step)
            self.timers.run_due()

    def stand_still(self, seconds):
        """Let time pass without running anything."""
        self.clock.time += seconds

    def acquire(self):
        """Acquire the lease without renewing it later."""
        self.tasks.start(self.lease.renew_or_acquire())
        self.run(0.1)
        assert self.lease.valid_lease() is not None

    def start_order(self):
        """Begin an order, and return its call, of which no byte is sent yet."""
        self.reconciler.reconcile()
        _, listener = self.transport.calls[-1]
        for event in (ResponseHead(200, {}), ResponseData(b'{"model":"other"}'), ResponseEnd()):
            listener(event)
        call = self.transport.calls[-1][0]
        assert call.path == "/order"
        return call


@pytest.fixture
def process():
    started = Process()
    yield started
    assert not started.faults


class TestOrderOnItsWay:
    """An order of an earlier holder reached an engine that ignores fencing tokens."""

    def test_is_sent_under_a_valid_lease(self, process):
        process.acquire()
        assert process.start_order().guard.may_send()

    def test_is_not_sent_after_its_process_stood_still(self, process):
        """The lease was checked before a connection was established, and not again."""
        process.acquire()
        call = process.start_order()
        process.stand_still(LEASE_SECONDS)
        assert not call.guard.may_send()

    def test_is_not_sent_under_a_later_lease_of_the_same_process(self, process):
        process.acquire()
        call = process.start_order()
        process.documents.row = Document("lease", {"holder": "x", "fencing": 2}, 9)
        process.tasks.start(process.lease.renew_or_acquire())
        process.run(0.1)
        process.documents.row = Document("lease", {"holder": "", "fencing": 2}, 10)
        process.acquire()
        assert process.lease.valid_lease().fencing == 3
        assert not call.guard.may_send()

    def test_is_not_sent_after_the_release(self, process):
        process.acquire()
        call = process.start_order()
        process.tasks.start(process.lease.release())
        assert not call.guard.may_send()

    def test_arrives_before_a_successor_acts(self, process):
        """What the kernel repeats for an order is bounded by what a successor waits."""
        process.acquire()
        call = process.start_order()
        assert call.ack_timeout < MAX_DELIVERY_SECONDS <= process.lease.takeover_delay

    def test_carries_the_model_that_is_configured_now(self, process):
        """An order that was decided before a change made an engine load the former model."""
        process.acquire()
        process.reconciler.reconcile()
        process.model = "newer"
        _, listener = process.transport.calls[-1]
        for event in (ResponseHead(200, {}), ResponseData(b'{"model":"other"}'), ResponseEnd()):
            listener(event)
        assert b'"newer"' in process.transport.calls[-1][0].body


class TestRelease:
    """A lease that was released at once, or came back after its release."""

    def test_waits_for_an_order_that_was_just_sent(self, process):
        process.acquire()
        assert process.start_order().guard.may_send()
        process.tasks.start(process.lease.release())
        process.run(MAX_DELIVERY_SECONDS - 0.1)
        assert process.documents.row.value["holder"] == "me/1"
        process.run(0.2)
        assert process.documents.row.value["holder"] == ""

    def test_does_not_wait_without_an_order(self, process):
        process.acquire()
        process.tasks.start(process.lease.release())
        process.run(2 * STORE_SECONDS + WRITE_SECONDS)
        assert process.documents.row.value["holder"] == ""

    def test_ends_a_lease_whose_renewal_is_under_way(self, process):
        """The answer to the renewal made the lease valid again for its whole duration."""
        process.acquire()
        process.tasks.start(process.lease.renew_or_acquire())
        process.run(1.5 * STORE_SECONDS)
        process.tasks.start(process.lease.release())
        process.run(0.2)
        assert process.lease.valid_lease() is None
        assert process.documents.row.value["holder"] == ""

    def test_ends_an_acquisition_that_is_under_way(self, process):
        """A process that held no lease acquired one while it exited."""
        process.tasks.start(process.lease.renew_or_acquire())
        process.run(0.5 * STORE_SECONDS)
        process.tasks.start(process.lease.release())
        process.run(0.2)
        assert process.documents.row.value is None

    @pytest.mark.parametrize("later", [0.0, 0.5])
    def test_process_does_not_acquire_the_lease_again(self, process, later):
        """A process that exits held the lease anew, so that others waited for its expiry."""
        process.tasks.start(process.lease.run())
        process.run(0.1 + later)
        process.tasks.start(process.lease.release())
        process.run(LEASE_SECONDS)
        assert process.lease.valid_lease() is None
        assert process.documents.row.value["holder"] == ""


class TestInTheNetwork:
    def test_order_whose_connection_takes_long_is_not_sent(self):
        """The connection was established after the lease had ended."""
        world = demo_world(entries_per_zone=1)
        world.run(10.0)
        node = world.nodes["entry-a1"]
        world.platform.inject_fault("table", FaultMode.DOWN)
        world.run_until(lambda: self._seconds_left(world, node) < 0.5, 10.0)
        engine = world.engines["engine-a1"]
        before, engine.model = list(engine.orders), "other"
        world.connect_delays["entry-a1"] = 0.8
        node.engine_reconciler.reconcile()
        world.run(0.1)
        assert node.lease.valid_lease() is not None
        links = world.host("entry-a1").links
        assert [each.wrote for each in links if each.call.path == "/order"] == [False]
        world.run(10.0)
        assert engine.orders == before

    @staticmethod
    def _seconds_left(world, node):
        lease = node.lease.valid_lease()
        return lease.valid_until - world.clock.time if lease is not None else 0.0

    def test_process_that_exits_waits_for_its_orders(self):
        """It exited with its lease unreleased, so that no engine was in order until its expiry."""
        world = demo_world(entries_per_zone=1)
        world.run(10.0)
        node = world.nodes["entry-a1"]
        assert node.lease.start_call().may_send()
        node.shut_down()
        world.run(MAX_DELIVERY_SECONDS + 0.5)
        value, _ = world.platform.rows["lease/models/zone-a"]
        assert value["holder"] == ""
