import { createHash } from 'node:crypto';
import { nonceOf } from './nonceOf.js';

const CHECKSUM_CHARACTERS = 16;

/**
 * Tokens of the engine stand-in's response. When the prompt contains a nonce, the first token
 * repeats it and the last token has a checksum of the prompt, so that a response to another prompt,
 * a truncated one and a mix of several can be detected.
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
