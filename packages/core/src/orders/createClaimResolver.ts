import { IdempotencyKeyReusedError } from '../errors/IdempotencyKeyReusedError.js';
import { OutcomeUnknownError } from '../errors/OutcomeUnknownError.js';
import type { Fingerprint } from '../ids/Fingerprint.js';
import type { HostId } from '../ids/HostId.js';
import type { Incarnation } from '../ids/Incarnation.js';
import { asId } from '../ids/asId.js';
import type { PeerDescription } from '../membership/PeerDescription.js';
import type { Clock } from '../ports/Clock.js';
import type { LogSink } from '../ports/LogSink.js';
import type { PeerClient } from '../ports/PeerClient.js';
import type { ClaimRecord } from './ClaimRecord.js';
import type { ClaimQuery, ClaimStatus } from './ClaimStatus.js';
import type { OrderOutcome } from './OrderOutcome.js';
import type { ExecutorIdentity } from './ExecutorIdentity.js';

export interface ClaimResolverOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly self: ExecutorIdentity;
  readonly peerClient: PeerClient;
  readonly findPeer: (hostId: HostId) => PeerDescription | undefined;
  /** Status of a claim of this process. */
  readonly ownClaimStatus: (query: ClaimQuery) => Promise<ClaimStatus>;
}

/**
 * Determines the outcome of the order that holds a claim. Resolves to `free` when the claim was
 * abandoned and may be replaced.
 */
export type ClaimResolver = (
  record: ClaimRecord,
  fingerprint: Fingerprint,
  timeoutMs: number,
) => Promise<OrderOutcome | 'free'>;

const STATUS_WAIT_MS = 2_000;
const RESPONSE_MARGIN_MS = 1_000;

const unknownOutcome = (message: string): OrderOutcome => ({
  kind: 'unknown',
  error: new OutcomeUnknownError(message),
});

/** Creates the resolver, which queries the claimant until the order ends or the timeout passes. */
export function createClaimResolver(options: ClaimResolverOptions): ClaimResolver {
  const { clock, log, self } = options;

  async function queryStatus(record: ClaimRecord, fingerprint: Fingerprint): Promise<ClaimStatus> {
    const query: ClaimQuery = {
      regionId: self.regionId,
      claimId: record.claimId,
      incarnation: asId<Incarnation>(record.incarnation),
      fingerprint,
      waitMs: STATUS_WAIT_MS,
    };
    if (record.hostId === self.hostId) {
      return options.ownClaimStatus(query);
    }
    const peer = options.findPeer(asId<HostId>(record.hostId));
    // Responses must not leave their region, so a claimant in another region is not queried.
    if (peer === undefined || peer.regionId !== self.regionId) {
      return { state: 'unknown' };
    }
    return options.peerClient.orderOutcome(
      peer.peerUrl,
      query,
      STATUS_WAIT_MS + RESPONSE_MARGIN_MS,
    );
  }

  return async (record, fingerprint, timeoutMs) => {
    if (record.state === 'abandoned') {
      return 'free';
    }
    const timeoutAtMs = clock.monotonicMs() + timeoutMs;
    do {
      let status: ClaimStatus;
      try {
        status = await queryStatus(record, fingerprint);
      } catch (cause) {
        log.warn('claimant-unavailable', { hostId: record.hostId, error: String(cause) });
        return unknownOutcome('The entry host that claimed the idempotency key did not respond.');
      }
      switch (status.state) {
        case 'run':
          return { kind: 'run', answer: status.answer };
        case 'not-run':
          return 'free';
        case 'unknown':
          return unknownOutcome(
            'The idempotency key was claimed before; the outcome of that order is not known here.',
          );
        case 'key-reused': {
          const message = 'The idempotency key was used before with a different call.';
          return { kind: 'not-run', error: new IdempotencyKeyReusedError(message) };
        }
        case 'pending':
          break;
      }
    } while (clock.monotonicMs() < timeoutAtMs);
    return unknownOutcome('The order is still in flight; resend it to get its outcome.');
  };
}
