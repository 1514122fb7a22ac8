"""The processor time that single operations cost.

Operations are an append at the leader and at a follower, the submission, run and listing of an
item, an event of a stream at an edge, a message over a link, a worker's report, and a new version
of a wide configuration. Fleets are simulated and metered, and their idle cost is subtracted.
Sockets and real disks are not included, except for messages over a real link.
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

from testbed.measure_scale import create_fleet, held_bytes
from testbed.metered_costs import NODES, EdgeClient, MeteredCosts, large_disk_settings, store_groups

__all__ = ["item_costs", "measure_units", "wide_profiles"]

_JOB_ITEMS = 80
_CHANGE_INTERVAL_MS = 3000
_HEADER_NAMES = WorkerHeaderNames(
    request_id="Id",
    worker="Worker",
    signature="Stamp",
    not_run="Refused",
    load="Load",
    deadline_ms="Left",
    urgency="Rank",
)


def _format_costs(rows: dict[str, float]) -> str:
    return ", ".join(f"{name} {value:.3f}" for name, value in rows.items())


def append_costs(seed: int, count: int, body_bytes: int) -> dict[str, float]:
    fleet = create_fleet(seed, NODES, large_disk_settings())
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


def _submit(client: EdgeClient, job_id: str, items: int, body_bytes: int) -> None:
    calls = [
        encode(
            m.ForwardItem(
                item_id=f"{job_id}-{index}",
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
        for index in range(items)
    ]
    values = {
        "lot_id": job_id,
        "digest": "d" * 32,
        "path": "summaries",
        "item_ids": [f"{job_id}-{index}" for index in range(items)],
        "tokens": [900] * items,
        "calls": calls,
        "attempts": 3,
        "due_ms": 600_000,
        "keep_ms": 900_000,
        "version": 1,
    }
    response = client.request(m.SubmitForwardJob(epoch=0, leader_ms=0, **values))
    if isinstance(response, m.StaleRequest):
        response = client.request(
            m.SubmitForwardJob(epoch=response.epoch, leader_ms=response.leader_ms, **values)
        )
    if response.outcome != "admitted":
        raise AssertionError(f"job {job_id} not admitted: outcome {response.outcome}")


def _run_items(client: EdgeClient, items: int, at_once: int, text: bytes) -> None:
    ended = 0
    while ended < items:
        heartbeat_response = client.request(
            m.EdgeHeartbeat(
                edge="hollow",
                address=client.address,
                capacity=at_once,
                paths=["summaries"],
                running=[],
            )
        )
        work = [decode(row) for row in heartbeat_response.work]
        if work:
            client.request(
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
    """Measure the submission, the run and the listing of items; return the cost of one item.

    At most `at_once` items are dispatched with a heartbeat, and they finish together. Results are
    read once, in pages of 256 KiB.
    """
    fleet = create_fleet(seed, NODES, large_disk_settings())
    client = EdgeClient(fleet)
    costs = MeteredCosts(fleet, store_groups(fleet))
    names = [f"lot{number}" for number in range(jobs)]

    def read(name: str) -> None:
        position, over = 0, False
        while not over:
            page = client.request(
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
                lambda: [_submit(client, name, items, body_bytes) for name in names], jobs * items
            ),
        )
    ]
    held = (held_bytes(fleet.leader().node) - before) / (jobs * items) / 1000
    rows[0][1]["held at the holder kB"] = held
    rows.append(
        (
            f"dealt and ended, {at_once} at once",
            costs.of(
                lambda: [_run_items(client, items, at_once, b"y" * body_bytes) for _ in names],
                jobs * items,
            ),
        )
    )
    rows.append(("listed", costs.of(lambda: [read(name) for name in names], jobs * items)))
    return rows


def event_cost_us(count: int) -> float:
    """Return the time to parse, check and pass on one event of a stream in an edge's exchange."""
    exchange = ForwardExchange(_HEADER_NAMES, "w", "r", "POST", True, 1 << 20)
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
    all_arrived = asyncio.Event()

    def deliver(sender: str, request_id: int, in_reply_to: int, message: Any) -> None:
        nonlocal arrived
        arrived += 1
        if arrived == count:
            all_arrived.set()

    ports = []
    for _ in range(2):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            ports.append(probe.getsockname()[1])
    links = [LinkTransport(f"127.0.0.1:{port}", 2000, deliver) for port in ports]
    for link in links:
        await link.start()
    message = m.GetItemResponse(outcome="x", call=b"x" * size_bytes)
    began_s = process_time()
    for number in range(count):
        links[0].send(f"127.0.0.1:{ports[1]}", number, 0, message)
        await asyncio.sleep(0.001)
    await all_arrived.wait()
    busy_s = process_time() - began_s
    for link in links:
        await link.stop()
    began_s = process_time()
    for _ in range(count):
        await asyncio.sleep(0.001)
    return (busy_s - (process_time() - began_s)) * 1e6 / count


