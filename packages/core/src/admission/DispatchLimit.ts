import type { ServerView } from '../routing/ServerView.js';

/** Requests this entry host may have in flight at a server; fractions are rounded up by use. */
export type DispatchLimit = (server: ServerView) => number;
