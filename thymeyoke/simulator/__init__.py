"""The adapter between admission control and the simulator's wire."""
