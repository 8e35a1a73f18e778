"""Session affinity: keeps each client at its app server while nodes and servers come and go.

docs/affinity.md has the states and rules as tables.
"""
