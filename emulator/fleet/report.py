"""The report of a run: files in its folder, and a table or plain lines on the console."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
from rich.console import Console
from rich.table import Table

from emulator.fleet.run_record import RunRecord
from emulator.fleet.summary import ReadyFigures, RequestFigures, RoleFigures, Summary, summarize_run

SUMMARY_FILE = "summary.json"
US_PER_MS = 1e3
# The part of the response time that is not added latency. For an attempt of a hollow balancer only its work
# is known, not the time that it spent at the server.
LATENCY_BASE_BY_KIND = {"hollow": "an idle server's time", "real": "the time at the server"}

Row = tuple[str, str]  # name and value


def write_report(record: RunRecord) -> Summary:
    """Write all files except the measures, which are written during the run; returns the figures."""
    # Imported here, as matplotlib loads slowly and is not needed for an invalid call.
    from emulator.fleet.plots import write_plots

    record.write_events()
    summary = summarize_run(record)
    text = msgspec.json.format(msgspec.json.encode(summary), indent=2)
    (record.folder / SUMMARY_FILE).write_bytes(text + b"\n")
    write_plots(record)
    return summary


def print_summary(summary: Summary, console: Console) -> None:
    """Print a table on a terminal, else one plain line for each figure."""
    rows = list(_build_rows(summary))
    if not console.is_terminal:
        for name, value in rows:
            console.print(f"{name}: {value}", markup=False, highlight=False, soft_wrap=True)
        return
    table = Table("figure", "value", title=f"fleet: {summary.scenario}, seed {summary.seed}")
    for name, value in rows:
        table.add_row(name, value)
    console.print(table)


def _build_rows(summary: Summary) -> Iterator[Row]:
    yield (
        "scenario time",
        f"{summary.elapsed_s:.1f} of {summary.planned_s:g} s, ready in {summary.starting_s:.1f} s",
    )
    yield "time compression", f"{summary.time_compression:g}"
    if summary.interrupted:
        yield "interrupted", "yes"
    yield from _build_change_rows(summary)
    for name, figures in (("hollow", summary.hollow), ("real", summary.real)):
        if figures is not None:
            yield from _build_request_rows(name, figures)
    yield from _build_decision_rows(summary)
    for name, ready in (("hollow", summary.hollow_ready), ("real", summary.real_ready)):
        if ready is not None:
            yield f"{name} balancers restarted", _format_starts(ready)
    for role, role_figures in sorted(summary.roles.items()):
        yield f"role {role}", _format_role(role_figures)
    for note in summary.notes:
        yield "note", note
    for bar in summary.bars:
        value = "not measured" if bar.value is None else f"{bar.value:.4g} {bar.unit}"
        yield f"bar: {bar.name}", f"{value}, at most {bar.limit:g}: {'holds' if bar.holds else 'MISSED'}"


def _build_change_rows(summary: Summary) -> Iterator[Row]:
    change = summary.change
    if change.p50_s is not None and change.p99_s is not None and change.max_s is not None:
        yield (
            "change in force",
            f"p50 {change.p50_s:.3f} s, p99 {change.p99_s:.3f} s, max {change.max_s:.3f} s, "
            f"{change.acknowledged} acknowledged, {change.pending} pending at the end",
        )


def _build_request_rows(name: str, figures: RequestFigures) -> Iterator[Row]:
    yield (
        f"{name} requests a second",
        f"{figures.asked_per_s:.0f} asked, {figures.carried_per_s:.0f} carried, "
        f"{figures.tries_per_request:.2f} tries each",
    )
    yield (
        f"{name} requests by end",
        ", ".join(f"{outcome} {count}" for outcome, count in figures.ended.items()),
    )
    yield (
        f"{name} added latency, beyond {LATENCY_BASE_BY_KIND[name]}",
        _format_latency(figures.added.p50_us, figures.added.p99_us, figures.added.max_us),
    )
    yield (
        f"{name} arrivals late by",
        _format_latency(figures.lag.p50_us, figures.lag.p99_us, figures.lag.max_us),
    )


def _build_decision_rows(summary: Summary) -> Iterator[Row]:
    decisions, tenants = summary.decisions, summary.tenants
    if decisions is not None:
        yield (
            "decisions",
            f"{decisions.cpu_us_per_request:.0f} us CPU a request, "
            f"{decisions.attempts_per_request:.2f} attempts a request, "
            f"log {decisions.log_bytes_per_s / 1e3:.1f} KB/s a balancer, "
            f"{decisions.resident_mb_per_balancer or 0:.1f} MB a balancer",
        )
    if tenants is not None and tenants.asked:
        yield (
            f"within quota, {tenants.followed} tenants",
            f"{100 * tenants.within_split / tenants.asked:.1f}% with quotas split over the balancers, "
            f"{100 * tenants.within_fleet / tenants.asked:.1f}% over the whole fleet",
        )


def _format_latency(p50_us: int, p99_us: int, max_us: int) -> str:
    return (
        f"p50 {p50_us / US_PER_MS:.2f} ms, p99 {p99_us / US_PER_MS:.2f} ms, max {max_us / US_PER_MS:.1f} ms"
    )


def _format_starts(ready: ReadyFigures) -> str:
    text = f"{ready.starts}, ready in p50 {ready.p50_ms:.0f} ms, max {ready.max_ms:.0f} ms"
    if ready.longest_wait_ms:
        text += f", after waiting at most {ready.longest_wait_ms:.0f} ms for other starts in their process"
    return text


def _format_role(figures: RoleFigures) -> str:
    network = figures.network_bytes_per_s
    text = "" if network is None else f", network {network / 1e3:.0f} KB/s in all"
    return (
        f"{figures.processes} processes, CPU {100 * figures.cpu_share:.1f}% of a core each "
        f"(max {100 * figures.cpu_share_max:.0f}%), {figures.resident_mb:.0f} MB "
        f"(max {figures.resident_mb_max:.0f}), log {figures.log_bytes_per_s / 1e3:.1f} KB/s{text}"
    )
