"""Admission control of one app server: which requests it admits, runs, delays and rejects.

The package is pure: no I/O, no clock, no tasks. `events` defines its inputs, `actions` its outputs, and
`AdmissionController` (in `controller`) decides. Times and durations are in seconds and sizes in kilobytes;
request ids are opaque.
"""
