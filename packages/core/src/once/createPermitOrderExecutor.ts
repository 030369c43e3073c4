import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
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
  /** Base URLs of a region's entry hosts, named in the refusal of another region's permit. */
  readonly entryHostUrls: (regionId: Permit['regionId']) => readonly string[];
  /** Bound of the orders in memory. @default 20000 */
  readonly maxEntries?: number;
}

export interface IssuedPermits {
  readonly permits: readonly string[];
  /** Time during which the permits can be used. */
  readonly validForMs: number;
}

export interface PermitOrderExecutor {
  isPermit(key: string): boolean;
  issue(customerId: CustomerId, count: number): IssuedPermits;
  /**
   * Executes an order with a permit here when this process issued it, else relays it to its
   * issuer. Rejects with a `RequestError`.
   *
   * @param relayed whether a peer relayed the order; it is then never relayed again
   */
  execute(request: ServiceRequest, key: string, relayed: boolean): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

const PERMIT_LIFE_MS = 600_000;
const KEEP_OUTCOME_MS = 600_000;
const MAX_ENTRIES = 20_000;
const MAX_ANSWER_CHARS = 4_194_304;

/** "Not run" of a permit is final: no send of the same permit, however late, runs any more. */
function withFinality(outcome: OrderOutcome): OrderOutcome {
  if (outcome.kind !== 'not-run') {
    return outcome;
  }
  const description = serializeRequestError(outcome.error);
  const details = { ...description.details, finalForKey: true };
  return { kind: 'not-run', error: deserializeRequestError({ ...description, details }) };
}

/** Creates the execution of orders with permits. Only this process's memory decides about them. */
export function createPermitOrderExecutor(
  options: PermitOrderExecutorOptions,
): PermitOrderExecutor {
  const { clock, self } = options;
  const codec = createPermitCodec({ recordKey: options.recordKey, self });
  const startedAtMs = clock.nowMs() - clock.monotonicMs();
  // Wall-clock time may be set back, which would make an expired permit valid after its outcome was
  // removed; issuing, expiry and removal therefore share one clock that never goes back.
  const orderNowMs = (): number => startedAtMs + clock.monotonicMs();
  const table = createOutcomeTable({
    nowMs: orderNowMs,
    maxEntries: options.maxEntries ?? MAX_ENTRIES,
    maxAnswerChars: MAX_ANSWER_CHARS,
    retentionMs: KEEP_OUTCOME_MS,
    evictWhenFull: false,
  });

  async function executeHere(
    request: ServiceRequest,
    key: string,
    permit: Permit,
  ): Promise<ServiceAnswer> {
    const fingerprint = orderFingerprint(options.recordKey, request);
    const known = table.get(key);
    if (known === undefined && orderNowMs() >= permit.expiresAtMs) {
      throw new PermitExpiredError('The order permit has expired; an earlier send may have run.');
    }
    const entry =
      known ??
      table.start(key, fingerprint, permit.expiresAtMs, (gate) =>
        options.dispatchOrder(request, gate),
      );
    if (entry === undefined) {
      throw new OverloadedError('The table of orders is full.', { props: { retryAfterMs: 1_000 } });
    }
    if (entry.fingerprint !== fingerprint) {
      throw new IdempotencyKeyReusedError('The permit was used before with a different call.');
    }
    const isFirst = known === undefined;
    const outcome = await waitForOutcome(clock, request.context, entry, () => isFirst);
    return requireAnswer(withFinality(outcome));
  }

  return {
    isPermit: codec.isPermit,
    issue(customerId, count) {
      const expiresAtMs = orderNowMs() + PERMIT_LIFE_MS;
      return {
        permits: Array.from({ length: count }, () => codec.issue(customerId, expiresAtMs)),
        validForMs: PERMIT_LIFE_MS,
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
        return executeHere(request, key, permit);
      }
      if (relayed || permit.hostId === self.hostId) {
        throw new OutcomeUnknownError('The process that issued the permit has ended.');
      }
      return options.relayOrder(request, key, permit.hostId);
    },
    close: () => table.close(),
  };
}
