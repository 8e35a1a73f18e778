"""The output of `thymeyoke moves show`: a status that is sent over the node's socket as JSON, and its tables.

No I/O. `status` runs in the node, `tables` and `lines` where the command runs.
"""

from __future__ import annotations

from typing import Any

from thymeyoke.migration import quorum
from thymeyoke.migration.controller import MigrationCoordinator, Recommendation
from thymeyoke.migration.planner import CapacityAdvice


def status(coordinator: MigrationCoordinator, now: float) -> dict[str, Any]:
    """All that this node knows; loads in connections, times in seconds."""
    middle, plan = coordinator.loads.mean.mid, coordinator.plan
    return {
        "node": coordinator.own_name,
        "act": coordinator.terms.act,
        "view": coordinator.view.version if coordinator.view else 0,
        "mean": round(middle, 1),
        "bound": round(plan.bound, 1),
        "uneven": round(plan.before, 3),
        "uneven_after": round(plan.after, 3),
        "proved": plan.proved,
        "nodes": [
            {
                "node": one.name, "load": round(one.load.mid, 1), "least": round(one.load.low, 1),
                "most": round(one.load.high, 1),
                "of_mean": round(one.load.mid / middle, 3) if middle else 0.0,
                "room": one.room, "tenants": len(one.holds),
            }
            for one in coordinator.loads.nodes
        ],
        "unknown": dict(coordinator.loads.unknown),
        "recommendations": [_recommendation(one) for one in coordinator.recommendations(now)],
        "advice": [_advice(one) for one in coordinator.capacity_advice()],
        "budget": _budget(coordinator, now),
    }  # fmt: skip


def _recommendation(one: Recommendation) -> dict[str, Any]:
    return {
        "tenant": one.tenant, "from": one.source, "to": one.target, "state": str(one.state),
        "for": round(one.age, 1), "load": round(one.load, 1), "behind": one.connections,
        "opened": round(one.opened, 2), "gain": round(one.gain, 1), "cost": round(one.cost, 1),
        "why": one.why,
    }  # fmt: skip


def _advice(one: CapacityAdvice) -> dict[str, Any]:
    return {"kind": one.kind, "node": one.node, "tenant": one.tenant, "figure": round(one.figure, 1),
            "why": one.why}  # fmt: skip


def _budget(coordinator: MigrationCoordinator, now: float) -> dict[str, Any]:
    voter, slot_count = coordinator.voter, quorum.slot_count(coordinator.terms, coordinator.announcements)
    slots = []
    for slot in range(slot_count):
        one = voter.granted.get(slot)
        rests = max(0.0, voter.cooling_down.get(slot, now) - now)
        state = "given" if one else "rests" if rests else "free"
        to = f"{one.request.tenant} from {one.source} to {one.request.target}" if one else ""
        slots.append({"slot": slot, "state": state, "to": to, "for": round(rests, 1)})
    return {
        "at_once": slot_count,
        "slots": slots,
        "spacing": round(quorum.slot_cool_down(coordinator.terms), 1),
        "nodes": coordinator.known_nodes.count,
        "majority": quorum.majority(coordinator.known_nodes.count),
        "votes_in": round(
            max(0.0, voter.abstains_until(coordinator.terms, coordinator.announcements) - now), 1
        ),
        "rests": round(max(0.0, coordinator.cool_down_until - now), 1),
        "no_vote": [
            {"from": source, "number": number, "why": why}
            for (source, number), why in sorted(coordinator.refusals.items())
        ],
    }


def tables(status: dict[str, Any]) -> list[list[list[str]]]:
    """Tables for display: nodes, recommendations and advice.

    The first row of each has the titles; empty tables are left out.
    """
    nodes = [["NODE", "LOAD", "OF MEAN", "ROOM", "TENANTS"]]
    for one in status["nodes"]:
        spread = f" ({one['least']:.0f} to {one['most']:.0f})" if one["most"] - one["least"] >= 1 else ""
        nodes.append([
            one["node"], f"{one['load']:.0f}{spread}", f"{one['of_mean']:.2f}", str(one["room"]),
            str(one["tenants"]),
        ])  # fmt: skip
    nodes += [[name, f"not known: {why}", "-", "-", "-"] for name, why in sorted(status["unknown"].items())]
    recommendations = [["TENANT", "FROM", "TO", "STATE", "FOR", "GAIN", "COST", "WHY"]]
    for one in status["recommendations"]:
        recommendations.append([
            one["tenant"], one["from"], one["to"], one["state"], span(one["for"]), f"{one['gain']:.0f}",
            f"{one['cost']:.0f}", one["why"],
        ])  # fmt: skip
    advice = [["NODE", "TENANT", "WHAT", "WHY"]]
    kind_texts = {"split": "split it", "room": "no room"}
    advice += [[one["node"], one["tenant"] or "-", kind_texts.get(one["kind"], one["kind"]), one["why"]]
               for one in status["advice"]]  # fmt: skip
    return [rows for rows in (nodes, recommendations, advice) if len(rows) > 1]


def lines(status: dict[str, Any]) -> list[str]:
    """The lines above the tables: settings, and the present imbalance."""
    budget = status["budget"]
    activity = "moves tenants" if status["act"] == "move" else "recommends, and moves nothing"
    votes = f", votes in {span(budget['votes_in'])}" if budget["votes_in"] else ""
    rests = f", rests for {span(budget['rests'])}" if budget["rests"] else ""
    result = [
        f"{status['node']} {activity}; {budget['at_once']} at once, a slot rests {budget['spacing']:g} s, "
        f"{budget['majority']} of {budget['nodes']} nodes must agree{votes}{rests}"
    ]
    if status["nodes"]:
        result.append(
            f"the most loaded node has {status['uneven']:.2f} of the mean {status['mean']:.0f}, bound "
            f"{status['bound']:.0f}; {status['uneven_after']:.2f} after these moves"
        )
    return result


def span(seconds: float) -> str:
    """A duration in words."""
    for unit, size in (("h", 3600), ("min", 60)):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.0f} s"
