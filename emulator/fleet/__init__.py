"""Emulates a fleet on one machine: stand-in discovery, photo servers and clients around real balancers."""
