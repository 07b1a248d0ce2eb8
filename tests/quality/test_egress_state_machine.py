"""Search for packets that a paced link loses, reorders or sends too fast."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from kingcuppulley.fabric.egress_queue import MAXIMUM_FLOW_PACKETS
from kingcuppulley.fabric.link_budget import USABLE_SHARE_OF_RATE, LinkBudget
from tests.egress_link import PacedLink

flows = st.sampled_from(["a", "b", "c", "d", "e"])
large_sizes = st.integers(400, 1242)
SETTINGS = settings(
    max_examples=60,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
ROUNDING_BYTES = 1.0


class Egress(RuleBasedStateMachine):
    """Offer packets to a paced link, and check everything that it sends."""

    @initialize(rate=st.sampled_from([4_000.0, 250_000.0, 575_000.0]))
    def begin(self, rate):
        self.link = PacedLink(rate)
        self.rate = rate * USABLE_SHARE_OF_RATE
        self.burst = LinkBudget(rate, 0.0).burst_bytes
        self.next_sequence = dict.fromkeys("abcde", 0xFFFF_FFF0)
        self.small: set[int] = set()
        self.large_count = 0
        self.checked = 0
        self.last_number: dict[str, int] = {}
        self.level = 0.0
        self.level_at = 0.0

    @rule(flow=flows, count=st.integers(1, 16), size=large_sizes)
    def send_window(self, flow, count, size):
        for _ in range(count):
            self.next_sequence[flow] = (self.next_sequence[flow] + 1) & 0xFFFF_FFFF
            self.offer_large(flow, self.next_sequence[flow], size)

    @rule(flow=flows, back=st.integers(0, 20), size=large_sizes)
    def repeat(self, flow, back, size):
        self.offer_large(flow, (self.next_sequence[flow] - back) & 0xFFFF_FFFF, size)

    def offer_large(self, flow, sequence, size):
        self.large_count += 1
        self.link.offer(flow, sequence, size, priority=ord(flow) - ord("a"))

    @rule(flow=flows, count=st.integers(1, 200), size=st.integers(42, 399))
    def send_small(self, flow, count, size):
        for _ in range(count):
            number = self.link.offer(flow, 0, size)
            self.small.add(number)
            assert self.link.sent[-1][2] == number

    @rule(size=st.integers(20, 60_000))
    def send_message(self, size):
        self.link.pacer.charge(size)

    @rule(seconds=st.sampled_from([0.001, 0.01, 0.1, 1.0]))
    def pass_time(self, seconds):
        self.link.loop.run(seconds)

    @rule(seconds=st.sampled_from([0.005, 0.05, 3.0]))
    def pause(self, seconds):
        self.link.loop.pause(seconds)

    @invariant()
    def sent_in_order_and_within_the_rate(self):
        # What is sent at once has no limit, so the rate is checked without it.
        for sent_at, flow, number, size in self.link.sent[self.checked :]:
            if number in self.small:
                continue
            assert number > self.last_number.get(flow, -1)
            self.last_number[flow] = number
            drained = self.rate * (sent_at - self.level_at)
            self.level = max(0.0, self.level - drained) + size
            self.level_at = sent_at
            assert self.level <= self.burst + ROUNDING_BYTES
        self.checked = len(self.link.sent)

    @invariant()
    def one_timer_runs_if_packets_wait(self):
        assert len(self.link.loop.timers) == bool(self.link.pacer.queued_bytes)
        limit = max(self.rate, MAXIMUM_FLOW_PACKETS * 1270)
        assert self.link.pacer.queued_bytes <= limit

    def teardown(self):
        self.link.loop.run(1e4)
        self.sent_in_order_and_within_the_rate()
        counts = self.link.metrics.counts
        lost = counts["egress_dropped"] + counts["egress_repeats_dropped"]
        assert len(self.link.sent) - len(self.small) == self.large_count - lost
        assert not self.link.pacer.queued_bytes


TestEgress = Egress.TestCase
TestEgress.settings = SETTINGS
