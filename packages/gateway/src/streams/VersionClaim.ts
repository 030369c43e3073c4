import type { ServerId } from '@camphorbarrow/core';
import type { SoftwareVersion } from '../model/SoftwareVersion.js';

/**
 * Version at the other end of a connection to a server, as the server's entry said when the connection
 * was opened. The process may have started again since the entry was written, with another version.
 */
export interface VersionClaim {
  readonly server: ServerId;
  readonly version: SoftwareVersion;
  /** Process start in ms since the Unix epoch, as in the entry; undefined if it names none. */
  readonly startedAtMs: number | undefined;
  /** Sequence number of a heartbeat that this process has written after the connection was opened. */
  readonly confirmingSequence: number;
  /** Monotonic time of this host at which the connection was open. */
  readonly connectedAtMs: number;
}

/** Version that writes a response. */
export interface ResponseVersion {
  readonly version: SoftwareVersion;
  /** Undefined if the version is certain. */
  readonly claim: VersionClaim | undefined;
}
