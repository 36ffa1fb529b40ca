"""What reaches one photo server from all balancers: the decision modules of all run in this process."""

from __future__ import annotations

from collections import Counter

from emulator.slopes.module_host import ModuleHost
from emulator.slopes.roles import Figure, MeasurementBudget, Role
from emulator.slopes.sizes import Axis, Scale

SECONDS = 3  # of each module's clock


def measure(scale: Scale, budget: MeasurementBudget, seed: int) -> list[Figure]:
    """Balancers and attempts that meet at a server; instances share nothing, so they run one by one."""
    del budget  # nothing is timed
    balancers: Counter[int] = Counter()  # by server: each keeps at least one connection to it
    attempts: Counter[int] = Counter()
    for balancer_index in range(scale.balancers):
        host = ModuleHost(scale, seed + balancer_index, balancer_index)
        host.apply_full_list()
        host.serve_requests(SECONDS * scale.requests)
        balancers.update(host.attempts_by_server.keys())
        attempts.update(host.attempts_by_server)
    return [
        Figure("balancers at a server, mean", "connections", balancers.total() / scale.servers),
        Figure("balancers at a server, most", "connections", max(balancers.values())),
        Figure("attempts a second at a server, mean", "1/s", attempts.total() / scale.servers / SECONDS),
        Figure("attempts a second at a server, most", "1/s", max(attempts.values()) / SECONDS),
    ]


ROLE = Role(
    name="server",
    description="connections and attempts that reach one photo server from the modules of all balancers",
    axes=(Axis.SERVERS, Axis.BALANCERS, Axis.REQUESTS),
    quick_axes=(Axis.REQUESTS,),
    measure=measure,
)
