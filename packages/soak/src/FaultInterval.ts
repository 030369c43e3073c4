/** The time during which a fault affected one host or the whole system. */
export interface FaultInterval {
  readonly kind: string;
  /** Index of the affected host; undefined when all hosts are affected. */
  readonly host: number | undefined;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Time until which effects of the fault may be observed; after `endedAtMs`. */
  readonly effectsEndAtMs: number;
}
