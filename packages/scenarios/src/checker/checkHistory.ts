import type { History } from '../history/History.js';
import type { Violation } from './Violation.js';
import { findConfigReversals } from './findConfigReversals.js';
import { findDuplicateRuns } from './findDuplicateRuns.js';
import { findIncorrectResponses } from './findIncorrectResponses.js';
import { findRequestsAfterLeaving } from './findRequestsAfterLeaving.js';
import { findLoops } from './findLoops.js';
import { findRunsReportedNotRun } from './findRunsReportedNotRun.js';
import { findRequestsOutsideHome } from './findRequestsOutsideHome.js';

const RULES = [
  findDuplicateRuns,
  findRunsReportedNotRun,
  findIncorrectResponses,
  findLoops,
  findRequestsOutsideHome,
  findConfigReversals,
  findRequestsAfterLeaving,
];

/** Checks a history, ordered by time, against every rule. */
export function checkHistory(history: History): Violation[] {
  return RULES.flatMap((rule) => rule(history));
}
