"""Tests of the configuration in force at a gateway."""

from __future__ import annotations

import unittest
from unittest import mock

from bronzerudder.gateway.configuration import ConfigurationHolder
from bronzerudder.platform.configuration import decode_configuration
from tests.gateway.harness import make_configuration
from tests.platform.unreadable import UNREADABLE_VALUES


class ConfigurationHolderTest(unittest.TestCase):
    def setUp(self):
        self.log = mock.Mock()
        self.holder = ConfigurationHolder("main", decode_configuration, mock.Mock(), self.log)

    def events(self):
        return [call.args[0] for call in self.log.state.mock_calls]

    def test_an_unreadable_version_confirms_nothing_and_leaves_the_last_one_in_force(self):
        self.assertTrue(self.holder.apply_value(make_configuration(4)))
        for value in UNREADABLE_VALUES:
            self.assertFalse(self.holder.apply_value(value), value[:40])
            self.assertEqual(self.holder.current.version, 4)
        self.assertTrue(self.holder.apply_value(make_configuration(5)))
        self.assertEqual(self.holder.current.version, 5)

    def test_a_rejected_version_is_logged_once(self):
        for _ in range(5):
            self.holder.apply_value(UNREADABLE_VALUES[0])
        self.assertEqual(self.events(), ["configuration rejected"])


if __name__ == "__main__":
    unittest.main()
