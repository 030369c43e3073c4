import type { Clock } from '@camphorbarrow/core';
import type { AttemptId } from '../model/AttemptId.js';
import type { ServerClaims } from './createServerClaims.js';
import { createStreamRecords } from './createStreamRecords.js';
import type { StreamRecord, StreamRecords } from './createStreamRecords.js';

/** Records of streams, some of which have a claim in place of a certain version. */
export interface ClaimedRecords extends Pick<StreamRecords, 'select'> {
  /**
   * Keeps a record of this or another host. One without a claim confirms the claim of an earlier record
   * with the same version. None replaces a certain one of another version or service.
   */
  keep(record: StreamRecord, ageMs?: number): void;
  /** The record of a stream, without its claim once that is confirmed. */
  find(stream: AttemptId): StreamRecord | undefined;
  /** Whether the record of a stream was kept with a claim, also if that is confirmed by now. */
  hasClaim(stream: AttemptId): boolean;
}

/** Creates an empty memory of streams. */
export function createClaimedRecords(
  clock: Clock,
  claims: Pick<ServerClaims, 'observe' | 'isConfirmed' | 'isRefuted' | 'accept'>,
): ClaimedRecords {
  const records = createStreamRecords(clock);

  return {
    keep(record, ageMs = 0) {
      const known = records.get(record.stream);
      const isSame = known?.service === record.service && known.version === record.version;
      const isCertain =
        known !== undefined && (known.claim === undefined || claims.isConfirmed(known.claim));
      const isFalse = known?.claim !== undefined && claims.isRefuted(known.claim);
      // The first record is that of the first event.
      if (isSame ? isFalse || (isCertain && record.claim !== undefined) : isCertain) {
        return;
      }
      const isShared = record.isShared === true || known?.isShared === true;
      records.record({ ...record, isShared }, ageMs);
      if (record.claim !== undefined) {
        claims.observe(record.claim);
      } else if (isSame && known.claim !== undefined) {
        claims.accept(known.claim);
      }
    },
    find(stream) {
      const record = records.get(stream);
      return record?.claim !== undefined && claims.isConfirmed(record.claim)
        ? { ...record, claim: undefined }
        : record;
    },
    hasClaim: (stream) => records.get(stream)?.claim !== undefined,
    select: records.select,
  };
}
