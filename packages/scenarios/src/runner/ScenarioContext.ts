import type { RandomSource } from '@camphorbarrow/core';
import type { CallResult, Caller } from '../caller/createCaller.js';
import type { HistoryRecorder } from '../history/createHistoryRecorder.js';
import type { Deployment } from '../launcher/Deployment.js';

/** Calls of one `send` step. */
export interface CallGroup {
  readonly count: number;
  /** Number of calls that have received a first byte. */
  streamingCount(): number;
  readonly results: CallResult[];
  readonly calls: readonly string[];
  /** Resolves when all calls have ended; never rejects. */
  readonly done: Promise<void>;
}

/** State that the steps of a running scenario share. */
export interface ScenarioContext {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Random source of the current step. */
  readonly random: RandomSource;
  readonly caller: Caller;
  readonly recorder: HistoryRecorder;
  readonly model: string;
  readonly callGroups: Map<string, CallGroup>;
  /** Exit codes of the commands of `race` steps, by id. */
  readonly raceExitCodes: Map<string, readonly (number | undefined)[]>;
  /** Latest configuration version reported by each entry host process, by host name and pid. */
  readonly configVersions: Map<string, number>;
}
