import { AttemptBrokenError, createBodyMemory } from '@camphorbarrow/core';

const MAX_RESPONSE_BYTES = 8_388_608;

/**
 * Reads a response body as text.
 *
 * @throws AttemptBrokenError when it is longer than 8 MiB; its connection is then closed
 */
export async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const buffer = createBodyMemory(MAX_RESPONSE_BYTES).open({ maxBytes: MAX_RESPONSE_BYTES });
  for await (const chunk of body) {
    if (buffer.append(chunk) !== 'kept') {
      throw new AttemptBrokenError(`The response is longer than ${MAX_RESPONSE_BYTES} bytes.`);
    }
  }
  return buffer.complete().toString('utf8');
}
