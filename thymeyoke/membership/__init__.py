"""Who is there, in which life, how full: snapshots and views. docs/membership.md."""
