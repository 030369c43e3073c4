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

interface Item {
  readonly dueAtMs: number;
  /** Undefined for the end of the stream. */
  readonly chunk: Buffer | undefined;
}

/** Bytes in flight on one direction of a connection: 80 ms at 1.5 Gbit/s, rounded up. */
const MAX_IN_FLIGHT_BYTES = 16_777_216;

/** Passes one direction of a connection on, each chunk after the delay that holds on its arrival. */
export async function forwardBytes(options: ForwardBytesOptions): Promise<void> {
  const { source, from, to, rules, signal } = options;
  const queue: Item[] = [];
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

  async function nextItem(): Promise<Item> {
    signal.throwIfAborted();
    while (queue.length === 0) {
      await once(arrivals, 'item', { signal });
    }
    return queue.shift() as Item;
  }

  source.on('data', (chunk: Buffer) => {
    options.record(chunk);
    enqueue(chunk);
  });
  source.on('end', () => enqueue(undefined));
  const sink = await options.destination;
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
      sink.end();
      return;
    }
    queuedBytes -= item.chunk.length;
    source.resume();
    if (!sink.write(item.chunk)) {
      await once(sink, 'drain', { signal });
    }
  }
}
