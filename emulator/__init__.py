"""Emulator of a whole fleet, to measure how the balancer scales; never imported by the balancer itself."""
