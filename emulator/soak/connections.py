"""Errors of connections that the simulated clients, servers and discovery have in common."""

from __future__ import annotations

import asyncio

# A read or write fails with one of these when the peer or an injected fault ends the connection. The event
# loop raises RuntimeError for a write to a closed transport.
CONNECTION_ERRORS = (asyncio.IncompleteReadError, OSError, RuntimeError)
# The end of the run cancels the task that reads or writes.
CONNECTION_ERRORS_OR_CANCELLED = (asyncio.CancelledError, *CONNECTION_ERRORS)
