"""Stand-in of the platform: its table store and its API for duties, as PROTOCOL.md describes them.

Calls under `/standin/` stand for the operator, for runners and for the person who runs a drill:

- `put` writes a row (`table`, `key`, `value`).
- `down` refuses all calls to the store with 503 for some `seconds`.
- `restore` brings the store back from a copy that is `seconds` old. What the operator and the
  runners wrote is written again.

Each call for a duty is appended to the record as one line of JSON.
"""

import argparse
import asyncio
import base64
import contextlib
import json
import time
from urllib.parse import parse_qsl

import wire

EXPIRY_SECONDS = 3.6
OWNED_TABLES = ("op", "servers")


class Store:
    """Rows with versions, the history of their changes, and the times of all writes."""

    def __init__(self):
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self.version = 0
        self.era = 0
        self.down_until = 0.0
        self.heard_at: dict[str, float] = {}
        self._history: list[tuple[int, tuple[str, str, str], str | None]] = []
        self._copies: list[tuple[float, int, dict]] = []
        self.changed = asyncio.Event()

    def apply(self, writes: dict[tuple[str, str, str], str | None]) -> None:
        """Write rows, or drop those with None, as one transaction."""
        self.version += 1
        for key, value in writes.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = (value, self.version)
            self._history.append((self.version, key, value))
        self._copies.append((time.monotonic(), self.version, dict(self.rows)))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row of the operator or of a runner."""
        self.apply({(table, "", key): base64.b64encode(json.dumps(value).encode()).decode()})

    def restore(self, seconds: float) -> None:
        """Return to the copy that is some seconds old, in a new era."""
        since = time.monotonic() - seconds
        kept = [each for each in self._copies if each[0] <= since]
        newest = self.rows
        _, self.version, rows = kept[-1] if kept else (0.0, 0, {})
        self.rows, self._copies = dict(rows), kept
        self._history = [each for each in self._history if each[0] <= self.version]
        self.era += 1
        owned = {key: row[0] for key, row in newest.items() if key[0] in OWNED_TABLES}
        for key, value in owned.items():
            if self.rows.get(key, ("", 0))[0] != value:
                self.apply({key: value})
        for key in [key for key in self.rows if key[0] in OWNED_TABLES and key not in owned]:
            self.apply({key: None})
        self.changed.set()
        self.changed = asyncio.Event()

    def changes(self, table: str, after: int) -> list[dict]:
        """Return the changed rows of a table since a version."""
        return [
            _encode(key, value, version)
            for version, key, value in self._history
            if version > after and key[0] == table
        ]

    def expire(self) -> None:
        """Drop the rows of runners that have been silent."""
        limit = time.monotonic() - EXPIRY_SECONDS
        for key in [key for key in self.rows if key[0] == "servers"]:
            if self.heard_at.get(key[2], limit) < limit:
                self.apply({key: None})


def _encode(key: tuple[str, str, str], value: str | None, version: int) -> dict:
    row = {"table": key[0], "part": key[1], "key": key[2], "ver": version}
    return {**row, "tombstone": True} if value is None else {**row, "value": value}


class Platform:
    """Serves the store and the calls for duties."""

    def __init__(self, record: str):
        self.store = Store()
        self._record = open(record, "a", buffering=1)  # noqa: SIM115

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the calls of one connection."""
        while (req := await wire.read_message(reader)) is not None and req.complete:
            path, _, query = req.target.partition("?")
            body = json.loads(req.body) if req.body else {}
            status, reply = await self._answer(path, dict(parse_qsl(query)), body, req)
            if writer.is_closing():
                break
            headers = {"Content-Type": "application/json", "Store-Era": str(self.store.era)}
            writer.write(wire.encode_response(status, headers, json.dumps(reply).encode()))
        writer.close()

    async def _answer(self, path: str, query: dict, body: dict, req) -> tuple[int, dict]:
        store = self.store
        if path.startswith("/standin/"):
            return self._control(path.removeprefix("/standin/"), body)
        if path in ("/usage", "/scale"):
            return self._record_duty(path, body, req)
        if time.monotonic() < store.down_until:
            return 503, {}
        if path == "/api/rows-tx":
            return self._transact(body)
        if path == "/api/rows-get":
            return 200, self._read(query)
        if path == "/api/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _control(self, name: str, body: dict) -> tuple[int, dict]:
        if name == "put":
            self.store.heard_at[body["key"]] = time.monotonic()
            self.store.put(body["table"], body["key"], body["value"])
        elif name == "down":
            self.store.down_until = time.monotonic() + body["seconds"]
        elif name == "restore":
            self.store.restore(body["seconds"])
        return 200, {}

    def _record_duty(self, path: str, body: dict, req: wire.Message) -> tuple[int, dict]:
        line = {
            "at": round(time.time(), 3),
            "path": path,
            "holder": req.headers["x-flamingofront-duty-holder"],
            "fence": int(req.headers["x-flamingofront-fencing-token"]),
            "body": body,
        }
        self._record.write(json.dumps(line) + "\n")
        return 200, {}

    def _stamp(self) -> dict:
        return {"ver": self.store.version, "now_ms": int(time.monotonic() * 1000)}

    def _transact(self, body: dict) -> tuple[int, dict]:
        rows = self.store.rows
        wanted = {(e["table"], e["part"], e["key"]): e["ver"] for e in body["expected_rev"]}
        if any(rows.get(key, ("", 0))[1] != ver for key, ver in wanted.items()):
            found = [_encode(key, *rows[key]) for key in wanted if key in rows]
            return 412, {"rows": found, **self._stamp()}
        if any(e["table"] in OWNED_TABLES for e in (*body["writes"], *body["remove"])):
            return 403, {}
        writes = {(e["table"], e["part"], e["key"]): e["value"] for e in body["writes"]}
        self.store.apply(writes | {(e["table"], e["part"], e["key"]): None for e in body["remove"]})
        return 200, self._stamp()

    def _read(self, query: dict) -> dict:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("to", "")
        limit = int(query.get("limit", 500))
        found = [
            _encode(key, *row)
            for key, row in sorted(self.store.rows.items())
            if key[:2] == (table, part) and first <= key[2] and (not end or key[2] < end)
        ]
        return {"rows": found[:limit], "truncated": len(found) > limit, **self._stamp()}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        store, after = self.store, int(query["after_rev"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        era = store.era
        while True:
            if after > store.version or store.era != era:
                return 410, self._stamp()
            if time.monotonic() < store.down_until:
                return 503, {}
            rows, left = store.changes(query["table"], after), until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, **self._stamp()}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(store.changed.wait(), min(left, 0.5))


async def main(options: argparse.Namespace) -> None:
    """Serve the platform until the process is ended."""
    platform = Platform(options.record)
    host, _, port = options.bind.rpartition(":")
    server = await asyncio.start_server(platform.serve, host, int(port), limit=1 << 23)
    async with server:
        while True:
            await asyncio.sleep(0.2)
            if time.monotonic() >= platform.store.down_until:
                platform.store.expire()


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", required=True)
    parser.add_argument("--record", required=True)
    asyncio.run(main(parser.parse_args()))
