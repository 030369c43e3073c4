import { createHash } from 'node:crypto';
import type { PromptPartKey } from '../ids/PromptPartKey.js';
import { asId } from '../ids/asId.js';

const KEY_CHARACTERS = 16;

/** Short key of a prompt part, the same on all entry hosts. */
export function promptPartKey(part: string): PromptPartKey {
  return asId<PromptPartKey>(
    createHash('sha256').update(part).digest('hex').slice(0, KEY_CHARACTERS),
  );
}
