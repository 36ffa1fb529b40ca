"""Plots of a run as PNG files, with its events marked."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib.axes import Axes  # noqa: E402  # the backend is chosen first
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
MARKED = (
    BalancersStopped,
    DiscoverySilenced,
    RegionsSplit,
    ServersHung,
    ServersSlowed,
    ServersVanished,
    WatchesSilenced,
)
MOST_MARKS = 40  # with more, only events that concern many members are marked
MANY_MEMBERS = 10


def write_plots(record: RunRecord) -> None:
    """Write all plots into the run's folder."""
    events = _marked_events(record)
    _plot_change(record, events)
    _plot_cost(record, events)
    _plot_latency(record, events)
    _plot_ends(record, events)


def _marked_events(record: RunRecord) -> list[Event]:
    marked: list[Event] = [event for event in record.played_events() if isinstance(event, MARKED)]
    if len(marked) > MOST_MARKS:
        marked = [event for event in marked if _members(event) >= MANY_MEMBERS]
    return marked


def _members(event: Event) -> int:
    concerned: tuple[int, ...] = getattr(event, "servers", None) or getattr(event, "balancers", None) or ()
    return len(concerned) or MANY_MEMBERS  # regions are large


def _save(figure: Figure, axes: list[Axes], events: list[Event], path: Path) -> None:
    for one in axes:
        for event in events:
            one.axvline(event.at_s, color="0.8", linewidth=0.8, zorder=0)
        one.set_xlabel("seconds")
        handles, _ = one.get_legend_handles_labels()
        if handles:
            one.legend(fontsize="small", loc="upper left")
    for event in events:
        name = type(event).__name__
        axes[0].annotate(name, (event.at_s, 1), xycoords=("data", "axes fraction"), rotation=30, fontsize=5)
    height_in = figure.get_figheight()
    figure.subplots_adjust(left=0.08, right=0.98, bottom=0.5 / height_in, top=1 - 0.7 / height_in)
    figure.savefig(path, dpi=100)


def _plot_change(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN))
    axes = figure.add_subplot()
    seconds = [
        line for line in record.stand_in_measures.get(DISCOVERY_ROLE, []) if line["type"] == "DiscoverySecond"
    ]
    for kind in ("hollow", "real"):
        told = [line for line in seconds if line[kind]["acknowledged"]]
        for key, style in (("p50_ms", "-"), ("p99_ms", "--"), ("max_ms", ":")):
            times = [line["at_s"] for line in told]
            axes.plot(times, [line[kind][key] / 1e3 for line in told], style, label=f"{kind} {key[:3]}")
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
    for one, (name, value) in zip(axes, quantities, strict=True):
        for role in sorted({measure.role for measure in record.processes}):
            seconds: dict[int, list[float]] = defaultdict(list)
            for measure in record.processes:
                if measure.role == role:
                    seconds[round(measure.at_s)].append(value(measure))
            times = sorted(seconds)
            one.plot(times, [sum(seconds[at]) / len(seconds[at]) for at in times], label=role)
        one.set_ylabel(name)
    moved_at, per_balancer = _discovery_bytes(record)
    axes[-1].plot(moved_at, per_balancer, "--", label="discovery and one balancer")
    axes[-1].set_ylabel("log of one process, network: KB/s")
    _save(figure, axes, events, record.folder / "cost_by_role.png")


def _discovery_bytes(record: RunRecord) -> tuple[list[float], list[float]]:
    """Times, and KB/s between discovery and one balancer."""
    seconds = [
        line for line in record.stand_in_measures.get(DISCOVERY_ROLE, []) if line["type"] == "DiscoverySecond"
    ]
    total = record.scenario.balancers.total
    moved = [(line["sent_bytes"] + line["received_bytes"]) / 1e3 / total for line in seconds]
    return [line["at_s"] for line in seconds], moved


def _plot_latency(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, 2 * HEIGHT_IN))
    axes = [figure.add_subplot(2, 1, row + 1) for row in range(2)]
    sources: list[tuple[str, list[HollowMeasure] | list[ClientMeasure]]] = [
        ("hollow", record.hollow),
        ("real", record.clients),
    ]
    for name, measures in sources:
        for index in sorted({measure.index for measure in measures}):
            own = [measure for measure in measures if measure.index == index]
            times = [measure.at_s for measure in own]
            label = f"{name} {index}"
            axes[0].plot(times, [measure.added.p50_us / 1e3 for measure in own], label=f"{label} p50")
            axes[0].plot(times, [measure.added.p99_us / 1e3 for measure in own], "--", label=f"{label} p99")
            axes[1].plot(times, [measure.lag.p99_us / 1e3 for measure in own], label=f"{label} p99")
    axes[0].set_ylabel("added latency, ms")
    axes[1].set_ylabel("arrivals taken late by, ms")
    for one in axes:
        one.set_yscale("symlog", linthresh=1)
    _save(figure, axes, events, record.folder / "latency.png")


def _plot_ends(record: RunRecord, events: list[Event]) -> None:
    figure = Figure(figsize=(WIDTH_IN, HEIGHT_IN))
    axes = figure.add_subplot()
    seconds: dict[int, dict[str, int]] = defaultdict(lambda: defaultdict(int))
    measures: list[HollowMeasure | ClientMeasure] = [*record.hollow, *record.clients]
    for measure in measures:
        for end, count in measure.requests.ended.items():
            seconds[round(measure.at_s)][end] += count
    times = sorted(seconds)
    if times:
        axes.stackplot(
            times, [[seconds[at][end] for at in times] for end in REQUEST_OUTCOMES], labels=REQUEST_OUTCOMES
        )
    axes.set_ylabel("requests a second, by end")
    _save(figure, [axes], events, record.folder / "requests_by_end.png")
