"""What single operations cost, in processor time alone.

An append at the holder and at a peer, an item's way through the ledger, an event of a stream at an
edge, a version of a wide configuration. Fleets are simulated and metered, and what they spend when
idle is subtracted; sockets and real disks are not in it, except for messages over a real link.
"""

import asyncio
import json
import socket
import tracemalloc
from time import process_time
from typing import Any

from batch_state import entries as e
from batch_state import messages as m
from control_store import ProfileTree, WorkerReport
from messaging import decode, encode
from messaging.links import LinkTransport
from request_routing import WorkerHeaderNames
from request_routing.forward_exchange import ForwardExchange
from simulator.operators import Operators, profiles_tree

from testbed.measure_scale import founded, held_bytes
from testbed.metered_costs import NODES, EdgeClient, MeteredCosts, big_disks, store_groups

__all__ = ["item_costs", "measure_units", "wide_rows"]

_LOT_ITEMS = 80
_APART_MS = 3000
_DIALECT = WorkerHeaderNames(
    request_id="Id",
    worker="Worker",
    signature="Stamp",
    not_run="Refused",
    load="Load",
    deadline_ms="Left",
    urgency="Rank",
)


def _told(rows: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:.3f}" for name, value in rows.items())


def append_costs(seed: int, count: int, body_bytes: int) -> dict[str, float]:
    fleet = founded(seed, NODES, big_disks())
    costs = MeteredCosts(fleet, store_groups(fleet))
    host, done = fleet.leader(), []
    entry = e.KeyClosed(
        key="k", request_id="t", state="done", status=200, body="x" * body_bytes, at_ms=0
    )

    def work() -> None:
        for _ in range(count):
            fleet.meter.run(
                host.address, "append", host.node.log.leader.append, [entry], True, done.append
            )
            fleet.time.run_until(fleet.time.now_ms + 2)
        fleet.run_until_true(lambda: len(done) == count, 8000)

    return costs.of(work, count)


def _hand_in(client: EdgeClient, job_id: str, items: int, body_bytes: int) -> None:
    calls = [
        encode(
            m.ForwardItem(
                item_id=f"{job_id}-{place}",
                target="/x",
                host="h",
                headers=["Model", "m"],
                body=b"x" * body_bytes,
                part_ids=["a"],
                part_tokens=[300],
                tokens_in=500,
                tokens_out=400,
            )
        )
        for place in range(items)
    ]
    values = {
        "lot_id": job_id,
        "digest": "d" * 32,
        "path": "summaries",
        "item_ids": [f"{job_id}-{place}" for place in range(items)],
        "tokens": [900] * items,
        "calls": calls,
        "attempts": 3,
        "due_ms": 600_000,
        "keep_ms": 900_000,
        "version": 1,
    }
    answer = client.ask(m.SubmitForwardJob(epoch=0, leader_ms=0, **values))
    if isinstance(answer, m.StaleRequest):
        answer = client.ask(
            m.SubmitForwardJob(epoch=answer.epoch, leader_ms=answer.leader_ms, **values)
        )
    if answer.outcome != "admitted":
        raise AssertionError(f"a lot was not admitted: {answer.outcome}")


def _run_all(client: EdgeClient, items: int, at_once: int, text: bytes) -> None:
    ended = 0
    while ended < items:
        beat = client.ask(
            m.EdgeHeartbeat(
                edge="hollow",
                address=client.address,
                capacity=at_once,
                paths=["summaries"],
                running=[],
            )
        )
        work = [decode(row) for row in beat.work]
        if work:
            client.ask(
                m.ReportItemOutcomes(
                    edge="hollow",
                    rows=[
                        encode(
                            m.ItemOutcome(
                                job_id=row.job_id,
                                index=row.index,
                                claim_number=row.claim_number,
                                outcome="finished",
                                text=text,
                                worker="w",
                            )
                        )
                        for row in work
                    ],
                )
            )
        ended += len(work)


def item_costs(
    seed: int, jobs: int, items: int, body_bytes: int, at_once: int
) -> list[tuple[str, dict[str, float]]]:
    """Measure an item's submission, its run and its reading, for one item.

    Items are dealt `at_once` at the most and end together; results are read once, in pages.
    """
    fleet = founded(seed, NODES, big_disks())
    client = EdgeClient(fleet)
    costs = MeteredCosts(fleet, store_groups(fleet))
    names = [f"lot{number}" for number in range(jobs)]

    def read(name: str) -> None:
        position, over = 0, False
        while not over:
            page = client.ask(
                m.ListForwardResults(
                    job_id=name, from_position=position, limit_bytes=1 << 18, wait_ms=0
                )
            )
            position += len(page.rows)
            over = position >= items

    before = held_bytes(fleet.leader().node)
    rows = [
        (
            "admitted",
            costs.of(
                lambda: [_hand_in(client, name, items, body_bytes) for name in names], jobs * items
            ),
        )
    ]
    held = (held_bytes(fleet.leader().node) - before) / (jobs * items) / 1000
    rows[0][1]["held at the holder kB"] = held
    rows.append(
        (
            f"dealt and ended, {at_once} at once",
            costs.of(
                lambda: [_run_all(client, items, at_once, b"y" * body_bytes) for _ in names],
                jobs * items,
            ),
        )
    )
    rows.append(("listed", costs.of(lambda: [read(name) for name in names], jobs * items)))
    return rows


