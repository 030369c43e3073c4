import { createParser } from 'eventsource-parser';
import type { CallLabel } from '../history/CallLabel.js';
import { parseTypedError } from './parseTypedError.js';

export interface StreamResult {
  /** Undefined until the stream has ended or failed with a typed error. */
  label: CallLabel | undefined;
  code: string | undefined;
  text: string;
  maxGapMs: number;
}

interface Chunk {
  readonly choices?: readonly { readonly text?: string; readonly delta?: { content?: string } }[];
}

/** Reads a streamed response into `result`, which keeps the received part if the stream breaks. */
export async function readStream(body: AsyncIterable<Buffer>, result: StreamResult): Promise<void> {
  let lastAtMs = performance.now();
  const parser = createParser({
    onEvent({ event, data }) {
      result.maxGapMs = Math.max(result.maxGapMs, performance.now() - lastAtMs);
      lastAtMs = performance.now();
      if (event === 'error') {
        Object.assign(result, parseTypedError(data));
      } else if (data === '[DONE]') {
        result.label = 'complete';
      } else {
        const choice = (JSON.parse(data) as Chunk).choices?.[0];
        result.text += choice?.delta?.content ?? choice?.text ?? '';
      }
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
}
