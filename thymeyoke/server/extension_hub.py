"""The active extensions of an app server, behind one interface for the dispatcher."""

from __future__ import annotations

from typing import cast

from thymeyoke.runtime.extensions import DrainStarted, Extension, RequestCompletion, RequestObserver


class ExtensionHub:
    """Passes events on to the active extensions; costs nothing if there are none."""

    def __init__(self) -> None:
        self.extensions: tuple[Extension, ...] = ()
        self.observers: tuple[RequestObserver, ...] = ()

    def set_extensions(self, extensions: tuple[Extension, ...]) -> None:
        """Replace the set of active extensions."""
        self.extensions = extensions
        self.observers = tuple(
            cast(RequestObserver, extension) for extension in extensions if extension.observes_requests
        )

    @property
    def extends_drain(self) -> bool:
        """Whether a drain lasts until the listener closes even if all requests are answered."""
        return any(extension.extends_drain for extension in self.extensions)

    def accepts_requests(self) -> bool:
        """Whether all observers accept new requests."""
        return all(observer.accepts_requests() for observer in self.observers)

    def has_pending_answers(self) -> bool:
        """Whether an observer still has answers to send."""
        return any(observer.has_pending_answers() for observer in self.observers)

    def drain_started(self, listener_closes_at: float) -> None:
        """Notify all extensions of a drain."""
        for extension in self.extensions:
            extension.notify(DrainStarted(listener_closes_at))

    def request_completed(self, completion: RequestCompletion) -> None:
        """Notify the observers of a completed request; only the first one gets the answer to send."""
        for observer in self.observers:
            observer.request_completed(completion)
            completion = completion._replace(client=None, answer=None)
