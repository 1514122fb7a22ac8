"""The engine of a simulated model worker, as a state machine without sockets.

It takes messages with the time of a clock and returns messages. Requests run in one continuous
batch, whose step takes longer the more of them produce tokens. Prompts are processed in chunks, in
the same steps in which other requests produce tokens; complete prompt parts stay cached until their
memory is needed. In one step, each request past its prompt produces one event of `stride` tokens.
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
    """One engine. All times are milliseconds.

    Attributes
    ----------
    draining
        Whether DrainStarted was received. It changes nothing in the engine.
    prefill_tokens
        Tokens processed before events so far, including output that is processed again after a
        preemption.
    """

    __slots__ = (
        "_calls",
        "_load_samples",
        "_now_ms",
        "_outbox",
        "_parts",
        "_queue",
        "_request_count",
        "_rng",
        "_run_count",
        "_running",
        "_step_end_ms",
        "draining",
        "prefill_tokens",
        "profile",
        "server_id",
    )

    def __init__(self, profile: EngineProfile, server_id: str, seed: int = 0) -> None:
        self.profile, self.server_id = profile, server_id
        self.draining = False
        self.prefill_tokens = 0
        self._rng = random.Random(seed)
        self._calls: dict[int, Call] = {}
        self._queue: list[Call] = []
        self._running: list[Call] = []
        self._parts: OrderedDict[str, PromptPart] = OrderedDict()
        self._load_samples: deque[tuple[float, dict[str, int]]] = deque()
        self._request_count = self._run_count = 0
        self._now_ms = 0.0
        self._step_end_ms: float | None = None
        self._outbox: list[Any] = []

    def receive(self, message: Any, now_ms: float) -> list[Any]:
        """Handle a message that arrives at `now_ms`; return all messages up to that time."""
        out = self.advance(now_ms)
        self._handle(message)
        return out + self._collect(now_ms)

    @singledispatchmethod
    def _handle(self, message: Any) -> None:
        raise NotImplementedError(f"expected an engine message, got {type(message).__name__}")

    @_handle.register
    def _(self, message: EngineRequest) -> None:
        if not message.request_id:
            self._outbox.append(RequestRejected(key=message.key, status=400))
        elif message.target_id and message.target_id != self.server_id:
            self._outbox.append(RequestRejected(key=message.key, status=421))
        elif (
            message.tokens_in + message.tokens_out > self.profile.cache_tokens
            or not self._accepts(message)
        ):
            self._outbox.append(RequestRejected(key=message.key, status=503))
        else:
            self._request_count += 1
            due_ms = None if message.deadline_ms is None else self._now_ms + message.deadline_ms
            call = self._calls[message.key] = Call(message, self._request_count, due_ms)
            self._queue.append(call)

    @_handle.register
    def _(self, message: RequestCancelled) -> None:
        call = self._calls.get(message.key)
        if call is not None:
            self._end_run(call, "dropped")

    @_handle.register
    def _(self, message: DrainStarted) -> None:
        self.draining = True

    def _accepts(self, request: EngineRequest) -> bool:
        return len(self._queue) < self.profile.queue_limit or any(
            call.request.urgency > request.urgency for call in self._running
        )

    def next_ms(self) -> float | None:
        """Return when advance() has work if no message arrives earlier; None if it has none."""
        times = [call.due_ms for call in self._calls.values() if call.due_ms is not None]
        if self._step_end_ms is not None:
            times.append(self._step_end_ms)
        return min(times) if times else None

    def advance(self, now_ms: float) -> list[Any]:
        """Run all steps and deadlines that are due by `now_ms` and return their messages."""
        while True:
            due_ms = self.next_ms()
            if due_ms is None or due_ms > now_ms:
                break
            self._now_ms = max(self._now_ms, due_ms)
            self._expire()
            if self._step_end_ms is not None and self._step_end_ms <= self._now_ms:
                self._finish_step()
            self._begin_step()
        return self._collect(now_ms)

    def _collect(self, now_ms: float) -> list[Any]:
        self._now_ms = max(self._now_ms, now_ms)
        self._expire()
        if self._step_end_ms is None:
            self._begin_step()
        self._load_samples.append((self._now_ms, self._load_sample()))
        while (
            len(self._load_samples) > 1
            and self._load_samples[1][0] <= self._now_ms - self.profile.report_lag_ms
        ):
            self._load_samples.popleft()
        out, self._outbox = self._outbox, []
        return out

    def _expire(self) -> None:
        for call in [
            call
            for call in self._calls.values()
            if call.due_ms is not None and call.due_ms <= self._now_ms
        ]:
            if call.started:
                self._end_run(call, "late")
            else:
                self._outbox.append(RequestRejected(key=call.request.key, status=503))
                self._remove(call)

    def _begin_step(self) -> None:
        self._admit()
        self._step_end_ms = None
        if not self._running:
            return
        profile = self.profile
        left = profile.chunk_tokens
        for call in self._running:
            call.prompt_chunk = min(call.prompt_left, left)
            left -= call.prompt_chunk
        prefill_ms = (profile.chunk_tokens - left) / profile.read_tokens_per_ms
        producing = [call for call in self._running if not call.prompt_left]
        token_ms = (
            profile.step_ms
            + profile.slot_ms * len(producing)
            + profile.context_ms_per_k * sum(call.context for call in producing) / 1000
        )
        self._step_end_ms = (
            self._now_ms + prefill_ms + token_ms * (profile.stride if producing else 1)
        )

    def _finish_step(self) -> None:
        self._step_end_ms = None
        for call in list(self._running):
            if call not in self._running:
                continue
            if call.prompt_left:
                self._prefill(call)
            elif call.started:
                self._produce_event(call)
            if not call.started and not call.prompt_left and call in self._running:
                self._start_run(call)

    def _prefill(self, call: Call) -> None:
        call.prompt_left -= call.prompt_chunk
        self.prefill_tokens += call.prompt_chunk
        if not call.prompt_left:
            for name in call.part_names:
                self._parts[name].complete = True

    def _start_run(self, call: Call) -> None:
        self._run_count += 1
        call.started, call.run = True, self._run_count
        call.fault = self._draw_fault(call)
        self._outbox.append(
            RunStarted(
                key=call.request.key,
                request_id=call.request.request_id,
                run=call.run,
                fault=call.fault,
            )
        )
        end_state = {"error": "error", "garbled": "garbled", "unable": "unable"}.get(call.fault)
        if end_state:
            self._end_run(call, end_state)
        elif not self._events_left(call):
            self._end_run(call, "finished")
        elif call.fault in ("short", "cut"):
            call.break_after = (
                0
                if call.fault == "cut" and self._rng.random() < 0.3
                else max(1, self._events_left(call) // 2)
            )

    def _draw_fault(self, call: Call) -> str:
        if call.request.poisoned:
            return "unable"
        drawn = self._rng.random()
        for name, share in self.profile.faults:
            if drawn < share:
                return name
            drawn -= share
        return ""

    def _events_left(self, call: Call) -> int:
        request = call.request
        done = (
            0
            if request.last_event_id is None
            else request.last_event_id - self.profile.first_event + 1
        )
        return request.events - done - call.events_made

    def _produce_event(self, call: Call) -> None:
        if not self._allocate_event(call):
            return
        if call.fault in ("short", "cut") and call.events_made >= call.break_after:
            self._end_run(call, "broken")
            return
        number = self.profile.first_event + call.request.events - self._events_left(call)
        call.events_made += 1
        self._outbox.append(EventProduced(key=call.request.key, number=number, run=call.run))
        if not self._events_left(call):
            self._end_run(call, "finished")

    def _admit(self) -> None:
        """Move queued calls into the batch by urgency, then by arrival, while they fit.

        In a full batch, a call preempts the newest of the least urgent ones if it is more urgent.
        """
        self._queue.sort(key=lambda call: call.rank)
        while self._queue:
            call = self._queue[0]
            if len(self._running) >= self.profile.capacity:
                last = max(self._running, key=lambda other: other.rank)
                if last.request.urgency <= call.request.urgency:
                    return
                self._preempt(last)
                continue
            if not self._allocate(call):
                return
            self._queue.remove(call)
            self._running.append(call)

    def _allocate(self, call: Call) -> bool:
        """Reserve cache memory for a call's prompt and output so far; return whether it fits.

        The longest run of complete cached parts at the prompt's beginning isn't processed again.
        """
        cached_tokens = 0
        cached = True
        missing = []
        for name, tokens in call.request.parts:
            part = self._parts.get(name)
            cached = cached and part is not None and part.complete
            cached_tokens += tokens if cached else 0
            if part is None:
                missing.append((name, tokens))
        total = call.request.tokens_in - sum(tokens for _, tokens in call.request.parts)
        part_names = [name for name, _ in call.request.parts]
        for name in part_names:
            if name in self._parts:
                self._parts[name].users += 1
        if not self._evict_to_fit(
            max(0, total) + call.output_tokens + sum(tokens for _, tokens in missing)
        ):
            for name in part_names:
                if name in self._parts:
                    self._parts[name].users -= 1
            return False
        for name, tokens in missing:
            self._parts[name] = PromptPart(tokens)
            self._parts[name].users = 1
        for name in part_names:
            self._parts.move_to_end(name)
        call.part_names = part_names
        call.prompt_left = max(0, call.request.tokens_in - cached_tokens) + call.output_tokens
        return True

    def _used_tokens(self) -> int:
        """Return the cached tokens that running calls use."""
        own = sum(
            max(0, call.request.tokens_in - sum(tokens for _, tokens in call.request.parts))
            + call.output_tokens
            for call in self._running
        )
        return own + sum(part.tokens for part in self._parts.values() if part.users)

    def _evict_to_fit(self, wanted: int) -> bool:
        """Return whether so many tokens fit; evicts unused parts, least recently used first."""
        used = self._used_tokens()
        if used + wanted > self.profile.cache_tokens:
            return False
        cached = sum(part.tokens for part in self._parts.values() if not part.users)
        for name in [name for name, part in self._parts.items() if not part.users]:
            if used + cached + wanted <= self.profile.cache_tokens:
                break
            cached -= self._parts.pop(name).tokens
        return True

    def _allocate_event(self, call: Call) -> bool:
        """Reserve cache memory for one more event; return whether the call still runs.

        While there is none, the newest of the least urgent calls is preempted, which may be this
        one. A call that is alone in the batch goes on without.
        """
        while not self._evict_to_fit(self.profile.stride):
            last = max(self._running, key=lambda other: other.rank)
            if last is call and len(self._running) == 1:
                break
            self._preempt(last)
            if last is call:
                return False
        call.output_tokens += self.profile.stride
        return True

    def _preempt(self, call: Call) -> None:
        self._running.remove(call)
        self._release(call)
        self._queue.append(call)
        self._queue.sort(key=lambda other: other.rank)

    def _release(self, call: Call) -> None:
        for name in call.part_names:
            part = self._parts[name]
            part.users -= 1
            if not part.users and not part.complete:
                del self._parts[name]
        call.part_names = []

    def _remove(self, call: Call) -> None:
        self._calls.pop(call.request.key, None)
        if call in self._running:
            self._running.remove(call)
            self._release(call)
        elif call in self._queue:
            self._queue.remove(call)

    def _end_run(self, call: Call, state: str) -> None:
        self._remove(call)
        if call.started:
            self._outbox.append(
                RunEnded(key=call.request.key, run=call.run, state=state, fault=call.fault)
            )

    def load(self) -> tuple[int, int, int]:
        """Return the numbers of running and queued requests and the batch size, as of now."""
        return len(self._running), len(self._queue), self.profile.capacity

    def _load_sample(self) -> dict[str, int]:
        return {
            "queued": len(self._queue),
            "active": len(self._running),
            "cache_used": self._used_tokens(),
        }

    def report(self, now_ms: float) -> dict[str, int]:
        """Return the load as of `report_lag_ms` ago; zeros if nothing was recorded by then."""
        past = [
            state
            for at_ms, state in self._load_samples
            if at_ms <= now_ms - self.profile.report_lag_ms
        ]
        return past[-1] if past else {"queued": 0, "active": 0, "cache_used": 0}
