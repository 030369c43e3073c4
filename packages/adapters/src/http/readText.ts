import { AttemptBrokenError } from '@camphorbarrow/core';

const MAX_RESPONSE_BYTES = 8_388_608;

/**
 * Reads a response body as text.
 *
 * @throws AttemptBrokenError when it is longer than 8 MiB; its connection is then closed
 */
export async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of body) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_RESPONSE_BYTES) {
      throw new AttemptBrokenError(`The response is longer than ${MAX_RESPONSE_BYTES} bytes.`);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}
