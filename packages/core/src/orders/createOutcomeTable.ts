import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
import type { SendGate } from '../dispatch/createSendGate.js';
import { createSendGate } from '../dispatch/createSendGate.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { OrderOutcome } from './OrderOutcome.js';

/** Order in the memory of the process that executes it. */
export interface OutcomeEntry {
  /** Keyed hash of the call, used to reject the same idempotency key with a different call. */
  readonly fingerprint: Fingerprint;
  readonly gate: SendGate;
  /** Outcome of the order; undefined while it is in flight. */
  outcome(): OrderOutcome | undefined;
  /** Waits for the outcome. Never rejects. */
  settled(): Promise<OrderOutcome>;
}

export interface OutcomeTableOptions {
  /** Monotonic time in milliseconds, used for the retention of outcomes. */
  readonly nowMs: () => number;
  readonly maxEntries: number;
  /** Maximum total size of all retained responses, in characters. */
  readonly maxAnswerChars: number;
  /** Minimum time an outcome is retained after the order ended, unless it is evicted. */
  readonly retentionMs: number;
  /** Whether the oldest outcome is evicted when the table is full. */
  readonly evictWhenFull: boolean;
}

export interface OutcomeTable {
  get(id: string): OutcomeEntry | undefined;
  /**
   * Starts an order with an id that is not in the table. Orders in flight are never removed;
   * outcomes are retained at least until `keepUntilMs` unless evicted. Returns undefined when the
   * table is full.
   */
  start(
    id: string,
    fingerprint: Fingerprint,
    keepUntilMs: number,
    run: (gate: SendGate) => Promise<OrderOutcome>,
  ): OutcomeEntry | undefined;
  /** Waits for all orders in flight. */
  close(): Promise<void>;
}

interface EntryState extends OutcomeEntry {
  keepUntilMs: number;
  answerChars: number;
}

/**
 * After an unexpected error it is not known whether the order was sent, so the outcome is unknown.
 */
async function toOutcome(running: Promise<OrderOutcome>): Promise<OrderOutcome> {
  try {
    return await running;
  } catch (cause) {
    return {
      kind: 'unknown',
      error: new OutcomeUnknownError('The order may have run.', { cause }),
    };
  }
}

const SWEEP_INTERVAL_MS = 1_000;

/** Creates the table of the orders that this process executes or has executed. */
export function createOutcomeTable(options: OutcomeTableOptions): OutcomeTable {
  const entries = new Map<string, EntryState>();
  let retainedChars = 0;
  let sweptAtMs = -Infinity;

  function remove(id: string, entry: EntryState): void {
    retainedChars -= entry.answerChars;
    entries.delete(id);
  }

  function sweep(): void {
    const nowMs = options.nowMs();
    if (nowMs - sweptAtMs >= SWEEP_INTERVAL_MS) {
      sweptAtMs = nowMs;
      [...entries]
        .filter(([, entry]) => entry.outcome() !== undefined && entry.keepUntilMs <= nowMs)
        .forEach(([id, entry]) => remove(id, entry));
    }
  }

  function ensureCapacity(): boolean {
    sweep();
    if (entries.size < options.maxEntries) {
      return true;
    }
    const oldest = options.evictWhenFull
      ? [...entries].find(([, entry]) => entry.outcome() !== undefined)
      : undefined;
    if (oldest !== undefined) {
      remove(...oldest);
    }
    return oldest !== undefined;
  }

  function limitRetainedAnswer(entry: EntryState, outcome: OrderOutcome): OrderOutcome {
    if (outcome.kind !== 'run' || outcome.answer === undefined) {
      return outcome;
    }
    const { length } = outcome.answer.body;
    if (retainedChars + length > options.maxAnswerChars) {
      return { kind: 'run', answer: undefined };
    }
    entry.answerChars = length;
    retainedChars += length;
    return outcome;
  }

  return {
    get: (id) => entries.get(id),
    start(id, fingerprint, keepUntilMs, run) {
      if (!ensureCapacity()) {
        return undefined;
      }
      const gate = createSendGate();
      let retained: OrderOutcome | undefined;
      let settled: Promise<OrderOutcome>;
      const entry: EntryState = {
        fingerprint,
        gate,
        keepUntilMs,
        answerChars: 0,
        outcome: () => retained,
        settled: () => settled,
      };
      entries.set(id, entry);
      settled = toOutcome(run(gate)).then((outcome) => {
        retained = limitRetainedAnswer(entry, outcome);
        entry.keepUntilMs = Math.max(keepUntilMs, options.nowMs() + options.retentionMs);
        // Later callers get the retained form, so that a response over the limit can be freed.
        settled = Promise.resolve(retained);
        return outcome;
      });
      return entry;
    },
    async close() {
      await Promise.all([...entries.values()].map((entry) => entry.settled()));
    },
  };
}
