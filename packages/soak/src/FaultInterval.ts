/** The time during which a fault was active. */
export interface FaultInterval {
  readonly kind: string;
  /**
   * Index of the host for faults of a host process or of its links to servers; undefined for other
   * faults, which may affect any host.
   */
  readonly host: number | undefined;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Time until which effects of the fault may be observed; after `endedAtMs`. */
  readonly effectsEndAtMs: number;
}
