"""Describe a new flow that needs a backend server."""

from __future__ import annotations

ANSWER_MARGIN_SECONDS = 0.02
RETRANSMISSION_GRACE_SECONDS = 0.06


class FlowRequest:
    """Ask for a backend server for one new flow.

    Attributes
    ----------
    retransmission : int
        How many times the caller sent the packet before.
    priority : int
        Priority of the route; 0 is the most urgent.
    origin : str
        Entry host that received the packet.
    objective_deadline : float
        Until when an answer of the server meets the objective of the route.
    answer_deadline : float
        When the caller abandons the flow if no server has answered.
    next_retransmission_at : float
        When the caller retransmits the packet, or abandons the flow after the last
        retransmission.
    refusal_deadline : float
        Until when a refusal cannot reset a flow that was placed in the meantime.
    route : bytes
        Destination address and port of the flow's packets, which identify its route.
    queued_since : float
        When the first packet of the flow was queued.
    """

    __slots__ = (
        "flow",
        "service",
        "retransmission",
        "packet",
        "priority",
        "origin",
        "objective_deadline",
        "answer_deadline",
        "next_retransmission_at",
        "route",
        "refusal_deadline",
        "queued_since",
    )

    def __init__(
        self,
        flow: bytes,
        service: str,
        retransmission: int,
        packet: bytes,
        priority: int,
        origin: str,
        objective_deadline: float,
        answer_deadline: float,
        next_retransmission_at: float,
        route: bytes = b"",
    ) -> None:
        self.flow = flow
        self.service = service
        self.retransmission = retransmission
        self.packet = packet
        self.priority = priority
        self.origin = origin
        self.objective_deadline = objective_deadline
        self.answer_deadline = answer_deadline
        self.next_retransmission_at = next_retransmission_at
        self.route = route
        self.refusal_deadline = 0.0
        self.queued_since = 0.0

    def may_be_sent(self, now: float) -> bool:
        """Return whether a server's answer would precede the next retransmission.

        Queued flows are sent only then.  A retransmission therefore proves that no host
        has sent the flow to a server that answers, and the host that receives the
        retransmission may refuse the flow.
        """
        return now < self.next_retransmission_at - ANSWER_MARGIN_SECONDS

    def is_abandoned(self, now: float) -> bool:
        """Return whether a retransmission is overdue or the caller has timed out."""
        overdue_at = self.next_retransmission_at + RETRANSMISSION_GRACE_SECONDS
        return now >= min(self.answer_deadline, overdue_at)
