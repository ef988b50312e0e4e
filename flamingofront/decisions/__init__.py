"""Policies for admission, placement, quotas, retries and scaling, without I/O, clocks or logs.

Each module describes the load pattern for which it is designed. Observations and the current time
are arguments and decisions are results, so the same objects run in a process, in tests and in
`bench`.
"""
