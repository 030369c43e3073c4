/** A time in which something was done to the system, at the host or to all of it. */
export interface FaultInterval {
  readonly what: string;
  /** Undefined for what all hosts meet. */
  readonly host: number | undefined;
  readonly fromMs: number;
  /** When it ended. */
  readonly endedAtMs: number;
  /** Until when it may be felt. */
  readonly toMs: number;
}
