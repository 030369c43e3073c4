import type { CallerListener } from '@camphorbarrow/adapters';
import type { Clock, MetricsSink } from '@camphorbarrow/core';
import type { RegionComponents } from './createRegionComponents.js';

export interface ReportGaugesOptions {
  readonly clock: Clock;
  readonly metrics: MetricsSink;
  readonly region: Pick<RegionComponents, 'config' | 'registry' | 'peers'>;
  readonly callerListener: Pick<CallerListener, 'inFlight'>;
}

const INTERVAL_MS = 10_000;

/** Sends the state of the entry host as gauges until it is closed (docs/metrics.md). */
export function reportGauges(options: ReportGaugesOptions): { close(): Promise<void> } {
  const { clock, metrics, region, callerListener } = options;
  const stopping = new AbortController();

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      metrics.gauge('configuration_version', region.config.version());
      metrics.gauge('in_flight', callerListener.inFlight());
      const accepting = region.registry.servers().filter((server) => server.accepting);
      metrics.gauge('servers_accepting', accepting.length);
      const reachable = region.peers.peers().filter((peer) => peer.reachable);
      metrics.gauge('peers_reachable', reachable.length);
      await clock.sleep(INTERVAL_MS, stopping.signal).catch(() => undefined);
    }
  }

  const task = run();
  return {
    async close() {
      stopping.abort();
      await task;
    },
  };
}
