"""Training rollouts at an edge: what a trainer hands in, follows, reads and ends.

To the log a rollout is a batch of the lowest priority under a name that no batch can have; its
results are its samples, in the order of prompts and samples.
"""

import hashlib
import json
import re
from typing import Annotated, Any

from aiohttp import web
from batch_state import messages as m
from messaging import Component
from messaging.node_runner import awaited
from pydantic import BaseModel, ConfigDict, Field, model_validator
from request_routing import JobRunner, LeaderClient
from runtime import Refusal, refused

from data_plane.edge_service import EdgeService, Told
from data_plane.http_service import HttpService, http_response, read_json_body, refusal_response
from data_plane.request_bodies import JOB_ID_PATTERN, JobItemBody, Name
from data_plane.responses import (
    ServiceResponse,
    job_response,
    results_response,
    submission_response,
)

__all__ = ["RolloutBody", "RolloutService", "RolloutApi", "log_name"]

_PAGE = 1000
_MOST_SAMPLES = 100_000


class RolloutBody(BaseModel):
    """A rollout as it is handed in: `samples` of each prompt.

    `due_ms` is the time it is given, in milliseconds from now; 0 for no limit.
    """

    model_config = ConfigDict(extra="forbid", strict=True)
    path: Name
    weights: Annotated[str, Field(max_length=128, pattern=r"^[\x21-\x7e]*$")] = ""
    samples: int = Field(1, ge=1, le=1024)
    prompts: list[JobItemBody] = Field(min_length=1, max_length=10_000)
    due_ms: int = Field(0, ge=0, le=7 * 86_400_000)

    @model_validator(mode="after")
    def _not_too_many(self) -> "RolloutBody":
        if len(self.prompts) * self.samples > _MOST_SAMPLES:
            raise ValueError(f"prompts times samples are more than {_MOST_SAMPLES}")
        return self


def log_name(rollout_id: str) -> str:
    """Return the name that a rollout has in the log."""
    return f"rollout:{rollout_id}"


def _of_rollout(answer: ServiceResponse) -> ServiceResponse:
    """Return the same answer in the words of rollouts."""
    if answer.refusal is not None:
        if answer.refusal.field == "lot_id":
            answer.refusal.field = "rollout_id"
        return ServiceResponse.no(answer.refusal)
    value = json.loads(answer.body)
    return ServiceResponse.ok(
        {"rollout_id": value.pop("lot_id").removeprefix("rollout:"), **value}, answer.status
    )


