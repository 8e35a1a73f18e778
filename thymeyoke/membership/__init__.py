"""Membership of the fleet: gossip, failure detection, and views of all members and their load.

docs/membership.md has the states and rules as tables.
"""
