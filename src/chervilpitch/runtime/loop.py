"""Control thread: the channel to other instances and the periodic ticks."""

import asyncio
import threading

from chervilpitch.limits import TOKEN_REQUEST_INTERVAL_S
from chervilpitch.model import Effect, Event, Record, Send
from chervilpitch.observe import Clock, part_logger
from chervilpitch.spread import ReadPlatform
from chervilpitch.transport.codec import Envelope
from chervilpitch.transport.peers import PeersChannel

from .control import Control
from .cores import Cores

__all__ = ["ControlLoop"]

log = part_logger("runtime")


class ControlLoop:
    """Run the control plane of one instance in its own thread.

    Parameters
    ----------
    cores : Cores
        The decision cores.
    control : Control
        Control plane.
    secret : bytes
        Secret shared by all instances.
    journal : Journal
        Stamps messages and records events.
    read : callable
        Executes each effect that reads the configuration service.
    probe : callable
        Starts the health probes that are due.
    upkeep : callable
        Closes unused connections to upstreams.
    """

    def __init__(
        self,
        cores: Cores,
        control: Control,
        secret: bytes,
        journal,
        read,
        probe,
        upkeep,
    ):
        self._cores = cores
        self._control = control
        self._journal = journal
        self._read = read
        self._probe = probe
        self._upkeep = upkeep
        self._channel = PeersChannel(secret, cores.own.name, self._receive)
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._is_listening = threading.Event()
        self._is_stopping = False

    @property
    def channel(self) -> PeersChannel:
        """Channel to other instances."""
        return self._channel

    def start(self) -> None:
        """Listen for other instances and start the ticks."""
        self._thread.start()
        self._is_listening.wait()

    def stop(self) -> None:
        """Stop the thread after the queued messages were sent."""
        self._is_stopping = True
        self._thread.join()

    def carry_out(self, effects: tuple[Effect, ...]) -> None:
        """Execute effects; may be called from any thread.

        Parameters
        ----------
        effects : tuple of Effect
            Effects returned by a decision.
        """
        sends = [effect for effect in effects if isinstance(effect, Send)]
        if sends:
            self._loop.call_soon_threadsafe(self._send_all, sends)
        for effect in effects:
            if isinstance(effect, Record):
                self._journal.record(effect.event)
            elif isinstance(effect, ReadPlatform):
                self._read(effect)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._serve())

    async def _serve(self):
        await self._channel.listen(self._cores.own.peers_address)
        self._is_listening.set()
        while not self._is_stopping:
            self._run_due_steps()
            await asyncio.sleep(TOKEN_REQUEST_INTERVAL_S)
        await asyncio.sleep(TOKEN_REQUEST_INTERVAL_S)
        await self._channel.close()

    def _run_due_steps(self):
        """Run every step, also after one has failed."""
        steps = (
            self._control.tick,
            self._probe,
            self._upkeep,
            self._forget_connections,
        )
        for step in steps:
            try:
                step()
            except Exception as failure:
                log.exception("A step of the control loop failed; it runs again later.")
                detail = type(failure).__name__
                event = Event("runtime", "step-failed", step.__qualname__, detail)
                self._journal.record(event)

    def _forget_connections(self):
        instances = self._control.instances.values()
        self._channel.close_unused(frozenset(item.peers_address for item in instances))

    def _send_all(self, sends):
        for effect in sends:
            peer = self._control.instances.get(effect.to)
            if peer is not None:
                envelope = self._build_envelope(effect)
                self._channel.send(peer.peers_address, envelope)

    def _build_envelope(self, effect):
        clock = self._journal.clock_for_message()
        return Envelope(
            self._cores.sender, effect.to, clock.wall_ns, clock.count, effect.message
        )

    def _receive(self, envelope):
        remote = Clock(envelope.wall_ns, envelope.logical)
        self._journal.merge_clock(remote, envelope.sender.name)
        self._control.receive(envelope.message, envelope.sender)
