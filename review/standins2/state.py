"""The state service, with its limits, leases, watches and outages."""

import asyncio
import json
import time
from typing import Any

from .net import Query, Server

MAX_TXN_BYTES = 64 * 1024
MAX_LIST_BYTES = 512 * 1024


class Bucket:
    """A rate limit with bursts of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self._rate, self._size = rate, rate * burst_s
        self._tokens, self._at = self._size, time.monotonic()

    def take(self, count: float) -> bool:
        """Take tokens; return False if there are not enough."""
        now = time.monotonic()
        self._tokens = min(self._size, self._tokens + (now - self._at) * self._rate)
        self._at = now
        if self._tokens < count:
            return False
        self._tokens -= count
        return True


class State:
    """One store for all controllers; each reaches it at a port of its own, by which it is known."""

    def __init__(self, limits: dict[str, Any]) -> None:
        self.limits = dict(limits)
        self.rows: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.last_lease = 0
        # Controllers that are refused; `all` stands for an outage.
        self.refused: set[str] = set()
        self.delay_s = 0.0
        self._rps = Bucket(limits["rps"], 1.0)
        self._write_rps = Bucket(limits["write_rps"], 1.0)
        self._changed = asyncio.Condition()
        self._servers: list[Server] = []

    async def start(self, ports: dict[str, int]) -> None:
        """Listen on the port of each controller."""
        for label, port in ports.items():

            async def handle(method: str, path: str, query: Query, body: bytes, label: str = label) -> Any:
                return await self.handle(label, method, path, query, body)

            server = Server(handle)
            await server.start(port)
            self._servers.append(server)
        asyncio.get_running_loop().create_task(self._expire())

    def lower(self, limits: dict[str, Any]) -> None:
        """Put lower limits into force; what is stored stays readable."""
        self.limits |= limits
        self._rps = Bucket(self.limits["rps"], 1.0)
        self._write_rps = Bucket(self.limits["write_rps"], 1.0)

    def heal(self) -> None:
        """End an outage: every lease has its full time again."""
        self.refused.clear()
        now = time.monotonic()
        self.leases = {lease: (ttl, now + ttl) for lease, (ttl, _) in self.leases.items()}

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if "all" not in self.refused:
                for lease in [lease for lease, (_, end) in self.leases.items() if end < time.monotonic()]:
                    await self._end_lease(lease)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, row in self.rows.items() if row[2] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.rows[key]
                self.log.append({"remove": key, "entry": self.revision})
            await self._notify()

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def handle(self, label: str, method: str, path: str, query: Query, body: bytes) -> tuple[int, Any]:
        """Answer one request of a controller."""
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.refused & {"all", label}:
            return 503, {"error": "trouble"}
        if not self._rps.take(1):
            return 429, {"error": "too many requests"}
        if path == "/watch":
            return await self._watch(label, query)
        if path == "/txn":
            return await self._txn(json.loads(body))
        if path.startswith("/leases"):
            return await self._lease(method, path, body)
        if path == "/store":
            return 200, self._list(query)
        key = path.removeprefix("/store/")
        if key not in self.rows:
            return 404, {"logline": self.revision}
        value, entry, lease = self.rows[key]
        return 200, {"key": key, "v": value, "entry": entry, "berth": lease}

    async def _lease(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        now = time.monotonic()
        if path == "/leases":
            self.last_lease += 1
            ttl = json.loads(body)["ttlMs"] / 1000
            self.leases[self.last_lease] = (ttl, now + ttl)
            return 200, {"berth": self.last_lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            await self._end_lease(lease)
        else:
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now + ttl)
        return 200, {"berth": lease}

    def _list(self, query: Query) -> dict[str, Any]:
        keys = sorted(key for key in self.rows if key.startswith(query["under"]) and key > query.get("from", ""))
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(1000, int(query.get("page", "1000")))]:
            value, entry, lease = self.rows[key]
            row = {"key": key, "v": value, "entry": entry, "berth": lease}
            size += len(json.dumps(row))
            if size > MAX_LIST_BYTES:
                break
            rows.append(row)
        return {"rows": rows, "truncated": len(rows) < len(keys), "logline": self.revision}

    async def _watch(self, label: str, query: Query) -> tuple[int, Any]:
        since, end = int(query["from"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            found = [
                change
                for change in self.log
                if change["entry"] > since and str(change.get("put", change.get("remove"))).startswith(query["under"])
            ]
            left = end - time.monotonic()
            if left <= 0 or (found and not self.refused & {"all", label}):
                return 200, {"logline": self.revision, "log": found}
            try:
                async with asyncio.timeout(min(left, 0.5)), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _within_limits(self, raw: dict[str, Any], changes: list[dict[str, Any]], size: int) -> bool:
        most = self.limits["txn_ops"]
        if len(changes) > most or len(raw.get("if") or ()) > 4 * most or size > MAX_TXN_BYTES:
            return False
        most_bytes = self.limits["value_kb"] * 1024
        return all(
            len(json.dumps(change["v"], separators=(",", ":"), ensure_ascii=False).encode()) <= most_bytes
            for change in changes
            if "put" in change
        )

    async def _txn(self, raw: dict[str, Any]) -> tuple[int, Any]:
        changes = raw.get("then") or []
        size = len(json.dumps(raw, separators=(",", ":"), ensure_ascii=False).encode())
        if not self._within_limits(raw, changes, size):
            return 400, {"error": "too large"}
        if not self._write_rps.take(len(changes)):
            return 429, {"error": "too many changes"}
        if any(change.get("berth") is not None and change["berth"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        failed = [
            each["key"]
            for each in raw.get("if") or ()
            if each["entry"] != (self.rows[each["key"]][1] if each["key"] in self.rows else 0)
        ]
        if failed:
            return 409, {"failed": failed, "logline": self.revision}
        if changes:
            self.revision += 1
            for change in changes:
                if "put" in change:
                    self.rows[change["put"]] = (change["v"], self.revision, change.get("berth"))
                    self.log.append({"put": change["put"], "v": change["v"], "entry": self.revision})
                else:
                    self.rows.pop(change["remove"], None)
                    self.log.append({"remove": change["remove"], "entry": self.revision})
            del self.log[:-10_000]
            await self._notify()
        return 200, {"logline": self.revision}
