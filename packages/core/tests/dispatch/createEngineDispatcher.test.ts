import test from 'ava';
import { AttemptBrokenError } from '../../src/errors/AttemptBrokenError.js';
import { RequestQuarantinedError } from '../../src/errors/RequestQuarantinedError.js';
import { TruncatedStreamError } from '../../src/errors/TruncatedStreamError.js';
import { createEngineDispatcher } from '../../src/dispatch/createEngineDispatcher.js';
import type { AttemptResult } from '../../src/dispatch/createEngineDispatcher.js';
import type { EngineAnswer, EngineClient } from '../../src/ports/EngineClient.js';
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
const last = '{"choices":[{"finish_reason":"stop"}]}';

async function* stream(events: readonly string[], failure?: Error): AsyncGenerator<string, void> {
  yield* events;
  if (failure !== undefined) {
    throw failure;
  }
}

function createSubject(start: EngineClient['start'], hasCrashed = true) {
  const reserved = new Set<string>();
  const shared: CrashReport[] = [];
  const quarantine = createQuarantine({
    clock: createManualClock(),
    log: silentLog,
    holdMs: () => 600_000,
    hasCrashed: () => Promise.resolve(hasCrashed),
    broadcast(report) {
      shared.push(report);
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
  return { attempt, quarantine, reserved, shared };
}

async function drain(answer: { kind: string; events?: AsyncIterable<string> }): Promise<string[]> {
  const seen: string[] = [];
  for await (const event of answer.events ?? []) {
    seen.push(event);
  }
  return seen;
}

const broken = (): Error => new AttemptBrokenError('broke', { props: { crashSuspected: true } });

test('a reservation is held while the stream runs and released at its end', async (t) => {
  const events = ['{}', last, '[DONE]'];
  const { attempt, reserved } = createSubject(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(events) }),
  );
  const answer = await attempt(createFakeRequest(), createNamedServer('s1'));
  t.is(reserved.size, 1);
  t.deepEqual(await drain(answer), events);
  t.is(reserved.size, 0);
});

test('a reservation is released when the caller stops reading', async (t) => {
  const { attempt, reserved } = createSubject(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(['{}', '{}', '{}']) }),
  );
  const answer = await attempt(createFakeRequest(), createNamedServer('s1'));
  const events = answer.kind === 'stream' ? answer.events[Symbol.asyncIterator]() : undefined;
  t.is((await events?.next())?.value, '{}');
  await events?.return?.();
  t.is(reserved.size, 0);
});

test('a request that crashes its server twice is refused, also when resent', async (t) => {
  const { attempt, quarantine, shared } = createSubject(() => Promise.reject(broken()));
  const request = createFakeRequest();
  for (const server of ['s1', 's2']) {
    t.notThrows(() => quarantine.check(request.fingerprint, CRASH_LIMIT));
    await t.throwsAsync(attempt(request, createNamedServer(server)), {
      instanceOf: AttemptBrokenError,
    });
  }
  t.throws(() => quarantine.check(request.fingerprint, CRASH_LIMIT), {
    instanceOf: RequestQuarantinedError,
  });
  t.is(shared.length, 2);
});

test('a stream that breaks in the middle counts as a crash when the server is gone', async (t) => {
  const { attempt, quarantine } = createSubject(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream(['{}'], broken()) }),
  );
  const request = createFakeRequest();
  const answer = await attempt(request, createNamedServer('s1'));
  await t.throwsAsync(drain(answer), { instanceOf: AttemptBrokenError });
  t.true(quarantine.isSuspect(request.fingerprint));
});

test('a cut network blames no request, because the server is still there', async (t) => {
  const { attempt, quarantine } = createSubject(() => Promise.reject(broken()), false);
  const request = createFakeRequest();
  await t.throwsAsync(attempt(request, createNamedServer('s1')));
  t.false(quarantine.isSuspect(request.fingerprint));
});

test('an empty stream is not a whole answer', async (t) => {
  const { attempt, reserved } = createSubject(() =>
    Promise.resolve<EngineAnswer>({ kind: 'stream', events: stream([]) }),
  );
  await t.throwsAsync(attempt(createFakeRequest(), createNamedServer('s1')), {
    instanceOf: TruncatedStreamError,
  });
  t.is(reserved.size, 0);
});
