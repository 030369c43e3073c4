import { RequestError } from './RequestError.js';

/** The prompt has more tokens than the model accepts. */
export const PromptTooLongError = RequestError.subclass('PromptTooLongError', {
  props: { code: 'prompt-too-long', statusCode: 400, outcome: 'not-run' as const },
});
