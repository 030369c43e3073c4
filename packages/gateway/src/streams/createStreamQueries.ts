import type { Clock, HostId } from '@camphorbarrow/core';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { StreamAnswer, StreamQuery } from './streamMessages.js';

/** Longest wait for answers; covers two round trips between regions. */
const QUERY_TIMEOUT_MS = 400;
/** Time after which hosts without an answer are asked again, because datagrams get lost. */
const REPEAT_AFTER_MS = 200;

/** Question about one stream, or about a service. */
export interface StreamQuestion extends Pick<StreamQuery, 'stream' | 'service'> {
  readonly hosts: readonly HostRegistration[];
  /** Sends the query to a host. */
  readonly send: (host: HostRegistration) => void;
  /** Reads the version from an answer; undefined if it does not tell. */
  readonly read: (answer: StreamAnswer) => SoftwareVersion | undefined;
}

interface RunningQuery {
  /** Hosts that have not answered. */
  readonly awaiting: Map<HostId, HostRegistration>;
  readonly read: StreamQuestion['read'];
  settle(version: SoftwareVersion | undefined): void;
}

/** Queries to other hosts for the versions of streams. */
export interface StreamQueries {
  /**
   * Asks the hosts together. Resolves with the first version; undefined if none tells one, if the
   * others do not answer in time, or if the signal aborts.
   */
  ask(question: StreamQuestion, signal: AbortSignal): Promise<SoftwareVersion | undefined>;
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
      const { hosts, send, read } = question;
      if (hosts.length === 0) {
        return undefined;
      }
      const awaiting = new Map(hosts.map((host) => [host.id, host]));
      const ended = new AbortController();
      const stop = AbortSignal.any([signal, ended.signal]);
      let found: SoftwareVersion | undefined;
      const query: RunningQuery = {
        awaiting,
        read,
        settle(version) {
          found = version;
          ended.abort();
        },
      };
      const key = keyOf(question);
      const ofStream = queries.get(key) ?? new Set();
      queries.set(key, ofStream.add(query));
      try {
        awaiting.forEach(send);
        await wait(REPEAT_AFTER_MS, stop);
        if (!stop.aborted) {
          awaiting.forEach(send);
          await wait(QUERY_TIMEOUT_MS - REPEAT_AFTER_MS, stop);
        }
        return found;
      } finally {
        ofStream.delete(query);
        if (ofStream.size === 0) {
          queries.delete(key);
        }
      }
    },
    recordAnswer(answer) {
      queries.get(keyOf(answer))?.forEach(({ awaiting, read, settle }) => {
        if (!awaiting.delete(answer.from)) {
          return;
        }
        const version = read(answer);
        if (version !== undefined || awaiting.size === 0) {
          settle(version);
        }
      });
    },
  };
}