def event_cost_us(count: int) -> float:
    """Return the cost of one event through an edge's exchange: parsed, checked, passed on."""
    exchange = ForwardExchange(_DIALECT, "w", "r", "POST", True, 1 << 20)
    exchange.head(
        200,
        [
            ("Id", "r"),
            ("Stamp", "s"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ],
        None,
    )
    events = [b"id: %d\ndata: %s\n\n" % (number, b"x" * 24) for number in range(count)]
    began_s = process_time()
    for event in events:
        exchange.data(event)
    return (process_time() - began_s) * 1e6 / count


async def _link_us(count: int, size_bytes: int) -> float:
    arrived = 0
    full = asyncio.Event()

    def deliver(sender: str, request_id: int, in_reply_to: int, message: Any) -> None:
        nonlocal arrived
        arrived += 1
        if arrived == count:
            full.set()

    ports = []
    for _ in range(2):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            ports.append(probe.getsockname()[1])
    boards = [LinkTransport(f"127.0.0.1:{port}", 2000, deliver) for port in ports]
    for board in boards:
        await board.start()
    message = m.GetItemResponse(outcome="x", call=b"x" * size_bytes)
    began_s = process_time()
    for number in range(count):
        boards[0].send(f"127.0.0.1:{ports[1]}", number, 0, message)
        await asyncio.sleep(0.001)
    await full.wait()
    spent_s = process_time() - began_s
    for board in boards:
        await board.stop()
    began_s = process_time()
    for _ in range(count):
        await asyncio.sleep(0.001)
    return (spent_s - (process_time() - began_s)) * 1e6 / count


def wide_rows(routes: int, tenants: int) -> dict[str, Any]:
    """Return routes that each have a place of their own, and tenants as further profiles."""
    rows: dict[str, Any] = {
        f"route-{place}": {
            "parent": "base",
            "deadline_ms": 1000 + place,
            "match": {"host": f"h{place % 40}.example", "prefix": f"/p{place}/"},
        }
        for place in range(routes)
    }
    rows.update(
        {
            f"tenant-{place}": {"parent": "base", "waiting_room": 4, "urgency": place % 10}
            for place in range(tenants)
        }
    )
    return rows


def version_costs(
    seed: int, routes: int, tenants: int, changes: int, nodes: int = NODES
) -> dict[str, float]:
    """Measure a version in which one profile has changed, until it is used at every edge."""
    fleet = founded(seed, nodes)
    operators = Operators(fleet)
    operators.version = 1
    operators.extra_profiles = wide_rows(routes, tenants)
    told: list[Any] = []
    groups = {
        role: [host.address for host in fleet.with_role(role)]
        for role in ("control", "store", "edge")
    }

    def change() -> None:
        count = len(told)
        operators.change(1, done=told.append)
        if (
            not fleet.run_until_true(lambda: len(told) > count, 20_000)
            or told[-1]["outcome"] != "ok"
        ):
            raise AssertionError(f"a change was not acknowledged: {told[-1:]}")
        for host in fleet.with_role("edge"):
            fleet.meter.run(
                host.address,
                "tick",
                lambda host=host: host.node.profile_tree().route("h1.example", "/p1/x"),
            )
        fleet.time.run_until(fleet.time.now_ms + _APART_MS)

    change()
    costs = MeteredCosts(fleet, groups)
    rows = costs.of(lambda: [change() for _ in range(changes)], changes)
    rows = {name: value / len(groups[name.split()[0]]) for name, value in rows.items()}
    body = json.dumps(
        {"profiles": {**profiles_tree("x")["profiles"], **operators.extra_profiles}}, sort_keys=True
    )
    rows["body kB"] = len(body) / 1000
    tracemalloc.start()
    tree = ProfileTree.from_body(body)
    tree.route("h1.example", "/p1/x")
    rows["a parsed tree kB"] = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()
    rows["acknowledged in virtual ms"] = max(row["answered_ms"] - row["at_ms"] for row in told[1:])
    return rows


def report_cost_us(seed: int, workers: int) -> float:
    fleet = founded(seed, NODES)
    host = fleet.with_role("control")[0]
    began_s = process_time()
    for place in range(workers):
        host.node.worker_list.report(
            WorkerReport(
                identity=f"w{place}",
                address="10.9.0.1:1",
                zone="z",
                label="gpu",
                slots=8,
                state="serving",
                seq=1,
                models="[]",
            ),
            lambda outcome: None,
        )
    return (process_time() - began_s) * 1e6 / workers


def measure_units(count: int, body_bytes: int, repeats: int) -> str:
    """Measure all units `repeats` times; return the report as text."""
    lines = [
        f"processor time alone; {repeats} runs each; a fleet of {NODES}; bodies and results of "
        f"{body_bytes} bytes"
    ]
    for seed in range(1, repeats + 1):
        lines.append(f"run {seed}")
        lines.append(f"  an append: {_told(append_costs(seed, count, body_bytes))}")
        for at_once in (1, 8, 32):
            for name, rows in item_costs(
                seed, max(1, count // _LOT_ITEMS), _LOT_ITEMS, body_bytes, at_once
            ):
                if at_once == 8 or name.startswith("dealt"):
                    lines.append(f"  an item {name}: {_told(rows)}")
        lines.append(f"  an event of a stream in the core: {event_cost_us(20_000):.1f} us")
        lines.append(
            f"  a message over a link, both ends: {asyncio.run(_link_us(2000, 100)):.0f} us of "
            "100 bytes, "
            f"{asyncio.run(_link_us(2000, body_bytes)):.0f} us of {body_bytes} bytes"
        )
        lines.append(f"  a worker's report taken in: {report_cost_us(seed, 690):.1f} us")
        for routes, tenants in ((100, 820), (1000, 8200)):
            lines.append(
                f"  a version, {routes} routes, {tenants} tenants, one node: "
                f"{_told(version_costs(seed, routes, tenants, 3))}"
            )
    return "\n".join(lines)
