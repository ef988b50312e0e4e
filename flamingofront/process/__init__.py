"""What lives for a process: timers, membership, leases, platform access, logs, metrics."""

__all__ = []
