import type { Clock, HostId } from '@camphorbarrow/core';
import type { AttemptId } from '../model/AttemptId.js';
import type { HostRegistration } from '../model/HostRegistration.js';
import type { StreamRecord } from './createStreamRecords.js';

/** Longest wait for answers; covers two round trips between regions. */
const QUERY_TIMEOUT_MS = 400;
/** Time after which hosts without an answer are asked again, because datagrams get lost. */
const REPEAT_AFTER_MS = 200;

interface Query {
  /** Hosts that have not answered. */
  readonly awaiting: Map<HostId, HostRegistration>;
  readonly result: Promise<StreamRecord | undefined>;
  settle(record: StreamRecord | undefined): void;
}

export interface StreamQueriesOptions {
  readonly clock: Clock;
  readonly sendQuery: (stream: AttemptId, host: HostRegistration) => void;
}

/** Queries to other hosts for the records of streams. */
export interface StreamQueries {
  /**
   * Asks the hosts together. Resolves with the first record; undefined if none has one, if the others
   * do not answer in time, or if the signal aborts.
   */
  ask(
    stream: AttemptId,
    hosts: readonly HostRegistration[],
    signal: AbortSignal,
  ): Promise<StreamRecord | undefined>;
  recordAnswer(from: HostId, stream: AttemptId, record: StreamRecord | undefined): void;
}

/** Creates the queries of one host. */
export function createStreamQueries({ clock, sendQuery }: StreamQueriesOptions): StreamQueries {
  const queries = new Map<AttemptId, Query>();

  function start(stream: AttemptId, hosts: readonly HostRegistration[]): Query {
    let settle = (_record: StreamRecord | undefined): void => undefined;
    const result = new Promise<StreamRecord | undefined>((resolve) => {
      settle = resolve;
    });
    const query = { awaiting: new Map(hosts.map((host) => [host.id, host])), result, settle };
    queries.set(stream, query);
    void result.then(() => queries.delete(stream));
    return query;
  }

  const sendAll = (stream: AttemptId, { awaiting }: Query): void =>
    awaiting.forEach((host) => sendQuery(stream, host));

  async function wait(durationMs: number, signal: AbortSignal): Promise<undefined> {
    await clock.sleep(durationMs, signal).catch(() => undefined);
    return undefined;
  }

  return {
    async ask(stream, hosts, signal) {
      const running = queries.get(stream);
      if (running !== undefined) {
        return Promise.race([running.result, wait(QUERY_TIMEOUT_MS, signal)]);
      }
      if (hosts.length === 0) {
        return undefined;
      }
      const query = start(stream, hosts);
      const ended = new AbortController();
      const stop = AbortSignal.any([signal, ended.signal]);
      void query.result.then(() => ended.abort());
      sendAll(stream, query);
      await Promise.race([query.result, wait(REPEAT_AFTER_MS, stop)]);
      if (!stop.aborted) {
        sendAll(stream, query);
        await Promise.race([query.result, wait(QUERY_TIMEOUT_MS - REPEAT_AFTER_MS, stop)]);
      }
      query.settle(undefined);
      return query.result;
    },
    recordAnswer(from, stream, record) {
      const query = queries.get(stream);
      if (query?.awaiting.delete(from) !== true) {
        return;
      }
      if (record !== undefined || query.awaiting.size === 0) {
        query.settle(record);
      }
    },
  };
}
