"""Soak test: real balancers under faults drawn from a seed, checked by the records of clients and servers."""
