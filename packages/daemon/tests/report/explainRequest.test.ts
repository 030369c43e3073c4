import test from 'ava';
import { explainRequest } from '../../src/report/explainRequest.js';

const line = (second: number, hostId: string, fields: object): string =>
  JSON.stringify({
    time: `2026-12-04T10:00:${String(second).padStart(2, '0')}.000Z`,
    hostId,
    ...fields,
  });

const servedEntry = { event: 'request', requestId: 'other', status: 200, destination: 'i-1' };

function explain(...logs: readonly (readonly string[])[]) {
  return explainRequest(
    'a1',
    logs.map((lines) => lines.join('\n')),
  );
}

test('the explanation of an order with an unknown outcome names its server', (t) => {
  const { lines, conclusion } = explain([
    line(1, 'host-1', { event: 'server-changed', serverId: 'i-1', state: 'ready' }),
    line(2, 'host-1', servedEntry),
    line(3, 'host-1', {
      event: 'request',
      requestId: 'a1',
      destination: 'i-1',
      runs: 1,
      causes: 'broken',
      status: 502,
      tookMs: 5,
    }),
  ]);
  t.is(lines.length, 2);
  t.is(
    conclusion,
    'It may have run at i-1, but host-1 did not receive the complete response: broken. It could not be retried.',
  );
});

test('a forwarded request is explained by the line of the host that ended it', (t) => {
  const { lines, conclusion } = explain(
    [
      line(4, 'host-1', {
        event: 'request',
        requestId: 'a1',
        destination: 'host-2',
        runs: 1,
        causes: 'interrupted: broken',
        status: 0,
        tookMs: 2_100,
      }),
    ],
    [
      `8.8 host-2 ${line(4, 'host-2', {
        event: 'request',
        requestId: 'a1',
        relayedBy: 'host-1',
        destination: 'i-9',
        runs: 1,
        causes: 'interrupted: broken',
        status: 0,
        tookMs: 2_009,
      })}`,
    ],
  );
  t.is(lines.length, 2);
  t.regex(
    conclusion ?? '',
    /^It may have run at i-9, but host-2 did not receive the complete response: interrupted: broken/,
  );
});

test('the explanation of a rejected request names the server that was too slow', (t) => {
  const { conclusion } = explain([
    line(1, 'host-1', {
      event: 'request',
      requestId: 'a1',
      destination: 'i-1',
      waitMs: 900,
      estimateMs: 1_000,
      finishMs: 400,
      remainingMs: 5_000,
      causes: 'overloaded',
      status: 503,
    }),
  ]);
  t.regex(
    conclusion ?? '',
    /rejected it before it ran: i-1, the best choice, had a wait of 900 ms/,
  );
});

test('a request that was rejected for the sake of others is explained by them', (t) => {
  const conclusionFor = (overloadCause: string) =>
    explain([
      line(0, 'host-1', {
        event: 'request',
        requestId: 'a1',
        causes: 'overloaded',
        overloadCause,
        retryAfterMs: 1_200,
        status: 503,
      }),
    ]).conclusion;
  t.regex(conclusionFor('rank') ?? '', /left to more urgent requests. .* after 1200 ms/);
  t.regex(conclusionFor('customer') ?? '', /left to customers that had less/);
});

// The last cause of such a stream is the rejection of its next attempt.
test('a stream that found no server to continue on is not reported as not run', (t) => {
  const conclusionFor = (causes: string) =>
    explain([
      line(1, 'host-1', {
        event: 'request',
        requestId: 'a1',
        destination: 'host-2',
        runs: 1,
        events: 92,
        causes,
        status: 0,
        tookMs: 8_612,
      }),
    ]).conclusion;
  t.regex(conclusionFor('interrupted: broken, no-server') ?? '', /^It may have run/);
  t.regex(conclusionFor('interrupted: broken, overloaded') ?? '', /^It may have run/);
});

