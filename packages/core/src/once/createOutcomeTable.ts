import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
import type { SendGate } from '../dispatch/createSendGate.js';
import { createSendGate } from '../dispatch/createSendGate.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { OrderOutcome } from './OrderOutcome.js';

/** One order in the memory of the host that executes it. */
export interface OutcomeEntry {
  /** Keyed hash of the call, to refuse the same key with another call. */
  readonly fingerprint: Fingerprint;
  readonly gate: SendGate;
  /** Undefined while the order is in flight. */
  outcome(): OrderOutcome | undefined;
  /** Waits for the outcome. Never rejects. */
  settled(): Promise<OrderOutcome>;
}

export interface OutcomeTableOptions {
  /** Time that never goes back, in milliseconds; decides how long outcomes are kept. */
  readonly nowMs: () => number;
  readonly maxEntries: number;
  /** Bound of all kept answers together, in characters. */
  readonly maxAnswerChars: number;
  /** Least time an outcome is kept after the order ended. */
  readonly retentionMs: number;
  /** Whether the oldest outcome makes room when the table is full. */
  readonly evictWhenFull: boolean;
}

export interface OutcomeTable {
  get(id: string): OutcomeEntry | undefined;
  /**
   * Starts an order under an id that is not in the table. Orders in flight are never removed;
   * outcomes stay at least until `keepUntilMs`. Resolves to undefined when the table is full.
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

/** A failure of the machinery itself leaves open whether the order was sent. */
async function settle(running: Promise<OrderOutcome>): Promise<OrderOutcome> {
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
  let keptChars = 0;
  let sweptAtMs = -Infinity;

  function remove(id: string, entry: EntryState): void {
    keptChars -= entry.answerChars;
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

  function makeRoom(): boolean {
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

  function withinBounds(entry: EntryState, outcome: OrderOutcome): OrderOutcome {
    if (outcome.kind !== 'run' || outcome.answer === undefined) {
      return outcome;
    }
    const { length } = outcome.answer.body;
    if (keptChars + length > options.maxAnswerChars) {
      return { kind: 'run', answer: undefined };
    }
    entry.answerChars = length;
    keptChars += length;
    return outcome;
  }

  return {
    get: (id) => entries.get(id),
    start(id, fingerprint, keepUntilMs, run) {
      if (!makeRoom()) {
        return undefined;
      }
      const gate = createSendGate();
      let kept: OrderOutcome | undefined;
      let settled: Promise<OrderOutcome>;
      const entry: EntryState = {
        fingerprint,
        gate,
        keepUntilMs,
        answerChars: 0,
        outcome: () => kept,
        settled: () => settled,
      };
      entries.set(id, entry);
      settled = settle(run(gate)).then((outcome) => {
        kept = withinBounds(entry, outcome);
        entry.keepUntilMs = Math.max(keepUntilMs, options.nowMs() + options.retentionMs);
        // Later callers get the kept form, so that an answer that is not kept can be freed.
        settled = Promise.resolve(kept);
        return outcome;
      });
      return entry;
    },
    async close() {
      await Promise.all([...entries.values()].map((entry) => entry.settled()));
    },
  };
}
