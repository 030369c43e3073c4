/**
 * Whether a failed call ran on a backend server: it did not run, it may have run (`unknown`), or it
 * ran.
 */
export type Outcome = 'not-run' | 'unknown' | 'run';
