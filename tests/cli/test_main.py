"""Tests of the command line's entry point."""

from __future__ import annotations

import contextlib
import io
import unittest

from bronzerudder.cli.main import main


def run(*arguments: str) -> tuple[int, str, str]:
    """Run the command line and return its exit code, standard output and standard error."""
    output, errors = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
        code = main(list(arguments))
    return code, output.getvalue(), errors.getvalue()


class MainTest(unittest.TestCase):
    def test_prints_the_version(self):
        code, output, _ = run("version")
        self.assertEqual((code, output), (0, "0.1.0\n"))

    def test_a_mistyped_flag_is_one_line_and_runs_nothing(self):
        code, output, errors = run("version", "--loud")
        self.assertEqual((code, output), (2, ""))
        self.assertEqual(len(errors.splitlines()), 1)
        self.assertIn("--loud", errors)

    def test_help_of_a_command_is_its_doc_comment(self):
        code, output, _ = run("version", "--help")
        self.assertEqual(code, 0)
        self.assertIn("Print the version.", output)


if __name__ == "__main__":
    unittest.main()
