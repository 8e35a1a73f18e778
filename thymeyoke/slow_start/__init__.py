"""When a starting server reports, connects and calls; one retry budget a process. docs/slow_start.md."""
