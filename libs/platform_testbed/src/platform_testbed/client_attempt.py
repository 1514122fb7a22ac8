"""One attempt of a client over HTTP, recorded in its row of the history."""

from typing import Any

import aiohttp
from simulator.history import History

from platform_testbed.worker_calls import digest

__all__ = ["AttemptSender"]

_SKIPPED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


async def _chunks(body: bytes) -> Any:
    for start in range(0, len(body), 64):
        yield body[start : start + 64]


class AttemptSender:
    """Sends attempts and records the answers and their times, in milliseconds, in their rows.

    The `how` of a row is `answered`, `cut` (the connection broke), `silent` (timed out), `garbled`
    (not HTTP) or `unreached` (not connected).
    """

    __slots__ = ("clock", "history")

    def __init__(self, history: History, clock: Any) -> None:
        self.history, self.clock = history, clock

    async def send(
        self,
        row: dict[str, Any],
        session: aiohttp.ClientSession,
        method: str,
        address: str,
        headers: dict[str, str],
        body: bytes,
        total_s: float,
        silence_s: float | None = None,
        chunked: bool = False,
    ) -> None:
        """Send one attempt to `address` and fill in its row; HTTP and socket errors aren't raised.

        `total_s` limits the whole attempt, `silence_s` each wait for data. A `chunked` body is sent
        without its length.
        """
        timeout = aiohttp.ClientTimeout(
            total=max(0.05, total_s), sock_connect=1.0, sock_read=silence_s
        )
        row.update(
            sent_ms=round(self.clock(), 2),
            how="silent",
            status=0,
            complete=False,
            seal="",
            id_back="",
            encoded=False,
            events=[],
            body="",
            head_ms=0.0,
            first_ms=0.0,
            gap_ms=0.0,
            retry_after=None,
            closes=False,
        )
        try:
            async with session.request(
                method,
                f"http://{address}{row['target']}",
                headers=headers,
                data=_chunks(body) if chunked else body,
                timeout=timeout,
                skip_auto_headers=_SKIPPED,
                allow_redirects=False,
            ) as answer:
                row.update(
                    status=answer.status,
                    seal=answer.headers.get("Server-Seal", ""),
                    id_back=answer.headers.get("Request-Id", ""),
                    encoded="Content-Encoding" in answer.headers,
                    head_ms=round(self.clock(), 2),
                    how="cut",
                    retry_after=answer.headers.get("Retry-After"),
                    closes=answer.headers.get("Connection", "").lower() == "close",
                    framed="Content-Length" in answer.headers
                    or "chunked" in answer.headers.get("Transfer-Encoding", ""),
                )
                await self._read(row, answer)
                row.update(how="answered", complete=row["framed"])
        except aiohttp.ClientConnectorError:
            row["how"] = "unreached"
        except aiohttp.ServerTimeoutError as error:
            row["how"] = (
                "unreached" if isinstance(error, aiohttp.ConnectionTimeoutError) else "silent"
            )
        except TimeoutError:
            row["how"] = "silent"
        except (aiohttp.ClientResponseError, aiohttp.http.HttpProcessingError):
            row["how"] = "garbled"
        except (aiohttp.ClientError, OSError):
            row["how"] = "cut"
        row["ended_ms"] = round(self.clock(), 2)

    async def _read(self, row: dict[str, Any], answer: aiohttp.ClientResponse) -> None:
        if not answer.headers.get("Content-Type", "").startswith("text/event-stream"):
            data = await answer.read()
            row.update(
                body=digest(data),
                text=data.decode(errors="replace")[:200],
                first_ms=round(self.clock(), 2),
            )
            return
        incomplete, last_ms = b"", 0.0
        async for data in answer.content.iter_any():
            incomplete += data
            *complete_blocks, incomplete = incomplete.split(b"\n\n")
            now_ms = self.clock()
            for block in complete_blocks:
                row["events"].append([_event_id(block), _event_data(block), round(now_ms, 2)])
                row["first_ms"] = row["first_ms"] or round(now_ms, 2)
                row["gap_ms"] = max(row["gap_ms"], round(now_ms - last_ms, 2) if last_ms else 0.0)
                last_ms = now_ms
        if incomplete.strip():
            row["events"].append(
                [-1, incomplete.decode(errors="replace")[:80], round(self.clock(), 2)]
            )


def _event_id(block: bytes) -> int:
    for line in block.split(b"\n"):
        if line.startswith(b"id:"):
            return int(line[3:].strip() or b"-1")
    return -1


def _event_data(block: bytes) -> str:
    return "\n".join(
        line[5:].removeprefix(b" ").decode(errors="replace")
        for line in block.split(b"\n")
        if line.startswith(b"data:")
    )
