import test from 'ava';
import { createManualClock } from '@camphorbarrow/core';
import {
  createLeavingServers,
  createRejectionLimits,
  createServerPauses,
  recordServerNotices,
} from '../../src/index.js';
import type { ResponseMetadata } from '../../src/index.js';
import { buildServer } from '../support/builders.js';
import { discardingMetrics, silentLog } from '../support/silentSinks.js';

const server = buildServer();
const metadata: ResponseMetadata = {
  attemptId: 'a',
  serverId: undefined,
  sealed: false,
  notRun: false,
  encoded: false,
  load: undefined,
  leaving: false,
  retryAfterMs: 3_000,
  requestsPerSecond: undefined,
  maxRejectionsPerSecond: undefined,
};

test('only a rejection with 503 asks for a pause, whether or not the request has run', (t) => {
  const sinks = { clock: createManualClock(), log: silentLog, metrics: discardingMetrics };
  const context = {
    leavingServers: createLeavingServers(sinks),
    rejectionLimits: createRejectionLimits(sinks),
    serverPauses: createServerPauses(sinks),
  };
  [200, 429, 500].forEach((status) => recordServerNotices(context, server, { status, metadata }));
  t.is(context.serverPauses.remainingMs(server), 0);
  const withoutTime = { ...metadata, retryAfterMs: undefined };
  recordServerNotices(context, server, { status: 503, metadata: withoutTime });
  t.is(context.serverPauses.remainingMs(server), 0);
  recordServerNotices(context, server, { status: 503, metadata });
  t.is(context.serverPauses.remainingMs(server), 3_000);
  t.false(context.leavingServers.isLeaving(server));
});

// Responses to cache calls have no attempt id and come every second.
test('a limit on rejections ends only with a response to a request', (t) => {
  const sinks = { clock: createManualClock(), log: silentLog, metrics: discardingMetrics };
  const context = {
    leavingServers: createLeavingServers(sinks),
    rejectionLimits: createRejectionLimits(sinks),
    serverPauses: createServerPauses(sinks),
  };
  const record = (attemptId: string | undefined, maxRejectionsPerSecond: number | undefined) => {
    const response = { ...metadata, attemptId, maxRejectionsPerSecond };
    recordServerNotices(context, server, { status: 200, metadata: response });
    return context.rejectionLimits.limitOf(server);
  };
  t.is(record(undefined, 3), 3);
  t.is(record(undefined, undefined), 3);
  t.is(record('a', undefined), undefined);
});
