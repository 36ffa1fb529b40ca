"""Emulates clients, photo servers, discovery and control machines, to test and measure balancers.

The balancer itself never imports this package.
"""
