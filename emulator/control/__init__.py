"""A control plane on one machine: control machines, agents, balancers, and what goes wrong with them."""
