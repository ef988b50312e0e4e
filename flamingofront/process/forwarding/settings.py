"""Settings of an entry process that forwards routes kept in the platform's store."""

from dataclasses import dataclass

from flamingofront.process.settings import Address

__all__ = ["DeploymentSettings", "SharedRules"]


@dataclass(frozen=True)
class SharedRules:
    """Figures that all entry processes keep together; times in seconds.

    Parameters
    ----------
    retry_ratio, retry_window, retry_allowance : float
        In each window a service gets at most ratio times its requests, plus the allowance, of
        further attempts.
    lease_seconds : float
        Shortest time between two holders of a duty.
    usage_window, usage_due : float
        Length of a usage window, and how long after its end the report is due.
    quota_window, quota_over, quota_allowance : float
        Span over which quotas are measured, and the part and the units by which one may be
        exceeded.
    expose_share : float
        Part of a service's requests that a bad version may get at most during a roll-out.
    """

    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_allowance: float = 0.0
    lease_seconds: float = 3.0
    usage_window: float = 5.0
    usage_due: float = 10.0
    quota_window: float = 8.0
    quota_over: float = 0.0
    quota_allowance: float = 0.0
    expose_share: float = 0.1


@dataclass(frozen=True)
class DeploymentSettings:
    """Where an entry process listens, and what it depends on.

    Parameters
    ----------
    caller_bind, ready_bind, control_bind : Address
        Addresses for callers, for the balancer's readiness question, and for operators.
    peer_port : int
        UDP port at which entry processes talk to one another; the same on all VMs.
    seeds : tuple of Address
        Addresses of some entry VMs; they may be out of date.
    first_start : bool
        True when the whole deployment starts for the first time.
    store, cloud : Address
        The platform's table store, and the cloud's interface for duties.
    duties : tuple of str
        Duties that one entry process at a time has to do.
    stop_grace : float
        Seconds from SIGTERM until the process is killed.
    """

    vm_id: str
    zone: str
    ip: str
    caller_bind: Address
    ready_bind: Address
    control_bind: Address | None
    peer_port: int
    seeds: tuple[Address, ...]
    first_start: bool
    store: Address
    cloud: Address | None
    duties: tuple[str, ...]
    stop_grace: float
    rules: SharedRules = SharedRules()
