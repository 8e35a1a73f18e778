"""Sockets of BGP sessions: TCP MD5 (RFC 2385), minimum TTL (RFC 5082), source address, and closing.

Linux allows ordinary users to set these options; `check_options` reports at the start if this machine does
not.
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
from thymeyoke.runtime.streams import CONNECTION_LOST_ERRORS

TCP_MD5SIG = 14  # linux/tcp.h
IP_MINTTL, IPV6_MINHOPCOUNT = 21, 73  # linux/in.h, linux/in6.h
NEIGHBOUR_TTL = 255  # TTL of packets between neighbours, RFC 5082 section 3
SEND_BUFFER = 1 << 15  # bytes
CLOSE_GRACE = 0.1  # seconds for the peer to read a last NOTIFICATION


def _family(ip: IpAddress) -> socket.AddressFamily:
    """Return the address family of an IP address."""
    return socket.AF_INET if ip.version == 4 else socket.AF_INET6


def _set_md5_password(sock: socket.socket, ip: IpAddress, password: str) -> None:
    """Set the MD5 password for a peer."""
    family = _family(ip)
    if family == socket.AF_INET:
        address = struct.pack("=HH4s", family, 0, ip.packed)
    else:
        address = struct.pack("=HHI16sI", family, 0, 0, ip.packed, 0)
    key = password.encode()
    option = address.ljust(128, b"\0") + struct.pack("=BBHI", 0, 0, len(key), 0) + key.ljust(80, b"\0")
    sock.setsockopt(socket.IPPROTO_TCP, TCP_MD5SIG, option)


def _set_min_ttl(sock: socket.socket, ip: IpAddress, min_ttl: int) -> None:
    """Set the TTL of sent packets and the minimum TTL of received ones."""
    if ip.version == 4:
        sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, NEIGHBOUR_TTL)
        sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, min_ttl)
    else:
        sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, NEIGHBOUR_TTL)
        sock.setsockopt(socket.IPPROTO_IPV6, IPV6_MINHOPCOUNT, min_ttl)


def _set_options(sock: socket.socket, peer: Peer) -> None:
    """Set a peer's options; raises `HostConfigurationError` if one is not permitted."""
    options: tuple[tuple[str, Any, Callable[[], None]], ...] = (
        ("password", peer.password, lambda: _set_md5_password(sock, peer.address.ip, peer.password or "")),
        ("min_ttl", peer.min_ttl, lambda: _set_min_ttl(sock, peer.address.ip, peer.min_ttl)),
        ("source", peer.source, lambda: sock.bind((str(peer.source), 0))),
    )
    for option, value, set_option in options:
        try:
            if value:
                set_option()
        except OSError as error:
            raise HostConfigurationError(
                f"[announce.peer {peer.name}] {option}: this machine refuses it ({error.strerror}); "
                f"leave it out, or let this user set it") from None  # fmt: skip
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)


def check_options(settings: Announce) -> None:
    """Check that all peers' options can be set; raises `HostConfigurationError` otherwise."""
    for peer in settings.peers:
        with socket.socket(_family(peer.address.ip), socket.SOCK_STREAM) as sock:
            _set_options(sock, peer)


async def connect(peer: Peer) -> SocketStream:
    """Connect to a peer; raises `OSError` or `HostConfigurationError`."""
    ip, port = peer.address.ip, peer.address.port
    sock = socket.socket(_family(ip), socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        _set_options(sock, peer)
        await asyncio.get_running_loop().sock_connect(sock, (str(ip), port))
        return await SocketStream.from_socket(sock)
    except BaseException:
        sock.close()
        raise


def listen(address: HostPort, peers: tuple[Peer, ...]) -> socket.socket:
    """Open the listening socket, with the passwords of passive peers."""
    sock = socket.socket(_family(address.ip), socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for peer in peers:
            if peer.passive and peer.password:
                _set_md5_password(sock, peer.address.ip, peer.password)
        if any(peer.passive and peer.min_ttl for peer in peers):
            _set_min_ttl(sock, address.ip, 0)
        sock.bind((str(address.ip), address.port))
        sock.listen(8)
        sock.setblocking(False)
    except BaseException:
        sock.close()
        raise
    return sock


def prepare_accepted(stream: SocketStream, peer: Peer) -> None:
    """Set the minimum TTL on a connection that the peer opened."""
    if peer.min_ttl:
        sock = stream.extra(SocketAttribute.raw_socket)
        _set_min_ttl(sock, peer.address.ip, peer.min_ttl)


def unacknowledged_bytes(stream: SocketStream) -> int:
    """Return how many sent bytes the peer's machine has not acknowledged."""
    unsent = ioctl(stream.extra(SocketAttribute.raw_socket).fileno(), TIOCOUTQ, b"\0" * 4)
    return int.from_bytes(unsent, "little")


def send_final(stream: SocketStream, data: bytes) -> bool:
    """Write what can be sent without waiting and shut down sending; returns whether everything was sent."""
    sock = stream.extra(SocketAttribute.raw_socket)
    try:
        sent = os.write(sock.fileno(), data) == len(data) if data else True
        sock.shutdown(socket.SHUT_WR)
        return sent
    except OSError:
        return False


async def close(stream: SocketStream, notified: bool) -> None:
    """Close a connection. After a NOTIFICATION, the peer gets a moment to read it.

    Otherwise the connection is reset at once, which needs no space in the peer's receive window. A reset
    would discard data that the peer has not read.
    """
    sock = stream.extra(SocketAttribute.raw_socket)
    with suppress(*CONNECTION_LOST_ERRORS):
        if notified:
            with anyio.move_on_after(CLOSE_GRACE):
                while True:
                    await stream.receive(1 << 12)
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    await anyio.aclose_forcefully(stream)
