import { NoConfigurationError } from '../errors/NoConfigurationError.js';
import type { Clock } from '../ports/Clock.js';
import type { KeyValueStore } from '../ports/KeyValueStore.js';
import type { LogSink } from '../ports/LogSink.js';
import type { FleetDocument, StoredFleetDocument } from './FleetDocument.js';
import { createFleetDocument } from './createFleetDocument.js';
import { fleetDocumentSchema } from './fleetDocumentSchema.js';

/** Key of the configuration document in the key-value service. */
export const CONFIGURATION_KEY = '/config/current';
const WATCH_RETRY_MS = 500;

export interface ConfigKeeperOptions {
  readonly clock: Clock;
  readonly log: LogSink;
  readonly store: KeyValueStore;
}

export interface ConfigKeeper {
  /** @throws NoConfigurationError when no document has arrived yet */
  current(): FleetDocument;
  /** Document in force, as stored; undefined when there is none. */
  stored(): StoredFleetDocument | undefined;
  /** Version in force, 0 when there is none. */
  version(): number;
  /** Takes a document over when it is newer than the one in force. */
  adopt(document: StoredFleetDocument): boolean;
  start(): void;
  close(): Promise<void>;
}

function isNewer(document: StoredFleetDocument, than: StoredFleetDocument | undefined): boolean {
  if (than === undefined || document.version !== than.version) {
    return document.version > (than?.version ?? 0);
  }
  return document.changeId > than.changeId;
}

/** Creates the keeper of the fleet configuration, which only ever moves forward. */
export function createConfigKeeper(options: ConfigKeeperOptions): ConfigKeeper {
  const { clock, log, store } = options;
  const stopping = new AbortController();
  let inForce: FleetDocument | undefined;
  let stored: StoredFleetDocument | undefined;
  let task: Promise<void> | undefined;

  function adopt(document: StoredFleetDocument): boolean {
    if (!isNewer(document, inForce)) {
      return false;
    }
    inForce = createFleetDocument(document);
    stored = document;
    log.info('configuration-adopted', { version: document.version, changeId: document.changeId });
    return true;
  }

  function adoptText(text: string): void {
    const result = fleetDocumentSchema.safeParse(JSON.parse(text));
    if (result.success) {
      adopt(result.data);
    } else {
      log.error('configuration-invalid', { problems: result.error.issues.length });
    }
  }

  async function follow(): Promise<void> {
    const found = await store.get(CONFIGURATION_KEY);
    if (found !== undefined) {
      adoptText(found.value);
    }
    for await (const event of store.watch(CONFIGURATION_KEY, stopping.signal)) {
      if (event.kind === 'put') {
        adoptText(event.value);
      }
    }
  }

  async function followUntilClosed(): Promise<void> {
    while (!stopping.signal.aborted) {
      try {
        await follow();
      } catch (cause) {
        log.warn('configuration-watch-broken', { error: String(cause) });
      }
      await clock.sleep(WATCH_RETRY_MS, stopping.signal).catch(() => undefined);
    }
  }

  return {
    current() {
      if (inForce === undefined) {
        throw new NoConfigurationError('This entry host has no fleet configuration yet.');
      }
      return inForce;
    },
    stored: () => stored,
    version: () => inForce?.version ?? 0,
    adopt,
    start() {
      task = followUntilClosed();
    },
    async close() {
      stopping.abort();
      await task;
    },
  };
}
