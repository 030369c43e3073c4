import { createHash } from 'node:crypto';

function weightOf(key: string, candidate: string): number {
  return createHash('sha1').update(key).update('\0').update(candidate).digest().readUInt32BE(0);
}

/**
 * Orders the candidates for a key by rendezvous hashing (highest random weight). Every host computes
 * the same order, and it changes little when a candidate is added or removed.
 */
export function rankByRendezvous(key: string, candidates: readonly string[]): readonly string[] {
  return candidates
    .map((candidate) => ({ candidate, weight: weightOf(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}
