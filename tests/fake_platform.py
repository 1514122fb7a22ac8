"""A fake of the system under test: edges and control nodes in one process, with all state in memory.

The test bench's clients, workers and operator call it like the real system. Without a fault, it
shows that no rule of the oracle raises a false alarm; with one of its faults, that the rule for it
detects it.
"""

import asyncio
import json
import os
import random
from contextlib import suppress
from itertools import count
from types import SimpleNamespace

import aiohttp
from aiohttp import web
from fake_jobs import FakeJobApi
from platform_testbed.machines import loopback_net
from platform_testbed.operators import apply_patch
from platform_testbed.site import allowed_services, route_of

HOP_BY_HOP_HEADERS = {
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "upgrade",
    "host",
    "content-length",
}
NET_NUMBERS = count()


class FakeMachine:
    def __init__(self, name, machine_class, zone, ip):
        self.name, self.machine_class, self.zone, self.ip = name, machine_class, zone, ip
        self.incarnation, self.removed, self.running, self.settings = 1, False, True, {}
        self.process = SimpleNamespace(pid=os.getpid())
        self.addresses = {
            "publicHttp": f"{ip}:8161",
            "readiness": f"{ip}:8167",
            "control": f"{ip}:8166",
        }


class FakeFleet(FakeJobApi):
    """Replaces `platform_testbed.machines.Machines`.

    `broken` names the fault that the fake platform is to show, or is empty.
    """

    def __init__(self, deployment, history, clock, broken=""):
        self.deployment, self.history, self.clock, self.broken = deployment, history, clock, broken
        self.net = loopback_net(next(NET_NUMBERS))
        self.rng = random.Random(5)
        self.settings, self.acked_changes = {}, {}
        self.workers, self.jobs, self.runners = {}, {}, []
        names = [("edge", index) for index in range(3)] + [("core", index) for index in range(2)]
        self.machines = [
            FakeMachine(
                f"{machine_class}-{index}",
                machine_class,
                deployment.zones[index % len(deployment.zones)],
                f"{self.net}.{number + 1}",
            )
            for number, (machine_class, index) in enumerate(names)
        ]

    def current_machines(self, machine_class=""):
        return [
            machine for machine in self.machines if machine_class in ("", machine.machine_class)
        ]

    started_machines = current_machines

    def published_control_addresses(self):
        return [machine.addresses["control"] for machine in self.started_machines("core")]

    def name_of(self, address):
        return next(
            machine.name for machine in self.machines if machine.addresses["control"] == address
        )

    async def start(self):
        self.session = aiohttp.ClientSession(
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=20, sock_connect=1.0),
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
        )
        for machine in self.machines:
            self.history.add("start", -5000.0, node=machine.name, of=machine.machine_class, life=1)
            for part, serve in (
                (("publicHttp", self._serve_edge), ("readiness", self._serve_readiness))
                if machine.machine_class == "edge"
                else (("control", self._serve_control),)
            ):
                runner = web.ServerRunner(
                    web.Server(
                        lambda request, serve=serve, machine=machine: serve(machine, request),
                        access_log=None,
                        handler_cancellation=True,
                    )
                )
                await runner.setup()
                host, _, port = machine.addresses[part].rpartition(":")
                await web.TCPSite(runner, host, int(port), reuse_address=True).start()
                self.runners.append(runner)

    async def close(self):
        for runner in self.runners:
            await runner.cleanup()
        await self.session.close()

    async def _serve_readiness(self, machine, request):
        return web.Response(status=200 if self.settings else 503)

    async def _serve_control(self, machine, request):
        body = await request.read()
        if request.path.startswith("/vaneledge/servers/"):
            name = request.path.rpartition("/")[2]
            row = json.loads(body) if body else {"state": "gone"}
            self.workers[name] = row
            return web.json_response({})
        if request.method == "GET":
            shown = (
                min(self.acked_changes.values(), key=lambda changed: changed["revision"])
                if self.broken == "reads-old"
                else self.settings
            )
            return web.json_response(shown)
        return self._change(json.loads(body), request.method, int(request.headers["If-Match"]))

    def _change(self, sent, method, base):
        key = json.dumps(sent, sort_keys=True)
        if key in self.acked_changes:
            return web.Response(status=200)
        if base != self.settings.get("revision", 0) and self.broken != "acks-both":
            return web.Response(status=412)
        changed = apply_patch(self.settings, sent) if method == "PATCH" else sent
        if not self._valid(changed):
            return web.Response(status=400)
        self.settings = self.acked_changes[key] = changed
        for index, edge in enumerate(self.started_machines("edge")):
            if not (self.broken == "old-version" and index == 0 and edge.settings):
                edge.settings = changed
        return web.Response(status=200)

    def _valid(self, changed):
        if self.broken == "takes-invalid":
            return True
        prefixes = [(row["hostname"], row["pathStart"]) for row in changed["routes"]]
        used_services = {
            row["backend"]
            for route in changed["routes"]
            for row in route.get("shares") or [{"backend": route.get("backend")}]
        }
        all_have_weight = all(
            sum(row["share"] for row in route["shares"])
            for route in changed["routes"]
            if route.get("shares")
        )
        return (
            changed["revision"] > self.settings.get("revision", 0)
            and len(set(prefixes)) == len(prefixes)
            and all_have_weight
            and used_services <= {row["name"] for row in changed["backends"]}
            and all(route["giveUpMs"] for route in changed["routes"])
        )

    def _choose_worker(self, settings, host, path):
        services = allowed_services(settings, host, path) or set()
        states = ("serving", "draining") if self.broken == "uses-draining" else ("serving",)
        candidates = [
            name
            for name, row in self.workers.items()
            if row["state"] in states
            and (row["backend"] in services or self.broken == "any-service")
        ]
        if self.broken == "uses-draining":
            candidates = [
                name for name in candidates if self.workers[name]["state"] == "draining"
            ] or candidates
        return self.rng.choice(candidates) if candidates else None

    async def _serve_edge(self, machine, request):
        settings = machine.settings
        if self.broken == "falls-back" and self.acked_changes and self.rng.random() < 0.5:
            settings = next(iter(self.acked_changes.values()))
        host = request.headers["Host"]
        if request.path.startswith("/vaneledge/"):
            return await self._job_request(request)
        route = route_of(settings, host, request.path)
        if route is None or (self.broken == "denies" and self.rng.random() < 0.3):
            return web.Response(status=404)
        body = await request.read()
        if route["routeType"] == "bulk":
            return await self._submit_job(route, request, body)
        return await self._forward(settings, route, request, body)

    def _forwarded_headers(self, headers, name, worker, **more):
        sent = {
            key: value for key, value in headers.items() if key.lower() not in HOP_BY_HOP_HEADERS
        }
        return {**sent, "Request-Id": name, "Target-Server": worker, **more}

    async def _forward(self, settings, route, request, body):
        host, name = request.headers["Host"], request.headers["Request-Id"]
        if self.broken == "holds-refusals" and self.rng.random() < 0.2:
            await asyncio.sleep(0.9 * int(request.headers["Deadline-Ms"]) / 1000)
            return web.Response(status=503)
        for _ in range(3):
            worker = self._choose_worker(settings, host, request.path)
            if worker is None:
                break
            url = f"http://{self.workers[worker]['address']}{request.rel_url.raw_path_qs}{'z' if self.broken == 'changes-path' else ''}"
            sent = self._forwarded_headers(
                request.headers, name, worker, Host=host, **{"Work-Urgency": "0"}
            )
            try:
                async with self.session.post(url, data=body, headers=sent) as answer:
                    if answer.status in (421, 503):
                        continue
                    if answer.headers.get("Content-Type") == "text/event-stream":
                        return await self._stream(route, request, answer, settings, body)
                    data = await answer.read()
            except (aiohttp.ClientError, OSError):
                return web.Response(status=502)
            if self.broken == "runs-twice" or (
                self.broken == "refuses-what-ran" and self.rng.random() < 0.5
            ):
                if self.broken == "refuses-what-ran":
                    return web.Response(status=503)
                async with self.session.post(url, data=body, headers=sent) as answer:
                    data = await answer.read()
            return self._full_answer(answer, data)
        return web.Response(status=503, headers={"Retry-After": "0.2"})

    def _full_answer(self, answer, data):
        headers = {
            key: answer.headers[key]
            for key in ("Request-Id", "Server-Seal", "Content-Type")
            if key in answer.headers
        }
        if self.broken == "strips-seal":
            del headers["Server-Seal"]
        if self.broken == "short-body":
            data = data[:-1]
        if self.broken == "wrong-id":
            headers["Request-Id"] = "0" * 16
        return web.Response(status=answer.status, headers=headers, body=data)

    async def _stream(self, route, request, answer, settings, body):
        client_answer = web.StreamResponse(
            headers={
                key: answer.headers[key] for key in ("Request-Id", "Server-Seal", "Content-Type")
            }
        )
        await client_answer.prepare(request)
        last = request.headers.get("Last-Event-Id")
        for _ in range(3):
            try:
                async for block in self._blocks(answer):
                    last = int(block.split(b"\n")[0][3:])
                    if not (
                        self.broken == "drops-event" and last == self.deployment.first_event + 1
                    ):
                        await client_answer.write(block + b"\n\n")
                await client_answer.write_eof()
                return client_answer
            except (aiohttp.ClientError, OSError):
                if self.broken == "looks-complete":
                    await client_answer.write_eof()
                    return client_answer
                if not route["resumable"]:
                    break
            worker = self._choose_worker(settings, request.headers["Host"], request.path)
            more = {"Host": request.headers["Host"], "Work-Urgency": "0"}
            if last is not None and self.broken != "splices":
                more["Last-Event-Id"] = str(last)
            with suppress(aiohttp.ClientError, OSError):
                answer = await self.session.post(
                    f"http://{self.workers[worker]['address']}{request.rel_url.raw_path_qs}",
                    data=body,
                    headers=self._forwarded_headers(
                        request.headers, request.headers["Request-Id"], worker, **more
                    ),
                )
                if answer.status != 200:
                    break
        request.transport.abort()
        return client_answer

    async def _blocks(self, answer):
        incomplete = b""
        async for data in answer.content.iter_any():
            incomplete += data
            *complete_blocks, incomplete = incomplete.split(b"\n\n")
            for block in complete_blocks:
                yield block
