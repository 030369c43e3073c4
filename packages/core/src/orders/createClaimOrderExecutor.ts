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
import type { ClaimResult, ClaimStore } from './createClaimStore.js';
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
  /** Whether a backend server is available for the request. */
  readonly hasServer: (request: ServiceRequest) => boolean;
  /** Maximum number of orders in memory. @default 20000 */
  readonly maxEntries?: number;
}

export interface ClaimOrderExecutor {
  /** Executes an order with the caller's own idempotency key. Rejects with a `RequestError`. */
  execute(request: ServiceRequest, key: string): Promise<ServiceAnswer>;
  /** Returns the status of a claim of this process, for other entry hosts and for this one. */
  claimStatus(query: ClaimQuery): Promise<ClaimStatus>;
  close(): Promise<void>;
}

const CLAIM_LIFETIME_MS = 86_400_000;
const MAX_ENTRIES = 20_000;
const MAX_ANSWER_CHARS = 4_194_304;
const MAX_CLAIM_ATTEMPTS = 5;
const MAX_STATUS_WAIT_MS = 5_000;
const RESOLVE_TIMEOUT_MARGIN_MS = 5_000;
/**
 * Replaces the region in claim keys of customers without a home region, so that such a claim holds
 * in all regions.
 */
const NO_HOME_REGION = '_';

/**
 * Creates the executor of orders with callers' own idempotency keys. A key is claimed in the
 * key-value service before its order is sent.
 */
export function createClaimOrderExecutor(options: ClaimOrderExecutorOptions): ClaimOrderExecutor {
  const { clock, self, claimStore } = options;
  const table = createOutcomeTable({
    nowMs: () => clock.monotonicMs(),
    maxEntries: options.maxEntries ?? MAX_ENTRIES,
    maxAnswerChars: MAX_ANSWER_CHARS,
    retentionMs: CLAIM_LIFETIME_MS,
    evictWhenFull: true,
  });
  /** Id of this process's latest claim, by claim key. */
  const lastClaimIds = new Map<string, string>();
  /**
   * Gates of orders that are resolving an earlier claim of their key. The earlier order may have
   * run, so these orders must not be reported as not run.
   */
  const resolvingGates = new WeakSet<SendGate>();

  function claimKeyOf({ context }: ServiceRequest, key: string): string {
    const { customerId, settings } = context;
    const scope = settings.customers[customerId]?.homeRegion ?? NO_HOME_REGION;
    return `/claims/${scope}/${fingerprintOf(options.recordKey, 'order-claim', customerId, key)}`;
  }

  function resolveTimeoutMs(request: ServiceRequest): number {
    return requireService(request).answerTimeoutMs + RESOLVE_TIMEOUT_MARGIN_MS;
  }

  /** Claims the key. Resolves to an outcome when this process must not send the order. */
  async function acquireClaim(
    request: ServiceRequest,
    claimKey: string,
    claimId: string,
    gate: SendGate,
  ): Promise<OrderOutcome | { readonly kind: 'claimed'; readonly revision: StoreRevision }> {
    const fingerprint = orderFingerprint(options.recordKey, request);
    const canSend = options.hasServer(request);
    let expectedRevision: StoreRevision = 0;
    for (
      let attempt = 0;
      attempt < MAX_CLAIM_ATTEMPTS && gate.state() === 'not-sent';
      attempt += 1
    ) {
      // Without a server a new claim would be a useless write, but an earlier claim must still be
      // found.
      const result: ClaimResult | undefined = canSend
        ? await claimStore.acquire(claimKey, claimId, expectedRevision)
        : await claimStore.read(claimKey);
      if (result === undefined) {
        return {
          kind: 'not-run',
          error: new NoServerError('No live backend server accepts orders.'),
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
      resolvingGates.add(gate);
      const resolution = await options.resolveClaim(
        result.record,
        fingerprint,
        resolveTimeoutMs(request),
      );
      if (resolution !== 'free') {
        return resolution;
      }
      if (!canSend) {
        return {
          kind: 'not-run',
          error: new NoServerError('No live backend server accepts orders.'),
        };
      }
      resolvingGates.delete(gate);
      expectedRevision = result.revision;
    }
    if (gate.state() === 'abandoned') {
      const message = 'The deadline passed before the order was sent.';
      return {
        kind: 'not-run',
        error: new DeadlineExceededError(message, { props: { outcome: 'not-run' } }),
      };
    }
    const message =
      'Other requests with the same idempotency key are being resolved; resend the order.';
    return { kind: 'unknown', error: new OutcomeUnknownError(message) };
  }

  async function claimAndDispatch(
    request: ServiceRequest,
    claimKey: string,
    claimId: string,
    gate: SendGate,
  ): Promise<OrderOutcome> {
    const claimed = await acquireClaim(request, claimKey, claimId, gate);
    if (claimed.kind !== 'claimed') {
      gate.abandon();
      return claimed;
    }
    const outcome = await options.dispatchOrder(request, gate);
    if (gate.abandon()) {
      void claimStore.abandon(claimKey, claimId, claimed.revision);
    }
    return outcome;
  }

  /** Finds the entry whose outcome a resend gets; undefined when the key must be claimed again. */
  function findReusableEntry(claimKey: string): OutcomeEntry | undefined {
    const claimId = lastClaimIds.get(claimKey);
    const entry = claimId === undefined ? undefined : table.get(claimId);
    const outcome = entry?.outcome();
    const isAbandonedWithoutRun = entry?.gate.state() === 'abandoned' && outcome?.kind !== 'run';
    return outcome !== undefined && isAbandonedWithoutRun ? undefined : entry;
  }

  function startEntry(
    request: ServiceRequest,
    claimKey: string,
    fingerprint: Fingerprint,
  ): OutcomeEntry {
    const claimId = randomUUID();
    const entry = table.start(claimId, fingerprint, 0, (gate) =>
      claimAndDispatch(request, claimKey, claimId, gate),
    );
    if (entry === undefined) {
      throw new OverloadedError('The order table of this entry host is full.', {
        props: { retryAfterMs: 1_000 },
      });
    }
    lastClaimIds.set(claimKey, claimId);
    if (lastClaimIds.size > 2 * (options.maxEntries ?? MAX_ENTRIES)) {
      [...lastClaimIds]
        .filter(([, id]) => table.get(id) === undefined)
        .forEach(([name]) => lastClaimIds.delete(name));
    }
    return entry;
  }

  function toClaimStatus(entry: OutcomeEntry): ClaimStatus {
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
      const existing = findReusableEntry(claimKey);
      const entry = existing ?? startEntry(request, claimKey, fingerprint);
      if (entry.fingerprint !== fingerprint) {
        const message = 'The idempotency key was used before with a different call.';
        throw new IdempotencyKeyReusedError(message);
      }
      const mayAbandon = (): boolean => existing === undefined && !resolvingGates.has(entry.gate);
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
      if (toClaimStatus(entry).state === 'pending') {
        const stopTimer = new AbortController();
        const waitMs = Math.min(query.waitMs, MAX_STATUS_WAIT_MS);
        const timer = clock.sleep(waitMs, stopTimer.signal).catch(() => undefined);
        await Promise.race([entry.settled(), timer]);
        stopTimer.abort();
      }
      return toClaimStatus(entry);
    },
    close: () => table.close(),
  };
}
