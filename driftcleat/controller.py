"""One controller: puts the parts together and runs their loops. All decisions are made in `term`."""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

import aiohttp

from driftcleat import wire
from driftcleat.api import Answer, Listener, UserApi, serve
from driftcleat.fleet.cloud import CloudClient
from driftcleat.fleet.manager import FleetManager
from driftcleat.leadership import Election, PeerSurvey, Role
from driftcleat.metrics import Metrics
from driftcleat.model import Batch, Cluster, Job
from driftcleat.net import SocketBudget
from driftcleat.peers import PeerClient
from driftcleat.settings import Platform, Tuning
from driftcleat.store.client import Conflict, Malformed, Rejected, StoreClient, StoreError, StoreLimits, Unknown
from driftcleat.store.records import (
    BATCH,
    CHUNKS,
    DATA_VERSION,
    ENDED,
    JOBS,
    LEADER,
    MACHINES,
    RENTALS,
    TYPES,
    VERSION,
    BatchMark,
    EncodedBatch,
    EndedRecord,
    Layout,
    MachineRecord,
    RentalRecord,
    TooLarge,
    encode_batch,
    load_jobs,
)
from driftcleat.term import OpenRental, Term
from driftcleat.wire import peers as peer_messages
from driftcleat.wire.cloud import MachineType
from driftcleat.wire.workers import EXITED, Orders, Redirect, Report, Signal, split_task
from driftcleat.workers import WorkerClient

log = logging.getLogger(__name__)


# What a process takes at the least (measured), in MB.
LITTLE_MB = 64
# Where workers send their reports.
REPORTS = "/agent/beat"
# The most cancelled jobs that a leader names to its followers.
MOST_NAMED = 500
# Roles in which a controller answers reports in its own right.
LEADS = frozenset((Role.REBUILDING.value, Role.LEADING.value, Role.UNSURE.value))


class Deposed(Exception):
    """The term has ended."""


