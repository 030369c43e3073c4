import { createHash } from 'node:crypto';

function weightOf(key: string, candidate: string): number {
  return createHash('sha1').update(key).update('\0').update(candidate).digest().readUInt32BE(0);
}

/**
 * The candidates in an order that every host computes alike for the key, and that changes little
 * when a candidate comes or goes (highest random weight).
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: weightOf(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
