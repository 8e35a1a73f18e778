"""The interface that every protocol speaks to the decisions: plain facts in, plain actions out.

`facts` holds what a server is told (at its start and while it runs), `actions` what it may do.
Times are seconds, spans and moments alike; sizes are kilobytes; ids are whatever the protocol uses.
"""

from thymeyoke.admission import actions, settings

__all__ = ["actions", "settings"]
