import type { ServerView } from '../routing/ServerView.js';

/**
 * Maximum number of requests that this entry host may have in flight at a server. A request is sent
 * while the number in flight is below the limit, so a fractional limit is in effect rounded up.
 */
export type DispatchLimit = (server: ServerView) => number;
