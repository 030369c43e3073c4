import type { AttemptId } from '../model/AttemptId.js';
import type { Exchange } from './Exchange.js';
import { isResumed } from './isResumed.js';

/** Attempt that began the stream of a request; undefined if the caller does not name it. */
export function streamOf({
  metadata,
  relayedBy,
}: Pick<Exchange, 'metadata' | 'relayedBy'>): AttemptId | undefined {
  if (!isResumed(metadata)) {
    return metadata.attemptId;
  }
  // A relaying host also resumes, under the same id, a stream that broke within its response.
  return metadata.resumes ?? (relayedBy === undefined ? undefined : metadata.attemptId);
}
