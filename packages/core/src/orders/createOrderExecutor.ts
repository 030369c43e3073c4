import type { OrderDispatch } from '../dispatch/createOrderDispatch.js';
import { InvalidHeaderError } from '../errors/InvalidHeaderError.js';
import { serializeRequestError } from '../errors/serializeRequestError.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import { requireService } from '../gateway/requireService.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { HostId } from '../ids/HostId.js';
import type { RegionId } from '../ids/RegionId.js';
import type { PeerDescription } from '../membership/PeerDescription.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValueStore } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import { headerNames } from '../requests/headerNames.js';
import type { ClaimQuery, ClaimStatus } from './ClaimStatus.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';
import type { RelayResult } from './RelayedOrder.js';
import { createClaimOrderExecutor } from './createClaimOrderExecutor.js';
import { createClaimResolver } from './createClaimResolver.js';
import { createClaimStore } from './createClaimStore.js';
import { createOrderRelay } from './createOrderRelay.js';
import { createPermitOrderExecutor } from './createPermitOrderExecutor.js';
import type { IssuedPermits } from './createPermitOrderExecutor.js';

export interface OrderExecutorOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly self: ExecutorIdentity;
  /** HMAC key of fingerprints and permits, shared by all entry hosts. */
  readonly recordKey: string;
  readonly store: KeyValueStore;
  readonly peerClient: PeerClient;
  readonly findPeer: (hostId: HostId) => PeerDescription | undefined;
  readonly entryHostUrls: (regionId: RegionId) => readonly string[];
  readonly dispatchOrder: OrderDispatch;
  readonly hasServer: (request: ServiceRequest) => boolean;
}

export interface OrderExecutor {
  issuePermits(customerId: CustomerId, count: number): IssuedPermits;
  /** Executes a non-repeatable service call at most once. Rejects with a `RequestError`. */
  execute(request: ServiceRequest): Promise<ServiceAnswer>;
  /** Executes an order that a peer relayed to this process as the issuer of its permit. */
  executeRelayed(request: ServiceRequest): Promise<RelayResult>;
  /** Returns the status of a claim of this process to a peer. */
  claimStatus(query: ClaimQuery): Promise<ClaimStatus>;
  /** Waits for all orders in flight, including those whose callers have disconnected. */
  close(): Promise<void>;
}

/** Creates the executor of orders, each of which runs at most once (docs/orders.md). */
export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
  const permitOrders = createPermitOrderExecutor({
    ...options,
    relayOrder: createOrderRelay(options),
  });
  const claimOrders = createClaimOrderExecutor({
    ...options,
    claimStore: createClaimStore(options),
    resolveClaim: createClaimResolver({
      ...options,
      ownClaimStatus: (query) => claimOrders.claimStatus(query),
    }),
  });

  function requireIdempotencyKey(request: ServiceRequest): string {
    const { idempotencyKey } = request.context;
    if (idempotencyKey === undefined) {
      throw new InvalidHeaderError(
        `This call is not repeatable and requires the ${headerNames.idempotencyKey} header, preferably with a permit from POST /v1/order-permits.`,
      );
    }
    return idempotencyKey;
  }

  return {
    issuePermits: permitOrders.issue,
    async execute(request) {
      const key = requireIdempotencyKey(request);
      requireService(request);
      return permitOrders.isPermit(key)
        ? permitOrders.execute(request, key, false)
        : claimOrders.execute(request, key);
    },
    async executeRelayed(request) {
      try {
        requireService(request);
        const answer = await permitOrders.execute(request, requireIdempotencyKey(request), true);
        return { kind: 'answer', answer };
      } catch (cause) {
        return { kind: 'refusal', error: serializeRequestError(cause) };
      }
    },
    claimStatus: claimOrders.claimStatus,
    async close() {
      await Promise.all([permitOrders.close(), claimOrders.close()]);
    },
  };
}
