"""Bytes of the datagrams between entry processes, by kind, for the log.

The counters in the metrics tell how much was sent since the start. A link that is full for some
seconds shows in a line for each of these seconds.
"""

from collections import Counter

from flamingofront.process.logs import Log

__all__ = ["MIN_LOGGED_BYTES", "GossipTraffic"]

# Bytes sent or received in one period from which they are logged: a fifth of a link of 5 Mbit/s.
MIN_LOGGED_BYTES = 128 * 1024


class GossipTraffic:
    """Counts datagrams in one period and logs the periods with many bytes."""

    def __init__(self, log: Log):
        self._log = log
        self._bytes: Counter[tuple[str, str]] = Counter()
        self._counts: Counter[tuple[str, str]] = Counter()
        self._largest = 0

    def record(self, way: str, kind: str, size: int) -> None:
        """Count a datagram.

        Parameters
        ----------
        way : str
            ``"sent"`` or ``"received"``.
        kind : str
            Kind of the datagram.
        size : int
            Its length in bytes.
        """
        self._bytes[way, kind] += size
        self._counts[way, kind] += 1
        self._largest = max(self._largest, size)

    def end_period(self, queued: int) -> None:
        """Log the period if much was sent or received in it, and begin the next one.

        Parameters
        ----------
        queued : int
            Datagrams that wait to be sent.
        """
        totals = self._sum_by_way()
        if max(totals.values(), default=0) >= MIN_LOGGED_BYTES:
            self._log.info(
                "gossip traffic",
                sent=totals["sent"],
                received=totals["received"],
                bytes={f"{way} {kind}": size for (way, kind), size in self._bytes.items()},
                datagrams={f"{way} {kind}": count for (way, kind), count in self._counts.items()},
                largest=self._largest,
                queued=queued,
            )
        self._bytes.clear()
        self._counts.clear()
        self._largest = 0

    def _sum_by_way(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for (way, _), size in self._bytes.items():
            totals[way] += size
        return totals
