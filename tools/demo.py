"""Demo: a small fleet on loopback answers two prompts and stops."""

from http.client import HTTPConnection
from sys import exit

from msgspec import json

from features.support.fleet import (
    ZONES,
    Fleet,
    Process,
    account_key,
    base_text,
    overlay_text,
)
from stand_ins.answers import whole_answer

SEED = 7
SHORT_PROMPT = "Winding specification of core 76-12, please. " * 90
LONG_PROMPT = "Season record of core strength, line by line. " * 10_000
MAX_TOKENS = 24


def _stream_answer(node: Process, prompt: str) -> str:
    connection = HTTPConnection("127.0.0.1", node.port, timeout=60)
    body = json.encode(
        {
            "model": "compliance",
            "prompt": prompt,
            "max_tokens": MAX_TOKENS,
            "stream": True,
            "seed": SEED,
        }
    )
    headers = {"Authorization": f"Bearer {account_key('tube-mills')}"}
    connection.request("POST", "/v1/completions", body, headers)
    answer = connection.getresponse()
    assert answer.status == 200, answer.read()
    text = ""
    for line in answer:
        event = line.strip().removeprefix(b"data: ")
        if not event:
            continue
        if event == b"[DONE]":
            return text
        delta = json.decode(event)["choices"][0]["text"]
        print(delta, end="", flush=True)
        text += delta
    raise AssertionError("the stream ended without [DONE]")


def main() -> None:
    """Run the demo; any failure ends it with a non-zero exit status."""
    fleet = Fleet()
    try:
        fleet.start_platform()
        fleet.start_engine()
        fleet.start_engine()
        (node,) = fleet.start_nodes(ZONES[:1])
        folder = fleet.write_config(base_text(), overlay_text(fleet))
        applied = fleet.ctl("config", "apply", str(folder))
        print(applied.stdout, applied.stderr)
        assert applied.returncode == 0, applied.returncode
        for prompt in (SHORT_PROMPT, LONG_PROMPT):
            print(f"--- a prompt of {len(prompt)} bytes:")
            text = _stream_answer(node, prompt)
            print()
            assert text == whole_answer(prompt, MAX_TOKENS, SEED), (
                "the answer differs from the expected text"
            )
        state = fleet.ctl("state")
        print("--- the node's state:\n" + state.stdout)
        assert state.returncode == 0, state.stderr
        assert node.terminate() == 0, "the node did not stop cleanly"
        print("--- all stopped")
    except AssertionError as error:
        print(f"demo failed: {error}")
        exit(1)
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
