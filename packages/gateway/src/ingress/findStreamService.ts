import type { GatewayContext } from '../exchange/GatewayContext.js';
import { isResumed } from '../exchange/isResumed.js';
import type { RequestMetadata } from '../model/RequestMetadata.js';
import type { Route } from '../model/Route.js';
import type { ServiceName } from '../model/ServiceName.js';

/**
 * Finds which service began the stream that a caller resumes, where the route leads to several or has
 * left one recently. Undefined if the request begins a stream, if nothing is known of it, or if the
 * route has left its service.
 */
export async function findStreamService(
  {
    streamVersions,
    routeMoves,
    closing,
  }: Pick<GatewayContext, 'streamVersions' | 'routeMoves' | 'closing'>,
  route: Route,
  metadata: Pick<RequestMetadata, 'lastEventId' | 'resumes'>,
): Promise<ServiceName | undefined> {
  const { resumes } = metadata;
  const { targets } = route;
  const [target] = targets;
  const mayDiffer = targets.length > 1 || routeMoves.hasMoved(route);
  if (
    !route.resumable ||
    !isResumed(metadata) ||
    resumes === undefined ||
    target === undefined ||
    !mayDiffer
  ) {
    return undefined;
  }
  const begun = await streamVersions.findService(resumes, target.service, closing);
  return targets.find(({ service, weight }) => service === begun && weight > 0)?.service;
}
