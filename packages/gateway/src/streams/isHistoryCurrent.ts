/** Longer than a call that waits for changes of the store; its end confirms what is known. */
const MAX_STORE_AGE_MS = 3_000;

export interface HistoryState {
  /** Time since the store last responded to this host or to a peer that updated it. */
  readonly storeAgeMs: number;
  /** Number of other hosts that are registered. */
  readonly registeredPeers: number;
  /** Number of other hosts that are responsive. */
  readonly alivePeers: number;
  /** Whether a responsive host knows a later state of the store than this one. */
  readonly isBehindPeer: boolean;
}

/** Whether this host is in contact with at least half of the other hosts. */
export function hasQuorum({
  registeredPeers,
  alivePeers,
}: Pick<HistoryState, 'registeredPeers' | 'alivePeers'>): boolean {
  return 2 * alivePeers >= registeredPeers;
}

/**
 * Whether no host can have begun a stream at a version that this one has not seen: the store
 * responded recently, or it responds to nobody and no peer knows more than this host.
 */
export function isHistoryCurrent(state: HistoryState): boolean {
  return state.storeAgeMs <= MAX_STORE_AGE_MS || (hasQuorum(state) && !state.isBehindPeer);
}
