"""Requests about rollouts: jobs of samples that run on capacity shared with training.

They correspond to those of ordinary jobs.
"""

from messaging import Message

__all__ = ["RolloutAssignment", "RolloutHeartbeat", "RolloutHeartbeatResponse", "SubmitRollout"]


class SubmitRollout(Message, wire_name="RolloutHandIn"):
    """Submit a rollout.

    `due_ms` is in milliseconds from its admission, 0 for no deadline. The `items` are prompts, each
    of which is sampled `samples` times.
    """

    job_id: str
    digest: str
    path: str
    items: list[str]
    samples: int
    weights: str
    due_ms: int
    epoch: int
    leader_ms: int


class RolloutAssignment(Message, wire_name="RolloutWork"):
    """A sample for an edge to run; `index` is `prompt` * samples per prompt + `sample`."""

    safe = True
    job_id: str
    index: int
    claim_number: int
    path: str
    body: str
    prompt: int
    sample: int
    weights: str


class RolloutHeartbeat(Message, wire_name="RolloutBeat"):
    """An EdgeHeartbeat that adds how many samples of rollouts can start on `sample_paths`."""

    edge: str
    address: str
    capacity: int
    paths: list[str]
    running: list[str]
    sample_capacity: int
    sample_paths: list[str]


class RolloutHeartbeatResponse(Message, wire_name="RolloutAnswer"):
    """An EdgeHeartbeatResponse with fields for rollouts.

    `samples_out` is the number of samples that run or may start; `recalled` tells that other jobs
    need their slots.
    """

    epoch: int
    leader_ms: int
    work: list[bytes]
    listing_leases: list[bytes]
    closed_jobs: list[str]
    waiting: int
    paths: list[str]
    samples_out: int
    recalled: bool
