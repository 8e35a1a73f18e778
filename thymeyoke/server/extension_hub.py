"""The extensions that an app server carries, as its dispatcher sees them."""

from __future__ import annotations

from typing import cast

from thymeyoke.runtime.extensions import DrainStarted, Extension, RequestCompletion, RequestObserver


class ExtensionHub:
    """Passes on what extensions are to know; with none of them it costs nothing."""

    def __init__(self) -> None:
        self.extensions: tuple[Extension, ...] = ()
        self.observers: tuple[RequestObserver, ...] = ()

    def set_extensions(self, extensions: tuple[Extension, ...]) -> None:
        """What the server carries from now on."""
        self.extensions = extensions
        self.observers = tuple(
            cast(RequestObserver, extension) for extension in extensions if extension.observes_requests
        )

    @property
    def extends_drain(self) -> bool:
        """Whether a drain lasts until the listener closes, though all is answered."""
        return any(extension.extends_drain for extension in self.extensions)

    def accepts_requests(self) -> bool:
        """Whether all observers let requests in."""
        return all(observer.accepts_requests() for observer in self.observers)

    def has_pending_answers(self) -> bool:
        """Whether an observer has answers that are still to be sent."""
        return any(observer.has_pending_answers() for observer in self.observers)

    def drain_started(self, listener_closes_at: float) -> None:
        """Notify all extensions of a drain."""
        for extension in self.extensions:
            extension.notify(DrainStarted(listener_closes_at))

    def request_completed(self, completion: RequestCompletion) -> None:
        """Notify observers of the end of a request; the first one gets the answer to send."""
        for observer in self.observers:
            observer.request_completed(completion)
            completion = completion._replace(client=None, answer=None)
