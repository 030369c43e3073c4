import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { streamOf } from './streamOf.js';

/** A stream goes on, here or at another host, only if the version of its first events is certain. */
export async function confirmVersion(
  { serverClaims, streamVersions }: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  signal: AbortSignal,
): Promise<void> {
  const { versionClaim } = progress;
  progress.versionClaim = undefined;
  if (versionClaim === undefined) {
    // Nobody told it; a second version may have been in use before this host saw it.
    if (
      progress.versionSource === 'single-version' &&
      streamVersions.isMixed(exchange.service.name)
    ) {
      progress.versionSource = 'unknown';
    }
    return;
  }
  if (!(await serverClaims.confirm(versionClaim, signal))) {
    progress.versionSource = 'unknown';
    return;
  }
  const stream = streamOf(exchange);
  if (stream !== undefined) {
    const { version } = versionClaim;
    void streamVersions.recordStart({ stream, service: exchange.service.name, version });
  }
}
