import type { CallLabel } from '../history/CallLabel.js';

export interface TypedError {
  readonly label: CallLabel;
  readonly code: string | undefined;
}

/** Parses the typed error in an error response or an error event; other bodies count as broken. */
export function parseTypedError(body: string): TypedError {
  try {
    const { error } = JSON.parse(body) as { error?: { outcome?: string; code?: string } };
    const outcome = error?.outcome;
    if (outcome === 'not-run' || outcome === 'unknown' || outcome === 'run') {
      return { label: outcome, code: error?.code };
    }
  } catch {
    // A body that is not JSON has no outcome and counts as broken.
  }
  return { label: 'broken', code: undefined };
}
