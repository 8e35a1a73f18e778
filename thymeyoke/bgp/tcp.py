"""The socket of a session: TCP MD5 (RFC 2385), the least TTL (RFC 5082), the source address, and the ways
to close.

Each is an option that Linux lets an ordinary user set; where the machine refuses one, `probe` says so at
the start.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream

from thymeyoke.bgp.configuration import Announce, Peer
from thymeyoke.configuration.service_config import HostPort, IpAddress
from thymeyoke.runtime.extensions import HostConfigurationError

MD5SIG = 14  # TCP_MD5SIG, linux/tcp.h
MIN_TTL, MIN_HOPS = 21, 73  # IP_MINTTL, IPV6_MINHOPCOUNT
NEAR = 255  # the TTL that a neighbour's packets have, RFC 5082 section 3
SEND_BUFFER = 1 << 15  # octets: what waits in the machine for a peer that does not read
FAREWELL = 0.1  # seconds in which a peer takes a last NOTIFICATION before the connection is reset


def _family(ip: IpAddress) -> socket.AddressFamily:
    return socket.AF_INET if ip.version == 4 else socket.AF_INET6


def _md5(sock: socket.socket, ip: IpAddress, password: str) -> None:
    family = _family(ip)
    if family == socket.AF_INET:
        address = struct.pack("=HH4s", family, 0, ip.packed)
    else:
        address = struct.pack("=HHI16sI", family, 0, 0, ip.packed, 0)
    key = password.encode()
    said = address.ljust(128, b"\0") + struct.pack("=BBHI", 0, 0, len(key), 0) + key.ljust(80, b"\0")
    sock.setsockopt(socket.IPPROTO_TCP, MD5SIG, said)


def _near(sock: socket.socket, ip: IpAddress, least: int) -> None:
    if ip.version == 4:
        sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, NEAR)
        sock.setsockopt(socket.IPPROTO_IP, MIN_TTL, least)
    else:
        sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, NEAR)
        sock.setsockopt(socket.IPPROTO_IPV6, MIN_HOPS, least)


def _dress(sock: socket.socket, peer: Peer) -> None:
    steps: tuple[tuple[str, Any, Callable[[], None]], ...] = (
        ("password", peer.password, lambda: _md5(sock, peer.address.ip, peer.password or "")),
        ("min_ttl", peer.min_ttl, lambda: _near(sock, peer.address.ip, peer.min_ttl)),
        ("source", peer.source, lambda: sock.bind((str(peer.source), 0))),
    )
    for what, wanted, dress in steps:
        try:
            if wanted:
                dress()
        except OSError as error:
            raise HostConfigurationError(
                f"[announce.peer {peer.name}] {what}: this machine refuses it ({error.strerror}); "
                f"leave it out, or let this user set it") from None  # fmt: skip
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


def probe(told: Announce) -> None:
    """Whether this machine lets every peer's options be set; `Refused` else."""
    for peer in told.peers:
        with socket.socket(_family(peer.address.ip), socket.SOCK_STREAM) as sock:
            _dress(sock, peer)


async def connect(peer: Peer) -> SocketStream:
    """A connection to a peer; OSError or `Refused` where there is none."""
    ip, port = peer.address.ip, peer.address.port
    sock = socket.socket(_family(ip), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        _dress(sock, peer)
        await asyncio.get_running_loop().sock_connect(sock, (str(ip), port))
        return await SocketStream.from_socket(sock)
    except BaseException:
        sock.close()
        raise


def listen(where: HostPort, peers: tuple[Peer, ...]) -> socket.socket:
    sock = socket.socket(_family(where.ip), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for peer in peers:
            if peer.passive and peer.password:
                _md5(sock, peer.address.ip, peer.password)
        if any(peer.passive and peer.min_ttl for peer in peers):
            _near(sock, where.ip, 0)
        sock.bind((str(where.ip), where.port))
        sock.listen(8)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def welcome(stream: SocketStream, peer: Peer) -> None:
    """A connection that the peer opened: the least TTL holds from here on."""
    if peer.min_ttl:
        raw = stream.extra(SocketAttribute.raw_socket)
        _near(raw, peer.address.ip, peer.min_ttl)


def unacknowledged(stream: SocketStream) -> int:
    """Octets that the peer's machine has not yet taken."""
    held = ioctl(stream.extra(SocketAttribute.raw_socket).fileno(), TIOCOUTQ, b"\0" * 4)
    return int.from_bytes(held, "little")


def last_words(stream: SocketStream, data: bytes) -> bool:
    """Write what fits without waiting, and end the sending half. Whether all of it went."""
    raw = stream.extra(SocketAttribute.raw_socket)
    try:
        sent = os.write(raw.fileno(), data) == len(data) if data else True
        raw.shutdown(socket.SHUT_WR)
        return sent
    except OSError:
        return False


async def close(stream: SocketStream, said: bool) -> None:
    """Where last words were said the peer gets a moment to read them: a reset throws away what it has not
    read. Else the connection is reset at once, which needs no room in the peer's window."""
    raw = stream.extra(SocketAttribute.raw_socket)
    with suppress(OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
        if said:
            with anyio.move_on_after(FAREWELL):
                while True:
                    await stream.receive(1 << 12)
        else:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)
