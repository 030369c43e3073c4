import { URL } from 'node:url';
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { once } from 'node:events';
import { clearTimeout, setTimeout } from 'node:timers';

const MAX_PAGE_ITEMS = 500;

async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
}

/** Starts a stand-in of the platform's metadata store, which works as PROTOCOL.md says. */
export async function startStore(host) {
  const items = new Map();
  const leases = new Map();
  const watches = new Set();
  const history = [];
  let revision = 1;
  let nextLease = 100;
  let mode = 'up';

  function record(event) {
    history.push(event);
    [...watches].forEach((wake) => wake());
  }

  function write(key, value, lease = 0) {
    revision += 1;
    const item = { key, value, revision, created: items.get(key)?.created ?? revision, lease };
    items.set(key, item);
    record(item);
  }

  function remove(key) {
    if (items.delete(key)) {
      revision += 1;
      record({ key, revision, tombstone: true });
    }
  }

  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    [...items.values()].filter(({ lease }) => lease === id).forEach(({ key }) => remove(key));
  }

  function renewLease(id, ttlMs) {
    clearTimeout(leases.get(id)?.timer);
    leases.set(id, { ttlMs, timer: setTimeout(endLease, ttlMs, id) });
  }

  function respond(response, status, body = {}) {
    if (!response.destroyed) {
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' });
      response.end(JSON.stringify(body));
    }
  }

  function list(query, response) {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    respond(response, 200, {
      items: found.slice(0, MAX_PAGE_ITEMS),
      has_more: found.length > MAX_PAGE_ITEMS,
      at: revision,
    });
  }

  async function watch(query, response) {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const events = () =>
      history.filter((event) => event.revision > after && event.key.startsWith(prefix));
    if (events().length === 0) {
      await new Promise((resolve) => {
        const wake = () => {
          if (events().length > 0) {
            watches.delete(wake);
            resolve();
          }
        };
        watches.add(wake);
        setTimeout(
          () => {
            watches.delete(wake);
            resolve();
          },
          Number(query.get('wait_ms')),
        );
      });
    }
    if (mode === 'up') {
      respond(response, 200, { events: events(), at: revision });
    }
  }

  function transact(body, response) {
    const { precondition = [], puts = [], remove: removals = [] } = body;
    const isMet = precondition.every(
      ({ key, revision: expected }) => (items.get(key)?.revision ?? 0) === expected,
    );
    if (!isMet) {
      const current = precondition.flatMap(({ key }) => items.get(key) ?? []);
      respond(response, 412, { items: current });
      return;
    }
    if (puts.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
      respond(response, 404);
      return;
    }
    puts.forEach(({ key, value, lease }) => write(key, value, lease));
    removals.forEach(remove);
    respond(response, 200, { revision });
  }

  async function handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readJson(request);
    const id = Number(url.pathname.split('/').at(-1));
    if (mode === 'silent') {
      return;
    }
    if (url.pathname === '/api/kv-range') {
      list(url.searchParams, response);
    } else if (url.pathname === '/api/kv-watch') {
      await watch(url.searchParams, response);
    } else if (url.pathname === '/api/kv-txn') {
      transact(body, response);
    } else if (url.pathname === '/api/kv-lease') {
      nextLease += 1;
      renewLease(nextLease, body.ttl_ms);
      respond(response, 200, { lease: nextLease, ttl_ms: body.ttl_ms });
    } else if (url.pathname.startsWith('/api/kv-keep/') && leases.has(id)) {
      renewLease(id, leases.get(id).ttlMs);
      respond(response, 200);
    } else if (url.pathname.startsWith('/api/kv-lease-end/') && leases.has(id)) {
      endLease(id);
      respond(response, 200);
    } else {
      respond(response, 404);
    }
  }

  const server = createServer((request, response) => {
    request.on('error', () => undefined);
    handle(request, response).catch(() => response.destroy());
  });
  server.listen(0, host);
  await once(server, 'listening');
  return {
    address: `${host}:${server.address().port}`,
    /** Writes a key as the operator or a server does. While the store is down, nothing is written. */
    put(key, value) {
      if (mode === 'up') {
        write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
      }
    },
    remove(key) {
      if (mode === 'up') {
        remove(key);
      }
    },
    /** `up`, or `silent`: it answers nothing. */
    setMode(next) {
      mode = next;
    },
    close() {
      [...leases.keys()].forEach((id) => clearTimeout(leases.get(id).timer));
      server.closeAllConnections();
      server.close();
    },
  };
}
