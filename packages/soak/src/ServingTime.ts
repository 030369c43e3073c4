/** Time in which a server is listed with its version and without a fault of its own. */
export interface ServingTime {
  readonly service: string;
  readonly server: string;
  readonly version: string;
  readonly zone: string;
  readonly fromMs: number;
  /** Infinity while it lasts. */
  readonly untilMs: number;
}
