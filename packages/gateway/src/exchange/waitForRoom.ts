import type { WaitingRequest } from '../overload/createAdmissionQueue.js';
import { LATE_RANK } from '../overload/createOverloadControl.js';
import { toAdmissionRequest } from '../routing/toAdmissionRequest.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { toRoutingRequest } from './toRoutingRequest.js';

/** Part of the time left that a late request waits; its caller would return after as long at most. */
const LATE_WAIT_RATIO = 1 / 3;

const unknownRejection = { cause: 'full', roomInMs: 0 } as const;

/** Records that the request is rejected for overload, and books a return for its caller. */
function recordRejection(
  { clock, overload, returns, lateReturns, metrics }: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
): void {
  const { cause, roomInMs } = progress.overload ?? unknownRejection;
  const { route, service } = exchange;
  const remainingMs = exchange.deadlineAtMs - clock.monotonicMs();
  const request = toRoutingRequest(exchange, progress, remainingMs);
  const admissionRequest = toAdmissionRequest(request);
  if (progress.recordedSentAtMs !== undefined) {
    overload.retractSent(admissionRequest, progress.recordedSentAtMs);
  }
  overload.recordRejected(admissionRequest, cause);
  lateReturns.recordRejection(route);
  const { delayMs, isSlot } = returns.book({ service: service.name, roomInMs, remainingMs });
  progress.retryAfterMs = delayMs;
  metrics.increment('overload_rejections', {
    service: service.name,
    rank: String(route.rank),
    cause,
    return: isSlot ? 'slot' : 'spread',
  });
}

async function waitForTurn(
  { admissionQueue, metrics }: GatewayContext,
  progress: ExchangeProgress,
  request: WaitingRequest,
  startSignal: AbortSignal,
): Promise<boolean> {
  progress.waiting = request;
  const hasTurn = await admissionQueue.waitForTurn(request, startSignal);
  metrics.increment('admission_waits', {
    service: request.service,
    rank: String(request.rank),
    outcome: hasTurn ? 'turn' : 'none',
  });
  if (hasTurn) {
    progress.causes.pop();
  }
  return hasTurn;
}

/**
 * Called when no attempt could be prepared. Returns true if the request was rejected for overload and
 * has its turn to try again; the reason to stop is then no longer in the progress. A request that is
 * known to find no room within the time that it may wait does not wait. One that is rejected is
 * recorded, unless another host relayed it or a server may have run it. One that a neighbour relayed waits
 * like those of own callers: it may wait nowhere else. Without customers that compete for the servers,
 * nothing waits or is recorded.
 */
export async function waitForRoom(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  startSignal: AbortSignal,
): Promise<boolean> {
  const { relayedBy, isFromNeighbour, route, service, arrivedAtMs } = exchange;
  if (!context.controlsOverload()) {
    return false;
  }
  const isRelayed = relayedBy !== undefined;
  if (progress.stopCause !== 'overloaded' || (isRelayed && !isFromNeighbour) || progress.runs > 0) {
    return false;
  }
  const { overload } = progress;
  if ((overload?.cause === 'full' || overload?.cause === 'late') && overload.fitsWithoutQueue) {
    const { isLate, deadlineAtMs } = exchange;
    const request = progress.waiting ?? {
      service: service.name,
      rank: isLate ? LATE_RANK : route.rank,
      targetLatencyMs: route.targetLatencyMs,
      arrivedAtMs,
      ...(isLate && {
        latestAtMs: arrivedAtMs + (deadlineAtMs - arrivedAtMs) * LATE_WAIT_RATIO,
      }),
    };
    if (
      overload.roomInMs <= context.admissionQueue.remainingMs(request) &&
      (await waitForTurn(context, progress, request, startSignal))
    ) {
      return true;
    }
  }
  if (!startSignal.aborted && !isRelayed) {
    recordRejection(context, exchange, progress);
  }
  return false;
}
