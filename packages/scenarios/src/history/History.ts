import type { HistoryEvent } from './HistoryEvent.js';

/** Events of one run, ordered by time. */
export type History = readonly HistoryEvent[];
