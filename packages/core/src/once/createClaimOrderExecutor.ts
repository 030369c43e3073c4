import { randomUUID } from 'node:crypto';
import { ClaimStoreUnavailableError } from '../errors/ClaimStoreUnavailableError.js';
import { DeadlineExceededError } from '../errors/DeadlineExceededError.js';
import { IdempotencyKeyReusedError } from '../errors/IdempotencyKeyReusedError.js';
import { NoServerError } from '../errors/NoServerError.js';
import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
import { OverloadedError } from '../errors/OverloadedError.js';
import type { OrderDispatch } from '../dispatch/createOrderDispatch.js';
import type { SendGate } from '../dispatch/createSendGate.js';
import type { ServiceRequest } from '../gateway/ServiceRequest.js';
import { requireService } from '../gateway/requireService.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { Clock } from '../ports/Clock.js';
import type { StoreRevision } from '../ports/KeyValueStore.js';
import type { ServiceAnswer } from '../ports/ServiceClient.js';
import { fingerprintOf } from '../requests/fingerprintOf.js';
import type { ClaimQuery, ClaimStatus } from './ClaimStatus.js';
import type { OrderOutcome } from './OrderOutcome.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';
import { requireAnswer } from './requireAnswer.js';
import type { ClaimResolver } from './createClaimResolver.js';
import type { ClaimStore } from './createClaimStore.js';
import { createOutcomeTable } from './createOutcomeTable.js';
import type { OutcomeEntry } from './createOutcomeTable.js';
import { orderFingerprint } from './orderFingerprint.js';
import { waitForOutcome } from './waitForOutcome.js';

export interface ClaimOrderExecutorOptions {
  readonly clock: Clock;
  readonly self: ExecutorIdentity;
  readonly recordKey: string;
  readonly dispatchOrder: OrderDispatch;
  readonly claimStore: ClaimStore;
  readonly resolveClaim: ClaimResolver;
  /** Whether a backend server could take the request now. */
  readonly hasServer: (request: ServiceRequest) => boolean;
  /** Bound of the orders in memory. @default 20000 */
  readonly maxEntries?: number;
}

export interface ClaimOrderExecutor {
  /** Executes an order under the caller's own key. Rejects with a `RequestError`. */
  execute(request: ServiceRequest, key: string): Promise<ServiceAnswer>;
  /** Answers another entry host, or this one, about a claim of this process. */
  claimStatus(query: ClaimQuery): Promise<ClaimStatus>;
  close(): Promise<void>;
}

const CLAIM_LIFE_MS = 86_400_000;
const MAX_ENTRIES = 20_000;
const MAX_ANSWER_CHARS = 4_194_304;
const MAX_CLAIM_ROUNDS = 5;
const MAX_STATUS_WAIT_MS = 5_000;
const RESOLVE_MARGIN_MS = 5_000;
/** Customers without a home region share one place, so that their keys hold in all regions. */
const UNBOUND = '_';

