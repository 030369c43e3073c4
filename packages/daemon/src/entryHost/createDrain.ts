import { DrainingError } from '@camphorbarrow/core';
import type { Clock, HostSettings, LogSink, PeerDescription } from '@camphorbarrow/core';

export interface DrainOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly settings: HostSettings['drain'];
}

/** The part of a listener that a drain waits for. */
export interface Drainable {
  inFlight(): number;
  idle(): Promise<void>;
}

export interface Drain {
  state(): PeerDescription['state'];
  /**
   * @param deadlineAtMs monotonic time by which the request ends, when it is known
   * @throws DrainingError when new requests are rejected, or this one may end after the drain
   */
  requireAccepting(deadlineAtMs?: number): void;
  /**
   * Announces the shutdown, serves new requests while callers are steered to other entry hosts,
   * then rejects new ones and waits for those in flight.
   */
  run(listener: Drainable, announce: () => Promise<void>): Promise<void>;
}

/** Creates the graceful shutdown of an entry host. */
export function createDrain(options: DrainOptions): Drain {
  const { clock, log, settings } = options;
  let state: PeerDescription['state'] = 'live';
  let isRejecting = false;
  /** Monotonic time at which connections are closed, with requests in flight if need be. */
  let closesAtMs = Infinity;

  /** Resolves after `maxDrainMs`; never when it is not set. */
  async function waitForMaxDrain(signal: AbortSignal): Promise<void> {
    if (settings.maxDrainMs === undefined) {
      await new Promise(() => {});
    } else {
      await clock.sleep(settings.maxDrainMs, signal).catch(() => undefined);
    }
  }

  return {
    state: () => state,
    requireAccepting(deadlineAtMs) {
      if (isRejecting || (deadlineAtMs !== undefined && deadlineAtMs > closesAtMs)) {
        throw new DrainingError('This entry host is shutting down; use another one.');
      }
    },
    async run(listener, announce) {
      state = 'draining';
      closesAtMs = clock.monotonicMs() + settings.steerMs + (settings.maxDrainMs ?? Infinity);
      log.info('draining', { inFlight: listener.inFlight() });
      await announce();
      await clock.sleep(settings.steerMs);
      isRejecting = true;
      const stop = new AbortController();
      await Promise.race([listener.idle(), waitForMaxDrain(stop.signal)]);
      stop.abort();
      log.info('drained', { inFlight: listener.inFlight() });
    },
  };
}
