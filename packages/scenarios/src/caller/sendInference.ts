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

/** Request body of an inference call, from which the engine stand-in extracts the prompt. */
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
  const received: StreamResult = { label: undefined, code: undefined, text: '', maxGapMs: 0 };
  let statusCode: number | undefined;
  let firstByteMs: number | undefined;
  const buildResult = (label: AttemptResult['label']): AttemptResult => ({
    label,
    host,
    statusCode,
    code: received.code,
    text: received.text,
    firstByteMs,
    totalMs: elapsedMs(),
    maxGapMs: received.maxGapMs,
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
      Object.assign(received, parseTypedError(await response.body.text()));
      return buildResult(received.label ?? 'broken');
    }
    firstByteMs = elapsedMs();
    onFirstByte();
    if (plan.kind === 'plain') {
      const completion = (await response.body.json()) as Completion;
      received.text = completion.choices[0]?.message.content ?? '';
      return buildResult('complete');
    }
    await readStream(response.body, received);
    return buildResult(received.label ?? 'broken');
  } catch (error) {
    return buildResult(received.label ?? classifyFailure(error));
  }
}
