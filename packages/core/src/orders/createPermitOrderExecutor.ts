import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
import { DrainingError } from '../errors/DrainingError.js';
import { IdempotencyKeyReusedError } from '../errors/IdempotencyKeyReusedError.js';
import { InvalidPermitError } from '../errors/InvalidPermitError.js';
import { OverloadedError } from '../errors/OverloadedError.js';
import { PermitExpiredError } from '../errors/PermitExpiredError.js';
import { WrongRegionError } from '../errors/WrongRegionError.js';
import { serializeRequestError } from '../errors/serializeRequestError.js';
import { deserializeRequestError } from '../errors/deserializeRequestError.js';
import type { OrderDispatch } from '../dispatch/createOrderDispatch.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import type { CustomerId } from '../ids/CustomerId.js';
import type { Clock } from '../ports/Clock.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import type { OrderOutcome } from './OrderOutcome.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';
import { requireAnswer } from './requireAnswer.js';
import { createOutcomeTable } from './createOutcomeTable.js';
import { createPermitCodec } from './createPermitCodec.js';
import type { Permit } from './createPermitCodec.js';
import type { OrderRelay } from './createOrderRelay.js';
import { orderFingerprint } from './orderFingerprint.js';
import { waitForOutcome } from './waitForOutcome.js';

export interface PermitOrderExecutorOptions {
  readonly clock: Clock;
  readonly self: ExecutorIdentity;
  readonly recordKey: string;
  readonly dispatchOrder: OrderDispatch;
  readonly relayOrder: OrderRelay;
  /** Base URLs of a region's entry hosts, returned when a permit belongs to that region. */
  readonly entryHostUrls: (regionId: Permit['regionId']) => readonly string[];
  /** Maximum number of orders in memory. @default 20000 */
  readonly maxEntries?: number;
}

export interface IssuedPermits {
  readonly permits: readonly string[];
  /** Time from issue to expiry. */
  readonly validForMs: number;
}

export interface PermitOrderExecutor {
  isPermit(key: string): boolean;
  issue(customerId: CustomerId, count: number): IssuedPermits;
  /**
   * Executes an order whose permit this process issued; relays any other order to the issuer of
   * its permit. Rejects with a `RequestError`.
   *
   * @param relayed whether a peer relayed the order; a relayed order is never relayed again
   */
  execute(request: ServiceRequest, key: string, relayed: boolean): Promise<ServiceAnswer>;
  /** Starts no further order, and waits for those that run. Known outcomes are still given. */
  close(): Promise<void>;
}

const PERMIT_LIFETIME_MS = 600_000;
const OUTCOME_RETENTION_MS = 600_000;
const MAX_ENTRIES = 20_000;
const MAX_ANSWER_CHARS = 4_194_304;

/** Marks "not run" as final: once a permit has this outcome, no resend of it can run the order. */
function markFinal(outcome: OrderOutcome): OrderOutcome {
  if (outcome.kind !== 'not-run') {
    return outcome;
  }
  const serialized = serializeRequestError(outcome.error);
  const details = { ...serialized.details, finalForKey: true };
  return { kind: 'not-run', error: deserializeRequestError({ ...serialized, details }) };
}

/**
 * Creates the executor of orders with permits. Orders with a permit of this process are
 * deduplicated in its memory alone, without the key-value service.
 */
export function createPermitOrderExecutor(
  options: PermitOrderExecutorOptions,
): PermitOrderExecutor {
  const { clock, self } = options;
  const codec = createPermitCodec({ recordKey: options.recordKey, self });
  const monotonicOriginMs = clock.nowMs() - clock.monotonicMs();
  // Issue, expiry and outcome removal share one monotonic clock: a wall clock that is set back
  // would make an expired permit valid again after its outcome was removed.
  const orderNowMs = (): number => monotonicOriginMs + clock.monotonicMs();
  const table = createOutcomeTable({
    nowMs: orderNowMs,
    maxEntries: options.maxEntries ?? MAX_ENTRIES,
    maxAnswerChars: MAX_ANSWER_CHARS,
    retentionMs: OUTCOME_RETENTION_MS,
    evictWhenFull: false,
  });
  let isClosed = false;

  async function executeLocally(
    request: ServiceRequest,
    key: string,
    permit: Permit,
  ): Promise<ServiceAnswer> {
    const fingerprint = orderFingerprint(options.recordKey, request);
    const existing = table.get(key);
    if (existing === undefined && orderNowMs() >= permit.expiresAtMs) {
      throw new PermitExpiredError(
        'The order permit has expired; an earlier request with it may have run.',
      );
    }
    if (existing === undefined && isClosed) {
      throw new DrainingError('The entry host that issued the permit is shutting down.', {
        props: { details: { finalForKey: true } },
      });
    }
    const entry =
      existing ??
      table.start(key, fingerprint, permit.expiresAtMs, (gate) =>
        options.dispatchOrder(request, gate),
      );
    if (entry === undefined) {
      throw new OverloadedError('The order table of this entry host is full.', {
        props: { retryAfterMs: 1_000 },
      });
    }
    if (entry.fingerprint !== fingerprint) {
      throw new IdempotencyKeyReusedError('The permit was used before with a different call.');
    }
    const isFirst = existing === undefined;
    const outcome = await waitForOutcome(clock, request.context, entry, () => isFirst);
    return requireAnswer(markFinal(outcome));
  }

  return {
    isPermit: codec.isPermit,
    issue(customerId, count) {
      const expiresAtMs = orderNowMs() + PERMIT_LIFETIME_MS;
      return {
        permits: Array.from({ length: count }, () => codec.issue(customerId, expiresAtMs)),
        validForMs: PERMIT_LIFETIME_MS,
      };
    },
    async execute(request, key, relayed) {
      if (!codec.isPermit(key)) {
        throw new InvalidPermitError('Only orders with a permit are relayed.');
      }
      const permit = codec.read(key, request.context.customerId);
      if (permit.regionId !== self.regionId) {
        throw new WrongRegionError(`The permit belongs to region ${permit.regionId}.`, {
          props: {
            details: {
              homeRegion: permit.regionId,
              entryHostUrls: options.entryHostUrls(permit.regionId),
            },
          },
        });
      }
      if (permit.hostId === self.hostId && permit.incarnation === self.incarnation) {
        return executeLocally(request, key, permit);
      }
      if (relayed || permit.hostId === self.hostId) {
        throw new OutcomeUnknownError('The process that issued the permit has ended.');
      }
      return options.relayOrder(request, key, permit.hostId);
    },
    close() {
      isClosed = true;
      return table.close();
    },
  };
}
