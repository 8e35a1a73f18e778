"""Adapter between admission control and the simulator's protocol."""
