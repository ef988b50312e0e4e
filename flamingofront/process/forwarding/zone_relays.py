"""Which processes of a zone sum up its reports and tell the sums.

Nothing is agreed on: each process ranks those that it knows of by rendezvous hash and reports to
the first two. A process that gets a report answers with digests, whatever it thinks of itself, so
that views that differ only cost some datagrams until the next roster.
"""

from collections.abc import Mapping

from flamingofront.process.rendezvous import rank

__all__ = ["RELAYS_PER_ZONE", "ZoneRelays"]

# With two a zone is never without word while one of them is replaced: the other's digests go on.
RELAYS_PER_ZONE = 2
# A relay that sends no digest for so long after it was first told is passed over: four digests.
# The other relay goes on meanwhile.
RELAY_TIMEOUT_SECONDS = 1.2
# It is tried again after so long: longer than a restart, shorter than a partition that matters.
RELAY_RETRY_SECONDS = 5.0
_KEY = "relay"


class ZoneRelays:
    """The relays that a process reports to.

    Parameters
    ----------
    own_id : str
        VM of this process, which may be a relay itself.
    """

    def __init__(self, own_id: str):
        self._own_id = own_id
        self._chosen: tuple[str, ...] = ()
        self._reporting_since: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    @property
    def chosen(self) -> tuple[str, ...]:
        """The relays as they were chosen last, the first one in front."""
        return self._chosen

    @property
    def is_relay(self) -> bool:
        """True if this process is one of them."""
        return self._own_id in self._chosen

    def choose(
        self, members: Mapping[str, str], heard_at: Mapping[str, float], now: float
    ) -> tuple[str, ...]:
        """Choose among the processes of the zone and return the relays.

        Parameters
        ----------
        members : mapping of str to str
            IP number by VM, of those that are not stopping.
        heard_at : mapping of str to float
            When a digest of each was heard last.
        """
        self._exclude_unresponsive(heard_at, now)
        able = {self._own_id, *members}.difference(self._excluded_until)
        chosen = tuple(rank(_KEY, able)[:RELAYS_PER_ZONE])
        for vm_id in chosen:
            self._reporting_since.setdefault(vm_id, now)
        self._reporting_since = {name: self._reporting_since[name] for name in chosen}
        self._chosen = chosen
        return chosen

    def _exclude_unresponsive(self, heard_at: Mapping[str, float], now: float) -> None:
        for vm_id, since in self._reporting_since.items():
            quiet_since = max(since, heard_at.get(vm_id, since))
            if vm_id != self._own_id and now - quiet_since > RELAY_TIMEOUT_SECONDS:
                self._excluded_until[vm_id] = now + RELAY_RETRY_SECONDS
        self._excluded_until = {
            vm_id: until for vm_id, until in self._excluded_until.items() if until > now
        }
