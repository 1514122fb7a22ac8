"""The leader's handling of requests about idempotency keys."""

from collections.abc import Callable

from messaging import Message, Node, Origin

from batch_state.entries import KeyClosed, KeyOpened
from batch_state.idempotency_keys import IdempotencyKey
from batch_state.interfaces import ArchiveReader, LogLeader, RepairRequest
from batch_state.leader_replies import LeaderReplies
from batch_state.messages import CloseKey, KeyResponse, OpenKey
from batch_state.outcomes import AppendOutcome, KeyOutcome, KeyState, RecordKind

__all__ = ["IdempotencyKeyService"]


def _response(outcome: str, status: int = 0, body: str = "") -> KeyResponse:
    return KeyResponse(outcome=outcome, status=status, body=body)


class IdempotencyKeyService:
    """Opens and closes idempotency keys in the log of one leader.

    Parameters
    ----------
    leader
        The leader of the log.
    node
        The node that sends the responses.
    replies
        Answers requests once entries are committed.
    log_ms
        Returns the log's own time in milliseconds.
    archive
        Reads final responses from archive files.
    request_repair
        Called for a key whose archive file can't be read.
    """

    __slots__ = ("_archive", "_leader", "_log_ms", "_node", "_replies", "_request_repair")

    def __init__(
        self,
        leader: LogLeader,
        node: Node,
        replies: LeaderReplies,
        log_ms: Callable[[], int],
        archive: ArchiveReader,
        request_repair: RepairRequest,
    ) -> None:
        self._leader, self._node, self._replies = leader, node, replies
        self._log_ms, self._archive, self._request_repair = log_ms, archive, request_repair

    def open(self, message: OpenKey, origin: Origin) -> None:
        """Open a key that is unknown or void, or respond with the state of its request."""
        key = self._leader.state.keys.get(message.key)
        if key is not None and key.state != KeyState.VOID:
            self._answer_known(key, message, origin)
        elif self._replies.stale(message):
            self._node.reply(origin, _response(KeyOutcome.STALE))
        else:
            self._replies.append(
                origin,
                [
                    KeyOpened(
                        key=message.key,
                        digest=message.digest,
                        edge=message.edge,
                        request_id=message.request_id,
                        at_ms=self._log_ms(),
                    )
                ],
                lambda outcome: _response(
                    KeyOutcome.OPENED if outcome == AppendOutcome.COMMITTED else outcome
                ),
            )

    def _answer_known(self, key: IdempotencyKey, message: OpenKey, origin: Origin) -> None:
        outcome = _outcome(key, message)
        body: str | None = key.body
        if key.archived is not None and outcome == KeyOutcome.RECORDED:
            body = self._archive.read_answer(key)
        if body is None:
            self._request_repair(RecordKind.KEY, message.key)
            self._node.reply(origin, _response(KeyOutcome.UNKNOWN))
            return
        self._replies.when_committed(
            origin,
            lambda ok: _response(outcome if ok else KeyOutcome.UNKNOWN, key.status, body),
        )

    def close(self, message: CloseKey, origin: Origin) -> None:
        """Record how a request ended.

        It changes nothing if that state is recorded already, or if the key is unknown or belongs to
        another request.
        """
        key = self._leader.state.keys.get(message.key)
        if key is None or key.request_id != message.request_id or key.state == message.state:
            self._replies.when_committed(
                origin, lambda ok: _response(KeyOutcome.KNOWN if ok else KeyOutcome.UNKNOWN)
            )
            return
        entry = KeyClosed(
            key=message.key,
            request_id=message.request_id,
            state=message.state,
            status=message.status,
            body=message.body,
            at_ms=self._log_ms(),
        )

        def respond(outcome: str) -> Message:
            committed = outcome == AppendOutcome.COMMITTED
            return _response(KeyOutcome.KNOWN if committed else outcome)

        self._replies.append(origin, [entry], respond, urgent=True)


def _outcome(key: IdempotencyKey, message: OpenKey) -> KeyOutcome:
    """Return the outcome of opening a key whose state is OPEN, IN_DOUBT or DONE."""
    if key.digest != message.digest:
        return KeyOutcome.CONFLICT
    if key.state == KeyState.OPEN:
        same = key.request_id == message.request_id
        return KeyOutcome.OPENED if same else KeyOutcome.OPEN
    if key.state == KeyState.IN_DOUBT:
        return KeyOutcome.IN_DOUBT
    return KeyOutcome.RECORDED
