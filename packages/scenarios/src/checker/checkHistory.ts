import type { History } from '../history/History.js';
import type { Violation } from './Violation.js';
import { findConfigReversals } from './findConfigReversals.js';
import { findDoubledRuns } from './findDoubledRuns.js';
import { findForeignAnswers } from './findForeignAnswers.js';
import { findLateWork } from './findLateWork.js';
import { findLoops } from './findLoops.js';
import { findRunsReportedNotRun } from './findRunsReportedNotRun.js';
import { findUseOutsideHome } from './findUseOutsideHome.js';

const RULES = [
  findDoubledRuns,
  findRunsReportedNotRun,
  findForeignAnswers,
  findLoops,
  findUseOutsideHome,
  findConfigReversals,
  findLateWork,
];

/** Checks a history, ordered by time, against every rule. */
export function checkHistory(history: History): Violation[] {
  return RULES.flatMap((rule) => rule(history));
}
