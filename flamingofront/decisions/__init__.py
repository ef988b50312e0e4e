"""Decisions: admission, placement, quotas, retries and the fleet, without sockets, clocks or logs.

Each module states the load that it answers. Observations and the time go in as arguments, orders
and numbers come out, so the same objects run in a process, in tests and in `bench`.
"""
