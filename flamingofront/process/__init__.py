"""Process-wide components: timers, membership, leases, platform access, logs, metrics."""

__all__ = []
