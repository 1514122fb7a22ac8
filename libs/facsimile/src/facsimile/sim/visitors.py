"""Simulated visitors and operators. Each does what its kind does: asks live, resends what is not safe
to repeat through other edges when in doubt, hands in lots and comes back for results, ends some; and
operators send changes, sometimes two at once. All they see goes into the history.
"""

import json
from collections.abc import Callable
from typing import Any

from catalogue import Change
from circulation import Step
from readingroom.answers import Answer

__all__ = ["Operators", "Visitors", "flat_body", "flat_events", "tree_of"]

_PATIENCE_MS = 8000.0
STREAMED = ("rulings", "narrations")
ROOM = 3


def tree_of(mark: str, room: int = ROOM) -> dict[str, Any]:
    return {
        "profiles": {
            "base": {"abstract": True, "workers": {"labels": ["gpu"]}, "deadline_ms": 3000},
            "rulings": {"parent": "base", "deadline_ms": 2000},
            "narrations": {"parent": "base"},
            "moves": {"parent": "base", "repeatable": False},
            "summaries": {"parent": "base", "waiting_room": room},
            "claims": {"parent": "base", "waiting_room": room, "repeatable": False},
            f"mark-{mark}": {"abstract": True},
        }
    }


class Visitors:
    __slots__ = ("_calls", "_fleet", "_history", "_rng", "_time", "lots")

    def __init__(self, fleet: Any, rng: Any = None) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self._rng = rng or fleet.time.rng
        self._calls = 0
        self.lots: dict[str, dict[str, Any]] = {}

    def _edge(self, avoid: str = "") -> Any:
        edges = [host for host in self._fleet.of("edge") if host.up and host.name != avoid]
        return self._rng.choice(edges) if edges else None

    def _at(self, host: Any, what: Callable[[], None]) -> None:
        life = host.life

        def arrive() -> None:
            if host.up and host.life == life:
                host.when_awake(what, life)

        self._time.after(1.0, arrive)

    # -- live ----------------------------------------------------------------------------------

    def live(
        self,
        path: str,
        key: str = "",
        tries: int = 1,
        avoid: str = "",
        done: Callable | None = None,
        asked: str = "",
        hangs_up_ms: float = 0.0,
    ) -> None:
        host = self._edge(avoid)
        if host is None:
            return
        self._calls += 1
        call = f"call{self._calls}"
        row = self._history.add(
            "call",
            self._time.now_ms,
            call=call,
            path=path,
            key=key,
            edge=host.name,
            asked=asked or key,
            outcome="none",
            verdict="",
            pieces=[],
            transaction="",
            body="",
            code="",
            answered_ms=0.0,
        )

        def answered(outcome: str, verdict: str, code: str = "", body: str = "") -> None:
            if row["outcome"] != "none":
                return
            row.update(
                outcome=outcome,
                verdict=verdict,
                code=code,
                body=body,
                answered_ms=self._time.now_ms,
            )
            if key and verdict == "may_have_run" and tries > 1:
                self._time.after(
                    200, lambda: self.live(path, key, tries - 1, host.name, asked=asked)
                )
            if done is not None:
                done(row)

        stream = path in STREAMED
        prompt = f"key {key} asked {asked or key}" if key else f"call {call}"

        def told(step: Step, answer: Answer) -> None:
            if answer.refusal is not None:
                row["back_ms"] = answer.refusal.retry_after_ms
                answered("cut" if row["pieces"] else "error", answer.verdict, answer.code)
            elif answer.status != 200:
                answered("error", "ran", str(answer.status))
            else:
                body = flat_events(answer.body) if stream else flat_body(answer.body)
                if not stream and step.name == "finish":
                    row["pieces"] = body.split("|")
                answered(step.name, "ran", "", body)

        def delivered(event: bytes) -> None:
            row.setdefault("first_ms", self._time.now_ms)
            row["pieces"].append(flat_events(event.decode()))

        def begin() -> None:
            carriage = host.node.counter.live(
                path, key, {"prompt": prompt}, stream, delivered, told
            )
            if isinstance(carriage, Answer):
                answered("error", carriage.verdict, carriage.code)
                return
            row["transaction"] = carriage.tx.transaction_id
            if not key and hangs_up_ms:
                self._time.after(hangs_up_ms, lambda: hang_up(carriage, host.life))

        def hang_up(carriage: Any, life: int) -> None:
            if row["outcome"] == "none" and host.up and host.life == life:
                answered("hung-up", "may_have_run")
                host.when_awake(carriage.gone, life)

        self._at(host, begin)
        self._time.after(_PATIENCE_MS, lambda: answered("lost", "may_have_run"))

    # -- lots ----------------------------------------------------------------------------------

    def hand_in(
        self,
        path: str,
        count: int,
        tries: int = 3,
        lot_id: str = "",
        avoid: str = "",
        done: Callable | None = None,
    ) -> str:
        if not lot_id:
            lot_id = f"lot{len(self.lots) + 1}"
            self.lots[lot_id] = {
                "path": path,
                "count": count,
                "acked": False,
                "results": {},
                "ended": False,
                "done": False,
            }
        host = self._edge(avoid)
        if host is None:
            return lot_id
        row = self._history.add(
            "hand-in",
            self._time.now_ms,
            lot=lot_id,
            path=path,
            outcome="none",
            verdict="",
            count=count,
            answered_ms=0.0,
        )

        def answered(outcome: str, verdict: str) -> None:
            if row["outcome"] != "none":
                return
            row.update(outcome=outcome, verdict=verdict, answered_ms=self._time.now_ms)
            if outcome in ("admitted", "known"):
                if not self.lots[lot_id]["acked"]:
                    self._time.after(700, lambda: self.follow(lot_id, self._time.now_ms - 700))
                self.lots[lot_id]["acked"] = True
            elif verdict == "may_have_run" and tries > 1:
                self._time.after(
                    100, lambda: self.hand_in(path, count, tries - 1, lot_id, host.name, done)
                )
            if done is not None:
                done(row)

        def told(answer: Answer) -> None:
            answered(
                {200: "known", 201: "admitted"}.get(answer.status, answer.code), answer.verdict
            )

        items = [
            {"prompt": f"lot {lot_id} item {place} call item:{lot_id}:{place}"}
            for place in range(count)
        ]
        self._at(host, lambda: host.node.counter.hand_in(lot_id, path, items, 10_000, told))
        self._time.after(_PATIENCE_MS, lambda: answered("lost", "may_have_run"))
        return lot_id

    def follow(self, lot_id: str, from_ms: float) -> None:
        """Comes back until all of the lot is listed, as a bureau would."""
        lot = self.lots[lot_id]
        if lot["ended"] or lot["done"]:
            return

        def seen(row: dict[str, Any]) -> None:
            if (
                row["outcome"] == "known"
                and row["listed"] == row["total"]
                and not row["ended"]
                and not lot["done"]
            ):
                lot["done"] = True
                self._history.add("lot-done", self._time.now_ms, lot=lot_id, from_ms=from_ms)

        self.read(lot_id, seen)
        self._time.after(700, lambda: self.follow(lot_id, from_ms))

    def read(
        self, lot_id: str, done: Callable[[Any], None] | None = None, start: int | None = None
    ) -> None:
        """Reads results from a place on, by default one drawn; each is remembered as it was first read."""
        host = self._edge()
        if host is None:
            return
        lot = self.lots[lot_id]
        drawn = self._rng.choice((0, len(lot["results"])))
        start = drawn if start is None else start
        life, began_ms = host.life, self._time.now_ms

        def told(answer: Answer) -> None:
            if host.life != life or not host.up or answer.status not in (200, 404):
                return
            shown = json.loads(answer.body)
            known = answer.status == 200
            rows = (
                [
                    (
                        row["index"],
                        row["verdict"],
                        flat_body(json.dumps(row["body"]))
                        if row["verdict"] == "ran"
                        else json.dumps(row["body"], sort_keys=True),
                    )
                    for row in shown["results"]
                ]
                if known
                else []
            )
            seen = {
                "outcome": "known" if known else "missing",
                "listed": shown["listed"] if known else 0,
                "total": shown["total"] if known else 0,
                "ended": known and shown["ended"],
            }
            self._history.add(
                "read",
                self._time.now_ms,
                began_ms=began_ms,
                lot=lot_id,
                start=start,
                results=rows,
                **seen,
            )
            lot["results"].update({index: text for index, _, text in rows})
            if done is not None:
                done(seen)

        self._at(host, lambda: host.node.counter.results(lot_id, start, 1000, told))

    def end(self, lot_id: str) -> None:
        host = self._edge()
        if host is None:
            return
        life = host.life
        asked = self._history.ask("end", self._time.now_ms, lot=lot_id)

        def told(answer: Answer) -> None:
            if answer.status == 200 and host.life == life and host.up:
                asked.update(outcome="ok", answered_ms=self._time.now_ms)
                self.lots[lot_id]["ended"] = True
                self._history.add("end", self._time.now_ms, lot=lot_id)

        self._at(host, lambda: host.node.counter.end(lot_id, told))


