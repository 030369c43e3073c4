/**
 * What a failed call did at the backend server: it certainly did not run, it may have run, or it
 * ran.
 */
export type Outcome = 'not-run' | 'unknown' | 'run';
