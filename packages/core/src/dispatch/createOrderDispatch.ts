import { BackendFailedError } from '../errors/BackendFailedError.js';
import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import { NoServerError } from '../errors/NoServerError.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import type { ServerRegistry } from '../membership/createServerRegistry.js';
import type { OrderOutcome } from '../orders/OrderOutcome.js';
import type { LogSink } from '../ports/LogSink.js';
import type { RandomSource } from '../ports/RandomSource.js';
import type { ServiceClient } from '../ports/ServiceClient.js';
import type { ServerView } from '../routing/ServerView.js';
import { chooseServiceServer } from './chooseServiceServer.js';
import type { SendGate } from './createSendGate.js';
import { toServiceCall } from './toServiceCall.js';

export interface OrderDispatchOptions {
  readonly random: RandomSource;
  readonly log: LogSink;
  readonly registry: ServerRegistry;
  readonly serviceClient: ServiceClient;
}

/** Sends one order at most once, as enforced by `gate`. Never rejects. */
export type OrderDispatch = (request: ServiceRequest, gate: SendGate) => Promise<OrderOutcome>;

function toNotRunOutcome(gate: SendGate, triedServerCount: number): OrderOutcome {
  if (gate.state() === 'abandoned') {
    const message = 'The order was abandoned before it was sent.';
    return {
      kind: 'not-run',
      error: new DeadlineExceededError(message, { props: { outcome: 'not-run' } }),
    };
  }
  if (triedServerCount === 0) {
    return { kind: 'not-run', error: new NoServerError('No live backend server accepts orders.') };
  }
  const message = 'No connection to a backend server could be established.';
  return {
    kind: 'not-run',
    error: new BackendFailedError(message, { props: { outcome: 'not-run' } }),
  };
}

/**
 * Creates the dispatch of orders. Another server is tried only while the order has certainly not
 * been sent.
 */
export function createOrderDispatch(options: OrderDispatchOptions): OrderDispatch {
  const { registry, log } = options;

  async function attempt(
    request: ServiceRequest,
    server: ServerView,
    gate: SendGate,
  ): Promise<OrderOutcome | undefined> {
    const reservation = registry.reserve(server.entry.serverId, 0);
    try {
      const response = await options.serviceClient.call(
        toServiceCall(request, server, {
          freshConnection: true,
          onBeforeSend: gate.startAttempt(),
        }),
        gate.signal,
      );
      gate.markAnswered();
      return { kind: 'run', answer: response };
    } catch (cause) {
      const sent = gate.state() === 'possibly-sent';
      log.warn('order-attempt-failed', {
        requestId: request.context.requestId,
        serverId: server.entry.serverId,
        sent,
        error: cause instanceof Error ? cause.name : 'unknown',
      });
      if (cause instanceof ConnectFailedError) {
        registry.markUnreachable(server.entry.serverId);
      }
      if (!sent) {
        return undefined;
      }
      const message = 'The service did not respond; the order may have run.';
      return { kind: 'unknown', error: new BackendFailedError(message) };
    } finally {
      reservation.release();
    }
  }

  return async (request, gate) => {
    const tried = new Set<string>();
    while (gate.state() === 'not-sent' && tried.size < request.context.settings.retry.maxAttempts) {
      const server = chooseServiceServer(registry, request.serviceName, tried, options.random);
      if (server === undefined) {
        break;
      }
      tried.add(server.entry.serverId);
      const outcome = await attempt(request, server, gate);
      if (outcome !== undefined) {
        return outcome;
      }
    }
    const outcome = toNotRunOutcome(gate, tried.size);
    gate.abandon();
    return outcome;
  };
}
