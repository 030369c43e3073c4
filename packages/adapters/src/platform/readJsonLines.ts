import { AttemptBrokenError } from '@camphorbarrow/core';

/** Maximum length of a line, which holds the changes that the store sends together. */
const MAX_LINE_LENGTH = 16_777_216;

/**
 * Yields the JSON values of a newline-separated stream.
 *
 * @throws AttemptBrokenError when a line is too long
 */
export async function* readJsonLines(chunks: AsyncIterable<Buffer>): AsyncGenerator<unknown, void> {
  const decoder = new TextDecoder();
  let pending = '';
  for await (const chunk of chunks) {
    pending += decoder.decode(chunk, { stream: true });
    if (pending.length > MAX_LINE_LENGTH) {
      throw new AttemptBrokenError(`A line is longer than ${MAX_LINE_LENGTH} characters.`);
    }
    const lines = pending.split('\n');
    pending = lines.pop() ?? '';
    for (const line of lines) {
      if (line.trim() !== '') {
        yield JSON.parse(line);
      }
    }
  }
}
