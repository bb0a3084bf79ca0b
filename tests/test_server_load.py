"""Tests of the load and pace that backend servers state."""

import random
import unittest

from sequoiaseam._server_load import ServerLoad, parse_server_load
from tests.seeds import iterate_seeds


class ServerLoadTest(unittest.TestCase):
    """Guards against load fields that are misread or end a run."""

    def test_reads_three_or_four_numbers(self) -> None:
        self.assertEqual(
            parse_server_load(b"3,1,8"), ServerLoad(3, 1, 8, None)
        )
        self.assertEqual(
            parse_server_load(b"3,1,8,250"), ServerLoad(3, 1, 8, 2.5)
        )

    def test_utilization_is_at_most_one(self) -> None:
        for value, utilization in (
            (b"3,1,8", 0.5),
            (b"8,999999999,8", 1.0),
            (b"0,0,0", 0.0),
            (b"1,0,0,100", 1.0),
        ):
            with self.subTest(value=value):
                load = parse_server_load(value)
                assert load is not None
                self.assertEqual(load.utilization, utilization)

    def test_ignores_any_other_form(self) -> None:
        for value in (
            b"",
            b",",
            b"3,1",
            b"3,1,8,",
            b"3,1,8,100,5",
            b"3,1,8,-100",
            b"3,1,8,1.5",
            b"3,1,8,100%",
            b"3, 1, 8",
            b"3,1,8,nan",
            b"3;1;8",
            b"3,1,8," + b"9" * 10,
            b"9" * 5000 + b",1,8",
            "3,1,\N{SUPERSCRIPT TWO}".encode(),
            "3,1,\N{ARABIC-INDIC DIGIT EIGHT}".encode(),
        ):
            with self.subTest(value=value[:20]):
                self.assertIsNone(parse_server_load(value))

    def test_no_bytes_raise(self) -> None:
        for seed in iterate_seeds():
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                value = bytes(
                    rng.choice(b"0123456789,, .-\x00\xff")
                    for _ in range(rng.randrange(20))
                )
                parse_server_load(value)


if __name__ == "__main__":
    unittest.main()
