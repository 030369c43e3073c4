import type { Step, StepOf } from './Step.js';
import { processNames } from './processNames.js';

export interface ReferenceProblem {
  readonly path: readonly (string | number)[];
  readonly message: string;
}

interface Reference {
  readonly path: readonly (string | number)[];
  readonly name: string;
  /** `link`: an end of a link, which is a process or a region. */
  readonly kind: 'process' | 'calls' | 'race' | 'link';
}

type Field = readonly [field: string, value: unknown, kind: Reference['kind']];

function fieldsOf(step: Step): Field[] {
  switch (step.do) {
    case 'send':
      return [
        ['via', step.via, 'process'],
        ['of', step.of, 'calls'],
      ];
    case 'crashRequest':
      return [['via', step.via, 'process']];
    case 'wait':
      return [['calls', step.calls, 'calls']];
    case 'cut':
    case 'delay':
    case 'silence':
      return [
        ['from', step.from, 'link'],
        ['to', step.to, 'link'],
      ];
    case 'expect':
      return Object.entries(step).flatMap(([field, value]): Field[] => {
        const kinds = {
          calls: 'calls',
          race: 'race',
          target: 'process',
          server: 'process',
          via: 'process',
        };
        const lists = ['hosts', 'lists', 'excludes'];
        if (field === 'neverAt' || field === 'seenAt') {
          return [[field, value, 'link']];
        }
        const kind = lists.includes(field) ? 'process' : kinds[field as keyof typeof kinds];
        return kind === undefined ? [] : [[field, value, kind as Reference['kind']]];
      });
    default:
      return 'target' in step ? [['target', step.target, 'process']] : [];
  }
}

function referencesOf(step: Step, index: number): Reference[] {
  return fieldsOf(step).flatMap(([field, value, kind]) => {
    const isChoice = typeof value === 'object' && value !== null && 'oneOf' in value;
    const inner = isChoice ? (value.oneOf as unknown) : value;
    const path = isChoice ? [index, field, 'oneOf'] : [index, field];
    if (typeof inner === 'string') {
      return [{ path, name: inner, kind }];
    }
    return Array.isArray(inner)
      ? inner.map((name, item) => ({ path: [...path, item], name: String(name), kind }))
      : [];
  });
}

const MISSING: Readonly<Record<Reference['kind'], string>> = {
  process: 'there is no process',
  link: 'there is no process or region',
  calls: 'no earlier step sends calls',
  race: 'there is no earlier race',
};

/** Finds names in steps that refer to no process, region or earlier step. */
export function findReferenceProblems(steps: readonly Step[]): ReferenceProblem[] {
  const [start, ...rest] = steps;
  if (start?.do !== 'start') {
    return [{ path: [0, 'do'], message: 'the first step must be "start"' }];
  }
  const secondStart = rest.findIndex((step) => step.do === 'start');
  if (secondStart >= 0) {
    return [{ path: [secondStart + 1, 'do'], message: 'only the first step may be "start"' }];
  }
  const { regions } = start.deployment;
  const known: Record<Reference['kind'], Set<string>> = {
    process: processNames((start as StepOf<'start'>).deployment),
    link: new Set(['*']),
    calls: new Set(),
    race: new Set(),
  };
  known.process.forEach((name) => known.link.add(name));
  regions.forEach(({ name }) => known.link.add(name).add(`caller-${name}`));
  return steps.flatMap((step, index) => {
    const problems = referencesOf(step, index)
      .filter(({ name, kind }) => !known[kind].has(name))
      .map(({ path, name, kind }) => ({ path, message: `${MISSING[kind]} "${name}"` }));
    if (step.do === 'send' || step.do === 'crashRequest') {
      known.calls.add(step.id);
    } else if (step.do === 'race') {
      known.race.add(step.id);
    }
    return problems;
  });
}