class RolloutService(Component):
    """Serves rollouts; the HTTP side and the simulator's trainers use the same object."""

    __slots__ = ("_counter", "_holder", "_jobs", "_tree")

    def __init__(
        self, counter: EdgeService, holder: LeaderClient, jobs: JobRunner, tree: Any
    ) -> None:
        self._counter, self._holder, self._jobs, self._tree = counter, holder, jobs, tree

    def submit(self, rollout_id: str, call: RolloutBody, told: Told) -> None:
        """Hand a rollout in at the leader, if its route lends slots."""
        profile = self._tree().usable(call.path)
        answer = self._counter.unready(True)
        if answer is None and profile is None:
            answer = ServiceResponse.no(
                refused(
                    "unknown-path", f"path: no profile is called {call.path!r}", 404, field="path"
                )
            )
        if answer is None and not profile.loan_share:
            answer = ServiceResponse.no(
                refused(
                    "lends-nothing",
                    f"path: profile {call.path!r} lends no slots (loan_share)",
                    409,
                    field="path",
                )
            )
        if answer is not None:
            told(answer)
            return
        items = [
            json.dumps(item.model_dump(exclude_none=True), sort_keys=True) for item in call.prompts
        ]
        digest = hashlib.blake2b(
            json.dumps([call.path, call.weights, call.samples, call.due_ms, items]).encode(),
            digest_size=16,
        ).hexdigest()

        def done(receipt: Any) -> None:
            self.node.env.log(
                "rollout-handed-in",
                job=log_name(rollout_id),
                path=call.path,
                prompts=len(items),
                samples=call.samples,
                outcome=receipt.outcome if receipt is not None else "unknown",
            )
            told(_of_rollout(submission_response(log_name(rollout_id), receipt)))

        self._holder.ask(
            m.SubmitRollout(
                job_id=log_name(rollout_id),
                digest=digest,
                path=call.path,
                items=items,
                samples=call.samples,
                weights=call.weights,
                due_ms=call.due_ms,
                epoch=0,
                leader_ms=0,
            ),
            self.node.settings.force_ms,
            done,
        )

    def progress(self, rollout_id: str, told: Told) -> None:
        """Answer a rollout's progress."""
        name = log_name(rollout_id)
        self._holder.ask(
            m.GetJob(job_id=name),
            self.node.settings.force_ms,
            lambda receipt: told(_of_rollout(job_response(name, receipt))),
        )

    def results(self, rollout_id: str, from_index: int, limit: int, told: Told) -> None:
        """Answer a page of at most `limit` samples, from index `from_index` on."""
        name = log_name(rollout_id)
        self._holder.ask(
            m.ListResults(job_id=name, from_index=from_index, limit=max(1, min(_PAGE, limit))),
            self.node.settings.force_ms,
            lambda receipt: told(_of_rollout(results_response(name, from_index, receipt))),
        )

    def cancel(self, rollout_id: str, told: Told) -> None:
        """End a rollout, and stop its samples that run at this edge."""
        self._counter.cancel(log_name(rollout_id), lambda answer: told(_of_rollout(answer)))


class RolloutApi:
    """The HTTP routes of rollouts."""

    __slots__ = ("_counter", "_node")

    def __init__(self, node: Any, counter: RolloutService, desk: HttpService) -> None:
        self._node, self._counter = node, counter
        router = desk.app.router
        router.add_put("/rollouts/{rollout_id}", self._hand_in)
        router.add_get("/rollouts/{rollout_id}", self._show)
        router.add_get("/rollouts/{rollout_id}/results", self._results)
        router.add_delete("/rollouts/{rollout_id}", self._end)

    async def _hand_in(self, request: web.Request) -> web.StreamResponse:
        rollout_id = _rollout_id(request)
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        call = await read_json_body(request, self._node.settings.max_body_bytes, RolloutBody)
        if isinstance(call, Refusal):
            return refusal_response(call)
        return http_response(
            await awaited(lambda told: self._counter.submit(rollout_id, call, told))
        )

    async def _show(self, request: web.Request) -> web.StreamResponse:
        rollout_id = _rollout_id(request)
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        return http_response(await awaited(lambda told: self._counter.progress(rollout_id, told)))

    async def _results(self, request: web.Request) -> web.StreamResponse:
        rollout_id = _rollout_id(request)
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        numbers: dict[str, int] = {"from": 0, "limit": _PAGE}
        for name, value in request.query.items():
            if name not in numbers or not re.match(r"^\d{1,9}$", value):
                return refusal_response(
                    refused("bad-field", f"{name}: a whole number from 0, or unknown", field=name)
                )
            numbers[name] = int(value)
        return http_response(
            await awaited(
                lambda told: self._counter.results(
                    rollout_id, numbers["from"], numbers["limit"], told
                )
            )
        )

    async def _end(self, request: web.Request) -> web.StreamResponse:
        rollout_id = _rollout_id(request)
        if isinstance(rollout_id, Refusal):
            return refusal_response(rollout_id)
        return http_response(await awaited(lambda told: self._counter.cancel(rollout_id, told)))


def _rollout_id(request: web.Request) -> str | Refusal:
    rollout_id = request.match_info["rollout_id"]
    if not re.match(JOB_ID_PATTERN, rollout_id):
        return refused(
            "bad-field",
            "rollout_id: letters, digits, dot, dash, underscore; at most 128",
            field="rollout_id",
        )
    return rollout_id
