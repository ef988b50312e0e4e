"""Rows of the operator query on the network paths of a process to the endpoints."""

from typing import Any

from flamingofront.request.host import RequestHost

__all__ = ["PATH_COLUMNS", "path_rows"]

PATH_COLUMNS = ("vm", "zone", "endpoint", "zone_of_endpoint", "path", "connected", "failed")


def path_rows(hub: RequestHost) -> list[dict[str, Any]]:
    """Return one row for each ready endpoint.

    The last two columns are the seconds since a connection was established, and since one failed;
    None if the other happened later or if there was none.
    """
    return [
        {
            "vm": hub.settings.vm_id,
            "zone": hub.settings.zone,
            "endpoint": each,
            "zone_of_endpoint": hub.directory.zone_of(each),
            "path": hub.paths.path_to(each).value,
            "connected": connected,
            "failed": failed,
        }
        for each in hub.directory.ready_endpoints()
        for connected, failed in (hub.paths.monitor.get_evidence_age(each),)
    ]
