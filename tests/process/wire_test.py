"""The consumers' reader refuses answers that are none of HTTP."""

import asyncio
import unittest

import wire


def read(head):
    """Returns (status, headers) as a consumer reads them."""
    async def feed():
        reader = asyncio.StreamReader()
        reader.feed_data(head)
        reader.feed_eof()
        line, headers = await wire.read_head(reader)
        return wire.read_status(line), headers
    return asyncio.run(feed())


class WireTest(unittest.TestCase):
    def test_status(self):
        for status in (b"000", b"099", b"103", b"0200", b"2x0", b"20", b""):
            with self.assertRaises(wire.MalformedHead, msg=status):
                read(b"HTTP/1.1 " + status + b" Word\r\n\r\n")
        self.assertEqual(read(b"HTTP/1.1 200 OK\r\n\r\n")[0], 200)
        self.assertEqual(read(b"HTTP/1.0 599\r\n\r\n")[0], 599)

    def test_field_names(self):
        for name in (b"X Odd", b"X-Odd ", b" X-Odd", b"X-Odd\t", b"X\x01Odd",
                     b"X\x7fOdd", b"X\0Odd", b"X\xe9", b"X(", b""):
            with self.assertRaises(wire.MalformedHead, msg=name):
                read(b"HTTP/1.1 200 OK\r\n" + name + b": 4\r\n\r\n")
        with self.assertRaises(wire.MalformedHead):
            read(b"HTTP/1.1 200 OK\r\nX-Odd\r\n\r\n")
        headers = read(b"HTTP/1.1 200 OK\r\nX!#$%&'*+.^_`|~: 4\r\n\r\n")[1]
        self.assertEqual(headers, {"x!#$%&'*+.^_`|~": "4"})


if __name__ == "__main__":
    unittest.main()
