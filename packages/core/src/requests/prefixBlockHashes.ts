import { createHash } from 'node:crypto';

/** Prompt characters per prefix block; engines report their cache contents per block. */
export const PREFIX_BLOCK_CHARACTERS = 1024;
const MAX_PREFIX_BLOCKS = 256;
const HASH_CHARACTERS = 16;

/**
 * Chained SHA-256 hashes of the prompt's complete prefix blocks, shortest prefix first. Engines
 * compute the hashes in their cache events in the same way (docs/platform.md).
 */
export function prefixBlockHashes(model: string, prompt: string): string[] {
  const hashes: string[] = [];
  const blocks = Math.min(Math.floor(prompt.length / PREFIX_BLOCK_CHARACTERS), MAX_PREFIX_BLOCKS);
  let previous = model;
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    previous = createHash('sha256')
      .update(previous)
      .update(prompt.slice(start, start + PREFIX_BLOCK_CHARACTERS))
      .digest('hex')
      .slice(0, HASH_CHARACTERS);
    hashes.push(previous);
  }
  return hashes;
}
