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
