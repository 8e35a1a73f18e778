"""Admission control of one app server: which requests it admits, runs, delays and rejects.

The package is pure: no I/O, no clock, no tasks. `events` is what happens, `actions` what to do about it, and
`AdmissionController` (in `controller`) decides. Times and spans are seconds, sizes are kilobytes, and ids are
whatever the protocol uses.
"""
