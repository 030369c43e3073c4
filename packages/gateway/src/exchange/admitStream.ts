import type { ResponseVersion, VersionClaim } from '../streams/VersionClaim.js';
import type { Exchange } from './Exchange.js';
import type { ExchangeProgress } from './ExchangeProgress.js';
import type { GatewayContext } from './GatewayContext.js';
import { streamOf } from './streamOf.js';

/**
 * Decides whether the first event of a response may be forwarded. The version of the first response
 * becomes that of the stream, which all others must have. The event waits until the version is known
 * to the hosts that may have to continue the stream.
 *
 * @param responseVersion version that writes the response; undefined if nothing tells it
 */
export function admitStream(
  context: GatewayContext,
  exchange: Exchange,
  progress: ExchangeProgress,
  responseVersion: ResponseVersion | undefined,
  signal: AbortSignal,
): boolean | Promise<boolean> {
  const { route, service } = exchange;
  if (!route.resumable) {
    return true;
  }
  const version = responseVersion?.version ?? context.streamVersions.singleVersion(service.name);
  const stream = streamOf(exchange);

  function record(claim: VersionClaim | undefined): boolean | Promise<boolean> {
    // The host that has the caller's connection records the stream, unless it is of an earlier build.
    if (responseVersion === undefined || stream === undefined || exchange.isRecordedByRelay) {
      return true;
    }
    const recorded = context.streamVersions.recordStart(
      { stream, service: service.name, version: responseVersion.version, claim },
      // A host to which the caller returns may choose another service.
      route.targets.length > 1 || context.routeMoves.hasMoved(route),
    );
    return recorded === undefined || recorded.then(() => true);
  }

  const claim = responseVersion?.claim;
  if (progress.requiredVersion === undefined) {
    progress.requiredVersion = version;
    progress.versionClaim = claim;
    const assumedSource = version === undefined ? 'unknown' : 'single-version';
    progress.versionSource = responseVersion === undefined ? assumedSource : 'response';
    return record(claim);
  }
  if (version !== progress.requiredVersion) {
    return false;
  }
  // Earlier events of the stream are joined to these, so that the version must be certain.
  return claim === undefined
    ? record(undefined)
    : context.serverClaims
        .confirm(claim, signal)
        .then((isConfirmed) => isConfirmed && record(undefined));
}
