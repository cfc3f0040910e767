"""Runs behave and prints the closing line counted from its own results.

Scenarios tagged `known_red` are listed in KNOWN-RED.txt; they run and are
printed, but do not decide the result.
"""

import collections
import json
import pathlib
import subprocess
import sys
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED_TAG = "known_red"
MAX_LINE = 2_000


def run_behave(report: pathlib.Path, arguments: list[str]) -> None:
    """Run behave with a progress display and a JSON report."""
    command = [sys.executable, "-m", "behave", "--no-capture"]
    command += ["--format=progress", "--format=json", "--outfile=/dev/stdout"]
    command += [f"--outfile={report}", *arguments]
    subprocess.run(command, cwd=ROOT, check=False)


def count(report: pathlib.Path) -> tuple[collections.Counter[str], list[str]]:
    """Return the number of scenarios by result, and the lines to print."""
    counted: collections.Counter[str] = collections.Counter()
    lines = []
    for feature in json.loads(report.read_text(encoding="utf-8") or "[]"):
        for element in feature.get("elements", []):
            if element.get("type") == "background":
                continue
            status = element.get("status", "failed")
            name = f"{feature['location'].split(':')[0]}: {element['name']}"
            if KNOWN_RED_TAG in element.get("tags", []):
                counted["known_red"] += 1
                lines.append(f"known red ({status}): {name}")
            elif status in ("passed", "skipped"):
                counted[status] += 1
                continue
            else:
                counted["failed"] += 1
                lines.append(f"failed: {name}")
            lines += [f"  {line}" for line in error_lines(element)]
    return counted, lines


def error_lines(element: dict[str, typing.Any]) -> list[str]:
    """Return the last lines of the errors of a scenario's steps.

    A failure that occurs once leaves nothing else to trace it by.
    """
    lines: list[str] = []
    for step in element.get("steps", []):
        message = step.get("result", {}).get("error_message", [])
        lines += (message.splitlines() if isinstance(message, str) else message)[-4:]
    return [line[:MAX_LINE] for line in lines if line.strip()]


def check_known_red(lines: list[str]) -> list[str]:
    """Return problems where tags and KNOWN-RED.txt differ."""
    listed = ROOT / "KNOWN-RED.txt"
    text = listed.read_text(encoding="utf-8") if listed.exists() else ""
    tagged = [line.split(": ", 2)[2] for line in lines if line.startswith("known red")]
    return [
        f"not in KNOWN-RED.txt: {name}"
        for name in tagged
        if name.split(" -- @")[0] not in text
    ]


def main() -> int:
    """Run all scenarios; return 0 if none failed and at least one ran."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "behave.json"
        run_behave(report, sys.argv[1:])
        if not report.exists():
            print("behave wrote no report")
            return 1
        counted, lines = count(report)
    problems = check_known_red(lines)
    for line in lines + problems:
        print(line)
    failed = counted["failed"] + len(problems)
    skipped = counted["skipped"]
    tail = f", {skipped} skipped" if skipped else ""
    print(f"{counted['passed']} passed, {failed} failed{tail}")
    return 0 if failed == 0 and counted["passed"] else 1


if __name__ == "__main__":
    sys.exit(main())
