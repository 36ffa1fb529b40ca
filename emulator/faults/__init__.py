"""Faults for real processes on loopback: failing system calls, stalls, clock steps and broken connections."""
