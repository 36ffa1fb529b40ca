"""Plots of a run as PNG files, with its events marked."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib.axes import Axes  # noqa: E402  # after the choice of the backend
from matplotlib.figure import Figure  # noqa: E402

from emulator.fleet.measures import REQUEST_OUTCOMES, ClientMeasure, HollowMeasure, ProcessMeasure  # noqa: E402
from emulator.fleet.run_record import RunRecord  # noqa: E402
from emulator.fleet.stand_in_figures import DISCOVERY_ROLE  # noqa: E402
from emulator.fleet.timeline import (  # noqa: E402
    BalancersStopped,
    DiscoverySilenced,
    Event,
    RegionsSplit,
    ServersHung,
    ServersSlowed,
    ServersVanished,
    WatchesSilenced,
)

WIDTH_IN, HEIGHT_IN = 10.0, 4.0
MARKED_EVENTS = (
    BalancersStopped,
    DiscoverySilenced,
    RegionsSplit,
    ServersHung,
    ServersSlowed,
    ServersVanished,
    WatchesSilenced,
)
MAX_MARKS = 40  # with more events, only those that concern MANY_MEMBERS or more are marked
MANY_MEMBERS = 10


def write_plots(record: RunRecord) -> None:
    """Write all plots to the folder of the run."""
    events = _marked_events(record)
    _plot_changes_in_force(record, events)
    _plot_cost(record, events)
    _plot_latency(record, events)
    _plot_request_outcomes(record, events)


def _marked_events(record: RunRecord) -> list[Event]:
    marked: list[Event] = [event for event in record.played_events() if isinstance(event, MARKED_EVENTS)]
    if len(marked) > MAX_MARKS:
        marked = [event for event in marked if _count_members(event) >= MANY_MEMBERS]
    return marked


def _count_members(event: Event) -> int:
    members: tuple[int, ...] = getattr(event, "servers", None) or getattr(event, "balancers", None) or ()
    return len(members) or MANY_MEMBERS  # events of regions name no members, and regions are large


def _save(figure: Figure, axes: list[Axes], events: list[Event], path: Path) -> None:
    for plot in axes:
        for event in events:
            plot.axvline(event.at_s, color="0.8", linewidth=0.8, zorder=0)
        plot.set_xlabel("seconds")
        handles, _ = plot.get_legend_handles_labels()
        if handles:
            plot.legend(fontsize="small", loc="upper left")
    for event in events:
        name = type(event).__name__
        axes[0].annotate(name, (event.at_s, 1), xycoords=("data", "axes fraction"), rotation=30, fontsize=5)
    height_in = figure.get_figheight()
    figure.subplots_adjust(left=0.08, right=0.98, bottom=0.5 / height_in, top=1 - 0.7 / height_in)
    figure.savefig(path, dpi=100)


def _plot_changes_in_force(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN))
    axes = figure.add_subplot()
    seconds = [
        measure
        for measure in record.stand_in_measures.get(DISCOVERY_ROLE, [])
        if measure["type"] == "DiscoverySecond"
    ]
    for kind in ("hollow", "real"):
        measured_seconds = [measure for measure in seconds if measure[kind]["acknowledged"]]
        for key, style in (("p50_ms", "-"), ("p99_ms", "--"), ("max_ms", ":")):
            times = [measure["at_s"] for measure in measured_seconds]
            axes.plot(
                times,
                [measure[kind][key] / 1e3 for measure in measured_seconds],
                style,
                label=f"{kind} {key[:3]}",
            )
    axes.set_ylabel("change in force after its release, s")
    axes.set_yscale("symlog", linthresh=0.01)
    _save(figure, [axes], events, record.folder / "change_in_force.png")


def _plot_cost(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, 3 * HEIGHT_IN))
    axes = [figure.add_subplot(3, 1, row + 1) for row in range(3)]
    quantities: list[tuple[str, Callable[[ProcessMeasure], float]]] = [
        ("CPU of one process, cores", lambda measure: measure.cpu_share),
        ("memory of one process, MB", lambda measure: measure.resident_mb),
        ("log of one process, KB/s", lambda measure: measure.log_bytes_per_s / 1e3),
    ]
    for plot, (name, value) in zip(axes, quantities, strict=True):
        for role in sorted({measure.role for measure in record.processes}):
            seconds: dict[int, list[float]] = defaultdict(list)
            for measure in record.processes:
                if measure.role == role:
                    seconds[round(measure.at_s)].append(value(measure))
            times = sorted(seconds)
            plot.plot(times, [sum(seconds[at]) / len(seconds[at]) for at in times], label=role)
        plot.set_ylabel(name)
    discovery_times, kb_per_s = _discovery_bytes(record)
    axes[-1].plot(discovery_times, kb_per_s, "--", label="discovery and one balancer")
    axes[-1].set_ylabel("log of one process, network: KB/s")
    _save(figure, axes, events, record.folder / "cost_by_role.png")


def _discovery_bytes(record: RunRecord) -> tuple[list[float], list[float]]:
    """Times, and KB/s between discovery and one balancer on average."""
    seconds = [
        measure
        for measure in record.stand_in_measures.get(DISCOVERY_ROLE, [])
        if measure["type"] == "DiscoverySecond"
    ]
    total = record.scenario.balancers.total
    kb_per_s = [(measure["sent_bytes"] + measure["received_bytes"]) / 1e3 / total for measure in seconds]
    return [measure["at_s"] for measure in seconds], kb_per_s


def _plot_latency(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, 2 * HEIGHT_IN))
    axes = [figure.add_subplot(2, 1, row + 1) for row in range(2)]
    sources: list[tuple[str, list[HollowMeasure] | list[ClientMeasure]]] = [
        ("hollow", record.hollow),
        ("real", record.clients),
    ]
    for name, measures in sources:
        for index in sorted({measure.index for measure in measures}):
            of_process = [measure for measure in measures if measure.index == index]
            times = [measure.at_s for measure in of_process]
            label = f"{name} {index}"
            axes[0].plot(times, [measure.added.p50_us / 1e3 for measure in of_process], label=f"{label} p50")
            axes[0].plot(
                times, [measure.added.p99_us / 1e3 for measure in of_process], "--", label=f"{label} p99"
            )
            axes[1].plot(times, [measure.lag.p99_us / 1e3 for measure in of_process], label=f"{label} p99")
    axes[0].set_ylabel("added latency, ms")
    axes[1].set_ylabel("lag of arrivals, ms")
    for plot in axes:
        plot.set_yscale("symlog", linthresh=1)
    _save(figure, axes, events, record.folder / "latency.png")


def _plot_request_outcomes(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN))
    axes = figure.add_subplot()
    seconds: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    measures: list[HollowMeasure | ClientMeasure] = [*record.hollow, *record.clients]
    for measure in measures:
        for outcome, count in measure.requests.ended.items():
            seconds[round(measure.at_s)][outcome] += count
    times = sorted(seconds)
    if times:
        axes.stackplot(
            times,
            [[seconds[at][outcome] for at in times] for outcome in REQUEST_OUTCOMES],
            labels=REQUEST_OUTCOMES,
        )
    axes.set_ylabel("requests a second, by end")
    _save(figure, [axes], events, record.folder / "requests_by_end.png")
