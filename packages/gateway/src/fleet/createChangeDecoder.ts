import type { LogSink, MetricsSink, WatchEvent } from '@camphorbarrow/core';
import type { FleetChange } from '../model/FleetChange.js';

/** Number of keys whose latest problem is remembered, so that it is logged once. */
const MAX_REMEMBERED_KEYS = 1_024;
const MAX_LOGGED_KEY_LENGTH = 200;

export interface ChangeDecoderOptions {
  readonly log: LogSink;
  readonly metrics: MetricsSink;
  readonly decode: (event: WatchEvent) => FleetChange;
}

/** Why a change is ignored; undefined if it is not. */
function problemOf(change: FleetChange): string | undefined {
  return 'problem' in change ? change.problem : undefined;
}

/**
 * Creates a decoder of store items that logs and counts those that are malformed, and never throws.
 * An entry that its writer keeps writing is logged only when its problem changes.
 */
export function createChangeDecoder(
  options: ChangeDecoderOptions,
): (event: WatchEvent) => FleetChange {
  const problems = new Map<string, string>();

  function decode(event: WatchEvent): FleetChange {
    try {
      return options.decode(event);
    } catch (error) {
      return { kind: 'unreadable', problem: (error as Error).message };
    }
  }

  function rememberProblem(key: string, problem: string): void {
    problems.delete(key);
    problems.set(key, problem);
    const [oldest] = problems.keys();
    if (problems.size > MAX_REMEMBERED_KEYS && oldest !== undefined) {
      problems.delete(oldest);
    }
  }

  return (event) => {
    const { key } = event;
    const change = decode(event);
    const problem = problemOf(change);
    if (problem === undefined) {
      problems.delete(key);
      return change;
    }
    options.metrics.increment('store_items_ignored', { kind: change.kind });
    if (problems.get(key) !== problem) {
      const loggedKey = key.slice(0, MAX_LOGGED_KEY_LENGTH);
      options.log.warn('store-item-unreadable', { key: loggedKey, kind: change.kind, problem });
    }
    rememberProblem(key, problem);
    return change;
  };
}
