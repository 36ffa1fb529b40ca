"""Measures how state, messages, processor time and memory grow with the size of the fleet."""
