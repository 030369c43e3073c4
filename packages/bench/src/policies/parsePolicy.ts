import { UnknownChoiceError } from '../errors/UnknownChoiceError.js';
import type { BenchPolicy } from './BenchPolicy.js';
import { admissionChoices } from './admissionChoices.js';
import { retryChoices } from './retryChoices.js';
import { routeChoices } from './routeChoices.js';
import { spillChoices } from './spillChoices.js';

type Parts = Omit<BenchPolicy, 'name'>;

const PRESETS: Readonly<Record<string, Parts>> = {
  baseline: { route: 'least-loaded', spill: 'never', admission: 'all', retry: 'unlimited' },
  fifo: { route: 'least-loaded', spill: 'never', admission: 'fifo', retry: 'budget' },
  current: { route: 'least-loaded', spill: 'never', admission: 'ranks', retry: 'budget' },
};

const CHOICES: Readonly<Record<keyof Parts, Readonly<Record<string, unknown>>>> = {
  route: routeChoices,
  spill: spillChoices,
  admission: admissionChoices,
  retry: retryChoices,
};

function requireKnown(kind: string, name: string, known: Readonly<Record<string, unknown>>): void {
  if (!Object.hasOwn(known, name)) {
    throw new UnknownChoiceError(
      `Unknown ${kind} "${name}"; known values: ${Object.keys(known).join(', ')}.`,
    );
  }
}

/**
 * Parses the name of a policy: a preset, optionally followed by replaced parts, as in
 * `baseline+route=random+spill=when-full`.
 *
 * @throws UnknownChoiceError when the preset, a part or a choice does not exist
 */
export function parsePolicy(name: string): BenchPolicy {
  const [preset = '', ...replacements] = name.split('+');
  requireKnown('policy', preset, PRESETS);
  const parts = { ...(PRESETS[preset] as Parts) };
  replacements.forEach((replacement) => {
    const [part = '', choice = ''] = replacement.split('=');
    requireKnown('part of a policy', part, CHOICES);
    requireKnown(part, choice, CHOICES[part as keyof Parts]);
    Object.assign(parts, { [part]: choice });
  });
  return { name, ...parts };
}
