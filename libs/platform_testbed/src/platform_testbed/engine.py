"""The engine of a simulated model worker, without sockets: messages and a clock in, messages out.

It works in batches; a batch's step takes longer the more requests run in it. Prompts are read in
pieces between the tokens of others, and what was read of a prompt is kept while memory lasts. One
step makes one event, that is `stride` tokens.
"""

import random
from collections import OrderedDict, deque
from functools import singledispatchmethod
from typing import Any

from platform_testbed.engine_calls import Call, PromptPart
from platform_testbed.engine_messages import (
    DrainStarted,
    EngineProfile,
    EngineRequest,
    EventProduced,
    RequestCancelled,
    RequestRejected,
    RunEnded,
    RunStarted,
)

__all__ = ["Engine"]


class Engine:
    """One engine; `read_tokens` counts the prompt tokens read. All times are milliseconds."""

    __slots__ = (
        "_at_ms",
        "_calls",
        "_count",
        "_out",
        "_parts",
        "_queue",
        "_reports",
        "_rng",
        "_running",
        "_runs",
        "_step_end_ms",
        "draining",
        "read_tokens",
        "server_id",
        "sheet",
    )

    def __init__(self, sheet: EngineProfile, server_id: str, seed: int = 0) -> None:
        self.sheet, self.server_id = sheet, server_id
        self.draining = False
        self.read_tokens = 0
        self._rng = random.Random(seed)
        self._calls: dict[int, Call] = {}
        self._queue: list[Call] = []
        self._running: list[Call] = []
        self._parts: OrderedDict[str, PromptPart] = OrderedDict()
        self._reports: deque[tuple[float, dict[str, int]]] = deque()
        self._count = self._runs = 0
        self._at_ms = 0.0
        self._step_end_ms: float | None = None
        self._out: list[Any] = []

    # -- messages ------------------------------------------------------------------------------

    def receive(self, message: Any, now_ms: float) -> list[Any]:
        """Take a message at a time and return the messages that follow by then."""
        out = self.advance(now_ms)
        self._take(message)
        return out + self._settle(now_ms)

    @singledispatchmethod
    def _take(self, message: Any) -> None:
        raise NotImplementedError(type(message).__name__)

    @_take.register
    def _(self, message: EngineRequest) -> None:
        if not message.request_id:
            self._out.append(RequestRejected(key=message.key, status=400))
        elif message.target_id and message.target_id != self.server_id:
            self._out.append(RequestRejected(key=message.key, status=421))
        elif message.tokens_in + message.tokens_out > self.sheet.cache_tokens or not self._room_for(
            message
        ):
            self._out.append(RequestRejected(key=message.key, status=503))
        else:
            self._count += 1
            due_ms = None if message.deadline_ms is None else self._at_ms + message.deadline_ms
            call = self._calls[message.key] = Call(message, self._count, due_ms)
            self._queue.append(call)

    @_take.register
    def _(self, message: RequestCancelled) -> None:
        call = self._calls.get(message.key)
        if call is not None:
            self._end(call, "dropped")

    @_take.register
    def _(self, message: DrainStarted) -> None:
        self.draining = True

    def _room_for(self, asked: EngineRequest) -> bool:
        return len(self._queue) < self.sheet.queue_limit or any(
            call.asked.urgency > asked.urgency for call in self._running
        )

    # -- time ----------------------------------------------------------------------------------

    def next_ms(self) -> float | None:
        """Return when advance() has something to do, if nothing comes before; None if never."""
        times = [call.due_ms for call in self._calls.values() if call.due_ms is not None]
        if self._step_end_ms is not None:
            times.append(self._step_end_ms)
        return min(times) if times else None

    def advance(self, now_ms: float) -> list[Any]:
        """Do all steps that are due by a time and return their messages."""
        while True:
            due_ms = self.next_ms()
            if due_ms is None or due_ms > now_ms:
                break
            self._at_ms = max(self._at_ms, due_ms)
            self._expire()
            if self._step_end_ms is not None and self._step_end_ms <= self._at_ms:
                self._finish_step()
            self._begin_step()
        return self._settle(now_ms)

    def _settle(self, now_ms: float) -> list[Any]:
        self._at_ms = max(self._at_ms, now_ms)
        self._expire()
        if self._step_end_ms is None:
            self._begin_step()
        self._reports.append((self._at_ms, self._state()))
        while (
            len(self._reports) > 1 and self._reports[1][0] <= self._at_ms - self.sheet.report_lag_ms
        ):
            self._reports.popleft()
        out, self._out = self._out, []
        return out

    def _expire(self) -> None:
        for call in [
            call
            for call in self._calls.values()
            if call.due_ms is not None and call.due_ms <= self._at_ms
        ]:
            if call.begun:
                self._end(call, "late")
            else:
                self._out.append(RequestRejected(key=call.asked.key, status=503))
                self._forget(call)

    # -- batches -------------------------------------------------------------------------------

    def _begin_step(self) -> None:
        self._admit()
        self._step_end_ms = None
        if not self._running:
            return
        sheet = self.sheet
        left = sheet.chunk_tokens
        for call in self._running:
            call.piece = min(call.unread, left)
            left -= call.piece
        read_ms = (sheet.chunk_tokens - left) / sheet.read_tokens_per_ms
        making = [call for call in self._running if not call.unread]
        token_ms = (
            sheet.step_ms
            + sheet.slot_ms * len(making)
            + sheet.context_ms_per_k * sum(call.context for call in making) / 1000
        )
        self._step_end_ms = self._at_ms + read_ms + token_ms * (sheet.stride if making else 1)

    def _finish_step(self) -> None:
        self._step_end_ms = None
        for call in list(self._running):
            if call not in self._running:
                continue
            if call.unread:
                self._read(call)
            elif call.begun:
                self._make(call)
            if not call.begun and not call.unread and call in self._running:
                self._begin(call)

    def _read(self, call: Call) -> None:
        call.unread -= call.piece
        self.read_tokens += call.piece
        if not call.unread:
            for name in call.held:
                self._parts[name].whole = True

    def _begin(self, call: Call) -> None:
        self._runs += 1
        call.begun, call.run = True, self._runs
        call.ill = self._draw_ill(call)
        self._out.append(
            RunStarted(
                key=call.asked.key, request_id=call.asked.request_id, run=call.run, ill=call.ill
            )
        )
        at_once = {"error": "error", "garbled": "garbled", "unable": "unable"}.get(call.ill)
        if at_once:
            self._end(call, at_once)
        elif not self._left(call):
            self._end(call, "finished")
        elif call.ill in ("short", "cut"):
            call.break_after = (
                0
                if call.ill == "cut" and self._rng.random() < 0.3
                else max(1, self._left(call) // 2)
            )

    def _draw_ill(self, call: Call) -> str:
        if call.asked.poisoned:
            return "unable"
        drawn = self._rng.random()
        for name, share in self.sheet.ills:
            if drawn < share:
                return name
            drawn -= share
        return ""

    def _left(self, call: Call) -> int:
        asked = call.asked
        done = (
            0 if asked.last_event_id is None else asked.last_event_id - self.sheet.first_event + 1
        )
        return asked.events - done - call.made

    def _make(self, call: Call) -> None:
        if not self._grow(call):
            return
        if call.ill in ("short", "cut") and call.made >= call.break_after:
            self._end(call, "broken")
            return
        number = self.sheet.first_event + call.asked.events - self._left(call)
        call.made += 1
        self._out.append(EventProduced(key=call.asked.key, number=number, run=call.run))
        if not self._left(call):
            self._end(call, "finished")

    # -- places and memory ---------------------------------------------------------------------

    def _admit(self) -> None:
        """Take waiting calls by urgency, then by age.

        A more urgent one takes the place of the newest of the least urgent that run.
        """
        self._queue.sort(key=lambda call: call.rank)
        while self._queue:
            call = self._queue[0]
            if len(self._running) >= self.sheet.capacity:
                last = max(self._running, key=lambda other: other.rank)
                if last.asked.urgency <= call.asked.urgency:
                    return
                self._put_back(last)
                continue
            if not self._hold(call):
                return
            self._queue.remove(call)
            self._running.append(call)

    def _hold(self, call: Call) -> bool:
        """Take memory for a call's prompt and what it has made so far; return whether it fits.

        What is kept of the prompt's beginning isn't read again.
        """
        known = 0
        kept = True
        fresh = []
        for name, tokens in call.asked.parts:
            part = self._parts.get(name)
            kept = kept and part is not None and part.whole
            known += tokens if kept else 0
            if part is None:
                fresh.append((name, tokens))
        total = call.asked.tokens_in - sum(tokens for _, tokens in call.asked.parts)
        held = [name for name, _ in call.asked.parts]
        for name in held:
            if name in self._parts:
                self._parts[name].users += 1
        if not self._give_way(max(0, total) + call.own_tokens + sum(tokens for _, tokens in fresh)):
            for name in held:
                if name in self._parts:
                    self._parts[name].users -= 1
            return False
        for name, tokens in fresh:
            self._parts[name] = PromptPart(tokens)
            self._parts[name].users = 1
        for name in held:
            self._parts.move_to_end(name)
        call.held = held
        call.unread = max(0, call.asked.tokens_in - known) + call.own_tokens
        return True

    def _used(self) -> int:
        """Return the tokens in memory that are in use."""
        own = sum(
            max(0, call.asked.tokens_in - sum(tokens for _, tokens in call.asked.parts))
            + call.own_tokens
            for call in self._running
        )
        return own + sum(part.tokens for part in self._parts.values() if part.users)

    def _give_way(self, wanted: int) -> bool:
        """Return whether so many tokens fit; what was unused longest is dropped first."""
        used = self._used()
        if used + wanted > self.sheet.cache_tokens:
            return False
        kept = sum(part.tokens for part in self._parts.values() if not part.users)
        for name in [name for name, part in self._parts.items() if not part.users]:
            if used + kept + wanted <= self.sheet.cache_tokens:
                break
            kept -= self._parts.pop(name).tokens
        return True

    def _grow(self, call: Call) -> bool:
        """Take memory for one more event; return whether the call still runs.

        Where there is none, the newest of the least urgent is put back into the queue.
        """
        while not self._give_way(self.sheet.stride):
            last = max(self._running, key=lambda other: other.rank)
            if last is call and len(self._running) == 1:
                break
            self._put_back(last)
            if last is call:
                return False
        call.own_tokens += self.sheet.stride
        return True

    def _put_back(self, call: Call) -> None:
        self._running.remove(call)
        self._release(call)
        self._queue.append(call)
        self._queue.sort(key=lambda other: other.rank)

    def _release(self, call: Call) -> None:
        for name in call.held:
            part = self._parts[name]
            part.users -= 1
            if not part.users and not part.whole:
                del self._parts[name]
        call.held = []

    def _forget(self, call: Call) -> None:
        self._calls.pop(call.asked.key, None)
        if call in self._running:
            self._running.remove(call)
            self._release(call)
        elif call in self._queue:
            self._queue.remove(call)

    def _end(self, call: Call, state: str) -> None:
        self._forget(call)
        if call.begun:
            self._out.append(RunEnded(key=call.asked.key, run=call.run, state=state, ill=call.ill))

    # -- what it tells -------------------------------------------------------------------------

    def load(self) -> tuple[int, int, int]:
        """Return the requests running, the requests waiting and the slots, as they are now."""
        return len(self._running), len(self._queue), self.sheet.capacity

    def _state(self) -> dict[str, int]:
        return {
            "queued": len(self._queue),
            "active": len(self._running),
            "cache_used": self._used(),
        }

    def report(self, now_ms: float) -> dict[str, int]:
        """Return the load as it was `report_lag_ms` ago."""
        late = [
            state for at_ms, state in self._reports if at_ms <= now_ms - self.sheet.report_lag_ms
        ]
        return late[-1] if late else {"queued": 0, "active": 0, "cache_used": 0}
