"""Errors of connections, which are byte streams of anyio."""

from __future__ import annotations

import anyio

# Raised by reading from and writing to a connection that was closed or lost.
CONNECTION_LOST_ERRORS = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)
