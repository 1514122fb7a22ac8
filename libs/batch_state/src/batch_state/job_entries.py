"""Converts a job into log entries that rebuild its present state, for snapshots and copies.

They omit what has no further effect, such as which edges had earlier claims of an item.
"""

from typing import TYPE_CHECKING

from messaging import Message

from batch_state.entries import (
    AttemptFailed,
    ForwardJobAdmitted,
    ItemClaimed,
    ItemFinished,
    ItemReturned,
    ItemsClaimed,
    JobAdmitted,
    JobArchived,
    JobCancelled,
    ListingAdvanced,
    ListingLeaseGranted,
    ResultListed,
    RolloutAdmitted,
)
from batch_state.outcomes import ItemState

if TYPE_CHECKING:
    from batch_state.jobs import Item, Job

__all__ = ["entries_of"]


def entries_of(job: "Job") -> list[Message]:
    """Return the entries that, applied in order to an empty state, rebuild the job."""
    if job.archived is not None:
        return [_job_archived(job, job.archived)]
    entries = _forward_job_entries(job) if job.forward else _ordinary_job_entries(job)
    if job.cancelled:
        entries.append(JobCancelled(job_id=job.job_id, at_ms=job.cancelled_at_ms))
    return entries


def _job_archived(job: "Job", archived: JobArchived) -> JobArchived:
    """Return the archive entry, updated in case the job was cancelled after it was archived."""
    return JobArchived(
        **{
            **archived.as_dict(),
            "cancelled": job.cancelled,
            "cancelled_at_ms": job.cancelled_at_ms,
        }
    )


def _ordinary_job_entries(job: "Job") -> list[Message]:
    """Return the entries of an ordinary job or a rollout, which differ only in the first."""
    entries: list[Message] = [_rollout_admitted(job) if job.rollout else _job_admitted(job)]
    for index, item in enumerate(job.items):
        entries += _ordinary_item_entries(job, index, item)
    if job.listing_epoch:
        entries.append(
            ListingLeaseGranted(job_id=job.job_id, edge=job.listing_edge, epoch=job.listing_epoch)
        )
    if job.listed:
        entries.append(
            ListingAdvanced(job_id=job.job_id, up_to=job.listed, epoch=job.listing_epoch)
        )
    return entries


def _job_admitted(job: "Job") -> JobAdmitted:
    return JobAdmitted(
        job_id=job.job_id,
        digest=job.digest,
        path=job.path,
        safe=job.safe,
        items=[item.body for item in job.items],
        due_ms=job.due_ms,
        at_ms=job.at_ms,
    )


def _rollout_admitted(job: "Job") -> RolloutAdmitted:
    return RolloutAdmitted(
        job_id=job.job_id,
        digest=job.digest,
        path=job.path,
        samples=job.samples,
        weights=job.weights,
        items=[item.body for item in job.items[:: job.samples]],
        expires_ms=job.expires_ms,
        at_ms=job.at_ms,
    )


def _ordinary_item_entries(job: "Job", index: int, item: "Item") -> list[Message]:
    entries: list[Message] = []
    if item.claim_number:
        entries.append(
            ItemClaimed(
                job_id=job.job_id, index=index, edge=item.edge, claim_number=item.claim_number
            )
        )
    if item.claim_number and item.state == ItemState.WAITING:
        entries.append(ItemReturned(job_id=job.job_id, index=index, claim_number=item.claim_number))
    if item.state == ItemState.FINISHED:
        entries.append(
            ItemFinished(
                job_id=job.job_id,
                index=index,
                outcome=item.outcome,
                body=item.result,
                worker=item.worker,
            )
        )
    return entries


def _forward_job_entries(job: "Job") -> list[Message]:
    entries: list[Message] = [_forward_job_admitted(job)]
    for index in [*job.pending, *job.claims]:
        entries += _failed_attempt_entries(job, index)
        entries += _latest_claim_entries(job, index)
    entries += [_result_listed(job, index) for index in job.order]
    return entries


def _forward_job_admitted(job: "Job") -> ForwardJobAdmitted:
    return ForwardJobAdmitted(
        job_id=job.job_id,
        digest=job.digest,
        path=job.path,
        item_ids=[item.item_id for item in job.items],
        tokens=[item.tokens for item in job.items],
        calls=[item.body for item in job.items],
        attempts=job.attempts,
        due_ms=job.due_ms,
        expires_ms=job.expires_ms,
        version=job.version,
        at_ms=job.at_ms,
    )


def _failed_attempt_entries(job: "Job", index: int) -> list[Message]:
    entries: list[Message] = []
    for claim_number, worker in enumerate(job.items[index].failed_at, 1):
        entries.append(
            ItemsClaimed(job_id=job.job_id, edge="", indexes=[index], claim_numbers=[claim_number])
        )
        entries.append(
            AttemptFailed(
                job_id=job.job_id,
                index=index,
                claim_number=claim_number,
                failures=claim_number,
                worker=worker,
            )
        )
    return entries


def _latest_claim_entries(job: "Job", index: int) -> list[Message]:
    """Return the entries of an item's latest claim, unless its failed attempts imply it."""
    item = job.items[index]
    if item.claim_number <= item.failures and item.state != ItemState.CLAIMED:
        return []
    entries: list[Message] = [
        ItemsClaimed(
            job_id=job.job_id, edge=item.edge, indexes=[index], claim_numbers=[item.claim_number]
        )
    ]
    if item.state == ItemState.WAITING:
        entries.append(ItemReturned(job_id=job.job_id, index=index, claim_number=item.claim_number))
    return entries


def _result_listed(job: "Job", index: int) -> ResultListed:
    item = job.items[index]
    return ResultListed(
        job_id=job.job_id,
        index=index,
        outcome=item.outcome,
        text=item.result,
        worker=item.worker,
        edge=job.listing_edge,
        epoch=job.listing_epoch,
    )
