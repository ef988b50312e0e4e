"""Settings of an entry process that forwards along routes kept in the platform's store."""

from dataclasses import dataclass

from flamingofront.process.settings import Address

__all__ = ["DeploymentSettings", "ProcessResources", "SharedRules"]


@dataclass(frozen=True)
class SharedRules:
    """Limits that apply to all entry processes together; times in seconds.

    Parameters
    ----------
    retry_ratio, retry_window, retry_allowance : float
        In each window a service gets at most ratio times its requests, plus the allowance, as
        retries and hedges.
    lease_seconds : float
        Shortest time between two holders of the leader lease.
    usage_window, usage_due : float
        Length of a usage window, and the time after its end at which the report is due.
    quota_window, quota_over, quota_allowance : float
        Span over which quotas are measured, and the fraction and the units by which a quota may be
        exceeded.
    drain_seconds : float
        Time from the store's confirmation that an endpoint leaves until no process sends to it.
    expose_share : float
        Largest fraction of a service's requests that a bad version may get during a rollout.
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
    drain_seconds: float = 3.0
    expose_share: float = 0.1


@dataclass(frozen=True)
class ProcessResources:
    """What one process may use.

    Parameters
    ----------
    memory : int
        Bytes of memory; the process is killed when it exceeds them.
    descriptors : int
        Open descriptors, some of which only files may use.
    """

    memory: int = 512_000_000
    descriptors: int = 4096


@dataclass(frozen=True)
class DeploymentSettings:
    """Addresses of an entry process, and the platform services it depends on.

    Parameters
    ----------
    caller_bind, ready_bind, control_bind : Address
        Addresses for callers, for the balancer's readiness check, and for operators.
    peer_port : int
        UDP port for gossip between entry processes, and TCP port for connections that they hand
        over; the same on all VMs.
    seeds : tuple of Address
        Addresses of some entry VMs; they may be out of date.
    first_start : bool
        True when the whole deployment starts for the first time.
    store, cloud : Address
        The platform's table store, and the cloud API for leader tasks.
    duties : tuple of str
        Names of the leader tasks, each done by one entry process at a time.
    stop_grace : float
        Seconds from SIGTERM until the process is killed.
    resources : ProcessResources
        What the process may use.
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
    resources: ProcessResources = ProcessResources()
