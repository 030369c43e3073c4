import type { RandomSource } from '@camphorbarrow/core';
import type { CallResult, Caller } from '../caller/createCaller.js';
import type { HistoryRecorder } from '../history/createHistoryRecorder.js';
import type { Deployment } from '../launcher/Deployment.js';

/** Calls of one `send` step. */
export interface CallGroup {
  readonly count: number;
  /** Calls that have got a first byte. */
  streamingCount(): number;
  readonly results: CallResult[];
  readonly calls: readonly string[];
  /** Resolves when all calls have ended; never rejects. */
  readonly done: Promise<void>;
}

/** What the steps of a running scenario share. */
export interface ScenarioContext {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Choices of the current step. */
  readonly random: RandomSource;
  readonly caller: Caller;
  readonly recorder: HistoryRecorder;
  readonly model: string;
  readonly callGroups: Map<string, CallGroup>;
  /** Exit codes of `race` steps by id. */
  readonly raceExitCodes: Map<string, readonly (number | undefined)[]>;
  /** Highest configuration version that each process of an entry host has reported. */
  readonly configVersions: Map<string, number>;
}
