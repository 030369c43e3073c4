import type { PromptPartKey } from '@camphorbarrow/core';
import type { ServerState } from '../model/ServerState.js';
import type { LocalChoice } from '../routing/Destination.js';
import type { AttemptResult } from './AttemptResult.js';
import type { Exchange } from './Exchange.js';
import type { GatewayContext } from './GatewayContext.js';

export interface ServerAttempt {
  readonly context: GatewayContext;
  readonly exchange: Exchange;
  readonly destination: LocalChoice;
}

export interface SentAttempt {
  readonly sentAtMs: number;
  /** Whether the request was a suspect of a crash when it was sent. */
  readonly wasSuspect: boolean;
  /** Prompt parts that were suspected when the request was sent. */
  readonly trialParts: readonly PromptPartKey[];
}

/** Records a loss of the server, unless this host lost its links to all servers. */
async function recordUnreachable(
  { serverLinks, health, crashGuard }: GatewayContext,
  server: ServerState,
  isRefused: boolean | undefined,
): Promise<void> {
  if ((await serverLinks.recordFailure(server, isRefused)) === 'cut-off') {
    crashGuard.forget(server);
  } else {
    health.recordUnreachable(server.incarnation);
    crashGuard.recordServerGone(server);
  }
}

async function recordSilence(
  { serverLinks, health, outcomes }: GatewayContext,
  server: ServerState,
  sentAtMs: number,
): Promise<void> {
  if ((await serverLinks.check(server)) !== 'cut-off') {
    outcomes.record(server.registration.id, true);
    health.recordTimeout(server.incarnation, sentAtMs);
  }
}

/** Records what the result of an attempt says about its server and the request. */
export async function recordServerResult(
  { context, exchange, destination }: ServerAttempt,
  result: AttemptResult,
  { sentAtMs, wasSuspect, trialParts }: SentAttempt,
): Promise<void> {
  const { incarnation, registration } = destination.server;
  const recordOutcome = (hasFailed: boolean): void =>
    context.outcomes.record(registration.id, hasFailed);
  switch (result.kind) {
    case 'delivered':
      context.health.recordSuccess(incarnation);
      recordOutcome(false);
      context.crashGuard.recordCompletion(exchange.fingerprint);
      break;
    case 'failed-run':
      context.health.recordFailure(incarnation);
      recordOutcome(true);
      break;
    case 'unknown':
    case 'interrupted':
      if (result.cause === 'not-admitted') {
        break;
      }
      if (result.cause === 'out-of-order') {
        // The server runs; it crashed neither on the request nor on a part of its prompt.
        recordOutcome(true);
        break;
      }
      if (result.cause === 'silent') {
        context.serverConnections.closeIdle(incarnation);
        void recordSilence(context, destination.server, sentAtMs);
        break;
      }
      context.crashGuard.recordBrokenConnection(destination.server, {
        fingerprint: exchange.fingerprint(),
        wasSuspect,
        hasStarted: result.kind === 'interrupted',
        sharedParts: exchange.sharedPartKeys(),
        trialParts,
        isExcused: context.concurrencyShares.failsFromRejections(destination.server),
      });
      // A retry must not take what crashes servers to the next one.
      if (result.cause === 'broken' || result.cause === 'unconfirmed') {
        await context.crashGuard.investigate(destination.server);
      }
      if (context.serverLinks.isCutOff()) {
        context.crashGuard.forget(destination.server);
      } else {
        recordOutcome(true);
        context.health.recordFailure(incarnation);
      }
      break;
    case 'not-run':
      if (!result.reachedServer) {
        const recorded = recordUnreachable(context, destination.server, result.isRefused);
        // The request itself may crash servers; a refusal is judged at once.
        await (result.isRefused === true ? recorded : undefined);
      }
      break;
    case 'cancelled':
      break;
  }
}
