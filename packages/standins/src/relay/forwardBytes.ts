import { EventEmitter, once } from 'node:events';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import type { RelayEndpoint } from './RelayOptions.js';
import type { RelayRules } from './createRelayRules.js';

export interface ForwardBytesOptions {
  readonly source: Socket;
  readonly destination: Promise<Socket>;
  readonly from: RelayEndpoint;
  readonly to: RelayEndpoint;
  readonly rules: RelayRules;
  readonly record: (chunk: Buffer) => void;
  readonly isSilenced: () => boolean;
  readonly signal: AbortSignal;
}

interface QueuedChunk {
  readonly dueAtMs: number;
  /** Undefined for the end of the stream. */
  readonly chunk: Buffer | undefined;
}

/** Limit of the bytes queued in one direction of a connection: 80 ms at 1.5 Gbit/s, rounded up. */
const MAX_IN_FLIGHT_BYTES = 16_777_216;

/**
 * Forwards one direction of a connection, each chunk after the delay that applied when the chunk
 * arrived.
 */
export async function forwardBytes(options: ForwardBytesOptions): Promise<void> {
  const { source, from, to, rules, signal } = options;
  const queue: QueuedChunk[] = [];
  let queuedBytes = 0;
  const arrivals = new EventEmitter();

  function enqueue(chunk: Buffer | undefined): void {
    if (options.isSilenced()) {
      return;
    }
    queue.push({ dueAtMs: performance.now() + rules.delayMs(from, to), chunk });
    queuedBytes += chunk?.length ?? 0;
    if (queuedBytes > MAX_IN_FLIGHT_BYTES) {
      source.pause();
    }
    arrivals.emit('item');
  }

  async function nextItem(): Promise<QueuedChunk> {
    signal.throwIfAborted();
    while (queue.length === 0) {
      await once(arrivals, 'item', { signal });
    }
    return queue.shift() as QueuedChunk;
  }

  source.on('data', (chunk: Buffer) => {
    options.record(chunk);
    enqueue(chunk);
  });
  source.on('end', () => enqueue(undefined));
  const destination = await options.destination;
  for (let item = await nextItem(); ; item = await nextItem()) {
    const waitMs = Math.ceil(item.dueAtMs - performance.now());
    if (waitMs > 0) {
      await delay(waitMs, undefined, { signal });
    }
    await rules.waitUntilOpen(from, to, signal);
    if (options.isSilenced()) {
      return;
    }
    if (item.chunk === undefined) {
      destination.end();
      return;
    }
    queuedBytes -= item.chunk.length;
    source.resume();
    if (!destination.write(item.chunk)) {
      await once(destination, 'drain', { signal });
    }
  }
}
