"""Batch jobs ("lots") of the fake platform, kept in memory: submission, items, results and cancellation."""

import asyncio
import base64
import json
from types import SimpleNamespace

import aiohttp
from aiohttp import web


class FakeJobApi:
    """Mixin of `FakeFleet`, which has the workers, the settings and the session.

    `broken` names the fault that the fake platform is to show, or is empty.
    """

    async def _submit_job(self, route, request, body):
        name = request.headers["Request-Id"]
        if name in self.jobs:
            return web.Response(status=202)
        items = {row["serverId"]: row for row in json.loads(body)["requests"]}
        backlog_tokens = sum(
            item["tokens"]
            for job in self.jobs.values()
            if not job["ended"]
            for key, item in job["items"].items()
            if key not in job["done"]
        )
        tokens = sum(item["tokens"] for item in items.values())
        refused = self.broken == "refuses-lots" or (
            backlog_tokens + tokens > route["queueCap"] and self.broken != "no-quota"
        )
        if refused and self.broken != "refuses-lots":
            return web.Response(status=429)
        job = {
            "items": items,
            "results": [],
            "done": set(),
            "ended": False,
            "at_ms": self.clock(),
            "host": request.headers["Host"],
        }
        if not refused:
            self.jobs[name] = job
        for key in items:
            asyncio.ensure_future(self._run_item(job, key))
        return web.Response(status=429 if refused else 202)

    async def _run_item(self, job, key):
        if self.broken == "kills-items":
            job["results"].append({"serverId": key, "state": "dead_letter", "message": ""})
            return
        progress = SimpleNamespace(event_data=[], last=None, errors=0)
        while not job["ended"] or self.broken == "goes-on":
            if self._awaits_cancellation(job, progress.event_data):
                await asyncio.sleep(0.05)
                continue
            if self.broken == "goes-on" and job["ended"]:
                await asyncio.sleep(3.3)
            worker = self._choose_worker(self.settings, job["host"], job["items"][key]["path"])
            if worker is None:
                await asyncio.sleep(0.05)
                continue
            status = await self._attempt(job, key, worker, progress)
            if status == 200:
                break
            progress.errors += status == 500
            if status is not None and (status == 422 or progress.errors >= 3):
                job["done"].add(key)
                job["results"].append({"serverId": key, "state": "dead_letter", "message": ""})
                return
            await asyncio.sleep(0.03)
        self._list_result(job, key, progress.event_data)

    def _awaits_cancellation(self, job, event_data):
        return (
            self.broken == "goes-on"
            and len(event_data) == 0
            and not job["ended"]
            and self.clock() < job["at_ms"] + 2500
        )

    async def _attempt(self, job, key, worker, progress):
        """Return the status, or None if the connection failed.

        The data of the events and the id of the last one are stored in `progress`.
        """
        item, last = job["items"][key], progress.last
        more = {"Host": job["host"], "Work-Urgency": "9"} | (
            {"Last-Event-Id": str(last)} if last is not None else {}
        )
        try:
            async with self.session.post(
                f"http://{self.workers[worker]['address']}{item['path']}",
                data=base64.b64decode(item["body"]),
                headers={**self._forwarded_headers(item["headers"], key, worker), **more},
            ) as answer:
                if answer.status == 200:
                    async for block in self._blocks(answer):
                        progress.last = int(block.split(b"\n")[0][3:])
                        progress.event_data.append(block.split(b"data: ")[1].decode())
                return answer.status
        except (aiohttp.ClientError, OSError):
            return None

    def _list_result(self, job, key, event_data):
        if self.broken == "loses-piece" and len(event_data) > 2:
            del event_data[1]
        if self.broken == "twists-pieces":
            event_data[1:3] = reversed(event_data[1:3])
        if len(event_data):
            job["done"].add(key)
            job["results"].append(
                {"serverId": key, "state": "finished", "message": "\n".join(event_data)}
            )
            if self.broken == "lists-twice":
                job["results"].append(job["results"][-1])
            if self.broken == "moves-results":
                self.rng.shuffle(job["results"])

    async def _job_request(self, request):
        job = self.jobs.get(request.path.rpartition("/")[2])
        if job is None or (self.broken == "forgets-lots" and self.rng.random() < 0.3):
            return web.Response(status=404)
        if request.path.startswith("/vaneledge/items/"):
            body = base64.b64decode(job["items"][request.query["serverId"]]["body"])
            return web.Response(body=body + (b"!" if self.broken == "changes-bodies" else b""))
        if request.method == "DELETE":
            job["ended"] = True
            return web.Response(status=200)
        start = int(request.query["pageAfter"])
        until_at = asyncio.get_running_loop().time() + int(request.headers.get("Wait-Ms", 0)) / 1000
        while len(job["results"]) <= start and asyncio.get_running_loop().time() < until_at:
            await asyncio.sleep(0.02)
        shown = (
            job["results"][start:]
            if not (self.broken == "hides-results" and self.rng.random() < 0.4)
            else []
        )
        return web.json_response(
            {
                "total": len(job["items"]) + (self.broken == "wrong-total"),
                "nextToken": start + len(shown),
                "results": shown,
            }
        )
