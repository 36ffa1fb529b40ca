"""Emulates the surroundings of balancers to test them and to measure how they scale.

The balancer itself never imports it.
"""
