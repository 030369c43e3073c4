import { createParser } from 'eventsource-parser';
import type { CallLabel } from '../history/CallLabel.js';
import { parseTypedError } from './parseTypedError.js';

export interface StreamResult {
  /** Undefined while the stream has neither ended nor failed by a typed error. */
  label: CallLabel | undefined;
  code: string | undefined;
  text: string;
  maxGapMs: number;
}

interface Chunk {
  readonly choices?: readonly { readonly text?: string; readonly delta?: { content?: string } }[];
}

/** Reads a streamed answer into `reading`, which keeps what arrived when the stream breaks. */
export async function readStream(
  body: AsyncIterable<Buffer>,
  reading: StreamResult,
): Promise<void> {
  let lastAtMs = performance.now();
  const parser = createParser({
    onEvent({ event, data }) {
      reading.maxGapMs = Math.max(reading.maxGapMs, performance.now() - lastAtMs);
      lastAtMs = performance.now();
      if (event === 'error') {
        Object.assign(reading, parseTypedError(data));
      } else if (data === '[DONE]') {
        reading.label = 'complete';
      } else {
        const choice = (JSON.parse(data) as Chunk).choices?.[0];
        reading.text += choice?.delta?.content ?? choice?.text ?? '';
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
}
