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
  /** Answers for claims of this process. */
  readonly ownClaimStatus: (query: ClaimQuery) => Promise<ClaimStatus>;
}

/**
 * Finds what became of a key that another claim holds. Resolves to `free` when the claim was
 * abandoned and may be replaced.
 */
export type ClaimResolver = (
  record: ClaimRecord,
  fingerprint: Fingerprint,
  limitMs: number,
) => Promise<OrderOutcome | 'free'>;

const WAIT_MS = 2_000;
const ANSWER_MARGIN_MS = 1_000;

const unknown = (message: string): OrderOutcome => ({
  kind: 'unknown',
  error: new OutcomeUnknownError(message),
});

/** Creates the resolver, which asks the claimant as long as it lives. */
export function createClaimResolver(options: ClaimResolverOptions): ClaimResolver {
  const { clock, log, self } = options;

  async function ask(record: ClaimRecord, fingerprint: Fingerprint): Promise<ClaimStatus> {
    const query: ClaimQuery = {
      regionId: self.regionId,
      claimId: record.claimId,
      incarnation: asId<Incarnation>(record.incarnation),
      fingerprint,
      waitMs: WAIT_MS,
    };
    if (record.hostId === self.hostId) {
      return options.ownClaimStatus(query);
    }
    const peer = options.findPeer(asId<HostId>(record.hostId));
    // Answers stay in their region: a claimant in another one is not asked.
    if (peer === undefined || peer.regionId !== self.regionId) {
      return { state: 'unknown' };
    }
    return options.peerClient.orderOutcome(peer.peerUrl, query, WAIT_MS + ANSWER_MARGIN_MS);
  }

  return async (record, fingerprint, limitMs) => {
    if (record.state === 'abandoned') {
      return 'free';
    }
    const endMs = clock.monotonicMs() + limitMs;
    do {
      let status: ClaimStatus;
      try {
        status = await ask(record, fingerprint);
      } catch (cause) {
        log.warn('claimant-unavailable', { hostId: record.hostId, error: String(cause) });
        return unknown('The entry host that claimed the key did not answer.');
      }
      switch (status.state) {
        case 'run':
          return { kind: 'run', answer: status.answer };
        case 'not-run':
          return 'free';
        case 'unknown':
          return unknown('The order was claimed before; its outcome is not known here.');
        case 'key-reused': {
          const message = 'The idempotency key was used before with a different call.';
          return { kind: 'not-run', error: new IdempotencyKeyReusedError(message) };
        }
        case 'pending':
          break;
      }
    } while (clock.monotonicMs() < endMs);
    return unknown('The order is still in flight; resend it to get its outcome.');
  };
}
