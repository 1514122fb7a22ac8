"""Answers of a real fleet in the form that the history's rows have."""

import json
from typing import Any

import aiohttp

__all__ = ["flat_result", "take_answer"]


async def take_answer(row: dict[str, Any], answer: aiohttp.ClientResponse, stream: bool) -> None:
    """Read an answer, streamed or whole, into its row."""
    row["transaction"] = answer.headers.get("X-Vaneledge-Transaction", "")
    if answer.status != 200:
        error = json.loads(await answer.text())["error"]
        row.update(outcome="error", verdict=error["verdict"], code=error["code"])
    elif not stream:
        body = await answer.json()
        words = body["choices"][0]["text"].split()
        row.update(
            outcome="replay" if answer.headers.get("X-Vaneledge-Replayed") == "true" else "finish",
            verdict="ran",
            body="|".join(f"{body['id']}:{place}" for place in range(len(words))),
        )
        row["events"] = row["body"].split("|") if row["outcome"] == "finish" else []
    else:
        async for line in answer.content:
            text = line.decode().strip()
            if text.startswith("id: "):
                place = text[4:]
            elif text == "data: [DONE]":
                row.update(outcome="finish", verdict="ran", body="|".join(row["events"]))
            elif text.startswith("data: ") and '"error"' not in text:
                row["events"].append(f"{json.loads(text[6:])['id']}:{place}")
        if row["outcome"] != "finish":
            row["outcome"] = "cut"


def flat_result(row: dict[str, Any]) -> str:
    """Return a result of an item as TRANSACTION:INDEX, joined by bars, or its error as JSON."""
    body = row["body"]
    if row["verdict"] != "ran":
        return json.dumps(body, sort_keys=True)
    words = body["choices"][0]["text"].split()
    return "|".join(f"{body['id']}:{place}" for place in range(len(words)))
