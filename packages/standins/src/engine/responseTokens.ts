import { createHash } from 'node:crypto';
import { nonceOf } from './nonceOf.js';

const CHECKSUM_CHARACTERS = 16;

/**
 * Tokens of the engine stand-in's answer. When the prompt holds a nonce, the first token repeats it
 * and the last token carries a checksum of the prompt, so that a foreign, shortened or mixed answer
 * can be told from the right one.
 */
export function responseTokens(serverId: string, prompt: string, count: number): string[] {
  const nonce = nonceOf(prompt);
  const tokens = Array.from({ length: count }, (_, index) =>
    index === 0 ? serverId : ` t${index}`,
  );
  if (nonce !== undefined && count > 0) {
    const checksum = createHash('sha256')
      .update(prompt)
      .digest('hex')
      .slice(0, CHECKSUM_CHARACTERS);
    tokens[0] += `[${nonce}]`;
    tokens[count - 1] += ` sum=${checksum}`;
  }
  return tokens;
}
