"""The scripted events of a scenario file, as a union that is told apart by `kind`."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0)]
AtLeastOne = Annotated[int, Field(ge=1)]


class ScenarioModel(BaseModel):
    """Base of everything in a scenario file: unknown keys, wrong types and non-finite numbers are faults."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True, allow_inf_nan=False)


class ScriptedEvent(ScenarioModel):
    """What all scripted events share."""

    at_s: NonNegative

    def ends_at_s(self) -> float:
        """When its last effect begins or ends, in seconds from the start."""
        return self.at_s


class LastingEvent(ScriptedEvent):
    """An event that is undone after some time."""

    duration_s: Positive

    def ends_at_s(self) -> float:
        """When it is undone."""
        return self.at_s + self.duration_s


class DrainWave(ScriptedEvent):
    """Servers are drained, stopped and started again in groups, as in a deployment."""

    kind: Literal["drain_wave"]
    servers: AtLeastOne
    group: AtLeastOne  # servers that are drained together
    every_s: Positive  # from one group to the next
    drain_s: NonNegative  # from the drain until the process stops
    down_s: NonNegative  # from the stop until the cold start
    replace: bool = False  # a new machine takes the place: a new instance id
    zone: str | None = None  # None: in all zones

    def ends_at_s(self) -> float:
        """When the last group starts again."""
        groups = -(-self.servers // self.group)
        return self.at_s + (groups - 1) * self.every_s + self.drain_s + self.down_s


class RackFailure(LastingEvent):
    """All servers behind one switch vanish without a word and start cold when it is repaired."""

    kind: Literal["rack_failure"]
    zone: str
    rack: Count | None = None  # counted within the zone; None: one is drawn


class ZoneFailure(LastingEvent):
    """All servers of a zone vanish and start cold when it returns; its balancers die with it."""

    kind: Literal["zone_failure"]
    zone: str
    balancers: bool = True  # False: the zone's balancers stay up


class RegionSplit(LastingEvent):
    """Two regions can't reach each other; each one's discovery hears nothing of the other's changes."""

    kind: Literal["region_split"]
    regions: Annotated[tuple[str, ...], Field(min_length=2, max_length=2)]


class Slowdown(LastingEvent):
    """A part of the servers works slower by a factor."""

    kind: Literal["slowdown"]
    share: Share
    factor: Annotated[float, Field(ge=1)]
    zone: str | None = None


class Hang(LastingEvent):
    """A part of the servers takes requests and answers nothing."""

    kind: Literal["hang"]
    share: Share
    zone: str | None = None


class DiscoveryOutage(LastingEvent):
    """Discovery's agents are silent; they catch up when it is over."""

    kind: Literal["discovery_outage"]
    region: str | None = None  # None: everywhere


class SilentWatches(LastingEvent):
    """Held calls of a part of the balancers get no answer; calls that are not held do."""

    kind: Literal["silent_watches"]
    share: Share


class ListChanges(LastingEvent):
    """One change of the list every few seconds: some servers drain, those drained before start again."""

    kind: Literal["list_changes"]
    every_s: Positive
    servers: AtLeastOne  # that drain with each change


class RestartAllBalancers(ScriptedEvent):
    """Every balancer is restarted."""

    kind: Literal["restart_all_balancers"]
    over_s: NonNegative = 0.0  # stops are spread evenly over this
    down_s: NonNegative = 0.5  # from a stop until the start
    graceful: bool = False  # SIGTERM instead of SIGKILL

    def ends_at_s(self) -> float:
        """When the last one starts."""
        return self.at_s + self.over_s + self.down_s


class KillRealBalancers(ScriptedEvent):
    """Some of the real balancer processes are killed and started again."""

    kind: Literal["kill_real_balancers"]
    count: AtLeastOne
    down_s: NonNegative = 1.0

    def ends_at_s(self) -> float:
        """When they start again."""
        return self.at_s + self.down_s


AnyScriptedEvent = Annotated[
    DrainWave
    | RackFailure
    | ZoneFailure
    | RegionSplit
    | Slowdown
    | Hang
    | DiscoveryOutage
    | SilentWatches
    | ListChanges
    | RestartAllBalancers
    | KillRealBalancers,
    Field(discriminator="kind"),
]
