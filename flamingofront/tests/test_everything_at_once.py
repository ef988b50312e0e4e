"""Stateful fuzzing of whole entry processes: any failure at any moment, together and twice.

The oracle is simple: a text is what its prompt gives, work that must not repeat is counted by the
endpoint that did it, and each caller gets one answer.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from flamingofront.request.tests.test_reclaims import expected_text, prompt_tokens
from flamingofront.standins.plain import PlainFault
from flamingofront.standins.platform import FaultMode
from flamingofront.tests.network import stream_texts
from flamingofront.tests.world import demo_world

ZONES = ("zone-a", "zone-b")
TOKENS = 120
ENTRIES = [f"entry-{letter}{number}" for letter in "ab" for number in (1, 2)]
ENGINES = [f"engine-{letter}{number}" for letter in "ab" for number in (1, 2)]


class EverythingAtOnce(RuleBasedStateMachine):
    @initialize()
    def begin(self):
        self.world = demo_world(
            ZONES, entries_per_zone=2, entry_settings={"default_deadline": 40.0}
        )
        self.streams, self.works = [], []
        self.keys = []

    def live(self, names):
        return [each for each in names if not self.world.host(each).dead]

    @rule(index=st.integers(0, 3))
    def stream_begins(self, index):
        names = self.live(ENTRIES)
        name = names[index % len(names)]
        prompt = f"p{len(self.streams)} of many words to read"
        caller = self.world.complete(name, prompt, TOKENS)
        self.streams.append((name, prompt, caller))

    @rule(index=st.integers(0, 3), keyed=st.booleans(), again=st.booleans())
    def certificate_is_asked_for(self, index, keyed, again):
        names = self.live(ENTRIES)
        name = names[index % len(names)]
        work = f"w{len(self.works)}"
        if again and keyed and self.keys:
            work = self.keys[-1]
        if keyed:
            self.keys.append(work)
        headers = {"x-work": work, "x-deadline": "20"}
        if keyed:
            headers["idempotency-key"] = work
        path = "/services/records/certificates"
        caller = self.world.call(name, "POST", path, work.encode(), headers)
        self.works.append((name, work, caller))

    @rule(seconds=st.floats(0.01, 3.0))
    def time_passes(self, seconds):
        self.world.run(seconds)

    @rule(index=st.integers(0, 3), notice=st.floats(0.0, 3.0))
    def engine_is_reclaimed(self, index, notice):
        names = self.live(ENGINES)
        if len(names) < 2:
            return
        name = names[index % len(names)]
        self.world.platform.reclaim(name, notice)
        host = self.world.host(name)
        host.timers.once(notice, lambda: self.world.kill(name))

    @rule(index=st.integers(0, 3))
    def engine_freezes_or_thaws(self, index):
        host = self.world.host(ENGINES[index])
        host.paused = not host.paused

    @rule(index=st.integers(0, 3))
    def entry_is_restarted_gracefully(self, index):
        name = ENTRIES[index]
        if self.world.host(name).dead or len(self.live(ENTRIES)) < 3:
            return
        self.world.nodes[name].shut_down()
        self.world.run_until(lambda: name in self.world.exited, 60.0)
        self.world.exited.discard(name)
        self.world.entry(name, self.world.host(name).zone)

    @rule(index=st.integers(0, 3))
    def entry_dies(self, index):
        if len(self.live(ENTRIES)) > 2:
            self.world.kill(ENTRIES[index])

    @rule(zone=st.sampled_from(ZONES))
    def zone_is_cut_off(self, zone):
        self.world.isolate(zone)

    @rule()
    def cuts_heal(self):
        self.world.heal()

    @rule(mode=st.sampled_from(list(FaultMode)))
    def platform_changes(self, mode):
        for service in ("table", "vms", "cloud"):
            self.world.platform.inject_fault(service, mode, 0.4)

    @rule(fault=st.sampled_from(list(PlainFault)), index=st.integers(0, 1))
    def plain_service_changes(self, fault, index):
        list(self.world.plains.values())[index].inject_fault(fault, count=3)

    @invariant()
    def work_that_must_not_repeat_ran_at_most_once(self):
        for _, work, _ in getattr(self, "works", ()):
            assert self.executions(work) <= 1

    def executions(self, work):
        return sum(each.executions[work] for each in self.world.plains.values())

    @invariant()
    def a_text_is_never_wrong(self):
        for _, prompt, caller in getattr(self, "streams", ()):
            if caller.status == 200:
                text = "".join(stream_texts(caller.body))
                assert expected_text(prompt_tokens(prompt), TOKENS).startswith(text)
            assert caller.answers <= 1

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.heal()
        for service in ("table", "vms", "cloud"):
            self.world.platform.inject_fault(service, FaultMode.UP)
        for name in ENGINES:
            self.world.resume(name)
        self.world.engine("engine-new", "zone-a")
        self.world.run(60.0)
        self.check_streams()
        self.check_works()

    def check_streams(self):
        for name, prompt, caller in self.streams:
            if self.died_with(name, caller):
                continue
            assert caller.done, (name, prompt)
            body = caller.body
            if caller.status != 200 or b"event: error" in body or b"event: reattach" in body:
                continue
            assert "".join(stream_texts(body)) == expected_text(prompt_tokens(prompt), TOKENS)

    def died_with(self, name, caller):
        """Tell whether the caller's process ended without notice while it waited."""
        return caller.host.dead and not caller.done

    def check_works(self):
        for name, work, caller in self.works:
            if self.died_with(name, caller):
                continue
            assert caller.done, (name, work)
            if caller.status == 200:
                assert self.executions(work) == 1
            elif caller.error["ran"] == "no":
                others = [each for _, same, each in self.works if same == work and each != caller]
                assert others or self.executions(work) == 0


TestEverythingAtOnce = EverythingAtOnce.TestCase
TestEverythingAtOnce.settings = settings(
    max_examples=20, stateful_step_count=20, phases=[Phase.generate]
)