test('lines of other programs and incomplete lines are skipped', (t) => {
  t.deepEqual(explain(['not json', '{"requestId":"a1"', '{"requestId":"a1"}']), {
    lines: [],
    conclusion: undefined,
  });
});

test('the explanation of a request whose caller left tells how far the request had come', (t) => {
  const left = { event: 'request', requestId: 'a1', callerLeft: true, status: 0, tookMs: 332 };
  t.is(
    explain([line(1, 'host-1', { ...left, attempts: 1, callerLeftMs: 290, destination: 'i-1' })])
      .conclusion,
    'The caller disconnected from host-1 after 290 ms, while the request was at i-1.',
  );
  t.is(
    explain([line(1, 'host-1', { ...left, attempts: 0, callerLeftMs: 0 })]).conclusion,
    'The caller disconnected from host-1 after 0 ms, before the request was sent to a server.',
  );
});

test('rejections for a limited rate, leaving and paused servers and a suspected prompt part are explained', (t) => {
  const rejected = {
    event: 'request',
    requestId: 'a1',
    attempts: 0,
    runs: 0,
    status: 503,
    tookMs: 3,
  };
  const conclusionFor = (causes: string) =>
    explain([line(1, 'host-1', { ...rejected, causes })]).conclusion;
  t.is(
    conclusionFor('rate-limited'),
    'host-1 rejected it before it ran: it knew no server that could accept it (rate-limited).',
  );
  t.is(
    conclusionFor('rejected with 503, servers-leaving'),
    'host-1 rejected it before it ran: all servers that it could reach were leaving (rejected with 503, servers-leaving); see server-leaving and server-changed in its log.',
  );
  t.is(
    conclusionFor('connect ECONNREFUSED, unreachable'),
    'host-1 rejected it before it ran: servers were listed, but it reached none of them (connect ECONNREFUSED, unreachable); see server-link-failed and host-cut-off in its log.',
  );
  t.is(
    conclusionFor('rejection-limited'),
    'host-1 rejected it before it ran: all servers that it could reach bear few rejections, and it had its share of the requests there already (rejection-limited); see server-rejection-limit-changed in its log.',
  );
  t.is(
    conclusionFor('connect ECONNREFUSED, peer reaches no server'),
    'host-1 rejected it before it ran: it reached no server itself, nor did the other hosts that it asked take it (connect ECONNREFUSED, peer reaches no server); see host-cut-off in their logs.',
  );
  t.is(
    conclusionFor('rejected with 503, servers-paused'),
    'host-1 rejected it before it ran: all servers that it could reach and that were not leaving had asked it for a pause (rejected with 503, servers-paused); see server-paused in its log.',
  );
  t.is(
    conclusionFor('prompt part crashed servers'),
    'host-1 rejected it before it ran: prompt part crashed servers; see server-crashed in the logs of all hosts.',
  );
  t.regex(
    conclusionFor('prompt part suspected after server crashes') ?? '',
    /^host-1 rejected it before it ran: prompt part suspected/,
  );
});

test('rejections of resumed streams are explained by what is known of their version', (t) => {
  const rejected = { event: 'request', requestId: 'a1', attempts: 0, runs: 0, status: 503 };
  const conclusionFor = (fields: object) =>
    explain([line(1, 'host-1', { ...rejected, tookMs: 3, ...fields })]).conclusion;
  t.is(
    conclusionFor({ causes: 'version-gone', requiredVersion: 'v1' }),
    'host-1 rejected it before it ran: no server of the software version that began its stream (v1) was listed any more (version-gone).',
  );
  const causes = 'software version of the stream is unknown';
  t.is(
    conclusionFor({ causes, resumes: 'a0' }),
    'host-1 rejected it before it ran: it resumes a0, and no host told which software version began that stream.',
  );
  t.regex(conclusionFor({ causes }) ?? '', /resumes no named attempt/);
});
