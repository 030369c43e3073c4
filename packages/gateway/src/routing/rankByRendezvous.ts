import murmurHash3 from 'imurmurhash';

/** Weight of a candidate for a key: the same on every host, 0 to 2^32 - 1. */
export const rendezvousWeight = (key: string, candidate: string): number =>
  murmurHash3(key).hash('\0').hash(candidate).result();

/**
 * Orders the candidates for a key by rendezvous hashing (highest random weight). Every host computes
 * the same order, and it changes little when a candidate is added or removed.
 */
export function rankByRendezvous<T extends string>(
  key: string,
  candidates: readonly T[],
): readonly T[] {
  return candidates
    .map((candidate) => ({ candidate, weight: rendezvousWeight(key, candidate) }))
    .sort((a, b) => b.weight - a.weight || (a.candidate < b.candidate ? -1 : 1))
    .map(({ candidate }) => candidate);
}

/**
 * First of the candidates in the order of `rankByRendezvous`, without sorting the others.
 *
 * @param idOf id of a candidate; must be unique
 */
export function topByRendezvous<Candidate>(
  key: string,
  candidates: readonly Candidate[],
  idOf: (candidate: Candidate) => string,
  count: number,
): readonly Candidate[] {
  const top: { candidate: Candidate; id: string; weight: number }[] = [];
  candidates.forEach((candidate) => {
    const id = idOf(candidate);
    const weight = rendezvousWeight(key, id);
    let index = top.length;
    for (; index > 0; index -= 1) {
      const before = top[index - 1];
      if (before && (before.weight > weight || (before.weight === weight && before.id < id))) {
        break;
      }
    }
    if (index < count) {
      top.splice(index, 0, { candidate, id, weight });
      top.length = Math.min(top.length, count);
    }
  });
  return top.map(({ candidate }) => candidate);
}

/** First of the candidates in the order of `rankByRendezvous`; undefined if there are none. */
export function pickByRendezvous(key: string, candidates: readonly string[]): string | undefined {
  let picked: string | undefined;
  let highest = -1;
  candidates.forEach((candidate) => {
    const weight = rendezvousWeight(key, candidate);
    if (weight > highest || (weight === highest && candidate < (picked ?? ''))) {
      picked = candidate;
      highest = weight;
    }
  });
  return picked;
}
