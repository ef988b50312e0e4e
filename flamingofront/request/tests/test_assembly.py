"""Tests of the assembler: its text equals the tokens of the owning attempts, in order."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from flamingofront.messages import Frame
from flamingofront.request.assembly import Assembler, DropReason


def expected_tokens(tokens):
    """Return the text of one engine and one stream without losses."""
    return list(tokens)


class TestDifferential:
    @given(st.data())
    def test_split_duplicated_and_shuffled_frames_give_the_same_text(self, data):
        length = data.draw(st.integers(1, 40))
        text = [f"t{index}" for index in range(length)]
        cuts = sorted(data.draw(st.sets(st.integers(1, length), max_size=10)) | {length})
        frames, start = [], 0
        for end in cuts:
            overlap = data.draw(st.integers(0, start))
            begin = start - overlap
            frames.append(Frame("r", "a", begin, tuple(text[begin:end]), end == length))
            start = end
        frames += data.draw(st.lists(st.sampled_from(frames), max_size=5))
        shuffled = data.draw(st.permutations(frames))
        assembler = Assembler("r")
        assembler.set_owner("a")
        emitted = [token for frame in shuffled for token in assembler.accept(frame)]
        assert emitted == expected_tokens(text)
        assert assembler.tokens == emitted
        assert assembler.complete

    def test_frame_of_another_request_is_dropped(self):
        assembler = Assembler("r")
        assembler.set_owner("a")
        assert assembler.accept(Frame("other", "a", 0, ("x",))) == ()
        assert assembler.dropped[DropReason.OTHER_REQUEST] == 1

    def test_fitting_frame_of_an_earlier_attempt_is_dropped(self):
        assembler = Assembler("r")
        assembler.set_owner("a")
        assembler.accept(Frame("r", "a", 0, ("x",)))
        assembler.set_owner("b")
        assert assembler.accept(Frame("r", "a", 1, ("from a",))) == ()
        assert assembler.accept(Frame("r", "b", 1, ("from b",))) == ("from b",)

    def test_frozen_text_drops_all_frames(self):
        assembler = Assembler("r")
        assembler.set_owner("a")
        assembler.freeze()
        assert assembler.accept(Frame("r", "a", 0, ("x",))) == ()
        assert assembler.dropped[DropReason.FROZEN] == 1


class AssemblerMachine(RuleBasedStateMachine):
    """Attempts alternate, and late frames of all of them arrive.

    The oracle records which attempt owned each position when it was filled. Each attempt generates
    different tokens, so mixed text of two attempts is detected.
    """

    def __init__(self):
        super().__init__()
        self.assembler = Assembler("r")
        self.attempts = []
        self.emitted = []
        self.owners = []

    def token_of(self, attempt, index):
        return f"{attempt}/{index}"

    @rule()
    def new_attempt(self):
        attempt = f"a{len(self.attempts)}"
        self.attempts.append((attempt, self.assembler.offset))
        self.assembler.set_owner(attempt)

    @rule(data=st.data())
    def frame_arrives(self, data):
        if not self.attempts:
            return
        attempt, first = data.draw(st.sampled_from(self.attempts))
        start = data.draw(st.integers(first, first + 12))
        count = data.draw(st.integers(0, 5))
        tokens = tuple(self.token_of(attempt, index) for index in range(start, start + count))
        request = data.draw(st.sampled_from(["r", "r", "r", "other"]))
        added = self.assembler.accept(Frame(request, attempt, start, tokens))
        if added:
            assert request == "r"
            assert attempt == self.attempts[-1][0]
        self.owners += [self.attempts[-1][0]] * len(added)
        self.emitted += added

    @invariant()
    def each_position_has_one_token_of_its_owner(self):
        assert self.assembler.tokens == self.emitted
        for index, token in enumerate(self.emitted):
            assert token == self.token_of(self.owners[index], index)


TestAssemblerMachine = AssemblerMachine.TestCase
