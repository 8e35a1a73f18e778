"""Use by tenant, in closed periods, exported exactly once; docs/ledger.md has the whole."""
