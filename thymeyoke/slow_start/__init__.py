"""Slow start of an app server: limits its reports, dependency calls and retries, as many may start at once.

docs/slow_start.md has the states and rules as tables.
"""
