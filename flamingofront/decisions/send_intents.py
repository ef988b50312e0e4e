"""Policy of send intents: which requests are recorded in the store before they are sent.

Load pattern: all entry processes are killed repeatedly while a poison request is in flight. Its
crashes are unobserved, since the sending process is gone, so each incarnation starts without
evidence. A send that was recorded in the store first (a write-ahead intent) survives its process:
the next incarnation finds it and sees that the endpoint has crashed.

Recording costs a call to the store. It is therefore active only shortly after a start that may have
followed a kill, and after unobserved crashes around a restart. Requests with a response need no
intent.

A request with several unanswered sends is delayed, because their effect on the endpoints is known a
moment later.
"""

import math
from collections import OrderedDict
from collections.abc import Mapping
from dataclasses import dataclass, replace

from flamingofront.decisions.quarantine import CRASHES_TO_QUARANTINE

__all__ = ["UNANSWERED_WAIT_SECONDS", "IntentPolicy", "IntentRecord", "SendIntent"]

# Number of unanswered sends of one request at which a further send waits for their outcome.
MAX_UNANSWERED = CRASHES_TO_QUARANTINE
# Delay of such a request: endpoints crashed 40 to 180 ms after a poison request arrived.
UNANSWERED_WAIT_SECONDS = 0.2
# Recording time after an unobserved crash: longer than the interval of repeated kills, about 12 s.
RECORDING_SECONDS = 20.0
# Recording time after a start that may have followed a kill: until endpoints that crashed together
# with the previous incarnation have been detected.
STARTUP_SECONDS = 0.6
# Maximum number of requests that are remembered because an endpoint has responded to them.
MAX_RESPONDED = 4096
# Maximum number of sends and of unobserved crashes in one record.
MAX_SENDS = 8
MAX_UNOBSERVED_CRASHES = 16


@dataclass(frozen=True)
class SendIntent:
    """Write-ahead record of the send of a request to an endpoint.

    Parameters
    ----------
    vm_id, incarnation : str, int
        VM and incarnation (start time in milliseconds) of the sending process.
    at : float
        Time of the send in seconds of the shared wall clock.
    parts : tuple of str
        Parts of the request's prompt that other requests may share.
    """

    endpoint_id: str
    address: str
    zone: str
    vm_id: str
    incarnation: int
    at: float
    parts: tuple[str, ...] = ()


@dataclass(frozen=True)
class IntentRecord:
    """Unanswered sends of one request, as recorded in the store.

    Parameters
    ----------
    unobserved : tuple of str
        Endpoints with an earlier unobserved crash, which this request may have caused.
    """

    fingerprint: str
    sends: tuple[SendIntent, ...] = ()
    unobserved: tuple[str, ...] = ()

    def with_sends(self, sends: tuple[SendIntent, ...]) -> "IntentRecord":
        """Return the record with further sends, limited to the latest `MAX_SENDS`."""
        added = tuple(each for each in sends if each not in self.sends)
        return replace(self, sends=(self.sends + added)[-MAX_SENDS:])

    def without_send(self, intent: SendIntent) -> "IntentRecord":
        """Return the record without one send."""
        return replace(self, sends=tuple(each for each in self.sends if each != intent))

    def with_unobserved(self, endpoint_ids: frozenset[str]) -> "IntentRecord":
        """Return the record with further endpoints that had an unobserved crash."""
        sent_to = {each.endpoint_id for each in self.sends}
        unobserved = dict.fromkeys((*self.unobserved, *sorted(endpoint_ids)))
        names = tuple(each for each in unobserved if each not in sent_to)
        return replace(self, unobserved=names[-MAX_UNOBSERVED_CRASHES:])


class IntentPolicy:
    """Policy that decides which sends are recorded; times are those of the timer service.

    Parameters
    ----------
    began : float
        Start time of this process; minus infinity if it is not a restart.
    """

    def __init__(self, began: float = -math.inf):
        self._start_until = began + STARTUP_SECONDS
        self._record_until: dict[str, float] = {}
        self._unobserved: OrderedDict[str, None] = OrderedDict()
        self._responded: OrderedDict[str, None] = OrderedDict()

    def record_unobserved_crash(self, endpoint_id: str, service: str, now: float) -> bool:
        """Record an unobserved crash; return True if it activated recording for the service.

        Parameters
        ----------
        service : str
            Service of the endpoint; empty if unknown, which stands for all services.
        """
        was_recording = self.is_recording(service, now)
        self._record_until[service] = now + RECORDING_SECONDS
        self._unobserved[endpoint_id] = None
        while len(self._unobserved) > MAX_UNOBSERVED_CRASHES:
            self._unobserved.popitem(last=False)
        return not was_recording

    def get_unobserved(self) -> frozenset[str]:
        """Return the endpoints with unobserved crashes."""
        return frozenset(self._unobserved)

    def is_recording(self, service: str, now: float) -> bool:
        """Return True while recording is active for a service."""
        until = max(self._record_until.get(each, -math.inf) for each in (service, ""))
        return now < max(until, self._start_until)

    def must_record(self, fingerprint: str, service: str, now: float) -> bool:
        """Return True if a request must be recorded before it is sent."""
        return fingerprint not in self._responded and self.is_recording(service, now)

    def record_response(self, fingerprint: str) -> None:
        """Record that an endpoint has responded to a request."""
        self._responded[fingerprint] = None
        self._responded.move_to_end(fingerprint)
        while len(self._responded) > MAX_RESPONDED:
            self._responded.popitem(last=False)

    @staticmethod
    def must_wait(record: IntentRecord, last_alive: Mapping[str, float]) -> bool:
        """Return True if a request has too many unanswered sends to be sent again now.

        Parameters
        ----------
        last_alive : mapping of str to float
            Wall clock time at which each endpoint was last found running, in seconds. An endpoint
            that survived a send by `UNANSWERED_WAIT_SECONDS` did not crash because of it.
        """
        unanswered = [
            each
            for each in record.sends
            if last_alive.get(each.endpoint_id, each.at) - each.at < UNANSWERED_WAIT_SECONDS
        ]
        return len(unanswered) >= MAX_UNANSWERED
