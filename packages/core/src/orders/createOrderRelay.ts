import { BodyTooLargeError } from '../errors/BodyTooLargeError.js';
import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
import { deserializeRequestError } from '../errors/deserializeRequestError.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import { requireService } from '../gateway/requireService.js';
import type { HostId } from '../ids/HostId.js';
import type { PeerDescription } from '../membership/PeerDescription.js';
import type { Clock } from '../ports/Clock.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';
import type { RelayedOrder } from './RelayedOrder.js';

export interface OrderRelayOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly self: ExecutorIdentity;
  readonly peerClient: PeerClient;
  readonly findPeer: (hostId: HostId) => PeerDescription | undefined;
}

/** Relays an order to the issuer of its permit. Rejects with a `RequestError`. */
export type OrderRelay = (
  request: ServiceRequest,
  permit: string,
  issuerId: HostId,
) => Promise<ServiceAnswer>;

/** Largest relayed body in its JSON form, below the body limit of the peer listener. */
const MAX_RELAYED_CHARS = 1_000_000;
const RELAY_MARGIN_MS = 2_000;

/** Creates the relay of orders to another entry host of the region. */
export function createOrderRelay(options: OrderRelayOptions): OrderRelay {
  const { clock, self } = options;

  function relayTimeoutMs(request: ServiceRequest, deadlineMs: number | undefined): number {
    const { timeouts, retry } = request.context.settings;
    const connectMs = timeouts.connectTimeoutMs * retry.maxAttempts;
    const longestMs = connectMs + requireService(request).answerTimeoutMs;
    return Math.min(longestMs, deadlineMs ?? longestMs) + RELAY_MARGIN_MS;
  }

  return async (request, permit, issuerId) => {
    const { context, serviceName, method, path, contentType, body } = request;
    const issuer = options.findPeer(issuerId);
    if (issuer === undefined || issuer.regionId !== self.regionId) {
      throw new OutcomeUnknownError(
        'The entry host that issued the permit is not known in this region.',
      );
    }
    if (JSON.stringify(body ?? '').length > MAX_RELAYED_CHARS) {
      throw new BodyTooLargeError(
        'The order is too large to be relayed; send it to the entry host that issued its permit.',
        {
          props: { details: { entryHostUrls: [issuer.callerUrl] } },
        },
      );
    }
    const { customerId, homeRegionId } = context;
    const elapsedMs = clock.monotonicMs() - context.receivedAtMs;
    const deadlineMs =
      context.deadlineMs === undefined
        ? undefined
        : Math.max(1, Math.floor(context.deadlineMs - elapsedMs));
    const order: RelayedOrder = {
      regionId: self.regionId,
      fromHostId: self.hostId,
      requestId: context.requestId,
      customerId,
      homeRegionId,
      permit,
      deadlineMs,
      serviceName,
      method,
      path,
      contentType,
      body,
    };
    const result = await options.peerClient
      .relayOrder(issuer.peerUrl, order, relayTimeoutMs(request, deadlineMs))
      .catch((cause: unknown) => {
        const error = cause instanceof Error ? cause.name : 'unknown';
        options.log.warn('order-relay-failed', { requestId: context.requestId, issuerId, error });
        const message =
          'The entry host that issued the permit did not respond; the order may have run.';
        throw new OutcomeUnknownError(message);
      });
    if (result.kind === 'refusal') {
      throw deserializeRequestError(result.error);
    }
    return result.answer;
  };
}
