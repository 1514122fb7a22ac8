"""Plays recorded days against a fleet at a chosen pace, and compares the outcomes.

Keys and batch ids get the run's seed, so that they are new; a redacted prompt becomes a text of the
same length that starts alike for alike starts. A recording that is not whole is refused, with the
line and what is wrong with it, before anything is sent.
"""

import asyncio
import json
import random
import zlib
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp

from data_plane.recorder import FORMAT

__all__ = ["compare", "load_recording", "play"]

_NEEDED = {
    "live": ("path", "stream", "prompts", "status"),
    "hand-in": ("path", "lot", "prompts", "status"),
    "read": ("lot", "status"),
    "end": ("lot", "status"),
}


def _problem(row: Any, place: int) -> str:
    if not isinstance(row, dict) or "sum" not in row:
        return "not a row of a recording"
    rest = {key: value for key, value in row.items() if key != "sum"}
    if zlib.crc32(json.dumps(rest, sort_keys=True).encode()) != row["sum"]:
        return "the checksum is wrong"
    if (place == 1) != (row.get("kind") == "begin"):
        return "a recording begins with its first line, once"
    if place == 1 and row.get("format") != FORMAT:
        return f"not of format {FORMAT}"
    missing = [name for name in _NEEDED.get(row.get("kind"), ()) if name not in row]
    if missing:
        return f"lacks {', '.join(missing)}"
    return "" if row["kind"] in (*_NEEDED, "begin", "finis") else f"unknown kind {row['kind']!r}"


def load_recording(path: Path) -> tuple[list[dict[str, Any]], list[str]]:
    """Return the calls of one file, and every problem as FILE:LINE: what."""
    rows: list[dict[str, Any]] = []
    problems: list[str] = []
    ended = False
    try:
        lines = path.read_text(errors="replace").splitlines()
    except OSError as error:
        return [], [f"{path}: {error}"]
    for place, line in enumerate(lines, 1):
        try:
            row = json.loads(line)
        except ValueError:
            problems.append(f"{path}:{place}: not JSON")
            continue
        if ended:
            problems.append(f"{path}:{place}: after the end")
        elif problem := _problem(row, place):
            problems.append(f"{path}:{place}: {problem}")
        elif row["kind"] == "finis":
            ended = True
            if row["rows"] != len(rows):
                problems.append(
                    f"{path}:{place}: counts {row['rows']} calls, {len(rows)} are there"
                )
        elif row["kind"] != "begin":
            rows.append(row)
    if not ended and not problems:
        problems.append(f"{path}:{len(lines) + 1}: cut off, the last line is missing")
    return rows, problems


