import { promptPartKey } from '@camphorbarrow/core';
import type { PromptPartKey } from '@camphorbarrow/core';
import type { PromptPart } from '../model/RequestMetadata.js';
import { sharedParts } from '../routing/createPrefixCacheTracker.js';

/** Creates a function that computes the keys of the shared prompt parts once, on its first call. */
export function createSharedPartKeys(
  promptParts: readonly PromptPart[],
): () => readonly PromptPartKey[] {
  let keys: readonly PromptPartKey[] | undefined;
  return () => {
    keys ??= sharedParts(promptParts).map(({ id }) => promptPartKey(id));
    return keys;
  };
}
