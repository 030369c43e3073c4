/** Whether a report is added to the totals or taken off again. */
export type TotalsChange = 1 | -1;

/**
 * Creates a function that brings totals over the latest report of each peer up to date. A report is
 * applied once when it is new and once when a later one replaces it or its peer is lost, so that the
 * cost of a heartbeat does not grow with the number of peers.
 *
 * @param peers current peers; the same array until a heartbeat arrives
 */
export function createPeerTotals<Heartbeat>(
  peers: () => readonly { readonly heartbeat: Heartbeat }[],
  apply: (heartbeat: Heartbeat, change: TotalsChange) => void,
): () => void {
  let appliedPeers: readonly { readonly heartbeat: Heartbeat }[] = [];
  let applied = new Set<Heartbeat>();

  return () => {
    const current = peers();
    if (current === appliedPeers) {
      return;
    }
    appliedPeers = current;
    const next = new Set(current.map(({ heartbeat }) => heartbeat));
    applied.forEach((heartbeat) => {
      if (!next.has(heartbeat)) {
        apply(heartbeat, -1);
      }
    });
    next.forEach((heartbeat) => {
      if (!applied.has(heartbeat)) {
        apply(heartbeat, 1);
      }
    });
    applied = next;
  };
}