def wide_profiles(routes: int, tenants: int) -> dict[str, Any]:
    """Return profiles of routes, each with a distinct prefix, and of tenants, without routes."""
    rows: dict[str, Any] = {
        f"route-{index}": {
            "parent": "base",
            "deadline_ms": 1000 + index,
            "match": {"host": f"h{index % 40}.example", "prefix": f"/p{index}/"},
        }
        for index in range(routes)
    }
    rows.update(
        {
            f"tenant-{index}": {"parent": "base", "waiting_room": 4, "urgency": index % 10}
            for index in range(tenants)
        }
    )
    return rows


def version_costs(
    seed: int, routes: int, tenants: int, changes: int, nodes: int = NODES
) -> dict[str, float]:
    """Measure a version in which one profile has changed, until it is used at every edge.

    The first change is not measured. Costs are for one node of each role.
    """
    fleet = create_fleet(seed, nodes)
    operators = Operators(fleet)
    operators.version = 1
    operators.extra_profiles = wide_profiles(routes, tenants)
    outcomes: list[Any] = []
    groups = {
        role: [host.address for host in fleet.with_role(role)]
        for role in ("control", "store", "edge")
    }

    def change() -> None:
        count = len(outcomes)
        operators.change(1, done=outcomes.append)
        if (
            not fleet.run_until_true(lambda: len(outcomes) > count, 20_000)
            or outcomes[-1]["outcome"] != "ok"
        ):
            raise AssertionError(f"change not acknowledged as made: {outcomes[-1:]}")
        for host in fleet.with_role("edge"):
            fleet.meter.run(
                host.address,
                "tick",
                lambda host=host: host.node.profile_tree().route("h1.example", "/p1/x"),
            )
        fleet.time.run_until(fleet.time.now_ms + _CHANGE_INTERVAL_MS)

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
    rows["acknowledged in virtual ms"] = max(
        row["answered_ms"] - row["at_ms"] for row in outcomes[1:]
    )
    return rows


def report_cost_us(seed: int, workers: int) -> float:
    fleet = create_fleet(seed, NODES)
    host = fleet.with_role("control")[0]
    began_s = process_time()
    for index in range(workers):
        host.node.worker_list.report(
            WorkerReport(
                identity=f"w{index}",
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
    """Measure all operations `repeats` times; return the report as text."""
    lines = [
        f"processor time alone; {repeats} runs each; a fleet of {NODES}; bodies and results of "
        f"{body_bytes} bytes"
    ]
    for seed in range(1, repeats + 1):
        lines.append(f"run {seed}")
        lines.append(f"  an append: {_format_costs(append_costs(seed, count, body_bytes))}")
        for at_once in (1, 8, 32):
            for name, rows in item_costs(
                seed, max(1, count // _JOB_ITEMS), _JOB_ITEMS, body_bytes, at_once
            ):
                if at_once == 8 or name.startswith("dealt"):
                    lines.append(f"  an item {name}: {_format_costs(rows)}")
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
                f"{_format_costs(version_costs(seed, routes, tenants, 3))}"
            )
    return "\n".join(lines)