def flat_events(text: str) -> str:
    """A stream's events as TRANSACTION:PLACE, joined by bars."""
    found = []
    for event in text.split("\n\n"):
        fields = dict(line.split(": ", 1) for line in event.splitlines())
        if "id" in fields:
            found.append(f"{json.loads(fields['data'])['id']}:{fields['id']}")
    return "|".join(found)


def flat_body(text: str) -> str:
    """A plain answer in the same form, a place for each word."""
    body = json.loads(text)
    return "|".join(
        f"{body['id']}:{place}" for place in range(len(body["choices"][0]["text"].split()))
    )


class Operators:
    """`more` are profiles that are in every tree besides."""

    __slots__ = ("_fleet", "_history", "_time", "acked", "changes", "more", "version")

    def __init__(self, fleet: Any) -> None:
        self._fleet, self._time, self._history = fleet, fleet.time, fleet.history
        self.changes = 0
        self.version = 0
        self.more: dict[str, Any] = {}
        self.acked: dict[str, tuple[int, str]] = {}

    def ask_again(self, count: int) -> None:
        """The last acknowledged changes, sent once more under their ids."""
        rows = list(self.acked.items())[-count:]
        left = {mark for mark, _ in rows}

        def send(mark: str, named: int, body: str) -> None:
            def told(receipt: Any) -> None:
                if mark in left and receipt.outcome in ("ok", "lost"):
                    left.discard(mark)
                    self._history.add(
                        "final-change",
                        self._time.now_ms,
                        mark=mark,
                        outcome=receipt.outcome,
                        version=receipt.version,
                    )

            host = self._time.rng.choice(self._fleet.running("control"))
            host.node.owner.submit(
                Change(key="profiles", version=named, change_id=mark, body=body, hops=0), told
            )

        for _ in range(4):
            for mark, (named, body) in rows:
                if mark in left:
                    send(mark, named, body)
            self._fleet.run_until_true(lambda: not left, 3000)

    def change(
        self,
        tries: int = 3,
        mark: str = "",
        version: int | None = None,
        done: Callable | None = None,
    ) -> None:
        hosts = self._fleet.running("control")
        if not hosts:
            return
        host = self._time.rng.choice(hosts)
        if not mark:
            self.changes += 1
            mark = f"change{self.changes}"
        named = self.version if version is None else version
        row = self._history.add(
            "change",
            self._time.now_ms,
            mark=mark,
            named=named,
            outcome="none",
            version=0,
            answered_ms=0.0,
        )
        tree = tree_of(mark)
        tree["profiles"].update(self.more)
        body = json.dumps(tree, sort_keys=True)
        life = host.life

        def answered(receipt: Any) -> None:
            if row["outcome"] != "none" or host.life != life or not host.up:
                return
            row.update(
                outcome=receipt.outcome, version=receipt.version, answered_ms=self._time.now_ms
            )
            if receipt.outcome in ("ok", "lost"):
                self.version = max(self.version, receipt.version)
                if receipt.outcome == "ok":
                    self.acked[mark] = (named, body)
            elif tries > 1:
                self._time.after(100, lambda: self.change(tries - 1, mark, named, done))
            if done is not None:
                done(row)

        def begin() -> None:
            if host.up and host.life == life:
                host.when_awake(
                    lambda: host.node.owner.submit(
                        Change(key="profiles", version=named, change_id=mark, body=body, hops=0),
                        answered,
                    ),
                    life,
                )

        self._time.after(1.0, begin)
