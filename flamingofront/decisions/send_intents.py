"""Which requests are recorded before they are sent, and how many unanswered sends one may have.

Load pattern: all entry processes are killed while a request that crashes endpoints is under way,
again and again. The ends that it causes have no witness, since whoever sent it is gone, so each
life begins with no evidence. A send that is recorded in the store first (a write-ahead intent)
outlasts its process: the next life finds it and sees that its endpoint has ended.

A record costs a call to the store, so it is made only while something speaks for it: shortly after
a start that may have followed a kill, and after endpoints have ended about the time of a restart
with no witness. What an endpoint has answered needs none.

A request with several unanswered sends is not sent again at once: what it did to these endpoints is
known a moment later.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.quarantine import ENDS_TO_HOLD

__all__ = ["UNANSWERED_WAIT_SECONDS", "IntentPolicy", "IntentRecord", "SendIntent"]

# Unanswered sends of one request from which on a further one waits for their outcome.
MAX_UNANSWERED = ENDS_TO_HOLD
# Wait of a request that has so many: endpoints were seen to end 40 to 180 ms after such a request
# came.
UNANSWERED_WAIT_SECONDS = 0.2
# Records are made for so long after an endpoint has ended with no witness: longer than a series of
# kills a dozen seconds apart needs.
WARY_SECONDS = 20.0
# ... and for so long after the start of a process whose predecessor may have been killed, until
# endpoints that ended with it have been found.
START_SECONDS = 0.6
# Requests that are remembered as answered.
MAX_ANSWERED = 4096
# Sends and unseen ends that one record names.
MAX_SENDS = 8
MAX_UNSEEN = 16


@dataclass(frozen=True)
class SendIntent:
    """One request that is about to be sent to an endpoint.

    Parameters
    ----------
    vm_id, incarnation : str, int
        Process that sends it, and its start in milliseconds.
    at : float
        Seconds of the wall clock that the processes agree on.
    """

    endpoint_id: str
    address: str
    zone: str
    vm_id: str
    incarnation: int
    at: float


@dataclass(frozen=True)
class IntentRecord:
    """What is recorded of one request: sends that no answer has cleared.

    Parameters
    ----------
    unseen : tuple of str
        Endpoints that had ended with no witness before; they may have ended under this request.
    """

    fingerprint: str
    sends: tuple[SendIntent, ...] = ()
    unseen: tuple[str, ...] = ()

    def with_sends(self, sends: tuple[SendIntent, ...]) -> "IntentRecord":
        """Return the record with further sends; the oldest ones are left out if it gets long."""
        added = tuple(each for each in sends if each not in self.sends)
        return replace(self, sends=(self.sends + added)[-MAX_SENDS:])

    def without(self, intent: SendIntent) -> "IntentRecord":
        """Return the record without a send."""
        return replace(self, sends=tuple(each for each in self.sends if each != intent))

    def with_unobserved(self, endpoint_ids: frozenset[str]) -> "IntentRecord":
        """Return the record with further ends that had no witness."""
        own = {each.endpoint_id for each in self.sends}
        unseen = dict.fromkeys((*self.unseen, *sorted(endpoint_ids)))
        names = tuple(each for each in unseen if each not in own)
        return replace(self, unseen=names[-MAX_UNSEEN:])


class IntentPolicy:
    """Decides what is recorded; times are those of the timer service.

    Parameters
    ----------
    began : float
        Start of this process; minus infinity if it is no restart.
    """

    def __init__(self, began: float = -math.inf):
        self._start_until = began + START_SECONDS
        self._wary_until: dict[str, float] = {}
        self._unseen: OrderedDict[str, None] = OrderedDict()
        self._answered: OrderedDict[str, None] = OrderedDict()

    def record_unobserved_crash(self, endpoint_id: str, service: str, now: float) -> bool:
        """Take note of an end with no witness; True if records were not made for its service.

        Parameters
        ----------
        service : str
            Service of the endpoint; empty if it is not known, which stands for all services.
        """
        was_wary = self.is_wary(service, now)
        self._wary_until[service] = now + WARY_SECONDS
        self._unseen[endpoint_id] = None
        while len(self._unseen) > MAX_UNSEEN:
            self._unseen.popitem(last=False)
        return not was_wary

    def unseen(self) -> frozenset[str]:
        """Return the endpoints that ended with no witness."""
        return frozenset(self._unseen)

    def is_wary(self, service: str, now: float) -> bool:
        """Tell whether requests to a service are recorded."""
        until = max(self._wary_until.get(each, -math.inf) for each in (service, ""))
        return now < max(until, self._start_until)

    def is_recorded(self, fingerprint: str, service: str, now: float) -> bool:
        """Tell whether a request is recorded before it is sent."""
        return fingerprint not in self._answered and self.is_wary(service, now)

    def answered(self, fingerprint: str) -> None:
        """Take note that an endpoint has answered a request."""
        self._answered[fingerprint] = None
        self._answered.move_to_end(fingerprint)
        while len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    @staticmethod
    def must_wait(record: IntentRecord, last_alive: Mapping[str, float]) -> bool:
        """Tell whether a request has too many unanswered sends for a further one now.

        Parameters
        ----------
        last_alive : mapping of str to float
            Wall clock seconds at which endpoints were found to be there: one that has outlived a
            send by so much was not ended by it.
        """
        unanswered = [
            each
            for each in record.sends
            if last_alive.get(each.endpoint_id, each.at) - each.at < UNANSWERED_WAIT_SECONDS
        ]
        return len(unanswered) >= MAX_UNANSWERED
