import type { ExpectationOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireNetwork } from '../requireNetwork.js';

const isCaller = (name: string): boolean => name.startsWith('caller-');

/**
 * Checks on which links a text was sent. Links of callers do not count as links between regions.
 */
export async function expectMarker(
  context: ScenarioContext,
  step: ExpectationOf<'marker'>,
): Promise<string[]> {
  const { sightings, truncated } = await requireNetwork(context).search(step.marker);
  const internal = sightings.filter(({ from, to }) => !isCaller(from.name) && !isCaller(to.name));
  const processes = new Set(sightings.flatMap(({ from, to }) => [from.name, to.name]));
  const betweenRegions = internal.filter(({ from, to }) => from.region !== to.region);
  return [
    ...(truncated
      ? ['the relay recorded only part of the traffic, so the search may have missed the marker']
      : []),
    ...(step.neverBetweenRegions ? betweenRegions : []).map(
      ({ from, to }) => `the marker was sent from ${from.name} to ${to.name}`,
    ),
    ...step.neverAt
      .filter((name) => processes.has(name))
      .map((name) => `the marker was sent to or by ${name}`),
    ...step.seenAt
      .filter((name) => !processes.has(name))
      .map((name) => `the marker was not sent to or by ${name}`),
  ];
}
