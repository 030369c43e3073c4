import { createHash, randomUUID } from 'node:crypto';
import type { FastifyReply, FastifyRequest } from 'fastify';
import { setTimeout as delay } from 'node:timers/promises';
import type { StandIn } from '../StandIn.js';
import { createFaultyServer } from '../faults/createFaultyServer.js';
import { addRecordRoute } from '../records/addRecordRoute.js';
import { createRecordLog } from '../records/createRecordLog.js';
import type { EngineBody } from './EngineBody.js';
import type { EngineOptions } from './EngineOptions.js';
import { CRASH_MARK } from './CRASH_MARK.js';
import { addEngineOrderRoutes } from './addEngineOrderRoutes.js';
import { responseTokens } from './responseTokens.js';
import { createBatch } from './createBatch.js';
import { createPrefixCache } from './createPrefixCache.js';
import { nonceOf } from './nonceOf.js';
import { promptOf } from './promptOf.js';

const CHARACTERS_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 16;
const MS_PER_SECOND = 1000;

function chunkOf(id: string, body: EngineBody, text: string, finish: string | null): string {
  const chat = body.messages !== undefined;
  const choice = chat
    ? { index: 0, delta: text === '' ? {} : { content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish };
  const object = chat ? 'chat.completion.chunk' : 'text_completion';
  return JSON.stringify({ id, object, created: 0, model: body.model, choices: [choice] });
}

function completionOf(id: string, body: EngineBody, text: string, promptTokens: number): string {
  const chat = body.messages !== undefined;
  const choice = chat
    ? { index: 0, message: { role: 'assistant', content: text }, finish_reason: 'stop' }
    : { index: 0, text, finish_reason: 'stop' };
  const completionTokens = text.split(' ').length;
  return JSON.stringify({
    id,
    object: chat ? 'chat.completion' : 'text_completion',
    created: 0,
    model: body.model,
    choices: [choice],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: completionTokens,
      total_tokens: promptTokens + completionTokens,
    },
  });
}

/** Starts a stand-in for a model engine. */
export async function startEngine(
  address: string,
  port: number,
  options: EngineOptions,
): Promise<StandIn> {
  const { app } = createFaultyServer();
  const incarnation = randomUUID();
  const batch = createBatch(options.maxConcurrentRequests ?? 8);
  const cache = createPrefixCache(options.cacheBlocks ?? 512, options.cacheEventGapEvery);
  const models = addEngineOrderRoutes(app, options);
  const records = createRecordLog(options.recordFile);
  const maxWaiting = options.maxWaitingRequests ?? 64;
  const tokenMs = options.tokenMs ?? 10;
  const prefillTokensPerSecond = options.prefillTokensPerSecond ?? 20_000;
  let leaving = false;

  async function prefill(body: EngineBody, prompt: string, signal: AbortSignal): Promise<void> {
    const uncached = prompt.length - cache.cachePrompt(body.model, prompt);
    const tokens = uncached / CHARACTERS_PER_TOKEN;
    await delay((tokens / prefillTokensPerSecond) * MS_PER_SECOND, undefined, { signal });
  }

  async function* generate(
    body: EngineBody,
    prompt: string,
    signal: AbortSignal,
  ): AsyncGenerator<string, void> {
    await prefill(body, prompt, signal);
    if (prompt.includes(CRASH_MARK)) {
      process.exit(1);
    }
    const count = body.max_completion_tokens ?? body.max_tokens ?? DEFAULT_OUTPUT_TOKENS;
    for (const token of responseTokens(options.serverId, prompt, count)) {
      await delay(tokenMs, undefined, { signal });
      yield token;
    }
  }

  async function sendStream(
    reply: FastifyReply,
    id: string,
    body: EngineBody,
    tokens: AsyncIterable<string>,
  ): Promise<void> {
    void reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'text/event-stream' });
    for await (const token of tokens) {
      reply.raw.write(`data: ${chunkOf(id, body, token, null)}\n\n`);
    }
    reply.raw.write(`data: ${chunkOf(id, body, '', 'stop')}\n\n`);
    reply.raw.end('data: [DONE]\n\n');
  }

  async function serve(request: FastifyRequest, reply: FastifyReply): Promise<unknown> {
    const body = request.body as EngineBody;
    const prompt = promptOf(body);
    const metadata = { requestId: String(request.headers['x-request-id']), call: nonceOf(prompt) };
    const path = request.headers['x-camphorbarrow-path']?.toString();
    records.add({ kind: 'arrived', atMs: Date.now(), ...metadata, path });
    if (!models.serves(body.model)) {
      return reply.code(404).send({ error: { message: 'unknown model', code: 'unknown-model' } });
    }
    if (leaving || batch.waiting() >= maxWaiting) {
      return reply
        .code(503)
        .header('retry-after', '1')
        .send({ error: { message: 'full' } });
    }
    const cancel = new AbortController();
    reply.raw.on('close', () => cancel.abort());
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    const releaseSlot = await batch.acquireSlot(body.priority ?? 0, promptTokens, cancel.signal);
    const digest = createHash('sha256').update(prompt).digest('hex');
    records.add({ kind: 'executed', atMs: Date.now(), ...metadata, digest });
    try {
      const id = `gen-${randomUUID()}`;
      const tokens = generate(body, prompt, cancel.signal);
      if (body.stream === true) {
        await sendStream(reply, id, body, tokens);
        return reply;
      }
      let text = '';
      for await (const token of tokens) {
        text += token;
      }
      return await reply.type('application/json').send(completionOf(id, body, text, promptTokens));
    } catch (error) {
      if (!cancel.signal.aborted) {
        throw error;
      }
      return reply;
    } finally {
      releaseSlot();
    }
  }

  const currentLoad = (): object => ({
    incarnation,
    state: leaving ? 'leaving' : 'live',
    runningRequests: batch.running(),
    waitingRequests: batch.waiting(),
    waitingTokens: batch.waitingTokens(),
    maxConcurrentRequests: options.maxConcurrentRequests ?? 8,
    kvCacheUsageRatio: 0,
  });
  let reports: { readonly atMs: number; readonly load: object }[] = [];

  /** Newest load report that is at least `loadLagMs` old, or the oldest one when none is. */
  function laggedLoad(): object {
    const nowMs = Date.now();
    reports.push({ atMs: nowMs, load: currentLoad() });
    const visible = reports.filter(({ atMs }) => atMs <= nowMs - (options.loadLagMs ?? 0));
    const newest = visible.at(-1) ?? reports[0];
    reports = reports.filter(({ atMs }) => atMs >= (newest?.atMs ?? 0));
    return newest?.load ?? currentLoad();
  }

  app.post('/v1/chat/completions', serve);
  app.post('/v1/completions', serve);
  app.get('/load', async () => laggedLoad());
  app.get('/cache-events', async (request) => {
    const { after } = request.query as { after?: string };
    return { events: cache.eventsAfter(Number(after ?? 0)) };
  });
  app.post('/leave', async () => {
    leaving = true;
    records.add({ kind: 'leaving', atMs: Date.now() });
    return { leaving };
  });
  addRecordRoute(app, records);
  records.add({ kind: 'started', atMs: Date.now() });
  const url = await app.listen({ host: address, port });
  return { url, close: () => app.close() };
}
