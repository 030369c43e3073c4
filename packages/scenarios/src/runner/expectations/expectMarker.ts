import type { ExpectationOf } from '../../language/Step.js';
import type { ScenarioContext } from '../ScenarioContext.js';
import { requireNetwork } from '../requireNetwork.js';

const isCaller = (name: string): boolean => name.startsWith('caller-');

/** Checks on which links a text was sent. What callers send and get themselves does not count. */
export async function expectMarker(
  context: ScenarioContext,
  step: ExpectationOf<'marker'>,
): Promise<string[]> {
  const { sightings, truncated } = await requireNetwork(context).search(step.marker);
  const inside = sightings.filter(({ from, to }) => !isCaller(from.name) && !isCaller(to.name));
  const places = new Set(sightings.flatMap(({ from, to }) => [from.name, to.name]));
  const crossed = inside.filter(({ from, to }) => from.region !== to.region);
  return [
    ...(truncated ? ['the record of the relay is full, the search proves nothing'] : []),
    ...(step.neverBetweenRegions ? crossed : []).map(
      ({ from, to }) => `the marker went from ${from.name} to ${to.name}`,
    ),
    ...step.neverAt
      .filter((name) => places.has(name))
      .map((name) => `the marker was sent to or by ${name}`),
    ...step.seenAt
      .filter((name) => !places.has(name))
      .map((name) => `the marker was not sent to or by ${name}`),
  ];
}
