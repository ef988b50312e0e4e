"""Ask peers for what they know better: the configuration and the endpoints."""

from collections.abc import Callable

from flamingofront.messages import OutboundCall, WholeResponse
from flamingofront.process.forwarding.knowledge import Knowledge
from flamingofront.process.forwarding.news import decode_news
from flamingofront.process.forwarding.reports import PeerReport
from flamingofront.process.logs import Log
from flamingofront.process.tasks import Task, TaskRunner

__all__ = ["CONFIGURATION_PATH", "ENDPOINTS_PATH", "KnowledgeExchange"]

ASK_TIMEOUT = 1.0
# A peer's newer configuration is asked for when the store has not brought it by itself meanwhile.
STORE_LEAD_SECONDS = 0.5
CONFIGURATION_PATH = "/forwarding/configuration"
ENDPOINTS_PATH = "/forwarding/endpoints"


class KnowledgeExchange:
    """Compares what peers report with what is known here.

    A process that follows the store asks its peers only while the store does not answer it. One
    that rests asks for each change as soon as it hears of it: the endpoints from the peer, the
    configuration from the store, since it may be too large for the small link of a VM to be sent
    to a whole zone.

    Parameters
    ----------
    now : callable
        Time of the timer service.
    """

    def __init__(self, knowledge: Knowledge, tasks: TaskRunner, now: Callable[[], float], log: Log):
        self._knowledge = knowledge
        self._tasks = tasks
        self._now = now
        self._log = log
        self._asking = False
        self._newer_since: float | None = None

    def compare(self, report: PeerReport) -> None:
        """Ask a peer for what it knows better, if the store does not bring it in time."""
        newer_configuration = report.configuration > self._knowledge.configuration.version
        newer_endpoints = self._may_take(report) and (
            report.endpoints > self._knowledge.endpoints_mark()
        )
        if not newer_configuration and not newer_endpoints:
            self._newer_since = None
            return
        if newer_configuration and self._knowledge.rests:
            self._knowledge.read_configuration_now()
        if self._newer_since is None:
            self._newer_since = self._now()
        waited = self._now() - self._newer_since >= STORE_LEAD_SECONDS
        ask_configuration = newer_configuration and (waited or self._knowledge.cut_off)
        if self._asking or not (newer_endpoints or ask_configuration):
            return
        self._asking = True
        self._tasks.start(self._ask(report, ask_configuration, newer_endpoints), self._asked)

    def _may_take(self, report: PeerReport) -> bool:
        """Tell whether a peer's endpoints count for more than what this process reads itself."""
        reached = report.follows and not report.cut_off
        return reached and (self._knowledge.cut_off or self._knowledge.rests)

    def _asked(self, result: object) -> None:
        self._asking = False
        self._newer_since = None

    def _ask(self, report: PeerReport, configuration: bool, endpoints: bool) -> Task:
        if configuration:
            data = yield from self._get(report, CONFIGURATION_PATH)
            if data:
                self._knowledge.take_configuration(data, "peer")
        if endpoints:
            path = f"{ENDPOINTS_PATH}?after={self._knowledge.endpoints_mark()}"
            data = yield from self._get(report, path)
            if data:
                self._take_endpoints(report, data)

    def _get(self, report: PeerReport, path: str) -> Task:
        reply = yield OutboundCall(report.address, "GET", path, timeout=ASK_TIMEOUT)
        if isinstance(reply, WholeResponse) and reply.status == 200:
            return reply.body
        self._log.info("peer did not answer", peer=report.vm_id, path=path, reply=str(reply)[:80])
        return b""

    def _take_endpoints(self, report: PeerReport, data: bytes) -> None:
        try:
            news = decode_news(data)
        except ValueError as exc:
            self._log.error("peer's endpoints refused", peer=report.vm_id, detail=str(exc))
            return
        self._log.info(
            "endpoints from peer",
            peer=report.vm_id,
            mark=news.mark,
            whole=news.whole,
            rows=len(news.rows),
            gone=len(news.gone),
        )
        self._knowledge.take_endpoints(news)
