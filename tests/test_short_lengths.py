"""Answers whose stated length is too short: no answer may be served with rows missing."""

from __future__ import annotations

import time

import pytest
from scripted import LONG, ScriptedEngine

from aspenrill import api
from aspenrill.net.conn import MIN_READ_SIZE
from aspenrill.wire import Malformed, http1, tds, tds_tokens

ROW = b"1\t2\tok\n"
TEXT = ROW * 8


def answer(text: bytes, length: int, pages: int = 1, number: int = 0) -> bytes:
    head = f"HTTP/1.1 200 X\r\nX-Batches: {pages}\r\nX-Batch: {number}\r\nContent-Length: {length}\r\n\r\n"
    return head.encode() + text


def served(answers: list) -> bytes:
    """Returns the result of one request to an engine that gives these answers."""
    script, found = ScriptedEngine(answers), []

    def scene() -> None:
        end = script.end(script.start())
        assert end.outcome is api.Outcome.OK
        assert not script.answers
        found.extend(end.result.pages)

    script.play(scene)
    return b"".join(found)


@pytest.mark.parametrize("rows", range(8))
def test_a_length_that_ends_behind_a_row_is_noticed_by_the_bytes_behind_it(rows):
    # review/6: a page with a length too short was served without its last rows
    short = answer(TEXT, rows * len(ROW))
    assert served([short, short, answer(TEXT, len(TEXT))]) == TEXT


def test_bytes_that_a_full_read_left_in_the_kernel_are_noticed():
    # review/6: the read ends just where the stated length does, so that its buffer shows nothing
    overhead = len(answer(b"", 1000))
    text = b"1\t2\t" + b"x" * (MIN_READ_SIZE - overhead - 5) + b"\n"
    assert served([answer(text + TEXT, len(text)), answer(TEXT, len(TEXT))]) == TEXT


def test_a_page_is_read_again_if_bytes_of_it_arrive_before_the_next_one_is_requested():
    # review/6, on results of several pages: late bytes were dropped with their connection
    def in_two_parts(conn) -> None:
        conn.write(answer(ROW, len(ROW), pages=2), time.monotonic() + LONG)
        conn.write(ROW, time.monotonic() + LONG)

    def later(conn) -> None:  # the rest lies in front of the next response
        conn.write(ROW + answer(ROW, len(ROW), 2, 1), time.monotonic() + LONG)

    whole = [answer(TEXT, len(TEXT), pages=2), answer(ROW, len(ROW), pages=2, number=1)]
    assert served([answer(ROW, len(ROW), pages=2), answer(TEXT, len(ROW), 2, 1), whole[1]]) == ROW + ROW
    assert served([in_two_parts, *whole]) == TEXT + ROW
    assert served([answer(ROW, len(ROW), pages=2), later, *whole]) == TEXT + ROW


def test_an_engine_whose_pages_never_fit_their_length_fails_the_request():
    script = ScriptedEngine([answer(TEXT, len(ROW))] * 9)
    script.play(lambda: _expect(script, api.Outcome.ERROR))


def _expect(script: ScriptedEngine, outcome: api.Outcome) -> None:
    assert script.end(script.start()).outcome is outcome


def test_tokens_behind_the_end_of_a_tds_answer_are_not_ignored():
    # the cause of review/6 on TDS: rows behind the last DONE of a packet were dropped
    columns, row = tds.text_columns(["a"]), tds.text_row(["1"])
    reader = tds_tokens.TokenReader(1 << 16)
    with pytest.raises(Malformed):
        reader.feed(columns + row + tds.done(rows=1) + row + tds.done(rows=2))


@pytest.mark.parametrize(
    "data, trailing",
    [
        (b"1\t2\t3\n", http1.Trailing.ROWS),
        (b"1\t2\t3\n4\t5\t6\n", http1.Trailing.ROWS),
        (b"\t\t\n", http1.Trailing.ROWS),
        (b"1\t2\t3\n4", http1.Trailing.UNCLEAR),
        (b"1\t2", http1.Trailing.UNCLEAR),
        (b"\0noise", http1.Trailing.UNCLEAR),
        (b"1\t2\t3\t", http1.Trailing.FOREIGN),
        (b"1\t2\n", http1.Trailing.FOREIGN),
        (b"\n", http1.Trailing.FOREIGN),
        (b"HTTP/1.1 200 X\r\n", http1.Trailing.FOREIGN),
    ],
)
def test_what_bytes_behind_a_page_tell_of_its_length(data, trailing):
    # review/6: only a line that is no row proves that the page ended where its length said
    assert http1.classify_trailing(data) is trailing


def test_two_equal_pages_with_rows_behind_them_are_not_taken_for_whole():
    # review/6: the same wrong length twice
    assert served([answer(TEXT, len(ROW)), answer(TEXT, len(ROW)), answer(TEXT, len(TEXT))]) == TEXT
