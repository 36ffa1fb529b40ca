"""Known failures: the tests listed in KNOWN-RED.txt may fail; they are printed at the end of each run."""

from __future__ import annotations

from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

KNOWN_FAILURES_FILE = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3
FIELDS_PER_LINE = 3  # test, cause, issue


def known_failures() -> dict[str, str]:
    """Map test names without parameters to cause and issue. Raises ValueError for an invalid file."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines() if KNOWN_FAILURES_FILE.exists() else []
    rows = [[part.strip() for part in line.split("|")] for line in lines if line.strip()]
    if len(rows) > MAX_KNOWN_FAILURES or any(len(row) != FIELDS_PER_LINE or not all(row) for row in rows):
        raise ValueError(
            f"{KNOWN_FAILURES_FILE.name} may have at most {MAX_KNOWN_FAILURES} lines, "
            "each of the form: test | cause | issue"
        )
    return {test: f"{cause} ({issue})" for test, cause, issue in rows}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures; in a whole run each of them has to exist."""
    known = known_failures()
    found = set()
    for item in items:
        name = item.nodeid.partition("[")[0]
        if name in known:
            found.add(name)
            item.add_marker(pytest.mark.xfail(reason=known[name], strict=False))
    whole_run = not config.getoption("file_or_dir") and not config.getoption("keyword")
    if whole_run and found != known.keys():
        raise pytest.UsageError(
            f"{KNOWN_FAILURES_FILE.name} lists tests that do not exist: {known.keys() - found}"
        )


def pytest_terminal_summary(terminalreporter: TerminalReporter) -> None:
    """Print the known failures, whatever their result in this run."""
    for test, reason in known_failures().items():
        terminalreporter.write_line(f"KNOWN RED {test}: {reason}")
