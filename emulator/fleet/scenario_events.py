"""The scripted events of a scenario file, a union that is discriminated by `kind`."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

Positive = Annotated[float, Field(gt=0)]
NonNegative = Annotated[float, Field(ge=0)]
Share = Annotated[float, Field(ge=0, le=1)]
Count = Annotated[int, Field(ge=0)]
AtLeastOne = Annotated[int, Field(ge=1)]


class ScenarioModel(BaseModel):
    """Base of the models of a scenario file; rejects unknown keys, wrong types and non-finite numbers."""

    model_config = ConfigDict(frozen=True, extra="forbid", strict=True, allow_inf_nan=False)


class ScriptedEvent(ScenarioModel):
    """Base of the scripted events."""

    at_s: NonNegative

    def ends_at_s(self) -> float:
        """Time at which its last effect begins or ends, in seconds from the start."""
        return self.at_s


class LastingEvent(ScriptedEvent):
    """An event whose effect ends after some time."""

    duration_s: Positive

    def ends_at_s(self) -> float:
        """Time at which its effect ends."""
        return self.at_s + self.duration_s


class DrainWave(ScriptedEvent):
    """Servers are drained, stopped and started again in groups, as in a deployment."""

    kind: Literal["drain_wave"]
    servers: AtLeastOne
    group: AtLeastOne  # number of servers that are drained together
    every_s: Positive  # time between the starts of two groups
    drain_s: NonNegative  # from the drain until the process stops
    down_s: NonNegative  # from the stop until the cold start
    replace: bool = False  # by new machines, which have new instance ids
    zone: str | None = None  # None: in all zones

    def ends_at_s(self) -> float:
        """Time at which the last group starts again."""
        groups = -(-self.servers // self.group)
        return self.at_s + (groups - 1) * self.every_s + self.drain_s + self.down_s


class RackFailure(LastingEvent):
    """The switch of a rack fails: its servers become unreachable without closing connections.

    They start cold at the end of the event.
    """

    kind: Literal["rack_failure"]
    zone: str
    rack: Count | None = None  # index within the zone; None: a random one


class ZoneFailure(LastingEvent):
    """All servers of a zone become unreachable and its balancers are killed.

    The servers start cold at the end of the event.
    """

    kind: Literal["zone_failure"]
    zone: str
    balancers: bool = True  # False: the zone's balancers keep running


class RegionSplit(LastingEvent):
    """Two regions cannot reach each other; the discovery of each misses the changes of the other."""

    kind: Literal["region_split"]
    regions: Annotated[tuple[str, ...], Field(min_length=2, max_length=2)]


class Slowdown(LastingEvent):
    """A share of the servers is slower by a factor."""

    kind: Literal["slowdown"]
    share: Share
    factor: Annotated[float, Field(ge=1)]
    zone: str | None = None


class Hang(LastingEvent):
    """A share of the servers accepts requests and does not respond."""

    kind: Literal["hang"]
    share: Share
    zone: str | None = None


class DiscoveryOutage(LastingEvent):
    """Discovery's agents do not respond; at the end of the outage they publish the missed changes."""

    kind: Literal["discovery_outage"]
    region: str | None = None  # None: in all regions


class SilentWatches(LastingEvent):
    """Long polls of a share of the balancers get no response; their other calls do."""

    kind: Literal["silent_watches"]
    share: Share


class ListChanges(LastingEvent):
    """Periodic list changes: at each, some servers drain, and those of the previous change start again."""

    kind: Literal["list_changes"]
    every_s: Positive
    servers: AtLeastOne  # number of servers that drain with each change


class RestartAllBalancers(ScriptedEvent):
    """All balancers are restarted."""

    kind: Literal["restart_all_balancers"]
    over_s: NonNegative = 0.0  # time over which the stops are spread evenly
    down_s: NonNegative = 0.5  # from a stop until the next start
    graceful: bool = False  # SIGTERM instead of SIGKILL

    def ends_at_s(self) -> float:
        """Time at which the last one starts again."""
        return self.at_s + self.over_s + self.down_s


class KillRealBalancers(ScriptedEvent):
    """Some of the real balancer processes are killed and started again."""

    kind: Literal["kill_real_balancers"]
    count: AtLeastOne
    down_s: NonNegative = 1.0

    def ends_at_s(self) -> float:
        """Time at which they start again."""
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
