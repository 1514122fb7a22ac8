"""Fetches the records of another replica that follow the last record common to both replicas."""

from collections.abc import Callable
from typing import Any

from messaging import Message, decode_as
from runtime.settings import Settings
from storage import DamageError

from replicated_log.configuration import ReplicaAddress
from replicated_log.local_log import LocalLog
from replicated_log.messages import NO_STAMP, FetchRecords, FetchResponse, FetchTail, Record

__all__ = ["RequestCallback", "TailFetch"]

# Sends a request: the address, the message, a timeout in milliseconds, and a callback that is
# called with the response, or with None after the timeout.
RequestCallback = Callable[[str, Message, int, Callable[[Any], None]], None]


class TailFetch:
    """Fetches the part of one source's log that this store lacks.

    The source sends records or, if it no longer has the first of them, its snapshot and the records
    after it. A request that fails or times out is repeated until `force_ms` after `started_ms`.

    Parameters
    ----------
    log
        This store's copy of the log. Only a snapshot of the source changes it.
    epoch
        The epoch of the recovery, with which all requests are sent.
    source
        The replica to fetch from.
    settings
        The settings of the process.
    request
        Sends a request to an address; see RequestCallback.
    now
        Returns this store's clock in milliseconds.
    started_ms
        The time from which `force_ms` counts.
    is_wanted
        Called with each response and before a snapshot whose archive files had to be fetched is
        installed. Once it returns False the fetch stops.
    done
        Called with all of the source's records after this store's snapshot, or with None if the
        fetch failed. After `is_wanted` has returned False, it isn't called or is called with None.
    """

    __slots__ = (
        "_done",
        "_epoch",
        "_is_wanted",
        "_log",
        "_now",
        "_records",
        "_request",
        "_settings",
        "_source",
        "_started_ms",
    )

    def __init__(
        self,
        log: LocalLog,
        epoch: int,
        source: ReplicaAddress,
        settings: Settings,
        request: RequestCallback,
        now: Callable[[], int],
        started_ms: int,
        is_wanted: Callable[[], bool],
        done: Callable[[list[Record] | None], None],
    ) -> None:
        self._log = log
        self._epoch = epoch
        self._source = source
        self._settings = settings
        self._request = request
        self._now = now
        self._started_ms = started_ms
        self._is_wanted = is_wanted
        self._done = done
        self._records: list[Record] = []

    def start(self) -> None:
        """Request the records after the last one that both replicas have."""
        seqs = _compared_seqs(self._log)
        stamps = [self._log.stamp_at(seq) or NO_STAMP for seq in seqs]
        self._request(
            self._source.address,
            FetchTail(
                epoch=self._epoch,
                seqs=seqs,
                stamp_epochs=[stamp.epoch for stamp in stamps],
                stamps_ms=[stamp.time_ms for stamp in stamps],
            ),
            2 * self._settings.request_timeout_ms,
            self._tail_fetched,
        )

    def _tail_fetched(self, message: Message | None) -> None:
        response = self._accept(message, self.start)
        if response is None:
            return
        if not response.snapshot:
            shared_seq = _first_seq(response) - 1
            self._records = [record for record in self._log.records if record.seq <= shared_seq]
        self._process(response, 1, b"")

    def _accept(self, message: Message | None, retry: Callable[[], None]) -> FetchResponse | None:
        """Return a usable response; otherwise return None and retry the request or give up."""
        if not self._is_wanted():
            return None
        if not isinstance(message, FetchResponse) or not message.ok:
            if self._now() - self._started_ms > self._settings.force_ms:
                self._done(None)
            else:
                retry()
            return None
        if message.identity != self._source.identity:
            # Another replica responds at this address. The log that the recovery counted on was
            # that of the source.
            self._done(None)
            return None
        return message

    def _fetch_from(self, from_seq: int, snapshot: bytes = b"") -> None:
        """Request the records from `from_seq` on, or the rest of the snapshot.

        `snapshot` is the part of the snapshot that has been received so far.
        """

        def fetched(message: Message | None) -> None:
            response = self._accept(message, lambda: self._fetch_from(from_seq, snapshot))
            if response is not None:
                self._process(response, from_seq, snapshot)

        self._request(
            self._source.address,
            FetchRecords(epoch=self._epoch, from_seq=from_seq, offset=len(snapshot)),
            2 * self._settings.request_timeout_ms,
            fetched,
        )

    def _process(self, response: FetchResponse, from_seq: int, snapshot: bytes) -> None:
        if response.snapshot:
            data = snapshot + response.snapshot
            if len(data) < response.total:
                self._fetch_from(from_seq, data)
            else:
                self._install(data)
            return
        records = [decode_as(Record, data) for data in response.records]
        self._records.extend(records)
        if records and records[-1].seq < response.last_seq:
            self._fetch_from(records[-1].seq + 1)
        else:
            self._done(self._records)

    def _install(self, snapshot: bytes) -> None:
        """Install the source's snapshot, because the source has trimmed records that are needed.

        A snapshot covers only committed records, so it may replace this store's log.
        """

        def installed(ok: bool) -> None:
            if not ok:
                self._done(None)
                return
            snapshot_seq = self._log.snapshot_seq
            self._records = [record for record in self._records if record.seq > snapshot_seq]
            self._fetch_from(snapshot_seq + 1)

        try:
            self._log.install_snapshot(snapshot, installed, self._source.address, self._is_wanted)
        except (DamageError, IndexError):
            self._done(None)


def _first_seq(response: FetchResponse) -> int:
    """Return the first sequence number of a response, or the one after the source's last record."""
    if response.records:
        return decode_as(Record, response.records[0]).seq
    return response.last_seq + 1


def _compared_seqs(log: LocalLog) -> list[int]:
    """Return the records to compare in order to find the last one that both replicas have.

    These are the last record and those 1, 2, 4, 8, ... records before it, as far as they aren't
    committed, and the last committed record.
    """
    seqs = []
    step = 0
    while log.last_seq - step > log.committed_seq:
        seqs.append(log.last_seq - step)
        step = max(1, 2 * step)
    return [*seqs, log.committed_seq]
