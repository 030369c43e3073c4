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
  /** @throws DrainingError when new requests are rejected */
  requireAccepting(): void;
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
    requireAccepting() {
      if (isRejecting) {
        throw new DrainingError('This entry host is shutting down; use another one.');
      }
    },
    async run(listener, announce) {
      state = 'draining';
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
