"""Connections and attempts of all balancers at a photo server; the decision modules run in this process."""

from __future__ import annotations

from collections import Counter

from emulator.slopes.module_host import ModuleHost
from emulator.slopes.roles import Figure, MeasurementBudget, Role
from emulator.slopes.sizes import Axis, Scale

DURATION_S = 3  # on the simulated clock of each balancer


def measure(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Measure the balancers and attempts at each server.

    Balancers share no state, so they run one after another.
    """
    del budget  # nothing is timed
    balancers: Counter[int] = Counter()  # by server; each keeps at least one connection to it
    attempts: Counter[int] = Counter()  # by server
    for balancer_index in range(scale.balancers):
        host = ModuleHost(scale, seed + balancer_index, balancer_index)
        host.apply_full_list()
        host.serve_requests(DURATION_S * scale.requests)
        balancers.update(host.attempts_by_server.keys())
        attempts.update(host.attempts_by_server)
    return [
        Figure("balancers at a server, mean", "connections", balancers.total() / scale.servers),
        Figure("balancers at a server, most", "connections", max(balancers.values())),
        Figure("attempts a second at a server, mean", "1/s", attempts.total() / scale.servers / DURATION_S),
        Figure("attempts a second at a server, most", "1/s", max(attempts.values()) / DURATION_S),
    ]


ROLE = Role(
    name="server",
    description="connections and attempts that reach one photo server from the modules of all balancers",
    axes=(Axis.SERVERS, Axis.BALANCERS, Axis.REQUESTS),
    quick_axes=(Axis.REQUESTS,),
    measure=measure,
)
