import type { StandIn } from '../StandIn.js';
import { createFaultyServer } from '../faults/createFaultyServer.js';
import { createKeyValueStore } from './createKeyValueStore.js';
import type { KeyValueEntry } from './createKeyValueStore.js';

interface RangeBody {
  readonly key: string;
  readonly range_end?: string;
  readonly keys_only?: boolean;
}

interface Operation {
  readonly request_put?: { readonly key: string; readonly value: string; readonly lease?: string };
  readonly request_range?: RangeBody;
}

interface TxnBody {
  readonly compare: readonly { readonly key: string; readonly mod_revision?: string }[];
  readonly success: readonly Operation[];
  readonly failure: readonly Operation[];
}

const decode = (text: string): string => Buffer.from(text, 'base64').toString('utf8');
const encode = (text: string): string => Buffer.from(text, 'utf8').toString('base64');

function toWire(entry: KeyValueEntry): object {
  return {
    key: encode(entry.key),
    value: encode(entry.value),
    mod_revision: String(entry.modRevision),
    create_revision: String(entry.createRevision),
    lease: entry.lease,
  };
}

/** Starts a stand-in for the key-value service, with the JSON interface of etcd's v3 gRPC gateway. */
export async function startKeyValueService(address: string, port: number): Promise<StandIn> {
  const { app, faults } = createFaultyServer();
  const store = createKeyValueStore();
  const counts = { reads: 0, writes: 0, watches: 0 };
  let snapshot = store.snapshot();
  const header = (): object => ({ revision: String(store.revision()) });

  function range(body: RangeBody): object {
    const rangeEnd = body.range_end === undefined ? undefined : decode(body.range_end);
    const kvs = store
      .range(decode(body.key), rangeEnd)
      .map((entry) => toWire(body.keys_only === true ? { ...entry, value: '' } : entry));
    return { kvs, count: String(kvs.length) };
  }

  function run(operation: Operation): object {
    if (operation.request_put !== undefined) {
      const { key, value, lease } = operation.request_put;
      store.put(decode(key), decode(value), lease ?? '0');
      return { response_put: {} };
    }
    return { response_range: range(operation.request_range ?? { key: '' }) };
  }

  app.post('/v3/kv/range', async (request) => {
    counts.reads += 1;
    return { header: header(), ...range(request.body as RangeBody) };
  });
  app.post('/v3/kv/txn', async (request) => {
    counts.writes += 1;
    const body = request.body as TxnBody;
    const succeeded = body.compare.every(({ key, mod_revision: expected }) => {
      const current = store.range(decode(key), undefined)[0];
      return String(current?.modRevision ?? 0) === String(expected ?? 0);
    });
    const responses = (succeeded ? body.success : body.failure).map(run);
    return { header: header(), succeeded, responses };
  });
  app.post('/v3/kv/deleterange', async (request) => {
    counts.writes += 1;
    store.remove(decode((request.body as RangeBody).key));
    return { header: header() };
  });
  app.post('/v3/lease/grant', async (request) => {
    counts.writes += 1;
    const ttl = Number((request.body as { TTL: string }).TTL);
    return { header: header(), ID: store.grantLease(ttl), TTL: String(ttl) };
  });
  app.post('/v3/lease/keepalive', async (request) => {
    counts.writes += 1;
    const { ID: id } = request.body as { ID: string };
    return { result: { header: header(), ID: id, TTL: String(store.renewLease(id)) } };
  });
  app.post('/v3/lease/revoke', async (request) => {
    counts.writes += 1;
    store.revokeLease((request.body as { ID: string }).ID);
    return { header: header() };
  });
  app.post('/v3/watch', (request, reply) => {
    counts.watches += 1;
    const { key, range_end: rangeEnd } = (request.body as { create_request: RangeBody })
      .create_request;
    const from = decode(key);
    const until = rangeEnd === undefined ? `${from}\0` : decode(rangeEnd);
    void reply.hijack();
    reply.raw.writeHead(200, { 'content-type': 'application/json' });
    reply.raw.write(`${JSON.stringify({ result: { header: header(), created: true } })}\n`);
    const unsubscribe = store.subscribe(({ type, entry }) => {
      if (entry.key >= from && entry.key < until && !faults.unavailable && !faults.loseAnswers) {
        const events = [{ type, kv: toWire(entry) }];
        reply.raw.write(`${JSON.stringify({ result: { header: header(), events } })}\n`);
      }
    });
    reply.raw.on('close', unsubscribe);
  });
  app.get('/counts', async () => counts);
  app.post('/snapshot', async () => {
    snapshot = store.snapshot();
    return {};
  });
  app.post('/restore', async () => {
    store.restore(snapshot);
    return {};
  });
  const url = await app.listen({ host: address, port });
  return { url, close: () => app.close() };
}
