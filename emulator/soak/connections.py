"""What the stand-ins of a soak share about their connections."""

from __future__ import annotations

import asyncio

# How a connection ends under who reads or writes: by its peer, or by a fault of the plan (the event loop
# raises RuntimeError for a write on a transport that is closed).
CONNECTION_ERRORS = (asyncio.IncompleteReadError, OSError, RuntimeError)
CONNECTION_ERRORS_OR_CANCELLED = (asyncio.CancelledError, *CONNECTION_ERRORS)  # or with the run
