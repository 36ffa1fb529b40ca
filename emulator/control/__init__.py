"""Emulation of the control plane on one machine: control machines, agents, balancers, and their failures."""
