"""Tests of settings that are read again while a process runs."""

from __future__ import annotations

import pathlib
import tempfile
import unittest
from typing import TypedDict

from bronzerudder.settings import SettingsError
from bronzerudder.settings.file import SettingsFile


class _Settings(TypedDict):
    grace_s: float


class SettingsFileTest(unittest.TestCase):
    def setUp(self):
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(directory, "settings.json")
        self.path.write_text('{"grace_s": 1.0}')
        self.file = SettingsFile(str(self.path), _Settings)

    def test_a_change_is_returned_once(self):
        self.assertIsNone(self.file.read_change())
        self.path.write_text('{"grace_s": 2.0}')
        self.assertEqual(self.file.read_change(), {"grace_s": 2.0})
        self.assertIsNone(self.file.read_change())

    def test_a_file_that_cannot_be_read_is_reported_once(self):
        self.path.unlink()
        self.assertIsInstance(self.file.read_change(), SettingsError)
        self.assertIsNone(self.file.read_change())
        self.path.write_text('{"grace_s": 3.0}')
        self.assertEqual(self.file.read_change(), {"grace_s": 3.0})

    def test_invalid_settings_are_reported_once(self):
        self.path.write_text("{}")
        self.assertIsInstance(self.file.read_change(), SettingsError)
        self.assertIsNone(self.file.read_change())
