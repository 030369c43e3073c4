import type { FleetView } from '../fleet/createFleetView.js';

/** Explains why a host has no configuration. */
export function describeMissingConfiguration(
  view: Pick<FleetView, 'configurationProblem' | 'storeProblem' | 'confirmedAtMs'>,
): string {
  const problem = view.configurationProblem();
  if (problem !== undefined) {
    return `the configuration cannot be read: ${problem}`;
  }
  const storeProblem = view.storeProblem();
  if (storeProblem !== undefined) {
    return `the store cannot be read: ${storeProblem}`;
  }
  return Number.isFinite(view.confirmedAtMs())
    ? 'the store holds no configuration'
    : 'the store was not read yet';
}