/** Creates the execution of orders under callers' own keys, claimed in the key-value service. */
export function createClaimOrderExecutor(options: ClaimOrderExecutorOptions): ClaimOrderExecutor {
  const { clock, self, claimStore: claims } = options;
  const table = createOutcomeTable({
    nowMs: () => clock.monotonicMs(),
    maxEntries: options.maxEntries ?? MAX_ENTRIES,
    maxAnswerChars: MAX_ANSWER_CHARS,
    retentionMs: CLAIM_LIFE_MS,
    evictWhenFull: true,
  });
  /** Claim id of the last claim that this process made for a claim key. */
  const lastClaims = new Map<string, string>();
  /** Orders that found an earlier claim, whose send may have run: "not run" can't be said of them. */
  const resolving = new WeakSet<SendGate>();

  function claimKeyOf({ context: facts }: ServiceRequest, key: string): string {
    const { customerId, settings } = facts;
    const place = settings.customers[customerId]?.homeRegion ?? UNBOUND;
    return `/claims/${place}/${fingerprintOf(options.recordKey, 'order-claim', customerId, key)}`;
  }

  function resolveLimitMs(request: ServiceRequest): number {
    return requireService(request).answerTimeoutMs + RESOLVE_MARGIN_MS;
  }

  /** Claims the key. Resolves to an outcome when the order must not be sent here. */
  async function claim(
    request: ServiceRequest,
    claimKey: string,
    claimId: string,
    gate: SendGate,
  ): Promise<OrderOutcome | { readonly kind: 'claimed'; readonly revision: StoreRevision }> {
    const fingerprint = orderFingerprint(options.recordKey, request);
    const canSend = options.hasServer(request);
    let expectedRevision = 0;
    for (let round = 0; round < MAX_CLAIM_ROUNDS && gate.state() === 'not-sent'; round += 1) {
      // Without a server the claim would be a wasted write; an earlier claim still has to be found.
      const result = canSend
        ? await claims.acquire(claimKey, claimId, expectedRevision)
        : await claims.read(claimKey);
      if (result === undefined) {
        return {
          kind: 'not-run',
          error: new NoServerError('No live backend server takes orders.'),
        };
      }
      if (result.kind === 'acquired') {
        gate.addSendCheck(result.maySend);
        return { kind: 'claimed', revision: result.revision };
      }
      if (result.kind === 'unavailable') {
        const message =
          'The claim of the idempotency key cannot be recorded. Orders with a permit ' +
          '(POST /v1/order-permits) do not need the key-value service.';
        return { kind: 'not-run', error: new ClaimStoreUnavailableError(message) };
      }
      resolving.add(gate);
      const found = await options.resolveClaim(result.record, fingerprint, resolveLimitMs(request));
      if (found !== 'free') {
        return found;
      }
      if (!canSend) {
        return {
          kind: 'not-run',
          error: new NoServerError('No live backend server takes orders.'),
        };
      }
      resolving.delete(gate);
      expectedRevision = result.revision;
    }
    if (gate.state() === 'abandoned') {
      const message = 'The deadline passed before the order was sent.';
      return {
        kind: 'not-run',
        error: new DeadlineExceededError(message, { props: { outcome: 'not-run' } }),
      };
    }
    const message = 'Other sends of the same key are being resolved; resend the order.';
    return { kind: 'unknown', error: new OutcomeUnknownError(message) };
  }

  async function run(
    request: ServiceRequest,
    claimKey: string,
    claimId: string,
    gate: SendGate,
  ): Promise<OrderOutcome> {
    const claimed = await claim(request, claimKey, claimId, gate);
    if (claimed.kind !== 'claimed') {
      gate.abandon();
      return claimed;
    }
    const outcome = await options.dispatchOrder(request, gate);
    if (gate.abandon()) {
      void claims.abandon(claimKey, claimId, claimed.revision);
    }
    return outcome;
  }

  /** An entry that decides a resend; undefined when the key has to be claimed anew. */
  function findEntry(claimKey: string): OutcomeEntry | undefined {
    const claimId = lastClaims.get(claimKey);
    const entry = claimId === undefined ? undefined : table.get(claimId);
    const outcome = entry?.outcome();
    const isUndecided = entry?.gate.state() === 'abandoned' && outcome?.kind !== 'run';
    return outcome !== undefined && isUndecided ? undefined : entry;
  }

  function startEntry(
    request: ServiceRequest,
    claimKey: string,
    fingerprint: Fingerprint,
  ): OutcomeEntry {
    const claimId = randomUUID();
    const entry = table.start(claimId, fingerprint, 0, (gate) =>
      run(request, claimKey, claimId, gate),
    );
    if (entry === undefined) {
      throw new OverloadedError('The table of orders is full.', { props: { retryAfterMs: 1_000 } });
    }
    lastClaims.set(claimKey, claimId);
    if (lastClaims.size > 2 * (options.maxEntries ?? MAX_ENTRIES)) {
      [...lastClaims]
        .filter(([, id]) => table.get(id) === undefined)
        .forEach(([name]) => lastClaims.delete(name));
    }
    return entry;
  }

  function describe(entry: OutcomeEntry): ClaimStatus {
    const outcome = entry.outcome();
    if (outcome?.kind === 'run') {
      return { state: 'run', answer: outcome.answer };
    }
    if (entry.gate.state() === 'abandoned') {
      return { state: 'not-run' };
    }
    return { state: outcome === undefined ? 'pending' : 'unknown' };
  }

  return {
    async execute(request, key) {
      const claimKey = claimKeyOf(request, key);
      const fingerprint = orderFingerprint(options.recordKey, request);
      const known = findEntry(claimKey);
      const entry = known ?? startEntry(request, claimKey, fingerprint);
      if (entry.fingerprint !== fingerprint) {
        const message = 'The idempotency key was used before with a different call.';
        throw new IdempotencyKeyReusedError(message);
      }
      const mayAbandon = (): boolean => known === undefined && !resolving.has(entry.gate);
      return requireAnswer(await waitForOutcome(clock, request.context, entry, mayAbandon));
    },
    async claimStatus(query) {
      const entry = table.get(query.claimId);
      if (
        entry === undefined ||
        query.regionId !== self.regionId ||
        query.incarnation !== self.incarnation
      ) {
        return { state: 'unknown' };
      }
      if (entry.fingerprint !== query.fingerprint) {
        return { state: 'key-reused' };
      }
      if (describe(entry).state === 'pending') {
        const stopTimer = new AbortController();
        const waitMs = Math.min(query.waitMs, MAX_STATUS_WAIT_MS);
        const timer = clock.sleep(waitMs, stopTimer.signal).catch(() => undefined);
        await Promise.race([entry.settled(), timer]);
        stopTimer.abort();
      }
      return describe(entry);
    },
    close: () => table.close(),
  };
}
