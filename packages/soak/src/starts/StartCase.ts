export type StartSignal = 'SIGHUP' | 'SIGTERM' | 'SIGINT';

/** What one start of a host meets. Times are counted from the start of its process. */
export interface StartCase {
  /** State of the settings file until `settingsAtMs`; it is complete from then on. */
  readonly settings: 'complete' | 'cut' | 'missing' | 'malformed';
  readonly settingsAtMs: number;
  /** Share of the file that is written first if it is cut. */
  readonly cutRatio: number;
  /** A port of the host that another process holds until `untilMs`. */
  readonly heldPort:
    | { readonly protocol: 'tcp' | 'udp'; readonly port: number; readonly untilMs: number }
    | undefined;
  readonly signals: readonly { readonly signal: StartSignal; readonly atMs: number }[];
  /** Whether the host is stopped once it is ready, and when it is started again on the same ports. */
  readonly restart: 'none' | 'after-exit' | 'at-once';
}
