"""Which crashes the gossip messages of a process hold."""

import pytest

from flamingofront.decisions.gossip_scope import GOSSIP_SECONDS, RECENT_SECONDS, GossipScope
from flamingofront.decisions.part_evidence import PartEvidence
from flamingofront.decisions.part_facts import (
    InterruptedRequest,
    PartCrash,
    PartSurvivor,
)
from flamingofront.decisions.quarantine import Quarantine
from flamingofront.decisions.quarantine_facts import EndpointCrash

SCOPES = (GossipScope.NEWS, GossipScope.OWN, GossipScope.RECENT, GossipScope.ALL)


def make_evidence(kind, is_own, at=0.0, request="w1"):
    """Return evidence on one crash, and what adds a request to it at a time."""
    evidence = Quarantine() if kind == "request" else PartEvidence()

    def add(request, is_own, now):
        if kind == "request":
            evidence.record_crash(EndpointCrash("e1", "a", at, (request,)), now, is_own)
        else:
            crash = PartCrash("e1", "a", at, (InterruptedRequest(request, ("p1",)),))
            evidence.record_crash(crash, now, is_own)

    add(request, is_own, at)
    return evidence, add


def list_scopes(evidence, now):
    return [each for each in SCOPES if evidence.build_update(now, each) is not None]


@pytest.mark.parametrize("kind", ["request", "part"])
class TestScopes:
    def test_crash_of_this_process_is_in_all_messages_and_later_in_full_ones(self, kind):
        evidence, _ = make_evidence(kind, is_own=True)
        assert list_scopes(evidence, 0.1) == list(SCOPES)
        assert list_scopes(evidence, RECENT_SECONDS - 0.1) == list(SCOPES[1:])
        assert list_scopes(evidence, RECENT_SECONDS + 0.1) == [GossipScope.ALL]
        assert list_scopes(evidence, GOSSIP_SECONDS + 0.1) == []

    def test_crash_that_others_told_of_is_not_told_as_own(self, kind):
        """Guards against processes that repeat to all what all of them have told each other."""
        evidence, _ = make_evidence(kind, is_own=False)
        assert list_scopes(evidence, 0.1) == [GossipScope.RECENT, GossipScope.ALL]

    def test_another_request_makes_an_old_crash_recent_again(self, kind):
        evidence, add = make_evidence(kind, is_own=True)
        add("w2", False, 2.0)
        assert list_scopes(evidence, 2.1) == [GossipScope.RECENT, GossipScope.ALL]
        add("w2", True, 2.1)  # nothing new
        assert list_scopes(evidence, 2.2) == [GossipScope.RECENT, GossipScope.ALL]
        add("w3", True, 2.2)
        assert list_scopes(evidence, 2.3) == list(SCOPES)

    def test_message_without_evidence_has_none(self, kind):
        evidence, _ = make_evidence(kind, is_own=True)
        assert evidence.build_update(0.1, GossipScope.NONE) is None


class TestAnswersThatOthersLack:
    def test_crash_with_an_answered_part_is_told_as_own(self):
        evidence, _ = make_evidence("part", is_own=False)
        evidence.record_answer(("p1",), 0.2)
        evidence.mark_own_news(("p1",), 0.3)
        update = evidence.build_update(0.3, GossipScope.NEWS)
        assert [each.part for each in update.answers] == ["p1"]


class TestTimes:
    def make_crashes(self, count):
        evidence = PartEvidence()
        for number in range(count):
            request = InterruptedRequest(f"w{number}", ("p1",), seconds=0.5)
            evidence.record_crash(PartCrash(f"e{number}", "a", 0.1 * number, (request,)), 0.0, True)
        evidence.exposure.record_survivors([PartSurvivor("p1", "e9", 2.0, 0.1)])
        return evidence

    @pytest.mark.parametrize("crashes, survivors", [(1, 0), (2, 1), (3, 1)])
    def test_survivors_are_told_of_parts_at_several_crashes(self, crashes, survivors):
        evidence = self.make_crashes(crashes)
        times = evidence.build_times(evidence.build_update(0.3), 0.3)
        assert len(times.survivors) == survivors
        assert len(times.at_crashes) == crashes

    def test_times_of_answered_parts_are_left_out(self):
        evidence = self.make_crashes(2)
        evidence.record_answer(("p1",), 0.2)
        times = evidence.build_times(evidence.build_update(0.3), 0.3)
        assert (times.at_crashes, times.survivors) == ((), ())
