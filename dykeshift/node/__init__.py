"""The balancer process: runs the decision module on sockets."""
