import { request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AttemptResult } from './AttemptResult.js';
import type { CallPlan } from './CallPlan.js';
import { parseTypedError } from './parseTypedError.js';
import { classifyFailure } from './classifyFailure.js';
import { readStream } from './readStream.js';
import type { StreamResult } from './readStream.js';

interface Completion {
  readonly choices: readonly { readonly message: { readonly content: string } }[];
}

/** Body of an inference call; the engine stand-in reads the prompt out of it. */
export function inferenceBody(plan: CallPlan): object {
  return {
    model: plan.model,
    stream: plan.kind === 'stream',
    max_tokens: plan.tokens,
    messages: [{ role: 'user', content: plan.prompt }],
  };
}

/** Sends one attempt of an inference call to one entry host. Never rejects. */
export async function sendInference(
  plan: CallPlan,
  host: string,
  url: string,
  dispatcher: Dispatcher,
  onFirstByte: () => void,
): Promise<AttemptResult> {
  const startedMs = performance.now();
  const elapsedMs = (): number => performance.now() - startedMs;
  const reading: StreamResult = { label: undefined, code: undefined, text: '', maxGapMs: 0 };
  let statusCode: number | undefined;
  let firstByteMs: number | undefined;
  const result = (label: AttemptResult['label']): AttemptResult => ({
    label,
    host,
    statusCode,
    code: reading.code,
    text: reading.text,
    firstByteMs,
    totalMs: elapsedMs(),
    maxGapMs: reading.maxGapMs,
  });
  try {
    const response = await request(`${url}/v1/chat/completions`, {
      method: 'POST',
      dispatcher,
      headers: { ...plan.headers, 'content-type': 'application/json' },
      body: JSON.stringify(inferenceBody(plan)),
      signal: AbortSignal.timeout(plan.timeoutMs),
    });
    statusCode = response.statusCode;
    if (statusCode !== 200) {
      Object.assign(reading, parseTypedError(await response.body.text()));
      return result(reading.label ?? 'broken');
    }
    firstByteMs = elapsedMs();
    onFirstByte();
    if (plan.kind === 'plain') {
      const completion = (await response.body.json()) as Completion;
      reading.text = completion.choices[0]?.message.content ?? '';
      return result('complete');
    }
    await readStream(response.body, reading);
    return result(reading.label ?? 'broken');
  } catch (error) {
    return result(reading.label ?? classifyFailure(error));
  }
}
