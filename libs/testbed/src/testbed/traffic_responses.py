"""Responses of a fleet of real processes in the form of the rows of a history.

A token is written as TRANSACTION:INDEX, and several are joined by bars.
"""

import json
from typing import Any

import aiohttp

__all__ = ["encode_result", "read_response"]


async def read_response(
    row: dict[str, Any], response: aiohttp.ClientResponse, stream: bool
) -> None:
    """Read the response to a live call, streamed or whole, into the call's row."""
    row["transaction"] = response.headers.get("X-Vaneledge-Transaction", "")
    if response.status != 200:
        error = json.loads(await response.text())["error"]
        row.update(outcome="error", verdict=error["verdict"], code=error["code"])
    elif not stream:
        body = await response.json()
        tokens = body["choices"][0]["text"].split()
        row.update(
            outcome="replay"
            if response.headers.get("X-Vaneledge-Replayed") == "true"
            else "finish",
            verdict="ran",
            body="|".join(f"{body['id']}:{index}" for index in range(len(tokens))),
        )
        row["events"] = row["body"].split("|") if row["outcome"] == "finish" else []
    else:
        async for line in response.content:
            text = line.decode().strip()
            if text.startswith("id: "):
                index = text[4:]
            elif text == "data: [DONE]":
                row.update(outcome="finish", verdict="ran", body="|".join(row["events"]))
            elif text.startswith("data: ") and '"error"' not in text:
                row["events"].append(f"{json.loads(text[6:])['id']}:{index}")
        if row["outcome"] != "finish":
            row["outcome"] = "cut"


def encode_result(row: dict[str, Any]) -> str:
    """Return the tokens of an item's result, or its error as JSON."""
    body = row["body"]
    if row["verdict"] != "ran":
        return json.dumps(body, sort_keys=True)
    tokens = body["choices"][0]["text"].split()
    return "|".join(f"{body['id']}:{index}" for index in range(len(tokens)))
