"""Metrics of an entry process, exposed through aioprometheus."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["COUNTERS", "GAUGES", "HISTOGRAMS", "Metrics"]

PREFIX = "flamingofront_"

# Names and help texts; docs/OPERATIONS.md must list the same names.
COUNTERS: Mapping[str, str] = {
    "requests_accepted_total": "Accepted requests, by service",
    "requests_completed_total": "Requests with a complete response, by service",
    "refusals_total": "Error responses, by kind",
    "retries_total": "Retries, by reason",
    "attempts_total": "Attempts started, by service",
    "frames_dropped_total": "Frames dropped, by reason",
    "tokens_sent_total": "Tokens passed to callers, by service",
    "tokens_recomputed_total": "Tokens recomputed by a later attempt, by cause",
    "handovers_total": "Requests handed over to another entry VM, by result",
    "migrations_total": "Streams migrated from a leaving endpoint, by method",
    "ejections_total": "Ejections of failing endpoints, by service",
    "endpoint_limits_total": "Changes of rate limits advertised by endpoints, by change",
    "endpoint_permits_total": "Permit claims for rate-limited endpoints, by outcome",
    "limit_questions_total": "Permit requests to other processes",
    "limit_questions_unanswered_total": "Permit requests without a reply in time",
    "limit_replies_total": "Replies to permit requests, by verdict",
    "limit_decisions_alone_total": "Permit decisions made locally because no arbiter was reachable",
    "endpoint_pauses_total": "Responses of endpoints that request back-off",
    "endpoint_leaving_total": "Endpoints reported as leaving by a response or a peer",
    "endpoint_ends_total": "Endpoints that crashed with requests of this process in flight",
    "endpoint_probes_total": "Connections opened to check whether an endpoint has crashed",
    "requests_held_total": "Requests quarantined, by source",
    "requests_released_total": "Requests released from quarantine, by reason",
    "request_trials_total": "Trial runs of quarantined requests, by result",
    "recorded_sends_total": "Send intents recorded, by result",
    "platform_errors_total": "Failed platform operations, by operation",
    "gossip_total": "Messages between entry VMs, by kind and result",
    "configurations_total": "Configurations activated",
    "leases_total": "Lease changes, by leader task and event",
    "orders_total": "Requests to change endpoints or the fleet, by kind and result",
    "reattachments_total": "Reattachments of callers, by result",
    "claims_total": "Idempotency key claims, by result",
    "faults_total": "Unhandled exceptions that were caught",
    "peer_reports_total": "Reports between forwarding entry processes, by result",
    "peer_notes_total": "Load deltas received from peers",
    "peer_digests_total": "Relay digests merged",
    "peer_datagrams_total": "Datagrams between entry processes, by direction and kind",
    "peer_bytes_total": "Bytes of datagrams between entry processes, by direction and kind",
    "peer_datagrams_refused_total": "Datagrams rejected as malformed or with a mismatched sender",
    "quota_questions_total": "Quota requests to other processes",
    "quota_questions_unanswered_total": "Quota requests without a reply in time",
    "quota_replies_total": "Replies to quota requests, by verdict",
    "quota_decisions_alone_total": "Quota decisions made locally because no arbiter was reachable",
    "platform_calls_total": "Calls to the platform's table store, by operation and table",
    "usage_reports_total": "Usage reports accepted by the cloud",
}
GAUGES: Mapping[str, str] = {
    "requests_in_flight": "Requests in flight or queued",
    "requests_waiting": "Requests queued for an endpoint",
    "requests_suspected": "Requests suspected of crashing endpoints, not quarantined",
    "requests_held": "Quarantined requests",
    "configuration_revision": "Revision of the active configuration",
    "members": "Entry VMs in the member list, by state",
    "endpoints": "Endpoint VMs in the member list, by state",
    "endpoints_limited": "Endpoints that advertise a rate limit",
    "ready": "1 if this process accepts new requests",
    "store_era": "Era of the store, increased when it is restored from an older snapshot",
    "store_age_seconds": "Seconds since the store last responded, by table",
    "knowledge_age_seconds": "Staleness of the local view of the store in seconds, by subject",
    "peers_heard": "Live other entry processes",
    "duty_fencing": "Fencing token of the leader lease held here, 0 if none",
}
HISTOGRAMS: Mapping[str, str] = {
    "first_token_seconds": "Seconds from acceptance to the first token or event",
    "request_seconds": "Seconds from acceptance to completion",
    "configuration_missing_seconds": "Seconds from notice of a newer configuration to activation",
}


# Histogram bucket bounds in seconds, dense around the latency objectives of routes, 0.3 to 1.6 s.
LATENCY_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 1.6, 2.5, 5.0, 12.0)


class Metrics:
    """Metrics of one process; counters can be read back for the query language.

    Parameters
    ----------
    const_labels : mapping of str to str, optional
        Labels of all metrics.

    Notes
    -----
    Counters are copied to the metrics library when it is scraped, not when they are incremented: an
    entry process among 64 increments counters 87 times a second and is scraped a few times a
    minute.
    """

    def __init__(self, const_labels: Mapping[str, str] | None = None):
        self._registry = Registry()
        self._counts: dict[tuple[str, tuple[tuple[str, str], ...]], float] = {}
        labels = dict(const_labels or {})
        self._counters = {
            name: Counter(PREFIX + name, text, labels, registry=self._registry)
            for name, text in COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(PREFIX + name, text, labels, registry=self._registry)
            for name, text in GAUGES.items()
        }
        self._histograms = {
            name: Histogram(
                PREFIX + name, text, labels, registry=self._registry, buckets=LATENCY_BUCKETS
            )
            for name, text in HISTOGRAMS.items()
        }

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increment a counter by `amount`."""
        if name not in self._counters:
            raise KeyError(f"unknown counter {name}")
        key = (name, tuple(sorted(labels.items())))
        self._counts[key] = self._counts.get(key, 0) + amount

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self._counts.get((name, tuple(sorted(labels.items()))), 0)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self._gauges[name].set(labels, value)

    def observe(self, name: str, value: float, **labels: str) -> None:
        """Record a value in a histogram."""
        self._histograms[name].observe(labels, value)

    def rows(self) -> list[dict[str, object]]:
        """Return all counters as rows for the query language."""
        return [
            {
                "counter": name,
                "labels": ",".join(f"{key}={value}" for key, value in labels),
                "value": int(value),
            }
            for (name, labels), value in sorted(self._counts.items())
        ]

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return all metrics in the Prometheus text format, and the HTTP headers."""
        for (name, labels), value in self._counts.items():
            self._counters[name].set(dict(labels), value)
        return render(self._registry, ("text/plain",))
