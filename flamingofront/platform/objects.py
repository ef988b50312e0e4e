"""Client of the platform's object store."""

from urllib.parse import quote

from flamingofront.messages import STALE_SECONDS, OutboundCall
from flamingofront.platform.store import STATUS_OK
from flamingofront.process.calls import send_call
from flamingofront.process.store import ObjectStore
from flamingofront.process.tasks import Task

__all__ = ["PlatformObjectStore"]

STATUS_NOT_FOUND = 404
PUT_PATH = "/api/blob-put/"
GET_PATH = "/api/blob-get/"
DELETE_PATH = "/api/blob-drop/"


class PlatformObjectStore(ObjectStore):
    """Client of the platform's object store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    timeout : float
        Seconds to wait for a response.
    """

    def __init__(self, address: str, timeout: float):
        self._address = address
        self._timeout = timeout

    def put(self, name: str, data: bytes) -> Task:
        """Store an object, replacing any object of the same name."""
        yield from send_call(self._make_call("PUT", PUT_PATH, name, data), True, (STATUS_OK,))

    def get(self, name: str) -> Task:
        """Return the bytes of an object, or None if it does not exist."""
        call = self._make_call("GET", GET_PATH, name)
        reply = yield from send_call(call, False, (STATUS_OK, STATUS_NOT_FOUND))
        return reply.body if reply.status == STATUS_OK else None

    def drop(self, name: str) -> Task:
        """Delete an object; it is not an error if the object does not exist."""
        call = self._make_call("DELETE", DELETE_PATH, name)
        yield from send_call(call, True, (STATUS_OK, STATUS_NOT_FOUND))

    def _make_call(self, method: str, path: str, name: str, data: bytes = b"") -> OutboundCall:
        return OutboundCall(
            self._address,
            method,
            path + quote(name, safe=""),
            data,
            timeout=self._timeout,
            stale_seconds=STALE_SECONDS,
        )
