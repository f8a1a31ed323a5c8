"""Run features concurrently and print a summary of their scenarios.

A failure of a scenario listed in `KNOWN-RED.txt` is printed but does not fail the run.
"""

from asyncio import Semaphore, create_subprocess_exec, gather, run, subprocess
from dataclasses import dataclass
from os import environ
from pathlib import Path
from sys import argv, executable, exit
from tempfile import TemporaryDirectory

from msgspec import json

from features.support.fleet import FIRST_PORT, PORT_VARIABLE, PORTS_PER_FEATURE

ROOT = Path(__file__).parents[1]
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PORT_SLOTS = 30
MAX_CONCURRENT_FEATURES = 4


@dataclass(frozen=True)
class ScenarioResult:
    """One scenario's result; `status` is `passed`, `failed` or `skipped`."""

    feature: str
    name: str
    status: str
    detail: str

    def key(self) -> str:
        """Return the key used in `KNOWN-RED.txt`."""
        return f"{self.feature} :: {self.name.strip()}"


def read_known_red() -> frozenset[str]:
    """Return the keys of the scenarios listed in `KNOWN-RED.txt`."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = (line for line in lines if line.strip() and not line.startswith("#"))
    return frozenset(entry.split(" | ")[0].strip() for entry in entries)


def _parse_report(feature: str, report: Path, output: str) -> list[ScenarioResult]:
    try:
        features = json.decode(report.read_bytes())
    except (OSError, ValueError):
        return [ScenarioResult(feature, "(run)", "failed", output)]
    results: list[ScenarioResult] = []
    for entry in features:
        for element in entry.get("elements", []):
            if element["type"] == "background":
                continue
            status = element["status"]
            if status not in ("passed", "skipped"):
                status = "failed"
            results.append(
                ScenarioResult(
                    feature, element["name"], status, _failure_detail(element)
                )
            )
    return results or [ScenarioResult(feature, "(run)", "failed", output)]


def _failure_detail(element: dict) -> str:
    for step in element["steps"]:
        result = step.get("result", {})
        if result.get("status") not in (None, "passed", "skipped"):
            # The report has no message for exceptions other than assertion errors.
            hint = f"an exception; see: behave {element['location']}"
            message = result.get("error_message", hint)
            text = "\n".join(message) if isinstance(message, list) else str(message)
            return f"{step['name']}\n{text}"
    return ""


def _first_port(slot: int) -> int:
    base = int(environ.get(PORT_VARIABLE, FIRST_PORT))
    return base + slot % PORT_SLOTS * PORTS_PER_FEATURE


async def _run_feature(
    path: Path, slot: int, folder: Path, semaphore: Semaphore
) -> list[ScenarioResult]:
    report = folder / f"{path.stem}.json"
    async with semaphore:
        process = await create_subprocess_exec(
            executable,
            "-m",
            "behave",
            "--format=json",
            f"--outfile={report}",
            "--no-summary",
            str(path),
            cwd=ROOT,
            env={
                **environ,
                PORT_VARIABLE: str(_first_port(slot)),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        output, _ = await process.communicate()
    results = _parse_report(path.name, report, output.decode(errors="replace"))
    failed = sum(result.status == "failed" for result in results)
    print(f"{path.name}: {len(results)} scenarios, {failed} failed", flush=True)
    return results


async def _run_all(paths: list[Path]) -> list[ScenarioResult]:
    semaphore = Semaphore(MAX_CONCURRENT_FEATURES)
    with TemporaryDirectory(prefix="lagoonhinge-features-") as folder:
        runs = (
            _run_feature(path, slot, Path(folder), semaphore)
            for slot, path in enumerate(paths)
        )
        return [result for results in await gather(*runs) for result in results]


def main() -> None:
    """Run the features named as arguments, or all of them."""
    paths = [Path(name) for name in argv[1:]]
    paths = paths or sorted((ROOT / "features").glob("*.feature"))
    results = run(_run_all(paths))
    known_red = read_known_red()
    failed = [r for r in results if r.status == "failed" and r.key() not in known_red]
    for result in results:
        if result.key() in known_red:
            print(f"KNOWN RED {result.key()}: {result.status}")
        elif result.status == "failed":
            print(f"FAILED {result.key()}\n{result.detail}")
    passed = sum(result.status == "passed" for result in results)
    skipped = sum(result.status == "skipped" for result in results)
    print(f"{passed} passed, {len(failed)} failed, {skipped} skipped")
    exit(1 if failed or not results else 0)


if __name__ == "__main__":
    main()
