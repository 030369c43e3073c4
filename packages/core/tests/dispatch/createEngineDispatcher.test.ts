import test from 'ava';
import { AttemptBrokenError } from '../../src/errors/AttemptBrokenError.js';
import { RequestQuarantinedError } from '../../src/errors/RequestQuarantinedError.js';
import { TruncatedStreamError } from '../../src/errors/TruncatedStreamError.js';
import { createEngineDispatcher } from '../../src/dispatch/createEngineDispatcher.js';
import type { AttemptResult } from '../../src/dispatch/createEngineDispatcher.js';
import type { EngineAnswer, EngineClient } from '../../src/ports/EngineClient.js';
import { asId } from '../../src/ids/asId.js';
import type { PromptPartKey } from '../../src/ids/PromptPartKey.js';
import type { CrashReport } from '../../src/quarantine/CrashReport.js';
import { createQuarantine } from '../../src/quarantine/createQuarantine.js';
import type { InferenceRequest } from '../../src/requests/InferenceRequest.js';
import type { ServerView } from '../../src/routing/ServerView.js';
import { createManualClock } from '../../src/time/createManualClock.js';
import { createNamedServer } from '../support/createNamedServer.js';
import { createFakeRequest } from '../support/createFakeRequest.js';
import { silentLog } from '../support/silentLog.js';

const CRASH_LIMIT = 2;
const { signal } = new AbortController();
const lastEvent = '{"choices":[{"finish_reason":"stop"}]}';

async function* stream(events: readonly string[], failure?: Error): AsyncGenerator<string, void> {
  yield* events;
  if (failure !== undefined) {
    throw failure;
  }
}

function createTestDispatcher(start: EngineClient['start'], hasCrashed = true) {
  const reserved = new Set<string>();
  const broadcastReports: CrashReport[] = [];
  const quarantine = createQuarantine({
    clock: createManualClock(),
    log: silentLog,
    holdMs: () => 600_000,
    hasCrashed: () => Promise.resolve(hasCrashed),
    broadcast(report) {
      broadcastReports.push(report);
      return Promise.resolve([]);
    },
  });
  const dispatcher = createEngineDispatcher({
    clock: createManualClock(),
    engineClient: { start } as never,
    quarantine,
  });
  const attempt = (request: InferenceRequest, server: ServerView): Promise<AttemptResult> => {
    reserved.add(server.entry.serverId);
    return dispatcher.attempt({
      request,
      server,
      signal,
      onBeforeSend: () => undefined,
      onEnd: () => reserved.delete(server.entry.serverId),
    });
  };
  return { attempt, quarantine, reserved, broadcastReports };
}

async function readAll(response: {
  kind: string;
  events?: AsyncIterable<string>;
}): Promise<string[]> {
  const received: string[] = [];
  for await (const event of response.events ?? []) {
    received.push(event);
  }
  return received;
}

const createBrokenError = (): Error =>
  new AttemptBrokenError('broke', { props: { crashSuspected: true } });

test('a slot stays reserved while the stream runs and is released at its end', async (t) => {
  const events = ['{}', lastEvent, '[DONE]'];
  const { attempt, reserved } = createTestDispatcher(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(events) }),
  );
  const response = await attempt(createFakeRequest(), createNamedServer('s1'));
  t.is(reserved.size, 1);
  t.deepEqual(await readAll(response), events);
  t.is(reserved.size, 0);
});

test('a slot is released when the caller stops reading the stream', async (t) => {
  const { attempt, reserved } = createTestDispatcher(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(['{}', '{}', '{}']) }),
  );
  const response = await attempt(createFakeRequest(), createNamedServer('s1'));
  const events = response.kind === 'stream' ? response.events[Symbol.asyncIterator]() : undefined;
  t.is((await events?.next())?.value, '{}');
  await events?.return?.();
  t.is(reserved.size, 0);
});

