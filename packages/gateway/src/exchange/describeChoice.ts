import type { LocalChoice, RegionChoice } from '../routing/Destination.js';

/** Log fields for the chosen destination of a request and the estimates behind the choice. */
export function describeChoice(
  choice: LocalChoice | RegionChoice | undefined,
): Record<string, string | number> {
  if (choice === undefined) {
    return {};
  }
  const estimates = {
    estimateMs: Math.round(choice.estimateMs),
    waitMs: Math.round(choice.waitMs),
    finishMs: Math.round(choice.finishMs),
    typicalFinishMs: Math.round(choice.typicalFinishMs),
  };
  if (choice.kind === 'region') {
    return { destination: choice.peer.heartbeat.host.id, ...estimates };
  }
  return {
    destination: choice.server.registration.id,
    serverVersion: choice.server.registration.softwareVersion,
    ...estimates,
    rank: choice.rank,
    uncachedTokens: choice.uncachedTokens,
    ...(choice.fetch === undefined ? {} : { fetchedFrom: choice.fetch.from.host }),
    tokensAhead: choice.tokensAhead,
    running: choice.running,
    viewCorrectionMs: Math.round(choice.viewCorrectionMs),
    ...(choice.failureMs === 0 ? {} : { failureMs: Math.round(choice.failureMs) }),
  };
}
