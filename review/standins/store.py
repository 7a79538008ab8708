"""The state service: keys with revisions, transactions, leases and watches, with the limits of its page."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from .web import Answer, Request, Server

MAX_PAGE_KEYS = 1000
MAX_PAGE_BYTES = 512 * 1024
MAX_BODY_BYTES = 64 * 1024
WATCH_STEP_S = 0.01


class Budget:
    """A rate limit with bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._at = time.monotonic()

    def take(self, units: float) -> bool:
        """Take units if they are left; return whether they were."""
        now = time.monotonic()
        self._left = min(self._rate, self._left + (now - self._at) * self._rate)
        self._at = now
        if self._left < units:
            return False
        self._left -= units
        return True


class Store:
    """The state service on a loopback port."""

    def __init__(self, state: dict[str, float], latency_s: float) -> None:
        """Set up an empty store; `state` holds the limits under the names of the settings."""
        self.server = Server(self.handle)
        self._value_bytes = state["value_kb"] * 1024
        self._txn_ops = int(state["txn_ops"])
        self._requests = Budget(state["rps"])
        self._writes = Budget(state["write_rps"])
        # How long an answer takes.
        self.latency_s = latency_s
        # How long the answer to this transaction takes, by its decoded body; the transaction is carried out at once.
        self.answer_delay_s: Callable[[dict[str, Any]], float] = lambda body: self.latency_s
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, float] = {}
        self.ttl_s: dict[int, float] = {}
        self._last_lease = 0
        self.down = False
        self.transactions = 0

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; at its end every lease has its full time again."""
        self.down = down
        if not down:
            for lease in self.leases:
                self.leases[lease] = time.monotonic() + self.ttl_s[lease]

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, end in self.leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self.leases[lease]
        keys = [key for key, (_, _, attached) in self.data.items() if attached == lease]
        for key in keys:
            self.revision += 1
            del self.data[key]
            self.log.append({"remove": key, "entry": self.revision})

    async def handle(self, request: Request) -> Answer:
        """Answer one request."""
        if request.path == "/watch":
            return await self._watch(request.query)
        if self.down:
            await asyncio.sleep(self.latency_s)
            return Answer(503, {"error": "trouble"})
        self._expire()
        if not self._requests.take(1):
            return Answer(429, {"error": "too many requests"})
        if request.path == "/txn":
            answer = self._transact(request.body)
            await asyncio.sleep(self.answer_delay_s(request.json()))
            return answer
        if request.path.startswith("/leases"):
            answer = self._lease(request)
        elif request.path == "/store":
            answer = self._list(request.query)
        else:
            answer = self._get(request.path.removeprefix("/store/"))
        await asyncio.sleep(self.latency_s)
        return answer

    def _get(self, key: str) -> Answer:
        if key not in self.data:
            return Answer(404, {"logline": self.revision})
        value, entry, lease = self.data[key]
        return Answer(200, {"key": key, "v": value, "entry": entry, "berth": lease})

    def _list(self, query: dict[str, str]) -> Answer:
        under, after = query.get("under", ""), query.get("from", "")
        keys = sorted(key for key in self.data if key.startswith(under) and key > after)
        rows: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(int(query.get("page", MAX_PAGE_KEYS)), MAX_PAGE_KEYS)]:
            row = self._get(key).value
            size += len(json.dumps(row))
            if size > MAX_PAGE_BYTES:
                break
            rows.append(row)
        return Answer(200, {"rows": rows, "truncated": len(rows) < len(keys), "logline": self.revision})

    def _lease(self, request: Request) -> Answer:
        parts = request.path.strip("/").split("/")
        if len(parts) == 1:
            self._last_lease += 1
            self.ttl_s[self._last_lease] = request.json()["ttlMs"] / 1000
            self.leases[self._last_lease] = time.monotonic() + self.ttl_s[self._last_lease]
            return Answer(200, {"berth": self._last_lease})
        lease = int(parts[1])
        if lease not in self.leases:
            return Answer(404)
        if request.method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease] = time.monotonic() + self.ttl_s[lease]
        return Answer(200)

    def _transact(self, body: bytes) -> Answer:
        raw = json.loads(body)
        operations = raw.get("then", [])
        self.transactions += 1
        if (
            len(body) > MAX_BODY_BYTES
            or len(operations) > self._txn_ops
            or len(raw.get("if", [])) > 4 * self._txn_ops
            or any(
                len(json.dumps(operation["v"], separators=(",", ":"))) > self._value_bytes
                for operation in operations
                if "put" in operation
            )
        ):
            return Answer(400, {"error": "too large"})
        if not self._writes.take(len(operations)):
            return Answer(429, {"error": "too many changes"})
        if any(op.get("berth") is not None and op["berth"] not in self.leases for op in operations):
            return Answer(400, {"error": "no such lease"})
        failed = [
            compare["key"]
            for compare in raw.get("if", [])
            if self.data.get(compare["key"], (None, 0, None))[1] != compare["entry"]
        ]
        if failed:
            return Answer(409, {"failed": failed, "logline": self.revision})
        if operations:
            self.revision += 1
        for operation in operations:
            if "put" in operation:
                self.data[operation["put"]] = (operation["v"], self.revision, operation.get("berth"))
                self.log.append({"put": operation["put"], "v": operation["v"], "entry": self.revision})
            elif self.data.pop(operation["remove"], None) is not None:
                self.log.append({"remove": operation["remove"], "entry": self.revision})
        return Answer(200, {"logline": self.revision})

    async def _watch(self, query: dict[str, str]) -> Answer:
        under, since = query["under"], int(query["from"])
        end = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        seen = len(self.log)
        while seen and self.log[seen - 1]["entry"] > since:
            seen -= 1
        while True:
            if not self.down:
                self._expire()
                found = [e for e in self.log[seen:] if e.get("put", e.get("remove", "")).startswith(under)]
                if found or time.monotonic() >= end:
                    return Answer(200, {"logline": self.revision, "log": found})
            elif time.monotonic() >= end:
                return Answer(200, {"logline": self.revision, "log": []})
            await asyncio.sleep(WATCH_STEP_S)