test('a request that crashed servers twice is rejected when it is sent again', async (t) => {
  const { attempt, quarantine, broadcastReports } = createTestDispatcher(() =>
    Promise.reject(createBrokenError()),
  );
  const request = createFakeRequest();
  for (const server of ['s1', 's2']) {
    t.notThrows(() => quarantine.check(request, CRASH_LIMIT));
    await t.throwsAsync(attempt(request, createNamedServer(server)), {
      instanceOf: AttemptBrokenError,
    });
  }
  t.throws(() => quarantine.check(request, CRASH_LIMIT), {
    instanceOf: RequestQuarantinedError,
  });
  t.is(broadcastReports.length, 2);
});

test('requests that share only a prompt part which crashes servers are rejected after two crashes', async (t) => {
  const { attempt, quarantine, broadcastReports } = createTestDispatcher(() =>
    Promise.reject(createBrokenError()),
  );
  const sharedParts = [asId<PromptPartKey>('part')];
  for (const server of ['s1', 's2']) {
    const request = createFakeRequest({ sharedParts });
    t.notThrows(() => quarantine.check(request, CRASH_LIMIT));
    await t.throwsAsync(attempt(request, createNamedServer(server)), {
      instanceOf: AttemptBrokenError,
    });
  }
  t.throws(() => quarantine.check(createFakeRequest({ sharedParts }), CRASH_LIMIT), {
    instanceOf: RequestQuarantinedError,
  });
  t.notThrows(() => quarantine.check(createFakeRequest(), CRASH_LIMIT));
  t.deepEqual(broadcastReports[1]?.trialParts, sharedParts);
});

test('prompt parts of a stream that had started are not suspected when its server crashes', async (t) => {
  const { attempt, quarantine } = createTestDispatcher(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(['{}'], createBrokenError()) }),
  );
  const sharedParts = [asId<PromptPartKey>('part')];
  for (const server of ['s1', 's2', 's3']) {
    const response = await attempt(createFakeRequest({ sharedParts }), createNamedServer(server));
    await t.throwsAsync(readAll(response), { instanceOf: AttemptBrokenError });
  }
  t.notThrows(() => quarantine.check(createFakeRequest({ sharedParts }), CRASH_LIMIT));
});

test('a second request with a suspected prompt part waits until the first one has a response', async (t) => {
  let hangs = false;
  const { attempt, quarantine } = createTestDispatcher(() =>
    hangs ? new Promise<never>(() => {}) : Promise.reject(createBrokenError()),
  );
  const sharedParts = [asId<PromptPartKey>('part')];
  await t.throwsAsync(attempt(createFakeRequest({ sharedParts }), createNamedServer('s1')));
  t.false(quarantine.isOnTrial(createFakeRequest({ sharedParts })));
  hangs = true;
  void attempt(createFakeRequest({ sharedParts }), createNamedServer('s2'));
  t.true(quarantine.isOnTrial(createFakeRequest({ sharedParts })));
  t.false(quarantine.isOnTrial(createFakeRequest()));
});

test('a request is a suspect when its stream breaks and the server has crashed', async (t) => {
  const { attempt, quarantine } = createTestDispatcher(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(['{}'], createBrokenError()) }),
  );
  const request = createFakeRequest();
  const response = await attempt(request, createNamedServer('s1'));
  await t.throwsAsync(readAll(response), { instanceOf: AttemptBrokenError });
  t.true(quarantine.isSuspect(request.fingerprint));
});

test('a request is not a suspect when its connection breaks and the server has not crashed', async (t) => {
  const { attempt, quarantine } = createTestDispatcher(
    () => Promise.reject(createBrokenError()),
    false,
  );
  const request = createFakeRequest();
  await t.throwsAsync(attempt(request, createNamedServer('s1')));
  t.false(quarantine.isSuspect(request.fingerprint));
});

test('an empty stream is rejected as truncated', async (t) => {
  const { attempt, reserved } = createTestDispatcher(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream([]) }),
  );
  await t.throwsAsync(attempt(createFakeRequest(), createNamedServer('s1')), {
    instanceOf: TruncatedStreamError,
  });
  t.is(reserved.size, 0);
});
