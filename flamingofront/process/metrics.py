"""Metrics of an entry process, exposed through aioprometheus."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

__all__ = ["COUNTERS", "GAUGES", "HISTOGRAMS", "Metrics"]

PREFIX = "flamingofront_"

# Names and help texts; docs/OPERATIONS.md must list the same names.
COUNTERS: Mapping[str, str] = {
    "requests_accepted_total": "Accepted requests, by service",
    "connections_refused_total": "New connections reset unread, since this process is overloaded",
    "connections_spliced_total": "Connections of callers that one process handed to another",
    "requests_completed_total": "Requests answered whole, by service",
    "refusals_total": "Error answers, by kind",
    "attempts_kept_total": "Attempts that go on though their path seems lost: no retry is certain",
    "memory_refusals_total": "Requests refused for want of memory, by what it was wanted for",
    "memory_evictions_total": "Connections ended for their memory, by what it was held for",
    "retries_total": "Further attempts, by reason",
    "attempts_total": "Attempts started, by service",
    "frames_dropped_total": "Frames that were not used, by reason",
    "tokens_sent_total": "Tokens passed to callers, by service",
    "tokens_recomputed_total": "Tokens that a further attempt had to compute again, by cause",
    "handovers_total": "Requests given to another entry VM, by result",
    "migrations_total": "Streams moved off a leaving endpoint, by way",
    "stream_resumptions_total": "Streams that go on, or cannot, by who resumes them and result",
    "ejections_total": "Ejections of failing endpoints, by service",
    "endpoint_limits_total": "Changes of the rate that endpoints take from all, by change",
    "endpoint_permits_total": "Claims to send to endpoints with a limit, by outcome",
    "limit_questions_total": "Questions to other processes for permits",
    "limit_questions_unanswered_total": "Questions for permits without a reply in time",
    "limit_replies_total": "Replies to questions for permits, by verdict",
    "limit_decisions_alone_total": "Decisions on permits while no arbiter was reached",
    "endpoint_pauses_total": "Answers of endpoints that want no requests for a while",
    "endpoint_leaving_total": "Endpoints of which an answer, or a peer, says that they leave",
    "path_checks_total": "Checks of the direct paths to endpoints, by outcome",
    "proxied_attempts_total": "Attempts through a peer, by role in them",
    "proxy_peer_questions_total": "Questions to silent peers that proxy attempts",
    "proxy_refusals_total": "Attempts of peers that were not sent on, by reason",
    "endpoint_ends_total": "Endpoints that ended without notice while requests of this process ran",
    "endpoint_probes_total": "Connections opened to see whether an endpoint has ended",
    "requests_held_total": "Requests that are not run any more, by source",
    "requests_released_total": "Requests that are run again, by reason",
    "part_crashes_total": "Endpoints that ended under requests with a quarantined part, by part",
    "crashes_attributed_late_total": "Known crashes of endpoints that turned out to have had "
    "requests of this process which it had abandoned",
    "part_evidence_cleared_total": "Answers that refuted crashes held against parts of prompts, "
    "by what was received of the answer",
    "part_refusals_total": "Requests refused for a quarantined part of their prompt, by part",
    "request_trials_total": "Trials of requests that are held back, by result",
    "recorded_sends_total": "Requests that are recorded before they are sent, by result",
    "endpoints_outdated_total": "Times that this process was too far behind to use the endpoints",
    "platform_errors_total": "Failed platform operations, by operation",
    "gossip_total": "Messages between entry VMs, by kind and result",
    "configurations_total": "Configurations put in force",
    "leases_total": "Lease changes, by duty and event",
    "orders_total": "Orders to endpoints and cloud, by kind and result",
    "reattachments_total": "Callers that came back, by result",
    "claims_total": "Idempotency key claims, by result",
    "faults_total": "Program faults that were caught",
    "peer_reports_total": "Reports between forwarding entry processes, by result",
    "peer_notes_total": "Notes of peers on what they placed at endpoints",
    "peer_digests_total": "Digests of relays that were taken in",
    "peer_datagrams_total": "Datagrams to and from other entry processes, by way and kind",
    "peer_bytes_total": "Bytes of these datagrams, by way and kind",
    "peer_datagrams_outdated_total": "Datagrams that were not processed, by reason: a newer one "
    "came, or too many waited",
    "peer_datagrams_refused_total": "Datagrams that were malformed or not their sender's own",
    "peer_messages_shortened_total": "Messages that went without some parts, being too long",
    "quota_questions_total": "Questions to other processes on quotas",
    "quota_questions_unanswered_total": "Questions on quotas without a reply in time",
    "quota_replies_total": "Replies to questions on quotas, by verdict",
    "quota_decisions_alone_total": "Decisions on quotas while no arbiter was reached",
    "platform_calls_total": "Calls to the platform's table store, by operation and table",
    "usage_reports_total": "Usage reports that the cloud took",
}
GAUGES: Mapping[str, str] = {
    "requests_in_flight": "Requests held here",
    "requests_waiting": "Requests that wait for an endpoint",
    "memory_limit_bytes": "Memory that connections may hold",
    "memory_held_bytes": "Memory that connections hold, by what it is held for",
    "requests_suspected": "Requests at which endpoints ended, and that are run",
    "requests_held": "Requests that are not run",
    "configuration_revision": "Revision in force",
    "members": "Entry VMs known, by state",
    "endpoints": "Endpoint VMs known, by state",
    "endpoints_limited": "Endpoints that name the rate that they take from all",
    "endpoint_paths": "Ready endpoints, by the path on which requests reach them",
    "proxied_attempts": "Attempts that are sent on for other entry VMs now",
    "stream_origins": "Recent streams of which it is known here which version began them",
    "ready": "1 if this process takes new work",
    "store_era": "Era of the store: rises when it comes back from an older copy",
    "store_age_seconds": "Time since the store last answered, by table",
    "knowledge_age_seconds": "Time since what is known here was known to be current, by subject",
    "peers_heard": "Other entry processes heard now",
    "duty_fencing": "Fencing number of the duty lease held here, 0 if none",
}
HISTOGRAMS: Mapping[str, str] = {
    "first_token_seconds": "Time from acceptance to the first token or event",
    "request_seconds": "Time from acceptance to the end",
    "configuration_missing_seconds": "Time from word of a newer configuration until it is in force",
    "endpoint_departure_seconds": "Longest time for which an endpoint had left unknown, by way",
    "event_loop_turn_seconds": "Turns of the event loop of ten milliseconds and more",
    "peer_queue_seconds": "Time for which datagrams to other entry processes were queued",
    "peer_message_delay_seconds": "Time from the sending of a message of another entry process "
    "until it was read, from fifty milliseconds on",
    "digest_transit_seconds": "Time from the building of a relay's digest until it was applied",
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
            raise KeyError(f"no counter is named {name}")
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
