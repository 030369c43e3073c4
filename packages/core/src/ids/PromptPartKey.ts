import type { Brand } from './Brand.js';

/** Hash of a prompt part that several requests share. It does not reveal the part's text. */
export type PromptPartKey = Brand<string, 'PromptPartKey'>;
