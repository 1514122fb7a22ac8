"""Replays recorded calls against a fleet at a chosen pace, and compares the outcomes.

Idempotency keys and job ids get the run's seed as a suffix, so that they are new to the fleet. A
redacted prompt is replaced by a text of the same length; prompts with the same digest of their
start get texts with the same start.
"""

import asyncio
import json
import random
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import aiohttp

from data_plane.recorder import CallKind

__all__ = ["CallOutcome", "ReplayedCall", "compare_outcomes", "replay_calls"]

_CALL_TIMEOUT_S = 60
_PROMPT_START_CHARS = 256
_CUT = "cut"
_NO_ANSWER = "no-answer"


class CallOutcome:
    """The outcome of a call: HTTP status, verdict, error code and duration in milliseconds."""

    __slots__ = ("code", "status", "took_ms", "verdict")

    def __init__(self, status: int, verdict: str, code: str, took_ms: int = 0) -> None:
        self.status = status
        self.verdict = verdict
        self.code = code
        self.took_ms = took_ms

    def label(self) -> str:
        """Return the status and the code as text, as the report shows them."""
        return f"{self.status} {self.code}".strip()


class ReplayedCall:
    """A recorded call with its recorded and its new outcome."""

    __slots__ = ("kind", "path", "recorded", "replayed")

    def __init__(self, row: dict[str, Any], replayed: CallOutcome) -> None:
        self.kind: str = row["kind"]
        self.path: str = row.get("path", "")
        self.recorded = CallOutcome(
            row["status"], row.get("verdict", ""), row["code"], row["took_ms"]
        )
        self.replayed = replayed


class _Request:
    """A request to send: method, path on the server, JSON body and headers."""

    __slots__ = ("address", "body", "headers", "method")

    def __init__(
        self,
        method: str,
        address: str,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        self.method = method
        self.address = address
        self.body = body
        self.headers = headers


def _prompt_text(prompt: dict[str, Any]) -> str:
    """Return a recorded prompt, or for a redacted one a text of its length."""
    if "text" in prompt:
        return str(prompt["text"])
    unit = prompt["start"] + " "
    head = (unit * (_PROMPT_START_CHARS // len(unit) + 1))[:_PROMPT_START_CHARS]
    filler = "filler " * (prompt["chars"] // 7 + 1)
    return str((head + " " + filler)[: max(1, prompt["chars"])])


def _prompt_body(prompt: dict[str, Any]) -> dict[str, Any]:
    body: dict[str, Any] = {"prompt": _prompt_text(prompt)}
    if "max_tokens" in prompt:
        body["max_tokens"] = prompt["max_tokens"]
    return body


class _Replayer:
    """Makes recorded calls again, each to a server drawn with the run's seed."""

    __slots__ = ("_rng", "_seed", "_servers", "_session")

    def __init__(self, servers: list[str], seed: int, session: aiohttp.ClientSession) -> None:
        self._servers = servers
        self._seed = seed
        self._session = session
        self._rng = random.Random(seed)

    def _name_in_run(self, name: str) -> str:
        """Return the key or id that stands for a recorded one in this run."""
        return f"{name}.r{self._seed}"

    async def call(self, row: dict[str, Any]) -> CallOutcome:
        """Make one recorded call again and return its outcome, with the time it took."""
        request = self._request(row)
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await self._outcome(request)
        outcome.took_ms = round((loop.time() - began) * 1000)
        return outcome

    async def _outcome(self, request: _Request) -> CallOutcome:
        outcome = CallOutcome(0, "", _NO_ANSWER)
        try:
            async with self._session.request(
                request.method,
                f"http://{self._rng.choice(self._servers)}{request.address}",
                json=request.body,
                headers=request.headers,
            ) as response:
                text = await response.text()
                if response.status < 400:
                    return CallOutcome(response.status, "ran", "")
                outcome = CallOutcome(response.status, "", "")
                error = json.loads(text)["error"]
                return CallOutcome(response.status, error["verdict"], error["code"])
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
            return CallOutcome(200, "may_have_run", _CUT)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
            return outcome

    def _request(self, row: dict[str, Any]) -> _Request:
        if row["kind"] == CallKind.LIVE:
            return self._completion(row)
        address = f"/lots/{self._name_in_run(row['lot'])}"
        if row["kind"] == CallKind.SUBMIT:
            items = [_prompt_body(prompt) for prompt in row["prompts"]]
            return _Request("PUT", address, {"path": row["path"], "items": items})
        if row["kind"] == CallKind.CANCEL:
            return _Request("DELETE", address)
        if row.get("address", "").endswith("/results"):
            return _Request("GET", f"{address}/results?from={row.get('from') or 0}")
        return _Request("GET", address)

    def _completion(self, row: dict[str, Any]) -> _Request:
        prompt = row["prompts"][0] if row["prompts"] else {"text": ""}
        body = {"model": row["path"], "stream": row["stream"], **_prompt_body(prompt)}
        key = row.get("key")
        headers = {"Idempotency-Key": self._name_in_run(key)} if key else None
        return _Request("POST", "/v1/completions", body, headers)


async def replay_calls(
    rows: list[dict[str, Any]], servers: list[str], pace: float, seed: int
) -> list[ReplayedCall]:
    """Make all recorded calls again and return each with its new outcome, in the order of time.

    The intervals between the starts of calls are the recorded ones, divided by `pace`.
    """
    rows = sorted(rows, key=lambda row: row["at_ms"])
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
        connector=aiohttp.TCPConnector(limit=0),
    ) as session:
        replayer = _Replayer(servers, seed, session)

        async def replay_one(row: dict[str, Any]) -> ReplayedCall:
            due_s = (row["at_ms"] - rows[0]["at_ms"]) / 1000 / pace
            await asyncio.sleep(max(0.0, began + due_s - loop.time()))
            return ReplayedCall(row, await replayer.call(row))

        return list(await asyncio.gather(*[replay_one(row) for row in rows]))


def _percentiles(values: list[int]) -> str:
    rows = sorted(values)
    return (
        f"50% {rows[len(rows) // 2]:.0f} ms, "
        f"99% {rows[min(len(rows) - 1, int(len(rows) * 0.99))]:.0f} ms"
    )


def compare_outcomes(replayed_calls: Iterable[ReplayedCall]) -> tuple[str, int]:
    """Return a report by kind and path, and the number of calls whose outcome changed."""
    groups: dict[tuple[str, str], list[ReplayedCall]] = defaultdict(list)
    for call in replayed_calls:
        groups[(call.kind, call.path)].append(call)
    lines: list[str] = []
    differing = 0
    for (kind, path), calls in sorted(groups.items()):
        recorded_ms = _percentiles([call.recorded.took_ms for call in calls])
        replayed_ms = _percentiles([call.replayed.took_ms for call in calls])
        lines.append(
            f"{kind} {path}: {len(calls)} calls; recorded {recorded_ms}; replayed {replayed_ms}"
        )
        changed = _changed_outcomes(calls)
        differing += sum(changed.values())
        lines += [
            f"    {count} recorded as {recorded_label}, replayed as {replayed_label}"
            for (recorded_label, replayed_label), count in sorted(changed.items())
        ]
    lines.append(f"{differing} calls had another outcome")
    return "\n".join(lines), differing


def _changed_outcomes(calls: list[ReplayedCall]) -> Counter[tuple[str, str]]:
    """Count the calls whose status or code changed, by their recorded and replayed outcomes."""
    return Counter(
        (call.recorded.label(), call.replayed.label())
        for call in calls
        if (call.recorded.status, call.recorded.code) != (call.replayed.status, call.replayed.code)
    )
