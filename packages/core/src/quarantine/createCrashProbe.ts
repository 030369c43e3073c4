import { ConnectFailedError } from '../errors/ConnectFailedError.js';
import type { Clock } from '../ports/Clock.js';
import type { HostListEntry } from '../ports/HostList.js';
import type { LoadReport } from '../ports/LoadReport.js';
import type { ServerView } from '../routing/ServerView.js';

export interface CrashProbeOptions {
  readonly clock: Clock;
  readonly readLoad: (entry: HostListEntry) => Promise<LoadReport>;
}

const MAX_PROBES = 3;
const PROBE_INTERVAL_MS = 50;

/**
 * Creates the check that is run after a connection to a server broke and decides whether the server
 * process crashed. A refused connection or a new incarnation indicates a crash. A timeout does not,
 * because it may be a network failure, which the running requests did not cause.
 */
export function createCrashProbe(
  options: CrashProbeOptions,
): (server: ServerView) => Promise<boolean> {
  const { clock, readLoad } = options;

  async function probe(server: ServerView): Promise<boolean> {
    try {
      const { incarnation } = await readLoad(server.entry);
      return server.load !== undefined && incarnation !== server.load.incarnation;
    } catch (cause) {
      return cause instanceof ConnectFailedError && cause.refused;
    }
  }

  return async (server) => {
    for (let count = 1; count <= MAX_PROBES; count += 1) {
      if (await probe(server)) {
        return true;
      }
      await clock.sleep(PROBE_INTERVAL_MS);
    }
    return false;
  };
}
