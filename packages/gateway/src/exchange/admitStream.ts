import type { SoftwareVersion } from '../model/SoftwareVersion.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { isResumed } from './isResumed.js';

/**
 * Decides whether the first event of a response may be forwarded. The version of the first response
 * becomes that of the stream, which all others must have. The event waits until the version is known
 * to the hosts that may have to continue the stream.
 *
 * @param serverVersion version of the server that responds; undefined if it is not certain
 */
export function admitStream(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  serverVersion: SoftwareVersion | undefined,
): boolean | Promise<boolean> {
  const { metadata, route, service } = exchange;
  if (!route.resumable) {
    return true;
  }
  const version = serverVersion ?? context.streamVersions.singleVersion(service.name);
  if (progress.requiredVersion === undefined) {
    progress.requiredVersion = version;
    progress.versionSource = version === undefined ? 'unknown' : 'response';
  } else if (version !== progress.requiredVersion) {
    return false;
  }
  const stream = isResumed(metadata) ? metadata.resumes : metadata.attemptId;
  // The host that has the caller's connection records the stream, also if another one relays it.
  if (version === undefined || stream === undefined || exchange.relayedBy !== undefined) {
    return true;
  }
  const recorded = context.streamVersions.recordStart({ stream, service: service.name, version });
  return recorded === undefined || recorded.then(() => true);
}
