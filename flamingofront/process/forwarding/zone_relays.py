"""Selection of the relays of a zone: the processes that sum its reports and send the sums.

There is no agreement protocol: each process ranks the members that it has cached by rendezvous hash
and reports to the first two. A process that receives a report answers with digests even if it is no
relay in its own view, so differing views only cost some datagrams until the next member list.
"""

from collections.abc import Mapping

from flamingofront.process.rendezvous import rank

__all__ = ["RELAYS_PER_ZONE", "ZoneRelays"]

# With two relays the zone still gets digests while one of them is replaced.
RELAYS_PER_ZONE = 2
# A relay is excluded if it sends no digest for this long, about four digests, after the first
# report to it. The other relay continues meanwhile.
RELAY_TIMEOUT_SECONDS = 1.2
# An excluded relay is tried again after this time: longer than a restart, shorter than a partition
# that matters.
RELAY_RETRY_SECONDS = 5.0
_HASH_KEY = "relay"


class ZoneRelays:
    """Relays to which a process reports.

    Parameters
    ----------
    local_id : str
        VM of this process, which may be a relay itself.
    """

    def __init__(self, local_id: str):
        self._local_id = local_id
        self._chosen: tuple[str, ...] = ()
        self._reporting_since: dict[str, float] = {}
        self._excluded_until: dict[str, float] = {}

    @property
    def chosen(self) -> tuple[str, ...]:
        """VMs of the relays of the last choice, the preferred one first."""
        return self._chosen

    @property
    def is_relay(self) -> bool:
        """True if this process is a relay."""
        return self._local_id in self._chosen

    def choose(
        self, members: Mapping[str, str], digest_times: Mapping[str, float], now: float
    ) -> tuple[str, ...]:
        """Choose the relays among the processes of the zone and return their VMs.

        Parameters
        ----------
        members : mapping of str to str
            IP address by VM, of the members that are not leaving.
        digest_times : mapping of str to float
            Time of the last digest of each member.
        """
        self._exclude_unresponsive(digest_times, now)
        candidates = {self._local_id, *members}.difference(self._excluded_until)
        chosen = tuple(rank(_HASH_KEY, candidates)[:RELAYS_PER_ZONE])
        for vm_id in chosen:
            self._reporting_since.setdefault(vm_id, now)
        self._reporting_since = {name: self._reporting_since[name] for name in chosen}
        self._chosen = chosen
        return chosen

    def _exclude_unresponsive(self, digest_times: Mapping[str, float], now: float) -> None:
        for vm_id, since in self._reporting_since.items():
            last_sign = max(since, digest_times.get(vm_id, since))
            if vm_id != self._local_id and now - last_sign > RELAY_TIMEOUT_SECONDS:
                self._excluded_until[vm_id] = now + RELAY_RETRY_SECONDS
        self._excluded_until = {
            vm_id: until for vm_id, until in self._excluded_until.items() if until > now
        }
