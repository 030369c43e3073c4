import type { CallLabel } from '../history/CallLabel.js';

export interface TypedError {
  readonly label: CallLabel;
  readonly code: string | undefined;
}

/** Reads the typed error of a refusal or of an error event; untyped bodies count as broken. */
export function parseTypedError(body: string): TypedError {
  try {
    const { error } = JSON.parse(body) as { error?: { outcome?: string; code?: string } };
    const outcome = error?.outcome;
    if (outcome === 'not-run' || outcome === 'unknown' || outcome === 'run') {
      return { label: outcome, code: error?.code };
    }
  } catch {
    // Falls through: a body that is not JSON carries no outcome.
  }
  return { label: 'broken', code: undefined };
}
