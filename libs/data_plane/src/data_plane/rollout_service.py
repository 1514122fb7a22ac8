"""Training rollouts at an edge, which a trainer submits, follows, reads and cancels.

In the log a rollout is a batch job of the lowest priority, with a prefix in its id that no other
job can have. Its results are its samples, ordered by prompt and then by sample.
"""

import hashlib
import json
from collections.abc import Callable
from typing import Annotated

from batch_state.messages import GetJob, JobResponse, ListResults, SubmitRollout
from batch_state.outcomes import JobOutcome
from control_store import ProfileTree
from messaging import Component
from pydantic import BaseModel, ConfigDict, Field, model_validator
from request_routing import LeaderClient
from runtime import Refusal, refused

from data_plane.edge_service import EdgeService, OnResponse
from data_plane.job_responses import job_response, results_response, submission_response
from data_plane.request_bodies import JobItemBody, Name
from data_plane.responses import ServiceResponse

__all__ = ["RolloutBody", "RolloutService", "job_id_of"]

_MAX_PAGE_RESULTS = 1000
_MAX_SAMPLES = 100_000
_DIGEST_BYTES = 16
_JOB_ID_PREFIX = "rollout:"


class RolloutBody(BaseModel):
    """The body of a submission: `samples` samples are to be drawn for each prompt.

    `path` names the profile, and `weights` the weights that samples must come from, empty for any.
    `due_ms` is the time limit in milliseconds from the admission, 0 for none.
    """

    model_config = ConfigDict(extra="forbid", strict=True)
    path: Name
    weights: Annotated[str, Field(max_length=128, pattern=r"^[\x21-\x7e]*$")] = ""
    samples: int = Field(1, ge=1, le=1024)
    prompts: list[JobItemBody] = Field(min_length=1, max_length=10_000)
    due_ms: int = Field(0, ge=0, le=7 * 86_400_000)

    @model_validator(mode="after")
    def _limit_samples(self) -> "RolloutBody":
        if len(self.prompts) * self.samples > _MAX_SAMPLES:
            raise ValueError(f"prompts times samples are more than {_MAX_SAMPLES}")
        return self


def job_id_of(rollout_id: str) -> str:
    """Return the id of a rollout's job in the log."""
    return f"{_JOB_ID_PREFIX}{rollout_id}"


def _rollout_response(response: ServiceResponse[None]) -> ServiceResponse[None]:
    """Return a job's response with `rollout_id` in place of `lot_id`."""
    if response.refusal is not None:
        if response.refusal.field == "lot_id":
            response.refusal.field = "rollout_id"
        return ServiceResponse.refuse(response.refusal)
    content = json.loads(response.body)
    rollout_id = content.pop("lot_id").removeprefix(_JOB_ID_PREFIX)
    return ServiceResponse.of_json({"rollout_id": rollout_id, **content}, response.status)


class RolloutService(Component):
    """Serves rollouts to the HTTP routes and to the simulator's trainers.

    Responses are passed to the callback `on_response`.

    Parameters
    ----------
    edge_service
        Decides whether the edge is ready, and cancels jobs.
    leader_client
        Sends requests to the log's leader.
    profile_tree
        Returns the profiles in force.
    """

    __slots__ = ("_edge_service", "_leader_client", "_profile_tree")

    def __init__(
        self,
        edge_service: EdgeService,
        leader_client: LeaderClient,
        profile_tree: Callable[[], ProfileTree],
    ) -> None:
        self._edge_service = edge_service
        self._leader_client = leader_client
        self._profile_tree = profile_tree

    def submit(self, rollout_id: str, body: RolloutBody, on_response: OnResponse) -> None:
        """Submit a rollout to the leader, if its profile lends slots (`loan_share`)."""
        if (refusal := self._submission_refusal(body)) is not None:
            on_response(refusal)
            return
        message = _submission(rollout_id, body)

        def on_leader_response(response: JobResponse | None) -> None:
            self.node.env.log(
                "rollout-submitted",
                job=message.job_id,
                path=body.path,
                prompts=len(message.items),
                samples=body.samples,
                outcome=response.outcome if response is not None else JobOutcome.UNKNOWN,
            )
            on_response(_rollout_response(submission_response(message.job_id, response)))

        self._leader_client.request(message, self.node.settings.force_ms, on_leader_response)

    def _submission_refusal(self, body: RolloutBody) -> ServiceResponse[None] | None:
        """Return the refusal of a rollout that can't be submitted here, or None if it can."""
        profile = self._profile_tree().usable(body.path)
        if (unready := self._edge_service.unready_response(True)) is not None:
            return unready
        if profile is None:
            return ServiceResponse.refuse(_unknown_path(body.path))
        if not profile.loan_share:
            return ServiceResponse.refuse(_no_slots_lent(body.path))
        return None

    def progress(self, rollout_id: str, on_response: OnResponse) -> None:
        """Respond with a rollout's progress."""
        job_id = job_id_of(rollout_id)
        self._leader_client.request(
            GetJob(job_id=job_id),
            self.node.settings.force_ms,
            lambda message: on_response(_rollout_response(job_response(job_id, message))),
        )

    def results(
        self, rollout_id: str, from_index: int, limit: int, on_response: OnResponse
    ) -> None:
        """Respond with a page of samples, from index `from_index` on.

        A page has at most `limit` samples, and never more than 1000.
        """
        job_id = job_id_of(rollout_id)
        limit = max(1, min(_MAX_PAGE_RESULTS, limit))
        self._leader_client.request(
            ListResults(job_id=job_id, from_index=from_index, limit=limit),
            self.node.settings.force_ms,
            lambda message: on_response(
                _rollout_response(results_response(job_id, from_index, message))
            ),
        )

    def cancel(self, rollout_id: str, on_response: OnResponse) -> None:
        """Cancel a rollout, and stop its samples that run at this edge."""
        self._edge_service.cancel(
            job_id_of(rollout_id), lambda response: on_response(_rollout_response(response))
        )


def _submission(rollout_id: str, body: RolloutBody) -> SubmitRollout:
    items = [
        json.dumps(item.model_dump(exclude_none=True), sort_keys=True) for item in body.prompts
    ]
    content = json.dumps([body.path, body.weights, body.samples, body.due_ms, items])
    return SubmitRollout(
        job_id=job_id_of(rollout_id),
        digest=hashlib.blake2b(content.encode(), digest_size=_DIGEST_BYTES).hexdigest(),
        path=body.path,
        items=items,
        samples=body.samples,
        weights=body.weights,
        due_ms=body.due_ms,
        epoch=0,
        leader_ms=0,
    )


def _unknown_path(path: str) -> Refusal:
    return refused("unknown-path", f"path: no profile is called {path!r}", 404, field="path")


def _no_slots_lent(path: str) -> Refusal:
    return refused(
        "lends-nothing", f"path: profile {path!r} lends no slots (loan_share)", 409, field="path"
    )
