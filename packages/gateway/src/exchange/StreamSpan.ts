import type { HostId, ServerId } from '@camphorbarrow/core';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { ForwardEventsResult } from './forwardEvents.js';

/** How the sender marks the end of a response body. */
export type ResponseFraming = 'length' | 'chunks' | 'connection-end';

/** Events of a stream that one server, or another host, wrote in one attempt. */
export interface StreamSpan {
  readonly from: ServerId | HostId;
  /** Start of the server's process in ms since the Unix epoch, by its entry; undefined if unknown. */
  readonly startedAtMs: number | undefined;
  /** Software version of the writer, as far as it is known. */
  readonly version: SoftwareVersion | undefined;
  /** Whether the version is that of the process, and not only that of the server's entry. */
  readonly isCertain: boolean;
  /** `Last-Event-Id` that was sent with the request. */
  readonly after: string | undefined;
  readonly firstEventId: string | undefined;
  readonly lastEventId: string | undefined;
  /** `unconfirmed`: in an orderly way, but its server may have ended instead of the response. */
  readonly end: ForwardEventsResult['cause'] | 'unconfirmed';
  readonly framing: ResponseFraming;
}
