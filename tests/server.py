"""One server for the tests: a `Choice` with small round figures, and shorthands to feed it."""

from __future__ import annotations

from typing import Any

from thymeyoke.choice import Choice
from thymeyoke.port import actions, facts
from thymeyoke.port.facts import Repeat

READ = facts.OpType(2.0, 6.0, Repeat.RETRYABLE, 1.0, 0.0, 0.0, True, 0.0, 0.0)
KEYED = READ._replace(repeat=Repeat.KEYED, key_window=10.0)
ONCE = READ._replace(repeat=Repeat.NON_RETRYABLE, importance=3.0)
POORER = READ._replace(poorer_share=0.5)
KINDS = (READ, KEYED, ONCE, POORER)
FACTS: dict[str, Any] = {
    "seed": 7,
    "op_types": KINDS,
    "machine": facts.Machine(4, 4000.0, 4.0, 5.0, 0.002, facts.Halt.NOTHING, ("busy",)),
    "survival": facts.Survival(8.0, 2.0, False, 0.25, 20.0),
    "duty": facts.Duty(0.06, 2.0),
    "dependency": facts.Dependency(facts.Below.TIER, 0.0, 0.0, 0.2),
    "callers": facts.Callers(3, facts.Signal.FLOOR, 1.0, 1.0, False, 30.0, 0.0, False),
    "tenants": (),
}


class Server:
    """Feeds a `Choice` and keeps what it did last."""

    def __init__(self, **changed: Any) -> None:
        given = dict(FACTS)
        for name, value in changed.items():
            given[name] = given[name]._replace(**value) if isinstance(value, dict) else value
        self.now = 100.0
        self.yoke = Choice(now=self.now, **given)
        self.did: list[Any] = []

    def op(self, id: int, type: int = 0, caller: int = 0, **more: Any) -> None:
        given = {"size": 10.0, "subject": None, "hint": 0.0, "further": False, "write": False,
                 "repeats": None, "prio": 0.5, "left": 6.0, "unread": 0.0, "tenant": 0, **more}  # fmt: skip
        self.yoke.take(self.now, facts.Op(id=id, type=type, caller=caller, **given))

    def settle(self, later: float = 0.0) -> list[Any]:
        self.now += later
        self.did = self.yoke.settle(self.now)
        return self.did

    def beat(self, later: float = 0.06, busy: float = 1.0) -> list[Any]:
        self.now += later
        self.yoke.woke(self.now, 0, (busy, self.yoke.on_core))
        return self.settle()

    def end(self, *ids: int, later: float = 0.0) -> None:
        self.now += later
        for id in ids:
            self.yoke.ended(self.now, id, facts.Outcome.OK)

    def learned(self, took: float, type: int = 0) -> None:
        """Give an op type its history: one run of `took` seconds."""
        self.op(-1 - type, type)
        self.settle()
        self.end(-1 - type, later=took)
        self.settle()

    def ids(self, action: type) -> list[Any]:
        """The ids that the last settle named with this action."""
        return [did.id for did in self.did if type(did) is action]


__all__ = ["KINDS", "Server", "actions", "facts"]