class Controller:
    """One controller process."""

    def __init__(
        self,
        platform: Platform,
        tuning: Tuning,
        rng: random.Random | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self.platform, self.tuning, self.clock, self.wall = platform, tuning, clock, wall
        self.rng = rng if rng is not None else random.Random()
        self.metrics = Metrics()
        self.layout = self._new_layout()
        # The data versions that the other controllers have said they can write.
        self.peer_versions: dict[str, int] = {}
        self.term: Term | None = None
        self.mark_version = 0
        self.batch_number = 0
        self.work = asyncio.Event()
        self.committed = asyncio.Event()
        self.started_at = clock()
        self.leader_ok_at = float("-inf")
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Serve for ever."""
        platform = self.platform
        sockets = SocketBudget(platform.fd_limit, len(platform.peers))
        sessions = self.connect(sockets)
        self.users = UserApi(platform, self.tuning, self.store, self.peers, self, self.clock)
        self.election = Election(
            platform,
            self.tuning,
            self.store,
            self.rng,
            self.clock,
            self._rebuild,
            self._resigned,
            self._ask_peers,
            self._ask_leader,
        )
        self.fleet_manager = FleetManager(self)
        servers = await self.listen(sockets)
        if platform.memory_mb < LITTLE_MB:
            log.warning("deployment.resources.memory_mb is %g: about %d are needed", platform.memory_mb, LITTLE_MB)
        log.info("controller %s listens on %s and %s", platform.label, platform.bind, platform.back)
        loops: list[Callable[[], Awaitable[None]]] = [
            self.election.run,
            self._write_loop,
            self._scan_loop,
            self._direct_loop,
            *self.fleet_manager.loops(),
        ]
        try:
            await asyncio.gather(*(self._contain(loop) for loop in loops))
        finally:
            for server in servers:
                await server.cleanup()
            for session in sessions:
                await session.close()

    def _new_layout(self) -> Layout:
        platform = self.platform
        return Layout(
            platform.value_bytes, platform.txn_ops, platform.first_value_bytes, platform.first_txn_ops, platform.zones
        )

    def connect(self, sockets: SocketBudget) -> list[aiohttp.ClientSession]:
        """Make the clients; return what is to be closed in the end."""
        platform = self.platform
        # Each use has connections of its own: what hangs in one takes none from another.
        store, lease, cloud, peers, workers = sessions = [
            part.session(platform.lease_s)
            for part in (sockets.store, sockets.lease, sockets.cloud, sockets.peers, sockets.workers)
        ]
        self.store = StoreClient(store, lease, platform.state, self.store_limits, self.clock)
        self.cloud = CloudClient(cloud, platform.cloud, platform.cloud_rps, platform.report_s, self.clock)
        self.peers = PeerClient(peers, platform)
        self.workers = WorkerClient(workers, platform.report_s, sockets.workers.total)
        return sessions

    @property
    def store_limits(self) -> StoreLimits:
        """What the store takes of us."""
        return StoreLimits(self.platform.state_rps, self.platform.write_rps, self.platform.report_s * 0.5)

    async def listen(self, sockets: SocketBudget) -> list[Listener]:
        """Open the addresses that are served."""
        self.front = await serve(self.platform.bind, self.handle_front, sockets.front, workers=REPORTS)
        return [await serve(self.platform.back, self._handle_back, sockets.back, 256 * 1024), self.front]

    async def _contain(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop for ever; what it raises is logged, the process never ends itself."""
        while True:
            try:
                await loop()
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("loop %s failed, it goes on", getattr(loop, "__qualname__", loop))
            await asyncio.sleep(self.platform.report_s / 10)

    def spawn(self, work: Awaitable[None]) -> None:
        """Run something on the side; its failure is logged."""

        async def contained() -> None:
            try:
                await work
            except Exception:
                log.exception("side task failed")

        task = asyncio.ensure_future(contained())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # -- what other parts ask -----------------------------------------------------------------------------

    @property
    def holds(self) -> bool:
        """Whether this controller leads for certain."""
        return self.term is not None and self.election.holds

    @property
    def term_to_enforce(self) -> Term | None:
        """The term whose committed stops are to be carried out: also while this leader is unsure."""
        unsure = self.election.role is Role.UNSURE and self.election.answers_workers
        return self.term if unsure or self.holds else None

    @property
    def leader(self) -> str | None:
        """The leader's label as far as known."""
        return self.election.leader

    def wake_writer(self) -> None:
        """There may be something to decide."""
        self.work.set()

    # -- terms --------------------------------------------------------------------------------------------

    async def _rebuild(self, token: int) -> None:
        """Read all records; from now on the picture in memory is the truth's copy."""
        version = await self.store.get(VERSION)
        heads, chunks, rentals, machines, types, mark = await asyncio.gather(
            self.store.read_all(JOBS),
            self.store.read_all(CHUNKS),
            self.store.read_all(RENTALS),
            self.store.read_all(MACHINES),
            self.store.get(TYPES),
            self.store.get(BATCH),
        )
        written = wire.decode(bytes(version.value), int) if version is not None else 1
        if written > DATA_VERSION:
            raise Malformed(f"the records are of data version {written}, this program knows {DATA_VERSION}")
        jobs, orphans = load_jobs(heads, chunks)
        ended = await self._ended_needs(jobs)
        self.layout = self._new_layout()
        self.layout.switched = written == DATA_VERSION
        known = wire.decode(bytes(types.value), tuple[MachineType, ...]) if types is not None else ()
        cluster = Cluster(
            token, jobs, {kind.name: kind for kind in known}, self.clock(), self.platform.lease_s, ended
        )
        term = Term(
            self.platform, self.tuning, cluster, self.layout, self.rng, self.clock, self.wall, brand_new=mark is None
        )
        for item in machines:
            term.housekeeping.restore_images(item.key[len(MACHINES) :], wire.decode(bytes(item.value), MachineRecord))
        term.housekeeping.garbage.extend(orphans)
        for item in rentals:
            name = item.key[len(RENTALS) :]
            term.rentals.restore(OpenRental(name, wire.decode(bytes(item.value), RentalRecord)))
        self.mark_version = mark.version if mark is not None else 0
        self.batch_number = 0
        self.term = term
        self._note_version(self.platform.label, DATA_VERSION)
        self.fleet_manager.reset(types is not None)
        log.info("term %d: %d jobs, %d open rentals", token, len(jobs), len(term.rentals.open))
        self.wake_writer()

    async def _ended_needs(self, jobs: dict[str, Job]) -> dict[str, str]:
        """Return the final states of the jobs that others need and that are over."""
        over = sorted({need for job in jobs.values() for need in job.spec.needs or () if need not in jobs})
        items = await asyncio.gather(*(self.store.get(ENDED + need) for need in over))
        return {
            need: wire.decode(bytes(item.value), EndedRecord).state
            for need, item in zip(over, items, strict=True)
            if item is not None
        }

    def _note_version(self, label: str, version: int) -> None:
        """A controller has said which data version it can write; once all write ours, it may begin.

        Nobody goes back after it was upgraded, so answers may be gathered over time.
        """
        self.peer_versions[label] = version
        term = self.term
        if (
            term is not None
            and not term.migration.latch_wanted
            and all(self.peer_versions.get(peer.label, 1) >= DATA_VERSION for peer in self.platform.peers)
        ):
            term.migration.latch_wanted = True
            self.wake_writer()

    def _resigned(self) -> None:
        self.term = None
        self.users.drop_outstanding()
        self._announce_commit()

    async def _ask_peers(self) -> PeerSurvey:
        """Ask the other controllers how they see the store and who leads."""
        if self.election.is_leader:
            self.users.drop_outstanding()
        asked_at = self.clock()
        views = await self.peers.views(self.election.ttl_s * 0.4)
        highest = max(views, key=lambda view: view.token, default=None)
        leader_contact_at, cancelled = _contact(asked_at, [view.leader_status for view in views])
        return PeerSurvey(
            others_served=any(_served(view) or view.role in LEADS for view in views),
            leader_contact_at=leader_contact_at,
            cancelled=cancelled,
            token=highest.token if highest else 0,
            leader=highest.leader if highest else None,
            all_confirm=len(views) == len(self.platform.peers) and all(view.confirms for view in views),
        )

    async def _ask_leader(self) -> PeerSurvey:
        """Ask the leader how it stands."""
        asked_at, leader = self.clock(), self.leader
        if leader not in self.peers.addresses:
            return PeerSurvey()
        pongs = await self.peers.ping([leader], self.platform.report_s / 10)
        leader_contact_at, cancelled = _contact(asked_at, [pong.leader_status for pong in pongs])
        return PeerSurvey(leader_contact_at=leader_contact_at, cancelled=cancelled)

    def _leader_status(self) -> peer_messages.LeaderStatus | None:
        """Tell how we stand, if we lead."""
        if self.term is None or not self.election.is_leader:
            return None
        cancelled = sorted(self.term.cancellations.still_placed())
        return peer_messages.LeaderStatus(
            self.clock() - self.election.certain_at, cancelled if len(cancelled) <= MOST_NAMED else None
        )

    # -- writing ------------------------------------------------------------------------------------------

    async def _write_loop(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self.work.wait(), self.platform.report_s / 12)
            except TimeoutError:
                pass
            self.work.clear()
            term = self.term
            if term is None or not self.holds or not term.has_work:
                continue
            if not term.admission.waiting and (delay := self.store.writes.delay(term.worth_a_batch)) > 0:
                # The store's changes a second are used up: gather more, unless a user comes.
                await asyncio.sleep(min(delay, self.platform.report_s / 60))
                self.wake_writer()
                continue
            started = self.clock()
            batch = term.build(self.store.writes.available())
            self.metrics.build_ms.record(self.clock() - started)
            self.metrics.spent("build", self.clock() - started)
            if batch.empty:
                for call in batch.after:
                    call()
                self._announce_commit()
                continue
            try:
                self.batch_number += 1
                began = self.clock()
                encoded = encode_batch(batch, self.layout, term.cluster.token, self.batch_number, self.mark_version)
                self.metrics.spent("encode", self.clock() - began)
            except TooLarge as error:
                await self._drop(term, batch, error)
                continue
            try:
                revision = await self._commit(term, batch, encoded)
            except Rejected as error:
                # Refused for its size: limits have fallen, which they do only once every controller is new.
                term.migration.latch_wanted = True
                await self._drop(term, batch, error)
                continue
            except Deposed:
                continue
            self.metrics.batch_ms.record(self.clock() - started)
            self.mark_version = revision
            began = self.clock()
            term.commit(batch, revision, encoded.garbage)
            self.metrics.spent("commit", self.clock() - began)
            self._announce_commit()
            self.wake_writer()

    def _announce_commit(self) -> None:
        self.committed.set()
        self.committed = asyncio.Event()
        self.fleet_manager.wake.set()

    async def _commit(self, term: Term, batch: Batch, encoded: EncodedBatch) -> int:
        """Have the store take a batch; resend or read back until its outcome is known."""
        perhaps_taken = False
        while True:
            try:
                return await self.store.txn_raw(encoded.body, encoded.changes)
            except Conflict as conflict:
                revision = await self._read_back(term, encoded.mark)
                if revision is not None:
                    return revision
                log.warning("batch refused: %s", conflict)
                self._end_term(term, "a batch was refused")
                raise Deposed from None
            except Rejected:
                # An earlier try of the same batch may have come before the limits fell.
                revision = await self._read_back(term, encoded.mark) if perhaps_taken else None
                if revision is not None:
                    return revision
                raise
            except Malformed as error:
                log.error("batch answered with nonsense: %s", error)
                self._end_term(term, "the answer to a batch was malformed")
                raise Deposed from None
            except StoreError as error:
                log.debug("batch: %s", error)
                perhaps_taken = perhaps_taken or isinstance(error, Unknown)
            if self.term is not term:
                raise Deposed
            if perhaps_taken and self.election.role is Role.UNSURE and term.cancellations.stop_unconfirmed(batch):
                self._announce_commit()
            await asyncio.sleep(self.election.ttl_s * 0.06)

    async def _drop(self, term: Term, batch: Batch, error: Exception) -> None:
        """A batch was certainly not carried out and cannot be as it is: what it took is decided anew, after a pause.

        Guards against a term that ends, or turns in circles, for a record that the store does not take.
        """
        log.error("batch not taken: %s", error)
        term.discard(batch)
        await asyncio.sleep(self.platform.report_s / 12)

    async def _read_back(self, term: Term, mark: BatchMark) -> int | None:
        """Tell whether a batch whose repeat was refused had been carried out before."""
        while self.term is term:
            try:
                item = await self.store.get(BATCH)
                if item is not None and wire.decode(bytes(item.value), BatchMark) == mark:
                    return item.version
                return None
            except StoreError as error:
                log.debug("batch key: %s", error)
                await asyncio.sleep(self.election.ttl_s * 0.06)
        return None

    def _end_term(self, term: Term, why: str) -> None:
        if self.term is term:
            self.election.ask_resign(why)

    # -- workers ------------------------------------------------------------------------------------------

    async def _handle_report(self, body: bytes) -> Answer:
        """Answer a worker's report."""
        tended = self.election.isolated_token
        if not self.election.answers_workers and tended is None:
            leader = self.leader if self.leader != self.platform.label else None
            return Answer(421, wire.encode(Redirect(leader)))
        started = self.clock()
        try:
            report = wire.decode(body, Report)
        except wire.WireError as error:
            self.metrics.bad_reports += 1
            log.info("malformed report: %s", error)
            return Answer.error(400, str(error))
        if tended is not None:
            return self._extend_lease(report, tended)
        token = self.election.token
        if report.token > token:
            self.election.ask_resign(f"a worker has seen token {report.token}")
            return Answer(421, wire.encode(Redirect(None)))
        term = self.term
        if term is None:
            return Answer(200, wire.encode(Orders(token, [])))
        machine = term.cluster.observe(report, self.clock())
        self.metrics.spent("reports", self.clock() - started)
        if machine is None:
            self.metrics.stale_reports += 1
            log.debug("stale report of %s: session %d, seq %d", report.machine, report.session, report.seq)
            return Answer(200, wire.encode(Orders(token, [])))
        self.fleet_manager.heard_at = self.clock()
        if term.cluster.news(machine) or term.has_work:
            self.wake_writer()
            if term.cluster.news(machine) and not self.front.limiter.crowded:
                await self._await_news(term, machine.name, report)
        if self.term is not term or not self.election.answers_workers:
            return Answer(421, wire.encode(Redirect(None)))
        ordered = self.clock()
        orders = term.cluster.orders(machine, report, self.election.may_start)
        answer = Answer(200, wire.encode(Orders(token, orders)))
        self.metrics.spent("orders", self.clock() - ordered)
        self.metrics.report_ms.record(self.clock() - started)
        return answer

    def _extend_lease(self, report: Report, token: int) -> Answer:
        """Keep the lease of a worker that is cut off together with us, unless it has heard of a newer leader."""
        if report.token > token:
            self.election.note_higher_token(report.token)
            return Answer(421, wire.encode(Redirect(None)))
        live = {split[0] for task in report.tasks if task.state != EXITED and (split := split_task(task.task))}
        if not self.election.may_extend_lease(live):
            return Answer(421, wire.encode(Redirect(None)))
        return Answer(200, wire.encode(Orders(token, [])))

    async def _await_news(self, term: Term, name: str, report: Report) -> None:
        """Let a report's exits be committed first: its answer can then forget them and start what follows."""
        deadline = self.clock() + self.platform.report_s * self.tuning.answer
        while self.holds and self.term is term:
            machine = term.cluster.machines.get(name)
            left = deadline - self.clock()
            if machine is None or machine.report is not report or left <= 0:
                return
            if not term.cluster.news(machine) and not term.has_work:
                return
            try:
                await asyncio.wait_for(self.committed.wait(), left)
            except TimeoutError:
                return

    async def _direct_loop(self) -> None:
        """Send stops straight to workers as soon as they are committed."""
        while True:
            await self.committed.wait()
            term = self.term
            if term is None:
                await asyncio.sleep(self.platform.report_s / 10)
                continue
            while term.urgent:
                self._send_stops(term, term.urgent.pop())

    def _send_stops(self, term: Term, name: str) -> None:
        machine = term.cluster.machines.get(name)
        if machine is None or machine.report is None or not machine.addr:
            return
        signals = term.cluster.stops(machine)
        if signals:
            self.spawn(
                self._send(
                    machine.addr,
                    machine.report.session,
                    term.cluster.token,
                    signals,
                    term.reachability.likely_unreachable(machine, self.clock()),
                )
            )

    async def _send(
        self, addr: str, session: int, token: int, signals: list[Signal], likely_unreachable: bool
    ) -> None:
        refusal = await self.workers.send(addr, token, session, signals, likely_unreachable)
        if refusal is not None and refusal.token > self.election.token:
            self.election.ask_resign(f"a worker has seen token {refusal.token}")

    async def _scan_loop(self) -> None:
        """Go through all machines again and again: resend stops, watch for silence."""
        while True:
            await asyncio.sleep(self.platform.report_s * self.tuning.scan)
            term = self.term
            if term is None or not self.election.answers_workers:
                continue
            for name in list(term.cluster.machines):
                self._send_stops(term, name)
            self.wake_writer()

    async def raise_token(self, addr: str) -> None:
        """Make a worker see our token, so that it leaves a leader before us."""
        token = self.election.token
        refusal = await self.workers.send(addr, token, 1, [], likely_unreachable=True)
        if refusal is None:
            return
        if refusal.token > token:
            self.election.ask_resign(f"a worker has seen token {refusal.token}")
        elif refusal.session != 1:
            await self.workers.send(addr, token, refusal.session, [], likely_unreachable=True)

    # -- servers ------------------------------------------------------------------------------------------

    async def handle_front(self, method: str, path: str, body: bytes) -> Answer:
        if path == REPORTS:
            if method != "POST":
                return Answer.error(405, "only POST is allowed here")
            return await self._handle_report(body)
        if path == "/ready":
            if method != "GET":
                return Answer.error(405, "only GET is allowed here")
            return Answer(200, b'{"ready":true}') if await self._ready() else self.users.unavailable("not ready")
        started = self.clock()
        answer = await self.users.handle(method, path, body)
        self.metrics.user_ms.record(self.clock() - started)
        return answer if answer is not None else Answer.error(404, "no such path")

    async def _ready(self) -> bool:
        """Ready while we lead or reached the leader lately; short take-overs do not change it.

        Guards against a follower that the leader refuses, or that took a dead controller for the leader: it drew
        its share of the users and could do nothing for them.
        """
        if self.election.answers_workers or await self._reaches_leader():
            self.leader_ok_at = self.clock()
        return self.clock() - self.leader_ok_at < self.platform.lease_s * self.tuning.ready

    async def _reaches_leader(self) -> bool:
        """Ask the leader whether it leads; if it does not, learn from the others who does."""
        timeout_s = self.platform.report_s / 10
        leader = self.leader
        if leader in self.peers.addresses and any(pong.leads for pong in await self.peers.ping([leader], timeout_s)):
            return True
        for pong in await self.peers.ping([label for label in self.peers.addresses if label != leader], timeout_s):
            self.election.learn(pong.sender if pong.leads else pong.leader, pong.token)
        return False

    async def _handle_back(self, method: str, path: str, body: bytes) -> Answer:
        if path == "/peer":
            if method != "POST":
                return Answer.error(405, "only POST is allowed here")
            return await self.answer_peer(body)
        if path in ("/metrics", "/status"):
            if method != "GET":
                return Answer.error(405, "only GET is allowed here")
            return Answer(200, wire.encode(self.metrics.status(self)))
        return Answer.error(404, "no such path")

    async def answer_peer(self, body: bytes) -> Answer:
        try:
            message: peer_messages.PeerMessage = wire.decode(body, peer_messages.PeerMessage)  # type: ignore[arg-type]
        except wire.WireError as error:
            self.metrics.bad_peer_messages += 1
            log.info("malformed message of a controller: %s", error)
            return Answer.error(400, str(error))
        if isinstance(message, peer_messages.Forward):
            answer = await self.users.handle(message.method, message.path, message.body.encode(), forwarded=True)
            if answer is None:
                answer = Answer.error(404, "no such path")
            return Answer(
                200, wire.encode(peer_messages.Forwarded(answer.status, answer.body.decode(), answer.retry_after_s))
            )
        if isinstance(message, peer_messages.Ping | peer_messages.Ask):
            self._note_version(message.sender, message.data_version)
        if isinstance(message, peer_messages.Ping):
            return Answer(
                200,
                wire.encode(
                    peer_messages.Pong(
                        self.platform.label,
                        self.election.answers_workers,
                        self.leader,
                        self.election.leader_token,
                        self._leader_status(),
                        DATA_VERSION,
                    )
                ),
            )
        if isinstance(message, peer_messages.Ask):
            return Answer(200, wire.encode(await self._view()))
        return Answer.error(400, "not a question")

    async def _view(self) -> peer_messages.View:
        """Return how we see the store, asked just now."""
        try:
            await asyncio.wait_for(self.store.get(LEADER), self.election.ttl_s * 0.3)
        except (StoreError, TimeoutError):
            pass
        now = self.clock()
        served, refused = self.store.served_at, self.store.refused_at
        return peer_messages.View(
            self.platform.label,
            self.election.role.value,
            self.leader,
            self.election.leader_token,
            now - served if served is not None else -1.0,
            now - refused if refused is not None else -1.0,
            self.election.confirms,
            self._leader_status(),
            DATA_VERSION,
        )


def _contact(asked_at: float, standings: list[peer_messages.LeaderStatus | None]) -> tuple[float, frozenset[str]]:
    """Return as of when the surest leader that was asked was certain, and the cancelled jobs it named."""
    known = [status for status in standings if status is not None and status.cancelled is not None]
    if not known:
        return float("-inf"), frozenset()
    surest = min(known, key=lambda status: status.certain_age_s)
    return asked_at - surest.certain_age_s, frozenset(surest.cancelled or ())


def _served(view: peer_messages.View) -> bool:
    """Whether the store has served this controller just now."""
    return 0 <= view.served_age_s < 0.5
