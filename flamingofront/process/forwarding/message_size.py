"""Bound on the size of messages to other processes.

Others write much of what a message names: rows, configurations, requests. A message that has become
too long goes without its largest parts, since a process that sends nothing counts as gone.
"""

from collections.abc import Mapping

import orjson

__all__ = ["MAX_MESSAGE_BYTES", "encode_within"]

# Below the largest datagram of IPv4 and the buffers of receivers.
MAX_MESSAGE_BYTES = 48 * 1024


def encode_within(
    values: list, omissible: Mapping[int, object], max_bytes: int = MAX_MESSAGE_BYTES
) -> tuple[bytes, tuple[int, ...]]:
    """Encode the values of a message, without the largest ones if it would be too long.

    Parameters
    ----------
    omissible : mapping of int to object
        Values that may be left out, by position, and what then stands in their place.
    max_bytes : int
        Limit on the size in bytes.

    Returns
    -------
    data : bytes
        The message as JSON.
    omitted : tuple of int
        Positions of the values that were left out.
    """
    data = orjson.dumps(values)
    if len(data) <= max_bytes:
        return data, ()
    values, omitted = list(values), []
    sizes = {position: len(orjson.dumps(values[position])) for position in omissible}
    for position in sorted(sizes, key=lambda each: -sizes[each]):
        values[position] = omissible[position]
        omitted.append(position)
        data = orjson.dumps(values)
        if len(data) <= max_bytes:
            break
    return data, tuple(omitted)
