"""Batches of forwarded requests: what clients hand in, read and end, asked of the log's leader.

While the leader changes the edge goes on asking for as long as the client gives; what it can't know
by then it says at once. It promises that nothing was taken only where nothing was sent, or where
the leader itself said so.
"""

import hashlib
from collections.abc import Callable, Iterable
from typing import Any

from batch_state import messages as m
from messaging import Component, encode
from request_routing import JobRunner, LeaderClient

from data_plane.responses import (
    ServiceResponse,
    forward_cancellation_response,
    forward_item_response,
    forward_results_response,
    forward_submission_response,
)

__all__ = ["ForwardJobService"]

Told = Callable[[ServiceResponse], None]
_PAGE_BYTES = 1 << 19
_ANSWER_SHARE = 0.55
_TRY_SHARE = 0.6


def _digest(path: str, calls: Iterable[bytes], tokens: Iterable[int]) -> str:
    digest = hashlib.blake2b(path.encode(), digest_size=16)
    for call, count in zip(calls, tokens, strict=True):
        digest.update(b"%d %d " % (len(call), count))
        digest.update(call)
    return digest.hexdigest()


class ForwardJobService(Component):
    """Serves batches of forwarded requests.

    `profiles` gives the number and the tree of the profiles in force here.
    """

    __slots__ = ("_holder", "_jobs", "_profiles")

    def __init__(
        self, holder: LeaderClient, jobs: JobRunner, profiles: Callable[[], tuple[int, Any]]
    ) -> None:
        self._holder, self._jobs, self._profiles = holder, jobs, profiles

    def _patience_ms(self) -> int:
        """Return how long a client may be kept waiting for the leader, beyond what it asked for."""
        return int(self.node.settings.force_ms * _ANSWER_SHARE)

    def submit(
        self,
        job_id: str,
        path: str,
        items: list[m.ForwardItem],
        tokens: list[int],
        client_ms: int,
        told: Told,
    ) -> None:
        """Hand a batch in at the leader.

        `client_ms` is how many milliseconds the client waits; it is left enough of that to try at
        another edge. `tokens` are the expected tokens of each item.
        """
        number, tree = self._profiles()
        profile = tree.usable(path)
        calls = [encode(item) for item in items]
        message = m.SubmitForwardJob(
            job_id=job_id,
            digest=_digest(path, calls, tokens),
            path=path,
            item_ids=[item.item_id for item in items],
            tokens=tokens,
            calls=calls,
            attempts=profile.attempts or 1,
            due_ms=profile.due_ms or 0,
            keep_ms=profile.keep_ms or self.node.settings.keep_ms,
            version=number,
            epoch=0,
            leader_ms=0,
        )

        def done(receipt: Any) -> None:
            answer = forward_submission_response(job_id, receipt, ask.sends > 0)
            self.node.env.log(
                "lot-handed-in",
                "INFO" if answer.refusal is None else "WARNING",
                job=job_id,
                path=path,
                items=len(items),
                code=answer.code,
            )
            told(answer)

        ask = self._holder.ask(message, int(client_ms * _TRY_SHARE), done)

    def results(self, job_id: str, from_position: int, wait_ms: int, told: Told) -> None:
        """Answer a page of results, waiting up to `wait_ms` milliseconds for the first.

        The leader holds each ask for a part of that time, so that another leader is found soon.
        """
        end_ms = self.node.env.now() + wait_ms

        def ask() -> None:
            held_ms = max(
                0, min(end_ms - self.node.env.now(), self.node.settings.request_timeout_ms)
            )
            self._holder.ask(
                m.ListForwardResults(
                    job_id=job_id,
                    from_position=from_position,
                    limit_bytes=_PAGE_BYTES,
                    wait_ms=held_ms,
                ),
                max(0, end_ms - self.node.env.now()) + self._patience_ms(),
                done,
            )

        def done(receipt: Any) -> None:
            empty = (
                receipt is not None
                and receipt.outcome == "known"
                and not receipt.rows
                and not receipt.over
            )
            if empty and self.node.env.now() < end_ms:
                ask()
            else:
                told(forward_results_response(job_id, from_position, receipt))

        ask()

    def item(self, job_id: str, item_id: str, told: Told) -> None:
        """Answer the request that one item makes."""
        self._holder.ask(
            m.GetItem(job_id=job_id, item_id=item_id),
            self._patience_ms(),
            lambda receipt: told(forward_item_response(job_id, receipt)),
        )

    def cancel(self, job_id: str, told: Told) -> None:
        """End a batch, and stop its items that run at this edge."""

        def done(receipt: Any) -> None:
            if receipt is not None and receipt.outcome == "known":
                self._jobs.stop(job_id, "ended here")
            self.node.env.log(
                "lot-ended",
                job=job_id,
                outcome=receipt.outcome if receipt is not None else "unknown",
            )
            told(forward_cancellation_response(job_id, receipt))

        self._holder.ask(m.CancelJob(job_id=job_id), self._patience_ms(), done)
