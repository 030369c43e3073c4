import type { Clock, HostId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { StreamRecord } from './createStreamRecords.js';
import type { StreamAnswer, StreamQuery } from './streamMessages.js';

/** Hosts without an answer are asked again after this part of the timeout: datagrams get lost. */
const REPEAT_AFTER_RATIO = 0.5;

/** Question about one stream, or about a service. */
export interface StreamQuestion extends Pick<StreamQuery, 'stream' | 'service'> {
  readonly hosts: readonly HostRegistration[];
  /** Longest wait for answers. */
  readonly timeoutMs: number;
  /** Sends the query to a host. */
  readonly send: (host: HostRegistration) => void;
  /** Whether a record is taken; by default every one is. */
  readonly isWanted?: ((record: StreamRecord) => boolean) | undefined;
  /** Whether answers without a record suffice before all hosts have answered; never by default. */
  readonly isSufficient?: ((witnesses: StreamWitnesses) => boolean) | undefined;
}

/** The only version of the service that each of these hosts has seen; they have no record. */
export type StreamWitnesses = ReadonlyMap<HostId, SoftwareVersion>;

export interface StreamTestimony {
  /** Record of the stream, also if another service began it. */
  readonly record: StreamRecord | undefined;
  readonly witnesses: StreamWitnesses;
  /** Whether a host has seen several versions. */
  readonly isMixed: boolean;
}

interface RunningQuery {
  recordAnswer(answer: StreamAnswer): void;
}

/** Queries to other hosts for the versions of streams. */
export interface StreamQueries {
  /**
   * Asks the hosts together. Resolves with the first record; without one, once all hosts have answered,
   * when the time has elapsed, or when the signal aborts.
   */
  ask(question: StreamQuestion, signal: AbortSignal): Promise<StreamTestimony>;
  recordAnswer(answer: StreamAnswer): void;
}

/** Creates the queries of one host. */
export function createStreamQueries(clock: Clock): StreamQueries {
  const queries = new Map<string, Set<RunningQuery>>();
  const keyOf = ({ stream, service }: Pick<StreamQuery, 'stream' | 'service'>): string =>
    `${service}\n${stream ?? ''}`;

  async function wait(durationMs: number, signal: AbortSignal): Promise<undefined> {
    await clock.sleep(durationMs, signal).catch(() => undefined);
    return undefined;
  }

  return {
    async ask(question, signal) {
      const {
        hosts,
        send,
        timeoutMs,
        isWanted = () => true,
        isSufficient = () => false,
      } = question;
      let record: StreamRecord | undefined;
      const witnesses = new Map<HostId, SoftwareVersion>();
      let isMixed = false;
      const awaiting = new Map(hosts.map((host) => [host.id, host]));
      const ended = new AbortController();
      const stop = AbortSignal.any([signal, ended.signal]);
      const query: RunningQuery = {
        recordAnswer(answer) {
          if (!awaiting.delete(answer.from)) {
            return;
          }
          if (answer.record !== undefined && isWanted(answer.record)) {
            record ??= answer.record;
          }
          isMixed ||= answer.isMixed === true;
          // Another host may have the record of a version that this one has not seen.
          if (answer.singleVersion !== undefined) {
            witnesses.set(answer.from, answer.singleVersion);
          }
          if (record !== undefined || awaiting.size === 0 || isSufficient(witnesses)) {
            ended.abort();
          }
        },
      };
      const key = keyOf(question);
      const ofStream = queries.get(key) ?? new Set();
      queries.set(key, ofStream.add(query));
      try {
        awaiting.forEach(send);
        const repeatAfterMs = timeoutMs * REPEAT_AFTER_RATIO;
        if (awaiting.size > 0) {
          await wait(repeatAfterMs, stop);
        }
        if (awaiting.size > 0 && !stop.aborted) {
          awaiting.forEach(send);
          await wait(timeoutMs - repeatAfterMs, stop);
        }
        return { record, witnesses, isMixed };
      } finally {
        ofStream.delete(query);
        if (ofStream.size === 0) {
          queries.delete(key);
        }
      }
    },
    recordAnswer(answer) {
      queries.get(keyOf(answer))?.forEach((query) => query.recordAnswer(answer));
    },
  };
}
