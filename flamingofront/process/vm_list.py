"""Client of the platform's VM list and reclaim notices, used by `EntryNode`.

Each operation is a generator for `flamingofront.process.tasks`.
"""

from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import orjson

from flamingofront.errors import PlatformError
from flamingofront.messages import STALE_SECONDS, BufferedResponse, OutboundCall
from flamingofront.process.calls import send_call
from flamingofront.process.tasks import Task

__all__ = ["VmList", "VmRecord"]

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304


@dataclass(frozen=True)
class VmRecord:
    """One VM of the VM list.

    Parameters
    ----------
    role : str
        ``entry`` or ``endpoint``.
    state : str
        ``live`` or ``leaving``.
    price : float
        Cost per hour.
    """

    vm_id: str
    zone: str
    role: str
    address: str
    state: str = "live"
    service: str = ""
    side: str = ""
    vm_class: str = "standard"
    reclaimable: bool = True
    price: float = 1.0


class VmList:
    """Client of the VM list and the reclaim notices.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the platform.
    timeout : float
        Seconds to wait for a response.
    """

    def __init__(self, address: str, timeout: float = 2.0):
        self._address = address
        self._timeout = timeout
        self._list: tuple[VmRecord, ...] = ()
        self._list_tag = ""

    def list_vms(self) -> Task:
        """Return the VM list as a tuple of `VmRecord`; the platform may serve a stale one.

        Notes
        -----
        The request carries the entity tag of the last response, so that an unchanged list, the
        usual case, costs a few bytes whatever its length.
        """
        headers = (("If-None-Match", self._list_tag),) if self._list_tag else ()
        call = self._get("/vms", headers)
        reply = yield from send_call(call, False, (STATUS_OK, STATUS_NOT_MODIFIED))
        if reply.status == STATUS_OK:
            self._list = tuple(VmRecord(**each) for each in _decode_body(reply)["vms"])
            self._list_tag = reply.headers.get("etag", "")
        return self._list

    def fetch_notices(self, zone: str) -> Task:
        """Return the reclaim notices of a zone as a mapping from VM id to seconds left."""
        call = self._get(f"/cloud/notices?zone={quote(zone)}")
        reply = yield from send_call(call, False, (STATUS_OK,))
        return dict(_decode_body(reply)["notices"])

    def _get(self, path: str, headers: tuple[tuple[str, str], ...] = ()) -> OutboundCall:
        return OutboundCall(
            self._address, "GET", path, b"", headers, self._timeout, stale_seconds=STALE_SECONDS
        )


def _decode_body(reply: BufferedResponse) -> dict[str, Any]:
    try:
        return orjson.loads(reply.body)
    except orjson.JSONDecodeError as exc:
        raise PlatformError(f"malformed JSON in the platform's response: {exc}") from exc
