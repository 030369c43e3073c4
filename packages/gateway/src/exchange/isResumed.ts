import type { RequestMetadata } from '../model/RequestMetadata.js';

/** Whether the caller has received events of the stream; an empty id stands for none. */
export const isResumed = ({ lastEventId }: Pick<RequestMetadata, 'lastEventId'>): boolean =>
  lastEventId !== undefined && lastEventId !== '';
