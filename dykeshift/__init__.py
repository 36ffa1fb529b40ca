"""dykeshift, an HTTP load balancer.

The decision logic performs no input or output; `dykeshift.node` runs it on sockets.
"""
