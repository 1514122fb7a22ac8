"""Runs one item of a lot as a transaction of its own: the claim in the log stands for its opening,
so nothing more is asked of the stores. Also says how much room there is for items now."""

import asyncio
import json
import math
import secrets
from collections.abc import Callable
from typing import Any

from circulation import Transaction, prefix_of
from colophon import Verdict, boot_ms, log
from readingroom.carrier import Carrier, refusal_body

__all__ = ["Items"]


class Items:
    __slots__ = ("_budget", "_carrier", "_node", "_tasks", "_trickledMs")

    def __init__(self, node: Any, carrier: Carrier, budget: Callable[[str], Any]) -> None:
        self._node = node
        self._carrier = carrier
        self._budget = budget
        self._tasks: set[asyncio.Task] = set()
        self._trickledMs = 0

    def room(self) -> tuple[int, frozenset[str]]:
        """What lots may take of the workers' free slots, shared evenly among the edges that are known."""
        if self._node.why_unready():
            return 0, frozenset()
        workers = self._node.roster.workers()
        paths = self._node.tree().served_by(frozenset((worker.identity, worker.labels) for worker in workers))
        free = sum(max(0, worker.slots - math.ceil(worker.slots * self._node.params.liveShare) - worker.weight)
                   for worker in workers if worker.waiting == 0)
        edges = 1 + len(self._node.neighbours.of_role("edge", self._node.params.deadMs))
        room = math.ceil(free / edges) if free else 0
        starting = sum(1 for task in self._tasks if not task.done()) - sum(worker.sending for worker in workers)
        room = max(0, room - max(0, starting))
        return room or self._trickle(workers), paths

    def _trickle(self, workers: list[Any]) -> int:
        """Where live traffic takes everything, an edge still has one item under way now and then."""
        nowMs = boot_ms()
        if not workers or self._tasks or nowMs - self._trickledMs < self._node.params.beatMs:
            return 0
        self._trickledMs = nowMs
        return 1

    def start(self, work: Any, done: Callable[[str, str, str], None]) -> Callable[[], None]:
        task = asyncio.get_running_loop().create_task(self._run(work, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task.cancel

    async def _run(self, work: Any, done: Callable[[str, str, str], None]) -> None:
        profile = self._node.tree().usable(work.path)
        if profile is None:
            done("again", "", "")
            return
        body = json.loads(work.body)
        dueMs = boot_ms() + max(profile.deadlineMs, 2 * self._node.params.forceMs)
        tx = Transaction(f"{secrets.token_hex(6)}-{work.lotId}-{work.index}", profile, "", boot_ms(),
                         self._budget("lots/" + work.path), dueMs, claimed=True)
        tx.safe = work.safe
        tx.lot = (work.lotId, work.index)
        try:
            step = await self._carrier.carry(tx, body, "", prefix_of(body), True, None)
        except Exception as error:
            log("item-failed", "ERROR", lot=work.lotId, index=work.index, reason=repr(error))
            done("again" if work.safe else "mayHaveRun", '{"error":{"verdict":"mayHaveRun","code":"internal"}}', "")
            return
        worker = tx.sends[-1][0] if tx.sends else ""
        if step.name == "finish":
            status, text = step.value
            done("ran" if status == 200 else "refused", text, worker)
        elif step.refusal.verdict is Verdict.NOT_RUN or work.safe:
            await asyncio.sleep(self._node.params.beatMs / 1000)
            done("again", "", worker)
        else:
            done("mayHaveRun", refusal_body(step.refusal), worker)