def _text(prompt: dict[str, Any]) -> str:
    if "text" in prompt:
        return prompt["text"]
    unit = prompt["start"] + " "
    head = (unit * (256 // len(unit) + 1))[:256]
    return (head + " " + "filler " * (prompt["chars"] // 7 + 1))[: max(1, prompt["chars"])]


class _Player:
    def __init__(self, servers: list[str], seed: int, session: aiohttp.ClientSession) -> None:
        self._servers, self._seed, self._session = servers, seed, session
        self._rng = random.Random(seed)

    def _fresh(self, name: str) -> str:
        return f"{name}.r{self._seed}"

    async def call(self, row: dict[str, Any]) -> dict[str, Any]:
        """Make one recorded call again; return status, verdict, code and milliseconds taken."""
        method, address, body, headers = self._request(row)
        loop = asyncio.get_running_loop()
        began = loop.time()
        seen: dict[str, Any] = {"status": 0, "verdict": "", "code": "no-answer"}
        try:
            async with self._session.request(
                method,
                f"http://{self._rng.choice(self._servers)}{address}",
                json=body,
                headers=headers,
            ) as answer:
                text = await answer.text()
                seen = {
                    "status": answer.status,
                    "verdict": "ran" if answer.status < 400 else "",
                    "code": "",
                }
                if answer.status >= 400:
                    error = json.loads(text)["error"]
                    seen.update(verdict=error["verdict"], code=error["code"])
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError):
            seen = {"status": 200, "verdict": "may_have_run", "code": "cut"}
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, KeyError):
            pass
        return {**seen, "took_ms": round((loop.time() - began) * 1000)}

    def _request(self, row: dict[str, Any]) -> tuple[str, str, Any, dict[str, str] | None]:
        if row["kind"] == "live":
            prompt = row["prompts"][0] if row["prompts"] else {"text": ""}
            body: dict[str, Any] = {
                "model": row["path"],
                "prompt": _text(prompt),
                "stream": row["stream"],
            }
            if "max_tokens" in prompt:
                body["max_tokens"] = prompt["max_tokens"]
            return (
                "POST",
                "/v1/completions",
                body,
                {"Idempotency-Key": self._fresh(row["key"])} if row.get("key") else None,
            )
        job = f"/lots/{self._fresh(row['lot'])}"
        if row["kind"] == "hand-in":
            items = [
                {
                    "prompt": _text(prompt),
                    **({"max_tokens": prompt["max_tokens"]} if "max_tokens" in prompt else {}),
                }
                for prompt in row["prompts"]
            ]
            return "PUT", job, {"path": row["path"], "items": items}, None
        if row["kind"] == "end":
            return "DELETE", job, None, None
        reads = row.get("address", "").endswith("/results")
        return "GET", f"{job}/results?from={row.get('from') or 0}" if reads else job, None, None


async def play(
    rows: list[dict[str, Any]], servers: list[str], pace: float, seed: int
) -> list[dict[str, Any]]:
    """Return each row with what came of it now.

    Calls begin as far apart as they did then, divided by the pace.
    """
    rows = sorted(rows, key=lambda row: row["at_ms"])
    loop = asyncio.get_running_loop()
    began = loop.time()
    timeout = aiohttp.ClientTimeout(total=60)
    async with aiohttp.ClientSession(
        timeout=timeout, connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        player = _Player(servers, seed, session)

        async def one(row: dict[str, Any]) -> dict[str, Any]:
            due_s = (row["at_ms"] - rows[0]["at_ms"]) / 1000 / pace
            await asyncio.sleep(max(0.0, began + due_s - loop.time()))
            return {"row": row, "now": await player.call(row)}

        return list(await asyncio.gather(*[one(row) for row in rows]))


def _middle(values: list[float]) -> str:
    rows = sorted(values)
    return (
        f"50% {rows[len(rows) // 2]:.0f} ms, "
        f"99% {rows[min(len(rows) - 1, int(len(rows) * 0.99))]:.0f} ms"
    )


def compare(played: Iterable[dict[str, Any]]) -> tuple[str, int]:
    """Return a report by kind and route, and how many calls had another outcome than then."""
    groups: dict[tuple[str, str], list[dict[str, Any]]] = defaultdict(list)
    for pair in played:
        groups[(pair["row"]["kind"], pair["row"].get("path", ""))].append(pair)
    lines, differing = [], 0
    for (kind, path), pairs in sorted(groups.items()):
        then = [pair["row"]["took_ms"] for pair in pairs]
        now = [pair["now"]["took_ms"] for pair in pairs]
        changed = Counter(
            (
                f"{pair['row']['status']} {pair['row']['code']}".strip(),
                f"{pair['now']['status']} {pair['now']['code']}".strip(),
            )
            for pair in pairs
            if (pair["row"]["status"], pair["row"]["code"])
            != (pair["now"]["status"], pair["now"]["code"])
        )
        differing += sum(changed.values())
        lines.append(f"{kind} {path}: {len(pairs)} calls; then {_middle(then)}; now {_middle(now)}")
        lines += [
            f"    {count} were {before}, now {after}"
            for (before, after), count in sorted(changed.items())
        ]
    lines.append(f"{differing} calls came to something else")
    return "\n".join(lines), differing
